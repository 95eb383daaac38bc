"""Raft messages on slow links: how long they wait for each other, and for which replies."""

import asyncio

import pytest

from bench import virtual_loop
from merlinthread import errors
from merlinthread.coordination import levels, raft_messages
from merlinthread.nodes import call_timeouts, log_member, log_sender
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages
from merlinthread.state import journal

PEER = "10.0.0.2:7500"
CODEC = codecs.Codec([raft_messages.MESSAGES, node_messages.MESSAGES], [])


class SlowClient:
    """An RPC client whose calls arrive at once, and are answered after `reply_s`."""

    def __init__(self, reply_s: float) -> None:
        self.reply_s = reply_s
        self.arrived: list[tuple[float, raft_messages.Message]] = []

    async def call(self, address, message, timeout_s):
        now = asyncio.get_running_loop().time()
        self.arrived += [(now, CODEC.decode(frame)) for frame in message.frames]
        await asyncio.sleep(min(self.reply_s, timeout_s))
        if timeout_s < self.reply_s:
            raise errors.UnreachableError("no reply in time")
        return node_messages.Acknowledgement(1)


def append(entry_bytes: int, sent_at: float) -> raft_messages.AppendEntries:
    entries = [journal.Entry(1, 1, "command", bytes(entry_bytes))] if entry_bytes else []
    return raft_messages.AppendEntries("a", 1, 0, 0, 0, sent_at, entries)


def send_repeatedly(client: SlowClient, entry_bytes: list[int], interval_s: float) -> list[float]:
    """Send an append of each size at intervals; return how long each waited to be sent."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        sender = log_sender.LogSender(CODEC, client, levels.MemberLevels())
        for size in entry_bytes:
            sender.send(PEER, append(size, loop.time()))
            await asyncio.sleep(interval_s)
        await asyncio.sleep(client.reply_s)
        for task in sender.tasks():
            task.cancel()

    virtual_loop.run(scenario())
    return [at - message.sent_at for at, message in client.arrived]


# Guards against a lease that ends on a slow link although each heartbeat is acknowledged.
def test_heartbeats_do_not_wait_for_the_reply_to_an_earlier_one():
    waits = send_repeatedly(SlowClient(reply_s=0.5), [0] * 20, interval_s=0.15)
    assert len(waits) == 20 and max(waits) <= log_sender.OVERLAP_AFTER_S


def test_heartbeats_do_not_wait_for_a_long_message():
    sizes = [200_000, *[0] * 10]
    client = SlowClient(reply_s=2.0)
    send_repeatedly(client, sizes, interval_s=0.15)
    waits = [at - m.sent_at for at, m in client.arrived if not m.entries]
    assert len(waits) == 10 and max(waits) <= log_sender.OVERLAP_AFTER_S


# Guards against as many calls as messages while nothing is answered.
def test_number_of_calls_to_a_member_is_bounded():
    client = SlowClient(reply_s=1e6)
    send_repeatedly(client, [0] * 100, interval_s=0.06)
    seconds = 100 * 0.06
    calls = {at for at, _ in client.arrived}
    assert len(calls) <= log_sender.CALLS_MAX * (1 + seconds / call_timeouts.TIMEOUT_MIN_S)
    assert len(calls) < 100


# Guards against calls that are given up again and again before their reply can arrive.
def test_timeout_grows_until_replies_are_seen():
    timeouts = call_timeouts.CallTimeouts()
    reply_s = 1.5
    failed = 0
    while timeouts.timeout_s(0) < reply_s:
        timeouts.record_failure(timeouts.timeout_s(0))
        failed += 1
    assert failed == 2
    timeouts.record_reply(reply_s)
    assert timeouts.timeout_s(0) > reply_s
    timeouts.record_reply(0.005)
    assert timeouts.timeout_s(0) == call_timeouts.TIMEOUT_MIN_S


def test_refused_call_does_not_lengthen_the_timeout():
    timeouts = call_timeouts.CallTimeouts()
    timeouts.record_failure(0.001)
    assert timeouts.timeout_s(0) == call_timeouts.TIMEOUT_MIN_S


# Guards against a message that is given up again and again on a link that needs longer for it.
@pytest.mark.parametrize("bytes_per_s", [150_000, 60_000, 25_000])
def test_long_message_gets_the_time_that_its_link_needs(bytes_per_s):
    timeouts = call_timeouts.CallTimeouts()
    size_bytes = 300_000
    for _ in range(4):
        if timeouts.timeout_s(size_bytes) >= size_bytes / bytes_per_s:
            break
        timeouts.record_failure(timeouts.timeout_s(size_bytes))
    assert timeouts.timeout_s(size_bytes) >= size_bytes / bytes_per_s


def test_several_copies_of_a_long_message_are_not_on_their_way_at_once():
    longest_s = call_timeouts.TIMEOUT_MAX_S + 64 * 1024 / call_timeouts.BYTES_PER_S_MIN
    assert log_member.TIMING.resend_s > longest_s
