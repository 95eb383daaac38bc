"""Requests forwarded by entries of other zones to the targets of this entry."""

import typing
from collections.abc import Iterator

import msgspec

from merlinthread import errors, logs
from merlinthread.coordination import agents, bundles, routing
from merlinthread.protocol import attempts
from merlinthread.roles import completion
from merlinthread.transport import http_client, http_server

if typing.TYPE_CHECKING:
    from merlinthread.roles import request_handler

PATH_PREFIX = "/target/"


class Forwarder:
    """Serves the API of an agent to other entries, and forwards their attempts to agents."""

    def __init__(self, handler: "request_handler.RequestHandler") -> None:
        self.handler = handler

    def handle_request(self, request: http_server.Request) -> http_server.Response:
        """Verify an attempt, forward it and return the streamed response."""
        attempt = attempts.parse_attempt(request.headers)
        attempts.verify_tag(
            self.handler.context.codec, attempt, request.path, request.body, request.headers
        )
        self.handler.context.in_flight.enter()
        try:
            report = self.choose_target(request, attempt)
            stream = self.open_at_target(report, request, attempt)
        except BaseException:
            self.handler.context.in_flight.leave()
            raise
        headers = {
            name: stream.headers[name] for name in FORWARDED_HEADERS if name in stream.headers
        }
        content_type = stream.headers.get("content-type", "application/json")
        return http_server.Response(
            stream.status, self.relay(stream, report), headers, content_type
        )

    def choose_target(
        self, request: http_server.Request, attempt: attempts.Attempt
    ) -> agents.AgentReport:
        """Choose a target among those that report to this entry."""
        if request.subpath == "v1/completions":
            body = msgspec.json.decode(request.body, type=completion.CompletionBody)
            requirements = routing.Requirements(bundles.GENERATE, body.model, body.adapter)
        else:
            service = request.headers.get(attempts.SERVICE, "")
            requirements = routing.Requirements(bundles.SERVICE, service)
        return self.handler.choose_target(attempt.id, requirements, frozenset(), is_local=True)

    def open_at_target(
        self, report: agents.AgentReport, request: http_server.Request, attempt: attempts.Attempt
    ) -> http_client.StreamingResponse:
        """Forward the attempt to an agent and return the response stream.

        Raises RequestError: not_run if the attempt was not sent, outcome_unknown if the connection
        broke afterwards.
        """
        attempt.incarnation = report.incarnation
        self.handler.in_flight_by_target.add(report.name, 1)
        try:
            return self.handler.send_attempt(
                report, request.method, request.path, request.body, attempt
            )
        except http_client.NotSentError as error:
            self.handler.in_flight_by_target.add(report.name, -1)
            raise errors.RequestError(error.message, kind=errors.ErrorKind.NOT_RUN)
        except errors.UnreachableError as error:
            self.handler.in_flight_by_target.add(report.name, -1)
            raise errors.RequestError(error.message, kind=errors.ErrorKind.OUTCOME_UNKNOWN)
        except BaseException:
            self.handler.in_flight_by_target.add(report.name, -1)
            raise

    def relay(
        self, stream: http_client.StreamingResponse, report: agents.AgentReport
    ) -> Iterator[bytes]:
        """Yield the response in chunks; a connection error is logged and raised again."""
        try:
            yield from stream.iter_chunks()
            stream.release()
        except errors.UnreachableError as error:
            logs.event("forwarded_broke_off", target=report.name, reason=error.message)
            raise
        finally:
            stream.close()
            self.handler.in_flight_by_target.add(report.name, -1)
            self.handler.context.in_flight.leave()


FORWARDED_HEADERS = (attempts.ATTEMPT, attempts.DIGEST, "content-length")
