"""Fleet watchers after a restart of all nodes, before the control VMs elect a leader.

Guards against repeated requests for the full state, which would delay the election of a leader.
"""

import asyncio
import collections

from merlinthread import errors
from merlinthread.nodes import fleet_watcher
from merlinthread.protocol import node_messages
from tests import fleet_nodes

CONTROLS = [f"10.{zone}.0.{number}" for zone in (1, 2, 3) for number in (1, 2)]


class FakeRpcClient:
    """Replaces the RPC client: control VMs that are up reply, the one at `near` first.

    They last had contact with a leader `leader_age_s` ago.
    """

    def __init__(self, up: list[str], leader_age_s: float, near: str = "") -> None:
        self.up = up
        self.leader_age_s = leader_age_s
        self.near = near
        self.requests: list[tuple[str, node_messages.WatchRequest]] = []

    async def call(self, address, watch, timeout_s):
        self.requests.append((address, watch))
        await asyncio.sleep(0.0 if address == self.near else 0.005)
        if address not in self.up:
            raise errors.UnreachableError("refused")
        return node_messages.WatchReply(
            f"feed of {address}", 7, not watch.feed, [], [], [], 0, b"", [], self.leader_age_s
        )


def make_watcher(number: int, rpc_client: FakeRpcClient) -> fleet_watcher.FleetWatcher:
    settings = fleet_nodes.make_settings(f"entry-{number}", control_port=1, control_ips=CONTROLS)
    watcher = fleet_nodes.make_watcher(settings)
    watcher.rpc_client = rpc_client
    return watcher


def addresses() -> list[str]:
    return [f"{ip}:1" for ip in CONTROLS]


def test_watcher_selects_first_control_vm_to_reply():
    async def scenario():
        near = addresses()[3]
        rpc_client = FakeRpcClient(addresses(), 0.0, near)
        watcher = make_watcher(1, rpc_client)
        assert await watcher.find_control_vm() == near

    asyncio.run(scenario())


def test_full_update_is_requested_once_per_control_vm_without_leader():
    async def scenario():
        rpc_client = FakeRpcClient(addresses(), 1e6)
        watcher = make_watcher(1, rpc_client)
        task = asyncio.get_running_loop().create_task(watcher.run())
        await fleet_nodes.until(lambda: len(rpc_client.requests) >= 14)
        task.cancel()
        full_requests = collections.Counter(
            address for address, watch in rpc_client.requests if not watch.feed
        )
        assert max(full_requests.values()) == 1
        assert not watcher.is_fresh

    asyncio.run(scenario())


def test_control_vm_with_leader_is_found_within_two_searches():
    async def scenario():
        rpc_client = FakeRpcClient(addresses(), 1e6)
        watcher = make_watcher(1, rpc_client)
        task = asyncio.get_running_loop().create_task(watcher.run())
        await fleet_nodes.until(lambda: watcher.current_control_vm)
        rpc_client.leader_age_s = 0.0
        async with asyncio.timeout(2 * fleet_watcher.SEARCH_INTERVAL_S):
            await fleet_nodes.until(lambda: watcher.is_fresh)
        task.cancel()

    asyncio.run(scenario())


def test_full_update_is_requested_after_disconnect():
    async def scenario():
        rpc_client = FakeRpcClient(addresses(), 0.0)
        watcher = make_watcher(1, rpc_client)
        watcher.current_control_vm = await watcher.find_control_vm()
        watcher.disconnect("no reply")
        rpc_client.requests.clear()
        await watcher.find_control_vm()
        assert {watch.feed for _, watch in rpc_client.requests} == {""}

    asyncio.run(scenario())
