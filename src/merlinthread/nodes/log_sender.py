"""Sends Raft messages to the other members of the replicated log.

Each member has two queues. Long messages are sent one at a time. Short ones are sent beside them,
in batches, and do not wait for a reply that takes long, so that a heartbeat, a vote or an
acknowledgement takes one round trip on a slow link as well.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from merlinthread import errors, logs
from merlinthread.coordination import levels, raft_members, raft_messages
from merlinthread.nodes import call_timeouts
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

# Encoded size above which a message has a call of its own in the queue of long messages.
LONG_MESSAGE_BYTES = 20 * 1024
QUEUED_MESSAGES_MAX = 64
# A later message replaces a long one that still waits, since both begin at the same entry.
QUEUED_LONG_MESSAGES_MAX = 1
# While a call takes longer than this, the next batch is sent beside it.
OVERLAP_AFTER_S = 0.05
CALLS_MAX = 16

# Called with a member's name, and whether a long message was delivered to it.
OnLongMessage = Callable[[str, bool], None]


@dataclasses.dataclass(slots=True)
class SendStatistics:
    """What was sent to one member: bytes, failed calls, and the duration of the last good call."""

    sent_bytes: int = 0
    failed_sends: int = 0
    round_trip_s: float = 0.0


class SendQueue:
    """The messages of one kind, short or long, that are queued for one member."""

    def __init__(self, length_max: int) -> None:
        self.length_max = length_max
        self.timeouts = call_timeouts.CallTimeouts()
        self.frames: list[bytes] = []
        self.not_empty = asyncio.Event()
        self.task: asyncio.Task | None = None
        self.calls: set[asyncio.Task] = set()

    def put(self, frame: bytes) -> None:
        """Queue an encoded message; drop the oldest ones above `length_max`."""
        self.frames.append(frame)
        del self.frames[: -self.length_max]
        self.not_empty.set()

    async def take(self) -> list[bytes]:
        """Wait for messages, and return all that are queued."""
        await self.not_empty.wait()
        self.not_empty.clear()
        frames, self.frames = self.frames, []
        return frames


class MemberChannel:
    """The queues of one member, and what was sent to it."""

    def __init__(self) -> None:
        self.short = SendQueue(QUEUED_MESSAGES_MAX)
        self.long = SendQueue(QUEUED_LONG_MESSAGES_MAX)
        self.sent = SendStatistics()

    def tasks(self) -> list[asyncio.Task]:
        """Return the running tasks."""
        loops = [queue.task for queue in (self.short, self.long) if queue.task is not None]
        return [*loops, *self.short.calls, *self.long.calls]


class LogSender:
    """Sends messages to each member; messages may be lost or overtake each other.

    `on_long_message` is called after each call with a long message.
    """

    def __init__(
        self,
        codec: codecs.Codec,
        rpc_client: node_bus.RpcClient,
        member_levels: levels.MemberLevels,
        on_long_message: OnLongMessage = lambda receiver, is_delivered: None,
    ) -> None:
        self.codec = codec
        self.rpc_client = rpc_client
        self.levels = member_levels
        self.on_long_message = on_long_message
        self.channels: dict[str, MemberChannel] = {}

    def send(self, receiver: str, message: raft_messages.Message) -> None:
        """Queue a message for a member."""
        channel = self.channels.setdefault(receiver, MemberChannel())
        frame = self.codec.encode(message)
        is_long = len(frame) > LONG_MESSAGE_BYTES
        queue = channel.long if is_long else channel.short
        if queue.task is None or queue.task.done():
            run = self.run_long if is_long else self.run_short
            queue.task = asyncio.get_running_loop().create_task(run(receiver, channel))
        queue.put(frame)

    async def run_short(self, receiver: str, channel: MemberChannel) -> None:
        """Send the short messages for a member until the task is cancelled."""
        queue = channel.short
        while True:
            frames = await queue.take()
            call = asyncio.get_running_loop().create_task(
                self.call(receiver, queue, frames, channel.sent)
            )
            queue.calls.add(call)
            call.add_done_callback(queue.calls.discard)
            await asyncio.wait({call}, timeout=OVERLAP_AFTER_S)
            while len(queue.calls) >= CALLS_MAX:
                await asyncio.wait(queue.calls, return_when=asyncio.FIRST_COMPLETED)

    async def run_long(self, receiver: str, channel: MemberChannel) -> None:
        """Send the long messages for a member, one at a time, until the task is cancelled."""
        while True:
            for frame in await channel.long.take():
                is_delivered = await self.call(receiver, channel.long, [frame], channel.sent)
                self.on_long_message(receiver, is_delivered)

    async def call(
        self, receiver: str, queue: SendQueue, frames: list[bytes], sent: SendStatistics
    ) -> bool:
        """Send encoded messages to a member in one call; return whether it confirmed them.

        The reply has the format level of the member's build.
        """
        address = raft_members.address_of(receiver)
        size_bytes = sum(map(len, frames))
        sent.sent_bytes += size_bytes
        timeout_s = queue.timeouts.timeout_s(size_bytes)
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            reply = await self.rpc_client.call(address, node_messages.RaftFrames(frames), timeout_s)
        except errors.MerlinthreadError:
            sent.failed_sends += 1
            queue.timeouts.record_failure(loop.time() - started)
            self.levels.record_unreachable(address)
            return False
        sent.round_trip_s = loop.time() - started
        queue.timeouts.record_reply(sent.round_trip_s)
        self.record_reply(address, reply)
        return True

    def record_reply(self, address: str, reply: Any) -> None:
        """Record the format level in a member's reply."""
        if not isinstance(reply, node_messages.Acknowledgement):
            logs.warning("member_answer_unknown", member=address, answer=type(reply).__name__)
        elif self.levels.record_reported(address, reply.level):
            logs.event("member_level", member=address, level=reply.level)

    def statistics(self, receiver: str) -> SendStatistics:
        """Return what was sent to a member so far."""
        channel = self.channels.get(receiver)
        return channel.sent if channel else SendStatistics()

    def tasks(self) -> list[asyncio.Task]:
        """Return the running tasks."""
        return [task for channel in self.channels.values() for task in channel.tasks()]
