"""One call of a plain service at an entry; one that must not be repeated is claimed first."""

import collections
import threading
import time
import typing
import uuid

import blake3

from merlinthread import errors, logs, metrics
from merlinthread.coordination import agents, bundles, commands, routing
from merlinthread.protocol import attempts, error_responses
from merlinthread.roles import base
from merlinthread.transport import http_client, http_server

if typing.TYPE_CHECKING:
    from merlinthread.roles import entry, request_handler

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


class Settler:
    """Brings the outcomes of claimed calls to the leader that could not be brought at once."""

    def __init__(self, context: base.RoleContext, submitter: "entry.Submitter") -> None:
        self.context = context
        self.submitter = submitter
        self.lock = threading.Lock()
        self.waiting: collections.deque[commands.Complete] = collections.deque(maxlen=UNSETTLED_MAX)

    def add(self, complete: commands.Complete) -> None:
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
                self.submitter.submit(complete, self.context.clock() + CLAIM_WAIT_S)
            except errors.MerlinthreadError as error:
                logs.debug("claim_not_settled", key=complete.key, reason=error.message)
                return
            with self.lock:
                if self.waiting and self.waiting[0] is complete:
                    self.waiting.popleft()


class ServiceCall:
    """One call of a plain service; one that may not be repeated is claimed first."""

    def __init__(
        self, path: "request_handler.RequestHandler", request: http_server.Request
    ) -> None:
        self.path = path
        self.request = request
        self.call = path.admit(request)
        name, _, rest = request.subpath.partition("/")
        self.service_path = "/" + rest
        service = path.bundle().service(name)
        if service is None:
            raise errors.RequestError(
                f"service {name!r} is not in the bundle in force",
                kind=errors.ErrorKind.UNKNOWN_MODEL,
            )
        self.wanted = routing.Requirements(bundles.SERVICE, name)
        self.may_repeat = request.method == "GET" or self.service_path in service.repeatable

    def run(self) -> http_server.Response:
        """Run the call and return the service's answer."""
        if self.may_repeat:
            return self.to_response(self.try_targets())
        return self.run_once()

    def try_targets(self) -> http_client.Response:
        """Try targets until one answers; one that may not be repeated goes on only if not run."""
        failure: errors.MerlinthreadError | None = None
        for _ in range(self.path.config.attempts_max):
            try:
                report = self.path.choose(
                    self.call.request_id, self.wanted, frozenset(self.call.tried)
                )
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

    def try_at(self, report: agents.AgentReport) -> http_client.Response:
        """Send the call to one target and return its whole answer."""
        self.path.outstanding.add(report.name, 1)
        try:
            stream = self.path.send(
                self.call,
                report,
                self.request.method,
                "/target" + self.service_path,
                self.request.body,
                service=self.wanted.name,
            )
            data = stream.read(self.path.config.answer_bytes_max)
            stream.release()
            return http_client.Response(stream.status, stream.headers, data)
        finally:
            self.path.outstanding.add(report.name, -1)

    def to_response(self, reply: http_client.Response) -> http_server.Response:
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
        claim = commands.Claim(key, digest, attempt, issued_at)
        granted = self.claim(claim)
        if granted.status == "done":
            return self.replay(granted)
        complete = commands.Complete(key, attempt, 0, b"")
        try:
            reply = self.try_targets()
        except errors.MerlinthreadError as error:
            self.settle_failure(complete, error)
            raise
        complete.status = reply.status
        complete.body = reply.body if len(reply.body) <= ANSWER_KEPT_BYTES else b""
        if complete.body != reply.body:
            complete.status = error_responses.RESPONSES[errors.ErrorKind.OUTCOME_UNKNOWN].status
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
        if issued_at > self.path.context.wall_clock() + KEY_AHEAD_MAX_S:
            raise errors.RequestError(
                f"header Idempotency-Key: {text!r} is from the future; correct the caller's clock",
                kind=errors.ErrorKind.KEY_REQUIRED,
                field="Idempotency-Key",
            )
        return f"{self.call.account} {key}", issued_at

    def claim(self, claim: commands.Claim) -> commands.Answer:
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
            if self.path.context.clock() + RUNNING_POLL_S >= self.call.deadline:
                raise errors.RequestError(
                    "another call with this key runs or was cut off; its outcome is not known",
                    kind=errors.ErrorKind.OUTCOME_UNKNOWN,
                )
            time.sleep(RUNNING_POLL_S)

    def submit_claim(self, claim: commands.Claim) -> commands.Answer:
        """Bring the claim to the leader.

        If that may have failed the call was surely not run, and the key is freed in the background.
        """
        deadline = min(self.call.deadline, self.path.context.clock() + CLAIM_WAIT_S)
        try:
            return self.path.submitter.submit(claim, deadline)
        except errors.MerlinthreadError as error:
            freed = commands.Complete(claim.key, claim.attempt, 0, b"", not_run=True)
            self.path.settler.add(freed)
            raise errors.RequestError(
                f"the call was not run, since its key could not be claimed: {error.message}",
                kind=errors.ErrorKind.NOT_RUN,
                retry_after_s=2.0,
            )

    def replay(self, kept: commands.Answer) -> http_server.Response:
        """Return the first call's answer."""
        if kept.http_status >= 500 and not kept.body:
            raise errors.RequestError(
                "an earlier call with this key may have run; its answer is not known",
                kind=errors.ErrorKind.OUTCOME_UNKNOWN,
            )
        headers = {"X-Request-Id": self.call.request_id, "X-Replayed": "true"}
        return http_server.Response(kept.http_status, kept.body, headers)

    def settle_failure(self, complete: commands.Complete, error: errors.MerlinthreadError) -> None:
        """Free the key if nothing ran; otherwise keep that the outcome is unknown."""
        if error.kind in SURELY_NOT_RUN:
            complete.not_run = True
        else:
            complete.status = error_responses.RESPONSES[errors.ErrorKind.OUTCOME_UNKNOWN].status
        self.settle(complete)

    def settle(self, complete: commands.Complete) -> None:
        """Bring what became of the call to the leader, now or as soon as one is reached."""
        try:
            self.path.submitter.submit(complete, self.path.context.clock() + CLAIM_WAIT_S)
        except errors.MerlinthreadError as error:
            logs.warning("claim_not_settled", key=complete.key, reason=error.message)
            self.path.settler.add(complete)
