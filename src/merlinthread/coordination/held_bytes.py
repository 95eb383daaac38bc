"""The bytes that a node holds for its clients, and which client's are given up above the bound.

A holder is a client's connection. It is charged for its request, for its response that is not sent
yet, and for data of back ends that waits to be sent to it. Room reserved for a response is charged
before the response is received.
"""

import typing
from collections.abc import Callable

INFINITE = float("inf")
# The share of the bound by which the sum rises between two reports of its peak.
PEAK_STEP_SHARE = 1 / 16
# The share of the bound by which the sum may exceed it for requests that back ends work on, so that
# none of them is given up for a few bytes of others.
SLACK_SHARE = 1 / 16
# A client that takes no data for longer gives its room up to responses that wait for it: a lost
# packet is sent again after 0.2 s.
STALLED_AFTER_S = 2.0


def do_nothing(now: float) -> None:
    """Take the place of the callbacks of a holder that is released."""


def ignore_release() -> None:
    """Take the place of the callback of a budget for whose bytes nobody waits."""


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
    that to update `progress_at`. `reserved_bytes` is the part of `byte_count` that is reserved, and
    `is_answered` is set while the client takes a response that is complete.
    """

    __slots__ = (
        "budget",
        "byte_count",
        "close",
        "is_answered",
        "is_open",
        "progress_at",
        "refresh",
        "reserved_bytes",
    )

    def __init__(
        self,
        budget: "Budget",
        now: float,
        close: Callable[[float], None],
        refresh: Callable[[float], None],
    ) -> None:
        self.budget = budget
        self.byte_count = 0
        self.reserved_bytes = 0
        self.is_answered = False
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

    def reserve(self, byte_count: int) -> None:
        """Add room that is reserved for a response."""
        if self.is_open:
            self.reserved_bytes += byte_count
            self.budget.reserved_bytes += byte_count
            self.add(byte_count)

    def return_reserved(self, byte_count: int) -> None:
        """Return up to `byte_count` bytes of the reserved room."""
        returned = min(byte_count, self.reserved_bytes)
        if returned and self.is_open:
            self.reserved_bytes -= returned
            self.budget.reserved_bytes -= returned
            self.add(-returned)

    def is_stalled(self, now: float) -> bool:
        """Return whether the client must send or take data first, and has stopped doing so."""
        return now - self.progress_at > STALLED_AFTER_S

    def is_served(self, now: float) -> bool:
        """Return whether the client waits for its response or takes it."""
        return self.progress_at >= now or self.is_taking_response(now)

    def is_taking_response(self, now: float) -> bool:
        """Return whether there is a whole response or room for it, and the client takes it."""
        has_response = self.is_answered or self.reserved_bytes > 0
        return has_response and not self.is_stalled(now)

    def release(self) -> None:
        """Release all bytes; further ones are not counted, since the connection is closed.

        The callbacks refer to the connection, which would be freed late in a reference cycle.
        """
        if self.is_open:
            self.is_open = False
            self.close = self.refresh = do_nothing
            self.budget.holders.discard(self)
            self.budget.reserved_bytes -= self.reserved_bytes
            self.budget.add(-self.byte_count)


class Budget:
    """The sum over all holders and its bound; `observer` is told of new peaks.

    `on_release` is called when the sum falls. The sum may exceed the bound by the part of the
    reserved bytes that has room of its own, `extra_bytes`.
    """

    def __init__(self, clock: Callable[[], float], bytes_max: float = INFINITE) -> None:
        self.clock = clock
        self.bytes_max = bytes_max
        self.byte_count = 0
        self.reserved_bytes = 0
        self.extra_bytes = 0
        self.on_release: Callable[[], None] = ignore_release
        self.holders: set[Holder] = set()
        self.peak_bytes = 0.0
        self.is_peak_over = True
        self.observer: Observer | None = None

    def add(self, byte_count: int) -> None:
        """Add bytes to the sum, or subtract them if negative; close connections above the bound."""
        self.byte_count += byte_count
        if byte_count > 0 and self.is_exceeded():
            self.shed()
        if self.observer is not None:
            self.observe(self.observer)
        if byte_count < 0:
            self.on_release()

    def is_exceeded(self, slack_bytes: float = 0) -> bool:
        """Return whether the sum is more than `slack_bytes` over its bound."""
        return self.byte_count > self.bytes_max + self.extra_used() + slack_bytes

    def extra_used(self) -> int:
        """Return the reserved bytes that do not count towards the bound."""
        return min(self.extra_bytes, self.reserved_bytes)

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
        slack_bytes = self.bytes_max * SLACK_SHARE
        while self.is_exceeded() and self.holders:
            victim = choose_victim(self.holders, now)
            if victim.is_served(now) and not self.is_exceeded(slack_bytes):
                return
            self.close(victim, now)

    def has_room(self, byte_count: int) -> bool:
        """Return whether `byte_count` more bytes may be received.

        Those held for clients who must send or take data first may be given up for them.
        """
        bytes_max = self.bytes_max + self.extra_used()
        if self.byte_count + byte_count <= bytes_max:
            return True
        now = self.clock()
        self.refresh(now)
        kept = sum(holder.byte_count for holder in self.holders if holder.progress_at >= now)
        return kept + byte_count <= bytes_max

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
    closed for the sake of it, however slow it is. If all make progress, the largest is chosen. A
    whole response goes on: its request has run, while others can still be refused.
    """
    return max(
        holders,
        key=lambda holder: (
            not holder.is_taking_response(now),
            holder.byte_count * max(0.0, now - holder.progress_at),
            holder.byte_count,
        ),
    )
