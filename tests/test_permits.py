"""Permit servers and clients.

Guards against permits granted twice or without a lease, and against waiting for a lost leader.
"""

import asyncio
import math
import random

import pytest

from merlinthread import errors
from merlinthread.coordination import (
    backend_availability,
    backend_record,
    entry_ranks,
    rate_limits,
)
from merlinthread.nodes import permit_server, permits
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages, piece_messages


class Member:
    """A fake log member that is the leader, or knows its address."""

    address = "here:1"

    def __init__(self) -> None:
        self.leads = True
        self.leader = self.address

    def holds_lease(self) -> bool:
        return self.leads

    def leader_address(self) -> str:
        return self.leader


class Watcher:
    controls = ["here:1"]
    current_control_vm = "here:1"


def make_server():
    member, times = Member(), [100.0]
    return permit_server.PermitServer(member, lambda: times[0]), member, times


def query(number: int, entry: str = "entry:1", per_s: float = 2.0) -> node_messages.LoadQuery:
    limit = rate_limits.AdvertisedLimit("i", per_s, 0.0)
    request = rate_limits.PermitRequest("s", "a", 0.0, [limit])
    return node_messages.LoadQuery(entry, number, request)


@pytest.mark.parametrize(
    ("per_s", "age_s"), [(0.0, 0.0), (-1.0, 0.0), (math.nan, 0.0), (2.0, -9.0)]
)
def test_query_with_invalid_limit_is_rejected(per_s, age_s):
    sent_query = query(1)
    limit = sent_query.permit.limits[0]
    limit.per_s, limit.heard_age_s = per_s, age_s
    codec = codecs.Codec([node_messages.MESSAGES, piece_messages.MESSAGES], [])
    with pytest.raises(errors.ProtocolError, match="per_s|heard_age_s"):
        codec.decode(codec.encode(sent_query))


def test_repeated_query_takes_one_permit():
    server, _, times = make_server()
    server.reply_to(query(1))
    times[0] += 1.0
    first, again = server.reply_to(query(2)), server.reply_to(query(2))
    assert first.decision.instance == "i" and again is first
    times[0] += 0.3
    assert server.reply_to(query(3)).decision.instance == "i"


def test_member_without_lease_grants_nothing_and_names_leader():
    server, member, _ = make_server()
    member.leads, member.leader = False, "there:1"
    assert server.reply_to(query(1)) == node_messages.PermitReply(None, "there:1")
    member.leader = member.address
    assert server.reply_to(query(2)) == node_messages.PermitReply(None, "")


def test_member_that_leads_again_starts_without_permits():
    server, member, times = make_server()
    server.reply_to(query(1))
    times[0] += 5.0
    member.leads = False
    server.reply_to(query(2))
    member.leads = True
    assert not server.reply_to(query(3)).decision.instance


def test_reply_ranks_entries_with_recent_queries():
    server, _, times = make_server()
    for number, name in enumerate(("c", "a", "b")):
        server.reply_to(query(number, name))
    reply = server.reply_to(query(9, "b"))
    assert (reply.entries, reply.rank, reply.at) == (3, 1, times[0])
    times[0] += 2 * entry_ranks.ENTRY_EXPIRY_S
    reply = server.reply_to(query(10, "b"))
    assert (reply.entries, reply.rank) == (1, 0)


def limited_backend(per_s: float) -> backend_record.Backend:
    availability = backend_availability.Availability(limit_per_s=per_s, limit_received_at=0.0)
    return backend_record.Backend("i", "s", "a:1", "zone", 0, 8, availability=availability)


def make_permits() -> tuple[permits.PermitClient, list]:
    """Return a permit client that gets no replies, and the list of its sent messages."""
    sent: list = []
    clock = asyncio.get_running_loop().time

    def send(*message):
        sent.append(message)

    return permits.PermitClient("e:1", Watcher(), send, clock, random.Random(1)), sent


def test_client_without_replies_sends_one_query_and_uses_time_slots():
    async def scenario():
        client, sent = make_permits()
        backend = limited_backend(50.0)
        started_at = client.clock()
        found = await asyncio.gather(*[client.acquire("s", "a", 0.0, [backend]) for _ in range(20)])
        assert client.clock() - started_at < 10 * permits.REPLY_TIMEOUT_S
        assert len({message.number for _, message in sent}) == 1
        assert sum(isinstance(each, permits.Permit) for each in found) <= 1
        assert backend.availability.lacks_permit(client.clock())

    asyncio.run(scenario())


def test_cancelled_leader_search_is_taken_over_by_waiting_request():
    async def scenario():
        client, sent = make_permits()
        backend = limited_backend(50.0)
        first = asyncio.create_task(client.acquire("s", "a", 0.0, [backend]))
        others = [asyncio.create_task(client.acquire("s", "a", 0.0, [backend])) for _ in range(3)]
        while not sent:
            await asyncio.sleep(0)
        first.cancel()
        while len({message.number for _, message in sent}) < 2:
            await asyncio.sleep(0.001)
        # Another task takes over the search, and the rest wait for it.
        assert client.pending_queries and not any(task.done() for task in others)
        await asyncio.gather(*others)
        assert len({message.number for _, message in sent}) == 2

    asyncio.run(scenario())


def test_late_reply_is_dropped():
    async def scenario():
        client, sent = make_permits()
        await client.acquire("s", "a", 0.0, [limited_backend(0.01)])
        decision = rate_limits.Decision("i", 0.0, [1.0])
        client.receive(sent[0][1].number, node_messages.PermitReply(decision, "", 3, 1, 0.0))
        assert not client.leader and not client.pending_queries

    asyncio.run(scenario())
