"""Control VMs on loopback.

Guards against losing acknowledged changes, and against log entries that a build can't read.
"""

import asyncio
import dataclasses
import json
import time

import msgspec
import pytest

from merlinthread import errors
from merlinthread.coordination import fleet, fleet_state, instances, levels
from merlinthread.nodes import control_api, fleet_watcher
from merlinthread.platform import dialect
from merlinthread.protocol import error_responses, node_messages
from merlinthread.state import journal
from merlinthread.transport import node_bus
from tests import fleet_nodes


def run(tmp_path, scenario, count=3):
    async def run_scenario():
        async with fleet_nodes.running_controls(tmp_path, count) as controls:
            await scenario(controls)

    asyncio.run(run_scenario())


async def put_configuration(controls, version: int) -> None:
    await controls.until_acknowledged(
        "PUT", "/config", fleet_nodes.configuration(version, ["safe"])
    )


async def read_version(controls) -> int:
    response = await controls.until_acknowledged("GET", "/config")
    return json.loads(response.body)["version"]


def heartbeat(instance="i-1", state="ready", sequence=1, address="1.2.3.4:80") -> dict:
    return {
        "service": "safe",
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": sequence,
    }


def test_configuration_survives_kill_of_leader(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 3)
        controls.kill(controls.leader())
        assert await read_version(controls) == 3
        await put_configuration(controls, 7)
        assert await read_version(controls) == 7

    run(tmp_path, scenario)


def test_configuration_survives_kill_of_all_control_vms(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 4)
        for ip in controls.ips:
            controls.kill(ip)
        for ip in controls.ips:
            await controls.start(ip)
        assert await read_version(controls) == 4

    run(tmp_path, scenario)


def test_member_without_majority_sends_watchers_committed_configuration(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 4)
        await put_configuration(controls, 7)
        for ip in controls.ips:
            controls.kill(ip)
        alone = controls.ips[0]
        await controls.start(alone)
        watch = node_messages.WatchRequest("entry", "", 0, 0, 0.5)
        await fleet_nodes.until(
            lambda: controls.nodes[alone].watches.changes_for(watch).configuration_version >= 4, 3.0
        )
        assert not controls.leader()
        response = await controls.call(alone, "GET", "/config")
        assert response.status == 503, "a member without a majority returned a configuration"

    run(tmp_path, scenario)


def test_configuration_survives_loss_of_leader_disk(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 5)
        lost = controls.leader()
        controls.kill(lost)
        await controls.start(lost, folder=f"{lost}-empty")
        assert await read_version(controls) == 5
        new = controls.nodes[lost].member
        await fleet_nodes.until(lambda: new.name in new.raft.log.membership.voters, 15)
        assert len(new.raft.log.membership.voters) == 3
        # Another member fails right after the repair.
        other = next(ip for ip in controls.ips if ip != lost)
        controls.kill(other)
        assert await read_version(controls) == 5

    run(tmp_path, scenario)


def test_replacement_at_another_address_becomes_voter(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 2)
        for node in controls.nodes.values():
            node.settings.bounds.catch_up_s = 0.5
        killed = next(ip for ip in controls.ips if ip != controls.leader())
        controls.kill(killed)
        await controls.start(f"{fleet_nodes.NETWORK}.19")
        new = controls.nodes[f"{fleet_nodes.NETWORK}.19"].member
        await fleet_nodes.until(lambda: new.name in new.raft.log.membership.voters, 15)
        await fleet_nodes.until(lambda: len(new.raft.log.membership.voters) == 3, 15)
        assert await read_version(controls) == 2

    run(tmp_path, scenario)


def test_forwarded_change_that_is_not_committed_in_time_is_an_expected_error(tmp_path):
    """Guards against the error of a fault of this program for a leader that lost its majority."""

    async def scenario(controls):
        leader = controls.nodes[controls.leader()]
        command = leader.member.commands.encode(fleet_state.Depart("i-1", fleet.DRAINING))
        leader.member.propose = lambda command: asyncio.get_running_loop().create_future()
        with pytest.raises(errors.ControlError) as raised:
            await leader.dispatch_request(node_messages.CommandRequest(command))
        assert raised.value.kind is errors.ErrorKind.UNREACHABLE

    run(tmp_path, scenario)


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_change_committed_after_the_timeout_was_not_answered_as_not_run(tmp_path, is_forwarded):
    """Guards against an operator being told that a change had no effect that is in force later.

    Cause: the error of a change that is not committed in time had a kind with `ran` "no".
    """

    async def scenario(controls):
        await put_configuration(controls, 1)
        leader = controls.leader()
        member = controls.nodes[leader].member
        propose = member.propose

        async def propose_late(command: bytes) -> bool:
            # The request timeout must not cancel it, as it can't withdraw an entry.
            return await asyncio.shield(asyncio.create_task(propose_after_timeout(command)))

        async def propose_after_timeout(command: bytes) -> bool:
            await asyncio.sleep(control_api.FORWARD_TIMEOUT_S + 0.2)
            return await propose(command)

        member.propose = propose_late
        ip = next(ip for ip in controls.ips if (ip != leader) == is_forwarded)
        body = fleet_nodes.configuration(2, ["safe"])
        response = await controls.call(ip, "PUT", "/config", body)
        assert response.status == 503
        assert json.loads(response.body)["ran"] == error_responses.UNKNOWN
        await fleet_nodes.until(lambda: member.state.version == 2)

    run(tmp_path, scenario)


def test_older_or_equal_configuration_is_acknowledged_but_ignored(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 9)
        await put_configuration(controls, 8)
        other = fleet_nodes.configuration(9, ["safe", "unsafe"])
        await controls.until_acknowledged("PUT", "/config", other)
        response = await controls.until_acknowledged("GET", "/config")
        found = json.loads(response.body)
        assert found == fleet_nodes.configuration(9, ["safe"])

    run(tmp_path, scenario)


def test_invalid_configuration_is_rejected_whatever_its_version(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 9)
        for version in (1, 9, 20):
            body = fleet_nodes.configuration(version, ["safe"])
            body["routes"][0]["service"] = "nowhere"
            response = await controls.call(controls.ips[0], "PUT", "/config", body)
            assert response.status == 400
            assert b"nowhere" in response.body
        assert await read_version(controls) == 9

    run(tmp_path, scenario)


def test_leader_without_majority_rejects_reads_and_writes(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        remaining = controls.leader()
        for ip in controls.ips:
            if ip != remaining:
                controls.kill(ip)
        await fleet_nodes.until(lambda: not controls.nodes[remaining].member.holds_lease())
        for _ in range(2):
            body = fleet_nodes.configuration(2, ["safe"])
            assert (await controls.call(remaining, "PUT", "/config", body)).status >= 500
            assert (await controls.call(remaining, "GET", "/config")).status >= 500

    run(tmp_path, scenario)


def test_acknowledged_drain_survives_kill_of_leader(tmp_path):
    async def scenario(controls):
        await controls.until_acknowledged("PUT", "/instances/i-1", heartbeat())
        await controls.until_acknowledged(
            "PUT", "/instances/i-1", heartbeat(state="draining", sequence=2)
        )
        controls.kill(controls.leader())
        await fleet_nodes.until(controls.leader)
        # A delayed older heartbeat must not make the instance ready again.
        await controls.until_acknowledged("PUT", "/instances/i-1", heartbeat(sequence=1))
        for node in controls.nodes.values():
            states = [known.heartbeat.state for known in node.registry.known.values()]
            assert set(states) <= {fleet.DRAINING}

    run(tmp_path, scenario)


def test_watcher_receives_updates_after_kill_of_its_control_vm(tmp_path):
    async def scenario(controls):
        settings = fleet_nodes.make_settings(
            "entry", control_port=controls.port, control_ips=controls.ips
        )
        loop = asyncio.get_running_loop()
        watcher = fleet_nodes.make_watcher(settings)
        task = loop.create_task(watcher.run())
        await put_configuration(controls, 1)
        await fleet_nodes.until(lambda: watcher.version == 1)
        controls.kill(watcher.current_control_vm.split(":")[0])
        await put_configuration(controls, 2)
        await fleet_nodes.until(lambda: watcher.version == 2)
        await controls.until_acknowledged("PUT", "/instances/i-1", heartbeat())
        await fleet_nodes.until(lambda: "i-1" in watcher.instance_table.instances)
        await controls.until_acknowledged("DELETE", "/instances/i-1")
        await fleet_nodes.until(lambda: "i-1" not in watcher.instance_table.instances)
        await controls.until_acknowledged("POST", "/version-put", {"model": "m", "version": 2})
        await fleet_nodes.until(lambda: watcher.published_versions.named == {"m": 2})
        task.cancel()

    run(tmp_path, scenario)


def test_watcher_keeps_newest_configuration():
    settings = fleet_nodes.make_settings("entry")
    watcher = fleet_watcher.FleetWatcher(
        settings, dialect.PlatformDialect(), None, lambda: 0.0, lambda: None
    )
    entry = fleet_nodes.Entry()
    entry.node.watcher = watcher
    entry.apply_update(fleet_nodes.configuration(5, ["safe"]), {})
    entry.apply_update(fleet_nodes.configuration(4, ["safe"]), {})
    assert watcher.version == 5


def test_removed_member_rejoins_under_new_name(tmp_path):
    async def scenario(controls):
        ip = controls.ips[0]
        member = controls.nodes[ip].member
        old = member.name
        member.rejoin_as_new_member()
        assert member.name != old
        await fleet_nodes.until(lambda: member.name in member.raft.log.membership.voters, 15)
        await fleet_nodes.until(lambda: old not in member.raft.log.membership.voters, 15)

    run(tmp_path, scenario)


def test_changes_are_accepted_while_disk_of_leader_is_full(tmp_path, monkeypatch):
    async def scenario(controls):
        await put_configuration(controls, 1)
        leader = controls.nodes[controls.leader()].member

        def raise_disk_full(hard_state, entries, commit):
            raise errors.DiskFullError("no room")

        monkeypatch.setattr(leader.journal, "save", raise_disk_full)
        await put_configuration(controls, 2)
        monkeypatch.undo()
        assert await read_version(controls) == 2
        await fleet_nodes.until(lambda: leader.state.version == 2)

    run(tmp_path, scenario)


@pytest.mark.parametrize("count", [1, 5])
def test_one_or_five_control_vms_form_a_group(tmp_path, count):
    async def scenario(controls):
        await put_configuration(controls, 3)
        for node in controls.nodes.values():
            membership = node.member.raft.log.membership
            await fleet_nodes.until(lambda membership=membership, n=node: n.member.applied > 0, 15)
        leader = controls.nodes[controls.leader()].member
        await fleet_nodes.until(lambda: len(leader.raft.log.membership.voters) == count, 15)
        assert await read_version(controls) == 3

    run(tmp_path, scenario, count)


def test_control_vm_rejects_messages_for_other_nodes(tmp_path):
    async def scenario(controls):
        caller = node_bus.RpcClient(fleet_nodes.make_codec())
        address = f"{controls.ips[0]}:{controls.port}"
        with pytest.raises(errors.MerlinthreadError):
            await caller.call(address, node_messages.LoadSubscription("x"), 1.0)

    run(tmp_path, scenario)


def test_member_with_lost_disk_does_not_elect_outdated_member(tmp_path):
    async def scenario(controls):
        first, second, behind = controls.ips
        await put_configuration(controls, 1)
        controls.kill(behind)
        await fleet_nodes.until(controls.leader)
        await put_configuration(controls, 2)
        for ip in (first, second):
            controls.kill(ip)
        await controls.start(second, folder="empty")
        await controls.start(behind)
        for _ in range(100):
            for ip in (second, behind):
                response = await controls.call(ip, "GET", "/config")
                assert response.status != 200, "an outdated configuration was returned"
            await asyncio.sleep(0.02)
        await controls.start(first)
        assert await read_version(controls) == 2

    run(tmp_path, scenario)


def version_age_after_apply(controls, version: int) -> float:
    """Apply a published version on a follower; return the age that it reports."""
    follower = next(ip for ip in controls.ips if ip != controls.leader())
    node = controls.nodes[follower]
    member = node.member
    command = member.commands.encode(fleet_state.NameVersion("m", version))
    member.apply(journal.Entry(member.applied + 1, member.raft.hard_state.term, "command", command))
    versions = node.watches.changes_for(node_messages.WatchRequest("entry", "", 0, 0, 0.0)).named
    return next(named.age_s for named in versions if named.model == "m")


def test_named_version_age_includes_duration_of_partition(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        follower = next(ip for ip in controls.ips if ip != controls.leader())
        tracker = controls.nodes[follower].member.leader_tracker
        await fleet_nodes.until(lambda: tracker.staleness_s(time.monotonic()) < 0.5)
        assert version_age_after_apply(controls, 1) < 0.5
        # A version published during a partition may be as old as the partition.
        tracker.current_at = time.monotonic() - 7.0
        assert version_age_after_apply(controls, 2) >= 7.0

    run(tmp_path, scenario)


def test_leader_reports_small_age_for_version_just_committed(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        leader = controls.nodes[controls.leader()]
        leader.member.leader_tracker.current_at = float("-inf")
        await controls.until_acknowledged("POST", "/version-put", {"model": "m", "version": 2})
        versions = leader.watches.changes_for(
            node_messages.WatchRequest("entry", "", 0, 0, 0.0)
        ).named
        assert versions[0].age_s < 3.0

    run(tmp_path, scenario)


# Guards against an entry that starts between two publications and begins requests on a version that
# the first one has superseded, until the second one is required.
def test_node_that_starts_between_publications_learns_the_times_of_both(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        for version in (2, 3):
            await controls.until_acknowledged(
                "POST", "/version-put", {"model": "m", "version": version}
            )
            await asyncio.sleep(0.1)
        leader = controls.nodes[controls.leader()]
        request = node_messages.WatchRequest("entry", "", 0, 0, 0.0)
        watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
        now = leader.clock()
        watcher.published_versions.apply(leader.watches.changes_for(request).named, now)
        times = watcher.published_versions.named_at["m"]
        assert sorted(times) == [2, 3] and times[3] - times[2] >= 0.1
        between = now + leader.settings.bounds.version_s - (now - times[2])
        versions = watcher.published_versions
        assert versions.newest_version_with_age("m", between, leader.settings.bounds.version_s) == 2

    run(tmp_path, scenario)


# Guards against entries that take a version for younger than it is, and begin requests on the one
# before it, since its publication was committed twice (repeated at another control VM).
def test_publication_that_is_committed_twice_does_not_make_its_version_younger(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        assert version_age_after_apply(controls, 2) < 0.2
        await asyncio.sleep(0.3)
        assert version_age_after_apply(controls, 2) >= 0.3

    run(tmp_path, scenario)


def test_watcher_keeps_smallest_age_reported_for_version():
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))

    def receive(age_s: float) -> None:
        named = [node_messages.NamedVersion("m", 2, age_s)]
        watcher.published_versions.apply(named, 100.0)

    receive(60.0)
    receive(3.0)
    receive(30.0)
    assert watcher.published_versions.named_at["m"][2] == 97.0
    # A difference that network latency alone can explain does not change the time.
    receive(2.0)
    assert watcher.published_versions.named_at["m"][2] == 97.0


def test_watcher_restores_instance_wrongly_replaced():
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))

    def receive(instance: str, age_s: float, gone: list[str]) -> None:
        body = dialect.bodies.parse_heartbeat(instance, json.dumps(heartbeat(instance)).encode())
        reported = [instances.Instance(body, age_s)]
        watcher.apply(node_messages.WatchReply("f", 1, False, reported, gone, [], 0, b"", [], 0.0))

    receive("new", 0.5, [])
    receive("old", 0.0, [])
    receive("new", 0.1, ["old"])
    assert set(watcher.instance_table.instances) == {"new"}
    receive("old", 0.0, [])
    assert set(watcher.instance_table.instances) == {"new"}


def test_state_survives_power_loss_with_loss_of_leader_disk(tmp_path):
    """Guards against losing acknowledged changes if all VMs lose power as one disk fails."""

    async def scenario(controls):
        for version in (5, 6):
            await put_configuration(controls, version)
        await controls.until_acknowledged("POST", "/version-put", {"model": "m", "version": 2})
        await controls.until_acknowledged("DELETE", "/instances/i-gone")
        lost = controls.leader()
        for ip in controls.ips:
            controls.kill(ip)
        for ip in controls.ips:
            await controls.start(ip, folder=f"{ip}-empty" if ip == lost else "")
        assert await read_version(controls) == 6
        for node in controls.nodes.values():
            # The departure is the last entry of the log.
            await fleet_nodes.until(lambda node=node: node.member.state.departed)
            assert node.member.state.named == {"m": 2}
            assert node.member.state.departed == {"i-gone": fleet.GONE}

    run(tmp_path, scenario)


def test_unreadable_command_is_rejected_with_level_and_remedy(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 5)
        leader = controls.nodes[controls.leader()].member
        for command in (("fleet.of_tomorrow", {"x": 1}), ("fleet.configure", {"version": "six"})):
            with pytest.raises(errors.ControlError, match=f"level {levels.NEWEST}.*newer one"):
                leader.propose(msgspec.msgpack.encode(command))
        await put_configuration(controls, 7)
        assert await read_version(controls) == 7

    run(tmp_path, scenario)


def make_unable_to_read_versions(node):
    """Make a control VM unable to read published versions, like an older build."""
    del node.member.commands.decoders["fleet.name_version"]


def test_member_stops_at_unreadable_log_entry_while_others_continue(
    tmp_path,
):
    async def scenario(controls):
        await put_configuration(controls, 5)
        leader = controls.leader()
        old_ip, other = [ip for ip in controls.ips if ip != leader]
        old = controls.nodes[old_ip].member
        make_unable_to_read_versions(controls.nodes[old_ip])
        await controls.until_acknowledged("POST", "/version-put", {"model": "m", "version": 2})
        await fleet_nodes.until(lambda: old.blocked_at)
        # It still votes: the leader commits with its vote after the other follower is killed.
        controls.kill(other)
        await put_configuration(controls, 7)
        assert (old.state.version, old.state.named) == (5, {})
        assert old.applied == old.blocked_at - 1
        assert old.leader_tracker.staleness_s(old.clock()) > 0
        await fleet_nodes.until(lambda: old.raft.log.last_index() > old.blocked_at)
        # It makes no snapshots and never becomes leader.
        assert not old.is_due_for_compaction()
        await controls.start(other)
        await fleet_nodes.until(lambda: controls.nodes[other].member.state.version == 7)
        controls.kill(leader)
        await fleet_nodes.until(lambda: controls.leader() == other)
        await put_configuration(controls, 9)
        # A newer build started on the same data folder applies the rest of the log.
        controls.kill(old_ip)
        await controls.start(old_ip)
        new = controls.nodes[old_ip].member
        await fleet_nodes.until(lambda: new.state.version == 9 and new.state.named == {"m": 2})
        assert not new.blocked_at

    run(tmp_path, scenario)


def test_snapshot_of_higher_level_is_not_restored(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 5)
        member = controls.nodes[controls.leader()].member
        state = dataclasses.replace(member.state, version=9, level=levels.NEWEST + 1)
        member.restore(journal.Snapshot(member.applied + 5, 1, b"", msgspec.msgpack.encode(state)))
        assert (member.state.version, member.blocked_at) == (5, member.applied + 5)

    run(tmp_path, scenario)


def test_hold_is_committed_only_once_all_members_can_read_it(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 5)
        node = controls.nodes[controls.leader()]
        others = node.member.other_addresses()
        await fleet_nodes.until(lambda: not node.member.levels.below(others, levels.NEWEST))
        command = fleet_state.PlaceHold("f", "label", ["i-1"], 1)
        # One member runs an older build, whose replies report no level.
        node.member.levels.reported[others[0]] = 0
        with pytest.raises(errors.ControlError, match=f"level 2.*{others[0]}.*newer builds"):
            node.member.propose(node.member.commands.encode(command))
        # Its next reply reports a level, as after an update to a newer build.
        await fleet_nodes.until(lambda: not node.member.levels.below(others, levels.NEWEST))
        assert await node.submit(command)
        for each in controls.nodes.values():
            await fleet_nodes.until(lambda each=each: "f" in each.member.state.held)
            assert each.member.state.level == levels.FormatLevel.HELD_REQUESTS

    run(tmp_path, scenario)


def test_join_with_level_below_log_is_rejected(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 5)
        node = controls.nodes[controls.leader()]
        node.member.state.level = levels.NEWEST + 1
        join = node_messages.JoinRequest("10.0.0.9:1#new", levels.NEWEST)
        with pytest.raises(
            errors.ControlError, match=rf"reads up to level {levels.NEWEST}.* start a build"
        ):
            await node.member.member_changes.reply_to_join(join)
        # A build that reports no level is admitted.
        old = node_messages.JoinRequest("10.0.0.9:1#old")
        assert not (await node.member.member_changes.reply_to_join(old)).is_removed

    run(tmp_path, scenario)


def test_unknown_error_kind_is_raised_as_internal_error():
    async def scenario():
        codec = fleet_nodes.make_codec()

        async def refuse(message):
            return node_messages.ErrorReply("of_tomorrow", "no")

        listener = node_bus.RpcServer(codec, refuse)
        port = fleet_nodes.free_port()
        await listener.listen("127.0.0.1", port)
        with pytest.raises(errors.MerlinthreadError) as found:
            await node_bus.RpcClient(codec).call(
                f"127.0.0.1:{port}", node_messages.Acknowledgement(), 1.0
            )
        assert (found.value.kind, found.value.message) == (errors.ErrorKind.INTERNAL, "no")
        listener.server.listener.close()

    asyncio.run(scenario())


def test_new_level_is_writable_after_rollback_window():
    level, others = levels.FormatLevel.HELD_REQUESTS, ["10.0.0.2:1", "10.0.0.3:1"]
    members = levels.MemberLevels()
    gate = levels.WriteGate(members, first_level=0)

    def reason(now, written=levels.LOWEST):
        gate.update(others, now)
        return gate.reason_not_writable(level, others, written, now)

    members.record_reported(others[0], level)
    members.record_reported(others[1], 0)
    assert f"{others[1]} are not known" in reason(10.0)
    members.record_reported(others[1], level)
    assert "going back is possible" in reason(20.0)
    assert "going back" in reason(20.0 + levels.ROLLBACK_WINDOW_S - 0.1)
    # A rollback of one VM restarts the rollback window.
    members.record_reported(others[0], 0)
    assert reason(25.0)
    members.record_reported(others[0], level)
    assert reason(30.0)
    assert reason(30.0 + levels.ROLLBACK_WINDOW_S - 0.1)
    assert not reason(30.0 + levels.ROLLBACK_WINDOW_S)


def test_new_level_is_writable_at_once_without_older_builds():
    level, others = levels.FormatLevel.HELD_REQUESTS, ["10.0.0.2:1"]
    members = levels.MemberLevels()
    members.record_reported(others[0], level)
    gate = levels.WriteGate(members, first_level=0)
    assert gate.reason_not_writable(level, others, levels.LOWEST, 1.0)
    assert not gate.reason_not_writable(
        level, others, level, 1.0
    ), "an entry of this level was written before"
    assert not levels.WriteGate(members, level).reason_not_writable(
        level, others, levels.LOWEST, 1.0
    )
    # A build that reports no level replied to a level 2 request; then a newer build replaced it.
    members.record_reported(others[0], 0)
    members.record_inferred(others[0], level)
    assert not gate.reason_not_writable(level, others, levels.LOWEST, 1.0)
    members.record_reported(others[0], level)
    assert not gate.reason_not_writable(level, others, levels.LOWEST, 1.0)


def test_inferred_level_is_dropped_for_unreachable_member():
    level, other = levels.FormatLevel.HELD_REQUESTS, "10.0.0.2:1"
    members = levels.MemberLevels()
    assert members.below([other], level) == [other], "a member that never replied"
    assert members.without_level([other]) == [], "a member that never replied is not probed"
    members.record_reported(other, 0)
    assert members.without_level([other]) == [other]
    members.record_inferred(other, level)
    assert members.below([other], level) == members.without_level([other]) == []
    members.record_unreachable(other)
    assert members.below([other], level) == [other]
    members.record_reported(other, level)
    members.record_unreachable(other)
    assert (
        members.below([other], level) == []
    ), "a reported level stays until another one is reported"


def test_group_founded_by_this_build_has_no_rollback_window(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 5)
        for ip in controls.ips:
            controls.kill(ip)
            await controls.start(ip)
        await fleet_nodes.until(controls.leader)
        node = controls.nodes[controls.leader()]
        assert node.member.membership.first_level == levels.NEWEST
        others = node.member.other_addresses()
        await fleet_nodes.until(lambda: not node.member.levels.below(others, levels.NEWEST))
        assert await node.submit(fleet_state.PlaceHold("f", "label", ["i-1"], 1))

    run(tmp_path, scenario)
