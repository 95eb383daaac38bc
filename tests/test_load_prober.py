"""Load queries to agents: replies in time, late and lost."""

import asyncio
import time

import msgspec

from merlinthread.coordination import load_tracker
from merlinthread.nodes import load_prober
from merlinthread.protocol import node_messages
from tests import fleet_nodes


def run(scenario):
    sent = []
    prober = load_prober.LoadProber("entry:1", lambda agent, message: sent.append((agent, message)))
    asyncio.run(scenario(prober, sent))


def make_reply(query: node_messages.LoadQuery, tokens: float) -> node_messages.LoadReply:
    return node_messages.LoadReply(query.number, 2, 1, tokens, True, 1.5)


def make_load(tokens: float) -> load_tracker.EngineLoad:
    return load_tracker.EngineLoad(load_tracker.Outstanding(2, 1, tokens), True, 1.5)


def test_ask_returns_the_reply_of_each_agent():
    async def scenario(prober, sent):
        task = asyncio.ensure_future(prober.query(["a", "b"], 60.0))
        while len(sent) < 2:
            await asyncio.sleep(0)
        for agent, query in reversed(sent):
            prober.receive(make_reply(query, 10.0 if agent == "a" else 20.0))
        assert await asyncio.wait_for(task, 5.0) == {
            "a": make_load(10.0),
            "b": make_load(20.0),
        }
        assert not prober.pending_queries

    run(scenario)


def test_late_reply_is_dropped_and_the_load_is_unknown():
    async def scenario(prober, sent):
        found = await prober.query(["a"], 0.01)
        assert found == {"a": None}
        prober.receive(make_reply(sent[0][1], 10.0))
        assert not prober.pending_queries
        assert await prober.query([], 60.0) == {}

    run(scenario)


# Guards against an entry that was paused, and takes the agents whose replies it has not yet read
# for lost: it would refuse requests to cold engines until it asks these agents again.
def test_replies_that_arrived_during_a_pause_are_used():
    async def scenario(prober, sent):
        task = asyncio.ensure_future(prober.query(["a", "b"], 0.01))
        while len(sent) < 2:
            await asyncio.sleep(0)
        time.sleep(0.05)
        # A socket is read once in each iteration of the event loop.
        for _, query in sent:
            for _ in range(5):
                await asyncio.sleep(0)
            prober.receive(make_reply(query, 10.0))
        assert await task == {"a": make_load(10.0), "b": make_load(10.0)}
        assert not prober.pending_queries

    run(scenario)


# Guards against counting a request in full at each agent that is asked about it.
def test_tokens_asked_for_are_divided_among_agents():
    async def scenario(prober, sent):
        task = asyncio.ensure_future(prober.query(["a", "b"], 60.0, "account-1", 300.0))
        while len(sent) < 2:
            await asyncio.sleep(0)
        for agent, query in sent:
            assert (query.account, query.asked_tokens) == ("account-1", 150.0)
            reply = make_reply(query, 10.0)
            reply.is_over_share = agent == "b"
            prober.receive(reply)
        replies = await asyncio.wait_for(task, 5.0)
        assert {agent: r.is_over_share for agent, r in replies.items()} == {"a": False, "b": True}

    run(scenario)


# Guards against messages that builds before or after this one can't read.
def test_messages_without_the_fields_of_accounts_are_read():
    codec = fleet_nodes.make_codec()
    old = {
        "node.query": {"address": "e:1", "number": 1},
        "node.pulse": {"number": 1, "attempts": 2, "unread": 0, "tokens": 0.0},
        "node.attempt": {"entry": "e:1", "number": 1, "stage": "sent", "tokens": 5.0},
    }
    for name, fields in old.items():
        frame = bytes(24) + b"\0" + msgspec.msgpack.encode((name, fields))
        message = codec.decode(frame)
        assert getattr(message, "account", "") == ""
        assert not getattr(message, "is_over_share", False)
