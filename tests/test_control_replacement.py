"""Control VMs that fail permanently and are replaced: the group tolerates the next failure."""

import asyncio
import random
import time

from merlinthread import errors
from merlinthread.coordination import fleet_state, levels, raft_members
from merlinthread.nodes import fleet_watcher, leader_tracker, log_member
from merlinthread.protocol import node_messages
from tests import fleet_nodes
from tests.test_control_nodes import put_configuration, read_version, run

CATCH_UP_S = 4.0
REPLACEMENT = f"{fleet_nodes.NETWORK}.19"
WATCH = node_messages.WatchRequest("entry", "", 0, 0, 0.0)


def set_catch_up(controls) -> None:
    for node in controls.nodes.values():
        node.settings.bounds.catch_up_s = CATCH_UP_S


async def replace(controls, lost: str, new: str) -> None:
    """Stop one permanently, start its replacement, and wait for the catch-up time."""
    controls.kill(lost)
    await controls.start(new)
    set_catch_up(controls)
    ready_at = time.monotonic() + CATCH_UP_S
    await fleet_nodes.until(lambda: time.monotonic() >= ready_at)


def test_majority_survives_a_loss_after_a_replacement_caught_up(tmp_path):
    async def scenario(controls):
        set_catch_up(controls)
        await put_configuration(controls, 1)
        await replace(controls, controls.leader(), REPLACEMENT)
        await put_configuration(controls, 2)
        controls.kill(next(ip for ip in controls.nodes if ip != REPLACEMENT))
        await put_configuration(controls, 3)
        assert await read_version(controls) == 3

    run(tmp_path, scenario)


def test_control_vm_restarted_alone_reports_itself_stale(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 4)
        for ip in controls.ips:
            controls.kill(ip)
        await controls.start(controls.ips[0])
        restarted = controls.nodes[controls.ips[0]]
        assert restarted.watches.changes_for(WATCH).leader_age_s > fleet_watcher.STALE_AFTER_S
        await controls.start(controls.ips[1])
        await fleet_nodes.until(
            lambda: restarted.watches.changes_for(WATCH).leader_age_s < fleet_watcher.STALE_AFTER_S
        )

    run(tmp_path, scenario)


def test_control_vm_that_cannot_save_the_log_reports_itself_stale(tmp_path, monkeypatch):
    async def scenario(controls):
        await put_configuration(controls, 1)
        follower = next(ip for ip in controls.ips if ip != controls.leader())
        node = controls.nodes[follower]
        await fleet_nodes.until(
            lambda: node.watches.changes_for(WATCH).leader_age_s < fleet_watcher.STALE_AFTER_S
        )

        def raise_disk_full(hard_state, entries, commit):
            raise errors.DiskFullError("no room")

        monkeypatch.setattr(node.member.journal, "save", raise_disk_full)
        await put_configuration(controls, 2)
        await fleet_nodes.until(
            lambda: node.watches.changes_for(WATCH).leader_age_s > fleet_watcher.STALE_AFTER_S
        )
        assert node.member.state.version == 1
        monkeypatch.undo()
        await fleet_nodes.until(
            lambda: node.watches.changes_for(WATCH).leader_age_s < fleet_watcher.STALE_AFTER_S
        )
        assert node.member.state.version == 2

    run(tmp_path, scenario)


def test_member_restarted_alone_returns_the_last_acknowledged_change(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 4)
        await put_configuration(controls, 7)
        members = [node.member for node in controls.nodes.values()]
        await fleet_nodes.until(lambda: all(m.journal.commit == m.raft.commit for m in members))
        for ip in controls.ips:
            controls.kill(ip)
        await controls.start(controls.ips[0])
        restarted = controls.nodes[controls.ips[0]]
        await fleet_nodes.until(
            lambda: restarted.watches.changes_for(WATCH).configuration_version == 7
        )

    run(tmp_path, scenario)


def test_watcher_prefers_a_control_vm_that_hears_a_leader(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        for ip in controls.ips:
            controls.kill(ip)
        await controls.start(controls.ips[0])
        settings = fleet_nodes.make_settings(
            "entry", control_port=controls.port, control_ips=controls.ips
        )
        watcher = fleet_nodes.make_watcher(settings)
        assert await watcher.find_control_vm() == f"{controls.ips[0]}:{controls.port}"
        assert not watcher.is_fresh
        for ip in controls.ips[1:]:
            await controls.start(ip)
        await fleet_nodes.until(controls.leader)
        watcher.disconnect("another one is asked")
        await watcher.find_control_vm()
        assert watcher.is_fresh

    run(tmp_path, scenario)


def test_new_member_can_join_through_a_follower(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        follower = next(ip for ip in controls.ips if ip != controls.leader())
        seeds, controls.ips = controls.ips, [follower]
        await controls.start(REPLACEMENT)
        controls.ips = seeds
        new = controls.nodes[REPLACEMENT].member
        await fleet_nodes.until(lambda: new.name in new.raft.log.membership.voters)

    run(tmp_path, scenario)


# Guards against a new member that gets each earlier configuration, over a link that is too slow.
def test_new_member_gets_the_state_in_place_of_a_long_log(tmp_path):
    async def scenario(controls):
        await controls.until_leader()
        leader = controls.nodes[controls.leader()]
        body_bytes = 4096
        for version in range(1, 41):
            body = random.Random(version).randbytes(body_bytes)
            await leader.submit(fleet_state.Configure(version, body))
        await controls.start(REPLACEMENT)
        new = controls.nodes[REPLACEMENT].member
        await fleet_nodes.until(lambda: new.name in new.raft.log.membership.voters)
        await fleet_nodes.until(lambda: new.state.version == 40)
        assert leader.member.sender.statistics(new.name).sent_bytes < 10 * body_bytes
        # The others may need only its last entries.
        assert not leader.member.raft.log.snapshot.index

    run(tmp_path, scenario)


def test_replaced_voter_leaves_the_group_before_it_stops(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        leader = controls.leader()
        await controls.start(REPLACEMENT)
        new = controls.nodes[REPLACEMENT].member
        await fleet_nodes.until(lambda: new.name in new.raft.log.membership.voters)
        await controls.nodes[leader].stop()
        fleet_nodes.abort_control_node(controls.nodes.pop(leader))
        # A further failure right away: of three remaining voters, two are a majority.
        assert len(new.raft.log.membership.voters) == 3
        controls.kill(next(ip for ip in controls.nodes if ip != REPLACEMENT))
        await put_configuration(controls, 2)

    run(tmp_path, scenario)


def test_stopping_leader_finishes_a_membership_change_first(tmp_path):
    async def scenario(controls):
        set_catch_up(controls)
        await put_configuration(controls, 1)
        leader = controls.leader()
        await controls.start(REPLACEMENT)
        new = controls.nodes[REPLACEMENT].member
        await fleet_nodes.until(lambda: new.name in new.raft.log.membership.voters)
        member = controls.nodes[leader].member
        await fleet_nodes.until(
            lambda: not member.raft.log.has_membership_change_after(member.raft.commit)
        )
        failed_ip = next(ip for ip in controls.nodes if ip not in (leader, REPLACEMENT))
        failed_name = controls.nodes[failed_ip].member.name
        controls.kill(failed_ip)
        # The removal is in the leader's log and not replicated yet.
        member.raft.change_membership(
            raft_members.MembershipChange(remove=failed_name), time.monotonic()
        )
        assert member.raft.log.has_membership_change_after(member.raft.commit)
        await controls.nodes[leader].stop()
        fleet_nodes.abort_control_node(controls.nodes.pop(leader))
        await put_configuration(controls, 2)

    run(tmp_path, scenario)


def test_needed_voter_stops_without_leaving_the_group(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        leader = controls.leader()
        await controls.nodes[leader].stop()
        fleet_nodes.abort_control_node(controls.nodes.pop(leader))
        await put_configuration(controls, 2)
        await controls.start(leader)
        assert await read_version(controls) == 2
        membership = controls.nodes[leader].member.raft.log.membership
        assert sorted(membership.voters) == sorted(f"{ip}:{controls.port}" for ip in controls.ips)

    run(tmp_path, scenario)


def test_empty_control_vm_requests_to_join_at_once(tmp_path):
    async def scenario():
        sent = []

        class FakeRpcClient:
            async def call(self, address, message, timeout_s):
                sent.append((address, message.name))
                return node_messages.JoinReply(False)

        settings = fleet_nodes.make_settings(
            "new", control_port=7000, control_ips=["127.0.0.11"], data_folder=str(tmp_path / "new")
        )
        member = log_member.LogMember(
            settings, fleet_nodes.make_codec(), FakeRpcClient(), lambda: 50.0, None, None
        )
        member.member_changes.request_join(50.0)
        await fleet_nodes.until(lambda: sent)
        assert sent == [("127.0.0.11:7000", member.name)]
        member.close()

    asyncio.run(scenario())


def test_new_leader_reports_unknown_staleness_until_it_commits(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        member = controls.nodes[controls.leader()].member
        # Until it commits an entry of its own term, a leader may not know the last commits.
        member.raft.term_start_index = member.raft.commit + 1
        member.leader_tracker.current_at = float("-inf")
        member.leader_tracker.update_current_at(member.applied, member.state.version)
        assert member.leader_tracker.staleness_s(time.monotonic()) == leader_tracker.UNKNOWN_AGE_S
        member.raft.term_start_index = member.raft.commit
        member.leader_tracker.update_current_at(member.applied, member.state.version)
        assert member.leader_tracker.staleness_s(time.monotonic()) < fleet_watcher.STALE_AFTER_S

    run(tmp_path, scenario)


# Guards against a member that deletes its data because of a removal that is then never committed.
def test_member_is_told_of_its_removal_only_once_that_is_committed(tmp_path):
    async def scenario(controls):
        leader = controls.nodes[controls.leader()].member
        removed = next(name for name in leader.raft.log.membership.voters if name != leader.name)
        join = node_messages.JoinRequest(removed, levels.NEWEST)
        send = leader.sender.send
        leader.sender.send = lambda receiver, message: None
        leader.raft.change_membership(
            raft_members.MembershipChange(remove=removed), time.monotonic()
        )
        assert removed in leader.raft.log.membership.retired
        reply = await leader.member_changes.reply_to_join(join)
        assert not reply.is_removed
        leader.sender.send = send
        await fleet_nodes.until(
            lambda: not leader.raft.log.has_membership_change_after(leader.raft.commit)
        )
        reply = await leader.member_changes.reply_to_join(join)
        assert reply.is_removed

    run(tmp_path, scenario)
