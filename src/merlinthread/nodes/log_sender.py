"""Sends Raft messages to the other members of the replicated log, in order and in batches."""

import asyncio
import dataclasses
from typing import Any

from merlinthread import errors, logs
from merlinthread.coordination import levels, raft_members, raft_messages
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

SEND_TIMEOUT_S = 0.6
QUEUED_MESSAGES_MAX = 64


@dataclasses.dataclass(slots=True)
class SendStatistics:
    """What was sent to one member: bytes, failed calls, and the duration of the last good call."""

    sent_bytes: int = 0
    failed_sends: int = 0
    round_trip_s: float = 0.0


class SendQueue:
    """The messages queued for one member."""

    def __init__(self) -> None:
        self.sent = SendStatistics()
        self.messages: list[raft_messages.Message] = []
        self.not_empty = asyncio.Event()
        self.task: asyncio.Task | None = None


class LogSender:
    """Sends messages with a queue and a task for each member; messages may be lost."""

    def __init__(
        self,
        codec: codecs.Codec,
        rpc_client: node_bus.RpcClient,
        member_levels: levels.MemberLevels,
    ) -> None:
        self.codec = codec
        self.rpc_client = rpc_client
        self.levels = member_levels
        self.queues: dict[str, SendQueue] = {}

    def send(self, receiver: str, message: raft_messages.Message) -> None:
        """Queue a message for a member; drop the oldest ones above QUEUED_MESSAGES_MAX."""
        queue = self.queues.setdefault(receiver, SendQueue())
        if queue.task is None or queue.task.done():
            queue.task = asyncio.get_running_loop().create_task(self.run(receiver, queue))
        queue.messages.append(message)
        del queue.messages[:-QUEUED_MESSAGES_MAX]
        queue.not_empty.set()

    async def run(self, receiver: str, queue: SendQueue) -> None:
        """Send the messages queued for a member until the task is cancelled."""
        while True:
            await queue.not_empty.wait()
            queue.not_empty.clear()
            messages, queue.messages = queue.messages, []
            frames = [self.codec.encode(message) for message in messages]
            await self.send_frames(raft_members.address_of(receiver), frames, queue.sent)

    async def send_frames(self, address: str, frames: list[bytes], sent: SendStatistics) -> None:
        """Send encoded messages to a member, and record the format level in its reply."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        sent.sent_bytes += sum(map(len, frames))
        try:
            reply = await self.rpc_client.call(
                address, node_messages.RaftFrames(frames), SEND_TIMEOUT_S
            )
        except errors.MerlinthreadError:
            sent.failed_sends += 1
            self.levels.record_unreachable(address)
            return
        sent.round_trip_s = loop.time() - started
        self.record_reply(address, reply)

    def statistics(self, receiver: str) -> SendStatistics:
        """Return what was sent to a member so far."""
        queue = self.queues.get(receiver)
        return queue.sent if queue else SendStatistics()

    def record_reply(self, address: str, reply: Any) -> None:
        """Record the format level in a member's reply."""
        if not isinstance(reply, node_messages.Acknowledgement):
            logs.warning("member_answer_unknown", member=address, answer=type(reply).__name__)
        elif self.levels.record_reported(address, reply.level):
            logs.event("member_level", member=address, level=reply.level)

    def tasks(self) -> list[asyncio.Task]:
        """Return the running tasks."""
        return [queue.task for queue in self.queues.values() if queue.task is not None]
