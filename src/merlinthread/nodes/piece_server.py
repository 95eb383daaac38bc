"""Serves the pieces and the manifest of an agent's weights to other agents."""

import asyncio
import random
from collections.abc import Callable

from merlinthread.coordination import fetch, fleet, pacing
from merlinthread.nodes import piece_store
from merlinthread.protocol import piece_messages

# Share of the link for outgoing pieces; the engine's responses use the rest.
UPLOAD_SHARE = 0.85
# The same while the engine serves no requests.
IDLE_UPLOAD_SHARE = 0.95
# A request that would wait longer is refused as busy, so that the peer can try another agent.
UPLOAD_WAIT_MAX_S = 0.15
# A slower transfer indicates that one of the two links is slower than configured (compare
# `piece_fetcher.TRANSFER_TARGET_S`).
UPLOAD_TARGET_S = 0.4

EMPTY_REPLY = piece_messages.PieceReply(-1, b"", b"")


class PieceServer:
    """Serves pieces to peers at the rate of `upload_pacer`."""

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

    def set_serving(self, is_serving: bool) -> None:
        """Set the upload rate according to whether the engine serves requests."""
        share = UPLOAD_SHARE if is_serving else IDLE_UPLOAD_SHARE
        self.upload_pacer.set_full_rate(share * self.link_bytes_per_s)

    async def serve(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, request: piece_messages.PieceRequest
    ) -> piece_messages.PieceReply:
        """Return a random requested piece that is held.

        The reply has the index -1 if there is none, or if the request is for another version than
        that of `manifest`. It is marked as busy if the upload would wait too long.
        """
        if (manifest.model, manifest.version) != (request.model, request.version):
            return EMPTY_REPLY
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
            return piece_messages.PieceReply(-1, b"", held)
        now = self.clock()
        free_in_s = self.upload_pacer.wait_s(now)
        if free_in_s > UPLOAD_WAIT_MAX_S:
            return piece_messages.PieceReply(-1, b"", held, True, round(free_in_s, 3))
        index = self.rng.choice(wanted)
        data = await self.store.get(manifest, index)
        if data is None:
            plan.held &= ~(1 << index)
            return piece_messages.PieceReply(-1, b"", held)
        await asyncio.sleep(self.upload_pacer.reserve(len(data), now))
        return piece_messages.PieceReply(index, data, held)


def serve_manifest(
    manifest: fleet.Manifest | None, is_reading: bool, request: piece_messages.ManifestRequest
) -> piece_messages.ManifestReply:
    """Return a reply with `manifest` if it is the requested one, otherwise one without.

    `is_reading` tells whether the requested one is being read from the origin.
    """
    if manifest is None or manifest.model != request.model:
        return piece_messages.ManifestReply(None, is_reading)
    if request.version not in (0, manifest.version):
        return piece_messages.ManifestReply(None, is_reading)
    return piece_messages.ManifestReply(manifest)
