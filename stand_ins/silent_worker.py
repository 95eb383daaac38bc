"""A stand-in for a worker whose process stands still for some time and then goes on.

It runs on an event loop of its own thread. While the loop is blocked, the kernel accepts data,
which the worker reads afterwards, including requests whose connections have been closed.
"""

import asyncio
import threading
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from stand_ins import fleet_worker

T = TypeVar("T")


class SilentWorker:
    """A worker in a thread; `worker` is its state, which other threads may read."""

    def __init__(self, instance: str, model: str = "", version: int = 1) -> None:
        self.worker = fleet_worker.Worker(instance, model, version)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    async def start(self) -> str:
        """Start the thread; listen on a free port and return the address as host:port."""
        self.thread.start()
        return await self.call(self.worker.start())

    async def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine in the thread of the worker, after any silence; return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return await asyncio.wrap_future(future)

    def fall_silent(self, seconds: float) -> None:
        """Stand still for some time from now on."""
        self.loop.call_soon_threadsafe(time.sleep, seconds)

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self.loop.call_soon_threadsafe(self.worker.stop)

    async def listen_again(self) -> None:
        """Listen at the previous address again after a crash."""
        ip, _, port = self.worker.address.rpartition(":")
        await self.call(self.worker.server.listen(ip, int(port)))

    def cut_connections(self) -> None:
        """Reset all connections; go on listening."""
        self.loop.call_soon_threadsafe(self.worker.reset_connections)

    def stop(self) -> None:
        """Stop the worker and its thread."""
        asyncio.run_coroutine_threadsafe(self.close(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def close(self) -> None:
        """Stop listening, reset all connections, and end the tasks that handle requests."""
        self.worker.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
