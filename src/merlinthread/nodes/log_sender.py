"""Sends messages of the replicated log to its other members, in order, many at a time."""

import asyncio

from merlinthread import errors, logs
from merlinthread.coordination import levels, raft_members, raft_messages
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

    def __init__(
        self, codec: codecs.Codec, caller: node_bus.RpcClient, known: levels.MemberLevels
    ) -> None:
        self.codec = codec
        self.caller = caller
        self.levels = known
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
            await self.call(raft_members.address_of(receiver), node_messages.RaftFrames(frames))

    async def call(self, address: str, message: node_messages.RaftFrames) -> None:
        """Send messages to a member, and take the level that its answer tells."""
        try:
            reply = await self.caller.call(address, message, SEND_TIMEOUT_S)
        except errors.MerlinthreadError:
            self.levels.record_unreachable(address)
            return
        if not isinstance(reply, node_messages.Acknowledgement):
            logs.warning("member_answer_unknown", member=address, answer=type(reply).__name__)
        elif self.levels.record_reported(address, reply.level):
            logs.event("member_level", member=address, level=reply.level)

    def tasks(self) -> list[asyncio.Task]:
        """Return the running tasks."""
        return [queue.task for queue in self.queues.values() if queue.task is not None]
