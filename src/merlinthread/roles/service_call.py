"""Calls of plain services at an entry, at most once for those that are not repeatable."""

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

SUBMIT_TIMEOUT_S = 2.0
CLAIM_POLL_S = 0.05
STORED_RESPONSE_BYTES_MAX = 65536
KEY_CLOCK_SKEW_MAX_S = 300.0
PENDING_OUTCOMES_MAX = 10_000
NOT_RUN_KINDS = (
    errors.ErrorKind.NOT_RUN,
    errors.ErrorKind.LEAVING,
    errors.ErrorKind.OVERLOADED,
    errors.ErrorKind.NO_TARGET,
)


class OutcomeRetrier:
    """A queue of outcomes of claimed calls that the leader has not confirmed yet.

    Drops the oldest outcome if more than `PENDING_OUTCOMES_MAX` are pending.
    """

    def __init__(self, context: base.RoleContext, submitter: "entry.Submitter") -> None:
        self.context = context
        self.submitter = submitter
        self.lock = threading.Lock()
        self.pending: collections.deque[commands.Complete] = collections.deque(
            maxlen=PENDING_OUTCOMES_MAX
        )

    def add(self, complete: commands.Complete) -> None:
        """Queue an outcome."""
        with self.lock:
            self.pending.append(complete)

    def retry_pending(self) -> None:
        """Submit the pending outcomes, oldest first, until one fails."""
        while True:
            with self.lock:
                if not self.pending:
                    return
                complete = self.pending[0]
            try:
                self.submitter.submit(complete, self.context.clock() + SUBMIT_TIMEOUT_S)
            except errors.MerlinthreadError as error:
                logs.debug("claim_not_settled", key=complete.key, reason=error.message)
                return
            with self.lock:
                if self.pending and self.pending[0] is complete:
                    self.pending.popleft()


class ServiceCall:
    """One call of a plain service; a call that may not be repeated is claimed first."""

    def __init__(
        self, handler: "request_handler.RequestHandler", request: http_server.Request
    ) -> None:
        self.handler = handler
        self.request = request
        self.admitted = handler.admit(request)
        name, _, rest = request.subpath.partition("/")
        self.service_path = "/" + rest
        service = handler.bundle().service(name)
        if service is None:
            raise errors.RequestError(
                f"service {name!r} is not in the bundle in force",
                kind=errors.ErrorKind.UNKNOWN_MODEL,
            )
        self.requirements = routing.Requirements(bundles.SERVICE, name)
        self.may_repeat = request.method == "GET" or self.service_path in service.repeatable

    def run(self) -> http_server.Response:
        """Run the call and return the service's response."""
        if self.may_repeat:
            return self.to_client_response(self.try_targets())
        return self.run_claimed()

    def try_targets(self) -> http_client.Response:
        """Try targets until one responds.

        A call that may not be repeated is retried only if the failed target did not run it.
        """
        failure: errors.MerlinthreadError | None = None
        for _ in range(self.handler.config.attempts_max):
            try:
                report = self.handler.choose_target(
                    self.admitted.request_id, self.requirements, frozenset(self.admitted.tried)
                )
            except errors.MerlinthreadError as error:
                raise failure or error
            try:
                return self.send_to_target(report)
            except errors.MerlinthreadError as error:
                self.admitted.tried.add(report.name)
                metrics.attempts_total.labels(str(error.kind)).inc()
                is_not_run = (
                    isinstance(error, http_client.NotSentError) or error.kind in NOT_RUN_KINDS
                )
                logs.event(
                    "attempt_failed",
                    request_id=self.admitted.request_id,
                    target=report.name,
                    kind=str(error.kind),
                    reason=error.message,
                    is_not_run=is_not_run,
                )
                if is_not_run:
                    failure = errors.RequestError(
                        f"no target ran the call; the last error was: {error.message}",
                        kind=errors.ErrorKind.NOT_RUN,
                        retry_after_s=error.retry_after_s,
                    )
                elif self.may_repeat:
                    failure = error
                else:
                    raise errors.RequestError(
                        f"the target may have run the call: {error.message}",
                        kind=errors.ErrorKind.OUTCOME_UNKNOWN,
                    )
        assert failure is not None
        raise failure

    def send_to_target(self, report: agents.AgentReport) -> http_client.Response:
        """Send the call to one target and return the complete response."""
        self.handler.in_flight_by_target.add(report.name, 1)
        try:
            stream = self.handler.send(
                self.admitted,
                report,
                self.request.method,
                "/target" + self.service_path,
                self.request.body,
                service=self.requirements.name,
            )
            data = stream.read(self.handler.config.answer_bytes_max)
            stream.release()
            return http_client.Response(stream.status, stream.headers, data)
        finally:
            self.handler.in_flight_by_target.add(report.name, -1)

    def to_client_response(self, response: http_client.Response) -> http_server.Response:
        """Return the response for the client, from that of the service."""
        content_type = response.headers.get("content-type", "application/json")
        return http_server.Response(
            response.status, response.body, {"X-Request-Id": self.admitted.request_id}, content_type
        )

    # At most once

    def run_claimed(self) -> http_server.Response:
        """Claim the key, run the call, and store the response for repetitions.

        A response over `STORED_RESPONSE_BYTES_MAX` is not stored; repetitions fail with
        outcome_unknown.
        """
        key, issued_at = self.parse_idempotency_key()
        attempt = uuid.uuid4().hex
        digest = blake3.blake3(self.service_path.encode() + b"\n" + self.request.body).hexdigest()
        claim = commands.Claim(key, digest, attempt, issued_at)
        claim_result = self.acquire_claim(claim)
        if claim_result.status == "done":
            return self.replay_response(claim_result)
        complete = commands.Complete(key, attempt, 0, b"")
        try:
            response = self.try_targets()
        except errors.MerlinthreadError as error:
            self.record_failure(complete, error)
            raise
        complete.status = response.status
        complete.body = response.body if len(response.body) <= STORED_RESPONSE_BYTES_MAX else b""
        if complete.body != response.body:
            complete.status = error_responses.RESPONSES[errors.ErrorKind.OUTCOME_UNKNOWN].status
        self.record_outcome(complete)
        return self.to_client_response(response)

    def parse_idempotency_key(self) -> tuple[str, float]:
        """Return the account and key as one string, and the time in the key.

        Raises RequestError if the key is missing, no UUIDv7, or too far in the future.
        """
        text = self.request.headers.get(attempts.IDEMPOTENCY_KEY, "")
        try:
            key = uuid.UUID(text)
        except ValueError:
            key = uuid.UUID(int=0)
        if key.version != 7:
            raise errors.RequestError(
                f"header Idempotency-Key: {text!r} is not a UUIDv7 (RFC 9562); a call that must "
                "not be repeated needs a key of its own; send the same key with each repetition",
                kind=errors.ErrorKind.KEY_REQUIRED,
                field="Idempotency-Key",
            )
        issued_at = (key.int >> 80) / 1000
        if issued_at > self.handler.context.wall_clock() + KEY_CLOCK_SKEW_MAX_S:
            raise errors.RequestError(
                f"header Idempotency-Key: {text!r} is in the future; correct the client's clock",
                kind=errors.ErrorKind.KEY_REQUIRED,
                field="Idempotency-Key",
            )
        return f"{self.admitted.account} {key}", issued_at

    def acquire_claim(self, claim: commands.Claim) -> commands.Answer:
        """Return the result with status "granted" or "done"; wait while another attempt runs.

        Raises RequestError: not_run if the claim was not committed, outcome_unknown if another
        attempt has not finished before the deadline, and errors of the state machine.
        """
        while True:
            answer = self.submit_claim(claim)
            if answer.error:
                raise errors.RequestError(answer.message, kind=errors.ErrorKind(answer.error))
            if answer.status in ("granted", "done"):
                logs.event(
                    "claim_decided",
                    request_id=self.admitted.request_id,
                    key=claim.key,
                    status=answer.status,
                )
                return answer
            if self.handler.context.clock() + CLAIM_POLL_S >= self.admitted.deadline:
                raise errors.RequestError(
                    "another call with this key is running or was interrupted; its outcome is not "
                    "known",
                    kind=errors.ErrorKind.OUTCOME_UNKNOWN,
                )
            time.sleep(CLAIM_POLL_S)

    def submit_claim(self, claim: commands.Claim) -> commands.Answer:
        """Submit the claim to the leader.

        If that fails, even with an unknown outcome, the call is not run; the key is released in the
        background.
        """
        deadline = min(self.admitted.deadline, self.handler.context.clock() + SUBMIT_TIMEOUT_S)
        try:
            return self.handler.submitter.submit(claim, deadline)
        except errors.MerlinthreadError as error:
            release = commands.Complete(claim.key, claim.attempt, 0, b"", not_run=True)
            self.handler.outcome_retrier.add(release)
            raise errors.RequestError(
                f"the call was not run, since its key could not be claimed: {error.message}",
                kind=errors.ErrorKind.NOT_RUN,
                retry_after_s=2.0,
            )

    def replay_response(self, stored: commands.Answer) -> http_server.Response:
        """Return the stored response; raise RequestError (outcome_unknown) if there is none."""
        if stored.http_status >= 500 and not stored.body:
            raise errors.RequestError(
                "an earlier call with this key may have run; its response is unknown",
                kind=errors.ErrorKind.OUTCOME_UNKNOWN,
            )
        headers = {"X-Request-Id": self.admitted.request_id, "X-Replayed": "true"}
        return http_server.Response(stored.http_status, stored.body, headers)

    def record_failure(self, complete: commands.Complete, error: errors.MerlinthreadError) -> None:
        """Release the key if the call was not run, otherwise record that its outcome is unknown."""
        if error.kind in NOT_RUN_KINDS:
            complete.not_run = True
        else:
            complete.status = error_responses.RESPONSES[errors.ErrorKind.OUTCOME_UNKNOWN].status
        self.record_outcome(complete)

    def record_outcome(self, complete: commands.Complete) -> None:
        """Submit the outcome of the call to the leader; queue it for retries if that fails."""
        try:
            self.handler.submitter.submit(complete, self.handler.context.clock() + SUBMIT_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            logs.warning("claim_not_settled", key=complete.key, reason=error.message)
            self.handler.outcome_retrier.add(complete)
