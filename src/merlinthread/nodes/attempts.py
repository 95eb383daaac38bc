"""One attempt of a client's request on one back end.

What is known of an attempt is typed: whether it was sent, whether it surely did not run, whether
its answer has begun. An attempt judges its back end by what came of it; what follows for the
request is decided in `request_task`.
"""

import asyncio
import dataclasses
import enum
import math

import h11

from merlinthread import errors, metrics
from merlinthread.coordination import backend_record, dispatch, fleet
from merlinthread.nodes import (
    attempt_descriptions,
    backend_pool,
    crash_watch,
    permits,
    request_context,
    response_relay,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import event_stream
from merlinthread.transport import http_messages, stream_client

FIRST_EVENT_OBJECTIVES = 2.0
FIRST_EVENT_MIN_S = 0.8
GAP_SHARE = 2.0
SILENCE_MIN_S = 0.6


class SilentError(errors.UnreachableError):
    """A back end said nothing for too long."""


class OverdueError(errors.UnreachableError):
    """An attempt has not begun by the time after which its version may not begin any more."""


class ClosedError(errors.UnreachableError):
    """A back end said, after it had been chosen, that it takes no requests."""


class State(enum.Enum):
    """How far an attempt came."""

    UNSENT = "unsent"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Outcome:
    """What came of one attempt; `answer` is the back end's where there is a whole one."""

    state: State
    reason: str
    answer: http_messages.Response | None = None


class Attempt:
    """One attempt; `is_sent` tells whether the request left for the back end."""

    def __init__(
        self,
        facts: request_context.Facts,
        relay: response_relay.Relay,
        dialect: dialects.Dialect,
        pool: backend_pool.BackendPool,
        backend: backend_record.Backend,
        permit: permits.Permit | None = None,
    ) -> None:
        self.facts = facts
        self.permit = permit
        self.relay = relay
        self.dialect = dialect
        self.pool = pool
        self.clock = pool.clock
        self.backend = backend
        self.place = pool.occupy(backend, facts.call.prompt_tokens)
        self.is_sent = False
        self.sent_at = float("-inf")
        # What the back end said of itself in its answer, for the log.
        self.told = ""

    async def run(self) -> Outcome:
        """Send the request and relay the answer if it is whole; return what came of it."""
        connection: stream_client.ClientConnection | None = None
        try:
            connection = await self.pool.connections.connect(
                self.backend, self.facts.is_idempotent()
            )
            self.check_open()
            connection.send(self.request())
            self.is_sent = True
            self.sent_at = self.clock()
            async with asyncio.timeout_at(self.loop_time(self.facts.deadline)):
                outcome, headers = await self.converse(connection)
            if outcome.state in (State.DONE, State.FAILED, State.NOT_RUN):
                self.pool.connections.give_back(self.backend, connection, headers)
                connection = None
            self.judge(outcome)
            return outcome
        except TimeoutError:
            self.note_silence(connection)
            if not self.relay.exchange.is_started:
                dispatch.record_failure(self.backend, self.clock())
            self.note_break(True)
            return Outcome(State.UNKNOWN, "the time is over")
        except errors.MerlinthreadError as error:
            if isinstance(error, SilentError):
                self.note_silence(connection)
            if not isinstance(error, OverdueError | ClosedError):
                dispatch.record_failure(self.backend, self.clock())
            if self.is_sent:
                self.note_break(isinstance(error, SilentError | OverdueError))
                return Outcome(State.UNKNOWN, error.message)
            return Outcome(State.UNSENT, f"unsent: {error.message}")
        finally:
            self.pool.release(self.place)
            if connection is not None:
                connection.close()

    def check_open(self) -> None:
        """Raise ClosedError if the back end takes nothing any more.

        All ways lead through here: first and later attempts, resumed streams, the last resort. What
        an answer said while this one waited for its connection counts.
        """
        now = self.clock()
        availability = self.pool.signals.availability_of(self.backend.instance)
        if availability.is_unavailable(now):
            raise ClosedError(
                "it said that it leaves" if availability.is_leaving else "it is at rest"
            )
        if not availability.is_limited():
            return
        if self.permit is None or not self.permit.is_valid(self.backend.instance, now):
            raise ClosedError("it named a limit, and there is no permit for this request")

    def note_break(self, is_silent: bool) -> None:
        """Note that the request left and no whole answer came."""
        found = crash_watch.Break(
            self.facts.fingerprint(),
            self.facts.label(),
            self.facts.account.name if self.facts.account is not None else "",
            self.facts.call.request_id,
            self.backend,
            self.place.started,
            self.clock(),
        )
        self.pool.crashes.note_break(found, is_silent)

    def note_silence(self, connection: stream_client.ClientConnection | None) -> None:
        """Note that nothing came over the connection in time."""
        if connection is not None:
            self.pool.connections.note_silence(self.backend.instance, connection)

    def loop_time(self, at: float) -> float:
        """Return `at` as a time of the event loop."""
        return asyncio.get_running_loop().time() + (at - self.clock())

    def judge(self, outcome: Outcome) -> None:
        """Note what an attempt tells of its back end."""
        now = self.clock()
        if outcome.state is State.DONE:
            dispatch.record_success(self.backend, now - self.place.started)
            if self.pool.crashes.ledger.records:
                self.pool.crashes.note_whole_answer(self.facts.fingerprint())
        elif outcome.state is State.NOT_RUN:
            dispatch.record_full(self.backend, now)

    def request(self) -> http_messages.Request:
        """Return the request as the back end gets it."""
        remaining_s = None
        if self.facts.call.deadline_s is not None:
            remaining_s = self.facts.deadline - self.clock()
        target = fleet.Target(
            self.backend.instance,
            self.facts.account.name if self.facts.account else "",
            remaining_s,
            self.facts.account is not None,
            self.expected_version(),
            self.relay.last_event_id,
            self.facts.urgency(),
        )
        return self.dialect.target_request(self.relay.exchange.request, target)

    def expected_version(self) -> int | None:
        """Return the version of the weights that must run the request, None if any may.

        That is the one that the engine is known to hold: it may be newer than the one that is due.
        """
        model = self.facts.call.model
        if not model or not self.pool.required_version(model, self.clock()):
            return None
        return self.pool.held_version(self.backend, model)

    async def converse(
        self, connection: stream_client.ClientConnection
    ) -> tuple[Outcome, http_messages.Headers]:
        """Read the answer, and relay it if it counts; return what came of it and its headers."""
        head = await self.read_head(connection)
        headers = list(head.headers.raw_items())
        facts = self.dialect.response_head(head.status_code, headers)
        if facts.request_id is not None and facts.request_id != self.facts.call.request_id:
            raise errors.ProtocolError(f"an answer to another request: {facts.request_id}")
        self.told = attempt_descriptions.told_of_itself(facts)
        self.heed(facts)
        is_success = 200 <= head.status_code < 300
        if is_success and (not facts.is_signed or facts.is_encoded):
            raise errors.ProtocolError("a success without a signature, or encoded")
        if is_success and self.facts.route.kind == fleet.STREAMING:
            answer = http_messages.Response(head.status_code, headers)
            return await self.relay_stream(connection, answer), headers
        body = await self.read_body(connection)
        answer = http_messages.Response(head.status_code, headers, body)
        if facts.is_not_run:
            return Outcome(State.NOT_RUN, f"{head.status_code} not run", answer), headers
        if not is_success:
            return Outcome(State.FAILED, f"status {head.status_code}", answer), headers
        await self.relay.give(answer)
        return Outcome(State.DONE, "answered", answer), headers

    def heed(self, facts: fleet.ResponseHead) -> None:
        """Take over what an answer says of the back end itself.

        That it leaves holds for all its life, and a limit until it says otherwise, so the answer
        must surely be its own: it repeats the request's id or is signed, and is not another's
        refusal of what was meant for this one. A rest is short, so whoever answers at the address
        may ask for it.
        """
        request_id = self.facts.call.request_id
        if facts.unread:
            self.pool.words.record_unread_headers(facts.unread, self.backend.instance, request_id)
        is_its_own = not facts.is_other and (facts.request_id is not None or facts.is_signed)
        if facts.is_leaving and is_its_own:
            self.pool.note_leaving(self.backend, request_id)
        if facts.limit_problem:
            metrics.unreadable_words_total.labels("limit").inc()
        elif is_its_own:
            self.pool.words.note_limit(
                self.backend.instance, facts.limit_per_s, self.sent_at, request_id
            )
        if facts.rest_s is not None:
            self.pool.words.note_rest(self.backend.instance, facts.rest_s, request_id)
        elif facts.rest_problem:
            metrics.unreadable_words_total.labels("retry-after").inc()

    async def read_head(self, connection: stream_client.ClientConnection) -> h11.Response:
        """Return the head of the answer; a stream's must come within bounds."""
        event = await self.first_event(connection)
        while isinstance(event, h11.InformationalResponse):
            event = await self.first_event(connection)
        if not isinstance(event, h11.Response):
            raise errors.ProtocolError(f"{type(event).__name__} came before an answer's head")
        return event

    async def first_event(self, connection: stream_client.ClientConnection) -> h11.Event:
        """Return the next event of an answer whose stream has not begun yet.

        Raises OverdueError if the back end holds an old version and its bound comes before.
        """
        if self.facts.route.kind != fleet.STREAMING:
            return await connection.next_event()
        limit_s = self.first_limit_s()
        overdue_s = self.pool.begin_by(self.backend, self.facts.call.model) - self.clock()
        if limit_s <= overdue_s:
            return await self.next_event(connection, limit_s)
        try:
            return await self.next_event(connection, max(0.0, overdue_s))
        except SilentError:
            raise OverdueError("not begun when the bound of its old version came")

    def first_limit_s(self) -> float:
        """Return how long a back end may be silent before its first event."""
        if not self.facts.is_idempotent():
            return math.inf
        return max(FIRST_EVENT_MIN_S, FIRST_EVENT_OBJECTIVES * self.facts.route.objective_s)

    def pause_limit_s(self) -> float:
        """Return how long a back end may be silent between two events."""
        if not self.facts.is_idempotent() or not self.facts.route.gap_s:
            return self.first_limit_s()
        return max(SILENCE_MIN_S, GAP_SHARE * self.facts.route.gap_s)

    async def next_event(
        self, connection: stream_client.ClientConnection, limit_s: float
    ) -> h11.Event:
        """Return the next event of the answer; raise SilentError after `limit_s`."""
        if limit_s == math.inf:
            return await connection.next_event()
        timeout = asyncio.timeout(limit_s)
        try:
            async with timeout:
                return await connection.next_event()
        except TimeoutError:
            if timeout.expired():
                raise SilentError(f"silent for {limit_s:.2f} s")
            raise

    async def read_body(self, connection: stream_client.ClientConnection) -> bytes:
        """Return the whole body."""
        parts = []
        while isinstance(event := await connection.next_event(), h11.Data):
            parts.append(bytes(event.data))
        return b"".join(parts)

    async def relay_stream(
        self,
        connection: stream_client.ClientConnection,
        head: http_messages.Response,
    ) -> Outcome:
        """Send events on as they come, whole ones only; go on after a break elsewhere."""
        splitter = event_stream.EventSplitter()
        while isinstance(event := await self.stream_event(connection), h11.Data):
            for item in splitter.feed(bytes(event.data)):
                self.pool.note_first(self.place)
                await self.relay.give_event(item, head)
        if splitter.buffer.strip():
            raise errors.ProtocolError("the stream ended inside an event")
        await self.relay.finish(head)
        return Outcome(State.DONE, "answered", head)

    async def stream_event(self, connection: stream_client.ClientConnection) -> h11.Event:
        """Return the next event of a stream; raise UnreachableError if it is silent for long."""
        if not self.place.is_read:
            return await self.first_event(connection)
        return await self.next_event(connection, self.pause_limit_s())
