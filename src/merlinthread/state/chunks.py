"""Bounded, content-addressed store of chunks, in a directory or in memory."""

import dataclasses
import os
import pathlib
import threading
from collections.abc import Iterable

import blake3

from merlinthread import errors
from merlinthread.state import records


@dataclasses.dataclass(slots=True)
class StoredChunk:
    """A chunk in the store; `data` is None if the chunk is in a file."""

    size: int
    data: bytes | None


def digest_of(data: bytes) -> str:
    """Return the BLAKE3 digest of a chunk in hex, as listed in manifests."""
    return blake3.blake3(data).hexdigest()


class ChunkStore:
    """Verified chunks by digest, at most `capacity_bytes` in total.

    Unpinned chunks are evicted oldest first; pinned ones are kept. Files of an earlier process are
    verified on first access, so intact chunks are not downloaded again after a restart. Instances
    may be shared between threads.
    """

    def __init__(self, folder: pathlib.Path | None, capacity_bytes: int) -> None:
        self.folder = folder
        self.capacity_bytes = capacity_bytes
        self.chunks: dict[str, StoredChunk] = {}
        self.unverified: set[str] = set()
        self.pinned: set[str] = set()
        self.used_bytes = 0
        self.lock = threading.Lock()
        if folder is not None:
            self.index_files(folder)

    def index_files(self, folder: pathlib.Path) -> None:
        """Index the chunk files of an earlier process, and remove partially written ones."""
        folder.mkdir(parents=True, exist_ok=True)
        for path in sorted(folder.iterdir(), key=lambda path: path.stat().st_mtime):
            if path.suffix == ".part":
                path.unlink()
                continue
            size = path.stat().st_size
            self.chunks[path.name] = StoredChunk(size, None)
            self.unverified.add(path.name)
            self.used_bytes += size

    def has(self, digest: str) -> bool:
        """Return whether the chunk is stored; verify it first if an earlier process wrote it."""
        if digest in self.unverified:
            return self.read(digest) is not None
        return digest in self.chunks

    def read(self, digest: str) -> bytes | None:
        """Return the data of a chunk, or None if it is not stored.

        Files of an earlier process that do not match their digest are removed.
        """
        with self.lock:
            stored = self.chunks.get(digest)
        if stored is None:
            return None
        if stored.data is not None:
            return stored.data
        assert self.folder is not None
        try:
            data = (self.folder / digest).read_bytes()
        except FileNotFoundError:
            data = b""
        if digest in self.unverified:
            if digest_of(data) != digest:
                self.remove(digest)
                return None
            self.unverified.discard(digest)
        return data

    def add(self, digest: str, data: bytes) -> None:
        """Store a chunk, evicting others if needed.

        Raises WeightsError if `data` does not match `digest`, and DiskFullError if the capacity or
        the disk is exhausted.
        """
        found = digest_of(data)
        if found != digest:
            raise errors.WeightsError(f"chunk {digest}: the received data has digest {found}")
        with self.lock:
            if digest in self.chunks:
                return
            self.make_room(len(data))
            if self.folder is not None:
                self.write_file(self.folder, digest, data)
            self.chunks[digest] = StoredChunk(len(data), None if self.folder is not None else data)
            self.used_bytes += len(data)

    def write_file(self, folder: pathlib.Path, digest: str, data: bytes) -> None:
        """Write a chunk file atomically but without fsync; a later process verifies its digest."""
        part = folder / f"{digest}.part"
        try:
            part.write_bytes(data)
        except OSError as error:
            part.unlink(missing_ok=True)
            raise records.as_disk_full(error, part)
        os.replace(part, folder / digest)

    def make_room(self, size: int) -> None:
        """Evict unpinned chunks, oldest first, until `size` more bytes fit.

        Raises DiskFullError if the pinned chunks leave too little space. The caller holds the lock.
        """
        for digest in list(self.chunks):
            if self.used_bytes + size <= self.capacity_bytes:
                return
            if digest not in self.pinned:
                self.remove_locked(digest)
        if self.used_bytes + size > self.capacity_bytes:
            raise errors.DiskFullError(
                f"the chunk store uses {self.used_bytes} of {self.capacity_bytes} bytes, all "
                f"pinned; raise store_bytes"
            )

    def pin(self, digests: Iterable[str]) -> None:
        """Replace the set of pinned chunks."""
        with self.lock:
            self.pinned = set(digests)

    def remove(self, digest: str) -> None:
        """Remove a chunk, if it is stored."""
        with self.lock:
            self.remove_locked(digest)

    def remove_locked(self, digest: str) -> None:
        """Remove a chunk, if it is stored; the caller holds the lock."""
        stored = self.chunks.pop(digest, None)
        self.unverified.discard(digest)
        if stored is None:
            return
        self.used_bytes -= stored.size
        if self.folder is not None:
            (self.folder / digest).unlink(missing_ok=True)
