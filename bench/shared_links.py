"""A model of the link between two regions: bandwidth, queue, delay and cross traffic.

The functions perform no I/O; times are seconds on the caller's clock.
"""

import dataclasses
import random

BYTES_PER_MEGABIT = 125_000.0
# Bytes that an idle link sends at once.
BURST_BYTES = 16 * 1024
CROSS_TRAFFIC_BYTES = (64 * 1024, 500 * 1024)


@dataclasses.dataclass(slots=True)
class LinkProfile:
    """The properties of all links of a run.

    `cross_traffic` is the share of the bandwidth that other traffic takes, 0 to 1. The other
    traffic adds nothing to a queue of `queue_bytes` or more.
    """

    bytes_per_s: float = 20 * BYTES_PER_MEGABIT
    delay_s: float = 0.003
    cross_traffic: float = 0.8
    queue_bytes: int = 500_000


class SharedLink:
    """One direction of a link, as a token bucket with a FIFO queue for all its traffic."""

    def __init__(self, profile: LinkProfile, now: float) -> None:
        self.profile = profile
        # When the bucket is without debt; it is full after a further BURST_BYTES.
        self.free_at = now - BURST_BYTES / profile.bytes_per_s
        self.bytes_sent = 0
        self.waits: list[float] = []

    def queued_bytes(self, now: float) -> float:
        """Return the bytes that wait to be sent."""
        return max(0.0, self.free_at - now) * self.profile.bytes_per_s

    def transmit(self, size: int, now: float) -> float:
        """Queue `size` bytes; return the time at which the last one arrives."""
        self.bytes_sent += size
        self.waits.append(max(0.0, self.free_at - now))
        return self.occupy(size, now) + self.profile.delay_s

    def occupy(self, size: int, now: float) -> float:
        """Queue `size` bytes of other traffic; return the time at which they have been sent."""
        full_at = now - BURST_BYTES / self.profile.bytes_per_s
        self.free_at = max(self.free_at, full_at) + size / self.profile.bytes_per_s
        return max(now, self.free_at)


@dataclasses.dataclass(slots=True)
class CrossTraffic:
    """Bursts of other traffic on a link, at random times."""

    link: SharedLink
    rng: random.Random

    def next_delay_s(self) -> float:
        """Return the seconds until the next burst."""
        profile = self.link.profile
        mean_bytes = sum(CROSS_TRAFFIC_BYTES) / 2
        return self.rng.expovariate(profile.cross_traffic * profile.bytes_per_s / mean_bytes)

    def send_burst(self, now: float) -> None:
        """Queue a burst, unless the queue is full."""
        size = self.rng.randrange(*CROSS_TRAFFIC_BYTES)
        if self.link.queued_bytes(now) < self.link.profile.queue_bytes:
            self.link.occupy(size, now)
