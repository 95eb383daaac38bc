"""Ages of published versions in replies of control VMs that are long on their way.

Guards against nodes that take a version for younger than it is, and begin requests on the one
before it when that has expired.
"""

import asyncio

import pytest

from merlinthread.nodes import fleet_watcher
from merlinthread.protocol import node_messages
from tests import fleet_nodes

AGE_S = 3.0


class SlowControlVm:
    """An RPC client whose calls take `held_s` at the control VM and `delay_s` on their way back.

    A control VM of a former build does not tell `held_s`.
    """

    def __init__(self, held_s: float, delay_s: float, is_old: bool, is_full: bool = True) -> None:
        self.now = 100.0
        self.held_s = held_s
        self.delay_s = delay_s
        self.is_old = is_old
        self.is_full = is_full

    async def call(self, address, request, timeout_s):
        self.now += self.held_s + self.delay_s
        named = [node_messages.NamedVersion("m", 2, AGE_S)]
        reply = node_messages.WatchReply("f", 1, self.is_full, [], [], named, 0, b"", [], 0.0)
        if not self.is_old:
            reply.held_s = self.held_s
        return reply

    def published_at(self, is_search: bool = False) -> float:
        """Return the time that a watcher records after one call."""
        settings = fleet_nodes.make_settings("entry", control_ips=["10.0.0.1"])
        watcher = fleet_nodes.make_watcher(settings)
        watcher.clock = lambda: self.now
        watcher.rpc_client = self
        watcher.is_fresh = True
        watcher.current_control_vm = "" if is_search else "10.0.0.1:0"
        asyncio.run(watcher.select_control_vm() if is_search else watcher.poll())
        return watcher.published_versions.named_at["m"][2]


@pytest.mark.parametrize("is_search", [False, True])
@pytest.mark.parametrize("is_old", [False, True])
def test_first_reply_that_is_long_on_its_way_does_not_make_a_version_younger(is_search, is_old):
    control_vm = SlowControlVm(0.0, fleet_watcher.WATCH_TIMEOUT_S - 0.1, is_old)
    assert control_vm.published_at(is_search) == 100.0 - AGE_S


# Guards also against versions that are required early, since the wait of a long poll was taken for
# the time of a reply on its way.
def test_reply_that_the_control_vm_held_is_as_old_as_its_time_on_the_way():
    held_s = fleet_watcher.WATCH_WAIT_S
    assert SlowControlVm(held_s, 0.4, False).published_at() == 100.0 + held_s - AGE_S


def test_time_that_a_former_build_held_a_reply_with_changes_is_not_known():
    held_s = fleet_watcher.WATCH_WAIT_S
    control_vm = SlowControlVm(held_s, 0.0, True, is_full=False)
    assert control_vm.published_at() == 100.0 + held_s - AGE_S


# Guards against a version that is taken for younger than it was when the reply arrived, since the
# control VM tells a longer wait than the call took.
def test_reply_is_not_taken_for_later_than_its_arrival():
    control_vm = SlowControlVm(0.0, 0.2, False)
    reply = asyncio.run(control_vm.call("", None, 1.0))
    reply.held_s = 9.0
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
    watcher.clock = lambda: control_vm.now
    watcher.apply(reply, "10.0.0.1:0", sent_at=100.0)
    assert watcher.published_versions.named_at["m"][2] == control_vm.now - AGE_S
