"""Rate and concurrency control for bulk transfers on a shared link.

The configured rate of a link may be wrong, so windows and pacers adapt to measured transfer times.
"""

import collections

# Number of recent transfers that are considered.
FEEDBACK_WINDOW = 4
# Factor by which the rate grows after a transfer that was not slow.
FEEDBACK_GROWTH = 1.1
# Lower limit of the rate, as a share of the full rate.
FEEDBACK_MIN_SHARE = 0.05


class Pacer:
    """Spaces transfers to keep an average rate.

    A transfer may start when all earlier ones would have finished at `bytes_per_s`, or up to
    `burst_s` seconds before.
    """

    def __init__(self, bytes_per_s: float, burst_s: float = 0.0) -> None:
        self.bytes_per_s = bytes_per_s
        self.burst_s = burst_s
        self.free_at = float("-inf")

    def wait_s(self, now: float) -> float:
        """Return how long a transfer would have to wait if it were reserved now."""
        return max(0.0, self.free_at - self.burst_s - now)

    def reserve(self, size: int, now: float) -> float:
        """Reserve link time for `size` bytes; return how long to wait before sending them."""
        wait_s = self.wait_s(now)
        self.free_at = max(self.free_at, now) + size / self.bytes_per_s
        return wait_s

    def reserve_until(self, size: int, now: float) -> float:
        """Reserve link time for `size` bytes; return when the reservation ends."""
        self.reserve(size, now)
        return self.free_at

    def record_arrival(self, size: int, now: float) -> float:
        """Account for `size` bytes received up to `now`; return when they conform to the rate.

        Bytes that arrived no faster than the rate conform at once.
        """
        started_at = max(self.free_at, now - size / self.bytes_per_s)
        self.free_at = started_at + size / self.bytes_per_s
        return self.free_at

    def cancel_reservation(self, size: int) -> None:
        """Undo the reservation of a transfer that did not take place."""
        self.free_at -= size / self.bytes_per_s


class TransferWindow:
    """Limits concurrent transfers by additive increase and multiplicative decrease.

    Limits the queue at a link that is slower than configured, which would delay other traffic: the
    window halves when a transfer took longer than `target_s`, and grows by about one per window of
    transfers otherwise. LEDBAT (RFC 6817) is a related algorithm.
    """

    def __init__(self, max_size: int, target_s: float) -> None:
        self.max_size = max_size
        self.target_s = target_s
        self.size = float(max_size)
        self.halved_at = float("-inf")
        # When the last transfer that took no longer than the target ended.
        self.quick_at = float("-inf")
        self.last_duration_s = 0.0

    def has_room(self, in_flight: int) -> bool:
        """Return whether one more transfer may start beside those in flight."""
        return in_flight < int(self.size)

    def record(self, took_s: float, now: float) -> None:
        """Record the duration of a transfer that ended at `now`.

        A slow transfer that started before the last decrease does not decrease the window again.
        """
        self.last_duration_s = took_s
        if took_s <= self.target_s:
            self.quick_at = now
            self.size = min(self.max_size, self.size + 1 / self.size)
        elif now - took_s >= self.halved_at:
            self.size = max(1.0, self.size / 2)
            self.halved_at = now

    def record_failure(self, took_s: float, now: float) -> None:
        """Record a transfer that failed at `now`, `took_s` seconds after its start.

        If it took longer than the target, the link here may be slow, unless another transfer was
        quick meanwhile: then its sender failed. The window stays as it is, since it would grow too
        slowly after the loss of a zone.
        """
        if took_s > self.target_s and self.quick_at < now - took_s:
            self.last_duration_s = took_s


class FeedbackPacer(Pacer):
    """A pacer that adapts its rate to the transfer times that receivers report.

    The rate halves if most recent transfers, to more than one receiver, took longer than
    `target_s`, and grows by FEEDBACK_GROWTH with each that did not. A single slow receiver does
    not count, since its own link may be the slow one.
    """

    def __init__(self, bytes_per_s: float, burst_s: float, target_s: float) -> None:
        super().__init__(bytes_per_s, burst_s)
        self.full_bytes_per_s = bytes_per_s
        self.target_s = target_s
        self.recent: collections.deque[tuple[str, bool]] = collections.deque(maxlen=FEEDBACK_WINDOW)

    def set_full_rate(self, bytes_per_s: float) -> None:
        """Set the full rate, and scale the current rate by the same factor."""
        self.bytes_per_s *= bytes_per_s / self.full_bytes_per_s
        self.full_bytes_per_s = bytes_per_s

    def record(self, receiver: str, took_s: float) -> None:
        """Record the duration of a transfer as reported by its receiver."""
        self.recent.append((receiver, took_s > self.target_s))
        slow = {name for name, is_slow in self.recent if is_slow}
        count = sum(is_slow for _, is_slow in self.recent)
        if took_s <= self.target_s:
            self.bytes_per_s = min(self.full_bytes_per_s, self.bytes_per_s * FEEDBACK_GROWTH)
        elif count > FEEDBACK_WINDOW // 2 and len(slow) > 1:
            self.bytes_per_s = max(self.full_bytes_per_s * FEEDBACK_MIN_SHARE, self.bytes_per_s / 2)
            self.recent.clear()


class RecentRate:
    """Growth rate of a counter over the last `window_s` seconds."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.samples: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, count: int, now: float) -> None:
        """Record the value of the counter at `now`."""
        self.samples.append((now, count))
        while len(self.samples) > 1 and self.samples[1][0] <= now - self.window_s:
            self.samples.popleft()

    def per_s(self) -> float:
        """Return the growth per second, or 0 with fewer than two samples."""
        if len(self.samples) < 2:
            return 0.0
        (first_at, first), (last_at, last) = self.samples[0], self.samples[-1]
        return (last - first) / max(last_at - first_at, 1e-6)
