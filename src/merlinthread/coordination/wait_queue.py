"""A priority queue for requests that wait for capacity."""

import asyncio
import dataclasses
import heapq
import itertools


@dataclasses.dataclass(slots=True, order=True)
class Waiter:
    """A request; the lowest `urgency` goes first, then the earliest arrival.

    `woken` is set while it waits, and None while it tries to find capacity.
    """

    urgency: int
    arrived_at: float
    number: int
    woken: asyncio.Future | None = dataclasses.field(default=None, compare=False)


class WaitQueue:
    """The requests of one service that have waited and have not found capacity yet."""

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.numbers = itertools.count()

    def __len__(self) -> int:
        return len(self.waiters)

    def make_waiter(self, urgency: int, arrived_at: float) -> Waiter:
        """Return the place of a request, which is queued once it waits and until it is removed."""
        return Waiter(urgency, arrived_at, next(self.numbers))

    async def wait(self, waiter: Waiter, timeout_s: float) -> bool:
        """Wait until woken to try again; return False after `timeout_s` seconds."""
        if waiter not in self.waiters:
            self.waiters.append(waiter)
        waiter.woken = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await waiter.woken
            return True
        except TimeoutError:
            return False
        finally:
            waiter.woken = None

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that has found capacity or does not wait any more."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def count_ahead(self, waiter: Waiter) -> int:
        """Return the number of queued requests that go before a request."""
        return sum(other < waiter for other in self.waiters)

    def wake(self, count: int = 1) -> None:
        """Wake the first `count` requests that wait, so that they try again."""
        waiting = [waiter for waiter in self.waiters if waiter.woken is not None]
        for waiter in heapq.nsmallest(count, waiting):
            if waiter.woken is not None and not waiter.woken.done():
                waiter.woken.set_result(None)
