"""Soak test of control VMs whose links are slow and shared with other traffic.

`python -m bench soak_links --seed N --seeds COUNT --seconds S` runs control VMs as processes, each
in a region of its own, while the configuration changes all the time and one control VM after
another is replaced by an empty one. The next loss comes as soon as the settings of the deployment
allow it. At the end one more VM loses its disk and all lose power. The seed determines faults and
configurations, but not their timing.
"""

import argparse
import asyncio
import dataclasses
import math
import pathlib
import random
import shutil
import tempfile
import time

from bench import (
    measure,
    shared_links,
    soak_links_faults,
    soak_links_fleet,
    soak_links_operator,
    soak_links_tolerance,
)

# The share of losses that are followed by a series of stops before the next one.
STOPS_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class Options:
    """The options of a run.

    Losses begin `first_loss_s` after the start and not later than `seconds`, and are at least
    `loss_interval_s` apart.
    """

    seconds: float = 30.0
    first_loss_s: float = 8.0
    loss_interval_s: float = 0.0
    profile: shared_links.LinkProfile = dataclasses.field(default_factory=shared_links.LinkProfile)
    kinds: tuple[str, ...] = tuple(soak_links_faults.FAULTS)


@dataclasses.dataclass(slots=True)
class Result:
    """Counts of a run, and the invariants that it violated."""

    acknowledged: int
    reads: int
    faults: dict[str, int]
    replacements: list[dict]
    figures: dict[str, object]
    violations: list[str]


class LinksSoak:
    """A run with one seed."""

    def __init__(self, seed: int, options: Options, folder: pathlib.Path) -> None:
        self.options = options
        self.rng = random.Random(f"losses {seed}")
        self.fleet = soak_links_fleet.LinkFleet(
            folder, options.profile, random.Random(f"links {seed}")
        )
        self.operator = soak_links_operator.Operator(self.fleet, seed)
        self.fault_injector = soak_links_faults.FaultInjector(
            self.fleet, random.Random(f"faults {seed}"), options.kinds
        )
        self.tolerance = soak_links_tolerance.ToleranceChecker(self.fleet)
        self.restored_s = math.inf
        self.violations: list[str] = []
        # Of the control VMs that run at the end.
        self.log_indexes: list[int] = []

    async def run(self) -> Result:
        """Start the fleet, run the soak, and return its results."""
        await self.fleet.start()
        tasks: list[asyncio.Task] = []
        try:
            for node in self.fleet.nodes:
                await self.fleet.wait_until_responding(node)
            loop = asyncio.get_running_loop()
            tasks.append(loop.create_task(self.operator.run_changes()))
            reads = loop.create_task(self.operator.run_reads())
            scenario = loop.create_task(self.run_scenario())
            tasks += [reads, scenario, *self.fault_injector.start()]
            # The reads end only if the group serves none any more.
            await asyncio.wait({reads, scenario}, return_when=asyncio.FIRST_COMPLETED)
            for task in (reads, scenario):
                if task.done():
                    task.result()
            self.log_indexes = sorted((await self.fleet.log_indexes()).values())
            self.violations += [f"{name} ended by itself" for name in self.fleet.ended_nodes()]
        finally:
            for task in [*tasks, *self.operator.changes]:
                task.cancel()
            self.fleet.close()
        return self.make_result()

    async def run_scenario(self) -> None:
        """Lose and replace control VMs for the time of the run, then lose power."""
        loop = asyncio.get_running_loop()
        await self.operator.wait_for_read(loop.time())
        ends_at = loop.time() + self.options.seconds
        await asyncio.sleep(self.options.first_loss_s)
        while loop.time() < ends_at:
            next_at = loop.time() + self.options.loss_interval_s
            await self.replace_control()
            if self.rng.random() < STOPS_SHARE:
                await self.fault_injector.stop_in_series()
                await asyncio.sleep(soak_links_fleet.CATCH_UP_S)
            await asyncio.sleep(next_at - loop.time())
        await self.lose_power()

    async def replace_control(self) -> None:
        """Lose a control VM and replace it; return when the next one may be lost."""
        lost = self.fault_injector.pick_node()
        replacement = soak_links_tolerance.Replacement(lost.ip, time.time())
        await self.fleet.lose(lost)
        await asyncio.sleep(soak_links_fleet.DOWN_S)
        new = await self.fleet.replace(lost)
        replacement.new_ip, replacement.returned_at = new.ip, time.time()
        await self.tolerance.watch(replacement)

    async def lose_power(self) -> None:
        """Lose the disk of one control VM and the power of all; wait until they serve again."""
        loop = asyncio.get_running_loop()
        lost_at = loop.time()
        await self.fleet.lose_power(self.rng.choice(self.fleet.nodes))
        await self.operator.wait_for_read(loop.time())
        self.restored_s = loop.time() - lost_at

    def make_result(self) -> Result:
        """Return the counts of the run."""
        relay = self.fleet.relay
        heals = [
            silence.healed_at - silence.began_at
            for silence in relay.silences
            if not relay.is_lost(silence.ends)
        ]
        waits = [wait for link in relay.links.values() for wait in link.waits] or [0.0]
        nodes = [*self.fleet.nodes, *self.fleet.replaced]
        leaders = [
            event for node in nodes for event in soak_links_tolerance.read_events(node, "leader")
        ]
        figures: dict[str, object] = {
            "read gap": round(self.operator.longest_gap_s, 2),
            "restored": round(self.restored_s, 2) if self.restored_s < math.inf else None,
            "terms": max((event["term"] for event in leaders), default=0),
            "log indexes": self.log_indexes,
            "queue": [round(measure.percentile(waits, share), 3) for share in (0.5, 0.9, 1.0)],
            "silences": describe_heals(heals),
        }
        return Result(
            self.operator.acknowledged_count,
            len(self.operator.reads),
            dict(self.fault_injector.injected),
            [replacement.describe() for replacement in self.tolerance.replacements],
            figures,
            [*self.tolerance.violations, *self.operator.violations, *self.violations],
        )


def describe_heals(heals: list[float]) -> dict:
    """Return how many silences there were, and the seconds until they were healed."""
    healed = [seconds for seconds in heals if seconds < math.inf]
    figures: dict = {"measured": len(heals), "not healed": len(heals) - len(healed)}
    if healed:
        figures["median"] = round(measure.percentile(healed, 0.5), 2)
        figures["p90"] = round(measure.percentile(healed, 0.9), 2)
        figures["longest"] = round(max(healed), 2)
    return figures


def run_seed(seed: int, options: Options, keep: pathlib.Path | None = None) -> Result:
    """Run one seed; if it violates an invariant, its logs are copied to `keep`."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        result = asyncio.run(LinksSoak(seed, options, folder).run())
        if result.violations and keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    return result


def main(arguments: list[str]) -> int:
    """Run a range of seeds; return 1 if any of them violated an invariant."""
    parser = argparse.ArgumentParser(prog="python -m bench soak_links")
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--first-loss", type=float, default=8.0, metavar="SECONDS")
    parser.add_argument("--loss-interval", type=float, default=0.0, metavar="SECONDS")
    parser.add_argument("--mbps", type=float, default=20.0)
    parser.add_argument("--delay-ms", type=float, default=3.0)
    parser.add_argument("--cross-traffic", type=float, default=0.8, metavar="SHARE")
    parser.add_argument("--queue-kb", type=float, default=500.0)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs of failed seeds")
    kinds = tuple(soak_links_faults.FAULTS)
    parser.add_argument("--faults", nargs="*", choices=kinds, default=kinds, metavar="KIND")
    parsed = parser.parse_args(arguments)
    profile = shared_links.LinkProfile(
        parsed.mbps * shared_links.BYTES_PER_MEGABIT,
        parsed.delay_ms / 1000,
        parsed.cross_traffic,
        int(parsed.queue_kb * 1000),
    )
    options = Options(
        parsed.seconds, parsed.first_loss, parsed.loss_interval, profile, tuple(parsed.faults)
    )
    violations: dict[int, list[str]] = {}
    for seed in range(parsed.seed, parsed.seed + parsed.seeds):
        result = run_seed(seed, options, parsed.keep)
        print(f"seed {seed}: {dataclasses.asdict(result)}", flush=True)
        if result.violations:
            violations[seed] = result.violations
    figures = {"seeds": parsed.seeds, "first": parsed.seed, "broken": violations}
    return measure.print_results("soak_links", figures) or (1 if violations else 0)
