"""One client's request: its route, its attempts on back ends, and its one final answer.

What came of each attempt is typed (`attempts.State`); only from that follows what may be repeated
and what is told to the client.
"""

import asyncio
import math

from merlinthread import errors, logs, metrics
from merlinthread.coordination import backend_record, dispatch, fleet, retry_delays, route_table
from merlinthread.nodes import (
    answer_relay,
    attempt_notes,
    attempts,
    backend_pool,
    permits,
    request_facts,
    route_finder,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import error_responses
from merlinthread.transport import http_messages, stream_server

# Share of a route's objective that a request may wait for a place before it is refused: its client
# loses less than an eighth of it.
PATIENCE_SHARE = 0.12
# Share of the objective within which the first byte must be expected for a place to be taken. The
# request's own prompt is left out, so that large requests are not refused more often.
ADMIT_SHARE = 0.7
# The same for a client that was probably refused before, having so little of its time left.
ADMIT_AGAIN_SHARE = 0.85
SECOND_TRY_SHARE = 0.8
CONNECT_FAILURES_MAX = 4
DEADLINE_MARGIN_S = 0.03


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
        self.call: fleet.RequestHead | None = None
        self.facts: request_facts.Facts | None = None
        self.service = ""
        self.relay = answer_relay.Relay(exchange, pool.clock, arrived, self.on_answered)
        self.tried: set[str] = set()
        self.attempts: list[attempts.Attempt] = []
        # Leave to send the next attempt to a back end that named a limit.
        self.permit: permits.Permit | None = None
        self.may_have_run = False
        self.reasons: list[str] = []

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
        wait_s = self.pool.restart_wait_s()
        is_newest = self.pool.watcher.is_sure()
        route, account = route_finder.find_route(self.table, self.call, is_newest, wait_s)
        self.service = route_table.choose_service(route, self.pool.rng)
        self.relay.last_event_id = self.call.last_event_id
        limit = route.timeout_s
        if self.call.deadline_s is not None:
            limit = min(limit, self.call.deadline_s - DEADLINE_MARGIN_S)
        deadline = self.arrived + max(0.0, limit)
        body = self.exchange.request.body
        self.facts = request_facts.Facts(self.call, route, account, deadline, body)
        self.check_not_held()
        self.pool.budget(self.service).record_first_attempt(self.arrived)

    def check_not_held(self) -> None:
        """Raise RequestError if too many back ends have ended under this request.

        Any further attempt would end another one, with all that runs there: 14 streams of other
        clients at a busy engine.
        """
        assert self.facts is not None
        crashes = self.pool.crashes
        if not crashes.ledger.records or not crashes.ledger.is_held(self.facts.fingerprint()):
            return
        reason = f"held back: back ends ended under {self.facts.fingerprint()}"
        if self.may_have_run:
            raise errors.RequestError(reason, kind=errors.ErrorKind.OUTCOME_UNKNOWN)
        raise errors.RequestError(reason, kind=errors.ErrorKind.HELD_BACK)

    # Attempts

    async def serve(self) -> None:
        """Make attempts until there is a final answer."""
        failures = 0
        while True:
            choice = await self.find_place()
            # Other entries may have seen an end while this request waited or was tried.
            self.check_not_held()
            backend = choice.backend
            self.reasons.append(self.belief(choice))
            outcome = await self.attempt(backend)
            self.reasons[-1] += f": {outcome.reason}"
            self.add_told()
            if outcome.state is attempts.State.DONE:
                return
            if outcome.state in (attempts.State.UNKNOWN, attempts.State.FAILED):
                self.may_have_run = True
                await self.settle(backend)
            if outcome.state is attempts.State.UNSENT:
                failures += 1
                if failures >= CONNECT_FAILURES_MAX:
                    raise self.no_place(
                        "back ends can't be reached", retry_delays.RETRY_AFTER_MIN_S
                    )
                continue
            if not self.may_repeat(outcome):
                await self.give_up(outcome)
                return

    async def settle(self, backend: backend_record.Backend) -> None:
        """Wait until it is known whether a back end ended under a request that is suspect.

        That takes a few ms; an attempt that does not wait may end one more back end.
        """
        assert self.facts is not None
        crashes = self.pool.crashes
        if crashes.ledger.records and crashes.ledger.is_suspect(self.facts.fingerprint()):
            await crashes.settled(backend)

    def belief(self, choice: dispatch.Choice) -> str:
        """Return what is believed of a back end, for the log."""
        return attempt_notes.belief(choice, self.permit, self.arrived, self.clock())

    def may_repeat(self, outcome: attempts.Outcome) -> bool:
        """Return whether another attempt is allowed; it is taken out of the budget."""
        assert self.facts is not None
        if self.sent() >= self.facts.route.attempts or self.clock() >= self.facts.deadline:
            return False
        if outcome.state is not attempts.State.NOT_RUN and not self.facts.is_idempotent():
            return False
        if self.exchange.is_started and not self.facts.route.is_resumable:
            return False
        return self.pool.budget(self.service).spend(self.clock())

    async def give_up(self, outcome: attempts.Outcome) -> None:
        """Send the final answer after the last attempt."""
        assert self.facts is not None
        if self.exchange.is_started:
            self.log("broken_off", 0)
            self.exchange.abort()
            return
        if outcome.state is attempts.State.FAILED and outcome.answer is not None:
            await self.relay.give(outcome.answer)
            return
        if outcome.state is attempts.State.NOT_RUN:
            raise self.no_place("back ends are full", retry_delays.RETRY_AFTER_MIN_S)
        if self.clock() >= self.facts.deadline:
            raise errors.RequestError("the time is over", kind=errors.ErrorKind.DEADLINE_EXCEEDED)
        raise errors.RequestError(
            "the back end gave no whole answer", kind=errors.ErrorKind.OUTCOME_UNKNOWN
        )

    def no_place(self, reason: str, wait_s: float) -> errors.RequestError:
        """Return the refusal of a request that has not run, with when to come back.

        If an earlier attempt may have run, it is no promise.
        """
        if self.may_have_run:
            return errors.RequestError(reason, kind=errors.ErrorKind.OUTCOME_UNKNOWN)
        return errors.RequestError(
            reason, kind=errors.ErrorKind.NO_TARGET, retry_after_s=round(wait_s, 3)
        )

    # Places

    def demand(self) -> dispatch.Demand:
        """Return what an attempt needs now."""
        assert self.facts is not None
        model = self.facts.call.model
        now = self.clock()
        return dispatch.Demand(
            self.service,
            model,
            self.pool.required_version(model, now) if model else 0,
            self.pool.version_soon(model, now) if model else 0,
            self.facts.call.prompt_tokens,
            set(self.tried),
        )

    async def find_place(self) -> dispatch.Choice:
        """Return a back end whose first byte is expected in time, waiting a moment for one.

        Raises RequestError if there is none.
        """
        assert self.facts is not None
        patience_until = self.arrived + PATIENCE_SHARE * self.facts.route.objective_s
        room = self.pool.room(self.service)
        while True:
            now = self.clock()
            left_s = self.admit_until() - now
            choice = await self.choose(left_s)
            is_due = now >= patience_until
            if choice is not None and (is_due or self.is_worth_taking(choice, left_s)):
                place = await self.permitted(self.accepted(choice, left_s), patience_until)
                if place is not None:
                    return place
                continue
            if choice is None:
                place = await self.permitted(None, patience_until)
                if place is not None:
                    return place
                self.check_opens(patience_until)
                if is_due:
                    raise self.no_place("no back end is free", self.return_after_s(True))
            timeout_s = min(patience_until - now, 0.05)
            await room.wait(self.facts.urgency(), self.arrived, timeout_s)

    async def choose(self, left_s: float) -> dispatch.Choice | None:
        """Return the best back end as far as known, or None; raise RequestError out of time."""
        assert self.facts is not None
        choice = await self.pool.choose(self.demand(), left_s)
        if choice is None and self.tried and self.facts.is_idempotent():
            self.tried.clear()
            choice = await self.pool.choose(self.demand(), left_s)
        # The VM may have been suspended meanwhile: a back end would begin for nobody.
        if self.clock() >= self.facts.deadline:
            raise errors.RequestError("the time is over", kind=errors.ErrorKind.DEADLINE_EXCEEDED)
        return choice

    async def permitted(
        self, choice: dispatch.Choice | None, patience_until: float
    ) -> dispatch.Choice | None:
        """Return a back end that may be sent to: `choice`, or with a permit one that named a limit.

        Returns None if another must be chosen; raises RequestError if all have named limits and
        none takes a request in time.
        """
        assert self.facts is not None
        self.permit = None
        if choice is not None and not choice.backend.availability.is_limited():
            return choice
        demand = self.demand()
        limited = self.pool.limited(demand)
        patience_s = patience_until - self.clock()
        if choice is not None and choice.backend not in limited:
            # There are others without limits: this one is not waited for.
            limited, patience_s = [choice.backend], 0.0
        if not limited:
            return None
        account = self.facts.account.name if self.facts.account is not None else ""
        found = await self.pool.permits.acquire(self.service, account, patience_s, limited)
        if isinstance(found, permits.Permit):
            self.permit = found
            backend = next(known for known in limited if known.instance == found.instance)
            return self.pool.rate(backend, demand)
        if self.pool.opens_at(self.service) is not None:
            reason = f"all back ends have named limits; next permit in {found.back_in_s:.2f} s"
            raise self.no_place(f"{reason} ({found.told_by})", found.back_in_s)
        return None

    def check_opens(self, patience_until: float) -> None:
        """Raise RequestError if it is known that no back end takes requests in time.

        To wait would only cost the client time that it needs for its second try.
        """
        opens_at = self.pool.opens_at(self.service)
        if opens_at is None or opens_at <= patience_until:
            return
        if math.isinf(opens_at):
            raise self.no_place("all back ends leave", self.return_after_s(True))
        opens_in_s = opens_at - self.clock()
        wait_s = retry_delays.delay_after_rest(opens_in_s, self.pool.rng)
        raise self.no_place(f"all back ends are at rest for {opens_in_s:.2f} s", wait_s)

    def is_worth_taking(self, choice: dispatch.Choice, left_s: float) -> bool:
        """Return whether to send the request there now.

        That is if its first byte is expected in time, but also if the engine has room: then time
        was lost on the way here or in connecting, and nobody gains if the client comes back.
        """
        return choice.wait_s <= left_s or choice.backend.has_room(self.clock())

    def admit_until(self) -> float:
        """Return when the first byte must be there for the place to be worth taking."""
        assert self.facts is not None
        if self.exchange.is_started:
            return self.facts.deadline
        share = ADMIT_AGAIN_SHARE if self.is_second_try() else ADMIT_SHARE
        return self.arrived + share * self.facts.route.objective_s

    def is_second_try(self) -> bool:
        """Return whether the client has used up so much time that it was refused before.

        Being refused twice costs it more than a late answer.
        """
        assert self.facts is not None
        left_s = self.facts.call.deadline_s
        return left_s is not None and left_s < SECOND_TRY_SHARE * self.facts.route.timeout_s

    def accepted(self, choice: dispatch.Choice, left_s: float) -> dispatch.Choice:
        """Return a back end, also if it will be late; raise RequestError if it is too late."""
        assert self.facts is not None
        if self.is_worth_taking(choice, left_s):
            return choice
        has_begun = self.sent() > 0 or self.exchange.is_started
        if has_begun or self.facts.route.kind != fleet.STREAMING:
            return choice
        if choice.backend.is_ejected(self.clock()):
            return choice
        reason = f"every back end is busy: {self.belief(choice)}"
        raise self.no_place(reason, self.return_after_s(False))

    def return_after_s(self, is_none_free: bool) -> float:
        """Return when the client should come back."""
        assert self.facts is not None
        left_s = self.facts.deadline - self.clock()
        ready_in_s = self.pool.ready_in_s(self.service) if is_none_free else None
        refusal = retry_delays.Refusal(left_s, is_none_free, ready_in_s)
        return self.pool.return_way(refusal, self.pool.rng)

    async def attempt(self, backend: backend_record.Backend) -> attempts.Outcome:
        """Send the request to one back end and relay its answer if it is whole."""
        assert self.facts is not None
        self.tried.add(backend.instance)
        attempt = attempts.Attempt(
            self.facts, self.relay, self.dialect, self.pool, backend, self.permit
        )
        self.attempts.append(attempt)
        return await attempt.run()

    def sent(self) -> int:
        """Return how many attempts have left for a back end so far."""
        return sum(attempt.is_sent for attempt in self.attempts)

    # The end

    async def refuse(self, error: errors.MerlinthreadError) -> None:
        """Send an answer of this node's own."""
        entry = error_responses.RESPONSES[error.kind]
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
        await self.exchange.respond(http_messages.Response(entry.status, headers))

    def on_answered(self, status: int) -> None:
        """Note that a back end's whole answer goes to the client."""
        self.add_told()
        self.log("answered", status)

    def add_told(self) -> None:
        """Add to the log's line, once, what the last back end asked said of itself."""
        attempt = self.attempts[-1]
        if attempt.told:
            self.reasons[-1] += f", {attempt.told}"
            attempt.told = ""

    def log(self, outcome: str, status: int) -> None:
        """Log the decision on this request, with what it was based on."""
        route = self.facts.route if self.facts else None
        metrics.requests_total.labels(route.kind if route else "unknown", outcome).inc()
        logs.event(
            "request",
            request=self.call.request_id if self.call else "",
            outcome=outcome,
            status=status,
            route=route.name if route else "",
            configuration=self.table.version if self.table else 0,
            service=self.service,
            sent=self.sent(),
            ms=round(1000 * (self.clock() - self.arrived)),
            first_ms=(
                round(1000 * (self.relay.first_at - self.arrived)) if self.relay.first_at else None
            ),
            attempts=self.reasons,
        )
