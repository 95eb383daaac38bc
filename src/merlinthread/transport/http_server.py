"""An HTTP server on CherryPy that dispatches requests to handlers by method and path."""

import dataclasses
import threading
from collections.abc import Callable, Iterator
from typing import Any

import cherrypy
import msgspec

from merlinthread import errors, logs, metrics
from merlinthread.protocol import error_responses

DEFAULT_BODY_BYTES_MAX = 8 * 1024 * 1024
SHUTDOWN_TIMEOUT_S = 2


@dataclasses.dataclass(slots=True)
class Request:
    """A request passed to a handler.

    Header names are lower case; `subpath` is the part of the path below the route's prefix.
    """

    method: str
    path: str
    subpath: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Response:
    """A response of a handler.

    An iterator as `body` is streamed, and closed if the client disconnects.
    """

    status: int = 200
    body: bytes | Iterator[bytes] = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    content_type: str = "application/json"


Handler = Callable[[Request], Response]


def json_response(data: Any, status: int = 200) -> Response:
    """Return a response with `data` encoded as JSON."""
    return Response(status, msgspec.json.encode(data))


def error_response(error: errors.MerlinthreadError, detail: str = "") -> Response:
    """Return the response for `error`, with `detail` in its body."""
    body = error_responses.error_body(error)
    body.detail = detail
    status = error_responses.RESPONSES[error.kind].status
    return Response(status, msgspec.json.encode(body), error_responses.error_headers(body))


class Routes:
    """A routing table from method and path to handler.

    A path that ends in "/" also matches all paths below it.
    """

    def __init__(self) -> None:
        self.exact: dict[tuple[str, str], Handler] = {}
        self.prefixes: dict[tuple[str, str], Handler] = {}

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Register `handler`; raise ValueError if the route already has one."""
        table = self.prefixes if path.endswith("/") else self.exact
        if (method, path) in table:
            raise ValueError(f"{method} {path} already has a handler")
        table[(method, path)] = handler

    def find(self, method: str, path: str) -> tuple[Handler, str] | None:
        """Return the matching handler and the path below its prefix, or None."""
        handler = self.exact.get((method, path))
        if handler:
            return handler, ""
        for (route_method, prefix), prefix_handler in self.prefixes.items():
            if route_method == method and path.startswith(prefix):
                return prefix_handler, path[len(prefix) :]
        return None

    def dispatch(self, request: Request) -> Response:
        """Call the matching handler; turn its exceptions into error responses."""
        match = self.find(request.method, request.path)
        if match is None:
            error = errors.RequestError(f"no route for {request.method} {request.path}")
            return Response(404, msgspec.json.encode(error_responses.error_body(error)))
        handler, request.subpath = match
        try:
            return handler(request)
        except errors.MerlinthreadError as error:
            detail = error.leader if isinstance(error, errors.NotLeaderError) else ""
            return error_response(error, detail)
        except Exception as error:
            logs.exception("http_handler_failed", path=request.path)
            return error_response(errors.MerlinthreadError(repr(error)))


class Application:
    """The CherryPy application; passes all requests to `routes`."""

    def __init__(self, routes: Routes, body_bytes_max: int) -> None:
        self.routes = routes
        self.body_bytes_max = body_bytes_max

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> Any:
        """Handle requests to all paths."""
        response = self.respond(cherrypy.request, query)
        cherrypy.response.status = response.status
        cherrypy.response.headers["Content-Type"] = response.content_type
        cherrypy.response.headers.update(response.headers)
        if not isinstance(response.body, bytes):
            cherrypy.response.stream = True
        return response.body

    index = default

    def respond(self, cherrypy_request: Any, query: dict[str, str]) -> Response:
        """Read the request and dispatch it; reject a body over `body_bytes_max`."""
        length = int(cherrypy_request.headers.get("Content-Length") or 0)
        if length > self.body_bytes_max:
            cherrypy_request.close_connection = True
            return error_response(
                errors.RequestError(
                    f"request body has {length} bytes, over {self.body_bytes_max}; send less",
                    kind=errors.ErrorKind.TOO_LARGE,
                )
            )
        body = cherrypy_request.rfile.read(length) if length else b""
        headers = {name.lower(): value for name, value in cherrypy_request.headers.items()}
        return self.routes.dispatch(
            Request(
                cherrypy_request.method, cherrypy_request.path_info, "", dict(query), headers, body
            )
        )


class Server:
    """An HTTP server; at most one per process, as CherryPy's engine is global."""

    def __init__(
        self,
        address: str,
        port: int,
        threads: int,
        body_bytes_max: int = DEFAULT_BODY_BYTES_MAX,
    ) -> None:
        self.routes = Routes()
        self.address = address
        self.port = port
        self.threads = threads
        self.body_bytes_max = body_bytes_max

    def start(self) -> None:
        """Start listening; raise SettingsError if the address can't be bound."""
        cherrypy.config.update(
            {
                "server.socket_host": self.address,
                "server.socket_port": self.port,
                "server.thread_pool": self.threads,
                "server.socket_queue_size": 256,
                "server.shutdown_timeout": SHUTDOWN_TIMEOUT_S,
                "server.max_request_body_size": self.body_bytes_max,
                "engine.autoreload.on": False,
                "checker.on": False,
                "log.screen": False,
                "log.access_file": "",
                "log.error_file": "",
            }
        )
        # The daemon logs requests and errors itself.
        cherrypy.log.access_log.disabled = True
        cherrypy.log.error_log.disabled = True
        cherrypy.tree.mount(
            Application(self.routes, self.body_bytes_max),
            "/",
            {"/": {"request.process_request_body": False, "tools.trailing_slash.on": False}},
        )
        try:
            cherrypy.engine.start()
        except Exception as error:
            cherrypy.engine.exit()
            raise errors.SettingsError(
                f"http: can't listen on {self.address}:{self.port}: {error}; "
                "choose another port or stop the process that uses it",
                field="http.port",
            )

    def stop(self) -> None:
        """Stop the server."""
        cherrypy.engine.exit()


class InFlightRequests:
    """A count of the requests in progress, which a graceful shutdown waits for."""

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self.count = 0
        self.is_draining = False
        self.is_closed = False

    def enter(self) -> None:
        """Add one request; raise RequestError (leaving) after `drain` was called."""
        with self.condition:
            if self.is_closed:
                raise errors.RequestError(
                    "this VM is shutting down and did not run the request; try another entry",
                    kind=errors.ErrorKind.LEAVING,
                )
            self.count += 1
            metrics.in_flight.set(self.count)

    def leave(self) -> None:
        """Remove one request."""
        with self.condition:
            self.count -= 1
            metrics.in_flight.set(self.count)
            self.condition.notify_all()

    def drain(self, timeout_s: float) -> bool:
        """Reject new requests and wait for those in progress.

        Return whether all of them ended within `timeout_s`.
        """
        with self.condition:
            self.is_draining = True
            self.is_closed = True
            return self.condition.wait_for(lambda: self.count == 0, timeout_s)


def add_health_routes(routes: Routes, not_ready_reason: Callable[[], str]) -> None:
    """Add `/metrics`, `/healthz` and `/readyz`.

    `not_ready_reason` returns why the process is not ready, or an empty string if it is.
    """

    def ready(request: Request) -> Response:
        reason = not_ready_reason()
        return json_response({"ready": not reason, "reason": reason}, 503 if reason else 200)

    routes.add(
        "GET",
        "/metrics",
        lambda request: Response(200, metrics.expose(), content_type="text/plain; version=0.0.4"),
    )
    routes.add("GET", "/healthz", lambda request: json_response({"alive": True}))
    routes.add("GET", "/readyz", ready)
