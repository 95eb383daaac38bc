"""Sends messages of the replicated log to its other members, in order, many at a time."""

import asyncio
import contextlib

from merlinthread import errors
from merlinthread.coordination import raft_members, raft_messages
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

SEND_TIMEOUT_S = 0.6
QUEUE_MAX = 64


class Queue:
    """What waits for one member."""

    def __init__(self) -> None:
        self.messages: list[raft_messages.Message] = []
        self.is_filled = asyncio.Event()
        self.task: asyncio.Task | None = None


class LogSender:
    """One queue and one task for each member; the log bears that messages are lost."""

    def __init__(self, codec: codecs.Codec, caller: node_bus.Caller) -> None:
        self.codec = codec
        self.caller = caller
        self.queues: dict[str, Queue] = {}

    def send(self, receiver: str, message: raft_messages.Message) -> None:
        """Queue a message for a member; the oldest gives way when many wait."""
        queue = self.queues.setdefault(receiver, Queue())
        if queue.task is None or queue.task.done():
            queue.task = asyncio.get_running_loop().create_task(self.empty(receiver, queue))
        queue.messages.append(message)
        del queue.messages[:-QUEUE_MAX]
        queue.is_filled.set()

    async def empty(self, receiver: str, queue: Queue) -> None:
        """Send what is queued for a member, for ever."""
        while True:
            await queue.is_filled.wait()
            queue.is_filled.clear()
            messages, queue.messages = queue.messages, []
            frames = [self.codec.encode(message) for message in messages]
            with contextlib.suppress(errors.MerlinthreadError):
                await self.caller.call(
                    raft_members.address_of(receiver),
                    node_messages.LogMessages(frames),
                    SEND_TIMEOUT_S,
                )

    def tasks(self) -> list[asyncio.Task]:
        """Return the running tasks."""
        return [queue.task for queue in self.queues.values() if queue.task is not None]
