"""A priority queue for requests that wait for capacity."""

import asyncio
import dataclasses
import heapq
import itertools


@dataclasses.dataclass(slots=True, order=True)
class Waiter:
    """A waiting request; the lowest `urgency` goes first, then the earliest arrival."""

    urgency: int
    arrived_at: float
    number: int
    woken: asyncio.Future = dataclasses.field(compare=False)


class WaitQueue:
    """The waiting requests of one service."""

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.waiters)

    async def wait(self, urgency: int, arrived_at: float, timeout_s: float) -> bool:
        """Wait until woken to try again; return False after `timeout_s` seconds."""
        woken = asyncio.get_running_loop().create_future()
        waiter = Waiter(urgency, arrived_at, next(self.numbers), woken)
        heapq.heappush(self.waiters, waiter)
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await woken
            return True
        except TimeoutError:
            return False
        finally:
            self.remove(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter, if it is still queued."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            heapq.heapify(self.waiters)

    def wake(self, count: int = 1) -> None:
        """Wake the first `count` waiters, so that they try again."""
        for waiter in heapq.nsmallest(count, self.waiters):
            if not waiter.woken.done():
                waiter.woken.set_result(None)
