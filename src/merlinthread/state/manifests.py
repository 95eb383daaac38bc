"""Manifests: the list of chunks that makes up one version of a model or adapter."""

import dataclasses
import pathlib

import blake3
import msgspec

from merlinthread import errors

DIGEST_BYTES = 32


@dataclasses.dataclass(slots=True, frozen=True)
class Manifest:
    """One version of a model or adapter; `object` is its name at the origin.

    Every chunk has `chunk_bytes` bytes but the last, which may be shorter. Digests are BLAKE3, hex.
    """

    object: str
    size_bytes: int
    chunk_bytes: int
    chunks: tuple[str, ...]

    def chunk_size(self, index: int) -> int:
        """Return the length in bytes of the chunk at `index`."""
        return min(self.chunk_bytes, self.size_bytes - index * self.chunk_bytes)

    def chunk_offset(self, index: int) -> int:
        """Return where the chunk at `index` starts in the object, in bytes."""
        return index * self.chunk_bytes


def digest_of(manifest: Manifest) -> str:
    """Return the digest that a bundle pins."""
    return blake3.blake3(encode(manifest)).hexdigest()


def encode(manifest: Manifest) -> bytes:
    """Return the manifest as JSON in a fixed order."""
    return msgspec.json.encode(manifest, order="sorted")


def decode(data: bytes, digest: str) -> Manifest:
    """Return the manifest in `data`; raise WeightsError unless it has `digest` and makes sense."""
    found = blake3.blake3(data).hexdigest()
    if found != digest:
        raise errors.WeightsError(f"manifest {digest} was asked for, its bytes have digest {found}")
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except msgspec.DecodeError as error:
        raise errors.WeightsError(f"manifest {digest} does not decode: {error}")
    if manifest.chunk_bytes < 1 or manifest.size_bytes < 1:
        raise errors.WeightsError(f"manifest {digest}: sizes must be positive")
    wanted = -(-manifest.size_bytes // manifest.chunk_bytes)
    if wanted != len(manifest.chunks):
        raise errors.WeightsError(
            f"manifest {digest} lists {len(manifest.chunks)} chunks; its size needs {wanted}"
        )
    return manifest


def from_file(path: pathlib.Path, name: str, chunk_bytes: int) -> Manifest:
    """Return the manifest of the file `path`, to be published as object `name`.

    Raises WeightsError for an empty file.
    """
    chunks = []
    size = 0
    with open(path, "rb") as file:
        while data := file.read(chunk_bytes):
            chunks.append(blake3.blake3(data).hexdigest())
            size += len(data)
    if not chunks:
        raise errors.WeightsError(f"{path} is empty; a model has at least one byte")
    return Manifest(name, size, chunk_bytes, tuple(chunks))


def to_dict(manifest: Manifest) -> dict[str, object]:
    """Return the manifest as plain data, for orders to engines."""
    return {
        "object": manifest.object,
        "size_bytes": manifest.size_bytes,
        "chunk_bytes": manifest.chunk_bytes,
        "chunks": list(manifest.chunks),
    }
