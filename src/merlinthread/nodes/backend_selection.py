"""The choice of a back end for the next attempt of a request, with the permits that it needs."""

import math

from merlinthread import errors, metrics
from merlinthread.coordination import (
    admission,
    dispatch,
    fleet,
    retry_delays,
    route_table,
    wait_queue,
)
from merlinthread.nodes import (
    attempt_descriptions,
    attempt_history,
    backend_chooser,
    backend_pool,
    hold_check,
    permits,
    request_context,
)
from merlinthread.transport import stream_server

# Agents of cold engines that a request asks for a permit ahead of time, if no engine is free now.
COLD_AGENTS_ASKED = 2


class BackendSelection:
    """Chooses back ends for the attempts of one request."""

    def __init__(
        self,
        context: request_context.RequestContext,
        service: str,
        arrived_at: float,
        table: route_table.RouteTable,
        pool: backend_pool.BackendPool,
        chooser: backend_chooser.BackendChooser,
        exchange: stream_server.Exchange,
        history: attempt_history.AttemptHistory,
        holds: hold_check.HoldCheck,
    ) -> None:
        self.context = context
        self.service = service
        self.arrived_at = arrived_at
        self.pool = pool
        self.chooser = chooser
        self.clock = pool.clock
        self.exchange = exchange
        self.history = history
        self.holds = holds
        # The permits for the next attempt: of the leader, if its back end has a rate limit, and of
        # its agent, if it is cold.
        self.permit: permits.Permit | None = None
        self.cold_permit: permits.Permit | None = None
        # The part of the expected cost that has not been part of a choice yet.
        self.unasked_tokens = context.cost_tokens
        self.terms = self.admission_terms(table)
        # Whether the request is admitted only to a back end with room.
        self.must_yield = False
        if self.urgency() is not None and context.route.kind == fleet.STREAMING:
            level = pool.admission_level(service)
            self.must_yield = level.must_yield(context.urgency, self.clock(), pool.rng)

    def admission_terms(self, table: route_table.RouteTable) -> admission.Terms:
        """Return the terms on which this request is admitted."""
        route = self.context.route
        objective_s = route.objective_s
        if self.urgency() is not None and route.kind == fleet.STREAMING:
            strictest_s = table.strictest_objective_s(self.service, route.priority)
            objective_s = min(objective_s, strictest_s)
        remaining_s = self.context.call.deadline_s
        is_last_try = admission.is_last_try(remaining_s, route.timeout_s)
        return admission.Terms(self.arrived_at, objective_s, is_last_try)

    def urgency(self) -> int | None:
        """Return the request's urgency, or None if the requests of its service do not differ."""
        if not self.pool.has_several_urgencies(self.service):
            return None
        return self.context.urgency

    def requirements(self) -> dispatch.Requirements:
        """Return the requirements of the next attempt."""
        model = self.context.call.model
        now = self.clock()
        return dispatch.Requirements(
            self.service,
            model,
            self.pool.required_version(model, now) if model else 0,
            self.pool.version_soon(model, now) if model else 0,
            self.context.call.prompt_tokens,
            set(self.history.tried),
            bool(self.history.started),
            self.history.sent_count() + 1 < self.context.route.attempts
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
        queue = self.pool.queue(self.service)
        waiter = queue.make_waiter(self.context.urgency, self.arrived_at)
        try:
            return await self.acquire_in_turn(queue, waiter)
        finally:
            queue.remove(waiter)

    async def acquire_in_turn(
        self, queue: wait_queue.WaitQueue, waiter: wait_queue.Waiter
    ) -> dispatch.Choice:
        """Return a back end for a request that gives way once to those queued ahead of it."""
        queue_deadline = self.terms.queue_deadline()
        give_up_at = self.context.deadline if self.history.may_have_run else queue_deadline
        is_queued = has_given_way = False
        while True:
            # Other entries may have reported crashes while this request was queued.
            self.holds.check()
            now = self.clock()
            wait_max_s = self.wait_max_s(now)
            choice = await self.choose(wait_max_s)
            is_expired = now >= queue_deadline
            if not is_queued and (choice is None or not self.is_admissible(choice, wait_max_s)):
                self.record_no_place()
                is_queued = True
                if choice is not None and not admission.is_worth_queueing(
                    choice.wait_s, wait_max_s
                ):
                    is_expired = self.may_refuse()
            if not is_queued and not has_given_way and self.must_give_way(choice, queue, waiter):
                has_given_way = True
                queue.wake()
                await queue.wait(waiter, min(admission.GIVE_WAY_S, queue_deadline - now))
                continue
            if choice is not None and (is_expired or self.is_admissible(choice, wait_max_s)):
                choice_with_permit = await self.with_permit(
                    self.admit(choice, wait_max_s), queue_deadline
                )
                if choice_with_permit is not None:
                    return choice_with_permit
                is_denied_by_agent = choice.backend.availability.needs_agent_permit(now)
                if not self.history.may_have_run or is_denied_by_agent:
                    continue
            if choice is None:
                choice_with_permit = await self.with_permit(None, queue_deadline)
                if choice_with_permit is not None:
                    return choice_with_permit
                if not self.history.may_have_run:
                    self.check_availability(queue_deadline)
                if now >= give_up_at:
                    raise self.history.unavailable("no back end is free", self.retry_after_s(True))
            timeout_s = min(give_up_at - now, admission.RETRY_INTERVAL_S)
            await queue.wait(waiter, timeout_s)

    async def choose_for_hedge(self) -> dispatch.Choice | None:
        """Return a back end for an attempt beside the open ones, or None if there is none.

        A back end that failed or was silent lately would use up the attempt.
        """
        now = self.clock()
        requirements = self.requirements()
        # It may be late on its way to a busy VM, and would then begin on weights that have expired.
        requirements.version = max(requirements.version, requirements.version_soon)
        choice = await self.chooser.choose(requirements, self.context.deadline - now)
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
        requirements = self.requirements()
        requirements.asked_tokens, self.unasked_tokens = self.unasked_tokens, 0.0
        choice = await self.chooser.choose(requirements, remaining_s)
        if choice is None and self.history.tried and self.context.is_idempotent():
            self.history.tried.clear()
            choice = await self.chooser.choose(self.requirements(), remaining_s)
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
        self.permit = self.cold_permit = None
        if choice is not None and not choice.backend.availability.needs_leader_permit(self.clock()):
            return await self.with_cold_permit(choice, 0.0)
        requirements = self.requirements()
        candidates = self.chooser.permit_candidates(requirements)
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
            return await self.with_cold_permit(self.chooser.evaluate(backend, requirements), 0.0)
        regions = self.context.allowed_regions()
        if (
            self.pool.available_at(self.service, regions) is not None
            and not self.history.may_have_run
        ):
            reason = f"all back ends have rate limits; next permit in {result.back_in_s:.2f} s"
            raise self.history.unavailable(f"{reason} ({result.source})", result.back_in_s)
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
        if self.history.may_have_run:
            # It waits until its deadline. New requests reserve permits within their queue time, so
            # it would never get one without a reservation as far ahead.
            patience_s = min(
                admission.QUEUE_TIME_SHARE * self.context.route.objective_s,
                self.context.deadline - self.clock(),
            )
        for choice in self.chooser.cold_candidates(requirements)[:COLD_AGENTS_ASKED]:
            wait_max_s = self.wait_max_s(self.clock())
            if not self.history.may_have_run and not self.is_admissible(choice, wait_max_s):
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
            raise self.history.unavailable(reason, self.retry_after_s(True))
        available_in_s = available_at - self.clock()
        retry_delay_s = retry_delays.delay_after_rest(available_in_s, self.pool.rng)
        if self.pool.are_cold(self.service):
            reason = f"all back ends are cold; next permit in {available_in_s:.2f} s"
            raise self.history.unavailable(reason, retry_delay_s)
        raise self.history.unavailable(
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
        raise self.history.unavailable(reason, self.retry_after_s(True))

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

    def must_give_way(
        self,
        choice: dispatch.Choice | None,
        queue: wait_queue.WaitQueue,
        waiter: wait_queue.Waiter,
    ) -> bool:
        """Return whether requests queued ahead of this one need the capacity that it has found.

        The order holds only where the requests of a service differ in urgency.
        """
        if choice is None or self.urgency() is None:
            return False
        ahead_count = queue.count_ahead(waiter)
        return ahead_count > 0 and not choice.backend.has_slots_for(ahead_count + 1, self.clock())

    def may_refuse(self) -> bool:
        """Return whether the request may be refused because of a late first byte.

        Only streaming requests are, and only if they have not run.
        """
        if self.history.may_have_run or self.exchange.is_started:
            return False
        return self.context.route.kind == fleet.STREAMING

    def record_no_place(self) -> None:
        """Record that no back end could take the request at once.

        If it yields itself, that is no reason for others to do so.
        """
        if not self.must_yield and self.context.route.kind == fleet.STREAMING:
            level = self.pool.admission_level(self.service)
            level.record_no_place(self.context.urgency, self.clock())

    def wait_max_s(self, now: float) -> float:
        """Return the longest expected wait at which the next attempt is admitted, in seconds."""
        if self.exchange.is_started:
            return self.context.deadline - now
        return self.terms.wait_max_s(now)

    def admit(self, choice: dispatch.Choice, wait_max_s: float) -> dispatch.Choice:
        """Return `choice` if the request is admitted; raise RequestError otherwise.

        Another attempt of a request that a back end has refused would be late too, and delay those
        that can be in time. An ejected back end is the last resort, unless it is known to be busy.
        """
        if self.is_admissible(choice, wait_max_s):
            return choice
        if not self.may_refuse():
            return choice
        is_ejected = choice.backend.is_ejected(self.clock())
        if is_ejected and choice.first_byte_s <= self.terms.objective_s:
            return choice
        reason = f"every back end is busy: {self.describe_choice(choice)}"
        raise self.history.unavailable(reason, self.retry_after_s(False))

    def retry_after_s(self, is_unavailable: bool) -> float:
        """Return the retry delay for a refusal, in seconds.

        `is_unavailable` is set if no back end could take the request at all.
        """
        remaining_s = self.context.deadline - self.clock()
        regions = self.context.allowed_regions()
        ready_in_s = self.pool.ready_in_s(self.service, regions) if is_unavailable else None
        refusal = retry_delays.Refusal(remaining_s, is_unavailable, ready_in_s)
        return self.pool.retry_delay_policy(refusal, self.pool.rng)

    def describe_choice(self, choice: dispatch.Choice) -> str:
        """Describe the known state of a chosen back end for the log."""
        return attempt_descriptions.describe_choice(
            choice, self.cold_permit or self.permit, self.arrived_at, self.clock()
        )
