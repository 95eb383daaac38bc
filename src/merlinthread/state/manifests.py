"""Manifests, which list the chunks of one version of a model or adapter."""

import dataclasses
import pathlib

import blake3
import msgspec

from merlinthread import errors

DIGEST_BYTES = 32


@dataclasses.dataclass(slots=True, frozen=True)
class Manifest:
    """One version of a model or adapter; `object` is its name at the origin.

    `chunks` holds the BLAKE3 digests in hex. All chunks are `chunk_bytes` long except the last,
    which may be shorter.
    """

    object: str
    size_bytes: int
    chunk_bytes: int
    chunks: tuple[str, ...]

    def chunk_size(self, index: int) -> int:
        """Return the size in bytes of the chunk at `index`."""
        return min(self.chunk_bytes, self.size_bytes - index * self.chunk_bytes)

    def chunk_offset(self, index: int) -> int:
        """Return the byte offset of the chunk at `index`."""
        return index * self.chunk_bytes


def digest_of(manifest: Manifest) -> str:
    """Return the digest by which bundles refer to a manifest."""
    return blake3.blake3(encode(manifest)).hexdigest()


def encode(manifest: Manifest) -> bytes:
    """Encode a manifest as canonical JSON, with sorted keys."""
    return msgspec.json.encode(manifest, order="sorted")


def decode(data: bytes, digest: str) -> Manifest:
    """Decode a manifest; raise WeightsError if its digest differs or it is inconsistent."""
    found = blake3.blake3(data).hexdigest()
    if found != digest:
        raise errors.WeightsError(f"manifest {digest}: the received data has digest {found}")
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except msgspec.DecodeError as error:
        raise errors.WeightsError(f"manifest {digest} cannot be decoded: {error}")
    if manifest.chunk_bytes < 1 or manifest.size_bytes < 1:
        raise errors.WeightsError(f"manifest {digest}: size_bytes and chunk_bytes must be positive")
    expected = -(-manifest.size_bytes // manifest.chunk_bytes)
    if expected != len(manifest.chunks):
        raise errors.WeightsError(
            f"manifest {digest} lists {len(manifest.chunks)} chunks; its size needs {expected}"
        )
    return manifest


def from_file(path: pathlib.Path, name: str, chunk_bytes: int) -> Manifest:
    """Build the manifest of the file at `path`, to be published as object `name`.

    Raises WeightsError if the file is empty.
    """
    chunks = []
    size = 0
    with open(path, "rb") as file:
        while data := file.read(chunk_bytes):
            chunks.append(blake3.blake3(data).hexdigest())
            size += len(data)
    if not chunks:
        raise errors.WeightsError(f"{path} is empty; a manifest needs at least one byte")
    return Manifest(name, size, chunk_bytes, tuple(chunks))


def to_dict(manifest: Manifest) -> dict[str, object]:
    """Return the manifest as a dictionary, for load commands to engines."""
    return {
        "object": manifest.object,
        "size_bytes": manifest.size_bytes,
        "chunk_bytes": manifest.chunk_bytes,
        "chunks": list(manifest.chunks),
    }
