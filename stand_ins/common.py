"""Command line and HTTP server setup shared by the stand-in programs."""

import argparse
import signal
import threading

from merlinthread.transport import http_server


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return an argument parser with the options common to all stand-ins."""
    arguments = argparse.ArgumentParser(description=description)
    arguments.add_argument("--address", default="127.0.0.1")
    arguments.add_argument("--port", type=int, required=True)
    arguments.add_argument("--threads", type=int, default=64)
    return arguments


def serve(options: argparse.Namespace, add_routes: "RouteRegistrar") -> None:
    """Serve HTTP until SIGTERM or SIGINT arrives."""
    server = http_server.Server(options.address, options.port, options.threads, 1 << 30)
    server.routes.add("GET", "/healthz", lambda request: http_server.json_response({"alive": True}))
    add_routes(server.routes)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    server.start()
    stop.wait()
    server.stop()


class RouteRegistrar:
    """Callable type for functions that register routes."""

    def __call__(self, routes: http_server.Routes) -> None:
        """Register handlers in `routes`."""
