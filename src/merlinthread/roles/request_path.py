"""A caller's request at an entry: checks, routing, attempts, and the answer."""

import collections
import dataclasses
import random
import threading
import time
import typing
import uuid
from collections.abc import Iterator

import blake3
import msgspec

from merlinthread import errors, logs, metrics
from merlinthread import settings as settings_
from merlinthread.coordination import agents, bundles, control_state, routing
from merlinthread.protocol import answers, attempts, events
from merlinthread.roles import base
from merlinthread.transport import http_client, http_server

if typing.TYPE_CHECKING:
    from merlinthread.roles import entry

CLAIM_WAIT_S = 2.0
RUNNING_POLL_S = 0.05
ANSWER_KEPT_BYTES = 65536
KEY_AHEAD_MAX_S = 300.0
UNSETTLED_MAX = 10_000
SURELY_NOT_RUN = (
    errors.ErrorKind.NOT_RUN,
    errors.ErrorKind.LEAVING,
    errors.ErrorKind.OVERLOADED,
    errors.ErrorKind.NO_TARGET,
)


@dataclasses.dataclass(slots=True)
class CompletionCall:
    """The JSON body of a completion request, as far as entries look at it."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    adapter: str = ""


@dataclasses.dataclass(slots=True)
class Call:
    """One caller's request on its way; `deadline` is on this entry's clock."""

    request_id: str
    account: str
    group: bundles.Group
    deadline: float
    arrived_at: float
    tried: set[str] = dataclasses.field(default_factory=set)


class Outstanding:
    """How many requests this entry has at each target right now."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counts: dict[str, int] = {}

    def add(self, agent: str, change: int) -> None:
        """Count one more or one less."""
        with self.lock:
            self.counts[agent] = self.counts.get(agent, 0) + change

    def get(self, agent: str) -> int:
        """Return the count for `agent`."""
        return self.counts.get(agent, 0)


class Settler:
    """Brings the outcomes of claimed calls to the leader that could not be brought at once."""

    def __init__(self, parts: base.Parts, submitter: "entry.Submitter") -> None:
        self.parts = parts
        self.submitter = submitter
        self.lock = threading.Lock()
        self.waiting: collections.deque[control_state.Complete] = collections.deque(
            maxlen=UNSETTLED_MAX
        )

    def add(self, complete: control_state.Complete) -> None:
        """Put an outcome in line."""
        with self.lock:
            self.waiting.append(complete)

    def work(self) -> None:
        """Bring what waits, oldest first, until the leader can't be reached."""
        while True:
            with self.lock:
                if not self.waiting:
                    return
                complete = self.waiting[0]
            try:
                self.submitter.submit(complete, self.parts.clock() + CLAIM_WAIT_S)
            except errors.MerlinthreadError as error:
                logs.detail("claim_not_settled", key=complete.key, reason=error.message)
                return
            with self.lock:
                if self.waiting and self.waiting[0] is complete:
                    self.waiting.popleft()


class RequestPath:
    """Handles callers' requests; every request has a thread of its own."""

    def __init__(
        self,
        parts: base.Parts,
        config: settings_.Entry,
        zone: "entry.ZoneTask",
        submitter: "entry.Submitter",
    ) -> None:
        self.parts = parts
        self.config = config
        self.zone = zone
        self.submitter = submitter
        self.settler = Settler(parts, submitter)
        self.client = http_client.Client()
        self.outstanding = Outstanding()
        self.policy = routing.POLICIES.get(config.policy)
        self.place = routing.Place(parts.settings.availability_zone, parts.settings.region)
        self.rng = random.Random()

    def add_routes(self, routes: http_server.Routes) -> None:
        """Add the callers' paths to the listener."""
        routes.add("POST", "/v1/completions", self.on_completion)
        for method in ("GET", "POST"):
            routes.add(method, "/v1/services/", self.on_service)

    # What every request goes through

    def admit(self, request: http_server.Request) -> Call:
        """Return the request's frame; raise RequestError if account or headers are refused."""
        account = request.headers.get(attempts.ACCOUNT, "")
        bundle = self.bundle()
        group = bundle.group_of(account)
        if group is None:
            raise errors.RequestError(
                f"header X-Account: {account!r} is in no group of the bundle in force",
                kind=errors.ErrorKind.UNKNOWN_ACCOUNT,
                field="X-Account",
            )
        now = self.parts.clock()
        return Call(
            request.headers.get(attempts.REQUEST_ID) or uuid.uuid4().hex,
            account,
            group,
            now + self.deadline_s(request),
            now,
        )

    def deadline_s(self, request: http_server.Request) -> float:
        """Return how long the caller waits, in seconds."""
        text = request.headers.get(attempts.DEADLINE_MS)
        if text is None:
            return self.config.default_deadline_s
        if not text.isdigit() or not 0 < int(text) <= 86_400_000:
            raise errors.RequestError(
                f"header X-Deadline-Ms: {text!r} is no number of milliseconds from 1 to 86400000",
                field="X-Deadline-Ms",
            )
        return int(text) / 1000

    def bundle(self) -> bundles.Bundle:
        """Return the bundle in force; raise RequestError if none is known yet."""
        bundle = self.zone.known.directive.bundle
        if bundle is None:
            raise errors.RequestError(
                "this entry knows no bundle in force yet", kind=errors.ErrorKind.NOT_RUN
            )
        return bundle

    def choose(self, call: Call, wanted: routing.Wanted) -> agents.AgentReport:
        """Choose a target and log why; raise RequestError (no_target) if there is none."""
        known = self.zone.known
        wanted = dataclasses.replace(wanted, excluded=known.leaving | call.tried)
        candidates = [
            routing.Candidate(report, self.outstanding.get(report.name))
            for report in known.live
            if routing.can_serve(report, wanted)
        ]
        if not candidates:
            raise errors.RequestError(
                f"no live target serves {wanted.name!r}"
                + (f" with adapter {wanted.adapter!r}" if wanted.adapter else "")
                + (f" besides the {len(call.tried)} tried" if call.tried else ""),
                kind=errors.ErrorKind.NO_TARGET,
            )
        choice = self.policy(candidates, wanted, self.place, self.rng)
        logs.event(
            "routed",
            request_id=call.request_id,
            target=choice.report.name,
            reason=choice.reason,
            candidates=len(candidates),
            policy=self.config.policy,
            tried=len(call.tried),
        )
        return choice.report

    def left_s(self, call: Call) -> float:
        """Return how long the caller still waits; raise RequestError (not_run) if it is over."""
        left = call.deadline - self.parts.clock()
        if left <= 0:
            raise errors.RequestError(
                "the deadline passed before a target ran it", kind=errors.ErrorKind.NOT_RUN
            )
        return left

    def send(
        self,
        call: Call,
        report: agents.AgentReport,
        method: str,
        path: str,
        body: bytes,
        digest: str,
    ) -> http_client.Stream:
        """Send one attempt to a target's agent and return its answer's beginning.

        Raises NotSentError and the agent's own refusals.
        """
        left = self.left_s(call)
        attempt = attempts.Attempt(
            uuid.uuid4().hex,
            report.incarnation,
            call.account,
            call.group.priority,
            int(left * 1000),
            digest,
        )
        headers = attempt.headers()
        headers.update(attempts.tag_headers(self.parts.codec, attempt, path, body))
        stream = self.client.open(method, report.http + path, body, headers, left)
        if stream.status >= 400 and attempts.ATTEMPT not in stream.headers:
            data = stream.read(self.config.answer_bytes_max)
            stream.release()
            raise answers.error_from(data, stream.status)
        return stream

    # Generation

    def on_completion(self, request: http_server.Request) -> http_server.Response:
        """Answer a completion request, streamed or whole."""
        self.parts.in_flight.enter()
        try:
            answer = Completion(self, request).run()
        except BaseException as error:
            self.parts.in_flight.leave()
            kind = error.kind if isinstance(error, errors.MerlinthreadError) else "internal"
            metrics.requests_total.labels("generate", str(kind)).inc()
            raise
        return answer

    # Services

    def on_service(self, request: http_server.Request) -> http_server.Response:
        """Answer a call of a plain service."""
        self.parts.in_flight.enter()
        outcome = "internal"
        try:
            response = ServiceCall(self, request).run()
            outcome = "answered"
            return response
        except errors.MerlinthreadError as error:
            outcome = str(error.kind)
            raise
        finally:
            self.parts.in_flight.leave()
            metrics.requests_total.labels("service", outcome).inc()


class Completion:
    """One completion request: attempts until one streams, resumed elsewhere if it breaks off."""

    def __init__(self, path: RequestPath, request: http_server.Request) -> None:
        self.path = path
        self.request = request
        self.call = path.admit(request)
        try:
            self.body = msgspec.json.decode(request.body, type=CompletionCall)
        except (msgspec.DecodeError, RecursionError) as error:
            raise errors.RequestError(f"the body is refused: {error}")
        model = path.bundle().model(self.body.model)
        if model is None:
            raise errors.RequestError(
                f"model: {self.body.model!r} is not in the bundle in force",
                kind=errors.ErrorKind.UNKNOWN_MODEL,
                field="model",
            )
        self.wanted = routing.Wanted(bundles.GENERATE, self.body.model, self.body.adapter)
        self.target: agents.AgentReport | None = None
        self.upstream: http_client.Stream | None = None
        self.digest = ""
        self.relayed = 0
        self.tries = 0

    def run(self) -> http_server.Response:
        """Open the answer and return it; its end counts the request out."""
        self.open()
        relay = self.relay()
        if self.body.stream:
            return http_server.Response(
                200,
                relay,
                {"X-Request-Id": self.call.request_id, "Cache-Control": "no-store"},
                "text/event-stream",
            )
        return self.collect(relay)

    def open(self) -> None:
        """Find a target that starts the answer, or go on where it broke off.

        Raises the last attempt's error once attempts, targets or time are used up.
        """
        failure: errors.MerlinthreadError | None = None
        while self.tries < self.path.config.attempts_max:
            self.tries += 1
            try:
                report = self.path.choose(self.call, self.wanted)
            except errors.MerlinthreadError as error:
                raise failure or error
            try:
                self.open_at(report)
                return
            except errors.MerlinthreadError as error:
                self.call.tried.add(report.name)
                metrics.attempts_total.labels(str(error.kind)).inc()
                logs.event(
                    "attempt_failed",
                    request_id=self.call.request_id,
                    target=report.name,
                    kind=str(error.kind),
                    reason=error.message,
                )
                failure = error
                if self.path.parts.clock() >= self.call.deadline:
                    break
        assert failure is not None
        raise failure

    def open_at(self, report: agents.AgentReport) -> None:
        """Start the answer at one target."""
        call = msgspec.json.decode(self.request.body)
        call.update(stream=True, request_id=self.call.request_id, resume_from=self.relayed)
        body = msgspec.json.encode(call)
        self.path.outstanding.add(report.name, 1)
        try:
            stream = self.path.send(
                self.call, report, "POST", "/target/v1/completions", body, self.digest
            )
        except BaseException:
            self.path.outstanding.add(report.name, -1)
            raise
        self.target = report
        self.upstream = stream
        self.digest = stream.headers.get(attempts.DIGEST, "")

    def relay(self) -> Iterator[bytes]:
        """Give the answer's events on; resume elsewhere on the same weights if it breaks off."""
        outcome = "left_by_caller"
        try:
            while True:
                try:
                    yield from self.relay_once()
                    outcome = "answered"
                    return
                except errors.MerlinthreadError as error:
                    self.close_upstream()
                    outcome = str(error.kind)
                    ending = self.resume(error)
                    if ending:
                        yield ending
                        return
        finally:
            self.close_upstream()
            metrics.requests_total.labels("generate", outcome).inc()
            self.path.parts.in_flight.leave()

    def relay_once(self) -> Iterator[bytes]:
        """Give one target's events on until the answer is whole; raise if it breaks off."""
        assert self.upstream is not None
        for event in events.decode(self.upstream.lines()):
            if event.kind == events.TOKEN:
                token = msgspec.json.decode(event.data, type=events.Token)
                if token.index != self.relayed:
                    metrics.late_answers_total.inc()
                    continue
                if self.relayed == 0:
                    waited = self.path.parts.clock() - self.call.arrived_at
                    metrics.first_token_seconds.observe(waited)
                self.relayed += 1
                yield events.encode(event.kind, event.data)
            elif event.kind == events.DONE:
                yield events.encode(event.kind, event.data)
                return
            elif event.kind == events.ERROR:
                raise answers.error_from(event.data, 200)
        raise errors.RequestError("the answer broke off", kind=errors.ErrorKind.STREAM_BROKEN)

    def resume(self, error: errors.MerlinthreadError) -> bytes:
        """Go on at another target; return the ending to send if that can't be."""
        logs.event(
            "stream_broken",
            request_id=self.call.request_id,
            relayed=self.relayed,
            kind=str(error.kind),
            reason=error.message,
        )
        try:
            if self.path.parts.clock() >= self.call.deadline:
                raise error
            self.open()
            return b""
        except errors.MerlinthreadError as last:
            broken = errors.RequestError(
                f"the answer broke off after {self.relayed} tokens and can't be resumed: "
                f"{last.message}",
                kind=errors.ErrorKind.STREAM_BROKEN,
                retry_after_s=last.retry_after_s,
            )
            return events.encode_error(broken)

    def close_upstream(self) -> None:
        """Let the target go; closing an unfinished answer frees the engine's slot."""
        if self.target is not None:
            self.path.outstanding.add(self.target.name, -1)
            self.call.tried.add(self.target.name)
        if self.upstream is not None:
            self.upstream.close()
        self.target = None
        self.upstream = None

    def collect(self, relay: Iterator[bytes]) -> http_server.Response:
        """Return the whole answer at once."""
        texts: list[str] = []
        for event in events.decode(line for piece in relay for line in piece.split(b"\n")[:-1]):
            if event.kind == events.TOKEN:
                texts.append(msgspec.json.decode(event.data, type=events.Token).text)
            elif event.kind == events.ERROR:
                return refusal(event.data)
            else:
                done = msgspec.json.decode(event.data, type=events.Done)
                body = WholeAnswer(self.call.request_id, "".join(texts), done.tokens, done.digest)
                return http_server.json_response(body)
        return http_server.error_response(
            errors.RequestError("the answer broke off", kind=errors.ErrorKind.STREAM_BROKEN)
        )


@dataclasses.dataclass(slots=True)
class WholeAnswer:
    """The JSON body of an answer that is not streamed."""

    request_id: str
    text: str
    tokens: int
    digest: str


def refusal(data: bytes) -> http_server.Response:
    """Return the refusal whose JSON body is `data`."""
    return http_server.error_response(answers.error_from(data, 502))


class ServiceCall:
    """One call of a plain service; one that may not be repeated is claimed first."""

    def __init__(self, path: RequestPath, request: http_server.Request) -> None:
        self.path = path
        self.request = request
        self.call = path.admit(request)
        name, _, rest = request.rest.partition("/")
        self.service_path = "/" + rest
        service = path.bundle().service(name)
        if service is None:
            raise errors.RequestError(
                f"service {name!r} is not in the bundle in force",
                kind=errors.ErrorKind.UNKNOWN_MODEL,
            )
        self.wanted = routing.Wanted(bundles.SERVICE, name)
        self.may_repeat = request.method == "GET" or self.service_path in service.repeatable

    def run(self) -> http_server.Response:
        """Run the call and return the service's answer."""
        if self.may_repeat:
            return self.to_response(self.try_targets())
        return self.run_once()

    def try_targets(self) -> http_client.Reply:
        """Try targets until one answers; one that may not be repeated goes on only if not run."""
        failure: errors.MerlinthreadError | None = None
        for _ in range(self.path.config.attempts_max):
            try:
                report = self.path.choose(self.call, self.wanted)
            except errors.MerlinthreadError as error:
                raise failure or error
            try:
                return self.try_at(report)
            except errors.MerlinthreadError as error:
                self.call.tried.add(report.name)
                metrics.attempts_total.labels(str(error.kind)).inc()
                is_not_run = (
                    isinstance(error, http_client.NotSentError) or error.kind in SURELY_NOT_RUN
                )
                logs.event(
                    "attempt_failed",
                    request_id=self.call.request_id,
                    target=report.name,
                    kind=str(error.kind),
                    reason=error.message,
                    is_not_run=is_not_run,
                )
                if is_not_run:
                    failure = errors.RequestError(
                        f"no target ran it; the last one said: {error.message}",
                        kind=errors.ErrorKind.NOT_RUN,
                        retry_after_s=error.retry_after_s,
                    )
                elif self.may_repeat:
                    failure = error
                else:
                    raise errors.RequestError(
                        f"the target may have run it: {error.message}",
                        kind=errors.ErrorKind.OUTCOME_UNKNOWN,
                    )
        assert failure is not None
        raise failure

    def try_at(self, report: agents.AgentReport) -> http_client.Reply:
        """Send the call to one target and return its whole answer."""
        self.path.outstanding.add(report.name, 1)
        try:
            stream = self.path.send(
                self.call,
                report,
                self.request.method,
                "/target" + self.service_path,
                self.request.body,
                "",
            )
            data = stream.read(self.path.config.answer_bytes_max)
            stream.release()
            return http_client.Reply(stream.status, stream.headers, data)
        finally:
            self.path.outstanding.add(report.name, -1)

    def to_response(self, reply: http_client.Reply) -> http_server.Response:
        """Return the service's answer as ours."""
        kind = reply.headers.get("content-type", "application/json")
        return http_server.Response(
            reply.status, reply.body, {"X-Request-Id": self.call.request_id}, kind
        )

    # At most once

    def run_once(self) -> http_server.Response:
        """Claim the key, run the call once, keep the answer for whoever asks again."""
        key, issued_at = self.read_key()
        attempt = uuid.uuid4().hex
        digest = blake3.blake3(self.service_path.encode() + b"\n" + self.request.body).hexdigest()
        claim = control_state.Claim(key, digest, attempt, issued_at)
        granted = self.claim(claim)
        if granted.status == "done":
            return self.replay(granted)
        complete = control_state.Complete(key, attempt, 0, b"")
        try:
            reply = self.try_targets()
        except errors.MerlinthreadError as error:
            self.settle_failure(complete, error)
            raise
        complete.status = reply.status
        complete.body = reply.body if len(reply.body) <= ANSWER_KEPT_BYTES else b""
        if complete.body != reply.body:
            complete.status = answers.TABLE[errors.ErrorKind.OUTCOME_UNKNOWN].status
        self.settle(complete)
        return self.to_response(reply)

    def read_key(self) -> tuple[str, float]:
        """Return the idempotency key and its time; raise RequestError without a good one."""
        text = self.request.headers.get(attempts.IDEMPOTENCY_KEY, "")
        try:
            key = uuid.UUID(text)
        except ValueError:
            key = uuid.UUID(int=0)
        if key.version != 7:
            raise errors.RequestError(
                f"header Idempotency-Key: {text!r} is no UUIDv7 (RFC 9562); a call that must not "
                "be repeated needs one of its own, kept for every repetition",
                kind=errors.ErrorKind.KEY_REQUIRED,
                field="Idempotency-Key",
            )
        issued_at = (key.int >> 80) / 1000
        if issued_at > self.path.parts.wall_clock() + KEY_AHEAD_MAX_S:
            raise errors.RequestError(
                f"header Idempotency-Key: {text!r} is from the future; correct the caller's clock",
                kind=errors.ErrorKind.KEY_REQUIRED,
                field="Idempotency-Key",
            )
        return f"{self.call.account} {key}", issued_at

    def claim(self, claim: control_state.Claim) -> control_state.Answer:
        """Return "granted" or "done"; wait while another attempt runs.

        Raises RequestError: not_run if no majority took the claim, outcome_unknown if another
        attempt has not finished before the deadline.
        """
        while True:
            answer = self.submit_claim(claim)
            if answer.error:
                raise errors.RequestError(answer.message, kind=errors.ErrorKind(answer.error))
            if answer.status in ("granted", "done"):
                logs.event(
                    "claim_decided",
                    request_id=self.call.request_id,
                    key=claim.key,
                    status=answer.status,
                )
                return answer
            if self.path.parts.clock() + RUNNING_POLL_S >= self.call.deadline:
                raise errors.RequestError(
                    "another call with this key runs or was cut off; its outcome is not known",
                    kind=errors.ErrorKind.OUTCOME_UNKNOWN,
                )
            time.sleep(RUNNING_POLL_S)

    def submit_claim(self, claim: control_state.Claim) -> control_state.Answer:
        """Bring the claim to the leader.

        If that may have failed the call was surely not run, and the key is freed in the background.
        """
        deadline = min(self.call.deadline, self.path.parts.clock() + CLAIM_WAIT_S)
        try:
            return self.path.submitter.submit(claim, deadline)
        except errors.MerlinthreadError as error:
            freed = control_state.Complete(claim.key, claim.attempt, 0, b"", not_run=True)
            self.path.settler.add(freed)
            raise errors.RequestError(
                f"the call was not run, since its key could not be claimed: {error.message}",
                kind=errors.ErrorKind.NOT_RUN,
                retry_after_s=2.0,
            )

    def replay(self, kept: control_state.Answer) -> http_server.Response:
        """Return the first call's answer."""
        if kept.http_status >= 500 and not kept.body:
            raise errors.RequestError(
                "an earlier call with this key may have run; its answer is not known",
                kind=errors.ErrorKind.OUTCOME_UNKNOWN,
            )
        headers = {"X-Request-Id": self.call.request_id, "X-Replayed": "true"}
        return http_server.Response(kept.http_status, kept.body, headers)

    def settle_failure(
        self, complete: control_state.Complete, error: errors.MerlinthreadError
    ) -> None:
        """Free the key if nothing ran; otherwise keep that the outcome is unknown."""
        if error.kind in SURELY_NOT_RUN:
            complete.not_run = True
        else:
            complete.status = answers.TABLE[errors.ErrorKind.OUTCOME_UNKNOWN].status
        self.settle(complete)

    def settle(self, complete: control_state.Complete) -> None:
        """Bring what became of the call to the leader, now or as soon as one is reached."""
        try:
            self.path.submitter.submit(complete, self.path.parts.clock() + CLAIM_WAIT_S)
        except errors.MerlinthreadError as error:
            logs.warn("claim_not_settled", key=complete.key, reason=error.message)
            self.path.settler.add(complete)
