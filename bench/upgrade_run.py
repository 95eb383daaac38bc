"""One run of `bench upgrade`: its options, its load, the upgrades of VMs, and its results."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import math
import pathlib
import signal
from collections.abc import AsyncIterator

from bench import (
    soak,
    soak_evacuations,
    soak_limits,
    soak_nodes,
    soak_placement,
    soak_signals,
    upgrade_balancer,
    upgrade_crashes,
    upgrade_faults,
    upgrade_overload,
    upgrade_weights,
)
from stand_ins import fleet_worker

NEW, OLD = "new", "old"
# The build that all VMs start with, and the builds that they are upgraded to in turn.
ROUTES: dict[str, tuple[str, ...]] = {
    "calm": (NEW,),
    "calm-old": (OLD,),
    "forward": (OLD, NEW),
    "back": (NEW, OLD),
    "forward-back": (OLD, NEW, OLD),
    "forward-back-forward": (OLD, NEW, OLD, NEW),
}
# Delay between restarts; long enough for two heartbeats of workers and an election.
SETTLE_S = 1.5
STEADY_S = 3.0
# Load after the last upgrade with the fault "evacuations": one is held, withdrawn and followed by
# another.
EVACUATIONS_S = (
    soak_placement.HOLD_S[1]
    + upgrade_faults.FAULT_INTERVAL_S[1]
    + soak_evacuations.EVACUATE_S
    + 1.0
)
# Starts a build as if its rollback window were over. The window itself, in which evacuations
# are refused, is tested in tests/test_control_nodes.py; it would add ten minutes to a run.
WINDOW_OVER_STARTER = (
    "from merlinthread.coordination import levels; levels.ROLLBACK_WINDOW_S = 0.0\n"
    + soak_nodes.STARTER
)
# The rate limit that a worker advertises with --limited, in requests per second.
LIMIT_PER_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """Options of a run; `troubles` are names in `upgrade_faults.FAULTS`.

    A run without an upgrade that is compared with a run that had one has the same duration of its
    load, in seconds, and the same evacuations: a zone, and the seconds of the load at which its
    evacuation was acknowledged and withdrawn.
    """

    route: str
    order: str
    seed: int
    is_deadly: bool = False
    is_limited: bool = False
    has_weights: bool = False
    troubles: tuple[str, ...] = ()
    is_overloaded: bool = False
    duration_s: float = 0.0
    evacuations: tuple[tuple[str, float, float], ...] = ()


@dataclasses.dataclass(slots=True)
class UpgradeResult:
    """Results of a run; the fields are keys of the JSON output.

    `workers_ended` counts the workers that crashed on a request, `ended_late` those of them that
    crashed after the last VM was upgraded. `key_answers` counts the responses to a revoked key by
    status, before and after the revocation had to be effective. `named` is the last published
    version of weights. `sent_late` counts the requests of an overload that this process sent too
    late; many of them make the numbers of served requests incomparable. `evacuations` are those
    acknowledged, as in a plan, and `calls_refused` counts the other answers to these calls;
    `old_entry_requests` counts the requests that entries of the old build sent to evacuated zones.
    `ended` are the processes that exited by themselves, `broken` the violations.
    """

    plan: Plan
    asked: int = 0
    answered: int = 0
    refused: int = 0
    sent_late: int = 0
    acknowledged: int = 0
    workers_ended: int = 0
    ended_late: int = 0
    named: int = 1
    key_answers: list[dict[int, int]] = dataclasses.field(default_factory=list)
    duration_s: float = 0.0
    evacuations: list[tuple[str, float, float]] = dataclasses.field(default_factory=list)
    calls_refused: int = 0
    old_entry_requests: int = 0
    ended: list[str] = dataclasses.field(default_factory=list)
    broken: list[str] = dataclasses.field(default_factory=list)

    def success_rate(self) -> float:
        """Return the share of requests that succeeded."""
        return self.answered / max(1, self.asked)


class Upgrade(soak.Soak):
    """A run: the load of the soak test while VMs are upgraded."""

    def __init__(self, plan: Plan, old: pathlib.Path, folder: pathlib.Path) -> None:
        super().__init__(plan.seed, 0.0, folder)
        self.plan = plan
        # The newest version of weights that was published.
        self.published_version = 1
        # The first configuration version without the revoked key.
        self.revoked_from = math.inf
        self.key_answers: tuple[collections.Counter, ...] = (
            collections.Counter(),
            collections.Counter(),
        )
        self.locks: dict[str, asyncio.Lock] = collections.defaultdict(asyncio.Lock)
        self.crashing_fleet = upgrade_crashes.CrashingFleet(folder) if plan.is_deadly else None
        if self.crashing_fleet is not None:
            self.fleet = self.crashing_fleet
            self.signal_checker = soak_signals.SignalChecker(self.fleet)
        self.weights_fleet = upgrade_weights.WeightsFleet(folder) if plan.has_weights else None
        if self.weights_fleet is not None:
            self.fleet = self.weights_fleet
            self.signal_checker = soak_signals.SignalChecker(self.fleet)
        self.has_evacuations = bool(plan.evacuations) or "evacuations" in plan.troubles
        if plan.is_overloaded or self.has_evacuations:
            is_overloaded = plan.is_overloaded
            fleet = (
                upgrade_overload.OverloadedFleet if is_overloaded else soak_placement.PlacementFleet
            )
            self.fleet = fleet(folder)
            self.signal_checker = soak_signals.SignalChecker(self.fleet)
        self.evacuation_checker = soak_evacuations.EvacuationChecker(
            self.signal_checker, self.runs_new_build
        )
        self.zone_operator = soak_evacuations.ZoneOperator(
            self, self.evacuation_checker, self.runs_new_build
        )
        self.load_began_at = math.inf
        self.limit_checker = soak_limits.LimitChecker(self.signal_checker, self.runs_new_build)
        # Times of starts and their builds, by the node's IP.
        self.starts: dict[str, list[tuple[float, str]]] = {}
        self.builds = {NEW: soak_nodes.ROOT / "src", OLD: old}
        self.route = ROUTES[plan.route]
        self.result = UpgradeResult(plan)
        self.locked_nodes: set[str] = set()
        self.balancer = upgrade_balancer.Balancer(self.fleet.pool)
        for node in self.fleet.nodes:
            node.source = self.builds[self.route[0]]
            self.starts[node.ip] = [(float("-inf"), self.route[0])]

    async def run_scenario(self) -> None:
        """Upgrade all VMs to each build of the route in turn, under load."""
        load = [
            asyncio.create_task(self.send_heartbeats()),
            asyncio.create_task(self.run_operator()),
        ]
        load.append(asyncio.create_task(self.balancer.run()))
        await self.start_nodes()
        await self.balancer.wait_until_ready()
        self.soak_result.sent = self.soak_result.answered = self.soak_result.refused = 0
        self.load_began_at = asyncio.get_running_loop().time()
        load.append(asyncio.create_task(self.run_clients()))
        load.append(asyncio.create_task(self.watch_exits()))
        if self.crashing_fleet is not None:
            load.append(asyncio.create_task(upgrade_crashes.send_crashing_requests(self)))
        if self.plan.is_limited:
            worker = next(iter(self.fleet.workers))
            self.limit_checker.begin(worker, LIMIT_PER_S, asyncio.get_running_loop().time())
        await asyncio.sleep(STEADY_S)
        for kind in self.plan.troubles:
            load.append(asyncio.create_task(upgrade_faults.FAULTS.get(kind)(self)))
        if self.weights_fleet is not None:
            load.append(asyncio.create_task(upgrade_weights.publish_versions(self)))
        load.append(asyncio.create_task(upgrade_faults.repeat_evacuations(self)))
        for build in self.route[1:]:
            for node in self.ordered_nodes():
                await self.upgrade_node(node, build)
                await asyncio.sleep(SETTLE_S)
        upgraded_at = asyncio.get_running_loop().time()
        is_accepted = "evacuations" in self.plan.troubles and self.route[-1] == NEW
        steady_s = EVACUATIONS_S if is_accepted else STEADY_S
        ends_at = max(upgraded_at + steady_s, self.load_began_at + self.plan.duration_s)
        await asyncio.sleep(ends_at - upgraded_at)
        if self.crashing_fleet is not None:
            crash_times = self.crashing_fleet.crash_times()
            self.result.workers_ended = len(crash_times)
            self.result.ended_late = sum(at > upgraded_at for at in crash_times)
        sent, answered = self.soak_result.sent, self.soak_result.answered
        self.result.refused = self.soak_result.refused
        if self.weights_fleet is not None:
            await upgrade_weights.check_loaded_weights(self)
        self.result.duration_s = asyncio.get_running_loop().time() - self.load_began_at
        for task in load:
            if task.done() and task.exception() is not None:
                self.record_violation(f"a task of the run ended: {task.exception()!r}")
            task.cancel()
        await self.wait_until_read_back()
        if self.has_evacuations:
            await self.check_evacuations()
        self.result.asked, self.result.answered = sent, answered
        self.result.key_answers = [dict(found) for found in self.key_answers]
        self.check_invariants()

    async def check_evacuations(self) -> None:
        """Check that acknowledged evacuations are in force, and the requests in these zones."""
        checker = self.evacuation_checker
        acknowledged = [e for e in checker.evacuations if e.acknowledged_at < math.inf]
        if self.route[-1] == NEW:
            await self.zone_operator.wait_until_read("at the end")
            if not acknowledged:
                self.record_violation("no evacuation was acknowledged")
        workers = list(self.fleet.workers)
        for text in checker.violations(workers):
            self.record_violation(text)
        checker.is_bound = lambda entry_ip, at: not self.runs_new_build(entry_ip, at)
        self.result.old_entry_requests = len(checker.violations(workers))
        self.result.calls_refused = self.zone_operator.refused
        self.result.evacuations = [
            (
                e.zone,
                e.acknowledged_at - self.load_began_at,
                min(e.withdrawn_at - self.load_began_at, self.result.duration_s),
            )
            for e in acknowledged
        ]

    async def run_clients(self) -> None:
        """Send concurrent client requests until cancelled."""
        if self.plan.is_overloaded:
            await upgrade_overload.send_requests(self)
        else:
            await super().run_clients()

    def heartbeat_body(self, worker: fleet_worker.Worker) -> dict:
        """Return the body of a worker's next heartbeat."""
        body = super().heartbeat_body(worker)
        return body | {"slots": upgrade_overload.SLOTS} if self.plan.is_overloaded else body

    def make_configuration(self, version: int) -> dict:
        """Return the configuration that the operator sends as `version`."""
        is_valid = "revoke" in self.plan.troubles and version < self.revoked_from
        keys = upgrade_overload.KEYS if self.plan.is_overloaded else ("key-1",)
        keys += (upgrade_faults.REVOKED_KEY,) if is_valid else ()
        body = soak_nodes.make_configuration(version, keys)
        if self.plan.is_overloaded:
            body = upgrade_overload.add_overload_settings(body)
        return (
            self.weights_fleet.add_weight_settings(body) if self.weights_fleet is not None else body
        )

    async def send_heartbeat(self, worker: fleet_worker.Worker, ip: str = "") -> bool:
        """Send a worker's heartbeat like the soak test, unless the worker is down."""
        if getattr(worker, "is_down", False):
            return False
        return await super().send_heartbeat(worker, ip)

    def pick_entry(self) -> str:
        """Return the IP of the entry that the balancer selects for a new connection."""
        return self.balancer.pick(self.rng)

    def ordered_nodes(self) -> list[soak_nodes.Node]:
        """Return the nodes in the order of their upgrade."""
        nodes = list(self.fleet.nodes)
        if self.plan.order == "mixed":
            self.rng.shuffle(nodes)
        else:
            first = self.plan.order.removesuffix("s").replace("entrie", "entry")
            nodes.sort(key=lambda node: node.role != first)
        return nodes

    async def upgrade_node(self, node: soak_nodes.Node, build: str) -> None:
        """Stop a node gracefully, start it with another build, and wait until it is ready."""
        async with self.locked(node):
            node.signal(signal.SIGTERM)
            assert node.process is not None
            await asyncio.to_thread(node.process.wait)
            node.source = self.builds[build]
            is_last = len(self.starts[node.ip]) + 1 == len(self.route)
            if is_last and build == NEW and self.has_evacuations:
                node.starter = WINDOW_OVER_STARTER
            self.starts[node.ip].append((asyncio.get_running_loop().time(), build))
            node.start()
            await self.fleet.wait_until_responding(node)
            await self.balancer.wait_until_ready()

    @contextlib.asynccontextmanager
    async def locked(self, node: soak_nodes.Node) -> AsyncIterator[None]:
        """Lock a node for a restart or a fault; its exit is not reported meanwhile."""
        async with self.locks[node.name]:
            self.locked_nodes.add(node.name)
            try:
                yield
            finally:
                node.signal(signal.SIGCONT)
                self.locked_nodes.discard(node.name)

    def runs_new_build(self, ip: str, at: float) -> bool:
        """Return whether a node ran the new build at a time."""
        return [build for since, build in self.starts[ip] if since <= at][-1] == NEW

    def is_upgraded(self, role: str) -> bool:
        """Return whether all nodes of a role run the new build, and no rollback follows."""
        nodes = [node for node in self.fleet.nodes if node.role == role]
        is_last = all(len(self.starts[node.ip]) == len(self.route) for node in nodes)
        return is_last and self.route[-1] == NEW

    async def watch_exits(self) -> None:
        """Record processes that exit by themselves, and restart them as the platform does."""
        while True:
            for node in self.fleet.nodes:
                if node.name in self.locked_nodes or node.process is None:
                    continue
                if node.process.poll() is not None:
                    self.result.ended.append(f"{node.name}: code {node.process.returncode}")
                    node.start()
            await asyncio.sleep(0.05)

    async def wait_until_read_back(self) -> None:
        """Wait until the last acknowledged configuration, or a later one, is read back."""
        last = max((version for _, version in self.acknowledged), default=0)
        deadline = asyncio.get_running_loop().time() + soak.APPLY_MAX_S + 4.0
        while asyncio.get_running_loop().time() < deadline:
            status, body = await self.call_control("GET", "/config")
            if status == 200 and json.loads(body)["version"] >= last:
                return
            await asyncio.sleep(0.1)
        self.record_violation(f"version {last} was acknowledged but is not read back")
