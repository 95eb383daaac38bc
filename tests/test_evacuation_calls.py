"""Evacuations at control VMs on loopback: calls of operators, failures and older builds."""

import asyncio
import contextlib
import json
import subprocess
import sys

import pytest

from merlinthread import errors
from merlinthread.coordination import fleet, fleet_state, levels
from merlinthread.nodes import fleet_watcher, node_settings
from merlinthread.protocol import node_messages
from tests import fleet_nodes
from tests.test_control_nodes import heartbeat, put_configuration

EVACUATIONS = levels.FormatLevel.EVACUATIONS
EVACUATE_S = node_settings.Bounds().evacuate_s
COMMITTED_WITHIN_S = 30.0


@contextlib.asynccontextmanager
async def configured(tmp_path, count=3):
    """Run control VMs with a configuration."""
    async with fleet_nodes.running_controls(tmp_path, count) as controls:
        await put_configuration(controls, 1)
        yield controls


async def until_levels_are_known(node, level=EVACUATIONS) -> list[str]:
    """Wait until a control VM knows that all others read a level; return their addresses."""
    others = node.member.other_addresses()
    await fleet_nodes.until(lambda: not node.member.levels.below(others, level))
    return others


async def until_evacuated(node, *zones: str, seconds=10.0) -> None:
    """Wait until the zones that a control VM has in its state are `zones`."""
    await fleet_nodes.until(lambda: node.member.state.evacuated == list(zones), seconds)


# Guards against a leader that refuses calls because it never heard from a member that was lost
# together with the former leader.
async def test_followers_learn_levels_of_all_members_from_heartbeats(tmp_path):
    async with configured(tmp_path) as controls:
        for number, (ip, node) in enumerate(controls.nodes.items()):
            beat = heartbeat(f"i-{number}", address=f"1.2.3.4:{80 + number}")
            assert (await controls.call(ip, "PUT", f"/instances/i-{number}", beat)).status == 200
            await until_levels_are_known(node)


async def test_evacuation_is_not_written_while_a_member_runs_an_older_build(tmp_path):
    async with configured(tmp_path) as controls:
        node = controls.nodes[controls.leader()]
        others = await until_levels_are_known(node, levels.NEWEST)
        node.member.levels.reported[others[0]] = levels.FormatLevel.HELD_REQUESTS
        reason = node.member.write_gate.reason_not_writable(
            EVACUATIONS, others, node.member.state.level, node.member.clock()
        )
        assert others[0] in reason and "newer builds" in reason
        # Its next reply reports the new level, as after an upgrade.
        await until_levels_are_known(node)
        assert await node.submit(fleet_state.EvacuateZone("zone-a"))
        for each in controls.nodes.values():
            await until_evacuated(each, "zone-a")
            assert each.member.state.level == EVACUATIONS


async def evacuate(controls, zone: str = "zone-a") -> None:
    await controls.until_acknowledged("POST", f"/evacuations/{zone}")


async def withdraw(controls, zone: str = "zone-a") -> None:
    await controls.until_acknowledged("DELETE", f"/evacuations/{zone}")


async def read_zones(controls) -> list[str]:
    response = await controls.until_acknowledged("GET", "/evacuations")
    return json.loads(response.body)["zones"]


async def test_repeated_calls_to_any_vm_are_acknowledged(tmp_path):
    async with configured(tmp_path) as controls:
        assert await read_zones(controls) == []
        await evacuate(controls)
        for ip in controls.ips:
            assert (await controls.call(ip, "POST", "/evacuations/zone%2Da")).status == 200
        assert await read_zones(controls) == ["zone-a"]
        await evacuate(controls, "zone-b")
        await withdraw(controls)
        for ip in controls.ips:
            assert (await controls.call(ip, "DELETE", "/evacuations/zone-a")).status == 200
        assert await read_zones(controls) == ["zone-b"]


async def test_evacuation_survives_kill_of_leader_and_of_all_control_vms(tmp_path):
    async with configured(tmp_path) as controls:
        await evacuate(controls)
        controls.kill(await controls.until_leader())
        assert await read_zones(controls) == ["zone-a"]
        await evacuate(controls, "zone-b")
        controls.kill_all()
        for ip in controls.ips:
            await controls.start(ip)
        assert await read_zones(controls) == ["zone-a", "zone-b"]


async def test_evacuation_survives_compaction_and_loss_of_a_disk(tmp_path):
    async with configured(tmp_path) as controls:
        await evacuate(controls)
        for node in controls.nodes.values():
            await until_evacuated(node, "zone-a")
            node.member.compact(node.member.clock())
        lost = await controls.until_leader()
        controls.kill(lost)
        await controls.start(lost, folder=f"{lost}-empty")
        assert await read_zones(controls) == ["zone-a"]
        await until_evacuated(controls.nodes[lost], "zone-a", seconds=15)


# Guards against a call that was accepted once and is refused while a VM is lost after all lost
# power.
async def test_calls_are_accepted_after_power_loss_with_a_vm_lost(tmp_path):
    async with configured(tmp_path) as controls:
        await evacuate(controls)
        controls.kill_all()
        for ip in controls.ips[:2]:
            await controls.start(ip)
        await evacuate(controls)
        await withdraw(controls)
        assert await read_zones(controls) == []


async def test_zones_are_not_listed_without_majority(tmp_path):
    async with configured(tmp_path) as controls:
        await evacuate(controls)
        remaining = await controls.until_leader()
        for ip in controls.ips:
            if ip != remaining:
                controls.kill(ip)
        await fleet_nodes.until(lambda: not controls.nodes[remaining].member.holds_lease())
        assert (await controls.call(remaining, "GET", "/evacuations")).status == 503
        assert (await controls.call(remaining, "POST", "/evacuations/zone-a")).status >= 500


def last_index(controls) -> int:
    return max(node.member.raft.log.last_index() for node in controls.nodes.values())


# Guards against a log that grows with each repeated call, and against a group that can no longer go
# back to the previous build although no zone was ever evacuated.
async def test_calls_that_change_nothing_are_not_written(tmp_path):
    async with configured(tmp_path) as controls:
        await controls.until_leader()
        before = last_index(controls)
        term = controls.nodes[controls.leader()].member.raft.hard_state.term
        await withdraw(controls)
        node = controls.nodes[controls.leader()]
        if node.member.raft.hard_state.term == term:
            assert last_index(controls) == before
        assert node.member.state.level == levels.LOWEST
        await evacuate(controls)
        await fleet_nodes.until(lambda: node.member.state.evacuated)
        for ip in controls.ips:
            await controls.call(ip, "POST", "/evacuations/zone-a")
        assert node.member.state.evacuation_revision == 1


async def until_committed(call, argument) -> bool:
    """Repeat a call, as operators do, until it is known to be committed; return its result.

    On a slow disk a commit may take longer than a control VM waits for it.
    """
    async with asyncio.timeout(COMMITTED_WITHIN_S):
        while True:
            with contextlib.suppress(
                TimeoutError, errors.NotLeaderError, errors.UnreachableError, errors.ControlError
            ):
                return await call(argument)
            await asyncio.sleep(0.02)


# Guards against an acknowledged evacuation that does not hold, since it shared the entry of an
# earlier call that precedes the withdrawal.
async def test_evacuation_after_a_withdrawal_does_not_share_the_entry_of_an_earlier_call(tmp_path):
    async with configured(tmp_path) as controls:
        leader = await controls.until_leader()
        follower = next(ip for ip in controls.ips if ip != leader)
        node = controls.nodes[follower]
        commit, is_committed, is_released = node.commit, asyncio.Event(), asyncio.Event()

        async def commit_with_late_reply(encoded):
            is_changed = await until_committed(commit, encoded)
            is_committed.set()
            await is_released.wait()
            return is_changed

        node.commit = commit_with_late_reply
        command = fleet_state.EvacuateZone("zone-a")
        first = asyncio.create_task(node.submit(command))
        await asyncio.wait_for(is_committed.wait(), COMMITTED_WITHIN_S)
        node.commit = commit
        await withdraw(controls)
        second = asyncio.create_task(until_committed(node.submit, command))
        # The second call looks for a commit to share in its first step.
        await asyncio.sleep(0)
        assert not first.done()
        is_released.set()
        await asyncio.gather(first, second)
        assert await read_zones(controls) == ["zone-a"]


# Guards against an acknowledged call that an earlier one undoes: its entry was in the leader's log
# but not committed, and the later call was acknowledged without an entry.
@pytest.mark.parametrize("is_evacuated", [False, True])
async def test_call_is_in_force_after_an_uncommitted_opposite_one(tmp_path, is_evacuated):
    async with configured(tmp_path) as controls:
        opposite: fleet_state.Command = fleet_state.EvacuateZone("zone-a")
        command: fleet_state.Command = fleet_state.WithdrawEvacuation("zone-a")
        if is_evacuated:
            await evacuate(controls)
            opposite, command = command, opposite
        node = controls.nodes[await controls.until_leader()]
        uncommitted = node.member.propose(node.member.commands.encode(opposite))
        await node.api.change_evacuation(command)
        await uncommitted
        assert await read_zones(controls) == (["zone-a"] if is_evacuated else [])


# Guards against control VMs that differ after calls of two operators, and against a lost call.
async def test_two_operators_at_once_leave_one_state(tmp_path):
    async with configured(tmp_path) as controls:
        await evacuate(controls)
        for _ in range(5):
            await asyncio.gather(
                evacuate(controls), withdraw(controls), evacuate(controls, "zone-b")
            )
        found = await read_zones(controls)
        assert "zone-b" in found
        for node in controls.nodes.values():
            await until_evacuated(node, *found)
        revisions = {node.member.state.evacuation_revision for node in controls.nodes.values()}
        assert len(revisions) == 1


@pytest.mark.parametrize(
    "zone",
    ["zone-x", "", "zone-a/", "%2e%2e%2fzone-a", "zone%00a", "%ff", "%zz"]
    + ["z" * 9000, "%C3" * 3000],
)
async def test_unknown_zone_is_refused_with_its_name_and_the_known_zones(tmp_path, zone):
    async with configured(tmp_path, 1) as controls:
        ip = controls.ips[0]
        for method in ("POST", "DELETE"):
            response = await controls.call(ip, method, f"/evacuations/{zone}")
            error = json.loads(response.body)
            assert (response.status, error["field"]) == (400, "zone")
            assert "known: zone-a, zone-b" in error["message"]
            assert len(error["message"]) < 300
        await evacuate(controls)
        assert await read_zones(controls) == ["zone-a"]


def make_watcher(controls) -> fleet_watcher.FleetWatcher:
    settings = fleet_nodes.make_settings(
        "entry", control_port=controls.port, control_ips=controls.ips
    )
    return fleet_nodes.make_watcher(settings)


@contextlib.contextmanager
def running(*watchers: fleet_watcher.FleetWatcher):
    """Run watchers, and cancel them afterwards."""
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(watcher.run()) for watcher in watchers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


def test_default_bound_covers_the_timers_of_entries():
    assert fleet_watcher.PROPAGATION_MAX_S < EVACUATE_S


async def test_entries_learn_of_evacuations_and_withdrawals(tmp_path):
    async with configured(tmp_path) as controls:
        watcher = make_watcher(controls)
        with running(watcher):
            await fleet_nodes.until(lambda: watcher.version)
            await evacuate(controls)
            await fleet_nodes.until(lambda: watcher.is_evacuated("zone-a"), 1.0)
            await withdraw(controls)
            await fleet_nodes.until(lambda: not watcher.is_evacuated("zone-a"), 1.0)


# Guards against an acknowledged evacuation that entries miss: only the leader knows that it is
# committed when it acknowledges the call.
@pytest.mark.timed
async def test_evacuation_reaches_entries_if_leader_is_killed_after_acknowledging(tmp_path):
    async with configured(tmp_path) as controls:
        watchers = [make_watcher(controls) for _ in range(3)]
        with running(*watchers):
            await fleet_nodes.until(lambda: all(watcher.version for watcher in watchers))
            leader = await controls.until_leader()
            await controls.nodes[leader].submit(fleet_state.EvacuateZone("zone-a"))
            controls.kill(leader)
            for watcher in watchers:
                await fleet_nodes.until(
                    lambda watcher=watcher: watcher.is_evacuated("zone-a"), EVACUATE_S
                )


async def test_entry_that_was_cut_off_during_the_call_learns_of_it(tmp_path):
    async with configured(tmp_path) as controls:
        watcher = make_watcher(controls)
        with running(watcher):
            await fleet_nodes.until(lambda: watcher.version)
            await evacuate(controls, "zone-b")
            await fleet_nodes.until(lambda: watcher.is_evacuated("zone-b"), 1.0)
        # Without contact, it goes on with what it knows.
        await evacuate(controls)
        await withdraw(controls, "zone-b")
        assert watcher.is_evacuated("zone-b") and not watcher.is_evacuated("zone-a")
        with running(watcher):
            await fleet_nodes.until(lambda: watcher.evacuations.zones == ["zone-a"], EVACUATE_S)


@pytest.mark.timed
async def test_entries_keep_evacuations_while_all_control_vms_lose_power(tmp_path):
    async with configured(tmp_path) as controls:
        watcher = make_watcher(controls)
        with running(watcher):
            await evacuate(controls)
            await fleet_nodes.until(lambda: watcher.is_evacuated("zone-a"), 1.0)
            controls.kill_all()
            await fleet_nodes.until(lambda: not watcher.is_fresh)
            assert watcher.is_evacuated("zone-a")
            for ip in controls.ips:
                await controls.start(ip)
            await withdraw(controls)
            await fleet_nodes.until(lambda: not watcher.is_evacuated("zone-a"), EVACUATE_S)


def watched_states(node, evacuations: int, position: int = 0) -> dict[str, str]:
    """Return the states of back ends in a reply to a node that has received up to `position`."""
    watch = node_messages.WatchRequest(
        "entry", node.watches.feed, position, 0, 0.0, 0, 0, evacuations
    )
    reported = node.watches.changes_for(watch).instances
    return {record.heartbeat.instance: record.heartbeat.state for record in reported}


# Guards against an entry of an older build that goes on sending to an evacuated zone.
async def test_node_that_does_not_read_evacuations_gets_back_ends_as_draining(tmp_path):
    async with configured(tmp_path, 1) as controls:
        node = controls.nodes[controls.leader()]
        in_b = heartbeat("i-2", address="1.2.3.5:80") | {"zone": "zone-b"}
        await controls.until_acknowledged("PUT", "/instances/i-1", heartbeat())
        await controls.until_acknowledged("PUT", "/instances/i-2", in_b)
        await fleet_nodes.until(lambda: len(node.registry.known) == 2)
        position = node.registry.position
        await evacuate(controls)
        await fleet_nodes.until(lambda: node.evacuated)
        # It is sent the change although the back ends themselves have not changed.
        assert watched_states(node, -1, position) == {"i-1": fleet.DRAINING}
        assert watched_states(node, -1) == {"i-1": fleet.DRAINING, "i-2": fleet.READY}
        assert watched_states(node, 0) == {"i-1": fleet.READY, "i-2": fleet.READY}
        # A back end that starts meanwhile is draining too.
        late = heartbeat("i-3", address="1.2.3.6:80")
        await controls.until_acknowledged("PUT", "/instances/i-3", late)
        await fleet_nodes.until(lambda: "i-3" in node.registry.known)
        assert watched_states(node, -1)["i-3"] == fleet.DRAINING
        await withdraw(controls)
        await fleet_nodes.until(lambda: not node.evacuated)
        assert set(watched_states(node, -1).values()) == {fleet.READY}


async def run_command(controls, *arguments: str) -> subprocess.CompletedProcess:
    """Run the command line tool with the addresses of the control VMs."""
    addresses = ",".join(f"{ip}:{controls.public_port}" for ip in controls.ips)
    command = [sys.executable, "-m", "merlinthread.cli.main", *arguments, "--controls", addresses]
    return await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)


async def test_command_line_evacuates_and_withdraws(tmp_path):
    async with configured(tmp_path) as controls:
        done = await run_command(controls, "evacuate", "zone-a", "--json")
        assert (done.returncode, json.loads(done.stdout)) == (
            0,
            {"zone": "zone-a", "evacuated": True},
        ), done.stderr
        shown = await run_command(controls, "evacuations", "--json")
        assert json.loads(shown.stdout) == {"zones": ["zone-a"]}
        assert "zone-a" in (await run_command(controls, "evacuations")).stdout
        done = await run_command(controls, "evacuate", "zone-a", "--withdraw")
        assert (done.returncode, "in use" in done.stdout) == (0, True), done.stderr
        assert "none" in (await run_command(controls, "evacuations")).stdout
        # A zone that is not UTF-8 must not end the command with a traceback.
        for zone, shown in (("zone x/y", "'zone x/y'"), ("zone-\udcff", "xff")):
            unknown = await run_command(controls, "evacuate", zone)
            assert unknown.returncode == 2, unknown.stderr
            assert shown in unknown.stderr and "known: zone-a, zone-b" in unknown.stderr


# Guards against an operator who is not told why a call is refused during an upgrade.
async def test_command_line_reports_member_of_older_build(tmp_path):
    async with configured(tmp_path) as controls:
        for node in controls.nodes.values():
            node.member.levels.get = lambda address: levels.FormatLevel.HELD_REQUESTS
        done = await run_command(controls, "evacuate", "zone-a", "--timeout-s", "2")
        assert done.returncode == 8
        assert "level 3" in done.stderr


# Guards against a call that is refused just when a zone is lost with the leader and another member,
# whose level the next leader would know only from having led before.
@pytest.mark.timed
async def test_zone_is_evacuated_after_loss_of_leader_and_another_member(tmp_path):
    async with configured(tmp_path, 5) as controls:
        for ip in controls.ips:
            member = controls.nodes[ip].member
            await fleet_nodes.until(lambda m=member: len(m.raft.log.membership.voters) == 5, 15)
            beat = heartbeat(f"i-{ip}", address=f"{ip}:80")
            assert (await controls.call(ip, "PUT", f"/instances/i-{ip}", beat)).status == 200
        for node in controls.nodes.values():
            await until_levels_are_known(node)
        leader = await controls.until_leader()
        lost = next(ip for ip in controls.ips if ip != leader)
        controls.kill(leader)
        controls.kill(lost)
        async with asyncio.timeout(EVACUATE_S):
            await evacuate(controls)
