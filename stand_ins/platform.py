"""A stand-in for the platform: lists VMs and their states with a delay."""

import threading
import time

import msgspec

from merlinthread.transport import http_server
from stand_ins import common


class Platform:
    """Records VM state changes and shows the states of `lag_s` seconds ago."""

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.lock = threading.Lock()
        self.changes: list[tuple[float, str, str]] = []

    def list_vms(self, request: http_server.Request) -> http_server.Response:
        """Return the VMs that existed `lag_s` seconds ago."""
        visible_until = time.monotonic() - self.lag_s
        with self.lock:
            states = {name: state for at, name, state in self.changes if at <= visible_until}
        vms = [{"name": name, "state": state} for name, state in states.items() if state != "gone"]
        return http_server.json_response({"vms": vms})

    def set_vm_state(self, request: http_server.Request) -> http_server.Response:
        """Record a VM's new state; the state `gone` removes it from the list."""
        requested = msgspec.json.decode(request.body)
        with self.lock:
            self.changes.append((time.monotonic(), requested["name"], requested["state"]))
        return http_server.json_response({"ok": True})

    def add_routes(self, routes: http_server.Routes) -> None:
        """Register the platform's routes."""
        routes.add("GET", "/v1/vms", self.list_vms)
        routes.add("POST", "/v1/vms", self.set_vm_state)


def main() -> None:
    """Parse the command line and serve."""
    parser = common.make_parser(__doc__ or "")
    parser.add_argument("--lag-s", type=float, default=0.5)
    options = parser.parse_args()
    common.serve(options, Platform(options.lag_s).add_routes)


if __name__ == "__main__":
    main()
