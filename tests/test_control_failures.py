"""Fault-injection tests of real control VMs: the bundle in force never reverts."""

import concurrent.futures
import resource
import types
import uuid

import pytest

from bench import fleet as fleets
from bench import operators, processes
from merlinthread import errors
from merlinthread.state import records
from merlinthread.transport import http_client

SMALL = fleets.Shape(
    zones=("zone-a", "zone-b", "zone-c"),
    regions=("region-1",),
    engines_per_zone=0,
    services=0,
    through_proxy=True,
)


def make_bundle(version: int, note: str = "") -> dict:
    return fleets.simple_bundle(version, {"hint": ("a" * 64, 100)}, note=note)


def entry_generations(fleet: fleets.Fleet) -> list[int]:
    """Return the generation that each entry enforces, from its metrics."""
    found = []
    for vm in fleet.entries():
        text = fleet.http.request("GET", f"http://{vm.http}/metrics").body.decode()
        line = next(x for x in text.splitlines() if x.startswith("merlinthread_generation "))
        found.append(int(float(line.split()[1])))
    return found


def wait_for_leader(fleet: fleets.Fleet) -> fleets.Vm:
    """Wait for a leader and return its VM; under load the lease may expire briefly."""
    return processes.wait_for("a leader", fleet.leader, 15)


def wait_for_generation(fleet: fleets.Fleet, generation: int, timeout_s: float = 5.0) -> None:
    """Wait until each entry enforces the generation or a later one.

    An entry that refuses connections is taken not to enforce it yet.
    """

    def is_enforced_by_all() -> bool:
        try:
            return all(found >= generation for found in entry_generations(fleet))
        except http_client.NotSentError:
            return False

    processes.wait_for(
        f"generation {generation} in force everywhere", is_enforced_by_all, timeout_s
    )


def test_wait_for_generation_tolerates_a_refused_connection():
    """Guards against a failure if an entry does not accept connections yet."""
    calls = []

    def request(method: str, url: str) -> types.SimpleNamespace:
        calls.append(url)
        if len(calls) == 1:
            raise http_client.NotSentError("connection refused")
        return types.SimpleNamespace(body=b"merlinthread_generation 1.0\n")

    fleet = types.SimpleNamespace(
        entries=lambda: [types.SimpleNamespace(http="127.0.0.1:1")],
        http=types.SimpleNamespace(request=request),
    )
    wait_for_generation(fleet, 1)
    assert len(calls) == 2
    with pytest.raises(TimeoutError):
        wait_for_generation(fleet, 2, 0.1)


def test_each_bundle_stage_survives_a_kill_of_the_leader(make_fleet):
    fleet = make_fleet(SMALL)
    operator = operators.Operator(fleet)
    generation = 0
    for number, stage in enumerate(("propose", "sign", "roll")):
        version = number + 1
        for step in ("propose", "sign", "roll"):
            result = {
                "propose": lambda v=version: operator.propose(make_bundle(v)),
                "sign": lambda v=version: operator.sign(make_bundle(v)),
                "roll": lambda v=version: operator.roll(v),
            }[step]()
            generation = max(generation, result.generation)
            if step == stage:
                leader = wait_for_leader(fleet)
                leader.process.kill()
                processes.wait_for("a new leader", lambda: fleet.leader(), 10)
                fleet.restart(leader.name)
        wait_for_generation(fleet, generation)
    history = operator.history()
    assert [roll.generation for roll in history.rolls] == [3, 2, 1]
    assert {record.version for record in history.bundles} == {1, 2, 3}


def test_each_new_leader_learns_of_all_agents(make_fleet):
    fleet = make_fleet(fleets.dataclasses.replace(SMALL, services=3))
    leader_names = set()
    for _ in range(3):
        leader = processes.wait_for("a leader", lambda: fleet.leader(), 10)
        leader_names.add(leader.name)
        processes.wait_for("three agents", lambda: len(fleet.status().get("agents", [])) == 3, 15)
        leader.process.kill()
        processes.wait_for("another leader", lambda: fleet.leader(), 10)
        fleet.restart(leader.name)
    assert len(leader_names) >= 2


def test_roll_resent_to_a_new_leader_returns_the_first_result(make_fleet):
    fleet = make_fleet(SMALL)
    operator = operators.Operator(fleet)
    request_id = uuid.uuid4().hex
    operator.propose(make_bundle(1))
    operator.sign(make_bundle(1))
    first = operator.roll(1, request_id=request_id)
    wait_for_leader(fleet).process.kill()
    processes.wait_for("a new leader", lambda: fleet.leader(), 10)
    assert operator.roll(1, request_id=request_id) == first
    assert operator.roll(1).generation == first.generation + 1


def test_frozen_leader_can_neither_commit_nor_answer_after_it_resumes(make_fleet):
    fleet = make_fleet(SMALL)
    operator = operators.Operator(fleet)
    operator.propose_and_roll(make_bundle(1))
    suspended = wait_for_leader(fleet)
    suspended.process.suspend()
    processes.wait_for("a new leader", lambda: fleet.leader(), 10)
    result = operator.propose_and_roll(make_bundle(2))
    wait_for_generation(fleet, result.generation)
    suspended.process.resume()
    stale = fleet.get(suspended.http, "/v1/status")
    assert stale is None or stale["generation"] >= result.generation
    processes.wait_for(
        "the resumed control VM to follow",
        lambda: suspended.process.events("following"),
    )
    wait_for_generation(fleet, result.generation)
    assert operator.history().rolls[0].generation == result.generation


@pytest.mark.parametrize(
    "faults", [{"drop_to_upstream": True}, {"drop_to_upstream": True, "drop_from_upstream": True}]
)
def test_partitioned_zone_keeps_its_generation_and_catches_up(make_fleet, faults):
    fleet = make_fleet(SMALL)
    operator = operators.Operator(fleet)
    first = operator.propose_and_roll(make_bundle(1))
    wait_for_generation(fleet, first.generation)
    leader = wait_for_leader(fleet)
    partitioned_entry = next(
        vm for vm in fleet.entries() if vm.settings["availability_zone"] != "zone-a"
    )
    zone = partitioned_entry.settings["availability_zone"]
    inside = {vm.name for vm in fleet.vms.values() if vm.settings["availability_zone"] == zone}
    buses = {fleet.vms[name].bus: name for name in inside}
    buses |= {
        peer["log_bus"]: peer["name"] for peer in fleet.control_peers if peer["name"] in inside
    }
    links = []
    for name in fleet.proxy.links:
        source, _, destination = name.partition(">")
        destination_name = buses.get(destination, destination)
        if (source in inside) != (destination_name in inside):
            links.append(name)
    fleet.proxy.set(links, **faults)
    fleet.proxy.links[links[0]].reset_all()
    if leader.name in inside:
        processes.wait_for(
            "a leader outside",
            lambda: (found := fleet.leader()) and found.name not in inside,
            15,
        )
    outside = [vm.http for vm in fleet.controls() if vm.name not in inside]
    operator.controls.addresses = outside
    result = operator.propose_and_roll(make_bundle(2))
    assert result.generation == 2
    generations = dict(
        zip([vm.name for vm in fleet.entries()], entry_generations(fleet), strict=True)
    )
    assert generations[partitioned_entry.name] >= 1
    fleet.proxy.set(links)
    wait_for_generation(fleet, 2, 15)


def test_second_loss_is_survived_after_a_lost_disk_is_replaced(make_fleet):
    fleet = make_fleet(SMALL)
    operator = operators.Operator(fleet)
    operator.propose_and_roll(make_bundle(1))
    processes.wait_for(
        "the recorded identities of the members",
        lambda: any(vm.process.events("members_change") for vm in fleet.controls()),
    )
    leader = wait_for_leader(fleet)
    lost = next(vm for vm in fleet.controls() if vm.name != leader.name)
    lost.process.kill()
    fleet.remove_data_folder(lost.name)
    fleet.restart(lost.name)
    assert lost.process.wait(20) == 1, "a lost disk must not come back under its old name"
    assert lost.process.events("identity_lost")

    new = fleet.replace_control(lost.name)
    processes.wait_for(
        "the new control VM to vote and the lost one to be gone",
        lambda: {m["name"]: m["role"] for m in fleet.status().get("members", [])}
        == {vm.name: "voter" for vm in fleet.controls() if vm.name != lost.name},
        30,
    )
    second = next(
        vm for vm in fleet.controls() if vm.name not in (lost.name, new.name, leader.name)
    )
    second.process.kill()
    operator = operators.Operator(fleet)
    processes.wait_for("a leader", lambda: fleet.leader(), 15)
    assert [record.version for record in operator.history().bundles] == [1]
    result = operator.propose_and_roll(make_bundle(2))
    wait_for_generation(fleet, result.generation, 10)


def test_one_of_8_concurrent_proposals_of_a_version_wins(make_fleet):
    fleet = make_fleet(SMALL)
    for number in range(8):
        fleet.add_operator(f"op-{number}")

    def race(number: int) -> str:
        operator = operators.Operator(fleet, f"op-{number}")
        try:
            return operator.propose(make_bundle(5, note=f"by {number}")).digest
        except errors.MerlinthreadError as error:
            assert error.kind == errors.ErrorKind.VERSION_CONFLICT
            return "lost to " + error.message.split("digest ")[1].split(";")[0]

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        results = list(pool.map(race, range(8)))
    winners = [result for result in results if not result.startswith("lost")]
    assert len(winners) == 1
    assert {r for r in results if r.startswith("lost")} == {f"lost to {winners[0]}"}


def test_generation_survives_1000_changes_and_a_restart_of_all(make_fleet):
    fleet = make_fleet(
        fleets.Shape(
            zones=("zone-a",),
            regions=("region-1",),
            engines_per_zone=0,
            services=0,
            control={"compact_after_entries": 200},
        )
    )
    operator = operators.Operator(fleet)
    operator.propose_and_roll(make_bundle(1))
    for _ in range(999):
        last = operator.roll(1, is_back=True)
    assert last.generation == 1000
    for vm in fleet.controls():
        vm.process.kill()
    for entry in fleet.entries():
        entry.process.kill()
    for vm in [*fleet.controls(), *fleet.entries()]:
        fleet.restart(vm.name)
    processes.wait_for("a leader", lambda: fleet.leader(), 15)
    wait_for_generation(fleet, 1000, 10)
    assert operator.history().rolls[0].generation == 1000
    for vm in fleet.controls():
        folder = fleet.folder / "data" / vm.name
        assert sum(path.stat().st_size for path in folder.iterdir()) < 2_000_000


def test_damaged_log_is_refused_and_the_other_members_continue(make_fleet):
    fleet = make_fleet(SMALL)
    operator = operators.Operator(fleet)
    operator.propose_and_roll(make_bundle(1))
    damaged = next(vm for vm in fleet.controls() if vm.name != wait_for_leader(fleet).name)
    processes.wait_for(
        "the control VM to apply the roll",
        lambda: "applied_roll" in damaged.process.log.read_text(),
        15,
    )
    operator.propose_and_roll(make_bundle(2))
    path = next((fleet.folder / "data" / damaged.name).glob("log-*.bin"))
    processes.wait_for(
        "a second record in the log file",
        lambda: len(records.read_records(path.read_bytes(), path)[0]) > 1,
        15,
    )
    damaged.process.kill()
    data = bytearray(path.read_bytes())
    # Damage to the last record would be indistinguishable from an interrupted write.
    data[records.HEADER.size] ^= 0x10
    path.write_bytes(data)
    fleet.restart(damaged.name)
    assert damaged.process.wait(15) == 13
    assert f"log_damaged: {path}" in damaged.process.log.read_text()
    assert operator.propose_and_roll(make_bundle(3)).generation == 3


def test_leader_with_a_full_disk_is_replaced_and_loses_nothing(make_fleet):
    fleet = make_fleet(SMALL)
    operator = operators.Operator(fleet)
    operator.propose_and_roll(make_bundle(1))
    full = wait_for_leader(fleet)
    size = next((fleet.folder / "data" / full.name).glob("log-*.bin")).stat().st_size
    limit = (size, resource.RLIM_INFINITY)
    resource.prlimit(full.process.handle.pid, resource.RLIMIT_FSIZE, limit)
    result = operator.propose_and_roll(make_bundle(2))
    assert result.generation == 2
    assert wait_for_leader(fleet).name != full.name
    assert full.process.is_running()
    unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    resource.prlimit(full.process.handle.pid, resource.RLIMIT_FSIZE, unlimited)
    wait_for_generation(fleet, 2, 10)
    other = next(
        vm for vm in fleet.controls() if vm.name not in (full.name, wait_for_leader(fleet).name)
    )
    other.process.kill()
    processes.wait_for("a leader", lambda: fleet.leader(), 15)
    assert operator.propose_and_roll(make_bundle(3)).generation == 3


def test_a_second_process_on_one_data_folder_is_refused(make_fleet):
    fleet = make_fleet(SMALL)
    vm = fleet.controls()[0]
    settings = dict(vm.settings, http={"address": "127.0.0.1", "port": fleet.ports.allocate()})
    second = fleet.add_daemon(dict(settings, name=vm.name), process_name="twin")
    assert second.process.wait(15) == 13
    assert "folder_in_use" in second.process.log.read_text()


def test_roll_without_a_majority_is_refused(make_fleet):
    fleet = make_fleet(SMALL)
    operator = operators.Operator(fleet, timeout_s=4.0)
    operator.propose_and_roll(make_bundle(1))
    wait_for_generation(fleet, 1)
    operator.propose(make_bundle(2))
    operator.sign(make_bundle(2))
    for vm in fleet.controls()[1:]:
        vm.process.kill()
    with pytest.raises(errors.MerlinthreadError) as caught:
        operator.roll(2)
    assert caught.value.kind in (
        errors.ErrorKind.NOT_LEADER,
        errors.ErrorKind.OUTCOME_UNKNOWN,
        errors.ErrorKind.UNREACHABLE,
    )
    assert entry_generations(fleet) == [1, 1, 1]
