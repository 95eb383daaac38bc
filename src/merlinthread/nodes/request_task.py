"""The processing of one client request: routing, attempts on back ends and the final response.

Retries and the error that the client gets depend only on the `attempts.State` of each attempt.
"""

import asyncio
import math

from merlinthread import errors, logs, metrics
from merlinthread.coordination import admission, dispatch, fleet, retry_delays, route_table
from merlinthread.nodes import (
    attempt_descriptions,
    attempts,
    backend_pool,
    open_attempts,
    permits,
    request_context,
    response_relay,
    route_finder,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import error_responses
from merlinthread.transport import http_messages, stream_server

CONNECT_FAILURES_MAX = 4
# Agents of cold engines that a request asks for a permit ahead of time, if no engine is free now.
COLD_AGENTS_ASKED = 2
# Delay before further attempts of a request that may have run, once that many have failed.
RECONNECT_DELAY_S = 0.2
DEADLINE_MARGIN_S = 0.03


class RequestTask:
    """Processes one request."""

    def __init__(
        self,
        exchange: stream_server.Exchange,
        dialect: dialects.Dialect,
        pool: backend_pool.BackendPool,
        table: route_table.RouteTable | None,
        arrived_at: float,
    ) -> None:
        self.exchange = exchange
        self.dialect = dialect
        self.pool = pool
        self.table = table
        self.clock = pool.clock
        self.arrived_at = arrived_at
        self.call: fleet.RequestHead | None = None
        self.context: request_context.RequestContext | None = None
        self.terms: admission.Terms | None = None
        # Whether the request is admitted only to a back end with room.
        self.must_yield = False
        self.service = ""
        self.relay = response_relay.ResponseRelay(
            exchange, pool.clock, arrived_at, self.log_response
        )
        self.tried: set[str] = set()
        self.attempts: list[attempts.Attempt] = []
        self.open = open_attempts.OpenAttempts(self.cancel_retry)
        # The permits for the next attempt: of the leader, if its back end has a rate limit, and of
        # its agent, if it is cold.
        self.permit: permits.Permit | None = None
        self.cold_permit: permits.Permit | None = None
        self.may_have_run = False
        # The outcome of the last attempt that was sent.
        self.last_sent_outcome: attempts.Outcome | None = None
        # Attempts that failed before their request was sent.
        self.unsent_count = 0
        # When a retry that has not been sent yet was reserved, and how long earlier ones waited.
        self.reserved_at: float | None = None
        self.retry_waits_s: list[float] = []
        self.refusal = ""
        # The part of the expected cost that has not been part of a choice yet.
        self.unasked_tokens = 0.0

    async def run(self) -> None:
        """Process the request and send its final response."""
        try:
            self.prepare()
            await self.serve()
        except errors.MerlinthreadError as error:
            await self.send_error(error)
        except asyncio.CancelledError:
            # The client may have closed its connection right after the end of the response.
            if not self.exchange.is_finished:
                self.log_outcome("left", 0)
            raise
        finally:
            self.open.keep_only(None)
            self.cancel_retry()

    def prepare(self) -> None:
        """Parse the request and find its route and service; raise RequestError if it is refused."""
        self.call = self.dialect.parse_request_head(self.exchange.request)
        retry_delay_s = self.pool.startup_wait_s()
        is_current = self.pool.watcher.is_current()
        route, account = route_finder.find_route(self.table, self.call, is_current, retry_delay_s)
        self.relay.last_event_id = self.call.last_event_id
        timeout_s = route.timeout_s
        if self.call.deadline_s is not None:
            timeout_s = min(timeout_s, self.call.deadline_s - DEADLINE_MARGIN_S)
        deadline = self.arrived_at + max(0.0, timeout_s)
        body = self.exchange.request.body
        self.context = request_context.RequestContext(self.call, route, account, deadline, body)
        self.service = self.choose_service()
        assert self.table is not None
        self.context.urgency = self.table.urgency_of(self.service, route, account)
        self.context.cost_tokens = self.pool.cost_tokens(self.call, route, self.service)
        self.unasked_tokens = self.context.cost_tokens
        self.terms = self.admission_terms()
        if self.urgency() is not None and route.kind == fleet.STREAMING:
            level = self.pool.admission_level(self.service)
            self.must_yield = level.must_yield(self.context.urgency, self.clock(), self.pool.rng)
        self.check_hold()
        self.pool.budget(self.service).record_first_attempt(self.arrived_at)

    def admission_terms(self) -> admission.Terms:
        """Return the terms on which this request is admitted."""
        assert self.context is not None and self.table is not None
        route = self.context.route
        objective_s = route.objective_s
        if self.urgency() is not None and route.kind == fleet.STREAMING:
            strictest_s = self.table.strictest_objective_s(self.service, route.priority)
            objective_s = min(objective_s, strictest_s)
        remaining_s = self.context.call.deadline_s
        is_last_try = admission.is_last_try(remaining_s, route.timeout_s)
        return admission.Terms(self.arrived_at, objective_s, is_last_try)

    def urgency(self) -> int | None:
        """Return the request's urgency, or None if the requests of its service do not differ."""
        assert self.context is not None
        if not self.pool.has_several_urgencies(self.service):
            return None
        return self.context.urgency

    def choose_service(self) -> str:
        """Return one of the route's services that have back ends in the allowed regions."""
        assert self.context is not None
        route = self.context.route
        regions = self.context.allowed_regions()
        usable = None
        if regions is not None:
            services = [share.service for share in route.shares]
            usable = self.pool.services_in(services, regions)
        return route_table.choose_service(route, self.pool.rng, usable)

    def check_hold(self) -> None:
        """Raise RequestError if this request is held, or a part of its prompt.

        Another attempt might crash another back end, with all other requests that it runs.
        """
        held = self.held_suspect()
        if not held:
            return
        reason = f"request is held: back ends crashed while running {held}"
        if self.may_have_run:
            raise errors.RequestError(reason, kind=errors.ErrorKind.OUTCOME_UNKNOWN)
        raise errors.RequestError(reason, kind=errors.ErrorKind.HELD_BACK)

    def is_held(self) -> bool:
        """Return whether this request is held because back ends crashed while running it."""
        return bool(self.held_suspect())

    def held_suspect(self) -> str:
        """Return the fingerprint of this request or of a part of its prompt if it is held."""
        assert self.context is not None
        tracker = self.pool.crashes.tracker
        if not tracker.candidates:
            return ""
        return next(filter(tracker.is_held, self.context.suspects()), "")

    # Attempts

    async def serve(self) -> None:
        """Make attempts until the request has a final response."""
        while True:
            choice = await self.acquire_backend()
            # The choice may have taken some time.
            self.check_hold()
            self.start_attempt(choice)
            outcome = await self.finish_attempts()
            if outcome.state is attempts.State.DONE:
                return
            await self.wait_for_crash_checks()
            if outcome.state is attempts.State.UNSENT:
                await self.handle_unsent()
            elif not self.may_retry(outcome.state):
                await self.finish_failed(outcome)
                return
            if self.last_sent_outcome is not None and not self.reserve_retry():
                await self.finish_failed(self.last_sent_outcome)
                return

    async def finish_attempts(self) -> attempts.Outcome:
        """Wait until one attempt is done or all have ended; return the last outcome.

        While the back ends of all open attempts are silent, make another one if that is allowed.
        """
        while True:
            ended = await self.open.wait()
            for attempt, outcome in ended:
                self.record_result(attempt, outcome)
                if outcome.state is attempts.State.DONE:
                    return outcome
            if not self.open.tasks:
                return ended[-1][1]
            if self.open.are_silent():
                await self.hedge()

    async def handle_unsent(self) -> None:
        """Check whether another attempt may follow one that was not sent.

        After too many of them, refuse the request if it has not run; otherwise delay the next one.
        """
        if self.unsent_count < CONNECT_FAILURES_MAX:
            return
        if not self.may_have_run:
            raise self.unavailable("back ends can't be reached", retry_delays.RETRY_AFTER_MIN_S)
        await asyncio.sleep(RECONNECT_DELAY_S)

    def record_result(self, attempt: attempts.Attempt, outcome: attempts.Outcome) -> None:
        """Record the outcome of an attempt that has ended."""
        attempt.result_text = outcome.reason
        if outcome.state in (attempts.State.UNKNOWN, attempts.State.FAILED):
            self.may_have_run = True
        if outcome.state is attempts.State.UNSENT:
            self.unsent_count += 1
        else:
            self.last_sent_outcome = outcome

    async def hedge(self) -> None:
        """Start another attempt beside the silent ones if that is allowed and a back end is free.

        Otherwise the open attempts go on: their back ends may continue.
        """
        assert self.context is not None
        await self.wait_for_crash_checks()
        if self.unsent_count >= CONNECT_FAILURES_MAX or self.is_held():
            return
        if not self.may_retry(attempts.State.UNKNOWN):
            return
        budget = self.pool.budget(self.service)
        if not self.is_retry_reserved() and not budget.allows_hedge(self.clock()):
            return
        choice = await self.choose_for_hedge()
        if choice is None or not self.open.are_silent():
            return
        if self.reserve_retry():
            self.start_attempt(choice)

    async def wait_for_crash_checks(self) -> None:
        """Wait until it is known whether back ends crashed, if a crash may hold the request.

        Otherwise the next attempt might crash another back end.
        """
        assert self.context is not None
        crashes = self.pool.crashes
        if not crashes.tracker.records:
            return
        account = self.context.account.name if self.context.account is not None else ""
        if crashes.tracker.is_next_crash_decisive(self.context.suspects(), account):
            for attempt in self.attempts:
                await crashes.wait_for_check(attempt.backend)

    def describe_choice(self, choice: dispatch.Choice) -> str:
        """Describe the known state of a chosen back end for the log."""
        return attempt_descriptions.describe_choice(
            choice, self.cold_permit or self.permit, self.arrived_at, self.clock()
        )

    def may_retry(self, state: attempts.State) -> bool:
        """Return whether another attempt is allowed beside or after one in `state`."""
        assert self.context is not None
        if (
            self.sent_count() >= self.context.route.attempts
            or self.clock() >= self.context.deadline
        ):
            return False
        if state is not attempts.State.NOT_RUN and not self.context.is_idempotent():
            return False
        if self.exchange.is_started and not self.context.route.is_resumable:
            return False
        return self.is_retry_reserved() or self.pool.budget(self.service).allows(self.clock())

    def is_retry_reserved(self) -> bool:
        """Return whether the next attempt is within the retry budget already.

        An earlier one was not sent, so that its place in the budget is free.
        """
        return self.reserved_at is not None

    def reserve_retry(self) -> bool:
        """Reserve the next attempt in the retry budget; return False if that is exhausted."""
        if self.is_retry_reserved():
            return True
        now = self.clock()
        if not self.pool.budget(self.service).reserve(now):
            return False
        self.reserved_at = now
        metrics.retries_total.labels("decided").inc()
        return True

    def use_retry(self) -> bool:
        """Use the reserved retry, if any, for an attempt that is sent now.

        Return False, without a reservation from then on, if the budget does not allow it any more.
        """
        if self.reserved_at is None:
            return True
        now = self.clock()
        if not self.pool.budget(self.service).use(now):
            self.cancel_retry()
            return False
        self.retry_waits_s.append(now - self.reserved_at)
        self.reserved_at = None
        metrics.retries_total.labels("sent").inc()
        return True

    def cancel_retry(self) -> None:
        """Return a reserved retry to the budget, since it will not be sent."""
        if self.reserved_at is not None:
            self.pool.budget(self.service).cancel()
            self.reserved_at = None

    async def finish_failed(self, outcome: attempts.Outcome) -> None:
        """Send the back end's error response after the last attempt, or raise RequestError."""
        assert self.context is not None
        if self.exchange.is_started:
            self.log_outcome("broken_off", 0)
            self.exchange.abort()
            return
        if outcome.state is attempts.State.FAILED and outcome.response is not None:
            await self.relay.send_response(outcome.response)
            return
        if outcome.state is attempts.State.NOT_RUN:
            raise self.unavailable("back ends are full", retry_delays.RETRY_AFTER_MIN_S)
        if self.clock() >= self.context.deadline:
            raise errors.RequestError("deadline exceeded", kind=errors.ErrorKind.DEADLINE_EXCEEDED)
        raise errors.RequestError(
            "the back end sent no complete response", kind=errors.ErrorKind.OUTCOME_UNKNOWN
        )

    def unavailable(self, reason: str, retry_delay_s: float) -> errors.RequestError:
        """Return the error for a request that no back end can take, with a retry delay.

        If an earlier attempt may have run the request, the error says that its outcome is unknown.
        """
        if self.may_have_run:
            return errors.RequestError(reason, kind=errors.ErrorKind.OUTCOME_UNKNOWN)
        return errors.RequestError(
            reason, kind=errors.ErrorKind.NO_TARGET, retry_after_s=round(retry_delay_s, 3)
        )

    # Choice of back ends

    def requirements(self) -> dispatch.Requirements:
        """Return the requirements of the next attempt."""
        assert self.context is not None
        model = self.context.call.model
        now = self.clock()
        return dispatch.Requirements(
            self.service,
            model,
            self.pool.required_version(model, now) if model else 0,
            self.pool.version_soon(model, now) if model else 0,
            self.context.call.prompt_tokens,
            set(self.tried),
            bool(self.attempts),
            self.sent_count() + 1 < self.context.route.attempts
            and self.pool.budget(self.service).allows(now),
            urgency=self.urgency(),
            allowed_regions=self.context.allowed_regions(),
            account=self.context.account_name(),
        )

    async def acquire_backend(self) -> dispatch.Choice:
        """Return a back end whose first byte is expected in time, queueing the request if needed.

        Raises RequestError if none is available before the queue time is over. A request that may
        have run gains nothing from an early error, so it waits until its deadline.
        """
        assert self.context is not None and self.terms is not None
        queue_deadline = self.terms.queue_deadline()
        give_up_at = self.context.deadline if self.may_have_run else queue_deadline
        queue = self.pool.queue(self.service)
        is_queued = False
        while True:
            # Other entries may have reported crashes while this request was queued.
            self.check_hold()
            now = self.clock()
            wait_max_s = self.wait_max_s(now)
            choice = await self.choose(wait_max_s)
            is_expired = now >= queue_deadline
            if not is_queued and (choice is None or not self.is_admissible(choice, wait_max_s)):
                self.record_no_place()
                is_queued = True
            if choice is not None and (is_expired or self.is_admissible(choice, wait_max_s)):
                choice_with_permit = await self.with_permit(
                    self.admit(choice, wait_max_s), queue_deadline
                )
                if choice_with_permit is not None:
                    return choice_with_permit
                is_denied_by_agent = choice.backend.availability.needs_agent_permit(now)
                if not self.may_have_run or is_denied_by_agent:
                    continue
            if choice is None:
                choice_with_permit = await self.with_permit(None, queue_deadline)
                if choice_with_permit is not None:
                    return choice_with_permit
                if not self.may_have_run:
                    self.check_availability(queue_deadline)
                if now >= give_up_at:
                    raise self.unavailable("no back end is free", self.retry_after_s(True))
            timeout_s = min(give_up_at - now, admission.RETRY_INTERVAL_S)
            await queue.wait(self.context.urgency, self.arrived_at, timeout_s)

    async def choose_for_hedge(self) -> dispatch.Choice | None:
        """Return a back end for an attempt beside the open ones, or None if there is none.

        A back end that failed or was silent lately would use up the attempt.
        """
        assert self.context is not None
        now = self.clock()
        choice = await self.pool.choose(self.requirements(), self.context.deadline - now)
        if choice is None or choice.backend.is_ejected(now):
            return None
        try:
            return await self.with_permit(choice, now)
        except errors.RequestError:
            return None

    async def choose(self, remaining_s: float) -> dispatch.Choice | None:
        """Return the best back end, or None if there is none.

        If all of them have been tried and the request may run more than once, they may be tried
        again. Raises RequestError after the deadline.
        """
        assert self.context is not None
        requirements = self.requirements()
        requirements.asked_tokens, self.unasked_tokens = self.unasked_tokens, 0.0
        choice = await self.pool.choose(requirements, remaining_s)
        if choice is None and self.tried and self.context.is_idempotent():
            self.tried.clear()
            choice = await self.pool.choose(self.requirements(), remaining_s)
        # The VM may have been suspended meanwhile.
        if self.clock() >= self.context.deadline:
            raise errors.RequestError("deadline exceeded", kind=errors.ErrorKind.DEADLINE_EXCEEDED)
        return choice

    async def with_permit(
        self, choice: dispatch.Choice | None, queue_deadline: float
    ) -> dispatch.Choice | None:
        """Return `choice` if it needs no permit, otherwise a back end for which one was acquired.

        Return None if the caller must choose again. Raises RequestError if every back end needs a
        permit and none is available in time, unless the request may have run.
        """
        assert self.context is not None
        self.permit = self.cold_permit = None
        if choice is not None and not choice.backend.availability.needs_leader_permit(self.clock()):
            return await self.with_cold_permit(choice, 0.0)
        requirements = self.requirements()
        candidates = self.pool.permit_candidates(requirements)
        patience_s = queue_deadline - self.clock()
        if choice is not None and choice.backend not in candidates:
            # Other back ends have no limit, so there is no reason to wait for this one's permit.
            candidates, patience_s = [choice.backend], 0.0
        if not candidates:
            return await self.wait_for_cold_permit(requirements, patience_s)
        account = self.context.account.name if self.context.account is not None else ""
        result = await self.pool.permits.acquire(self.service, account, patience_s, candidates)
        if isinstance(result, permits.Permit):
            self.permit = result
            backend = next(
                candidate for candidate in candidates if candidate.instance == result.instance
            )
            return await self.with_cold_permit(self.pool.evaluate(backend, requirements), 0.0)
        regions = self.context.allowed_regions()
        if self.pool.available_at(self.service, regions) is not None and not self.may_have_run:
            reason = f"all back ends have rate limits; next permit in {result.back_in_s:.2f} s"
            raise self.unavailable(f"{reason} ({result.source})", result.back_in_s)
        return None

    async def with_cold_permit(
        self, choice: dispatch.Choice, patience_s: float
    ) -> dispatch.Choice | None:
        """Return `choice`, with a permit if its engine is cold, or None if its agent denies one."""
        if not choice.backend.availability.needs_agent_permit(self.clock()):
            return choice
        result = await self.pool.acquire_cold_permit(choice.backend, patience_s)
        if not isinstance(result, permits.Permit):
            return None
        self.cold_permit = result
        return choice

    async def wait_for_cold_permit(
        self, requirements: dispatch.Requirements, patience_s: float
    ) -> dispatch.Choice | None:
        """Return a cold engine whose agent grants a permit within `patience_s`, or None.

        The agent reserves the permit, so that requests need not ask again at the same moment.
        """
        assert self.context is not None
        if self.may_have_run:
            # It waits until its deadline. New requests reserve permits within their queue time, so
            # it would never get one without a reservation as far ahead.
            patience_s = min(
                admission.QUEUE_TIME_SHARE * self.context.route.objective_s,
                self.context.deadline - self.clock(),
            )
        for choice in self.pool.cold_candidates(requirements)[:COLD_AGENTS_ASKED]:
            wait_max_s = self.wait_max_s(self.clock())
            if not self.may_have_run and not self.is_admissible(choice, wait_max_s):
                continue
            started_at = self.clock()
            found = await self.with_cold_permit(choice, patience_s)
            if found is not None:
                return found
            patience_s -= self.clock() - started_at
        return None

    def check_availability(self, queue_deadline: float) -> None:
        """Raise RequestError if no back end will be available before the queue time is over.

        Waiting would only reduce the time that the client has left for a retry.
        """
        assert self.context is not None
        regions = self.context.allowed_regions()
        if regions is not None:
            self.check_regions(regions)
        available_at = self.pool.available_at(self.service, regions)
        if available_at is None or available_at <= queue_deadline:
            return
        if math.isinf(available_at):
            reason = "all back ends are leaving"
            if self.pool.has_evacuated(self.service):
                reason += " or in evacuated zones"
            raise self.unavailable(reason, self.retry_after_s(True))
        available_in_s = available_at - self.clock()
        retry_delay_s = retry_delays.delay_after_rest(available_in_s, self.pool.rng)
        if self.pool.are_cold(self.service):
            reason = f"all back ends are cold; next permit in {available_in_s:.2f} s"
            raise self.unavailable(reason, retry_delay_s)
        raise self.unavailable(
            f"all back ends are at rest for {available_in_s:.2f} s", retry_delay_s
        )

    def check_regions(self, regions: frozenset[str]) -> None:
        """Raise RequestError if no back end in the allowed regions may serve, now or later."""
        backends = self.pool.backends_in(self.service, regions)
        if not all(backend.is_out_of_use() for backend in backends):
            return
        names = ", ".join(sorted(regions)) or "none"
        cause, reason = "missing", f"no back end is in an allowed region ({names})"
        if backends:
            cause, reason = (
                "leaving",
                f"all back ends in allowed regions ({names}) are leaving or evacuated",
            )
        metrics.region_refusals_total.labels(cause).inc()
        raise self.unavailable(reason, self.retry_after_s(True))

    def is_admissible(self, choice: dispatch.Choice, wait_max_s: float) -> bool:
        """Return whether the first byte is expected in time, or the engine has room.

        If it has room, the engine is not the cause of the delay, and a refusal would add to it. A
        request that yields to more urgent ones is admitted only if there is room.
        """
        now = self.clock()
        if choice.backend.has_room(now):
            return True
        if choice.wait_s > admission.wait_limit_s(wait_max_s, choice.is_over_share):
            return False
        return not self.must_yield or choice.backend.has_free_slots(now)

    def record_no_place(self) -> None:
        """Record that no back end could take the request at once.

        If it yields itself, that is no reason for others to do so.
        """
        assert self.context is not None
        if not self.must_yield and self.context.route.kind == fleet.STREAMING:
            level = self.pool.admission_level(self.service)
            level.record_no_place(self.context.urgency, self.clock())

    def wait_max_s(self, now: float) -> float:
        """Return the longest expected wait at which the next attempt is admitted, in seconds."""
        assert self.context is not None and self.terms is not None
        if self.exchange.is_started:
            return self.context.deadline - now
        return self.terms.wait_max_s(now)

    def admit(self, choice: dispatch.Choice, wait_max_s: float) -> dispatch.Choice:
        """Return `choice` if the request is admitted; raise RequestError otherwise.

        Only streaming requests are refused because of a late first byte, and only if they have not
        run: another attempt would be late too, and delay those that can be in time. An ejected
        back end is the last resort, unless it is known to be busy.
        """
        assert self.context is not None and self.terms is not None
        if self.is_admissible(choice, wait_max_s):
            return choice
        if self.may_have_run or self.exchange.is_started:
            return choice
        if self.context.route.kind != fleet.STREAMING:
            return choice
        is_ejected = choice.backend.is_ejected(self.clock())
        if is_ejected and choice.first_byte_s <= self.terms.objective_s:
            return choice
        reason = f"every back end is busy: {self.describe_choice(choice)}"
        raise self.unavailable(reason, self.retry_after_s(False))

    def retry_after_s(self, is_unavailable: bool) -> float:
        """Return the retry delay for a refusal, in seconds.

        `is_unavailable` is set if no back end could take the request at all.
        """
        assert self.context is not None
        remaining_s = self.context.deadline - self.clock()
        regions = self.context.allowed_regions()
        ready_in_s = self.pool.ready_in_s(self.service, regions) if is_unavailable else None
        refusal = retry_delays.Refusal(remaining_s, is_unavailable, ready_in_s)
        return self.pool.retry_delay_policy(refusal, self.pool.rng)

    def start_attempt(self, choice: dispatch.Choice) -> None:
        """Start an attempt on a back end."""
        assert self.context is not None
        self.tried.add(choice.backend.instance)
        attempt = attempts.Attempt(
            self.context,
            self.relay,
            self.dialect,
            self.pool,
            choice.backend,
            self.permit,
            self.cold_permit,
            self.urgency(),
        )
        attempt.description = self.describe_choice(choice)
        attempt.may_send = self.use_retry
        self.attempts.append(attempt)
        self.open.start(attempt)

    def sent_count(self) -> int:
        """Return how many attempts have been sent to a back end."""
        return sum(attempt.is_sent for attempt in self.attempts)

    # Final response

    async def send_error(self, error: errors.MerlinthreadError) -> None:
        """Send an error response, or abort the response if it has already started."""
        error_response = error_responses.RESPONSES[error.kind]
        if self.exchange.is_started:
            self.log_outcome("broken_off", 0)
            self.exchange.abort()
            return
        headers = self.dialect.error_headers(self.call)
        retry_delay_s = (
            error.retry_after_s if error.retry_after_s is not None else error_response.retry_after_s
        )
        if retry_delay_s is not None:
            headers.append((b"retry-after", b"%g" % retry_delay_s))
        self.refusal = error.message
        metrics.refusals_total.labels(str(error.kind)).inc()
        self.log_outcome(str(error.kind), error_response.status)
        await self.exchange.respond(http_messages.Response(error_response.status, headers))

    def log_response(self, status: int) -> None:
        """Log that a complete response of a back end is sent to the client."""
        self.log_outcome("answered", status)

    def log_outcome(self, outcome: str, status: int) -> None:
        """Log the outcome of this request with a description of each attempt."""
        route = self.context.route if self.context else None
        regions = self.context.allowed_regions() if self.context else None
        metrics.requests_total.labels(route.kind if route else "unknown", outcome).inc()
        logs.event(
            "request",
            request=self.call.request_id if self.call else "",
            outcome=outcome,
            status=status,
            route=route.name if route else "",
            configuration=self.table.version if self.table else 0,
            service=self.service,
            allowed_regions=None if regions is None else sorted(regions),
            **self.describe_load(),
            sent=self.sent_count(),
            ms=round(1000 * (self.clock() - self.arrived_at)),
            first_ms=(
                round(1000 * (self.relay.first_event_at - self.arrived_at))
                if self.relay.first_event_at
                else None
            ),
            retry_waits_ms=[round(1000 * wait_s) for wait_s in self.retry_waits_s],
            attempts=self.describe_attempts(),
        )

    def describe_load(self) -> dict[str, object]:
        """Return the log fields by which `merlinthread losses` reports overloaded seconds."""
        fields: dict[str, object] = {"zone": self.pool.settings.zone}
        if self.context is not None:
            account = self.context.account
            fields |= {
                "account": account.name if account is not None else "",
                "urgency": self.context.urgency,
                "objective_ms": round(1000 * self.context.route.objective_s),
                "prompt_tokens": self.context.call.prompt_tokens,
                "response_tokens_max": self.context.call.response_tokens,
                "is_client_retry": self.terms is not None and self.terms.is_last_try,
            }
        return fields

    def describe_attempts(self) -> list[str]:
        """Return a description of each attempt, and the reason if the request was refused."""
        described = [attempt.describe() for attempt in self.attempts]
        return [*described, self.refusal] if self.refusal else described
