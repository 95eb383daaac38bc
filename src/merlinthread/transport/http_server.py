"""The HTTP listener: cherrypy in front of a table of typed handlers."""

import dataclasses
import threading
from collections.abc import Callable, Iterator
from typing import Any

import cherrypy
import msgspec

from merlinthread import errors, logs, metrics
from merlinthread.protocol import error_responses

DEFAULT_BODY_BYTES_MAX = 8 * 1024 * 1024
STOP_GRACE_S = 2


@dataclasses.dataclass(slots=True)
class Request:
    """A request as handlers see it; header names are lower case, `rest` is the path's last part."""

    method: str
    path: str
    rest: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class Response:
    """An answer; an iterator as body is sent piece by piece and closed if the caller leaves."""

    status: int = 200
    body: bytes | Iterator[bytes] = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    content_type: str = "application/json"


Handler = Callable[[Request], Response]


def json_response(data: Any, status: int = 200) -> Response:
    """Return `data` as a JSON answer."""
    return Response(status, msgspec.json.encode(data))


def error_response(error: errors.MerlinthreadError, detail: str = "") -> Response:
    """Return the answer that tells `error`."""
    body = error_responses.error_body(error)
    body.detail = detail
    status = error_responses.RESPONSES[error.kind].status
    return Response(status, msgspec.json.encode(body), error_responses.error_headers(body))


class Routes:
    """Handlers by method and path; a path that ends in "/" takes all paths below it too."""

    def __init__(self) -> None:
        self.exact: dict[tuple[str, str], Handler] = {}
        self.below: dict[tuple[str, str], Handler] = {}

    def add(self, method: str, path: str, handler: Handler) -> None:
        """File `handler`; raise ValueError if the place is taken."""
        table = self.below if path.endswith("/") else self.exact
        if (method, path) in table:
            raise ValueError(f"{method} {path} has a handler already")
        table[(method, path)] = handler

    def find(self, method: str, path: str) -> tuple[Handler, str] | None:
        """Return the handler and the rest of the path below it."""
        handler = self.exact.get((method, path))
        if handler:
            return handler, ""
        for (wanted, prefix), below in self.below.items():
            if wanted == method and path.startswith(prefix):
                return below, path[len(prefix) :]
        return None

    def handle(self, request: Request) -> Response:
        """Return the answer to `request`; errors become refusals."""
        found = self.find(request.method, request.path)
        if found is None:
            error = errors.RequestError(f"there is no {request.method} {request.path}")
            return Response(404, msgspec.json.encode(error_responses.error_body(error)))
        handler, request.rest = found
        try:
            return handler(request)
        except errors.MerlinthreadError as error:
            detail = error.leader if isinstance(error, errors.NotLeaderError) else ""
            return error_response(error, detail)
        except Exception as error:
            logs.exception("http_handler_failed", path=request.path)
            return error_response(errors.MerlinthreadError(repr(error)))


class Application:
    """The object that cherrypy calls."""

    def __init__(self, routes: Routes, body_bytes_max: int) -> None:
        self.routes = routes
        self.body_bytes_max = body_bytes_max

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> Any:
        """Answer every path."""
        response = self.respond(cherrypy.request, query)
        cherrypy.response.status = response.status
        cherrypy.response.headers["Content-Type"] = response.content_type
        cherrypy.response.headers.update(response.headers)
        if not isinstance(response.body, bytes):
            cherrypy.response.stream = True
        return response.body

    index = default

    def respond(self, raw: Any, query: dict[str, str]) -> Response:
        """Read the request within the bound and hand it on."""
        length = int(raw.headers.get("Content-Length") or 0)
        if length > self.body_bytes_max:
            raw.close_connection = True
            return error_response(
                errors.RequestError(
                    f"the body has {length} bytes, over {self.body_bytes_max}; send less",
                    kind=errors.ErrorKind.TOO_LARGE,
                )
            )
        body = raw.rfile.read(length) if length else b""
        headers = {name.lower(): value for name, value in raw.headers.items()}
        return self.routes.handle(
            Request(raw.method, raw.path_info, "", dict(query), headers, body)
        )


class Server:
    """One HTTP listener a process (cherrypy's engine is global)."""

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
        """Start listening; raise SettingsError if the address can't be had."""
        cherrypy.config.update(
            {
                "server.socket_host": self.address,
                "server.socket_port": self.port,
                "server.thread_pool": self.threads,
                "server.socket_queue_size": 256,
                "server.shutdown_timeout": STOP_GRACE_S,
                "server.max_request_body_size": self.body_bytes_max,
                "engine.autoreload.on": False,
                "checker.on": False,
                "log.screen": False,
                "log.access_file": "",
                "log.error_file": "",
            }
        )
        # The daemon logs its own lines; cherrypy's would double them.
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
                "choose another port or stop what holds it",
                field="http.port",
            )

    def stop(self) -> None:
        """Stop listening."""
        cherrypy.engine.exit()


class InFlight:
    """Counts requests in progress, so that a planned stop can wait for them."""

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self.count = 0
        self.is_leaving = False
        self.is_closed = False

    def enter(self) -> None:
        """Count one request; raise RequestError (leaving) once draining began."""
        with self.condition:
            if self.is_closed:
                raise errors.RequestError(
                    "this VM is stopping and did not run the request; ask another entry",
                    kind=errors.ErrorKind.LEAVING,
                )
            self.count += 1
            metrics.in_flight.set(self.count)

    def leave(self) -> None:
        """Count one request less."""
        with self.condition:
            self.count -= 1
            metrics.in_flight.set(self.count)
            self.condition.notify_all()

    def drain(self, timeout_s: float) -> bool:
        """Take no more requests and wait for those in progress; return whether all finished."""
        with self.condition:
            self.is_leaving = True
            self.is_closed = True
            return self.condition.wait_for(lambda: self.count == 0, timeout_s)


def add_health(routes: Routes, is_ready: Callable[[], str]) -> None:
    """Add `/metrics`, `/healthz` and `/readyz`; `is_ready` returns why not, or nothing."""

    def ready(request: Request) -> Response:
        reason = is_ready()
        return json_response({"ready": not reason, "reason": reason}, 503 if reason else 200)

    routes.add(
        "GET",
        "/metrics",
        lambda request: Response(200, metrics.expose(), content_type="text/plain; version=0.0.4"),
    )
    routes.add("GET", "/healthz", lambda request: json_response({"alive": True}))
    routes.add("GET", "/readyz", ready)
