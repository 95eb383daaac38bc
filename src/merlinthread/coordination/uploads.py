"""Concurrency limit and chunk selection for uploads to peers."""

from merlinthread.coordination import fetch


class UploadSlots:
    """Limits concurrent uploads, and selects the least often sent chunk for each."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.in_use = 0
        self.send_counts: dict[tuple[str, int], int] = {}

    def acquire(self) -> bool:
        """Acquire a slot without waiting; return False if none is free."""
        if self.in_use >= self.slots:
            return False
        self.in_use += 1
        return True

    def release(self) -> None:
        """Release a slot."""
        self.in_use -= 1

    def choose_chunk(self, manifest: str, offered: int) -> int:
        """Return the chunk of the bit set `offered` that was sent least often, and count it."""
        index = min(
            fetch.bit_positions(offered), key=lambda i: self.send_counts.get((manifest, i), 0)
        )
        self.send_counts[(manifest, index)] = self.send_counts.get((manifest, index), 0) + 1
        return index

    def forget(self, manifest: str) -> None:
        """Discard the counts of a manifest."""
        self.send_counts = {
            key: count for key, count in self.send_counts.items() if key[0] != manifest
        }
