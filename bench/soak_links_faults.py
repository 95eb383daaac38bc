"""Faults of the soak of shared links; each one is injected from outside."""

import asyncio
import collections
import random
import signal
from collections.abc import Awaitable, Callable

from bench import soak_links_fleet, soak_nodes
from merlinthread import registry

FAULTS: registry.Registry[Callable[["FaultInjector"], Awaitable[None]]] = registry.Registry(
    "fault of shared links"
)
SERIES_MAX = 3
INTERVAL_S = (2.0, 6.0)
SERIES_INTERVAL_S = (0.05, 0.6)
STOP_S = (0.1, 1.0)


class FaultInjector:
    """Injects series of faults that lose no control VM; `kinds` are names in `FAULTS`."""

    def __init__(
        self, fleet: soak_links_fleet.LinkFleet, rng: random.Random, kinds: tuple[str, ...]
    ) -> None:
        self.fleet = fleet
        self.rng = rng
        self.kinds = kinds
        self.injected: collections.Counter = collections.Counter()

    async def run(self, kind: str) -> None:
        """Inject one series of a kind after another until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(*INTERVAL_S))
            await self.inject_series(kind)

    async def inject_series(self, kind: str) -> None:
        """Inject a series of faults of one kind, at random control VMs."""
        for _ in range(self.rng.randrange(1, SERIES_MAX + 1)):
            self.injected[kind] += 1
            await FAULTS.get(kind)(self)
            await asyncio.sleep(self.rng.uniform(*SERIES_INTERVAL_S))

    async def stop_in_series(self) -> None:
        """Suspend control VMs one after another, if the run has such faults."""
        if "stop" in self.kinds:
            await self.inject_series("stop")

    def start(self) -> list[asyncio.Task]:
        """Start the faults that may occur at any time, each kind on its own."""
        loop = asyncio.get_running_loop()
        return [loop.create_task(self.run(kind)) for kind in self.kinds if kind != "stop"]

    def pick_node(self) -> soak_nodes.Node:
        """Return a random control VM."""
        return self.rng.choice(self.fleet.nodes)

    def pick_pair(self) -> set[str]:
        """Return the IPs of two random control VMs, or of all of them."""
        ips = list(self.fleet.control_ips)
        return set(ips if self.rng.random() < 0.3 else self.rng.sample(ips, min(2, len(ips))))

    @FAULTS.add("stop")
    async def suspend(self) -> None:
        """Suspend a control VM for a while."""
        node = self.pick_node()
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(*STOP_S))
        node.signal(signal.SIGCONT)

    @FAULTS.add("reload")
    async def reload(self) -> None:
        """Let a control VM reload its settings."""
        node = self.pick_node()
        # The signal would end a process that has not installed its handler yet.
        if (await self.fleet.call(node.ip, "GET", "/config"))[0]:
            node.signal(signal.SIGHUP)

    @FAULTS.add("reset")
    async def reset(self) -> None:
        """Reset the open connections between control VMs."""
        self.fleet.relay.reset(self.pick_pair())

    @FAULTS.add("silence")
    async def silence(self) -> None:
        """Let the open connections between control VMs go silent for good."""
        self.fleet.relay.silence(self.pick_pair())
