"""Regular checks of the connections whose clients take their data slowly."""

import asyncio
import typing

from merlinthread import clocks

# How often clients that take their data slowly are checked, and for how long they may take none
# once their request's handler has ended.
STALL_CHECK_INTERVAL_S = 0.5
STALL_TIMEOUT_S = 5.0


class SlowClient(typing.Protocol):
    """A connection whose client takes its data more slowly than it is written."""

    def update_progress(self, now: float) -> None:
        """Record whether the client has taken data since the last call."""

    def is_stalled(self, now: float) -> bool:
        """Return whether the client takes no data although its request's handler has ended."""

    def shed(self, reason: str, now: float) -> None:
        """Close the connection; `reason` is for the log and the metrics."""


class SlowClients:
    """Checks such connections, and closes those that are stalled."""

    def __init__(self) -> None:
        self.connections: set[SlowClient] = set()
        self.timer: asyncio.TimerHandle | None = None

    def watch(self, connection: SlowClient) -> None:
        """Check a connection regularly until its client has taken its data."""
        self.connections.add(connection)
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(STALL_CHECK_INTERVAL_S, self.check)

    def check(self) -> None:
        """Close the connections of clients that take no data and whose request has ended."""
        self.timer = None
        now = clocks.now()
        for connection in list(self.connections):
            connection.update_progress(now)
            if connection.is_stalled(now):
                connection.shed("stalled", now)
        if self.connections:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(STALL_CHECK_INTERVAL_S, self.check)

    def discard(self, connection: SlowClient) -> None:
        """Stop checking a connection."""
        self.connections.discard(connection)
