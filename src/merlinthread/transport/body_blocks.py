"""Bodies as blocks of limited size, which are sent without being joined or copied.

Objects of several megabytes leave gaps between longer-lived ones when they are freed, and the gaps
stay resident; blocks of one size can take each other's place.
"""

from collections.abc import Iterator

# A part of two bytes as an object of its own takes over 40 bytes.
BLOCK_BYTES = 64 * 1024


class BodyBlocks:
    """Joins the parts of a body to blocks in `chunks`; `size` is their total in bytes."""

    def __init__(self) -> None:
        self.chunks: list[bytearray] = []
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def add(self, data: bytes | bytearray) -> None:
        """Add a part."""
        self.size += len(data)
        rest = memoryview(data)
        while rest:
            if not self.chunks or len(self.chunks[-1]) >= BLOCK_BYTES:
                self.chunks.append(bytearray())
            block = self.chunks[-1]
            taken = BLOCK_BYTES - len(block)
            block += rest[:taken]
            rest = rest[taken:]

    def join(self) -> bytes:
        """Return the body received so far as one object."""
        return b"".join(self.chunks)

    def take(self) -> list[bytearray]:
        """Return the blocks and keep none, so that each is freed once it is not used."""
        taken, self.chunks, self.size = self.chunks, [], 0
        return taken


Body = bytes | BodyBlocks


def split(body: Body) -> Iterator[memoryview]:
    """Iterate over the parts of a body, of up to `BLOCK_BYTES` each and without copies."""
    blocks = body.chunks if isinstance(body, BodyBlocks) else [body]
    for block in blocks:
        view = memoryview(block)
        for offset in range(0, len(view), BLOCK_BYTES):
            yield view[offset : offset + BLOCK_BYTES]
