"""Distribution of weights during a rolling upgrade, for `bench upgrade --weights`.

Each engine of the soak test gets an agent at the same IP. Versions of weights are published
one after another during the upgrade, and the agents are upgraded like all other VMs.
"""

import asyncio
import pathlib
import random
from typing import Any

from bench import soak_fleet, soak_nodes
from stand_ins import fleet_worker

AGENT_IPS = tuple(f"{soak_nodes.NETWORK}.{number}" for number in (21, 22))
PIECES = 24
PIECE_BYTES = 4096
VERSIONS = 4
# Link rate of the agents' VMs, at which the download of a version takes seconds.
LINK_MBPS = 0.4
PUBLISH_INTERVAL_S = 6.0
LOAD_TIMEOUT_S = 15.0


def make_pieces(version: int) -> list[bytes]:
    """Return the pieces of a version, derived from its number."""
    rng = random.Random(version)
    return [rng.randbytes(PIECE_BYTES) for _ in range(PIECES)]


class WeightsFleet(soak_fleet.SoakFleet):
    """The fleet of the soak test with an agent per engine and an origin, without proxy links."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.origin = fleet_worker.WeightOrigin({1: make_pieces(1)})
        self.engines = [worker for worker in self.workers if worker.model]
        self.agent_ips = dict(zip(self.engines, AGENT_IPS, strict=True))
        self.nodes += [self.make_node("agent", ip) for ip in AGENT_IPS]

    async def start(self) -> None:
        """Start the origin, then all workers and nodes."""
        await self.origin.start()
        await super().start()

    async def start_worker(self, worker: fleet_worker.Worker) -> None:
        """Start a worker; an engine gets its agent's IP and is added to the agent's settings."""
        worker.behaviour.events = soak_fleet.EVENT_COUNT
        await worker.start(self.agent_ips.get(worker, "127.0.0.1"))
        for node in self.nodes:
            if node.ip == self.agent_ips.get(worker):
                node.extra_settings = {
                    "app": worker.address,
                    "service": "model",
                    "limits": {"link_mbps": LINK_MBPS},
                    "bounds": {"grace_s": 4, "catch_up_s": soak_nodes.CATCH_UP_S},
                }

    def add_weight_settings(self, body: dict) -> dict:
        """Return a configuration with the origin and the engines' weight settings added."""
        engine_settings = {"chunks": PIECES, "chunk_bytes": PIECE_BYTES, "step_ms": 1, "stride": 1}
        for service in body["services"]:
            if "engine" in service:
                service["engine"] |= engine_settings
        origin = {"name": "origin", "origin": self.origin.address, "zone": "zone-a"}
        return body | {"services": [*body["services"], origin]}


async def publish_versions(upgrade: Any) -> None:
    """Publish one version after another; repeat each request until it is acknowledged."""
    for version in range(2, VERSIONS + 1):
        body = {"model": "m", "version": version}
        upgrade.fleet.origin.pieces[version] = make_pieces(version)
        while (await upgrade.call_control("POST", "/version-put", body))[0] != 200:
            await asyncio.sleep(0.1)
        upgrade.published_version = version
        await asyncio.sleep(PUBLISH_INTERVAL_S)


async def check_loaded_weights(upgrade: Any) -> None:
    """Wait until every engine has loaded the last version, and check its pieces."""
    fleet = upgrade.fleet
    deadline = asyncio.get_running_loop().time() + LOAD_TIMEOUT_S
    while any(engine.version != upgrade.published_version for engine in fleet.engines):
        if asyncio.get_running_loop().time() > deadline:
            loaded_versions = [engine.version for engine in fleet.engines]
            upgrade.record_violation(
                f"version {upgrade.published_version} was published, engines have {loaded_versions}"
            )
            return
        await asyncio.sleep(0.1)
    pieces = make_pieces(upgrade.published_version)
    for engine in fleet.engines:
        if [engine.loaded_pieces.get(index) for index in range(PIECES)] != pieces:
            upgrade.record_violation(
                f"{engine.instance} loaded version {engine.version} with wrong pieces"
            )
