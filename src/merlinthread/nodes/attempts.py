"""One attempt to run a client's request on a back end.

An attempt records its outcome in the record of the back end. Its `State` says whether the request
was sent, and whether it may have run. `request_task` decides on retries.
"""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

import h11

from merlinthread import errors, metrics
from merlinthread.coordination import backend_health, backend_record, fleet
from merlinthread.nodes import (
    attempt_descriptions,
    backend_pool,
    crash_detector,
    permits,
    request_context,
    response_reader,
    response_relay,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import event_stream
from merlinthread.transport import http_messages, stream_client

# Bytes of a stream without an event that the client does not have yet. A back end that ignores
# Last-Event-ID repeats the events before it, which is more than one event.
SKIPPED_BYTES_MAX = 4 * event_stream.EVENT_BYTES_MAX
# Events of a stream that the client already has. A stream has about one event for each token, and
# few have this many. Without this bound, 280,000 events of 15 bytes fit the one above, which took
# an entry a second to read.
SKIPPED_EVENTS_MAX = 64 * 1024


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


def do_nothing() -> None:
    """Take the place of a callback that is not set."""


def always() -> bool:
    """Return True."""
    return True


class Attempt:
    """One attempt; `is_sent` is set once the request has been sent to the back end.

    `may_send` is called just before that and returns whether the retry budget allows it. `on_data`
    is called before data of its response is sent to the client. `reader` reads that response and
    notices silence, which does not end an attempt: the back end may continue.
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
        self.on_data: Callable[[], None] = do_nothing
        self.reader = response_reader.ResponseReader(
            context,
            pool,
            self.reservation,
            relay.exchange.holder,
            relay.exchange.response_room,
        )
        # Whether the response is sent to the client, or may be if no other attempt succeeds.
        self.keeps_response = False
        # The choice of the back end, the result and the availability signals, for the log.
        self.description = ""
        self.result_text = ""
        self.signals_text = ""
        self.is_other_instance = False

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
            if self.reader.is_waiting_for_room:
                return Outcome(State.UNKNOWN, "no room for the response before the deadline")
            if connection is not None:
                self.pool.connections.handle_timeout(self.backend.instance, connection)
            if not self.relay.exchange.is_started:
                backend_health.record_silence(self.backend, self.clock())
            self.record_break(True)
            return Outcome(State.UNKNOWN, "deadline exceeded")
        except errors.MerlinthreadError as error:
            if not isinstance(error, response_reader.VersionExpiredError | UnavailableError):
                backend_health.record_failure(self.backend, self.clock())
            if self.is_sent:
                self.record_break(isinstance(error, response_reader.VersionExpiredError))
                return Outcome(State.UNKNOWN, error.message)
            return Outcome(State.UNSENT, f"unsent: {error.message}")
        finally:
            if self.reader.is_silent:
                self.reader.end_silence("ended")
            self.reader.hold(0)
            if not self.keeps_response:
                self.reader.return_room(self.reader.room_bytes)
            if connection is not None:
                connection.close()

    def end_slow_read(self) -> Outcome:
        """Return the outcome of an attempt whose client has not taken its data by the deadline.

        The back end is not to blame. A complete response goes on being sent.
        """
        if self.relay.exchange.is_finished:
            backend_health.record_success(self.backend, self.clock() - self.reservation.started_at)
            return Outcome(State.DONE, "answered, not yet taken by the client")
        return Outcome(State.UNKNOWN, "the client did not take its data before the deadline")

    def release(self) -> None:
        """Remove the attempt, which has ended, from its back end's load, and drop its callbacks.

        They refer to the attempt itself and to the request, whose body would be freed late in a
        reference cycle.
        """
        self.pool.release(self.reservation)
        self.may_send = always
        self.on_data = self.reader.on_silence = do_nothing

    def give_up(self) -> None:
        """Record that another attempt has sent data, or the client has left.

        The caller cancels this attempt.
        """
        self.result_text = "given up, since another attempt has sent data"
        if self.reader.is_silent:
            self.reader.end_silence("given_up")
            self.record_break(True)

    def describe(self) -> str:
        """Return a description of the attempt for the request log."""
        parts = [
            f"{self.description}: {self.result_text}" if self.result_text else self.description
        ]
        if self.reader.longest_silence_s:
            parts.append(f"silent for {self.reader.longest_silence_s:.2f} s")
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
        if self.pool.is_version_outdated(self.backend, self.context.call.model, now):
            raise UnavailableError("its weights version expires too soon")
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

    def to_loop_time(self, at: float) -> float:
        """Convert a time of this node's clock to the event loop's clock."""
        return asyncio.get_running_loop().time() + (at - self.clock())

    def record_outcome(self, outcome: Outcome) -> None:
        """Update the back end's state after a complete response."""
        now = self.clock()
        if self.pool.crashes.unconfirmed and not self.is_other_instance:
            self.pool.crashes.record_response(self.backend, self.sent_at)
        if outcome.state is State.DONE:
            backend_health.record_success(self.backend, now - self.reservation.started_at)
            self.pool.crashes.record_success(self.context)
        elif outcome.state is State.NOT_RUN:
            backend_health.record_full(self.backend, now)

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
        head = await self.reader.read_head(connection)
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
            backend_health.record_accepted(self.backend, self.sent_at)
        if is_success and self.context.route.kind == fleet.STREAMING:
            response = http_messages.Response(head.status_code, headers)
            return await self.relay_stream(connection, response), headers
        body = await self.reader.read_body(connection, headers)
        response = http_messages.Response(head.status_code, headers, body)
        self.keeps_response = not response_head.is_not_run
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

    async def relay_stream(
        self,
        connection: stream_client.ClientConnection,
        head: http_messages.Response,
    ) -> Outcome:
        """Relay complete events of a stream as they arrive.

        Partial events are dropped, so that another attempt can resume a broken stream. Raises
        ProtocolError after SKIPPED_BYTES_MAX bytes or SKIPPED_EVENTS_MAX events without a new one.
        """
        splitter = event_stream.EventSplitter()
        skipped_bytes = skipped_events = 0
        while isinstance(event := await self.reader.stream_event(connection), h11.Data):
            skipped_bytes += len(event.data)
            for item in splitter.feed(bytes(event.data)):
                self.pool.reservations.record_prompt_read(self.reservation)
                skipped_events += 1
                if self.relay.is_new(item):
                    skipped_bytes = skipped_events = 0
                    self.on_data()
                    await self.relay.send_event(item, head)
            if splitter.buffer or self.reader.held_bytes:
                self.reader.hold(len(splitter.buffer))
            if skipped_bytes > SKIPPED_BYTES_MAX or skipped_events > SKIPPED_EVENTS_MAX:
                raise errors.ProtocolError(
                    f"the stream has no new event in {skipped_bytes} bytes"
                    f" and {skipped_events} events"
                )
        if splitter.buffer.strip():
            raise errors.ProtocolError("the stream ended inside an event")
        self.on_data()
        await self.relay.finish(head)
        return Outcome(State.DONE, "answered", head)
