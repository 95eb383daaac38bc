"""The open attempts of one request, of which only one sends data to the client.

While a back end is silent, its attempt stays open beside a further one. The first that sends data
continues alone (hedged requests; Dean and Barroso, The Tail at Scale, 2013).
"""

import asyncio
from collections.abc import Callable

from merlinthread.nodes import attempts


class OpenAttempts:
    """The attempts of one request that have not ended.

    `on_continued` is called when data of one attempt is sent to the client, after the others were
    given up.
    """

    def __init__(self, on_continued: Callable[[], None]) -> None:
        self.on_continued = on_continued
        self.tasks: dict[attempts.Attempt, asyncio.Task[attempts.Outcome]] = {}
        self.changed_event = asyncio.Event()

    def start(self, attempt: attempts.Attempt) -> None:
        """Start an attempt in a task of its own."""
        attempt.reader.on_silence = self.changed_event.set
        attempt.on_data = lambda: self.keep_only(attempt)
        task = asyncio.get_running_loop().create_task(attempt.run())
        # A task that is cancelled before its first step runs no code of its own.
        task.add_done_callback(lambda _: self.end(attempt))
        self.tasks[attempt] = task

    def end(self, attempt: attempts.Attempt) -> None:
        """Release the load of an attempt that has ended, and wake up the task that waits for it."""
        attempt.release()
        self.changed_event.set()

    async def wait(self) -> list[tuple[attempts.Attempt, attempts.Outcome]]:
        """Wait until an attempt ends or its back end falls silent; return those that ended."""
        await self.changed_event.wait()
        self.changed_event.clear()
        ended = [attempt for attempt, task in self.tasks.items() if task.done()]
        return [(attempt, self.tasks.pop(attempt).result()) for attempt in ended]

    def are_silent(self) -> bool:
        """Return whether the back ends of all open attempts are silent."""
        return bool(self.tasks) and all(attempt.reader.is_silent for attempt in self.tasks)

    def close(self) -> None:
        """Give up all open attempts, and drop the callback, which refers to the owner."""
        self.keep_only(None)
        self.on_continued = attempts.do_nothing

    def keep_only(self, kept: attempts.Attempt | None) -> None:
        """Give up all open attempts except `kept`."""
        for attempt, task in list(self.tasks.items()):
            if attempt is not kept:
                del self.tasks[attempt]
                attempt.give_up()
                task.cancel()
        if kept is not None:
            self.on_continued()
