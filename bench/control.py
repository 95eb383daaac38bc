"""Benchmark of the control plane at several fleet sizes.

Measures how soon a change is in force on all VMs, and the cost of an idle fleet for each node.
"""

import argparse
import pathlib
import tempfile
import threading
import time

from bench import fleet as fleets
from bench import measure, operators, processes
from merlinthread.coordination import commands
from merlinthread.protocol import codec, messages
from merlinthread.transport import bus

IDLE_S = 6.0
ONE_WAY_S = 0.0015


class AdoptionTimes:
    """Times at which agents and entries adopted each generation, by their logs."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.seen: dict[int, dict[str, float]] = {}

    def read(self) -> None:
        """Read all logs; the timestamps are comparable, since all run on one machine."""
        for vm in self.fleet.agents() + self.fleet.entries():
            for event in vm.process.events("directive_adopted"):
                at = processes.parse_timestamp(event["at"])
                self.seen.setdefault(event["generation"], {}).setdefault(vm.name, at)


def make_shape(entries: int, agents: int) -> fleets.Shape:
    """Return the options of a fleet with three zones, with entries and agents per zone."""
    return fleets.Shape(
        entries_per_zone=entries,
        engines_per_zone=0,
        services=agents * 3,
        through_proxy=False,
        log_level="info",
    )


def start(folder: pathlib.Path, entries: int, agents: int) -> fleets.Fleet:
    """Start a fleet and roll out a first bundle."""
    fleet = fleets.Fleet(folder, make_shape(entries, agents))
    fleet.start()
    try:
        operators.Operator(fleet).propose_and_roll(make_bundle(1))
    except BaseException:
        fleet.close()
        raise
    return fleet


def make_bundle(version: int) -> dict:
    """Return a small bundle."""
    return fleets.simple_bundle(version, {"hint": ("a" * 64, 100)})


def in_force_times(fleet: fleets.Fleet, changes: int) -> list[float]:
    """Make changes; return for each how long it took to be in force on all VMs."""
    ana = operators.Operator(fleet)
    requested_at: dict[int, float] = {}
    for _ in range(changes):
        before = time.time()
        requested_at[ana.roll(1, is_back=True).generation] = before
        time.sleep(0.15)
    wait_until_adopted(fleet, max(requested_at))
    adoptions = AdoptionTimes(fleet)
    adoptions.read()
    return [adoption_delay(adoptions, generation, at) for generation, at in requested_at.items()]


def adoption_delay(adoptions: AdoptionTimes, generation: int, requested_at: float) -> float:
    """Return how long the last VM took to adopt `generation` or a later one, in seconds."""
    longest = 0.0
    for vm in adoptions.fleet.agents() + adoptions.fleet.entries():
        times = [
            seen[vm.name]
            for g, seen in adoptions.seen.items()
            if g >= generation and vm.name in seen
        ]
        longest = max(longest, min(times) - requested_at)
    return longest


def wait_until_adopted(fleet: fleets.Fleet, generation: int) -> None:
    """Wait until every agent reports `generation` or a later one."""
    processes.wait_for(
        f"generation {generation} everywhere",
        lambda: (agents := fleet.status().get("agents"))
        and all(agent["generation"] >= generation for agent in agents),
        20,
    )
    time.sleep(1.0)


def change_during_fault(fleet: fleets.Fleet, fault: str) -> float:
    """Kill or suspend the leader, make a change, and return how long it took to be in force."""
    ana = operators.Operator(fleet)
    leader = fleet.leader()
    assert leader is not None
    before = time.time()
    if fault == "kill":
        leader.process.kill()
    else:
        leader.process.suspend()
    generation = ana.roll(1, is_back=True).generation
    wait_until_adopted(fleet, generation)
    adoptions = AdoptionTimes(fleet)
    adoptions.read()
    delay_s = adoption_delay(adoptions, generation, before)
    if fault == "kill":
        fleet.restart(leader.name)
    else:
        leader.process.resume()
    processes.wait_for("three members", lambda: len(fleet.status().get("members", [])) == 3)
    time.sleep(2.0)
    return delay_s


def measure_node_costs(fleet: fleets.Fleet) -> dict[str, dict[str, float]]:
    """Return the CPU share, memory and message traffic of each role in an idle fleet."""
    groups = {"control": fleet.controls(), "entry": fleet.entries(), "agent": fleet.agents()}
    before = {
        vm.name: measure.process_cost(vm.process.handle.pid)
        for vms in groups.values()
        for vm in vms
    }
    traffic = {vm.name: bus_bytes(fleet, vm) for vms in groups.values() for vm in vms}
    time.sleep(IDLE_S)
    costs: dict[str, dict[str, float]] = {}
    for role, vms in groups.items():
        shares, sizes, rates = [], [], []
        for vm in vms:
            after = measure.process_cost(vm.process.handle.pid)
            shares.append((after.cpu_s - before[vm.name].cpu_s) / IDLE_S)
            sizes.append(after.rss_bytes / 1e6)
            rates.append((bus_bytes(fleet, vm) - traffic[vm.name]) / IDLE_S)
        costs[role] = {
            "core_share_max": round(max(shares), 5),
            "core_share_mean": round(sum(shares) / len(shares), 5),
            "rss_mb_max": round(max(sizes), 1),
            "bytes_per_s_max": round(max(rates), 1),
            "bytes_per_s_mean": round(sum(rates) / len(rates), 1),
        }
    return costs


def bus_bytes(fleet: fleets.Fleet, vm: fleets.Vm) -> float:
    """Return the bytes of messages that a daemon sent and received, from its metrics."""
    text = fleet.http.request("GET", f"http://{vm.http}/metrics").body.decode()
    return sum(
        float(line.split()[1])
        for line in text.splitlines()
        if line.startswith("merlinthread_bus_bytes_total{")
    )


def claims_per_s(fleet: fleets.Fleet, threads: int, seconds: float) -> float:
    """Return the rate at which the leader commits claims, with fsync, from concurrent callers."""
    leader = fleet.leader()
    assert leader is not None
    mesh_codec = messages.make_codec([codec.parse_key(fleet.mesh_key)])
    counts = [0] * threads
    deadline = time.monotonic() + seconds

    def send_claims(number: int) -> None:
        caller = bus.RpcClient(leader.bus, mesh_codec)
        while time.monotonic() < deadline:
            key = f"bench {number} {counts[number]}"
            claim = commands.Claim(key, "0" * 64, "attempt", time.time())
            name = mesh_codec.names[commands.Claim]
            command = codec.msgspec.msgpack.encode((name, claim))
            caller.call(messages.CommandRequest(command), 5.0)
            counts[number] += 1
        caller.close()

    workers = [threading.Thread(target=send_claims, args=(n,)) for n in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return sum(counts) / seconds


def measure_recovery(folder: pathlib.Path, changes: int) -> dict[str, float]:
    """Make changes, kill and restart all control VMs, and measure the time to a new leader."""
    shape = fleets.Shape(zones=("zone-a",), regions=("region-1",), engines_per_zone=0, services=0)
    with fleets.Fleet(folder, shape) as fleet:
        fleet.start()
        ana = operators.Operator(fleet)
        ana.propose_and_roll(make_bundle(1))
        started = time.monotonic()
        for _ in range(changes - 1):
            ana.roll(1, is_back=True)
        seconds = time.monotonic() - started
        for vm in fleet.controls():
            vm.process.kill()
        size = max(folder_bytes(fleet, vm) for vm in fleet.controls())
        started = time.monotonic()
        for vm in fleet.controls():
            fleet.restart(vm.name)
        processes.wait_for("a leader", lambda: fleet.leader(), 30)
        delay_s = time.monotonic() - started
        assert ana.status().generation == changes
        return {
            "recovery_s": round(delay_s, 3),
            "data_folder_bytes": size,
            "changes_per_s_one_operator": round((changes - 1) / seconds, 1),
        }


def folder_bytes(fleet: fleets.Fleet, vm: fleets.Vm) -> int:
    """Return the size of a control VM's data folder."""
    return sum(path.stat().st_size for path in (fleet.folder / "data" / vm.name).iterdir())


def main(arguments: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="bench control")
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--sizes", default="2x4,3x8,4x16", help="entries x agents in each zone")
    parser.add_argument("--histories", default="1000,3000")
    parser.add_argument("--save", default="", help="also write the results to this file")
    options = parser.parse_args(arguments)
    root = pathlib.Path(tempfile.mkdtemp(prefix="merlinthread-control-"))
    figures: dict = {"machine": measure.describe_machine(), "sizes": []}
    for number, size in enumerate(options.sizes.split(",")):
        entries, agents = (int(part) for part in size.split("x"))
        with start(root / f"size-{number}", entries, agents) as fleet:
            time.sleep(2.0)
            row = {"entries": entries * 3, "agents": agents * 3, "controls": 3}
            row["processes"] = len(fleet.controls() + fleet.entries() + fleet.agents())
            row["costs"] = measure_node_costs(fleet)
            times = in_force_times(fleet, options.changes)
            row["in_force_p50_s"] = round(measure.percentile(times, 0.5), 3)
            row["in_force_p99_s"] = round(measure.percentile(times, 0.99), 3)
            row["in_force_after_leader_kill_s"] = round(change_during_fault(fleet, "kill"), 3)
            row["in_force_after_leader_freeze_s"] = round(change_during_fault(fleet, "freeze"), 3)
            row["claims_per_s_with_sync"] = round(claims_per_s(fleet, 16, 4.0), 1)
            figures["sizes"].append(row)
            print(row, flush=True)
    for changes in options.histories.split(","):
        if changes:
            figures[f"history_{changes}"] = measure_recovery(
                root / f"history-{changes}", int(changes)
            )
    largest = figures["sizes"][-1]
    for name in (
        "in_force_p50_s",
        "in_force_p99_s",
        "in_force_after_leader_kill_s",
        "in_force_after_leader_freeze_s",
        "claims_per_s_with_sync",
    ):
        figures[name] = largest[name]
    return measure.print_results("control", figures, options.save)
