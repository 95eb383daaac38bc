"""Sends Raft messages to the other members of the replicated log.

A long message has a call of its own. Short ones are sent beside it, in batches, and do not wait for
a reply that takes long, so that a heartbeat, a vote or an acknowledgement takes one round trip on a
slow link as well.
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

LIMITS = raft_messages.Limits()
QUEUED_MESSAGES_MAX = 64
# While a call takes longer than this, the next batch is sent beside it.
OVERLAP_AFTER_S = 0.05
CALLS_MAX = 16

# Called with a member's name, when a long message was sent, and whether it was delivered.
OnLongMessage = Callable[[str, float, bool], None]


@dataclasses.dataclass(slots=True)
class SendStatistics:
    """What was sent to one member: bytes, failed calls, and the duration of the last good call."""

    sent_bytes: int = 0
    failed_sends: int = 0
    round_trip_s: float = 0.0


class ShortQueue:
    """The short messages that are queued for one member, encoded."""

    def __init__(self) -> None:
        self.frames: list[bytes] = []
        self.not_empty = asyncio.Event()
        self.task: asyncio.Task | None = None
        self.calls: set[asyncio.Task] = set()

    def put(self, frame: bytes) -> None:
        """Queue an encoded message; drop the oldest ones above QUEUED_MESSAGES_MAX."""
        self.frames.append(frame)
        del self.frames[:-QUEUED_MESSAGES_MAX]
        self.not_empty.set()

    async def take(self) -> list[bytes]:
        """Wait for messages, and return all that are queued."""
        await self.not_empty.wait()
        self.not_empty.clear()
        frames, self.frames = self.frames, []
        return frames


class MemberChannel:
    """The messages that are queued for one member or on their way, and what was sent to it."""

    def __init__(self) -> None:
        self.short = ShortQueue()
        self.long_calls: set[asyncio.Task] = set()
        self.short_timeouts = call_timeouts.CallTimeouts()
        self.long_timeouts = call_timeouts.CallTimeouts()
        self.sent = SendStatistics()

    def tasks(self) -> list[asyncio.Task]:
        """Return the running tasks."""
        loops = [self.short.task] if self.short.task is not None else []
        return [*loops, *self.short.calls, *self.long_calls]


class LogSender:
    """Sends messages to each member; messages may be lost or overtake each other.

    `on_long_message` is called after each call with a long message.
    """

    def __init__(
        self,
        codec: codecs.Codec,
        rpc_client: node_bus.RpcClient,
        member_levels: levels.MemberLevels,
        on_long_message: OnLongMessage = lambda receiver, sent_at, is_delivered: None,
    ) -> None:
        self.codec = codec
        self.rpc_client = rpc_client
        self.levels = member_levels
        self.on_long_message = on_long_message
        self.channels: dict[str, MemberChannel] = {}

    def send(self, receiver: str, message: raft_messages.Message) -> None:
        """Send a long message to a member, or queue a short one."""
        loop = asyncio.get_running_loop()
        channel = self.channels.setdefault(receiver, MemberChannel())
        frame = self.codec.encode(message)
        if raft_messages.is_long(message, LIMITS):
            call = loop.create_task(self.call_long(receiver, channel, frame, message.sent_at))
            channel.long_calls.add(call)
            call.add_done_callback(channel.long_calls.discard)
            return
        if channel.short.task is None or channel.short.task.done():
            channel.short.task = loop.create_task(self.run_short(receiver, channel))
        channel.short.put(frame)

    async def run_short(self, receiver: str, channel: MemberChannel) -> None:
        """Send the short messages for a member until the task is cancelled."""
        queue = channel.short
        while True:
            frames = await queue.take()
            call = asyncio.get_running_loop().create_task(
                self.call(receiver, channel.short_timeouts, frames, channel.sent)
            )
            queue.calls.add(call)
            call.add_done_callback(queue.calls.discard)
            await asyncio.wait({call}, timeout=OVERLAP_AFTER_S)
            while len(queue.calls) >= CALLS_MAX:
                await asyncio.wait(queue.calls, return_when=asyncio.FIRST_COMPLETED)

    async def call_long(
        self, receiver: str, channel: MemberChannel, frame: bytes, sent_at: float
    ) -> None:
        """Send a long message to a member, and report whether it was delivered."""
        timeouts = channel.long_timeouts
        is_delivered = await self.call(receiver, timeouts, [frame], channel.sent)
        self.on_long_message(receiver, sent_at, is_delivered)

    async def call(
        self,
        receiver: str,
        timeouts: call_timeouts.CallTimeouts,
        frames: list[bytes],
        sent: SendStatistics,
    ) -> bool:
        """Send encoded messages to a member in one call; return whether it confirmed them.

        The reply has the format level of the member's build.
        """
        address = raft_members.address_of(receiver)
        size_bytes = sum(map(len, frames))
        sent.sent_bytes += size_bytes
        timeout_s = timeouts.timeout_s(size_bytes)
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            reply = await self.rpc_client.call(address, node_messages.RaftFrames(frames), timeout_s)
        except errors.MerlinthreadError:
            sent.failed_sends += 1
            timeouts.record_failure(loop.time() - started)
            self.levels.record_unreachable(address)
            return False
        sent.round_trip_s = loop.time() - started
        timeouts.record_reply(sent.round_trip_s)
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
