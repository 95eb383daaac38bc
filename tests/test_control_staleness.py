"""Control VMs and entries that may lack an acknowledged change.

Guards against an old configuration that is called current: routes and keys added since then would
be refused as unknown.
"""

import time
import zlib

from merlinthread.coordination import fleet_state, raft_messages
from merlinthread.nodes import control_node, fleet_watcher, log_member
from merlinthread.platform import dialect
from merlinthread.protocol import node_messages
from merlinthread.state import journal
from tests import fleet_nodes
from tests.test_control_nodes import put_configuration, run

WATCH = node_messages.WatchRequest("entry", "", 0, 0, 0.0)


def reported_age_s(node: control_node.ControlNode) -> float:
    return node.watches.changes_for(WATCH).leader_age_s


def receive(member: log_member.LogMember, message: raft_messages.Message) -> None:
    member.receive([member.codec.encode(message)])


async def isolate_follower(controls) -> control_node.ControlNode:
    """Kill all control VMs but one follower, and wait until that one calls itself outdated."""
    follower = next(ip for ip in controls.ips if ip != controls.leader())
    for ip in controls.ips:
        if ip != follower:
            controls.kill(ip)
    node = controls.nodes[follower]
    await fleet_nodes.until(lambda: reported_age_s(node) > fleet_watcher.STALE_AFTER_S)
    return node


# Guards against trusting a new leader's commit index before it has committed an entry of its term.
def test_follower_is_outdated_until_its_new_leader_commits(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        node = await isolate_follower(controls)
        member = node.member
        log = member.raft.log
        last, last_term, term = log.last_index(), log.last_term(), member.raft.hard_state.term + 1
        leader = f"{controls.ips[0]}:{controls.port}"
        command = fleet_state.Configure(2, zlib.compress(b"{}"))
        entries = [
            journal.Entry(last + 1, last_term, "command", member.commands.encode(command)),
            journal.Entry(last + 2, term, "empty"),
        ]

        def append(commit, entries, previous, previous_term):
            return raft_messages.AppendEntries(
                leader, term, previous, previous_term, commit, 0.0, entries
            )

        # Version 2 was acknowledged by the others before the election.
        receive(member, append(last, entries, last, last_term))
        await fleet_nodes.until(lambda: log.saved_index == last + 2)
        assert member.state.version == 1
        assert reported_age_s(node) > fleet_watcher.STALE_AFTER_S
        receive(member, append(last + 2, [], last + 2, term))
        await fleet_nodes.until(lambda: reported_age_s(node) < fleet_watcher.STALE_AFTER_S)
        assert member.state.version == 2

    run(tmp_path, scenario)


# Guards against heartbeats sent beside a snapshot, which say nothing of the leader's commit index.
def test_member_that_waits_for_a_snapshot_is_outdated(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        behind = next(ip for ip in controls.ips if ip != controls.leader())
        saved, known = controls.nodes[behind].member.journal, controls.nodes[behind].member.raft
        await fleet_nodes.until(lambda: saved.commit == known.commit)
        controls.kill(behind)
        await put_configuration(controls, 2)
        for node in controls.nodes.values():
            member = node.member
            await fleet_nodes.until(lambda member=member: member.state.version == 2)
            member.compact(time.monotonic())
        # The leader finds out at the first start that the member needs a snapshot.
        for life in ("first", "second"):
            snapshots: list[tuple] = []
            await controls.start(behind)
            node = controls.nodes[behind]
            member = node.member
            install = member.raft.on_install_snapshot
            member.raft.on_install_snapshot = lambda *args, seen=snapshots: seen.append(args)
            # Several heartbeats arrive between two snapshots.
            await fleet_nodes.until(lambda seen=snapshots: len(seen) >= 2)
            assert member.state.version == 1
            assert reported_age_s(node) > fleet_watcher.STALE_AFTER_S
            if life == "first":
                controls.kill(behind)
        member.raft.on_install_snapshot = install
        await fleet_nodes.until(lambda: reported_age_s(node) < fleet_watcher.STALE_AFTER_S)
        assert member.state.version == 2

    run(tmp_path, scenario)


# Guards against counting the age that a control VM reports anew from the arrival of its reply.
def test_entry_adds_its_own_wait_to_the_reported_age():
    now = 100.0
    watcher = fleet_watcher.FleetWatcher(
        fleet_nodes.make_settings("entry"),
        dialect.PlatformDialect(),
        None,
        lambda: now,
        lambda: None,
    )

    def receive_age(leader_age_s):
        watcher.apply(
            node_messages.WatchReply("f", 1, False, [], [], [], 0, b"", [], leader_age_s), "a"
        )

    receive_age(0.5 * fleet_watcher.STALE_AFTER_S)
    assert watcher.is_current()
    now += 0.4 * fleet_watcher.STALE_AFTER_S
    assert watcher.is_current()
    # A control VM that was confirmed earlier does not make the state older.
    receive_age(0.95 * fleet_watcher.STALE_AFTER_S)
    assert watcher.is_current()
    now += 0.2 * fleet_watcher.STALE_AFTER_S
    assert not watcher.is_current()
    receive_age(0.0)
    assert watcher.is_current()
