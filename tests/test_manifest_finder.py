"""Distribution of a manifest to 30 agents after an origin outage, without a network.

Guards against agents that all poll the origin, or wait for it, instead of asking their peers.
"""

import asyncio
import random

import pytest

from merlinthread import errors
from merlinthread.coordination import fetch, fleet
from merlinthread.nodes import manifest_finder
from merlinthread.protocol import piece_messages

AGENTS = 30
ZONES = 3
MANIFEST = fleet.Manifest("m", 3, 16, ["00"] * 4)


class SimulatedAgents:
    """The engines and the network of all agents; counts attempted and served origin reads."""

    def __init__(self) -> None:
        self.is_origin_up = False
        self.origin_attempts = 0
        self.origin_reads = 0
        self.holders: set[str] = set()
        self.names = [f"10.{n % ZONES}.0.{n}:1" for n in range(AGENTS)]

    async def fetch_manifest(self, origin, model, version):
        self.origin_attempts += 1
        await asyncio.sleep(0)
        if not self.is_origin_up:
            raise errors.UnreachableError("refused")
        self.origin_reads += 1
        return MANIFEST

    async def call(self, address, request, timeout_s):
        await asyncio.sleep(0)
        manifest = MANIFEST if address in self.holders else None
        return piece_messages.ManifestReply(manifest)

    def peers(self, name: str) -> list[fetch.Peer]:
        zone = name.split(".")[1]
        return [
            fetch.Peer(other, other, fetch.OTHER_REGION * (other.split(".")[1] != zone))
            for other in self.names
            if other != name
        ]

    async def find(self, name: str) -> None:
        rng = random.Random(name)
        clock = asyncio.get_running_loop().time
        finder = manifest_finder.ManifestFinder(name, self, self, clock, rng)
        finder.last_failed = ("m", 3)
        assert await finder.find("origin", "m", 3, self.peers(name)) is MANIFEST
        self.holders.add(name)


@pytest.fixture(autouse=True)
def short_retry_interval(monkeypatch):
    monkeypatch.setattr(manifest_finder, "PEER_RETRY_INTERVAL_S", 0.002)


def test_few_agents_read_the_manifest_from_a_recovered_origin():
    async def scenario():
        agents = SimulatedAgents()
        tasks = [asyncio.create_task(agents.find(name)) for name in agents.names]
        while agents.origin_attempts < 60:
            await asyncio.sleep(0)
        agents.is_origin_up = True
        await asyncio.gather(*tasks)
        assert agents.holders == set(agents.names)
        # Most agents must get the manifest from peers, to leave the origin's link to the pieces.
        assert agents.origin_reads <= AGENTS // 3

    asyncio.run(scenario())


def test_about_one_agent_per_zone_retries_the_origin_each_round():
    agents = SimulatedAgents()
    finders = [
        manifest_finder.ManifestFinder(name, agents, agents, lambda: 0.0, random.Random(name))
        for name in agents.names
    ]
    rounds = 200
    retries = sum(
        finder.draw_origin_retry(agents.peers(finder.own_address))
        for finder in finders
        for _ in range(rounds)
    )
    assert 0.8 * ZONES * rounds <= retries <= 1.2 * ZONES * rounds


def test_superseded_version_is_no_longer_searched_for():
    async def scenario():
        agents = SimulatedAgents()
        rng = random.Random(1)
        clock = asyncio.get_running_loop().time
        finder = manifest_finder.ManifestFinder(agents.names[0], agents, agents, clock, rng)
        with pytest.raises(errors.UnreachableError):
            async with asyncio.timeout(0.5):
                finder.last_failed = ("m", 3)
                wanted = iter([True, True, False])
                await finder.find(
                    "origin", "m", 3, agents.peers(finder.own_address), lambda: next(wanted, False)
                )

    asyncio.run(scenario())
