"""The pieces of one version of a model's weights that an agent keeps in memory.

An engine's staging area has room for one version; what arrives of another waits here, and pieces
are given to peers from here without asking the engine again.
"""

import hashlib


def digest_of(data: bytes) -> str:
    """Return the SHA-256 of a piece in hex."""
    return hashlib.sha256(data).hexdigest()


class PieceStore:
    """Pieces by their index, each checked against its digest as it is put in."""

    def __init__(self, digests: list[str]) -> None:
        self.digests = digests
        self.pieces: dict[int, bytes] = {}

    def put(self, index: int, data: bytes) -> bool:
        """Keep a piece; return False, keeping nothing, if its digest is wrong."""
        if digest_of(data) != self.digests[index]:
            return False
        self.pieces[index] = data
        return True

    def get(self, index: int) -> bytes | None:
        """Return a piece, or None if it is not here."""
        return self.pieces.get(index)

    def held(self) -> int:
        """Return the bit set of the pieces that are here."""
        return sum(1 << index for index in self.pieces)

    def all(self) -> int:
        """Return the bit set of all pieces of the version."""
        return (1 << len(self.digests)) - 1

    def is_whole(self) -> bool:
        """Return whether every piece is here."""
        return len(self.pieces) == len(self.digests)
