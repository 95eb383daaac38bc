"""Fleet watchers after a restart of all nodes, while the control VMs have no leader yet.

Guards against repeated requests for the full state, which would delay the election of a leader.
"""

import asyncio
import collections

from merlinthread import errors
from merlinthread.nodes import fleet_watcher
from merlinthread.protocol import node_messages
from tests import fleet_nodes

CONTROLS = [f"10.{zone}.0.{number}" for zone in (1, 2, 3) for number in (1, 2)]


class FakeCaller:
    """Replaces the RPC client: control VMs that are up answer, the one at `near` first.

    They last had contact with a leader `leader_age_s` ago.
    """

    def __init__(self, up: list[str], leader_age_s: float, near: str = "") -> None:
        self.up = up
        self.leader_age_s = leader_age_s
        self.near = near
        self.asked: list[tuple[str, node_messages.WatchRequest]] = []

    async def call(self, address, watch, timeout_s):
        self.asked.append((address, watch))
        await asyncio.sleep(0.0 if address == self.near else 0.005)
        if address not in self.up:
            raise errors.UnreachableError("refused")
        return node_messages.WatchReply(
            f"feed of {address}", 7, not watch.feed, [], [], [], 0, b"", [], self.leader_age_s
        )


def make_watcher(number: int, rpc_client: FakeCaller) -> fleet_watcher.FleetWatcher:
    settings = fleet_nodes.make_settings(f"entry-{number}", control_port=1, control_ips=CONTROLS)
    watcher = fleet_nodes.make_watcher(settings)
    watcher.rpc_client = rpc_client
    return watcher


def addresses() -> list[str]:
    return [f"{ip}:1" for ip in CONTROLS]


def test_the_first_that_answers_is_turned_to_so_that_it_is_a_near_one():
    async def scenario():
        near = addresses()[3]
        rpc_client = FakeCaller(addresses(), 0.0, near)
        watcher = make_watcher(1, rpc_client)
        assert await watcher.find_control_vm() == near

    asyncio.run(scenario())


def test_while_there_is_no_leader_each_control_vm_tells_all_only_once():
    async def scenario():
        rpc_client = FakeCaller(addresses(), 1e6)
        watcher = make_watcher(1, rpc_client)
        task = asyncio.get_running_loop().create_task(watcher.run())
        await fleet_nodes.until(lambda: len(rpc_client.asked) >= 14)
        task.cancel()
        told_all = collections.Counter(a for a, watch in rpc_client.asked if not watch.feed)
        assert max(told_all.values()) == 1
        assert not watcher.is_fresh

    asyncio.run(scenario())


def test_a_control_vm_that_hears_a_leader_again_is_found_within_two_searches():
    async def scenario():
        rpc_client = FakeCaller(addresses(), 1e6)
        watcher = make_watcher(1, rpc_client)
        task = asyncio.get_running_loop().create_task(watcher.run())
        await fleet_nodes.until(lambda: watcher.current_control_vm)
        rpc_client.leader_age_s = 0.0
        async with asyncio.timeout(2 * fleet_watcher.SEARCH_INTERVAL_S):
            await fleet_nodes.until(lambda: watcher.is_fresh)
        task.cancel()

    asyncio.run(scenario())


def test_who_is_left_for_its_silence_tells_all_when_it_is_turned_to_again():
    async def scenario():
        rpc_client = FakeCaller(addresses(), 0.0)
        watcher = make_watcher(1, rpc_client)
        watcher.current_control_vm = await watcher.find_control_vm()
        watcher.disconnect("no answer")
        rpc_client.asked.clear()
        await watcher.find_control_vm()
        assert {watch.feed for _, watch in rpc_client.asked} == {""}

    asyncio.run(scenario())
