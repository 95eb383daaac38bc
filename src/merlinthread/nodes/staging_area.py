"""Who may lay pieces at an engine: many at a time, but nobody else while an order is under way."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator


class StagingArea:
    """The staging area of one engine."""

    def __init__(self) -> None:
        self.is_reserved = False
        self.under_way = 0

    @contextlib.contextmanager
    def stage(self) -> Iterator[None]:
        """Count one piece that is being laid there; allowed while it is not reserved."""
        assert not self.is_reserved
        self.under_way += 1
        try:
            yield
        finally:
            self.under_way -= 1

    @contextlib.asynccontextmanager
    async def reserve(self, look_every_s: float) -> AsyncIterator[None]:
        """Keep others out, once the pieces under way are there."""
        self.is_reserved = True
        try:
            while self.under_way:
                await asyncio.sleep(look_every_s)
            yield
        finally:
            self.is_reserved = False
