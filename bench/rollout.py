"""Benchmark of fetch policies: time to N replicas and bytes read from the origin.

Times are compared with the lower bound max(S/Ro, S/Rv, N*S/(Ro + N*Rv)), where S is the size of a
version, Ro the rate of the origin and Rv that of a VM's link. The agents run the product's code,
several in one process, each with a paced link of its own. The load time of engines is excluded.
"""

import argparse
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time

from bench import fleet as fleets
from bench import measure, processes

WORKERS = 7
POLL_S = 0.1
ZONES = ("zone-a", "zone-b", "zone-c")
TIMEOUT_OVER_BOUND = 12.0


class Swarm:
    """The origin and the worker processes with the agents."""

    def __init__(self, folder: pathlib.Path, count: int, options: argparse.Namespace) -> None:
        self.fleet = fleets.Fleet(folder)
        self.options = options
        self.size = options.chunks * options.chunk_bytes
        self.rate = self.size / options.link_s
        self.fleet.shape.origin_bytes_per_s = 2 * self.rate
        self.fleet.start_stand_ins()
        self.handles = [
            subprocess.Popen(
                [sys.executable, "-m", "bench.swarm"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(min(WORKERS, count))
        ]
        self.names = [f"vm-{number:04d}" for number in range(count)]
        self.peers = [
            (name, ZONES[i % 3], "region-1", self.fleet.free_address())
            for i, name in enumerate(self.names)
        ]

    def send_command(self, handle: subprocess.Popen, command: dict) -> dict:
        """Send a command to a worker and return its reply."""
        assert handle.stdin is not None and handle.stdout is not None
        handle.stdin.write(json.dumps(command) + "\n")
        handle.stdin.flush()
        return json.loads(handle.stdout.readline())

    def send_to_all(self, command: dict) -> list[dict]:
        """Send a command to all workers and return their replies."""
        return [self.send_command(handle, command) for handle in self.handles]

    def start(self, policy: str, corrupt_share: float) -> None:
        """Start the agents."""
        for number, handle in enumerate(self.handles):
            configs = [
                {"settings": self.agent_settings(peer, policy), "corrupt_share": corrupt_share}
                for peer in self.peers[number :: len(self.handles)]
            ]
            self.send_command(handle, {"do": "start", "agents": configs})

    def agent_settings(self, peer: tuple, policy: str) -> dict:
        """Return the settings of an agent."""
        name, zone, region, address = peer
        return {
            "name": name,
            "availability_zone": zone,
            "region": region,
            "roles": ["agent"],
            "http": {"address": "127.0.0.1", "port": 1},
            "bus": address,
            "agent": {
                "entries": ["127.0.0.1:1"],
                "target_url": "http://127.0.0.1:1",
                "target_kind": "generate",
                "origin_url": self.fleet.origin_url,
                "weight_store_url": self.fleet.origin_url,
                "link_bytes_per_s": int(self.rate),
                "origin_bytes_per_s": int(self.rate),
                "fetch_policy": policy,
            },
        }

    def wait_until_complete(self, manifest: str, started: float, faults: "FaultSchedule") -> dict:
        """Wait until every live agent is complete, up to a limit, and return the results."""
        bound = self.lower_bound()
        live = set(self.names)
        while True:
            elapsed = time.monotonic() - started
            faults.apply(self, manifest, elapsed / bound, live)
            replies = self.send_to_all({"do": "poll"})
            done = {
                name: at[manifest] - started
                for reply in replies
                for name, at in reply["done"].items()
                if manifest in at
            }
            if live <= set(done) or elapsed > TIMEOUT_OVER_BOUND * bound:
                return {
                    "times": sorted(done[name] for name in live if name in done),
                    "missing": len(live - set(done)),
                    "cpu_s": sum(reply["cpu_s"] for reply in replies),
                    "rss_mb": sum(reply["rss_mb"] for reply in replies),
                    "tally": {
                        key: sum(reply["tally"].get(key, 0) for reply in replies)
                        for key in replies[0]["tally"]
                    },
                }
            time.sleep(POLL_S)

    def start_fetch(self, manifest: str, peers: list[tuple], partitioned_zone: str = "") -> None:
        """Let all agents fetch a manifest from the reachable peers."""
        self.send_to_all(
            {"do": "want", "manifest": manifest, "peers": peers, "cut": partitioned_zone}
        )

    def lower_bound(self) -> float:
        """Return the lower bound of the time to N replicas, in seconds."""
        count = len(self.names)
        origin, link = 2 * self.rate, self.rate
        return max(
            self.size / origin, self.size / link, count * self.size / (origin + count * link)
        )

    def close(self) -> None:
        """Stop all processes."""
        for handle in self.handles:
            assert handle.stdin is not None
            handle.stdin.close()
        for handle in self.handles:
            try:
                handle.wait(10)
            except subprocess.TimeoutExpired:
                handle.kill()
                handle.wait(5)
        self.fleet.close()


class FaultSchedule:
    """Faults injected during a run, timed as shares of the bound."""

    def __init__(self, is_enabled: bool) -> None:
        self.is_enabled = is_enabled
        self.killed: list[str] = []
        self.is_partitioned = False
        self.was_partitioned = False

    def apply(self, swarm: Swarm, manifest: str, share: float, live: set[str]) -> None:
        """Kill a tenth of the agents at 0.4, and partition a zone from 0.3 to 0.63."""
        if not self.is_enabled:
            return
        if share >= 0.4 and not self.killed:
            self.killed = random.Random(1).sample(swarm.names, max(1, len(swarm.names) // 10))
            live -= set(self.killed)
            swarm.send_to_all({"do": "kill", "names": self.killed})
        is_partition_due = 0.3 <= share < 0.63
        if is_partition_due != self.is_partitioned:
            self.is_partitioned = is_partition_due
            peers = [peer for peer in swarm.peers if peer[0] not in self.killed]
            partitioned_zone = ZONES[2] if is_partition_due else ""
            swarm.start_fetch(manifest, peers, partitioned_zone)


def run(
    folder: pathlib.Path, count: int, policy: str, with_faults: bool, options: argparse.Namespace
) -> dict:
    """Run one rollout and return its results."""
    swarm = Swarm(folder, count, options)
    try:
        manifest = swarm.fleet.publish("model-1", swarm.size, options.chunk_bytes)
        swarm.start(policy, 0.01 if with_faults else 0.0)
        processes.wait_for("the origin", lambda: swarm.fleet.get(swarm.fleet.origin_url, "/stats"))
        time.sleep(0.5)
        started = time.monotonic()
        swarm.start_fetch(manifest, swarm.peers)
        results = swarm.wait_until_complete(manifest, started, FaultSchedule(with_faults))
        stats = swarm.fleet.get(swarm.fleet.origin_url, "/stats")
        times = results["times"]
        slowest = times[-1] if times and not results["missing"] else None
        return {
            "policy": policy,
            "n": count,
            "faults": with_faults,
            "bound_s": round(swarm.lower_bound(), 3),
            "time_to_n_s": round(slowest, 3) if slowest else None,
            "time_to_half_s": round(times[len(times) // 2], 3) if times else None,
            "time_to_n_over_bound": round(slowest / swarm.lower_bound(), 3) if slowest else None,
            "missing": results["missing"],
            "origin_copies": round(stats["sent_bytes"] / swarm.size, 3),
            "agent_cpu_s_per_gb": round(results["cpu_s"] / (count * swarm.size / 1e9), 2),
            "rss_mb_per_agent": round(results["rss_mb"] / count, 1),
            "tally": results["tally"],
            "times": [round(value, 3) for value in times],
        }
    finally:
        swarm.close()


def plot(path: str, rows: list[dict]) -> None:
    """Write a plot of the number of replicas over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for row in rows:
        label = f"{row['policy']}, N={row['n']}, {row['origin_copies']} copies"
        counts = range(1, len(row["times"]) + 1)
        axes.step([0, *row["times"]], [0, *counts], where="post", label=label)
    axes.axvline(rows[0]["bound_s"], linestyle=":", color="grey", label="bound")
    axes.set_xlabel("seconds since the roll")
    axes.set_ylabel("VMs with the complete version")
    axes.legend(fontsize=7)
    figure.savefig(path, dpi=120)


def main(arguments: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="bench rollout")
    parser.add_argument("--sizes", default="25,50,100")
    parser.add_argument("--policies", default="spread,tree,origin_only")
    parser.add_argument("--compare-at", type=int, default=25, help="N for the other policies")
    parser.add_argument("--faults-at", type=int, default=50, help="N for the run with faults")
    parser.add_argument("--chunks", type=int, default=128)
    parser.add_argument("--chunk-bytes", type=int, default=65536)
    parser.add_argument(
        "--link-s", type=float, default=10.0, help="seconds to transfer S over a link"
    )
    parser.add_argument("--plot", default="")
    parser.add_argument("--save", default="", help="also write the results to this file")
    options = parser.parse_args(arguments)
    root = pathlib.Path(tempfile.mkdtemp(prefix="merlinthread-rollout-"))
    first, *others = options.policies.split(",")
    plans = [(int(size), first, False) for size in options.sizes.split(",")]
    plans += [(options.compare_at, policy, False) for policy in others]
    if options.faults_at:
        plans.append((options.faults_at, first, True))
    rows = []
    for number, (count, policy, with_faults) in enumerate(plans):
        row = run(root / str(number), count, policy, with_faults, options)
        rows.append(row)
        print({key: value for key, value in row.items() if key != "times"}, flush=True)
    if options.plot:
        plot(options.plot, rows)
    for row in rows:
        del row["times"]
    largest = [row for row in rows if row["policy"] == first and not row["faults"]][-1]
    figures = {
        "machine": measure.describe_machine(),
        "time_to_n_over_bound": largest["time_to_n_over_bound"],
        "origin_copies": largest["origin_copies"],
        "time_to_n_s": largest["time_to_n_s"],
        "n": largest["n"],
        "size_bytes": options.chunks * options.chunk_bytes,
        "rows": rows,
    }
    return measure.print_results("rollout", figures, options.save)
