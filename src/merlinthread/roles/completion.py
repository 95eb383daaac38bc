"""One completion request at an entry: attempts until one streams, resumed if it breaks off."""

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
class CompletionCall:
    """The JSON body of a completion request, as far as entries look at it."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    adapter: str = ""


class Completion:
    """One completion request: attempts until one streams, resumed elsewhere if it breaks off."""

    def __init__(
        self, path: "request_handler.RequestHandler", request: http_server.Request
    ) -> None:
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
        self.wanted = routing.Requirements(bundles.GENERATE, self.body.model, self.body.adapter)
        self.target: agents.AgentReport | None = None
        self.upstream: http_client.StreamingResponse | None = None
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
                report = self.path.choose(
                    self.call.request_id, self.wanted, frozenset(self.call.tried)
                )
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
                if self.path.context.clock() >= self.call.deadline:
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
            self.path.context.in_flight.leave()

    def relay_once(self) -> Iterator[bytes]:
        """Give one target's events on until the answer is whole; raise if it breaks off."""
        assert self.upstream is not None
        for event in events.decode(self.upstream.iter_lines()):
            if event.kind == events.TOKEN:
                token = msgspec.json.decode(event.data, type=events.Token)
                if token.index != self.relayed:
                    metrics.late_answers_total.inc()
                    continue
                if self.relayed == 0:
                    waited = self.path.context.clock() - self.call.arrived_at
                    metrics.first_token_seconds.observe(waited)
                self.relayed += 1
                yield events.encode(event.kind, event.data)
            elif event.kind == events.DONE:
                yield events.encode(event.kind, event.data)
                return
            elif event.kind == events.ERROR:
                raise error_responses.parse_error(event.data, 200)
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
            if self.path.context.clock() >= self.call.deadline:
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
    return http_server.error_response(error_responses.parse_error(data, 502))
