"""A pace for bulk transfers on a link that others use too, and the rate that one had of late."""

import collections


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


class RecentRate:
    """How fast a count has grown within the last `window_s`."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.samples: collections.deque[tuple[float, int]] = collections.deque()

    def note(self, count: int, now: float) -> None:
        """Note what the count is now."""
        self.samples.append((now, count))
        while len(self.samples) > 1 and self.samples[1][0] <= now - self.window_s:
            self.samples.popleft()

    def per_s(self) -> float:
        """Return the growth a second, or 0 if too little was noted."""
        if len(self.samples) < 2:
            return 0.0
        (first_at, first), (last_at, last) = self.samples[0], self.samples[-1]
        return (last - first) / max(last_at - first_at, 1e-6)
