"""Gives pieces of an agent's weights, and their manifest, to its peers."""

import asyncio
import random
from collections.abc import Callable

from merlinthread.coordination import fetch, fleet, pacing
from merlinthread.nodes import piece_store
from merlinthread.protocol import node_messages

# Share of the link that pieces may take on their way out: the engine's answers share it.
UPLOAD_SHARE = 0.85
# An engine that serves nothing has no answers that pieces could hold up.
IDLE_UPLOAD_SHARE = 0.95
# A peer that would have to wait longer is told when to come back: another may be free.
UPLOAD_WAIT_S_MAX = 0.15
# A piece that took longer from here to its receiver shows that one of the two links carries less
# than it should (`piece_fetcher.TRANSFER_TARGET_S`).
UPLOAD_TARGET_S = 0.4

NOTHING = node_messages.PieceReply(-1, b"", b"")


class PieceServer:
    """Answers the peers of one agent; pieces leave at the pace of `outgoing`."""

    def __init__(
        self,
        store: piece_store.PieceStore,
        clock: Callable[[], float],
        rng: random.Random,
        link_bytes_per_s: float,
    ) -> None:
        self.store = store
        self.clock = clock
        self.rng = rng
        self.link_bytes_per_s = link_bytes_per_s
        self.upload_pacer = pacing.FeedbackPacer(
            UPLOAD_SHARE * link_bytes_per_s, 0.0, UPLOAD_TARGET_S
        )

    def note_serving(self, is_serving: bool) -> None:
        """Set the pace by whether the engine serves requests beside the pieces."""
        share = UPLOAD_SHARE if is_serving else IDLE_UPLOAD_SHARE
        self.upload_pacer.set_full_rate(share * self.link_bytes_per_s)

    async def serve(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, request: node_messages.PieceRequest
    ) -> node_messages.PieceReply:
        """Answer a peer that asks for one of some pieces of `manifest`."""
        if (manifest.model, manifest.version) != (request.model, request.version):
            return NOTHING
        count = len(manifest.digests)
        held = fetch.bitset_to_bytes(plan.held, count)
        if request.took_s:
            self.upload_pacer.record(request.sender, request.took_s)
        if request.sender:
            plan.on_peer_report(
                request.sender, fetch.bitset_from_bytes(request.held, count), self.clock()
            )
        wanted = fetch.bit_positions(fetch.bitset_from_bytes(request.wanted, count) & plan.held)
        if not wanted:
            return node_messages.PieceReply(-1, b"", held)
        now = self.clock()
        free_in_s = self.upload_pacer.wait_s(now)
        if free_in_s > UPLOAD_WAIT_S_MAX:
            return node_messages.PieceReply(-1, b"", held, True, round(free_in_s, 3))
        index = self.rng.choice(wanted)
        data = await self.store.get(manifest, index)
        if data is None:
            plan.held &= ~(1 << index)
            return node_messages.PieceReply(-1, b"", held)
        await asyncio.sleep(self.upload_pacer.reserve(len(data), now))
        return node_messages.PieceReply(index, data, held)


def serve_manifest(
    manifest: fleet.Manifest | None, request: node_messages.ManifestRequest
) -> node_messages.ManifestReply:
    """Answer a peer that asks for a manifest with the one that is here, if it is that one."""
    if manifest is None or manifest.model != request.model:
        return node_messages.ManifestReply(None)
    if request.version not in (0, manifest.version):
        return node_messages.ManifestReply(None)
    return node_messages.ManifestReply(manifest)
