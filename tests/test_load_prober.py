"""Load queries to agents: replies in time, late and lost."""

import asyncio

from merlinthread.coordination import load_tracker
from merlinthread.nodes import load_prober
from merlinthread.protocol import node_messages


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
