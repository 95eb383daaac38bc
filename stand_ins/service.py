"""A stand-in for a service whose requests are not repeatable; it counts every run."""

import collections
import threading
import time

from merlinthread.protocol import attempts
from merlinthread.transport import http_server
from stand_ins import common


class Service:
    """Responds to requests on any path and counts them by body."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.lock = threading.Lock()
        self.runs: collections.Counter[str] = collections.Counter()
        self.number = 0

    def run(self, request: http_server.Request) -> http_server.Response:
        """Count the request and return a numbered ticket that echoes it."""
        with self.lock:
            self.number += 1
            number = self.number
            self.runs[request.body.decode("utf-8", "replace")] += 1
        time.sleep(self.delay_s)
        return http_server.json_response(
            {
                "ticket": number,
                "path": request.subpath,
                "account": request.headers.get(attempts.ACCOUNT, ""),
                "echo": request.body.decode("utf-8", "replace"),
            }
        )

    def list_runs(self, request: http_server.Request) -> http_server.Response:
        """Return the number of runs of each body and the total."""
        with self.lock:
            return http_server.json_response({"runs": dict(self.runs), "total": self.number})

    def add_routes(self, routes: http_server.Routes) -> None:
        """Register the service's routes."""
        routes.add("GET", "/runs", self.list_runs)
        routes.add("POST", "/", self.run)
        routes.add("GET", "/", self.run)


def main() -> None:
    """Parse the command line and serve."""
    parser = common.make_parser(__doc__ or "")
    parser.add_argument("--delay-s", type=float, default=0.01)
    options = parser.parse_args()
    common.serve(options, Service(options.delay_s).add_routes)


if __name__ == "__main__":
    main()
