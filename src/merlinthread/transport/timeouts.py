"""Timeouts that do not count pauses of this process.

A timer that fires late shows that the process was suspended or blocked. What it waited for may
have arrived meanwhile, but has not been read yet.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from merlinthread import metrics

__all__ = ["PAUSE_MIN_S", "wait_for"]

T = TypeVar("T")

# A timer that fires this late shows a pause; less is usual under load.
PAUSE_MIN_S = 0.02


async def wait_for(receive: Callable[[], Awaitable[T]], timeout_s: float) -> T:
    """Return the result of `receive()`; raise TimeoutError after `timeout_s` seconds.

    If the timer fires late, wait again for as long as it was late, at most `timeout_s`. `receive`
    may be cancelled and called again, so it must not lose data that it has received.
    """
    loop = asyncio.get_running_loop()
    wait_s = timeout_s
    while True:
        timeout = asyncio.timeout(wait_s)
        try:
            async with timeout:
                return await receive()
        except TimeoutError:
            expired_at = timeout.when()
            if not timeout.expired() or expired_at is None:
                raise
            late_s = loop.time() - expired_at
            if late_s < PAUSE_MIN_S:
                raise
            metrics.pauses_total.inc()
            wait_s = min(late_s, timeout_s)
        finally:
            # It refers to the task, which may refer to an error and so to this frame.
            del timeout
