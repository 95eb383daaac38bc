"""Completion requests at an entry, with retries and resumption on other targets."""

import dataclasses
import typing
from collections.abc import Iterator

import msgspec

from merlinthread import errors, logs, metrics
from merlinthread.coordination import agents, bundles, routing
from merlinthread.protocol import attempts, error_responses, events
from merlinthread.transport import http_client, http_server

if typing.TYPE_CHECKING:
    from merlinthread.roles import request_handler


@dataclasses.dataclass(slots=True)
class CompletionBody:
    """The fields of a completion request's JSON body that entries use."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    adapter: str = ""


class Completion:
    """One completion request.

    Targets are tried until one starts to stream. A stream that breaks is resumed on another target
    that serves the same weights.
    """

    def __init__(
        self, handler: "request_handler.RequestHandler", request: http_server.Request
    ) -> None:
        self.handler = handler
        self.request = request
        self.admitted = handler.admit(request)
        try:
            self.body = msgspec.json.decode(request.body, type=CompletionBody)
        except (msgspec.DecodeError, RecursionError) as error:
            raise errors.RequestError(f"invalid request body: {error}")
        model = handler.bundle().model(self.body.model)
        if model is None:
            raise errors.RequestError(
                f"model: {self.body.model!r} is not in the bundle in force",
                kind=errors.ErrorKind.UNKNOWN_MODEL,
                field="model",
            )
        self.requirements = routing.Requirements(
            bundles.GENERATE, self.body.model, self.body.adapter
        )
        self.target: agents.AgentReport | None = None
        self.upstream: http_client.StreamingResponse | None = None
        self.weights_digest = ""
        self.relayed_tokens = 0
        self.attempt_count = 0

    def run(self) -> http_server.Response:
        """Run the request and return the response, streamed or complete.

        `in_flight` is decremented when the stream ends.
        """
        self.open_stream()
        relay = self.relay()
        if self.body.stream:
            return http_server.Response(
                200,
                relay,
                {"X-Request-Id": self.admitted.request_id, "Cache-Control": "no-store"},
                "text/event-stream",
            )
        return self.collect(relay)

    def open_stream(self) -> None:
        """Open a stream on a target, from the first token that has not been relayed yet.

        Raises the last attempt's error when attempts, targets or time are exhausted.
        """
        failure: errors.MerlinthreadError | None = None
        while self.attempt_count < self.handler.config.attempts_max:
            self.attempt_count += 1
            try:
                report = self.handler.choose_target(
                    self.admitted.request_id, self.requirements, frozenset(self.admitted.tried)
                )
            except errors.MerlinthreadError as error:
                raise failure or error
            try:
                self.open_at_target(report)
                return
            except errors.MerlinthreadError as error:
                self.admitted.tried.add(report.name)
                metrics.attempts_total.labels(str(error.kind)).inc()
                logs.event(
                    "attempt_failed",
                    request_id=self.admitted.request_id,
                    target=report.name,
                    kind=str(error.kind),
                    reason=error.message,
                )
                failure = error
                if self.handler.context.clock() >= self.admitted.deadline:
                    break
        assert failure is not None
        raise failure

    def open_at_target(self, report: agents.AgentReport) -> None:
        """Open a stream on one target."""
        fields = msgspec.json.decode(self.request.body)
        fields.update(
            stream=True, request_id=self.admitted.request_id, resume_from=self.relayed_tokens
        )
        body = msgspec.json.encode(fields)
        self.handler.in_flight_by_target.add(report.name, 1)
        try:
            stream = self.handler.send(
                self.admitted, report, "POST", "/target/v1/completions", body, self.weights_digest
            )
        except BaseException:
            self.handler.in_flight_by_target.add(report.name, -1)
            raise
        self.target = report
        self.upstream = stream
        self.weights_digest = stream.headers.get(attempts.DIGEST, "")

    def relay(self) -> Iterator[bytes]:
        """Yield encoded events to the client, and resume the stream if it breaks."""
        outcome = "left_by_caller"
        try:
            while True:
                try:
                    yield from self.relay_from_target()
                    outcome = "answered"
                    return
                except errors.MerlinthreadError as error:
                    self.close_upstream()
                    outcome = str(error.kind)
                    error_event = self.resume(error)
                    if error_event:
                        yield error_event
                        return
        finally:
            self.close_upstream()
            metrics.requests_total.labels("generate", outcome).inc()
            self.handler.context.in_flight.leave()

    def relay_from_target(self) -> Iterator[bytes]:
        """Yield the events of one target until it is done.

        Raises RequestError (stream_broken) if the stream ends early, and the target's errors.
        """
        assert self.upstream is not None
        for event in events.decode(self.upstream.iter_lines()):
            if event.kind == events.TOKEN:
                token = msgspec.json.decode(event.data, type=events.Token)
                if token.index != self.relayed_tokens:
                    metrics.late_answers_total.inc()
                    continue
                if self.relayed_tokens == 0:
                    waited = self.handler.context.clock() - self.admitted.arrived_at
                    metrics.first_token_seconds.observe(waited)
                self.relayed_tokens += 1
                yield events.encode(event.kind, event.data)
            elif event.kind == events.DONE:
                yield events.encode(event.kind, event.data)
                return
            elif event.kind == events.ERROR:
                raise error_responses.parse_error(event.data, 200)
        raise errors.RequestError("the stream ended early", kind=errors.ErrorKind.STREAM_BROKEN)

    def resume(self, error: errors.MerlinthreadError) -> bytes:
        """Resume the stream on another target.

        Returns the encoded error event for the client if that fails, otherwise empty bytes.
        """
        logs.event(
            "stream_broken",
            request_id=self.admitted.request_id,
            relayed=self.relayed_tokens,
            kind=str(error.kind),
            reason=error.message,
        )
        try:
            if self.handler.context.clock() >= self.admitted.deadline:
                raise error
            self.open_stream()
            return b""
        except errors.MerlinthreadError as last:
            broken = errors.RequestError(
                f"the stream broke after {self.relayed_tokens} tokens and can't be resumed: "
                f"{last.message}",
                kind=errors.ErrorKind.STREAM_BROKEN,
                retry_after_s=last.retry_after_s,
            )
            return events.encode_error(broken)

    def close_upstream(self) -> None:
        """Close the connection to the target; a stream in progress is thereby cancelled."""
        if self.target is not None:
            self.handler.in_flight_by_target.add(self.target.name, -1)
            self.admitted.tried.add(self.target.name)
        if self.upstream is not None:
            self.upstream.close()
        self.target = None
        self.upstream = None

    def collect(self, relay: Iterator[bytes]) -> http_server.Response:
        """Return the response to a request without streaming, from all events."""
        texts: list[str] = []
        for event in events.decode(line for piece in relay for line in piece.split(b"\n")[:-1]):
            if event.kind == events.TOKEN:
                texts.append(msgspec.json.decode(event.data, type=events.Token).text)
            elif event.kind == events.ERROR:
                return error_response_from(event.data)
            else:
                done = msgspec.json.decode(event.data, type=events.Done)
                body = CompletionResponse(
                    self.admitted.request_id, "".join(texts), done.tokens, done.digest
                )
                return http_server.json_response(body)
        return http_server.error_response(
            errors.RequestError("the stream ended early", kind=errors.ErrorKind.STREAM_BROKEN)
        )


@dataclasses.dataclass(slots=True)
class CompletionResponse:
    """The JSON body of a response that is not streamed."""

    request_id: str
    text: str
    tokens: int
    digest: str


def error_response_from(data: bytes) -> http_server.Response:
    """Return the response for the error whose JSON body is `data`."""
    return http_server.error_response(error_responses.parse_error(data, 502))
