"""The processing of one client request: routing, attempts on back ends and the final response.

Retries and the error that the client gets depend only on the `attempts.State` of each attempt.
"""

import asyncio

from merlinthread import errors, metrics
from merlinthread.coordination import dispatch, fleet, retry_delays, route_table
from merlinthread.nodes import (
    attempt_history,
    attempts,
    backend_chooser,
    backend_pool,
    backend_selection,
    hold_check,
    open_attempts,
    request_context,
    request_log,
    response_relay,
    route_finder,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import error_responses
from merlinthread.transport import http_messages, stream_server

CONNECT_FAILURES_MAX = 4
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
        chooser: backend_chooser.BackendChooser,
        table: route_table.RouteTable | None,
        arrived_at: float,
    ) -> None:
        self.exchange = exchange
        self.dialect = dialect
        self.pool = pool
        self.chooser = chooser
        self.table = table
        self.clock = pool.clock
        self.arrived_at = arrived_at
        self.call: fleet.RequestHead | None = None
        self.context: request_context.RequestContext | None = None
        self.holds: hold_check.HoldCheck | None = None
        self.selection: backend_selection.BackendSelection | None = None
        self.service = ""
        self.relay = response_relay.ResponseRelay(
            exchange, pool.clock, arrived_at, self.log_response
        )
        self.history = attempt_history.AttemptHistory()
        self.open = open_attempts.OpenAttempts(self.cancel_retry)
        # The outcome of the last attempt that was sent.
        self.last_sent_outcome: attempts.Outcome | None = None
        # Attempts that failed before their request was sent.
        self.unsent_count = 0
        # When a retry that has not been sent yet was reserved, and how long earlier ones waited.
        self.reserved_at: float | None = None
        self.retry_waits_s: list[float] = []
        self.refusal = ""

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
            self.open.close()
            self.relay.disconnect()
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
        self.holds = hold_check.HoldCheck(self.context, self.pool.crashes, self.history)
        self.selection = backend_selection.BackendSelection(
            self.context,
            self.service,
            self.arrived_at,
            self.table,
            self.pool,
            self.chooser,
            self.exchange,
            self.history,
            self.holds,
        )
        self.holds.check()
        self.pool.budget(self.service).record_first_attempt(self.arrived_at)

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

    # Attempts

    async def serve(self) -> None:
        """Make attempts until the request has a final response."""
        assert self.holds is not None and self.selection is not None
        while True:
            choice = await self.selection.acquire_backend()
            # The choice may have taken some time.
            self.holds.check()
            self.start_attempt(choice)
            outcome = await self.finish_attempts()
            if outcome.state is attempts.State.DONE:
                return
            await self.holds.wait_for_crash_checks()
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
        if not self.history.may_have_run:
            raise self.history.unavailable(
                "back ends can't be reached", retry_delays.RETRY_AFTER_MIN_S
            )
        await asyncio.sleep(RECONNECT_DELAY_S)

    def record_result(self, attempt: attempts.Attempt, outcome: attempts.Outcome) -> None:
        """Record the outcome of an attempt that has ended."""
        attempt.result_text = outcome.reason
        if outcome.state in (attempts.State.UNKNOWN, attempts.State.FAILED):
            self.history.may_have_run = True
        if outcome.state is attempts.State.UNSENT:
            self.unsent_count += 1
        else:
            self.last_sent_outcome = outcome

    async def hedge(self) -> None:
        """Start another attempt beside the silent ones if that is allowed and a back end is free.

        Otherwise the open attempts go on: their back ends may continue.
        """
        assert self.holds is not None and self.selection is not None
        await self.holds.wait_for_crash_checks()
        if self.unsent_count >= CONNECT_FAILURES_MAX or self.holds.is_held():
            return
        if not self.may_retry(attempts.State.UNKNOWN):
            return
        budget = self.pool.budget(self.service)
        if not self.is_retry_reserved() and not budget.allows_hedge(self.clock()):
            return
        choice = await self.selection.choose_for_hedge()
        if choice is None or not self.open.are_silent():
            return
        if self.reserve_retry():
            self.start_attempt(choice)

    def may_retry(self, state: attempts.State) -> bool:
        """Return whether another attempt is allowed beside or after one in `state`."""
        assert self.context is not None
        if (
            self.history.sent_count() >= self.context.route.attempts
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
            raise self.history.unavailable("back ends are full", retry_delays.RETRY_AFTER_MIN_S)
        if self.clock() >= self.context.deadline:
            raise errors.RequestError("deadline exceeded", kind=errors.ErrorKind.DEADLINE_EXCEEDED)
        raise errors.RequestError(
            "the back end sent no complete response", kind=errors.ErrorKind.OUTCOME_UNKNOWN
        )

    def start_attempt(self, choice: dispatch.Choice) -> None:
        """Start an attempt on a back end."""
        assert self.context is not None and self.selection is not None
        self.history.tried.add(choice.backend.instance)
        attempt = attempts.Attempt(
            self.context,
            self.relay,
            self.dialect,
            self.pool,
            choice.backend,
            self.selection.permit,
            self.selection.cold_permit,
            self.selection.urgency(),
        )
        attempt.description = self.selection.describe_choice(choice)
        attempt.may_send = self.use_retry
        self.history.started.append(attempt)
        self.open.start(attempt)

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
        record = request_log.RequestRecord(
            call=self.call,
            context=self.context,
            terms=self.selection.terms if self.selection else None,
            service=self.service,
            zone=self.pool.settings.zone,
            configuration=self.table.version if self.table else 0,
            history=self.history,
            retry_waits_s=self.retry_waits_s,
            refusal=self.refusal,
            arrived_at=self.arrived_at,
            first_event_at=self.relay.first_event_at,
        )
        request_log.log_outcome(record, outcome, status, self.clock())
