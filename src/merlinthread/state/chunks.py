"""The chunks that a target VM holds: files in a folder, or memory, within a bound."""

import dataclasses
import os
import pathlib
import threading
from collections.abc import Iterable

import blake3

from merlinthread import errors
from merlinthread.state import records


@dataclasses.dataclass(slots=True)
class Held:
    """One chunk; `data` is None if it is in a file."""

    size: int
    data: bytes | None


def digest_of(data: bytes) -> str:
    """Return the digest that a manifest lists for a chunk."""
    return blake3.blake3(data).hexdigest()


class ChunkStore:
    """Verified chunks by digest.

    Keeps at most `bound_bytes`; pinned chunks never go, others go oldest first. Files that were
    left by an earlier process are verified when first read, so a restart reads nothing again from
    the network that is sound. Safe to use from several threads.
    """

    def __init__(self, folder: pathlib.Path | None, bound_bytes: int) -> None:
        self.folder = folder
        self.bound_bytes = bound_bytes
        self.chunks: dict[str, Held] = {}
        self.unverified: set[str] = set()
        self.pinned: set[str] = set()
        self.used_bytes = 0
        self.lock = threading.Lock()
        if folder is not None:
            self.find_files(folder)

    def find_files(self, folder: pathlib.Path) -> None:
        """List the chunk files of an earlier process and remove half-written ones."""
        folder.mkdir(parents=True, exist_ok=True)
        for path in sorted(folder.iterdir(), key=lambda path: path.stat().st_mtime):
            if path.suffix == ".part":
                path.unlink()
                continue
            size = path.stat().st_size
            self.chunks[path.name] = Held(size, None)
            self.unverified.add(path.name)
            self.used_bytes += size

    def has(self, digest: str) -> bool:
        """Return whether the chunk is here and sound."""
        if digest in self.unverified:
            return self.read(digest) is not None
        return digest in self.chunks

    def read(self, digest: str) -> bytes | None:
        """Return the chunk, or None; a file that does not match its digest is removed."""
        with self.lock:
            held = self.chunks.get(digest)
        if held is None:
            return None
        if held.data is not None:
            return held.data
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
        """Keep a chunk.

        Raises WeightsError if `data` has another digest, DiskFullError if neither the bound nor the
        disk leaves room for it.
        """
        found = digest_of(data)
        if found != digest:
            raise errors.WeightsError(f"chunk {digest} was asked for, its bytes have {found}")
        with self.lock:
            if digest in self.chunks:
                return
            self.make_room(len(data))
            if self.folder is not None:
                self.write_file(self.folder, digest, data)
            self.chunks[digest] = Held(len(data), None if self.folder is not None else data)
            self.used_bytes += len(data)

    def write_file(self, folder: pathlib.Path, digest: str, data: bytes) -> None:
        """Write one chunk file all at once; its digest shows later whether it is whole."""
        part = folder / f"{digest}.part"
        try:
            part.write_bytes(data)
        except OSError as error:
            part.unlink(missing_ok=True)
            raise records.as_disk_full(error, part)
        os.replace(part, folder / digest)

    def make_room(self, size: int) -> None:
        """Remove unpinned chunks, oldest first, until `size` more bytes fit."""
        for digest in list(self.chunks):
            if self.used_bytes + size <= self.bound_bytes:
                return
            if digest not in self.pinned:
                self.drop(digest)
        if self.used_bytes + size > self.bound_bytes:
            raise errors.DiskFullError(
                f"the chunk store holds {self.used_bytes} of {self.bound_bytes} bytes, all in use; "
                f"raise store_bytes"
            )

    def pin(self, digests: Iterable[str]) -> None:
        """Make `digests` the only chunks that must stay."""
        with self.lock:
            self.pinned = set(digests)

    def remove(self, digest: str) -> None:
        """Remove one chunk."""
        with self.lock:
            self.drop(digest)

    def drop(self, digest: str) -> None:
        """Remove one chunk; the caller holds the lock."""
        held = self.chunks.pop(digest, None)
        self.unverified.discard(digest)
        if held is None:
            return
        self.used_bytes -= held.size
        if self.folder is not None:
            (self.folder / digest).unlink(missing_ok=True)
