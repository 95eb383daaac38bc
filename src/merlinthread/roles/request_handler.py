"""Client requests at an entry: admission, routing and attempts."""

import dataclasses
import random
import threading
import typing
import uuid

from merlinthread import errors, logs, metrics
from merlinthread import settings as settings_
from merlinthread.coordination import agents, bundles, routing, summaries
from merlinthread.protocol import attempts, error_responses
from merlinthread.roles import base, completion, service_call
from merlinthread.transport import http_client, http_server

if typing.TYPE_CHECKING:
    from merlinthread.roles import entry


@dataclasses.dataclass(slots=True)
class AdmittedRequest:
    """An admitted request.

    `deadline` and `arrived_at` are on this entry's monotonic clock; `tried` holds the names of the
    targets that failed.
    """

    request_id: str
    account: str
    group: bundles.Group
    deadline: float
    arrived_at: float
    tried: set[str] = dataclasses.field(default_factory=set)


class InFlightByTarget:
    """The number of this entry's requests in flight at each target."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counts: dict[str, int] = {}

    def add(self, agent: str, change: int) -> None:
        """Add `change` to the count of `agent`."""
        with self.lock:
            self.counts[agent] = self.counts.get(agent, 0) + change

    def get(self, agent: str) -> int:
        """Return the count of `agent`."""
        return self.counts.get(agent, 0)


class RequestHandler:
    """Handles client requests; called in the threads of the HTTP server."""

    def __init__(
        self,
        context: base.RoleContext,
        config: settings_.Entry,
        zone: "entry.ZoneState",
        submitter: "entry.Submitter",
    ) -> None:
        self.context = context
        self.config = config
        self.zone = zone
        self.submitter = submitter
        self.outcome_retrier = service_call.OutcomeRetrier(context, submitter)
        self.client = http_client.Client()
        self.in_flight_by_target = InFlightByTarget()
        self.policy = routing.POLICIES.get(config.policy)
        self.location = routing.Location(
            context.settings.availability_zone, context.settings.region
        )
        self.rng = random.Random()

    def add_routes(self, routes: http_server.Routes) -> None:
        """Add the routes of the clients' API."""
        routes.add("POST", "/v1/completions", self.handle_completion)
        for method in ("GET", "POST"):
            routes.add(method, "/v1/services/", self.handle_service_call)

    # Common to all requests

    def admit(self, request: http_server.Request) -> AdmittedRequest:
        """Admit a request; raise RequestError if its account or headers are invalid."""
        account = request.headers.get(attempts.ACCOUNT, "")
        bundle = self.bundle()
        group = bundle.group_of(account)
        if group is None:
            raise errors.RequestError(
                f"header X-Account: {account!r} is not in any group of the bundle in force",
                kind=errors.ErrorKind.UNKNOWN_ACCOUNT,
                field="X-Account",
            )
        now = self.context.clock()
        return AdmittedRequest(
            request.headers.get(attempts.REQUEST_ID) or uuid.uuid4().hex,
            account,
            group,
            now + self.timeout_s(request),
            now,
        )

    def timeout_s(self, request: http_server.Request) -> float:
        """Return the request's timeout from its X-Deadline-Ms header, or the default."""
        text = request.headers.get(attempts.DEADLINE_MS)
        if text is None:
            return self.config.default_deadline_s
        if not text.isdigit() or not 0 < int(text) <= 86_400_000:
            raise errors.RequestError(
                f"header X-Deadline-Ms: {text!r} is not an integer from 1 to 86400000 (ms)",
                field="X-Deadline-Ms",
            )
        return int(text) / 1000

    def bundle(self) -> bundles.Bundle:
        """Return the bundle in force; raise RequestError if none is known yet."""
        bundle = self.zone.snapshot.directive.bundle
        if bundle is None:
            raise errors.RequestError(
                "this entry has not received a bundle yet", kind=errors.ErrorKind.NOT_RUN
            )
        return bundle

    def choose_target(
        self,
        request_id: str,
        requirements: routing.Requirements,
        tried: frozenset[str],
        is_local: bool = False,
    ) -> agents.AgentReport:
        """Choose a target and log the reason; raise RequestError (no_target) if there is none.

        Other entries are candidates too, for the targets that they can reach, unless `is_local`.
        """
        snapshot = self.zone.snapshot
        requirements = dataclasses.replace(requirements, excluded=snapshot.leaving | tried)
        reports = list(snapshot.live)
        if not is_local:
            reports += self.entries_as_targets(snapshot.other_summaries, requirements)
        candidates = [
            routing.Candidate(report, self.in_flight_by_target.get(report.name))
            for report in reports
            if routing.can_serve(report, requirements)
        ]
        if not candidates:
            raise errors.RequestError(
                f"no live target serves {requirements.name!r}"
                + (f" with adapter {requirements.adapter!r}" if requirements.adapter else "")
                + (f" besides the {len(tried)} already tried" if tried else ""),
                kind=errors.ErrorKind.NO_TARGET,
            )
        choice = self.policy(candidates, requirements, self.location, self.rng)
        logs.event(
            "routed",
            request_id=request_id,
            target=choice.report.name,
            reason=choice.reason,
            candidates=len(candidates),
            policy=self.config.policy,
            tried=len(tried),
        )
        return choice.report

    def entries_as_targets(
        self, other_summaries: list[summaries.Summary], requirements: routing.Requirements
    ) -> list[agents.AgentReport]:
        """Return reports for the entries that reach a suitable target."""
        reports = [
            summaries.as_target(summary, requirements.kind, requirements.name, requirements.adapter)
            for summary in other_summaries
        ]
        return [report for report in reports if report is not None]

    def remaining_s(self, admitted: AdmittedRequest) -> float:
        """Return the time until the deadline; raise RequestError (not_run) if it has passed."""
        remaining = admitted.deadline - self.context.clock()
        if remaining <= 0:
            raise errors.RequestError(
                "the deadline passed before a target ran the request", kind=errors.ErrorKind.NOT_RUN
            )
        return remaining

    def send(
        self,
        admitted: AdmittedRequest,
        report: agents.AgentReport,
        method: str,
        path: str,
        body: bytes,
        digest: str = "",
        service: str = "",
    ) -> http_client.StreamingResponse:
        """Send an attempt to a target's agent and return the response stream.

        Raises NotSentError, and errors that the agent returned.
        """
        attempt = attempts.Attempt(
            uuid.uuid4().hex,
            report.incarnation,
            admitted.account,
            admitted.group.priority,
            int(self.remaining_s(admitted) * 1000),
            digest,
            service,
        )
        return self.send_attempt(report, method, path, body, attempt)

    def send_attempt(
        self,
        report: agents.AgentReport,
        method: str,
        path: str,
        body: bytes,
        attempt: attempts.Attempt,
    ) -> http_client.StreamingResponse:
        """Send an existing attempt; see `send`."""
        headers = attempt.headers()
        headers.update(attempts.authentication_headers(self.context.codec, attempt, path, body))
        remaining = max(0.001, attempt.deadline_ms / 1000)
        stream = self.client.open(method, report.http + path, body, headers, remaining)
        if stream.status >= 400 and attempts.ATTEMPT not in stream.headers:
            data = stream.read(self.config.answer_bytes_max)
            stream.release()
            raise error_responses.parse_error(data, stream.status)
        return stream

    # Completions

    def handle_completion(self, request: http_server.Request) -> http_server.Response:
        """Handle a completion request."""
        self.context.in_flight.enter()
        try:
            response = completion.Completion(self, request).run()
        except BaseException as error:
            self.context.in_flight.leave()
            kind = error.kind if isinstance(error, errors.MerlinthreadError) else "internal"
            metrics.requests_total.labels("generate", str(kind)).inc()
            raise
        return response

    # Services

    def handle_service_call(self, request: http_server.Request) -> http_server.Response:
        """Handle a call of a plain service."""
        self.context.in_flight.enter()
        outcome = "internal"
        try:
            response = service_call.ServiceCall(self, request).run()
            outcome = "answered"
            return response
        except errors.MerlinthreadError as error:
            outcome = str(error.kind)
            raise
        finally:
            self.context.in_flight.leave()
            metrics.requests_total.labels("service", outcome).inc()
