"""Full updates from a control VM that lacks some back ends.

Guards against losing live back ends after switching between control VMs that send only changes.
"""

import asyncio
import json

from merlinthread.coordination import instances
from merlinthread.platform import dialect
from merlinthread.protocol import node_messages
from tests import fleet_nodes

INFORMED, NEWLY_STARTED = "knows:1", "new:1"


def make_instance(name: str) -> instances.Instance:
    body = {
        "service": "s",
        "address": f"10.0.0.{int.from_bytes(name.encode()[-1:])}:1",
        "zone": "zone-a",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
    }
    return instances.Instance(dialect.bodies.parse_heartbeat(name, json.dumps(body).encode()))


def make_reply(
    feed: str, position: int, is_full: bool, names: list[str]
) -> node_messages.WatchReply:
    entries = [make_instance(name) for name in names]
    return node_messages.WatchReply(feed, position, is_full, entries, [], [], 0, b"", [], 0.0)


def test_back_end_missing_from_full_update_is_requested_elsewhere():
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
    watcher.apply(make_reply("feed-a", 5, True, ["a", "b"]), INFORMED)
    assert watcher.positions[INFORMED].position == 5
    watcher.apply(make_reply("feed-b", 1, True, []), NEWLY_STARTED)
    assert (
        INFORMED not in watcher.positions
    ), "a control VM sends only changes after a known position"
    watcher.apply(make_reply("feed-a", 5, True, ["a", "b"]), INFORMED)
    table = watcher.instance_table
    assert not table.missing and set(table.instances) == {"a", "b"}


# Guards against a reply that was on its way when the positions were discarded.
def test_late_reply_with_changes_does_not_replace_full_update():
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
    watcher.apply(make_reply("feed-a", 5, True, ["a", "b"]), INFORMED)
    asked_from = watcher.position_of(INFORMED)
    watcher.apply(make_reply("feed-b", 1, True, []), NEWLY_STARTED)
    watcher.apply(make_reply("feed-a", 6, False, []), INFORMED, asked_from)
    assert INFORMED not in watcher.positions, "the missing back ends would not be sent again"


def test_full_update_is_requested_after_back_end_is_dropped():
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
    times = [100.0]
    watcher.clock = lambda: times[0]
    watcher.apply(make_reply("feed-a", 5, True, ["a"]), INFORMED)
    watcher.apply(make_reply("feed-b", 1, True, []), NEWLY_STARTED)
    times[0] += 100.0
    watcher.apply(make_reply("feed-b", 2, False, []), NEWLY_STARTED)
    assert not watcher.instance_table.instances
    assert not watcher.positions, "with a position, a control VM would send only changes"


def test_full_update_is_requested_after_search_drops_back_end(monkeypatch):
    async def scenario():
        watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
        times = [100.0]
        watcher.clock = lambda: times[0]
        watcher.apply(make_reply("feed-a", 5, True, ["a"]), INFORMED)
        watcher.apply(make_reply("feed-b", 1, True, []), NEWLY_STARTED)
        times[0] += 100.0

        async def find_control_vm():
            watcher.apply(make_reply("feed-b", 2, False, []), NEWLY_STARTED)
            return NEWLY_STARTED

        monkeypatch.setattr(watcher, "find_control_vm", find_control_vm)
        await watcher.select_control_vm()
        assert (
            watcher.current_control_vm == NEWLY_STARTED
            and watcher.positions[NEWLY_STARTED].position == 0
        )

    asyncio.run(scenario())
