"""The body of a request while it is received."""

# Small parts of a body are joined to blocks of up to this size: a part of two bytes as an object of
# its own takes over 40 bytes.
BODY_BLOCK_BYTES = 64 * 1024


class RequestBody:
    """Joins the parts of a body; `size` is their total in bytes."""

    def __init__(self) -> None:
        self.chunks: list[bytearray] = []
        self.size = 0

    def add(self, data: bytes | bytearray) -> None:
        """Add a part."""
        self.size += len(data)
        if self.chunks and len(self.chunks[-1]) + len(data) <= BODY_BLOCK_BYTES:
            self.chunks[-1] += data
        else:
            self.chunks.append(bytearray(data))

    def join(self) -> bytes:
        """Return the body received so far."""
        return b"".join(self.chunks)
