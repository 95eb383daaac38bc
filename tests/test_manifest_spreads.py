"""Distribution of a manifest to 30 agents after an origin outage, without a network.

Guards against agents that all poll the origin, or wait for it, instead of asking their peers.
"""

import asyncio
import random

import pytest

from merlinthread import errors
from merlinthread.coordination import fetch, fleet
from merlinthread.nodes import manifest_finder
from merlinthread.protocol import node_messages

AGENTS = 30
ZONES = 3
MANIFEST = fleet.Manifest("m", 3, 16, ["00"] * 4)


class World:
    """Engine and network of all agents, with counts of attempted and successful origin reads."""

    def __init__(self) -> None:
        self.is_origin_up = False
        self.tried = 0
        self.given = 0
        self.have: set[str] = set()
        self.names = [f"10.{n % ZONES}.0.{n}:1" for n in range(AGENTS)]

    async def fetch_manifest(self, origin, model, version):
        self.tried += 1
        await asyncio.sleep(0)
        if not self.is_origin_up:
            raise errors.UnreachableError("refused")
        self.given += 1
        return MANIFEST

    async def call(self, address, request, timeout_s):
        await asyncio.sleep(0)
        manifest = MANIFEST if address in self.have else None
        return node_messages.ManifestReply(manifest)

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
        self.have.add(name)


@pytest.fixture(autouse=True)
def short_rounds(monkeypatch):
    monkeypatch.setattr(manifest_finder, "PEER_RETRY_INTERVAL_S", 0.002)


def test_about_one_agent_of_a_zone_tries_an_origin_that_is_away():
    async def scenario():
        world = World()
        tasks = [asyncio.create_task(world.find(name)) for name in world.names]
        while world.tried < 60:
            await asyncio.sleep(0)
        world.is_origin_up = True
        await asyncio.gather(*tasks)
        assert world.have == set(world.names)
        # Most agents must get the manifest from peers, to leave the origin's link to pieces.
        assert world.given <= AGENTS // 3

    asyncio.run(scenario())


def test_whose_turn_it_is_goes_by_lot_about_once_a_zone_and_round():
    world = World()
    finders = [
        manifest_finder.ManifestFinder(name, world, world, lambda: 0.0, random.Random(name))
        for name in world.names
    ]
    rounds = 200
    turns = sum(
        f.draw_origin_retry(world.peers(f.own_address)) for f in finders for _ in range(rounds)
    )
    assert 0.8 * ZONES * rounds <= turns <= 1.2 * ZONES * rounds


def test_a_version_that_is_overtaken_is_not_looked_for_any_longer():
    async def scenario():
        world = World()
        rng = random.Random(1)
        clock = asyncio.get_running_loop().time
        finder = manifest_finder.ManifestFinder(world.names[0], world, world, clock, rng)
        with pytest.raises(errors.UnreachableError):
            async with asyncio.timeout(0.5):
                finder.last_failed = ("m", 3)
                wanted = iter([True, True, False])
                await finder.find(
                    "origin", "m", 3, world.peers(finder.own_address), lambda: next(wanted, False)
                )

    asyncio.run(scenario())
