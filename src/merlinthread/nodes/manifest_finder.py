"""How an agent gets the manifest of a version: from the origin for its zone, else from a peer.

All agents hear of a version within a tenth of a second. If each asked the origin, the manifests of
60 agents (6.5 KB each) would take 0.4 s of its link, just when the first pieces are wanted, and
more connections than it bears. So the agents of a zone have an order for each version: the first
asks the origin, the others ask those ahead of them, and turn to the origin one after the other if
that gives nothing (those ahead may stand still).

While the origin is away all go on asking a few others, and about one of a zone tries the origin
again every tenth of a second. Once one has the manifest, it passes on as an epidemic does (Demers
et al. 1987): reckoned, three rounds or four for 40. When each agent tried and waited by itself,
the last zone had it 1.2 s after the origin was back (log of the twin of a day on which the origin
is away when a version is named).
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
# How many peers are asked for a manifest that the origin does not give, and how often.
PEERS_ASKED = 3
AGAIN_EVERY_S = 0.1
PEER_TIMEOUT_S = 0.3
# How long one try of the origin may take. Reckoned: a manifest of 6.5 KB takes 0.12 s of 4.38
# Mbit/s that ten readers of pieces share.
ORIGIN_TRY_S = 0.5
# After so long without a manifest the reason is logged.
GIVE_UP_S = 2.0


class ManifestFinder:
    """Finds manifests for the agent at `me` ("IP:port")."""

    def __init__(
        self,
        me: str,
        engine: engine_client.EngineClient,
        caller: node_bus.RpcClient,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.me = me
        self.engine = engine
        self.caller = caller
        self.clock = clock
        self.rng = rng
        # The model and version that the origin did not give when it was last asked.
        self.missed = ("", 0)
        # Until when the origin asked to be left alone.
        self.origin_rests_until = float("-inf")

    async def find(
        self,
        origin: str,
        model: str,
        version: int,
        peers: Sequence[fetch.Peer],
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> fleet.Manifest:
        """Return a version's manifest; version 0 is the newest one.

        Raises the origin's error if neither it nor a peer gives it within GIVE_UP_S, or as soon as
        `is_wanted` tells that the version is not wanted any more.
        """
        is_new = self.missed != (model, version)
        if is_new:
            ahead = ahead_in_zone(self.me, f"{model}@{version}", peers)
            manifest = await self.from_those_ahead(ahead, model, version)
            if manifest is not None:
                return manifest
        deadline = self.clock() + GIVE_UP_S
        may_try = is_new and self.clock() >= self.origin_rests_until
        reason: errors.MerlinthreadError = errors.UnreachableError(f"{origin}: not tried")
        while is_wanted() and self.clock() < deadline:
            try:
                if may_try:
                    return await self.from_origin(origin, model, version)
            except errors.MerlinthreadError as error:
                self.missed = (model, version)
                self.origin_rests_until = self.clock() + engine_client.origin_retry_delay_s(error)
                reason = error
            manifest = await self.from_some(peers, model, version)
            if manifest is not None:
                return manifest
            await asyncio.sleep(AGAIN_EVERY_S)
            may_try = self.clock() >= self.origin_rests_until and self.is_my_turn(peers)
        raise reason

    async def from_origin(self, origin: str, model: str, version: int) -> fleet.Manifest:
        """Return the manifest that the origin gives; raise its error, or that it takes too long.

        An origin that is back is busy with pieces at once: a peer gives the manifest sooner.
        """
        try:
            async with asyncio.timeout(ORIGIN_TRY_S):
                return await self.engine.manifest(origin, model, version)
        except TimeoutError:
            raise errors.UnreachableError(f"{origin}: no manifest within {ORIGIN_TRY_S} s")

    def is_my_turn(self, peers: Sequence[fetch.Peer]) -> bool:
        """Return by lot whether to try the origin again: about one agent of a zone does."""
        zone = sum(peer.distance == fetch.SAME_ZONE for peer in peers) + 1
        return self.rng.random() * zone < 1

    async def from_some(
        self, peers: Sequence[fetch.Peer], model: str, version: int
    ) -> fleet.Manifest | None:
        """Return the manifest if one of a few peers, drawn by lot, has it."""
        asked = self.rng.sample(peers, min(PEERS_ASKED, len(peers)))
        found = await asyncio.gather(*(self.from_peer(p.bus, model, version) for p in asked))
        return next((manifest for manifest in found if manifest is not None), None)

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
    zone = [peer.name for peer in peers if peer.distance == fetch.SAME_ZONE] + [me]
    zone.sort(key=lambda name: fetch.rendezvous_weight(name, manifest, -1), reverse=True)
    return zone[: zone.index(me)]
