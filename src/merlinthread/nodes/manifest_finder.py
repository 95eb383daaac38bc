"""Lookup of the manifest of a version, from the origin or from a peer.

All agents learn of a new version at about the same time. To limit the load on the origin, the
agents of an availability zone are put in rendezvous order: the first reads from the origin, the
others poll their predecessors and turn to the origin one by one if those neither have the manifest
nor are reading it.

While the origin is unavailable, agents query random peers. In each round, one agent per zone on
average retries the origin; the manifest then spreads by gossip (Demers et al. 1987).
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

from merlinthread import errors, logs
from merlinthread.coordination import fetch, fleet
from merlinthread.nodes import engine_client
from merlinthread.protocol import piece_messages
from merlinthread.transport import node_bus

# Delay before an agent reads from the origin, per predecessor. A usual read takes 20 to 100 ms.
ORIGIN_STAGGER_S = 0.25
PREDECESSOR_WAIT_MAX_S = 1.0
PREDECESSORS_POLLED = 3
PREDECESSOR_POLL_INTERVAL_S = 0.04
PEERS_QUERIED = 3
PEER_RETRY_INTERVAL_S = 0.1
PEER_TIMEOUT_S = 0.3
# Several times the transfer time of a manifest, since readers of pieces share the origin's link:
# 6.5 KB take 0.12 s of 4.38 Mbit/s that ten readers share.
ORIGIN_TIMEOUT_S = 0.5
FIND_TIMEOUT_S = 2.0
DISTRUST_DELAY_S = 2.0
DISTRUST_DELAY_MAX_S = 16.0


class ManifestFinder:
    """Finds manifests for the agent at `own_address` ("IP:port").

    `piece_count` returns the configured number of pieces, or 0 if it is not known.
    """

    def __init__(
        self,
        own_address: str,
        engine: engine_client.EngineClient,
        rpc_client: node_bus.RpcClient,
        clock: Callable[[], float],
        rng: random.Random,
        piece_count: Callable[[], int] = lambda: 0,
    ) -> None:
        self.own_address = own_address
        self.piece_count = piece_count
        self.engine = engine
        self.rpc_client = rpc_client
        self.clock = clock
        self.rng = rng
        # Model and version of the last failed read from the origin.
        self.last_failed = ("", 0)
        # Model and version that is being read from the origin.
        self.reading = ("", 0)
        # Model and version of a manifest that is accepted from the origin only, and how often the
        # origin has sent it again.
        self.distrusted = ("", 0)
        self.distrust_count = 0
        # Time of the next read that the origin allows (Retry-After).
        self.origin_not_before = float("-inf")

    async def find(
        self,
        origin: str,
        model: str,
        version: int,
        peers: Sequence[fetch.Peer],
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> fleet.Manifest:
        """Return a version's manifest; version 0 is the newest published one.

        Raises the last error of the origin if no manifest is found within FIND_TIMEOUT_S or once
        `is_wanted` returns false.
        """
        is_new = self.last_failed != (model, version)
        if is_new:
            predecessors = zone_predecessors(self.own_address, f"{model}@{version}", peers)
            manifest = await self.poll_predecessors(predecessors, model, version)
            if manifest is not None:
                return manifest
        deadline = self.clock() + FIND_TIMEOUT_S
        may_read_origin = is_new and self.clock() >= self.origin_not_before
        reason: errors.MerlinthreadError = errors.UnreachableError(f"{origin}: not tried yet")
        while is_wanted() and self.clock() < deadline:
            try:
                if may_read_origin:
                    return await self.read_from_origin(origin, model, version)
            except errors.MerlinthreadError as error:
                self.last_failed = (model, version)
                self.origin_not_before = self.clock() + engine_client.origin_retry_delay_s(error)
                reason = error
            manifest = await self.query_random_peers(peers, model, version)
            if manifest is not None:
                return manifest
            await asyncio.sleep(PEER_RETRY_INTERVAL_S)
            may_read_origin = self.clock() >= self.origin_not_before and self.draw_origin_retry(
                peers
            )
        raise reason

    def distrust(self, manifest: fleet.Manifest) -> None:
        """Accept this manifest from the origin only, after a delay that grows if it comes again."""
        name = (manifest.model, manifest.version)
        self.distrust_count = self.distrust_count + 1 if name == self.distrusted else 0
        self.distrusted = name
        delay_s = min(DISTRUST_DELAY_MAX_S, DISTRUST_DELAY_S * self.distrust_count)
        self.origin_not_before = max(self.origin_not_before, self.clock() + delay_s)

    async def find_better_copy(
        self,
        origin: str,
        manifest: fleet.Manifest,
        peers: Sequence[fetch.Peer],
        first_peers: Sequence[str],
        is_better: Callable[[fleet.Manifest], bool],
    ) -> fleet.Manifest | None:
        """Return a copy of a manifest that `is_better` accepts, or None if there is none.

        The origin is read only if neither `first_peers` nor other random peers have one.
        """
        model, version = manifest.model, manifest.version
        others = [peer.bus for peer in peers if peer.bus not in first_peers]
        queried = [
            *first_peers[:PEERS_QUERIED],
            *self.rng.sample(others, min(PEERS_QUERIED, len(others))),
        ]
        replies = await asyncio.gather(*(self.query_peer(peer, model, version) for peer in queried))
        for reply in replies:
            if reply.manifest is not None and is_better(reply.manifest):
                return reply.manifest
        if self.clock() < self.origin_not_before:
            return None
        try:
            copy = await self.read_from_origin(origin, model, version)
        except errors.MerlinthreadError as error:
            self.origin_not_before = self.clock() + engine_client.origin_retry_delay_s(error)
            return None
        return copy if is_better(copy) else None

    async def read_from_origin(self, origin: str, model: str, version: int) -> fleet.Manifest:
        """Read the manifest from the origin.

        Raises UnreachableError after ORIGIN_TIMEOUT_S: an origin that has just recovered is busy
        with pieces, and a peer is likely to respond sooner. Raises ProtocolError if it is not the
        requested one.
        """
        self.reading = (model, version)
        try:
            async with asyncio.timeout(ORIGIN_TIMEOUT_S):
                manifest = await self.engine.fetch_manifest(origin, model, version)
        except TimeoutError:
            raise errors.UnreachableError(
                f"{origin}: no manifest received within {ORIGIN_TIMEOUT_S} s"
            )
        finally:
            self.reading = ("", 0)
        if not is_requested(manifest, model, version):
            raise errors.ProtocolError(
                f"{origin}: manifest of {manifest.model} version {manifest.version} for {model} "
                f"version {version}"
            )
        if not self.has_piece_count(manifest):
            logs.warning(
                "manifest_refused",
                model=model,
                version=manifest.version,
                pieces=len(manifest.digests),
                configured=self.piece_count(),
                remedy="correct the manifest, or `chunks` in the configuration",
            )
            raise errors.ProtocolError(
                f"{origin}: manifest of {len(manifest.digests)} pieces for {self.piece_count()}"
            )
        return manifest

    def has_piece_count(self, manifest: fleet.Manifest) -> bool:
        """Return whether a manifest has a digest for each configured piece.

        The engine's layers need as many, so that without one some layer would lack a piece.
        """
        return self.piece_count() in (0, len(manifest.digests))

    def is_distrusted(self, manifest: fleet.Manifest, version: int) -> bool:
        """Return whether a peer's manifest is not accepted for `version`, 0 being any."""
        return not version and (manifest.model, manifest.version) == self.distrusted

    def is_reading(self, model: str, version: int) -> bool:
        """Return whether a version is being read from the origin; version 0 is any version."""
        return self.reading[0] == model and version in (0, self.reading[1])

    def draw_origin_retry(self, peers: Sequence[fetch.Peer]) -> bool:
        """Return true with probability 1/n, where n is the number of agents in this zone."""
        agent_count = sum(peer.distance == fetch.SAME_ZONE for peer in peers) + 1
        return self.rng.random() * agent_count < 1

    async def query_random_peers(
        self, peers: Sequence[fetch.Peer], model: str, version: int
    ) -> fleet.Manifest | None:
        """Query PEERS_QUERIED random peers; return the manifest, or None if none of them has it."""
        queried = self.rng.sample(peers, min(PEERS_QUERIED, len(peers)))
        reply = await self.query_peers([peer.bus for peer in queried], model, version)
        return reply.manifest

    async def poll_predecessors(
        self, predecessors: Sequence[str], model: str, version: int
    ) -> fleet.Manifest | None:
        """Poll the first predecessors for the manifest; return None if it is this agent's turn.

        That is the case after ORIGIN_STAGGER_S per predecessor. While a predecessor reads the
        manifest, wait up to ORIGIN_TIMEOUT_S longer, after which its read has failed.
        """
        queried = predecessors[:PREDECESSORS_POLLED]
        turn_at = self.clock() + min(PREDECESSOR_WAIT_MAX_S, ORIGIN_STAGGER_S * len(predecessors))
        while queried:
            reply = await self.query_peers(queried, model, version)
            if reply.manifest is not None:
                return reply.manifest
            if self.clock() >= turn_at + ORIGIN_TIMEOUT_S * reply.is_reading:
                return None
            await asyncio.sleep(PREDECESSOR_POLL_INTERVAL_S)
        return None

    async def query_peers(
        self, peers: Sequence[str], model: str, version: int
    ) -> piece_messages.ManifestReply:
        """Query peers at once; return the manifest, or whether one of them is reading it."""
        replies = await asyncio.gather(*(self.query_peer(peer, model, version) for peer in peers))
        manifest = next((reply.manifest for reply in replies if reply.manifest is not None), None)
        return piece_messages.ManifestReply(manifest, any(reply.is_reading for reply in replies))

    async def query_peer(self, peer: str, model: str, version: int) -> piece_messages.ManifestReply:
        """Return a peer's reply; one without a manifest if the call fails or it is another one."""
        request = piece_messages.ManifestRequest(model, version)
        with contextlib.suppress(errors.MerlinthreadError):
            reply = await self.rpc_client.call(peer, request, PEER_TIMEOUT_S)
            if reply.manifest is None:
                return reply
            is_usable = self.has_piece_count(reply.manifest) and is_requested(
                reply.manifest, model, version
            )
            if is_usable and not self.is_distrusted(reply.manifest, version):
                logs.event("manifest_from_peer", version=version, peer=peer)
                return reply
        return piece_messages.ManifestReply(None)


def is_requested(manifest: fleet.Manifest, model: str, version: int) -> bool:
    """Return whether a manifest is of the model and version; version 0 is any version."""
    return manifest.model == model and version in (0, manifest.version)


def zone_predecessors(own_address: str, manifest: str, peers: Sequence[fetch.Peer]) -> list[str]:
    """Return the agents of this zone that precede `own_address` in rendezvous order."""
    zone_agents = [peer.name for peer in peers if peer.distance == fetch.SAME_ZONE] + [own_address]
    zone_agents.sort(key=lambda name: fetch.rendezvous_weight(name, manifest, -1), reverse=True)
    return zone_agents[: zone_agents.index(own_address)]
