"""The giving half of an agent's weights: chunks for other agents, whole versions for the engine."""

import typing
from collections.abc import Iterator

from merlinthread import errors, metrics
from merlinthread.coordination import fetch, pacing, uploads
from merlinthread.protocol import messages
from merlinthread.state import manifests

if typing.TYPE_CHECKING:
    from merlinthread.roles import weights


class ChunkServer:
    """Answers other agents within the upload slots and the link's share."""

    def __init__(self, weights: "weights.WeightManager") -> None:
        self.weights = weights
        self.slots = uploads.UploadSlots(weights.config.upload_slots)
        self.upload_pacer = pacing.Pacer(weights.config.link_bytes_per_s)

    def handle(self, message: object) -> object:
        """Answer another agent."""
        if isinstance(message, messages.ManifestRequest):
            return messages.ManifestReply(self.weights.store.read(message.digest) or b"")
        if isinstance(message, messages.ChunkRequest):
            return self.on_chunk_request(message)
        raise errors.ProtocolError(f"an agent does not answer {type(message).__name__}")

    def on_chunk_request(self, request: messages.ChunkRequest) -> messages.ChunkReply:
        """Give one of the wanted chunks, if an upload slot is free."""
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
        """Return which chunks of an older manifest are still here."""
        return sum(
            1 << i
            for i, digest in enumerate(manifest.chunks)
            if digest in self.weights.store.chunks
        )

    def stream_manifest(self, digest: str) -> Iterator[bytes]:
        """Give the bytes of a whole manifest, for the engine.

        Raises WeightsError before the first byte unless every chunk is here.
        """
        manifest = self.weights.manifests.get(digest)
        if manifest is None or not all(self.weights.store.has(chunk) for chunk in manifest.chunks):
            raise errors.WeightsError(
                f"manifest {digest} is not whole here", kind=errors.ErrorKind.UNKNOWN_MODEL
            )
        return self.iter_chunks(manifest)

    def iter_chunks(self, manifest: manifests.Manifest) -> Iterator[bytes]:
        """Give one chunk after another."""
        for chunk in manifest.chunks:
            data = self.weights.store.read(chunk)
            if data is None:
                raise errors.WeightsError(f"chunk {chunk} went while the engine read it")
            yield data
