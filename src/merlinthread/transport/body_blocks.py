"""Bodies as blocks of limited size, which are sent without being joined or copied.

Objects of several megabytes leave gaps between longer-lived ones when they are freed, and the gaps
stay resident; blocks of one size can take each other's place.
"""

from collections.abc import Iterable, Iterator

import h11

# A part of two bytes as an object of its own takes over 40 bytes.
BLOCK_BYTES = 64 * 1024


class BodyBlocks:
    """Joins the parts of a body to blocks; `size` is their total in bytes.

    `length` is that of the whole body if it is known. Blocks have their full size from the start,
    since one that grows is moved and leaves a gap each time. Only the first block of a body of
    unknown length grows: most bodies are short.
    """

    def __init__(self, length: int | None = None) -> None:
        self.length = length
        self.size = 0
        self.blocks: list[bytearray] = []
        # The bytes of the last block that are not used.
        self.unused_bytes = 0

    def __len__(self) -> int:
        return self.size

    @property
    def chunks(self) -> list[memoryview]:
        """Return the parts of the body received so far, without copies."""
        views = [memoryview(block) for block in self.blocks]
        if self.unused_bytes:
            views[-1] = views[-1][: -self.unused_bytes]
        return views

    def add(self, data: bytes | bytearray) -> None:
        """Add a part."""
        if self.length is None and self.size + len(data) <= BLOCK_BYTES:
            self.grow_first_block(data)
            return
        rest = memoryview(data)
        while rest:
            if not self.unused_bytes:
                self.add_block(len(rest))
            taken = min(len(rest), self.unused_bytes)
            start = len(self.blocks[-1]) - self.unused_bytes
            self.blocks[-1][start : start + taken] = rest[:taken]
            self.unused_bytes -= taken
            self.size += taken
            rest = rest[taken:]

    def grow_first_block(self, data: bytes | bytearray) -> None:
        """Add a part to the only block."""
        if not self.blocks:
            self.blocks.append(bytearray())
        self.blocks[0] += data
        self.size += len(data)

    def add_block(self, byte_count: int) -> None:
        """Add a block for the next `byte_count` bytes and what follows them."""
        if self.length is not None:
            byte_count = max(byte_count, self.length - self.size)
            self.unused_bytes = min(BLOCK_BYTES, byte_count)
        else:
            self.unused_bytes = BLOCK_BYTES
        self.blocks.append(bytearray(self.unused_bytes))

    def finish(self) -> None:
        """Free the unused bytes, since the body is complete."""
        if self.unused_bytes:
            self.blocks[-1] = self.blocks[-1][: -self.unused_bytes]
            self.unused_bytes = 0

    def join(self) -> bytes:
        """Return the body received so far as one object."""
        return b"".join(self.chunks)

    def clear(self) -> None:
        """Keep no part, so that each is freed once nothing else refers to it."""
        self.size, self.blocks, self.unused_bytes = 0, [], 0


Body = bytes | BodyBlocks


def split(body: Body) -> Iterator[memoryview]:
    """Iterate over the parts of a body, of up to `BLOCK_BYTES` each and without copies."""
    views = body.chunks if isinstance(body, BodyBlocks) else [memoryview(body)]
    for view in views:
        for offset in range(0, len(view), BLOCK_BYTES):
            yield view[offset : offset + BLOCK_BYTES]


def frame(parser: h11.Connection, body: Body) -> Iterator[bytes | memoryview]:
    """Iterate over the bytes to send for a whole body: its parts, and the framing of `parser`.

    `h11` passes on any object that has a length, so that one event stands for all parts.
    """
    event = h11.Data(data=body)  # type: ignore[arg-type]
    pieces: Iterable[Body] = parser.send_with_data_passthrough(event) or ()  # type: ignore[assignment]
    for piece in pieces:
        yield from split(piece)
