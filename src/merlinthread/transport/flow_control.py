"""Flow control for tasks that write to an asyncio transport."""

import asyncio


class FlowControl:
    """Lets a task wait until the transport's buffer has room."""

    def __init__(self) -> None:
        self.waiter: asyncio.Future | None = None
        self.is_paused = False

    def pause(self) -> None:
        """Record that the transport's buffer is full."""
        self.is_paused = True

    def resume(self) -> None:
        """Record that the buffer has room, or that the transport is closed."""
        self.is_paused = False
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait_writable(self) -> None:
        """Wait until the buffer has room."""
        while self.is_paused:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
