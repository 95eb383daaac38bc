"""Child processes, free ports and polling."""

import contextlib
import datetime
import functools
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

FIRST_PORT = 20000
LAST_PORT = 32000
# Each process that starts a fleet allocates ports from a span of its own, of this size.
SPAN_PORTS = 500
POLL_S = 0.02


class Ports:
    """Allocates free loopback ports, outside the ephemeral range."""

    def __init__(self) -> None:
        self.first = first_port_of_span() + 1
        self.last = self.first + SPAN_PORTS - 2
        self.next = random.randrange(self.first, self.last)

    def allocate(self) -> int:
        """Return a port that no socket is bound to."""
        while True:
            self.next = self.next + 1 if self.next < self.last else self.first
            with contextlib.closing(socket.socket()) as probe:
                try:
                    probe.bind(("127.0.0.1", self.next))
                except OSError:
                    continue
            return self.next


@functools.cache
def reserve_span() -> socket.socket:
    """Reserve a span by binding its first port; return the socket, which stays open.

    Raises OSError if all spans are reserved.
    """
    for first in range(FIRST_PORT, LAST_PORT, SPAN_PORTS):
        reserved = socket.socket()
        try:
            reserved.bind(("127.0.0.1", first))
        except OSError:
            reserved.close()
            continue
        return reserved
    raise OSError(
        f"all spans of {SPAN_PORTS} ports from {FIRST_PORT} to {LAST_PORT} on 127.0.0.1 are in "
        "use; stop other runs"
    )


def first_port_of_span() -> int:
    """Return the first port of the span of this process."""
    return reserve_span().getsockname()[1]


def wait_for(what: str, check: Callable[[], Any], timeout_s: float = 20.0) -> Any:
    """Poll `check` until its result is true and return that; raise TimeoutError naming `what`."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() >= deadline:
            raise TimeoutError(f"timed out after {timeout_s} s waiting for {what}")
        time.sleep(POLL_S)


class Process:
    """A child process that runs Python; it may be started again after it has exited."""

    def __init__(self, name: str, arguments: list[str], log: pathlib.Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        self.handle: subprocess.Popen | None = None
        self.is_suspended = False

    def start(self) -> None:
        """Start the process; its output is appended to `log`."""
        with open(self.log, "ab") as file:
            self.handle = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdout=file,
                stderr=file,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.handle is not None and self.handle.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.handle is not None and self.is_running():
            self.handle.send_signal(number)

    def suspend(self) -> None:
        """Suspend the process."""
        self.signal(signal.SIGSTOP)
        self.is_suspended = True

    def resume(self) -> None:
        """Resume the process."""
        self.signal(signal.SIGCONT)
        self.is_suspended = False

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.signal(signal.SIGKILL)
        self.wait(10)

    def stop(self) -> None:
        """Request a graceful shutdown; does not wait."""
        if self.is_suspended:
            self.resume()
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the process to exit; return its exit code, or None after `timeout_s`."""
        if self.handle is None:
            return None
        try:
            return self.handle.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def events(self, name: str = "") -> list[dict]:
        """Return the events in the process's log, or those called `name`."""
        found = []
        for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict) and (not name or event.get("event") == name):
                found.append(event)
        return found


def parse_timestamp(text: str) -> float:
    """Return an ISO 8601 timestamp in seconds since the epoch."""
    return datetime.datetime.fromisoformat(text).timestamp()
