"""One attempt to run a client's request on a back end.

An attempt records its outcome in the record of the back end. Its `State` says whether the request
was sent, and whether it may have run. `request_task` decides on retries.
"""

import asyncio
import dataclasses
import enum
import math
from collections.abc import Callable

import h11

from merlinthread import errors, metrics
from merlinthread.coordination import backend_record, dispatch, fleet
from merlinthread.nodes import (
    attempt_descriptions,
    backend_pool,
    crash_detector,
    permits,
    request_context,
    response_relay,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import event_stream
from merlinthread.transport import http_messages, stream_client, timeouts

# Time without data after which a back end counts as silent: before the first event and between
# events, as multiples of the route's values.
FIRST_EVENT_OBJECTIVE_FACTOR = 2.0
FIRST_EVENT_MIN_S = 0.8
GAP_FACTOR = 2.0
GAP_MIN_S = 0.6
# Bytes of a stream without an event that the client does not have yet. A back end that ignores
# Last-Event-ID repeats the events before it, which is more than one event.
SKIPPED_BYTES_MAX = 4 * event_stream.EVENT_BYTES_MAX


class VersionExpiredError(errors.UnreachableError):
    """The weights version of an attempt expired before the first event of the response."""


class UnavailableError(errors.UnreachableError):
    """A back end or the retry budget became unavailable after the back end was chosen."""


class State(enum.Enum):
    """How an attempt ended."""

    UNSENT = "unsent"
    # The back end said that it has not run the request.
    NOT_RUN = "not_run"
    # The request was sent, but there is no complete response.
    UNKNOWN = "unknown"
    FAILED = "failed"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of one attempt; `response` is the back end's if it is complete."""

    state: State
    reason: str
    response: http_messages.Response | None = None


def ignore() -> None:
    """Do nothing; the default of an attempt's callbacks."""


def always() -> bool:
    """Return True."""
    return True


def never() -> float:
    """Return infinity, the time until something that does not happen."""
    return math.inf


class Attempt:
    """One attempt; `is_sent` is set once the request has been sent to the back end.

    `may_send` is called just before that and returns whether the retry budget allows it.
    `on_silence` is called each time its back end has sent nothing for the time after which it
    counts as silent, and `on_data` before data of its response is sent to the client. Silence does
    not end an attempt: the back end may continue.
    """

    def __init__(
        self,
        context: request_context.RequestContext,
        relay: response_relay.ResponseRelay,
        dialect: dialects.Dialect,
        pool: backend_pool.BackendPool,
        backend: backend_record.Backend,
        permit: permits.Permit | None = None,
        cold_permit: permits.Permit | None = None,
        urgency: int | None = None,
    ) -> None:
        self.context = context
        # The permits of the leader and of the back end's agent, if it needed them when chosen.
        self.permit = permit
        self.cold_permit = cold_permit
        self.relay = relay
        self.dialect = dialect
        self.pool = pool
        self.clock = pool.clock
        self.backend = backend
        self.reservation = pool.reserve(
            backend,
            context.call.prompt_tokens,
            urgency=urgency,
            account=context.account_name(),
            cost_tokens=context.cost_tokens,
            has_permit=cold_permit is not None and cold_permit.is_counted_by_agent,
        )
        self.is_sent = False
        self.sent_at = float("-inf")
        self.may_send: Callable[[], bool] = always
        self.on_silence: Callable[[], None] = ignore
        self.on_data: Callable[[], None] = ignore
        # The time of the last data before the current silence, or None.
        self.silent_since: float | None = None
        self.longest_silence_s = 0.0
        # The choice of the back end, the result and the availability signals, for the log.
        self.description = ""
        self.result_text = ""
        self.signals_text = ""
        self.is_other_instance = False
        # The bytes of the response that are kept until it continues or is complete.
        self.held_bytes = 0

    @property
    def is_silent(self) -> bool:
        """Return whether the back end has been silent since its last data."""
        return self.silent_since is not None

    async def run(self) -> Outcome:
        """Send the request and relay a successful response; return the outcome."""
        connection: stream_client.ClientConnection | None = None
        try:
            connection = await self.pool.connections.connect(
                self.backend, self.context.is_idempotent()
            )
            connection.hold_for(
                self.relay.exchange.holder, self.pool.memory_limits.connection_bytes
            )
            await self.renew_cold_permit()
            self.check_available()
            if not self.may_send():
                raise UnavailableError("the retry budget is exhausted")
            connection.send(self.build_request())
            self.is_sent = True
            self.sent_at = self.clock()
            async with asyncio.timeout_at(self.to_loop_time(self.context.deadline)):
                outcome, headers = await self.receive_response(connection)
            if outcome.state in (State.DONE, State.FAILED, State.NOT_RUN):
                self.pool.connections.release(self.backend, connection, headers)
                connection = None
            self.record_outcome(outcome)
            return outcome
        except TimeoutError:
            if not self.relay.exchange.is_client_reading():
                return self.end_slow_read()
            self.handle_timeout(connection)
            if not self.relay.exchange.is_started:
                dispatch.record_silence(self.backend, self.clock())
            self.record_break(True)
            return Outcome(State.UNKNOWN, "deadline exceeded")
        except errors.MerlinthreadError as error:
            if not isinstance(error, VersionExpiredError | UnavailableError):
                dispatch.record_failure(self.backend, self.clock())
            if self.is_sent:
                self.record_break(isinstance(error, VersionExpiredError))
                return Outcome(State.UNKNOWN, error.message)
            return Outcome(State.UNSENT, f"unsent: {error.message}")
        finally:
            if self.is_silent:
                self.end_silence("ended")
            self.hold(0)
            if connection is not None:
                connection.close()

    def end_slow_read(self) -> Outcome:
        """Return the outcome of an attempt whose client has not taken its data by the deadline.

        The back end is not to blame. A complete response goes on being sent.
        """
        if self.relay.exchange.is_finished:
            dispatch.record_success(self.backend, self.clock() - self.reservation.started_at)
            return Outcome(State.DONE, "answered, not yet taken by the client")
        return Outcome(State.UNKNOWN, "the client did not take its data before the deadline")

    def release(self) -> None:
        """Remove the attempt, which has ended, from its back end's load."""
        self.pool.release(self.reservation)

    def give_up(self) -> None:
        """Record that another attempt has sent data, or the client has left.

        The caller cancels this attempt.
        """
        self.result_text = "given up, since another attempt has sent data"
        if self.is_silent:
            self.end_silence("given_up")
            self.record_break(True)

    def describe(self) -> str:
        """Return a description of the attempt for the request log."""
        parts = [
            f"{self.description}: {self.result_text}" if self.result_text else self.description
        ]
        if self.longest_silence_s:
            parts.append(f"silent for {self.longest_silence_s:.2f} s")
        if self.signals_text:
            parts.append(self.signals_text)
        return ", ".join(parts)

    async def renew_cold_permit(self) -> None:
        """Acquire a permit if the back end is cold and there is no valid one any more.

        It may have become cold after it was chosen, and a new connection takes up to 0.3 s.
        """
        availability = self.pool.signals.availability_of(self.backend.instance)
        if not availability.needs_agent_permit(self.clock()) or self.has_cold_permit():
            return
        permit = await self.pool.acquire_cold_permit(self.backend, 0.0)
        self.cold_permit = permit if isinstance(permit, permits.Permit) else None

    def has_cold_permit(self) -> bool:
        """Return whether there is a valid permit of the back end's agent."""
        return self.cold_permit is not None and self.cold_permit.is_valid(
            self.backend.instance, self.clock()
        )

    def check_available(self) -> None:
        """Raise UnavailableError if the back end may not get this request.

        Every attempt checks this just before sending, since another response may have changed the
        availability while the connection was being opened.
        """
        now = self.clock()
        if self.pool.watcher.is_evacuated(self.backend.zone):
            raise UnavailableError(f"the zone {self.backend.zone} is evacuated")
        availability = self.pool.signals.availability_of(self.backend.instance)
        if availability.is_unavailable(now):
            raise UnavailableError(
                "the back end is leaving" if availability.is_leaving else "the back end is resting"
            )
        if availability.needs_agent_permit(now) and not self.has_cold_permit():
            raise UnavailableError("the back end is cold and there is no valid permit")
        if not availability.needs_leader_permit(now):
            return
        if self.permit is None or not self.permit.is_valid(self.backend.instance, now):
            raise UnavailableError("the back end has a rate limit and there is no valid permit")

    def record_break(self, is_timeout: bool) -> None:
        """Record that the request was sent and got no complete response."""
        broken = crash_detector.BrokenAttempt(
            self.context.fingerprint(),
            self.context.label(),
            self.context.account.name if self.context.account is not None else "",
            self.context.call.request_id,
            self.backend,
            self.reservation.started_at,
            self.clock(),
            self.context.parts(),
        )
        self.pool.crashes.record_break(broken, is_timeout)

    def handle_timeout(self, connection: stream_client.ClientConnection | None) -> None:
        """Report a response timeout to the connection pool, if a connection was opened."""
        if connection is not None:
            self.pool.connections.handle_timeout(self.backend.instance, connection)

    def to_loop_time(self, at: float) -> float:
        """Convert a time of this node's clock to the event loop's clock."""
        return asyncio.get_running_loop().time() + (at - self.clock())

    def record_outcome(self, outcome: Outcome) -> None:
        """Update the back end's state after a complete response."""
        now = self.clock()
        if self.pool.crashes.unconfirmed and not self.is_other_instance:
            self.pool.crashes.record_response(self.backend, self.sent_at)
        if outcome.state is State.DONE:
            dispatch.record_success(self.backend, now - self.reservation.started_at)
            self.pool.crashes.record_success(self.context)
        elif outcome.state is State.NOT_RUN:
            dispatch.record_full(self.backend, now)

    def build_request(self) -> http_messages.Request:
        """Return the request to send to the back end."""
        remaining_s = None
        if self.context.call.deadline_s is not None:
            remaining_s = self.context.deadline - self.clock()
        target = fleet.Target(
            self.backend.instance,
            self.context.account.name if self.context.account else "",
            remaining_s,
            self.context.account is not None,
            self.expected_version(),
            self.relay.last_event_id,
            self.context.urgency,
        )
        return self.dialect.target_request(self.relay.exchange.request, target)

    def expected_version(self) -> int | None:
        """Return the weights version that must run the request, or None if any may.

        This is the version that the engine has loaded, which may be newer than the required one.
        """
        model = self.context.call.model
        if not model or not self.pool.required_version(model, self.clock()):
            return None
        return self.pool.loaded_version(self.backend, model)

    async def receive_response(
        self, connection: stream_client.ClientConnection
    ) -> tuple[Outcome, http_messages.Headers]:
        """Read the response, relaying it if successful; return the outcome and the headers.

        Raises ProtocolError if the response is for another request or is not a valid success.
        """
        head = await self.read_head(connection)
        headers = list(head.headers.raw_items())
        response_head = self.dialect.parse_response_head(head.status_code, headers)
        if (
            response_head.request_id is not None
            and response_head.request_id != self.context.call.request_id
        ):
            raise errors.ProtocolError(
                f"the response has another request id: {response_head.request_id}"
            )
        self.is_other_instance = response_head.is_other_instance
        self.signals_text = attempt_descriptions.describe_signals(response_head)
        self.record_signals(response_head)
        is_success = 200 <= head.status_code < 300
        if is_success and (not response_head.is_signed or response_head.is_encoded):
            raise errors.ProtocolError(
                "a successful response is unsigned or has a content encoding"
            )
        if is_success:
            dispatch.record_accepted(self.backend, self.sent_at)
        if is_success and self.context.route.kind == fleet.STREAMING:
            response = http_messages.Response(head.status_code, headers)
            return await self.relay_stream(connection, response), headers
        body = await self.read_body(connection)
        response = http_messages.Response(head.status_code, headers, body)
        if response_head.is_not_run:
            return Outcome(State.NOT_RUN, f"{head.status_code} not run", response), headers
        if not is_success:
            return Outcome(State.FAILED, f"status {head.status_code}", response), headers
        await self.relay.send_response(response)
        return Outcome(State.DONE, "answered", response), headers

    def record_signals(self, response_head: fleet.ResponseHead) -> None:
        """Record the back end's availability signals in a response.

        Leaving and limits have lasting effects, so they are accepted only from a response that
        repeats the request id or is signed, and that was not sent by another instance. A rest is
        short, so it is accepted from any process at the address.
        """
        request_id = self.context.call.request_id
        if response_head.unknown_headers:
            self.pool.recorder.record_unread_headers(
                response_head.unknown_headers, self.backend.instance, request_id
            )
        is_authentic = not response_head.is_other_instance and (
            response_head.request_id is not None or response_head.is_signed
        )
        if response_head.is_leaving and is_authentic:
            self.pool.record_leaving(self.backend, request_id)
        if response_head.cold_problem:
            metrics.unreadable_words_total.labels("cold").inc()
        elif response_head.cold_s is not None and is_authentic:
            self.pool.recorder.record_cold(
                self.backend.instance, response_head.cold_s, self.sent_at, request_id
            )
        if response_head.limit_problem:
            metrics.unreadable_words_total.labels("limit").inc()
        elif is_authentic:
            self.pool.recorder.record_limit(
                self.backend.instance, response_head.limit_per_s, self.sent_at, request_id
            )
        if response_head.rest_s is not None:
            self.pool.recorder.record_rest(self.backend.instance, response_head.rest_s, request_id)
        elif response_head.rest_problem:
            metrics.unreadable_words_total.labels("retry-after").inc()

    async def read_head(self, connection: stream_client.ClientConnection) -> h11.Response:
        """Return the response head, skipping informational responses."""
        event = await self.first_event(connection)
        while isinstance(event, h11.InformationalResponse):
            event = await self.first_event(connection)
        if not isinstance(event, h11.Response):
            raise errors.ProtocolError(f"{type(event).__name__} received before a response head")
        return event

    async def first_event(self, connection: stream_client.ClientConnection) -> h11.Event:
        """Return the next event before the first data of a response.

        Raises VersionExpiredError if the loaded weights version of a stream expires earlier.
        """
        if self.context.route.kind != fleet.STREAMING:
            return await connection.next_event()
        return await self.next_event(connection, self.first_event_timeout_s(), self.start_in_s)

    def start_in_s(self) -> float:
        """Return the seconds until the loaded weights version expires; infinite if it does not."""
        deadline = self.pool.start_deadline(self.backend, self.context.call.model)
        return max(0.0, deadline - self.clock())

    def first_event_timeout_s(self) -> float:
        """Return when a back end counts as silent; never if the request can't be retried."""
        if not self.context.is_idempotent():
            return math.inf
        return max(FIRST_EVENT_MIN_S, FIRST_EVENT_OBJECTIVE_FACTOR * self.context.route.objective_s)

    def event_gap_timeout_s(self) -> float:
        """Return how long after an event a back end counts as silent."""
        if not self.context.is_idempotent() or not self.context.route.gap_s:
            return self.first_event_timeout_s()
        return max(GAP_MIN_S, GAP_FACTOR * self.context.route.gap_s)

    async def next_event(
        self,
        connection: stream_client.ClientConnection,
        timeout_s: float,
        expires_in_s: Callable[[], float] = never,
    ) -> h11.Event:
        """Return the next event; report silence after each `timeout_s` seconds without one.

        Raises VersionExpiredError after `expires_in_s()` seconds.
        """
        waiting_since = self.clock()
        while True:
            # Asked again after each silence: a newer version may have been named meanwhile.
            expiry_s = expires_in_s()
            wait_s = min(timeout_s, expiry_s)
            if wait_s == math.inf:
                return await connection.next_event()
            try:
                event = await timeouts.wait_for(connection.next_event, wait_s)
            except TimeoutError:
                if expiry_s <= timeout_s:
                    raise VersionExpiredError(
                        "no response before the loaded weights version expired"
                    )
                self.record_silence(connection, waiting_since)
                continue
            if self.is_silent:
                self.end_silence("continued")
                dispatch.record_continued(self.backend, self.clock())
            return event

    def record_silence(
        self, connection: stream_client.ClientConnection, waiting_since: float
    ) -> None:
        """Record that the back end is silent, so that it gets no requests if others can serve."""
        if not self.is_silent:
            self.silent_since = waiting_since
            self.handle_timeout(connection)
            dispatch.record_silence(self.backend, self.clock())
        self.on_silence()

    def end_silence(self, outcome: str) -> None:
        """Record how a silence ended, for the log and the metrics."""
        assert self.silent_since is not None
        silence_s = self.clock() - self.silent_since
        self.longest_silence_s = max(self.longest_silence_s, silence_s)
        self.silent_since = None
        metrics.silences_total.labels(outcome).inc()

    async def read_body(self, connection: stream_client.ClientConnection) -> bytes:
        """Return the complete body; raise ProtocolError if it is over the bound for one."""
        connection.body_bytes_max = self.pool.memory_limits.response_bytes
        body = bytearray()
        while isinstance(event := await connection.next_event(), h11.Data):
            body += event.data
            self.hold(len(body))
        return bytes(body)

    def hold(self, byte_count: int) -> None:
        """Count `byte_count` bytes as held by this attempt for the client."""
        if byte_count != self.held_bytes:
            added, self.held_bytes = byte_count - self.held_bytes, byte_count
            self.relay.exchange.holder.add(added)

    async def relay_stream(
        self,
        connection: stream_client.ClientConnection,
        head: http_messages.Response,
    ) -> Outcome:
        """Relay complete events of a stream as they arrive.

        Partial events are dropped, so that another attempt can resume a broken stream. Raises
        ProtocolError after SKIPPED_BYTES_MAX bytes without a new event.
        """
        splitter = event_stream.EventSplitter()
        skipped_bytes = 0
        while isinstance(event := await self.stream_event(connection), h11.Data):
            skipped_bytes += len(event.data)
            for item in splitter.feed(bytes(event.data)):
                self.pool.reservations.record_prompt_read(self.reservation)
                if self.relay.is_new(item):
                    skipped_bytes = 0
                    self.on_data()
                    await self.relay.send_event(item, head)
            if splitter.buffer or self.held_bytes:
                self.hold(len(splitter.buffer))
            if skipped_bytes > SKIPPED_BYTES_MAX:
                raise errors.ProtocolError(f"the stream has no new event in {skipped_bytes} bytes")
        if splitter.buffer.strip():
            raise errors.ProtocolError("the stream ended inside an event")
        self.on_data()
        await self.relay.finish(head)
        return Outcome(State.DONE, "answered", head)

    async def stream_event(self, connection: stream_client.ClientConnection) -> h11.Event:
        """Return the next event of a stream."""
        if not self.reservation.is_read:
            return await self.first_event(connection)
        return await self.next_event(connection, self.event_gap_timeout_s())
