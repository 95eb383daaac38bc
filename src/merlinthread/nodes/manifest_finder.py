"""How an agent gets the manifest of a version: from the origin for its zone, else from a peer.

All agents hear of a version within a tenth of a second. If each asked the origin, the manifests of
60 agents (6.5 KB each) would take 0.4 s of its link, just when the first pieces are wanted, and
more connections than it bears. So the agents of a zone have an order for each version: the first
asks the origin, the others ask those ahead of them, and turn to the origin one after the other if
that gives nothing (those ahead may stand still).
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

# How much longer each one waits than the one ahead of it before it asks the origin itself: a
# manifest takes 20 to 100 ms from an origin that answers.
STAGGER_S = 0.25
WAIT_S_MAX = 1.0
# How many of those ahead are asked, and how often.
AHEAD_ASKED = 3
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
        ahead = ahead_in_zone(self.me, f"{model}@{version}", peers)
        manifest = await self.from_those_ahead(ahead, model, version)
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

    async def from_those_ahead(
        self, ahead: Sequence[str], model: str, version: int
    ) -> fleet.Manifest | None:
        """Return the manifest as soon as one of those ahead has it; None if that takes long."""
        deadline = self.clock() + min(WAIT_S_MAX, STAGGER_S * len(ahead))
        while self.clock() < deadline:
            asked = ahead[:AHEAD_ASKED]
            found = await asyncio.gather(*(self.from_peer(a, model, version) for a in asked))
            manifest = next((m for m in found if m is not None), None)
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


def ahead_in_zone(me: str, manifest: str, peers: Sequence[fetch.Peer]) -> list[str]:
    """Return the agents of this zone that come before `me` in a manifest's rendezvous order."""
    zone = [peer.name for peer in peers if peer.distance == fetch.OWN_ZONE] + [me]
    zone.sort(key=lambda name: fetch.weight(name, manifest, -1), reverse=True)
    return zone[: zone.index(me)]
