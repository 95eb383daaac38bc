"""Faults of the soak test; each one is injected from outside and ends by itself."""

import asyncio
import collections
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable, Iterator

from bench import soak_fleet, soak_limits, soak_nodes
from merlinthread import registry
from stand_ins import fleet_worker, proxy

FAULTS: registry.Registry[Callable[["FaultInjector"], Awaitable[None]]] = registry.Registry(
    "soak fault"
)

# The kinds that a run chooses from by default. Adding one would change the runs of the regression
# seeds, so other kinds are only used by runs that name them.
DEFAULT_KINDS = (
    "kill",
    "replace_control",
    "freeze",
    "stop",
    "stop_control",
    "kill_controls",
    "misbehave",
    "harm_link",
    "leave",
)
# How long a worker goes on after it first signals that it is leaving.
LEAVING_S = 3.0
# The Retry-After delay of an overloaded worker.
RETRY_AFTER_S = 1.5
# How long a worker advertises a rate limit.
LIMIT_DURATION_S = (7.0, 11.0)
# The advertised limits, in requests per second.
LIMITS = (0.5, 1.0, 2.0, 4.0)


class FaultInjector:
    """Injects random faults, some of them concurrently; `kinds` are names in `FAULTS`."""

    def __init__(
        self, fleet: soak_fleet.SoakFleet, rng: random.Random, kinds: tuple[str, ...]
    ) -> None:
        self.fleet = fleet
        self.rng = rng
        self.kinds = kinds or DEFAULT_KINDS
        # If kinds are named, the first one is injected first, so that every run includes it.
        self.first_kind = kinds[0] if kinds else ""
        # Set by the run.
        self.limit_checker: soak_limits.LimitChecker | None = None
        self.injected: collections.Counter = collections.Counter()
        self.open_faults: set[asyncio.Task] = set()
        # Number of faults that affect control VMs now, and the loop time when the last one ended.
        self.control_fault_count = 0
        self.control_fault_ended_at = 0.0

    async def run(self) -> None:
        """Inject one fault after another, some of them overlapping, until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
            kind = self.next_kind()
            if kind == "replace_control" and not self.may_replace_control():
                continue
            self.injected[kind] += 1
            task = asyncio.create_task(self.inject(kind))
            self.open_faults.add(task)
            task.add_done_callback(self.open_faults.discard)
            if self.rng.random() < 0.7:
                # The end of the run must not interrupt a fault before it is healed.
                await asyncio.shield(task)

    def next_kind(self) -> str:
        """Return the kind of the next fault."""
        kind = self.rng.choice(self.kinds)
        if self.first_kind:
            kind, self.first_kind = self.first_kind, ""
        return kind

    async def inject(self, kind: str) -> None:
        """Inject one fault, and return once it is healed."""
        await FAULTS.get(kind)(self)

    async def wait_until_healed(self) -> None:
        """Wait until all injected faults have ended."""
        await asyncio.gather(*self.open_faults)

    def pick_node(self, role: str = "") -> soak_nodes.Node:
        """Return a random node, of one role if given."""
        return self.rng.choice([node for node in self.fleet.nodes if role in ("", node.role)])

    @contextlib.contextmanager
    def control_fault(self, node: soak_nodes.Node) -> Iterator[None]:
        """Count a fault as affecting a control VM while the context is open."""
        if node.role != "control":
            yield
            return
        self.control_fault_count += 1
        try:
            yield
        finally:
            self.control_fault_count -= 1
            self.control_fault_ended_at = asyncio.get_running_loop().time()

    @FAULTS.add("kill")
    async def kill(self) -> None:
        """Kill a node and restart it."""
        node = self.pick_node()
        node.signal(signal.SIGKILL)
        await self.restart(node)

    def may_replace_control(self) -> bool:
        """Return whether no control VM was faulty for as long as a replacement takes."""
        fault_free_s = asyncio.get_running_loop().time() - self.control_fault_ended_at
        return not self.control_fault_count and fault_free_s >= soak_nodes.CATCH_UP_S

    @FAULTS.add("replace_control")
    async def replace_control(self) -> None:
        """Replace a control VM by one without data at another address."""
        lost = self.pick_node("control")
        self.fleet.nodes.remove(lost)
        with self.control_fault(lost):
            await self.replace(lost)

    async def replace(self, lost: soak_nodes.Node) -> None:
        """Stop a control VM before or after its replacement has started."""
        is_graceful = self.rng.random() < 0.3
        if not is_graceful:
            await self.stop_node(lost, signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.fleet.replaced.append(lost)
        new = self.fleet.make_node(
            "control", f"{soak_nodes.NETWORK}.{100 + len(self.fleet.replaced)}"
        )
        new.is_first_start = False
        self.fleet.control_ips[self.fleet.control_ips.index(lost.ip)] = new.ip
        self.fleet.nodes.append(new)
        new.start()
        await self.fleet.wait_until_responding(new)
        if is_graceful:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            await self.stop_node(lost, signal.SIGTERM)
        for node in self.fleet.nodes:
            node.write_settings()

    async def stop_node(self, node: soak_nodes.Node, signal_number: int) -> None:
        """Stop a node permanently and wait until it has exited."""
        # A suspended process handles no signal but SIGKILL.
        node.signal(signal.SIGCONT)
        node.signal(signal_number)
        if node.process is not None:
            await asyncio.to_thread(node.process.wait)

    async def restart(self, node: soak_nodes.Node) -> None:
        """Restart a node after it has exited, unless it was replaced."""
        with self.control_fault(node):
            if node.process is not None:
                await asyncio.to_thread(node.process.wait)
            await asyncio.sleep(self.rng.uniform(0.0, 0.8))
            if node in self.fleet.nodes and (
                node.process is None or node.process.poll() is not None
            ):
                node.start()
                await self.fleet.wait_until_responding(node)

    @FAULTS.add("freeze")
    async def suspend(self) -> None:
        """Suspend a node for a while."""
        node = self.pick_node()
        with self.control_fault(node):
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            node.signal(signal.SIGCONT)

    @FAULTS.add("stop")
    async def stop(self) -> None:
        """Stop an entry gracefully and restart it."""
        node = self.pick_node("entry")
        node.signal(signal.SIGTERM)
        await self.restart(node)

    @FAULTS.add("stop_control")
    async def stop_control(self) -> None:
        """Stop a control VM gracefully and restart it."""
        node = self.pick_node("control")
        with self.control_fault(node):
            node.signal(signal.SIGTERM)
            await self.restart(node)

    @FAULTS.add("kill_controls")
    async def kill_controls(self) -> None:
        """Kill all control VMs at once and restart them."""
        nodes = [node for node in self.fleet.nodes if node.role == "control"]
        for node in nodes:
            node.signal(signal.SIGKILL)
        await asyncio.gather(*(self.restart(node) for node in nodes))

    @FAULTS.add("misbehave")
    async def misbehave(self) -> None:
        """Let a worker violate its protocol, or refuse or cut requests, for a while."""
        worker = self.rng.choice(list(self.fleet.workers))
        faults = [
            {"is_full": True},
            {"closes_without_response": True},
            {"never_responds": True},
            {"wrong_request_id": True},
            {"is_unsigned": True},
            {"status": 500},
            {"cut_after_events": self.rng.randrange(soak_fleet.EVENT_COUNT)},
        ]
        worker.behaviour = fleet_worker.Behaviour(
            events=soak_fleet.EVENT_COUNT, **self.rng.choice(faults)
        )
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        worker.behaviour = fleet_worker.Behaviour(events=soak_fleet.EVENT_COUNT)

    @FAULTS.add("harm_link")
    async def degrade_link(self) -> None:
        """Delay, stall or drop the traffic of a worker's link for a while, or reset it."""
        link = self.fleet.links[self.rng.choice(list(self.fleet.workers))]
        link_faults = [
            proxy.Faults(latency_s=0.1),
            proxy.Faults(stall=True),
            proxy.Faults(drop_to_upstream=True),
            proxy.Faults(drop_from_upstream=True),
            proxy.Faults(refuse=True),
            proxy.Faults(),
        ]
        link.faults = self.rng.choice(link_faults)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        # A connection must not go on after bytes of it were dropped.
        link.reset_all()
        link.faults = proxy.Faults()

    @FAULTS.add("leave")
    async def leave(self) -> None:
        """Replace a worker by a new instance without notice."""
        await self.replace_worker(self.rng.choice(list(self.fleet.workers)))

    async def replace_worker(self, old: fleet_worker.Worker) -> None:
        """Stop a worker and start a new instance in its place."""
        if old not in self.fleet.workers:
            return
        service = self.fleet.workers.pop(old)
        old.stop()
        self.fleet.links.pop(old).close()
        new = fleet_worker.Worker(f"{old.instance}x", old.model)
        new.runs = old.runs
        new.refusals = old.refusals
        new.zone = old.zone
        await self.fleet.start_worker(new)
        self.fleet.workers[new] = service

    @FAULTS.add("say_leaving")
    async def signal_leaving(self) -> None:
        """Let a worker signal in its responses that it is leaving, then replace it."""
        worker = self.rng.choice(list(self.fleet.workers))
        worker.behaviour = fleet_worker.Behaviour(events=soak_fleet.EVENT_COUNT, is_leaving=True)
        await asyncio.sleep(LEAVING_S)
        await self.replace_worker(worker)

    @FAULTS.add("ask_for_rest")
    async def refuse_with_retry_after(self) -> None:
        """Let some or all workers of a service refuse requests with a Retry-After delay."""
        service = self.rng.choice(sorted(set(self.fleet.workers.values())))
        workers = [worker for worker, of in self.fleet.workers.items() if of == service]
        # Busiest first.
        workers.sort(key=lambda worker: len(worker.runs), reverse=True)
        overloaded = workers[: self.rng.randrange(1, len(workers) + 1)]
        for worker in overloaded:
            worker.behaviour.is_full, worker.behaviour.retry_after = True, str(RETRY_AFTER_S)
        await asyncio.sleep(self.rng.uniform(0.5, 2.5))
        for worker in overloaded:
            worker.behaviour.is_full, worker.behaviour.retry_after = False, None

    @FAULTS.add("name_limit")
    async def advertise_limit(self) -> None:
        """Let a worker advertise a rate limit, for longer than the window of the check."""
        assert self.limit_checker is not None
        worker = self.rng.choice(list(self.fleet.workers))
        if worker.behaviour.limit is not None:
            return
        now = asyncio.get_running_loop().time
        episode = self.limit_checker.begin(worker, self.rng.choice(LIMITS), now())
        await asyncio.sleep(self.rng.uniform(*LIMIT_DURATION_S))
        self.limit_checker.end(episode, now())
