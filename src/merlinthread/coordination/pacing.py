"""A pace for bulk transfers on a link that others use too."""


class Pacer:
    """Spreads transfers so that they take at most a share of a link, without bursts.

    A transfer may begin once the ones before it would be over at the pace.
    """

    def __init__(self, bytes_per_s: float, ahead_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.ahead_s = ahead_s
        self.free_at = float("-inf")

    def wait_s(self, now: float) -> float:
        """Return how long a transfer would have to wait now."""
        return max(0.0, self.free_at - self.ahead_s - now)

    def reserve(self, size: int, now: float) -> float:
        """Take the next place for `size` bytes; return how long to wait for it."""
        wait_s = self.wait_s(now)
        self.free_at = max(self.free_at, now) + size / self.bytes_per_s
        return wait_s

    def give_back(self, size: int) -> None:
        """Return the place of a transfer that did not happen."""
        self.free_at -= size / self.bytes_per_s
