"""How an agent gets the manifest of a version: from the origin for its zone, else from a peer.

All agents hear of a version within a tenth of a second. If each asked the origin, the manifests of
60 agents (6.5 KB each) would take 0.4 s of its link, just when the first pieces are wanted, and
more connections than it bears. So the agent that is first for the version in its zone asks the
origin, and the others ask that one.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

from merlinthread import errors, logs
from merlinthread.coordination import fetch, fleet
from merlinthread.nodes import engine_client
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

# How long the others wait for the first of their zone: a manifest takes 20 to 100 ms from an origin
# that answers.
ZONE_WAIT_S = 0.5
ASK_EVERY_S = 0.04
# How many peers are asked for a manifest that the origin does not give.
PEERS_ASKED = 3
PEER_TIMEOUT_S = 0.3


class ManifestFinder:
    """Finds manifests for the agent at `me` ("IP:port")."""

    def __init__(
        self,
        me: str,
        engine: engine_client.EngineClient,
        caller: node_bus.Caller,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.me = me
        self.engine = engine
        self.caller = caller
        self.clock = clock
        self.rng = rng

    async def find(
        self, origin: str, model: str, version: int, peers: Sequence[fetch.Peer]
    ) -> fleet.Manifest:
        """Return a version's manifest; version 0 is the newest one.

        Raises the origin's error if neither it nor one of the peers asked gives it.
        """
        first = first_of_zone(self.me, f"{model}@{version}", peers)
        if first != self.me:
            manifest = await self.from_first(first, model, version)
            if manifest is not None:
                return manifest
        try:
            return await self.engine.manifest(origin, model, version)
        except errors.MerlinthreadError:
            for peer in self.rng.sample(peers, min(PEERS_ASKED, len(peers))):
                manifest = await self.from_peer(peer.bus, model, version)
                if manifest is not None:
                    return manifest
            raise

    async def from_first(self, first: str, model: str, version: int) -> fleet.Manifest | None:
        """Return the manifest once the first agent of the zone has it; None if that takes long."""
        deadline = self.clock() + ZONE_WAIT_S
        while self.clock() < deadline:
            manifest = await self.from_peer(first, model, version)
            if manifest is not None:
                return manifest
            await asyncio.sleep(ASK_EVERY_S)
        return None

    async def from_peer(self, peer: str, model: str, version: int) -> fleet.Manifest | None:
        """Return the manifest that a peer has, or None."""
        request = node_messages.ManifestRequest(model, version)
        with contextlib.suppress(errors.MerlinthreadError):
            reply = await self.caller.call(peer, request, PEER_TIMEOUT_S)
            if reply.manifest is not None:
                logs.event("manifest_from_peer", version=version, peer=peer)
            return reply.manifest
        return None


def first_of_zone(me: str, manifest: str, peers: Sequence[fetch.Peer]) -> str:
    """Return the agent of this zone that is first for a manifest, in rendezvous order."""
    zone = [peer.name for peer in peers if peer.distance == fetch.OWN_ZONE] + [me]
    return max(zone, key=lambda name: fetch.weight(name, manifest, -1))
