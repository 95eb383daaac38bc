"""Base class and registry of the daemon's roles, and a periodic background task."""

import dataclasses
import threading
import time
from collections.abc import Callable

from merlinthread import logs, registry, settings
from merlinthread.protocol import codec
from merlinthread.transport import http_server

Clock = Callable[[], float]


@dataclasses.dataclass(slots=True)
class RoleContext:
    """Objects that the daemon passes to each of its roles.

    `clock` is monotonic, `wall_clock` returns seconds since the epoch.
    """

    settings: settings.Settings
    codec: codec.Codec
    http: http_server.Server
    in_flight: http_server.InFlightRequests
    clock: Clock = time.monotonic
    wall_clock: Clock = time.time


class Role:
    """Base class of roles; its methods do nothing by default."""

    def __init__(self, context: RoleContext) -> None:
        self.context = context

    def start(self) -> None:
        """Start the role; raise MerlinthreadError if it can't run."""

    def not_ready_reason(self) -> str:
        """Return why the role can't serve requests, or an empty string if it can."""
        return ""

    def failure_reason(self) -> str:
        """Return why the role has failed and the process must exit, or an empty string."""
        return ""

    def start_draining(self) -> None:
        """Announce that this VM is shutting down; requests in progress continue."""

    def stop(self) -> None:
        """Stop the role; called after requests in progress have finished or timed out."""

    def reload(self, changed: settings.Settings) -> None:
        """Apply those of the changed settings that don't need a restart."""


ROLES: registry.Registry[type[Role]] = registry.Registry("role")


class PeriodicTask:
    """A thread that calls `function` every `interval_s` seconds until stopped.

    Exceptions of the function are logged. Setting `wake_event` triggers the next call at once.
    """

    def __init__(self, name: str, interval_s: float, function: Callable[[], None]) -> None:
        self.name = name
        self.interval_s = interval_s
        self.function = function
        self.stop_event = threading.Event()
        self.wake_event = threading.Event()
        self.thread = threading.Thread(target=self.run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def run(self) -> None:
        """Call the function until the task is stopped, the first time at once."""
        while not self.stop_event.is_set():
            try:
                self.function()
            except Exception:
                logs.exception("task_failed", task=self.name)
            self.wake_event.wait(self.interval_s)
            self.wake_event.clear()

    def stop(self) -> None:
        """Stop the thread and wait up to 10 s for it to end."""
        self.stop_event.set()
        self.wake_event.set()
        if self.thread.ident is not None and self.thread is not threading.current_thread():
            self.thread.join(timeout=10)
