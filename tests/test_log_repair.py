"""Control VMs that fail permanently and are replaced: the group tolerates the next failure."""

import asyncio
import time

from merlinthread import errors
from merlinthread.coordination import raft_members
from merlinthread.nodes import fleet_watcher, log_member
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


def test_a_loss_once_a_replacement_has_had_its_time_leaves_a_majority(tmp_path):
    async def scenario(controls):
        set_catch_up(controls)
        await put_configuration(controls, 1)
        await replace(controls, controls.leader(), REPLACEMENT)
        await put_configuration(controls, 2)
        controls.kill(next(ip for ip in controls.nodes if ip != REPLACEMENT))
        await put_configuration(controls, 3)
        assert await read_version(controls) == 3

    run(tmp_path, scenario)


def test_a_control_vm_that_has_just_started_is_not_told_as_joined_to_a_majority(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 4)
        for ip in controls.ips:
            controls.kill(ip)
        await controls.start(controls.ips[0])
        alone = controls.nodes[controls.ips[0]]
        assert alone.changes_for(WATCH).leader_age_s > fleet_watcher.STALE_AFTER_S
        await controls.start(controls.ips[1])
        await fleet_nodes.until(
            lambda: alone.changes_for(WATCH).leader_age_s < fleet_watcher.STALE_AFTER_S
        )

    run(tmp_path, scenario)


def test_a_control_vm_that_can_not_follow_the_log_is_not_told_as_joined_to_a_majority(
    tmp_path, monkeypatch
):
    async def scenario(controls):
        await put_configuration(controls, 1)
        follower = next(ip for ip in controls.ips if ip != controls.leader())
        node = controls.nodes[follower]
        await fleet_nodes.until(
            lambda: node.changes_for(WATCH).leader_age_s < fleet_watcher.STALE_AFTER_S
        )

        def full(hard_state, entries, commit):
            raise errors.DiskFullError("no room")

        monkeypatch.setattr(node.member.journal, "save", full)
        await put_configuration(controls, 2)
        await fleet_nodes.until(
            lambda: node.changes_for(WATCH).leader_age_s > fleet_watcher.STALE_AFTER_S
        )
        assert node.member.state.version == 1
        monkeypatch.undo()
        await fleet_nodes.until(
            lambda: node.changes_for(WATCH).leader_age_s < fleet_watcher.STALE_AFTER_S
        )
        assert node.member.state.version == 2

    run(tmp_path, scenario)


def test_a_member_that_starts_alone_tells_the_last_change_that_was_acknowledged(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 4)
        await put_configuration(controls, 7)
        members = [node.member for node in controls.nodes.values()]
        await fleet_nodes.until(lambda: all(m.journal.commit == m.raft.commit for m in members))
        for ip in controls.ips:
            controls.kill(ip)
        await controls.start(controls.ips[0])
        alone = controls.nodes[controls.ips[0]]
        await fleet_nodes.until(lambda: alone.changes_for(WATCH).configuration_version == 7)

    run(tmp_path, scenario)


def test_a_watcher_prefers_a_control_vm_that_hears_a_leader_to_one_that_answers_first(tmp_path):
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


def test_a_joiner_that_knows_only_a_follower_is_taken_in(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        follower = next(ip for ip in controls.ips if ip != controls.leader())
        seeds, controls.ips = controls.ips, [follower]
        await controls.start(REPLACEMENT)
        controls.ips = seeds
        new = controls.nodes[REPLACEMENT].member
        await fleet_nodes.until(lambda: new.name in new.raft.log.membership.voters)

    run(tmp_path, scenario)


def test_a_voter_that_ends_as_planned_beside_its_successor_leaves_the_group_first(tmp_path):
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


def test_a_leader_that_ends_as_planned_first_finishes_the_change_of_members_under_way(tmp_path):
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
        gone = next(ip for ip in controls.nodes if ip not in (leader, REPLACEMENT))
        lost = controls.nodes[gone].member.name
        controls.kill(gone)
        # The removal is in the leader's log and not replicated yet.
        member.raft.change_membership(raft_members.MembershipChange(remove=lost), time.monotonic())
        assert member.raft.log.has_membership_change_after(member.raft.commit)
        await controls.nodes[leader].stop()
        fleet_nodes.abort_control_node(controls.nodes.pop(leader))
        await put_configuration(controls, 2)

    run(tmp_path, scenario)


def test_a_voter_that_is_needed_ends_without_leaving_the_group(tmp_path):
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


def test_an_empty_control_vm_asks_to_join_with_its_first_turn(tmp_path):
    async def scenario():
        asked = []

        class Recorder:
            async def call(self, address, message, timeout_s):
                asked.append((address, message.name))
                return node_messages.JoinReply(False)

        settings = fleet_nodes.make_settings(
            "new", control_port=7000, control_ips=["127.0.0.11"], data_folder=str(tmp_path / "new")
        )
        member = log_member.LogMember(
            settings, fleet_nodes.make_codec(), Recorder(), lambda: 50.0, None, None
        )
        member.members.request_join(50.0)
        await fleet_nodes.until(lambda: asked)
        assert asked == [("127.0.0.11:7000", member.name)]
        member.close()

    asyncio.run(scenario())


def test_a_new_leader_is_not_sure_before_it_has_committed_an_entry_of_its_term(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        member = controls.nodes[controls.leader()].member
        member.raft.term_start_index = member.raft.commit + 1
        member.current_at = float("-inf")
        member.update_current_at()
        assert member.staleness_s(time.monotonic()) == log_member.UNKNOWN_AGE_S
        member.raft.term_start_index = member.raft.commit
        member.update_current_at()
        assert member.staleness_s(time.monotonic()) < fleet_watcher.STALE_AFTER_S

    run(tmp_path, scenario)
