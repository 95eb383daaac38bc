"""Room for responses of back ends that are read as a whole.

A response that has no room waits, first come, first served, while its back end is not read. Some
room is kept for responses alone: requests that fill the rest end only once they are answered.
"""

import collections
import dataclasses
from collections.abc import Callable

from merlinthread.coordination import held_bytes

# The share of the bound that responses leave to requests and to data that is passed on in parts.
SPARE_SHARE = 1 / 8


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A response that waits for room; `on_room` is called once it is reserved."""

    holder: held_bytes.Holder
    byte_count: int
    on_room: Callable[[], None]


class ResponseRoom:
    """Reserves room for responses in `budget`, with its `extra_bytes` beyond the bound.

    The room of a response counts as held for its client until it is returned.
    """

    def __init__(self, budget: held_bytes.Budget) -> None:
        self.budget = budget
        self.waiters: collections.deque[Waiter] = collections.deque()
        budget.on_release = self.reserve_next

    def request(
        self, holder: held_bytes.Holder, byte_count: int, on_room: Callable[[], None]
    ) -> Waiter:
        """Reserve room for a response, or let it wait; return the waiter."""
        waiter = Waiter(holder, byte_count, on_room)
        self.waiters.append(waiter)
        self.reserve_next()
        return waiter

    def cancel(self, waiter: Waiter) -> None:
        """Let a response wait no longer."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            self.reserve_next()

    def reserve_next(self) -> None:
        """Reserve room for those who have waited longest, while there is some."""
        while self.waiters and self.fits(self.waiters[0].byte_count):
            waiter = self.waiters.popleft()
            waiter.holder.reserve(waiter.byte_count)
            waiter.on_room()

    def fits(self, byte_count: int) -> bool:
        """Return whether there is room for a response."""
        budget = self.budget
        if budget.reserved_bytes + byte_count <= budget.extra_bytes:
            return True
        bytes_max = budget.bytes_max * (1 - SPARE_SHARE) + budget.extra_bytes
        return budget.byte_count + byte_count <= bytes_max

    def close_stalled(self, now: float) -> None:
        """Close connections of clients that are stalled until the first waiter fits."""
        self.budget.refresh(now)
        stalled = {each for each in self.budget.holders if each.is_stalled(now)}
        while stalled and self.waiters and not self.fits(self.waiters[0].byte_count):
            victim = held_bytes.choose_victim(stalled, now)
            if not victim.byte_count:
                return
            stalled.discard(victim)
            self.budget.close(victim, now)
