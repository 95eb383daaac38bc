"""Which chunk a VM gives to one that asks; few uploads run at once."""

from merlinthread.coordination import fetch


class UploadSlots:
    """Bounds how many uploads run at once and gives out the chunk it gave least often so far."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy = 0
        self.sent: dict[tuple[str, int], int] = {}

    def acquire(self) -> bool:
        """Take a slot; return whether there was one."""
        if self.busy >= self.slots:
            return False
        self.busy += 1
        return True

    def release(self) -> None:
        """Give a slot back."""
        self.busy -= 1

    def choose_chunk(self, manifest: str, offered: int) -> int:
        """Return the chunk of `offered` that was sent least often, and count it."""
        index = min(fetch.bit_positions(offered), key=lambda i: self.sent.get((manifest, i), 0))
        self.sent[(manifest, index)] = self.sent.get((manifest, index), 0) + 1
        return index

    def forget(self, manifest: str) -> None:
        """Drop the counts of a manifest."""
        self.sent = {key: count for key, count in self.sent.items() if key[0] != manifest}
