"""What an entry does when a control VM that tells all does not know some back ends.

What was seen: two of six back ends, alive all the time, got nothing for 30 s; their service was
refused whole. How it came about: right after the start of all an entry asked a control VM that had
not heard them yet, which told all that it knew, and turned back to one that had told them before.
Cause: that one had nothing new to tell of them, so they were dropped as missing after four
heartbeats; the memory of what had been told, emptied then, was filled again in the same moment.
What proved it: the entry's log says `news_in_full` with three absent, then `missing` for just
these, and never `instance` again, while both control VMs logged their heartbeats.
"""

import asyncio
import json

from merlinthread.coordination import instances
from merlinthread.platform import dialect
from merlinthread.protocol import node_messages
from tests import fleet_nodes

KNOWS, NEW = "knows:1", "new:1"


def heartbeat(name: str) -> instances.Instance:
    body = {
        "service": "s",
        "address": f"{name}:1",
        "zone": "zone-a",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
    }
    return instances.Instance(dialect.bodies.heartbeat(name, json.dumps(body).encode()))


def news(feed: str, position: int, is_full: bool, names: list[str]) -> node_messages.WatchReply:
    told = [heartbeat(name) for name in names]
    return node_messages.WatchReply(feed, position, is_full, told, [], [], 0, b"", [], 0.0)


def test_a_back_end_that_one_control_vm_does_not_know_is_asked_for_at_the_others():
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
    watcher.apply(news("feed-a", 5, True, ["a", "b"]), KNOWS)
    assert watcher.positions[KNOWS].position == 5
    watcher.apply(news("feed-b", 1, True, []), NEW)
    assert KNOWS not in watcher.positions, "it would tell only what is new"
    watcher.apply(news("feed-a", 5, True, ["a", "b"]), KNOWS)
    assert not watcher.missing and set(watcher.instances) == {"a", "b"}


def test_once_a_back_end_was_dropped_all_is_asked_for_anew():
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
    times = [100.0]
    watcher.clock = lambda: times[0]
    watcher.apply(news("feed-a", 5, True, ["a"]), KNOWS)
    watcher.apply(news("feed-b", 1, True, []), NEW)
    times[0] += 100.0
    watcher.apply(news("feed-b", 2, False, []), NEW)
    assert not watcher.instances
    assert not watcher.positions, "who holds a position is told only what is new"


def test_a_search_that_ends_with_a_back_end_dropped_asks_for_all_anew(monkeypatch):
    async def scenario():
        watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
        times = [100.0]
        watcher.clock = lambda: times[0]
        watcher.apply(news("feed-a", 5, True, ["a"]), KNOWS)
        watcher.apply(news("feed-b", 1, True, []), NEW)
        times[0] += 100.0

        async def find_control_vm():
            watcher.apply(news("feed-b", 2, False, []), NEW)
            return NEW

        monkeypatch.setattr(watcher, "find_control_vm", find_control_vm)
        await watcher.select_control_vm()
        assert watcher.current == NEW and watcher.positions[NEW].position == 0

    asyncio.run(scenario())
