"""The faults of a soak: each is injected from outside and heals by itself."""

import asyncio
import collections
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable, Iterator

from bench import soak_fleet, soak_limits, soak_nodes
from merlinthread import registry
from stand_ins import fleet_worker, proxy

FAULTS: registry.Registry[Callable[["Faults"], Awaitable[None]]] = registry.Registry("soak fault")

# What a run chooses from unless it is told otherwise. Kinds that came later are named by runs that
# want them: one more in this list would make other runs of the seeds that once failed.
USUAL = (
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
# How long a worker goes on after it has begun to say that it leaves; the rest that one asks for.
FAREWELL_S = 3.0
REST_S = 1.5
# How long a worker names a limit, and what it names, in requests a second.
LIMITED_S = (7.0, 11.0)
LIMITS = (0.5, 1.0, 2.0, 4.0)


class Faults:
    """Injects faults by lot, some at the same time; `kinds` are names in `FAULTS`."""

    def __init__(
        self, fleet: soak_fleet.SoakFleet, rng: random.Random, kinds: tuple[str, ...]
    ) -> None:
        self.fleet = fleet
        self.rng = rng
        self.kinds = kinds or USUAL
        # A run that names kinds surely has the first of them; the lot follows the timing.
        self.first = kinds[0] if kinds else ""
        # Set by the run, which checks what is named.
        self.limits: soak_limits.Limits | None = None
        self.injected: collections.Counter = collections.Counter()
        self.open_faults: set[asyncio.Task] = set()
        # How many faults disturb control VMs now, and when the last one ended on the loop's clock.
        self.disturbing = 0
        self.disturbed_at = 0.0

    async def run(self) -> None:
        """Inject one fault after another; some overlap."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
            kind = self.rng.choice(self.kinds)
            if self.first:
                kind, self.first = self.first, ""
            if kind == "replace_control" and not self.may_lose_control():
                continue
            self.injected[kind] += 1
            task = asyncio.create_task(FAULTS.get(kind)(self))
            self.open_faults.add(task)
            task.add_done_callback(self.open_faults.discard)
            if self.rng.random() < 0.7:
                # The end of the run must not cut a fault off before it has healed.
                await asyncio.shield(task)

    async def heal(self) -> None:
        """Wait until the faults that were begun have healed."""
        await asyncio.gather(*self.open_faults)

    def pick(self, role: str = "") -> soak_nodes.Node:
        """Return a node by lot."""
        return self.rng.choice([node for node in self.fleet.nodes if role in ("", node.role)])

    @contextlib.contextmanager
    def disturbance(self, node: soak_nodes.Node) -> Iterator[None]:
        """Note that a fault disturbs a control VM until it is whole again."""
        if node.role != "control":
            yield
            return
        self.disturbing += 1
        try:
            yield
        finally:
            self.disturbing -= 1
            self.disturbed_at = asyncio.get_running_loop().time()

    @FAULTS.add("kill")
    async def kill(self) -> None:
        """Kill one node and start it again."""
        node = self.pick()
        node.signal(signal.SIGKILL)
        await self.again(node)

    def may_lose_control(self) -> bool:
        """Return whether control VMs were whole for the time that a replacement has."""
        calm_s = asyncio.get_running_loop().time() - self.disturbed_at
        return not self.disturbing and calm_s >= soak_nodes.CATCH_UP_S

    @FAULTS.add("replace_control")
    async def replace_control(self) -> None:
        """Lose a control VM for good; an empty one starts at another address."""
        lost = self.pick("control")
        self.fleet.nodes.remove(lost)
        with self.disturbance(lost):
            await self.replace(lost)

    async def replace(self, lost: soak_nodes.Node) -> None:
        """End a control VM, before or after its successor has started."""
        is_planned = self.rng.random() < 0.3
        if not is_planned:
            await self.end(lost, signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.fleet.replaced.append(lost)
        new = self.fleet.make_node(
            "control", f"{soak_nodes.NETWORK}.{100 + len(self.fleet.replaced)}"
        )
        new.is_first = False
        self.fleet.control_ips[self.fleet.control_ips.index(lost.ip)] = new.ip
        self.fleet.nodes.append(new)
        new.start()
        await self.fleet.until_up(new)
        if is_planned:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            await self.end(lost, signal.SIGTERM)
        for node in self.fleet.nodes:
            node.write_settings()

    async def end(self, node: soak_nodes.Node, how: int) -> None:
        """End a node for good."""
        # One that stands still takes no signal but the kill.
        node.signal(signal.SIGCONT)
        node.signal(how)
        if node.process is not None:
            await asyncio.to_thread(node.process.wait)

    async def again(self, node: soak_nodes.Node) -> None:
        """Start a node again once it has ended."""
        with self.disturbance(node):
            if node.process is not None:
                await asyncio.to_thread(node.process.wait)
            await asyncio.sleep(self.rng.uniform(0.0, 0.8))
            if node in self.fleet.nodes and (
                node.process is None or node.process.poll() is not None
            ):
                node.start()
                await self.fleet.until_up(node)

    @FAULTS.add("freeze")
    async def freeze(self) -> None:
        """Let one node stand still for a while."""
        node = self.pick()
        with self.disturbance(node):
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            node.signal(signal.SIGCONT)

    @FAULTS.add("stop")
    async def stop(self) -> None:
        """Stop an entry as planned and start it again."""
        node = self.pick("entry")
        node.signal(signal.SIGTERM)
        await self.again(node)

    @FAULTS.add("stop_control")
    async def stop_control(self) -> None:
        """Stop a control VM as planned and start it again."""
        node = self.pick("control")
        with self.disturbance(node):
            node.signal(signal.SIGTERM)
            await self.again(node)

    @FAULTS.add("kill_controls")
    async def kill_controls(self) -> None:
        """Kill all control VMs at the same moment."""
        nodes = [node for node in self.fleet.nodes if node.role == "control"]
        for node in nodes:
            node.signal(signal.SIGKILL)
        await asyncio.gather(*(self.again(node) for node in nodes))

    @FAULTS.add("misbehave")
    async def misbehave(self) -> None:
        """Let one worker misbehave for a while."""
        worker = self.rng.choice(list(self.fleet.workers))
        faults = [
            {"is_full": True},
            {"closes_without_response": True},
            {"never_responds": True},
            {"wrong_request_id": True},
            {"is_unsigned": True},
            {"status": 500},
            {"cut_after_events": self.rng.randrange(soak_fleet.EVENTS)},
        ]
        worker.behaviour = fleet_worker.Behaviour(
            events=soak_fleet.EVENTS, **self.rng.choice(faults)
        )
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        worker.behaviour = fleet_worker.Behaviour(events=soak_fleet.EVENTS)

    @FAULTS.add("harm_link")
    async def harm_link(self) -> None:
        """Delay, stall, cut or refuse one worker's link for a while, or reset it."""
        link = self.fleet.links[self.rng.choice(list(self.fleet.workers))]
        harms = [
            proxy.Faults(latency_s=0.1),
            proxy.Faults(stall=True),
            proxy.Faults(drop_to_upstream=True),
            proxy.Faults(drop_from_upstream=True),
            proxy.Faults(refuse=True),
            proxy.Faults(),
        ]
        link.faults = self.rng.choice(harms)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        # Bytes that were dropped must not be followed by later ones of the same connection.
        link.reset_all()
        link.faults = proxy.Faults()

    @FAULTS.add("leave")
    async def leave(self) -> None:
        """Replace a worker by a new instance, without a word about the old one."""
        await self.replace_worker(self.rng.choice(list(self.fleet.workers)))

    async def replace_worker(self, old: fleet_worker.Worker) -> None:
        """End a worker; another instance takes its place."""
        if old not in self.fleet.workers:
            return
        service = self.fleet.workers.pop(old)
        old.stop()
        self.fleet.links.pop(old).close()
        new = fleet_worker.Worker(f"{old.instance}x", old.model)
        new.runs = old.runs
        new.rejections = old.rejections
        await self.fleet.start_worker(new)
        self.fleet.workers[new] = service

    @FAULTS.add("say_leaving")
    async def say_leaving(self) -> None:
        """Let one worker say in its answers that it leaves, and nothing else, then replace it."""
        worker = self.rng.choice(list(self.fleet.workers))
        worker.behaviour = fleet_worker.Behaviour(events=soak_fleet.EVENTS, is_leaving=True)
        await asyncio.sleep(FAREWELL_S)
        await self.replace_worker(worker)

    @FAULTS.add("ask_for_rest")
    async def ask_for_rest(self) -> None:
        """Let some or all workers of a service turn requests away and ask for a rest."""
        service = self.rng.choice(sorted(set(self.fleet.workers.values())))
        workers = [worker for worker, of in self.fleet.workers.items() if of == service]
        # The one that most requests go to first.
        workers.sort(key=lambda worker: len(worker.runs), reverse=True)
        resting = workers[: self.rng.randrange(1, len(workers) + 1)]
        for worker in resting:
            worker.behaviour.is_full, worker.behaviour.retry_after = True, str(REST_S)
        await asyncio.sleep(self.rng.uniform(0.5, 2.5))
        for worker in resting:
            worker.behaviour.is_full, worker.behaviour.retry_after = False, None

    @FAULTS.add("name_limit")
    async def name_limit(self) -> None:
        """Let one worker name how many requests a second it takes, for longer than a window."""
        assert self.limits is not None
        worker = self.rng.choice(list(self.fleet.workers))
        if worker.behaviour.limit is not None:
            return
        now = asyncio.get_running_loop().time
        episode = self.limits.begin(worker, self.rng.choice(LIMITS), now())
        await asyncio.sleep(self.rng.uniform(*LIMITED_S))
        self.limits.end(episode, now())
