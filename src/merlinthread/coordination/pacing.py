"""Bulk transfers on a link that others use too: their pace, how many at once, their rate of late.

What a link is told to carry may be wrong; windows and paces learn from how long transfers take.
"""

import collections

# Of how many transfers most must have been slow, the growth after one that was not, and the least
# share of the full rate.
FEEDBACKS = 4
FEEDBACK_GROWTH = 1.1
FEEDBACK_LEAST = 0.05


class Pacer:
    """Spreads transfers so that they take at most a share of a link, without bursts.

    A transfer may begin once the ones before it would be over at the pace.
    """

    def __init__(self, bytes_per_s: float, ahead_s: float = 0.0) -> None:
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

    def reserve_until(self, size: int, now: float) -> float:
        """Take the next place for `size` bytes; return when the link is through with them."""
        self.reserve(size, now)
        return self.free_at

    def record_arrival(self, size: int, now: float) -> float:
        """Return when the link is through with `size` bytes that were on it until `now`.

        They occupied it while they came, so bytes that came no faster than the rate are through
        at once.
        """
        begun = max(self.free_at, now - size / self.bytes_per_s)
        self.free_at = begun + size / self.bytes_per_s
        return self.free_at

    def cancel_reservation(self, size: int) -> None:
        """Return the place of a transfer that did not happen."""
        self.free_at -= size / self.bytes_per_s


class TransferWindow:
    """How many transfers may be under way at once: fewer while each takes long.

    A link may carry far less than it is told to. What is asked for beyond that waits in front of
    it, and everything else with it; so the window halves when a transfer took over `target_s` and
    grows by about one a round otherwise (additive increase, multiplicative decrease; kin: LEDBAT,
    RFC 6817).
    """

    def __init__(self, most: int, target_s: float) -> None:
        self.most = most
        self.target_s = target_s
        self.size = float(most)
        self.halved_at = float("-inf")
        self.last_duration_s = 0.0

    def has_room(self, under_way: int) -> bool:
        """Return whether one more may begin beside those under way."""
        return under_way < int(self.size)

    def record(self, took_s: float, now: float) -> None:
        """Note how long a transfer took; one that began before the last halving tells nothing."""
        self.last_duration_s = took_s
        if took_s <= self.target_s:
            self.size = min(self.most, self.size + 1 / self.size)
        elif now - took_s >= self.halved_at:
            self.size = max(1.0, self.size / 2)
            self.halved_at = now


class FeedbackPacer(Pacer):
    """A pacer that learns from receivers whether its link carries what it is told to.

    Each tells how long the last transfer from here took. If most of the last ones, to more than one
    receiver, took over `target_s`, the rate halves; it grows again by a tenth with each that did
    not. One receiver alone may have a slow link of its own.
    """

    def __init__(self, bytes_per_s: float, ahead_s: float, target_s: float) -> None:
        super().__init__(bytes_per_s, ahead_s)
        self.most = bytes_per_s
        self.target_s = target_s
        self.last: collections.deque[tuple[str, bool]] = collections.deque(maxlen=FEEDBACKS)

    def set_full_rate(self, bytes_per_s: float) -> None:
        """Change the full rate; what was learnt of the link stays as a share of it."""
        self.bytes_per_s *= bytes_per_s / self.most
        self.most = bytes_per_s

    def record(self, receiver: str, took_s: float) -> None:
        """Note what a receiver tells of its last transfer from here."""
        self.last.append((receiver, took_s > self.target_s))
        slow = {name for name, is_slow in self.last if is_slow}
        count = sum(is_slow for _, is_slow in self.last)
        if took_s <= self.target_s:
            self.bytes_per_s = min(self.most, self.bytes_per_s * FEEDBACK_GROWTH)
        elif count > FEEDBACKS // 2 and len(slow) > 1:
            self.bytes_per_s = max(self.most * FEEDBACK_LEAST, self.bytes_per_s / 2)
            self.last.clear()


class RecentRate:
    """How fast a count has grown within the last `window_s`."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.samples: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, count: int, now: float) -> None:
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
