"""The target of an agent: fair queueing of requests, and fenced orders to the engine."""

import dataclasses
import threading
from collections.abc import Iterator

import msgspec

from merlinthread import errors, logs, metrics
from merlinthread import settings as settings_
from merlinthread.coordination import bundles, control_state, fair_queue, reconciliation
from merlinthread.protocol import attempts, engine_calls, error_responses, events
from merlinthread.roles import base
from merlinthread.transport import http_client, http_server

STATUS_TIMEOUT_S = 2.0
STATUS_BYTES_MAX = 1024 * 1024
ORDER_TIMEOUT_S = 600.0
THROUGHPUT_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class CompletionBody:
    """The fields of a completion request's JSON body that agents use."""

    model: str
    prompt: str
    max_tokens: int = 16
    adapter: str = ""
    resume_from: int = 0


class RequestQueue:
    """A thread-safe fair queue in which request threads wait for a slot of the target."""

    def __init__(self, slots: int, waiting_max: int, clock: base.Clock) -> None:
        self.queue = fair_queue.FairQueue(slots, waiting_max)
        self.clock = clock
        self.lock = threading.Lock()
        self.start_events: dict[str, threading.Event] = {}
        self.generated_tokens = 0.0
        self.measured_since = clock()

    def wait_for_slot(self, queued: fair_queue.QueuedRequest, deadline: float) -> None:
        """Queue a request and block until it may start.

        `deadline` is on this queue's clock. Raises RequestError: overloaded if the queue is full,
        not_run if the deadline passes first.
        """
        started = threading.Event()
        with self.lock:
            self.queue.add(queued)
            self.start_events[queued.id] = started
            self.start_next_requests()
        if started.wait(max(0.0, deadline - self.clock())):
            return
        with self.lock:
            was_waiting = self.queue.cancel(queued.id)
            self.start_events.pop(queued.id, None)
            estimate = self.queue.expected_wait_s()
        if was_waiting:
            raise errors.RequestError(
                "the deadline passed while the request was queued; it was not run",
                kind=errors.ErrorKind.NOT_RUN,
                retry_after_s=estimate,
            )

    def start_next_requests(self) -> None:
        """Start requests while slots are free; the caller holds the lock."""
        while (queued := self.queue.start_next()) is not None:
            self.start_events.pop(queued.id).set()
        metrics.queue_length.set(self.queue.count_waiting())

    def charge(self, attempt_id: str, tokens: float) -> None:
        """Charge a running request for tokens that it has used."""
        with self.lock:
            self.queue.charge(attempt_id, tokens)
            self.measure_throughput(tokens)

    def measure_throughput(self, tokens: float) -> None:
        """Record the engine's throughput, if requests are queued; the caller holds the lock."""
        now = self.clock()
        self.generated_tokens += tokens
        if now - self.measured_since < THROUGHPUT_INTERVAL_S:
            return
        if self.queue.waiting:
            self.queue.record_throughput(self.generated_tokens, now - self.measured_since)
        self.generated_tokens = 0.0
        self.measured_since = now

    def finish(self, attempt_id: str) -> None:
        """Release the slot of a request and start the next ones."""
        with self.lock:
            self.queue.finish(attempt_id)
            self.start_next_requests()

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the accounts' weights in the fair queue."""
        with self.lock:
            self.queue.set_weights(weights)


def account_weights(bundle: bundles.Bundle) -> dict[str, float]:
    """Return the weight of each account: its group's share, divided by the group's size."""
    weights = {}
    for group in bundle.groups:
        for account in group.accounts:
            weights[account] = group.share_percent / len(group.accounts)
    return weights


class Target:
    """The client of one engine or plain service, with its state as of the last poll."""

    def __init__(
        self, context: base.RoleContext, config: settings_.Agent, incarnation: int
    ) -> None:
        self.context = context
        self.config = config
        self.incarnation = incarnation
        self.client = http_client.Client(connections=config.slots + 4)
        self.request_queue = RequestQueue(config.slots, config.queue_max, context.clock)
        self.serving: dict[str, str] = {}
        self.fence = engine_calls.FencingToken()
        self.is_reachable = False
        self.is_leaving = False

    # Status

    def refresh_status(self) -> None:
        """Poll the target's status; an unreachable target is taken to serve nothing."""
        if self.config.target_kind == bundles.SERVICE:
            self.refresh_service_status()
            return
        try:
            response = self.client.request_ok(
                "GET",
                f"{self.config.target_url}/v1/status",
                timeout_s=STATUS_TIMEOUT_S,
                limit_bytes=STATUS_BYTES_MAX,
            )
            status = msgspec.json.decode(response.body, type=engine_calls.EngineStatus)
        except (errors.MerlinthreadError, msgspec.DecodeError) as error:
            self.mark_unreachable(str(error))
            return
        self.is_reachable = True
        self.serving = status.models
        self.fence = status.fence
        self.is_leaving = status.is_leaving

    def refresh_service_status(self) -> None:
        """Poll the health check of a plain service."""
        try:
            self.client.request_ok(
                "GET",
                f"{self.config.target_url}/healthz",
                timeout_s=STATUS_TIMEOUT_S,
                limit_bytes=STATUS_BYTES_MAX,
            )
        except errors.MerlinthreadError as error:
            self.mark_unreachable(error.message)
            return
        self.is_reachable = True
        self.serving = {self.config.service: ""}

    def mark_unreachable(self, reason: str) -> None:
        """Record that the target is unreachable."""
        if self.is_reachable:
            logs.warning("target_unreached", reason=reason)
        self.is_reachable = False
        self.serving = {}

    # Orders

    def send_order(self, step: reconciliation.Step, generation: int, layout: object) -> None:
        """Send the engine the order for a step and wait until it is done.

        Raises MerlinthreadError (fenced) if the engine has accepted a newer order, other errors
        that the engine returns, and WeightsError if its response is invalid or has another digest.
        """
        order = self.make_order(step, generation, layout)
        outcome = "refused"
        try:
            response = self.client.request_ok(
                "POST",
                f"{self.config.target_url}/v1/orders",
                msgspec.json.encode(order),
                {"Content-Type": "application/json"},
                ORDER_TIMEOUT_S,
            )
            order_reply = msgspec.json.decode(response.body, type=engine_calls.OrderReply)
            if order_reply.digest != order.manifest:
                raise errors.WeightsError(
                    f"the engine reports digest {order_reply.digest} for {order.name} instead of "
                    f"{order.manifest}"
                )
            outcome = "done"
        except msgspec.DecodeError as error:
            raise errors.WeightsError(f"the engine's response can't be decoded: {error}")
        finally:
            metrics.orders_total.labels(order.action, outcome).inc()
            logs.event(
                "ordered",
                action=order.action,
                name=order.name,
                manifest=order.manifest,
                generation=generation,
                epoch=self.incarnation,
                outcome=outcome,
            )

    def make_order(
        self, step: reconciliation.Step, generation: int, layout: object
    ) -> engine_calls.Order:
        """Return the order for a step, with this agent's fencing token."""
        if isinstance(step, reconciliation.Unload):
            return engine_calls.Order(engine_calls.UNLOAD, step.name, generation, self.incarnation)
        http_settings = self.context.settings.http
        return engine_calls.Order(
            engine_calls.LOAD,
            step.item.name,
            generation,
            self.incarnation,
            step.item.version,
            step.item.manifest,
            step.item.base,
            f"http://{http_settings.address}:{http_settings.port}/weights/{step.item.manifest}",
            layout,
        )

    # Requests

    def apply_group_shares(self, directive: control_state.Directive) -> None:
        """Set the accounts' weights from the shares of their groups."""
        if directive.bundle is not None:
            self.request_queue.set_weights(account_weights(directive.bundle))

    def verify_attempt(self, request: http_server.Request, path: str) -> attempts.Attempt:
        """Parse and authenticate an attempt.

        Raises RequestError (not_run) if it is for another incarnation of the agent.
        """
        attempt = attempts.parse_attempt(request.headers)
        attempts.verify_tag(self.context.codec, attempt, path, request.body, request.headers)
        if attempt.incarnation != self.incarnation:
            raise errors.RequestError(
                f"the attempt is for incarnation {attempt.incarnation}, not {self.incarnation}",
                kind=errors.ErrorKind.NOT_RUN,
            )
        return attempt

    def handle_request(self, request: http_server.Request) -> http_server.Response:
        """Handle an attempt of an entry."""
        self.context.in_flight.enter()
        try:
            if request.subpath == "v1/completions" and self.config.target_kind == bundles.GENERATE:
                return self.generate(request)
            return self.call_service(request)
        except BaseException:
            self.context.in_flight.leave()
            raise

    def generate(self, request: http_server.Request) -> http_server.Response:
        """Run a completion on the engine and return the streamed response."""
        attempt = self.verify_attempt(request, request.path)
        call = msgspec.json.decode(request.body, type=CompletionBody)
        self.check_served(call, attempt)
        deadline = self.context.clock() + attempt.deadline_ms / 1000
        queued = fair_queue.QueuedRequest(
            attempt.id,
            attempt.account,
            attempt.priority,
            len(call.prompt.split()),
            call.max_tokens,
            self.context.clock(),
        )
        self.request_queue.wait_for_slot(queued, deadline)
        try:
            stream = self.open_engine_stream(request.body, attempt, deadline)
        except BaseException:
            self.request_queue.finish(queued.id)
            raise
        return http_server.Response(
            200,
            self.relay(stream, queued),
            {
                attempts.ATTEMPT: attempt.id,
                attempts.DIGEST: stream.headers.get(attempts.DIGEST, ""),
            },
            "text/event-stream",
        )

    def check_served(self, call: CompletionBody, attempt: attempts.Attempt) -> None:
        """Raise RequestError (not_run) if the model or the required weights are not served here."""
        served = self.serving.get(call.model)
        if served is None:
            raise errors.RequestError(
                f"model {call.model!r} is not served here", kind=errors.ErrorKind.NOT_RUN
            )
        if attempt.digest and served != attempt.digest:
            raise errors.RequestError(
                f"weights {attempt.digest} of {call.model!r} are no longer served here",
                kind=errors.ErrorKind.NOT_RUN,
            )

    def open_engine_stream(
        self, body: bytes, attempt: attempts.Attempt, deadline: float
    ) -> http_client.StreamingResponse:
        """Send a completion to the engine and return the response stream.

        Raises RequestError: not_run if the request was not sent, stream_broken if the response is
        for another attempt; and errors that the engine returns.
        """
        remaining = max(0.05, deadline - self.context.clock())
        headers = {
            "Content-Type": "application/json",
            attempts.ATTEMPT: attempt.id,
            attempts.PRIORITY: str(attempt.priority),
            attempts.DIGEST: attempt.digest,
        }
        try:
            stream = self.client.open(
                "POST", f"{self.config.target_url}/v1/completions", body, headers, remaining
            )
        except http_client.NotSentError as error:
            raise errors.RequestError(
                f"the engine could not be reached: {error.message}", kind=errors.ErrorKind.NOT_RUN
            )
        if stream.status >= 400:
            data = stream.read(65536)
            raise error_responses.parse_error(data, stream.status)
        if stream.headers.get(attempts.ATTEMPT) != attempt.id:
            metrics.late_answers_total.inc()
            stream.close()
            raise errors.RequestError(
                "the engine's response is for another request", kind=errors.ErrorKind.STREAM_BROKEN
            )
        return stream

    def relay(
        self, stream: http_client.StreamingResponse, queued: fair_queue.QueuedRequest
    ) -> Iterator[bytes]:
        """Yield the engine's events, and charge the request for each token.

        A stream that does not run to its end is cancelled on the engine.
        """
        is_complete = False
        try:
            for event in events.decode(stream.iter_lines()):
                if event.kind == events.TOKEN:
                    self.request_queue.charge(queued.id, 1)
                is_complete = event.kind in (events.DONE, events.ERROR)
                yield events.encode(event.kind, event.data)
                if is_complete:
                    return
        except errors.MerlinthreadError as error:
            logs.event("engine_broke_off", attempt=queued.id, reason=error.message)
        finally:
            if is_complete:
                stream.release()
            else:
                stream.close()
                self.cancel_on_engine(queued.id)
            self.request_queue.finish(queued.id)
            self.context.in_flight.leave()

    def cancel_on_engine(self, attempt_id: str) -> None:
        """Cancel an attempt on the engine to free its slot; errors are logged."""
        try:
            self.client.request(
                "POST",
                f"{self.config.target_url}/v1/cancel",
                msgspec.json.encode({"request_id": attempt_id}),
                {"Content-Type": "application/json"},
                STATUS_TIMEOUT_S,
                STATUS_BYTES_MAX,
            )
        except errors.MerlinthreadError as error:
            logs.debug("cancel_failed", attempt=attempt_id, reason=error.message)

    def call_service(self, request: http_server.Request) -> http_server.Response:
        """Run a call on a plain service and return the complete response."""
        attempt = self.verify_attempt(request, request.path)
        deadline = self.context.clock() + attempt.deadline_ms / 1000
        queued = fair_queue.QueuedRequest(
            attempt.id, attempt.account, attempt.priority, 1, 0, self.context.clock()
        )
        self.request_queue.wait_for_slot(queued, deadline)
        try:
            response = self.send_to_service(request, attempt, deadline)
        finally:
            self.request_queue.finish(queued.id)
            self.context.in_flight.leave()
        content_type = response.headers.get("content-type", "application/json")
        return http_server.Response(
            response.status, response.body, {attempts.ATTEMPT: attempt.id}, content_type
        )

    def send_to_service(
        self, request: http_server.Request, attempt: attempts.Attempt, deadline: float
    ) -> http_client.Response:
        """Send a call to the service.

        Raises RequestError: not_run if the call was not sent, otherwise outcome_unknown.
        """
        remaining = max(0.05, deadline - self.context.clock())
        headers = {
            "Content-Type": request.headers.get("content-type", "application/json"),
            attempts.ATTEMPT: attempt.id,
            attempts.ACCOUNT: attempt.account,
        }
        url = f"{self.config.target_url}/{request.subpath}"
        try:
            return self.client.request(request.method, url, request.body, headers, remaining)
        except http_client.NotSentError as error:
            raise errors.RequestError(
                f"the service could not be reached: {error.message}", kind=errors.ErrorKind.NOT_RUN
            )
        except errors.UnreachableError as error:
            raise errors.RequestError(
                f"the service may have run the call: {error.message}",
                kind=errors.ErrorKind.OUTCOME_UNKNOWN,
            )
