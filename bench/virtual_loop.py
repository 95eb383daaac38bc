"""An event loop with virtual time for simulations: its clock advances to the next timer when idle.

They run without real delays and are deterministic for a given seed. Sockets are not supported.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by `timeout` seconds; return no events."""
        if timeout is None:
            raise RuntimeError("deadlock: the loop has no timers and nothing ready to run")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose virtual time starts at 0."""

    def __init__(self) -> None:
        self.clock = VirtualTimeSelector()
        super().__init__(self.clock)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.clock.now


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to completion on a new `VirtualLoop`."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
