"""Uploads of weights: single chunks to other agents, all chunks of a manifest to the engine."""

import typing
from collections.abc import Iterator

from merlinthread import errors, metrics
from merlinthread.coordination import fetch, pacing, uploads
from merlinthread.protocol import messages
from merlinthread.state import manifests

if typing.TYPE_CHECKING:
    from merlinthread.roles import weights


class ChunkServer:
    """Replies to requests of other agents, limited by upload slots and link rate."""

    def __init__(self, weights: "weights.WeightManager") -> None:
        self.weights = weights
        self.slots = uploads.UploadSlots(weights.config.upload_slots)
        self.upload_pacer = pacing.Pacer(weights.config.link_bytes_per_s)

    def handle_message(self, message: object) -> object:
        """Return the reply to a request of another agent."""
        if isinstance(message, messages.ManifestRequest):
            return messages.ManifestReply(self.weights.store.read(message.digest) or b"")
        if isinstance(message, messages.ChunkRequest):
            return self.handle_chunk_request(message)
        raise errors.ProtocolError(f"agents don't handle {type(message).__name__} messages")

    def handle_chunk_request(self, request: messages.ChunkRequest) -> messages.ChunkReply:
        """Return one of the requested chunks, if any is stored here and an upload slot is free.

        Blocks until the transfer conforms to the link rate.
        """
        manifest = self.weights.manifests.get(request.manifest)
        if manifest is None:
            return messages.ChunkReply(messages.NO_CHUNK, b"", b"")
        count = len(manifest.chunks)
        now = self.weights.context.clock()
        with self.weights.lock:
            download = self.weights.downloads.get(request.manifest)
            plan = download.plan if download else None
            held = plan.held if plan else self.stored_chunks(manifest)
            if plan is not None:
                plan.on_peer_report(
                    request.agent, fetch.bitset_from_bytes(request.held, count), now
                )
            held_bytes = fetch.bitset_to_bytes(held, count)
            offered = held & fetch.bitset_from_bytes(request.wanted, count)
            if not offered:
                return messages.ChunkReply(messages.NO_CHUNK, b"", held_bytes)
            if not self.slots.acquire():
                return messages.ChunkReply(messages.NO_UPLOAD_SLOT, b"", held_bytes)
            index = self.slots.choose_chunk(request.manifest, offered)
            ready_at = self.upload_pacer.reserve_until(manifest.chunk_size(index), now)
        try:
            data = self.weights.store.read(manifest.chunks[index])
            if data is None:
                return messages.ChunkReply(messages.NO_CHUNK, b"", b"")
            self.weights.sleep_until(ready_at)
            metrics.chunk_bytes_sent_total.inc(len(data))
            return messages.ChunkReply(index, data, held_bytes)
        finally:
            with self.weights.lock:
                self.slots.release()

    def stored_chunks(self, manifest: manifests.Manifest) -> int:
        """Return the bit set of a manifest's chunks that are in the store."""
        return sum(
            1 << i
            for i, digest in enumerate(manifest.chunks)
            if digest in self.weights.store.chunks
        )

    def stream_manifest(self, digest: str) -> Iterator[bytes]:
        """Return an iterator over the data of all chunks of a manifest.

        Raises WeightsError before the first chunk unless all are stored here.
        """
        manifest = self.weights.manifests.get(digest)
        if manifest is None or not all(self.weights.store.has(chunk) for chunk in manifest.chunks):
            raise errors.WeightsError(
                f"manifest {digest} is not complete on this VM", kind=errors.ErrorKind.UNKNOWN_MODEL
            )
        return self.iter_chunks(manifest)

    def iter_chunks(self, manifest: manifests.Manifest) -> Iterator[bytes]:
        """Yield the data of each chunk; raise WeightsError if one is no longer stored."""
        for chunk in manifest.chunks:
            data = self.weights.store.read(chunk)
            if data is None:
                raise errors.WeightsError(
                    f"chunk {chunk} was removed from the store while the engine read the weights"
                )
            yield data
