"""The platform's stand-in: a list of live and leaving VMs that lags behind what is true."""

import threading
import time

import msgspec

from merlinthread.transport import http_server
from stand_ins import common


class Platform:
    """Keeps the list and shows it as it was `lag_s` ago."""

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.lock = threading.Lock()
        self.changes: list[tuple[float, str, str]] = []

    def show(self, request: http_server.Request) -> http_server.Response:
        """Return the list as it was a moment ago."""
        until = time.monotonic() - self.lag_s
        with self.lock:
            shown = {name: state for at, name, state in self.changes if at <= until}
        vms = [{"name": name, "state": state} for name, state in shown.items() if state != "gone"]
        return http_server.json_response({"vms": vms})

    def change(self, request: http_server.Request) -> http_server.Response:
        """Change a VM's state."""
        wanted = msgspec.json.decode(request.body)
        with self.lock:
            self.changes.append((time.monotonic(), wanted["name"], wanted["state"]))
        return http_server.json_response({"ok": True})

    def add_routes(self, routes: http_server.Routes) -> None:
        """Add the platform's paths."""
        routes.add("GET", "/v1/vms", self.show)
        routes.add("POST", "/v1/vms", self.change)


def main() -> None:
    """Run the stand-in."""
    parser = common.parser(__doc__ or "")
    parser.add_argument("--lag-s", type=float, default=0.5)
    options = parser.parse_args()
    common.serve(options, Platform(options.lag_s).add_routes)


if __name__ == "__main__":
    main()
