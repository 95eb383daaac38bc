"""The bytes that a node holds for its clients, and which client's are given up above the bound.

A holder is a client's connection. It is charged for its request, for its response that is not sent
yet, and for data of back ends that waits to be sent to it.
"""

import typing
from collections.abc import Callable

INFINITE = float("inf")
# The share of the bound by which the sum rises between two reports of its peak.
PEAK_STEP_SHARE = 1 / 16


def do_nothing(now: float) -> None:
    """Take the place of the callbacks of a holder that is released."""


class Observer(typing.Protocol):
    """Observes the sum of a budget."""

    def record_peak(self) -> None:
        """Record that the sum has risen by a step above the last peak."""

    def record_fall(self) -> None:
        """Record that the sum has fallen to half of a new peak."""


class Holder:
    """The bytes held for one client.

    `progress_at` is when the client last sent or took data, or the present while it waits for its
    response. `close` is called with the time to close its connection; `refresh` is called before
    that to update `progress_at`.
    """

    __slots__ = ("budget", "byte_count", "close", "is_open", "progress_at", "refresh")

    def __init__(
        self,
        budget: "Budget",
        now: float,
        close: Callable[[float], None],
        refresh: Callable[[float], None],
    ) -> None:
        self.budget = budget
        self.byte_count = 0
        self.progress_at = now
        self.close = close
        self.refresh = refresh
        self.is_open = True

    def add(self, byte_count: int) -> None:
        """Add bytes that are now held, or subtract them if negative."""
        if not self.is_open:
            return
        self.byte_count += byte_count
        self.budget.add(byte_count)

    def release(self) -> None:
        """Release all bytes; further ones are not counted, since the connection is closed.

        The callbacks refer to the connection, which would be freed late in a reference cycle.
        """
        if self.is_open:
            self.is_open = False
            self.close = self.refresh = do_nothing
            self.budget.holders.discard(self)
            self.budget.add(-self.byte_count)


class Budget:
    """The sum over all holders and its bound; `observer` is told of new peaks."""

    def __init__(self, clock: Callable[[], float], bytes_max: float = INFINITE) -> None:
        self.clock = clock
        self.bytes_max = bytes_max
        self.byte_count = 0
        self.holders: set[Holder] = set()
        self.peak_bytes = 0.0
        self.is_peak_over = True
        self.observer: Observer | None = None

    def add(self, byte_count: int) -> None:
        """Add bytes to the sum, or subtract them if negative; close connections above the bound."""
        self.byte_count += byte_count
        if byte_count > 0 and self.byte_count > self.bytes_max:
            self.shed()
        if self.observer is not None:
            self.observe(self.observer)

    def observe(self, observer: Observer) -> None:
        """Report a new peak by steps, and then its end."""
        if self.byte_count >= self.peak_bytes + self.bytes_max * PEAK_STEP_SHARE:
            self.peak_bytes = self.byte_count
            self.is_peak_over = False
            observer.record_peak()
        elif not self.is_peak_over and self.byte_count <= self.peak_bytes / 2:
            self.is_peak_over = True
            observer.record_fall()

    def open(self, close: Callable[[float], None], refresh: Callable[[float], None]) -> Holder:
        """Return a new holder."""
        holder = Holder(self, self.clock(), close, refresh)
        self.holders.add(holder)
        return holder

    def shed(self) -> None:
        """Close connections until the sum is within the bound."""
        now = self.clock()
        self.refresh(now)
        while self.byte_count > self.bytes_max and self.holders:
            self.close(choose_victim(self.holders, now), now)

    def has_room(self, byte_count: int) -> bool:
        """Return whether `byte_count` more bytes may be received.

        Those held for clients who must send or take data first may be given up for them.
        """
        if self.byte_count + byte_count <= self.bytes_max:
            return True
        now = self.clock()
        self.refresh(now)
        kept = sum(holder.byte_count for holder in self.holders if holder.progress_at >= now)
        return kept + byte_count <= self.bytes_max

    def refresh(self, now: float) -> None:
        """Update when each client last sent or took data."""
        for holder in self.holders:
            holder.refresh(now)

    def close(self, victim: Holder, now: float) -> None:
        """Close a client's connection.

        Its memory is freed when its task has been cancelled, which takes a few more steps of the
        event loop; it no longer counts, so that no other connection is closed instead.
        """
        victim.close(now)
        victim.release()


def choose_victim(holders: set[Holder], now: float) -> Holder:
    """Return the holder with the largest product of bytes and time without progress.

    A client that takes its data keeps it however much it is, and one that holds little is not
    closed for the sake of it, however slow it is. If all make progress, the largest is chosen.
    """
    return max(
        holders,
        key=lambda holder: (
            holder.byte_count * max(0.0, now - holder.progress_at),
            holder.byte_count,
        ),
    )
