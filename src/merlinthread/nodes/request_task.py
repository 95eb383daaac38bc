"""One client's request: its route, its attempts on back ends, and its one final answer.

What is known of each attempt is typed: whether it was sent, whether it surely did not run, whether
its answer has begun. Only from that follows what may be repeated and what is told to the client.
"""

import asyncio
import dataclasses
import enum
import math

import h11

from merlinthread import errors, logs, metrics
from merlinthread.coordination import dispatch, fleet, route_table
from merlinthread.nodes import backend_pool
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import answers, event_bytes
from merlinthread.transport import http_messages, stream_client, stream_server

# Share of a route's objective that a request may wait for a place before it is refused.
PATIENCE_SHARE = 0.15
# Share of the objective within which the first byte must be expected for a place to be taken. The
# request's own prompt is left out, so that large requests are not refused more often.
ADMIT_SHARE = 0.7
# The same for a client that was probably refused before, having so little of its time left.
ADMIT_AGAIN_SHARE = 1.0
SECOND_TRY_SHARE = 0.8
RETRY_AFTER_MIN_S = 0.3
NONE_FREE_WAIT_S = 1.8
RETRY_AFTER_MAX_S = 2.0
# Clients wait as told up to this share of the time that they have left.
RETURN_SHARE = 0.33
RETURN_SPREAD = 0.6
CONNECT_FAILURES_MAX = 4
DEADLINE_MARGIN_S = 0.03
FIRST_EVENT_OBJECTIVES = 2.0
FIRST_EVENT_MIN_S = 0.8
GAP_SHARE = 2.0
SILENCE_MIN_S = 0.6
URGENCY_MAX = 9


class SilentError(errors.UnreachableError):
    """A back end said nothing for too long."""


class OverdueError(errors.UnreachableError):
    """An attempt has not begun by the time after which its version may not begin any more."""


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
    answer: http_messages.Answer | None = None


class RequestTask:
    """Serves one request."""

    def __init__(
        self,
        exchange: stream_server.Exchange,
        dialect: dialects.Dialect,
        pool: backend_pool.BackendPool,
        table: route_table.RouteTable | None,
        arrived: float,
    ) -> None:
        self.exchange = exchange
        self.dialect = dialect
        self.pool = pool
        self.table = table
        self.clock = pool.clock
        self.arrived = arrived
        self.call: fleet.Call | None = None
        self.route: fleet.Route | None = None
        self.account: fleet.Account | None = None
        self.service = ""
        self.deadline = arrived
        self.tried: set[str] = set()
        self.sent = 0
        self.may_have_run = False
        self.reasons: list[str] = []
        self.last_event_id = ""
        self.first_at: float | None = None

    async def run(self) -> None:
        """Serve the request; its final answer is sent once."""
        try:
            self.begin()
            await self.serve()
        except errors.MerlinthreadError as error:
            await self.refuse(error)
        except asyncio.CancelledError:
            self.log("left", 0)
            raise

    def begin(self) -> None:
        """Find out what the request is and where it belongs."""
        self.call = self.dialect.client_call(self.exchange.request)
        self.route, self.account = backend_pool.find_route(self.table, self.call)
        self.service = route_table.choose_service(self.route, self.pool.rng)
        self.last_event_id = self.call.last_event_id
        limit = self.route.timeout_s
        if self.call.deadline_s is not None:
            limit = min(limit, self.call.deadline_s - DEADLINE_MARGIN_S)
        self.deadline = self.arrived + max(0.0, limit)
        self.pool.budget(self.service).note_first(self.arrived)

    # Attempts

    async def serve(self) -> None:
        """Make attempts until there is a final answer."""
        failures = 0
        while True:
            choice = await self.find_place()
            backend = choice.backend
            self.reasons.append(self.belief(choice))
            outcome = await self.attempt(backend)
            self.reasons[-1] += f": {outcome.reason}"
            if outcome.state is State.DONE:
                return
            if outcome.state in (State.UNKNOWN, State.FAILED):
                self.may_have_run = True
            if outcome.state is State.UNSENT:
                failures += 1
                if failures >= CONNECT_FAILURES_MAX:
                    raise self.no_place("back ends can't be reached")
                continue
            if not self.may_repeat(outcome):
                await self.give_up(outcome)
                return

    def belief(self, choice: dispatch.Choice) -> str:
        """Return what is believed of a back end, for the log."""
        backend = choice.backend
        now = self.clock()
        age_ms = round(1000 * (now - backend.heard_at())) if backend.others_known(now) else -1
        waited_ms = round(1000 * (now - self.arrived))
        expected_ms = round(1000 * choice.first_s)
        unread = round(backend.unread_tokens + (backend.others_unread_tokens or 0.0))
        return (
            f"{backend.instance} after {waited_ms} ms, load {backend.load(now)}, "
            f"unread {unread}, pace {backend.pace:.2g}, age {age_ms} ms, "
            f"first byte expected in {expected_ms} ms"
        )

    def may_repeat(self, outcome: Outcome) -> bool:
        """Return whether another attempt is allowed; it is taken out of the budget."""
        assert self.route is not None
        if self.sent >= self.route.attempts or self.clock() >= self.deadline:
            return False
        if outcome.state is not State.NOT_RUN and not self.is_idempotent():
            return False
        if self.exchange.is_started and not self.route.is_resumable:
            return False
        return self.pool.budget(self.service).spend(self.clock())

    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        assert self.route is not None
        return self.route.kind == fleet.SAFE or (
            self.route.kind == fleet.STREAMING and self.route.is_resumable
        )

    async def give_up(self, outcome: Outcome) -> None:
        """Send the final answer after the last attempt."""
        if self.exchange.is_started:
            self.log("broken_off", 0)
            self.exchange.abort()
            return
        if outcome.state is State.FAILED and outcome.answer is not None:
            await self.relay(outcome.answer)
            return
        if outcome.state is State.NOT_RUN:
            raise self.no_place("back ends are full")
        if self.clock() >= self.deadline:
            raise errors.RequestError("the time is over", kind=errors.ErrorKind.DEADLINE_EXCEEDED)
        raise errors.RequestError(
            "the back end gave no whole answer", kind=errors.ErrorKind.OUTCOME_UNKNOWN
        )

    def no_place(self, reason: str, wait_s: float = 0.0) -> errors.RequestError:
        """Return the refusal of a request that has not run, with when to come back.

        If an earlier attempt may have run, it is no promise.
        """
        if self.may_have_run:
            return errors.RequestError(reason, kind=errors.ErrorKind.OUTCOME_UNKNOWN)
        wait_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
        return errors.RequestError(
            reason, kind=errors.ErrorKind.NO_TARGET, retry_after_s=round(wait_s, 3)
        )

    # Places

    def demand(self) -> dispatch.Demand:
        """Return what an attempt needs now."""
        assert self.call is not None
        model = self.call.model
        now = self.clock()
        return dispatch.Demand(
            self.service,
            model,
            self.pool.required_version(model, now) if model else 0,
            self.pool.version_soon(model, now) if model else 0,
            self.call.prompt_tokens,
            set(self.tried),
        )

    async def find_place(self) -> dispatch.Choice:
        """Return a back end whose first byte is expected in time, waiting a moment for one.

        Raises RequestError if there is none.
        """
        assert self.route is not None
        patience_until = self.arrived + PATIENCE_SHARE * self.route.objective_s
        room = self.pool.room(self.service)
        while True:
            now = self.clock()
            left_s = self.admit_until() - now
            choice = await self.pool.choose(self.demand(), left_s)
            if choice is None and self.tried and self.is_idempotent():
                self.tried.clear()
                choice = await self.pool.choose(self.demand(), left_s)
            if choice is not None and choice.wait_s <= left_s:
                return choice
            if now >= self.deadline:
                raise errors.RequestError(
                    "the time is over", kind=errors.ErrorKind.DEADLINE_EXCEEDED
                )
            if now >= patience_until:
                return self.late_place(choice)
            timeout_s = min(patience_until - now, 0.05)
            await room.wait(self.urgency(), self.arrived, timeout_s)

    def admit_until(self) -> float:
        """Return when the first byte must be there for the place to be worth taking."""
        assert self.route is not None
        if self.exchange.is_started:
            return self.deadline
        share = ADMIT_AGAIN_SHARE if self.is_second_try() else ADMIT_SHARE
        return self.arrived + share * self.route.objective_s

    def is_second_try(self) -> bool:
        """Return whether the client has used up so much time that it was refused before.

        Being refused twice costs it more than a late answer.
        """
        assert self.call is not None and self.route is not None
        left_s = self.call.deadline_s
        return left_s is not None and left_s < SECOND_TRY_SHARE * self.route.timeout_s

    def late_place(self, choice: dispatch.Choice | None) -> dispatch.Choice:
        """Return a back end although it will be late, or raise RequestError."""
        assert self.route is not None
        if choice is None:
            raise self.no_place("no back end is free", NONE_FREE_WAIT_S)
        has_begun = self.sent > 0 or self.exchange.is_started
        if has_begun or self.route.kind != fleet.STREAMING:
            return choice
        raise self.no_place(f"every back end is busy: {self.belief(choice)}", self.return_after_s())

    def return_after_s(self) -> float:
        """Return when to come back: as late as it still helps, and not all at once.

        An overload lasts seconds; who comes back at once only meets it again.
        """
        latest_s = min(RETRY_AFTER_MAX_S, (self.deadline - self.clock()) * RETURN_SHARE)
        return latest_s * self.pool.rng.uniform(RETURN_SPREAD, 1.0)

    def urgency(self) -> int:
        """Return the request's rank, 0 first: its account's before its route's."""
        assert self.route is not None
        rank = self.route.priority
        if self.account is not None and self.account.priority is not None:
            rank = self.account.priority
        return max(0, min(URGENCY_MAX, rank))

    # One attempt

    async def attempt(self, backend: dispatch.Backend) -> Outcome:
        """Send the request to one back end and relay its answer if it is whole."""
        assert self.call is not None
        self.tried.add(backend.instance)
        place = self.pool.occupy(backend, self.call.prompt_tokens)
        started = self.clock()
        connection: stream_client.ClientConnection | None = None
        is_sent = False
        try:
            connection = await self.pool.connect(backend, self.is_idempotent())
            connection.send(self.request_for(backend))
            is_sent = True
            self.sent += 1
            async with asyncio.timeout_at(self.loop_time(self.deadline)):
                outcome, headers = await self.converse(connection, place)
            if outcome.state in (State.DONE, State.FAILED, State.NOT_RUN):
                self.pool.give_back(backend, connection, headers)
                connection = None
            self.judge(backend, outcome, started)
            return outcome
        except TimeoutError:
            if not self.exchange.is_started:
                dispatch.note_failure(backend, self.clock())
            return Outcome(State.UNKNOWN, "the time is over")
        except errors.MerlinthreadError as error:
            if not isinstance(error, OverdueError):
                dispatch.note_failure(backend, self.clock())
            if is_sent:
                return Outcome(State.UNKNOWN, error.message)
            return Outcome(State.UNSENT, f"unsent: {error.message}")
        finally:
            self.pool.release(place)
            if connection is not None:
                connection.close()

    def loop_time(self, at: float) -> float:
        """Return `at` as a time of the event loop."""
        return asyncio.get_running_loop().time() + (at - self.clock())

    def judge(self, backend: dispatch.Backend, outcome: Outcome, started: float) -> None:
        """Note what an attempt tells of its back end."""
        now = self.clock()
        if outcome.state is State.DONE:
            dispatch.note_success(backend, now - started)
        elif outcome.state is State.NOT_RUN:
            dispatch.note_full(backend, now)

    def request_for(self, backend: dispatch.Backend) -> http_messages.Request:
        """Return the request as this back end gets it."""
        assert self.call is not None
        remaining_s = None
        if self.call.deadline_s is not None:
            remaining_s = self.deadline - self.clock()
        version = self.pool.required_version(self.call.model, self.clock())
        target = fleet.Target(
            backend.instance,
            self.account.name if self.account else "",
            remaining_s,
            self.account is not None,
            version or None,
            self.last_event_id,
            self.urgency(),
        )
        return self.dialect.target_request(self.exchange.request, target)

    async def converse(
        self, connection: stream_client.ClientConnection, place: backend_pool.Place
    ) -> tuple[Outcome, http_messages.Headers]:
        """Read the answer, and relay it if it counts; return what came of it and its headers."""
        head = await self.read_head(connection, place)
        headers = list(head.headers.raw_items())
        facts = self.dialect.answer_facts(head.status_code, headers)
        assert self.call is not None and self.route is not None
        if facts.request_id is not None and facts.request_id != self.call.request_id:
            raise errors.ProtocolError(f"an answer to another request: {facts.request_id}")
        is_success = 200 <= head.status_code < 300
        if is_success and (not facts.is_signed or facts.is_encoded):
            raise errors.ProtocolError("a success without a signature, or encoded")
        if is_success and self.route.kind == fleet.STREAMING:
            answer = http_messages.Answer(head.status_code, headers)
            return await self.relay_stream(connection, answer, place), headers
        body = await self.read_body(connection)
        answer = http_messages.Answer(head.status_code, headers, body)
        if facts.is_not_run:
            return Outcome(State.NOT_RUN, f"{head.status_code} not run", answer), headers
        if not is_success:
            return Outcome(State.FAILED, f"status {head.status_code}", answer), headers
        await self.relay(answer)
        return Outcome(State.DONE, "answered", answer), headers

    async def read_head(
        self, connection: stream_client.ClientConnection, place: backend_pool.Place
    ) -> h11.Response:
        """Return the head of the answer; a stream's must come within bounds."""
        event = await self.first_event(connection, place)
        while isinstance(event, h11.InformationalResponse):
            event = await self.first_event(connection, place)
        if not isinstance(event, h11.Response):
            raise errors.ProtocolError(f"{type(event).__name__} came before an answer's head")
        return event

    async def first_event(
        self, connection: stream_client.ClientConnection, place: backend_pool.Place
    ) -> h11.Event:
        """Return the next event of an answer whose stream has not begun yet.

        Raises OverdueError if the back end holds an old version and its bound comes before.
        """
        assert self.route is not None and self.call is not None
        if self.route.kind != fleet.STREAMING:
            return await connection.next_event()
        limit_s = self.first_limit_s()
        overdue_s = self.pool.begin_by(place.backend, self.call.model) - self.clock()
        if limit_s <= overdue_s:
            return await self.next_event(connection, limit_s)
        try:
            return await self.next_event(connection, max(0.0, overdue_s))
        except SilentError:
            raise OverdueError("not begun when the bound of its old version came")

    def first_limit_s(self) -> float:
        """Return how long a back end may be silent before its first event."""
        assert self.route is not None
        if not self.is_idempotent():
            return math.inf
        return max(FIRST_EVENT_MIN_S, FIRST_EVENT_OBJECTIVES * self.route.objective_s)

    def pause_limit_s(self) -> float:
        """Return how long a back end may be silent between two events."""
        assert self.route is not None
        if not self.is_idempotent() or not self.route.gap_s:
            return self.first_limit_s()
        return max(SILENCE_MIN_S, GAP_SHARE * self.route.gap_s)

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

    async def relay(self, answer: http_messages.Answer) -> None:
        """Send a back end's whole answer on."""
        headers = without_length(http_messages.forwarded_headers(answer.headers))
        self.log("answered", answer.status)
        await self.exchange.respond(http_messages.Answer(answer.status, headers, answer.body))

    async def relay_stream(
        self,
        connection: stream_client.ClientConnection,
        head: http_messages.Answer,
        place: backend_pool.Place,
    ) -> Outcome:
        """Send events on as they come, whole ones only; go on after a break elsewhere."""
        assert self.route is not None
        splitter = event_bytes.EventSplitter()
        while isinstance(event := await self.stream_event(connection, place), h11.Data):
            for item in splitter.feed(bytes(event.data)):
                self.pool.note_first(place)
                await self.relay_event(item, head)
        if splitter.rest.strip():
            raise errors.ProtocolError("the stream ended inside an event")
        self.start_stream(head)
        self.log("answered", head.status)
        await self.exchange.finish()
        return Outcome(State.DONE, "answered", head)

    async def stream_event(
        self, connection: stream_client.ClientConnection, place: backend_pool.Place
    ) -> h11.Event:
        """Return the next event of a stream; raise UnreachableError if it is silent for long."""
        if not place.is_read:
            return await self.first_event(connection, place)
        return await self.next_event(connection, self.pause_limit_s())

    async def relay_event(self, item: event_bytes.RawEvent, head: http_messages.Answer) -> None:
        """Send one event on, unless the client has it already."""
        if item.event_id and not event_bytes.is_after(item.event_id, self.last_event_id):
            return
        self.start_stream(head)
        await self.exchange.send(item.data)
        self.last_event_id = item.event_id or self.last_event_id

    def start_stream(self, head: http_messages.Answer) -> None:
        """Send the head of the first back end that gave an event; later ones keep it."""
        if self.exchange.is_started:
            return
        headers = without_length(http_messages.forwarded_headers(head.headers))
        self.first_at = self.clock()
        metrics.first_token_seconds.observe(self.first_at - self.arrived)
        self.exchange.start(head.status, headers)

    # The end

    async def refuse(self, error: errors.MerlinthreadError) -> None:
        """Send an answer of this node's own."""
        entry = answers.TABLE[error.kind]
        if self.exchange.is_started:
            self.log("broken_off", 0)
            self.exchange.abort()
            return
        headers = self.dialect.refusal_headers(self.call)
        wait_s = error.retry_after_s if error.retry_after_s is not None else entry.retry_after_s
        if wait_s is not None:
            headers.append((b"retry-after", b"%g" % wait_s))
        self.reasons.append(error.message)
        metrics.refusals_total.labels(str(error.kind)).inc()
        self.log(str(error.kind), entry.status)
        await self.exchange.respond(http_messages.Answer(entry.status, headers))

    def log(self, outcome: str, status: int) -> None:
        """Log the decision on this request, with what it was based on."""
        metrics.requests_total.labels(self.route.kind if self.route else "unknown", outcome).inc()
        logs.event(
            "request",
            request=self.call.request_id if self.call else "",
            outcome=outcome,
            status=status,
            route=self.route.name if self.route else "",
            configuration=self.table.version if self.table else 0,
            service=self.service,
            sent=self.sent,
            ms=round(1000 * (self.clock() - self.arrived)),
            first_ms=round(1000 * (self.first_at - self.arrived)) if self.first_at else None,
            attempts=self.reasons,
        )


def without_length(headers: http_messages.Headers) -> http_messages.Headers:
    """Return the headers without the body's length, which is set anew."""
    return [(key, value) for key, value in headers if key.lower() != b"content-length"]
