"""The bytes that a node holds for its clients, and which client's are given up above the bound.

A holder is a client's connection. It is charged for its request, for its response that is not sent
yet, and for data of back ends that waits to be sent to it.
"""

from collections.abc import Callable

INFINITE = float("inf")


def do_nothing(now: float) -> None:
    """Take the place of the callbacks of a holder that is released."""


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
        self.budget.byte_count += byte_count
        if self.budget.byte_count > self.budget.bytes_max and byte_count > 0:
            self.budget.shed()

    def release(self) -> None:
        """Release all bytes; further ones are not counted, since the connection is closed.

        The callbacks refer to the connection, which would be freed late in a reference cycle.
        """
        if self.is_open:
            self.is_open = False
            self.close = self.refresh = do_nothing
            self.budget.byte_count -= self.byte_count
            self.budget.holders.discard(self)


class Budget:
    """The sum over all holders and its bound."""

    def __init__(self, clock: Callable[[], float], bytes_max: float = INFINITE) -> None:
        self.clock = clock
        self.bytes_max = bytes_max
        self.byte_count = 0
        self.holders: set[Holder] = set()

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
