"""What the stand-ins share: an HTTP listener, arguments, and a life until SIGTERM."""

import argparse
import signal
import threading

from merlinthread.transport import http_server


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments that every stand-in takes."""
    found = argparse.ArgumentParser(description=description)
    found.add_argument("--address", default="127.0.0.1")
    found.add_argument("--port", type=int, required=True)
    found.add_argument("--threads", type=int, default=64)
    return found


def serve(options: argparse.Namespace, add_routes: "RouteAdder") -> None:
    """Listen until SIGTERM or SIGINT."""
    server = http_server.Server(options.address, options.port, options.threads, 1 << 30)
    server.routes.add("GET", "/healthz", lambda request: http_server.json_response({"alive": True}))
    add_routes(server.routes)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    server.start()
    stop.wait()
    server.stop()


class RouteAdder:
    """A function that adds routes; here for its signature."""

    def __call__(self, routes: http_server.Routes) -> None:
        """Add routes."""
