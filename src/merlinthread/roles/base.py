"""What every role offers the composition root, and the registry of roles."""

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
    """What the composition root gives each role."""

    settings: settings.Settings
    codec: codec.Codec
    http: http_server.Server
    in_flight: http_server.InFlightRequests
    clock: Clock = time.monotonic
    wall_clock: Clock = time.time


class Role:
    """One role of the daemon."""

    def __init__(self, context: RoleContext) -> None:
        self.context = context

    def start(self) -> None:
        """Start the role's tasks; raise MerlinthreadError if it can't run."""

    def not_ready_reason(self) -> str:
        """Return why the role can't serve yet, or an empty string."""
        return ""

    def failure_reason(self) -> str:
        """Return why the process must end, or an empty string."""
        return ""

    def start_draining(self) -> None:
        """Tell others that this VM leaves; requests in progress go on."""

    def stop(self) -> None:
        """Stop the role's tasks; nothing is in progress any more."""

    def reload(self, changed: settings.Settings) -> None:
        """Take over what may change without a restart."""


ROLES: registry.Registry[type[Role]] = registry.Registry("role")


class PeriodicTask:
    """A thread that calls `work` every `every_s` seconds until stopped."""

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
        """Work at once, then once a period or as soon as `wake` is set."""
        while not self.stop_event.is_set():
            try:
                self.function()
            except Exception:
                logs.exception("task_failed", task=self.name)
            self.wake_event.wait(self.interval_s)
            self.wake_event.clear()

    def stop(self) -> None:
        """Ask the thread to end and wait for it."""
        self.stop_event.set()
        self.wake_event.set()
        if self.thread.ident is not None and self.thread is not threading.current_thread():
            self.thread.join(timeout=10)
