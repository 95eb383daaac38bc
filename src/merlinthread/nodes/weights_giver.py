"""What an agent gives to its peers: manifests and pieces of the versions that it has."""

import asyncio
import random
from collections.abc import Callable

from merlinthread.coordination import fetch, pacing
from merlinthread.nodes import weights_copy
from merlinthread.protocol import node_messages

# Share of the link that outgoing pieces may take: the engine's answers share it.
OUT_SHARE = 0.85
# A peer that would have to wait longer for its piece is told to ask another.
UPLOAD_WAIT_S_MAX = 0.15

NOTHING = node_messages.PieceReply(-1, b"", b"")


class WeightsGiver:
    """Answers peers out of `copies`, the versions at this agent by their number."""

    def __init__(
        self,
        copies: dict[int, weights_copy.WeightsCopy],
        link_bytes_per_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.copies = copies
        self.clock = clock
        self.rng = rng
        self.outgoing = pacing.Pacer(OUT_SHARE * link_bytes_per_s, 0.0)

    def find(self, model: str, version: int) -> weights_copy.WeightsCopy | None:
        """Return the copy of a version, 0 for the newest, or None."""
        copy = self.copies.get(version or max(self.copies, default=0))
        return copy if copy is not None and copy.manifest.model == model else None

    def give_manifest(self, request: node_messages.ManifestRequest) -> node_messages.ManifestReply:
        """Answer a peer that asks for a manifest."""
        copy = self.find(request.model, request.version)
        return node_messages.ManifestReply(copy.manifest if copy is not None else None)

    async def give(self, request: node_messages.PieceRequest) -> node_messages.PieceReply:
        """Answer a peer that asks for a piece."""
        copy = self.find(request.model, request.version)
        if copy is None:
            return NOTHING
        now = self.clock()
        count = copy.plan.chunk_count
        held = fetch.to_bytes(copy.plan.held, count)
        if request.sender:
            copy.plan.heard(request.sender, fetch.from_bytes(request.held, count), now)
        wanted = fetch.bits(fetch.from_bytes(request.wanted, count) & copy.plan.held)
        if not wanted:
            return node_messages.PieceReply(-1, b"", held)
        if self.outgoing.wait_s(now) > UPLOAD_WAIT_S_MAX:
            return node_messages.PieceReply(-1, b"", held, True)
        index = self.rng.choice(wanted)
        data = copy.store.get(index)
        assert data is not None, "a piece that is held lies in the store"
        await asyncio.sleep(self.outgoing.reserve(len(data), now))
        return node_messages.PieceReply(index, data, held)
