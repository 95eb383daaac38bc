"""Links between the regions of simulated VMs: a delay, and a bandwidth that all messages share.

Each direction between two regions has a FIFO queue. Other traffic takes a share of it, in bursts.
Links within a region, and all links by default, have no limit.
"""

import asyncio
import dataclasses
import math
import random

# What TCP sends at once of a message, and what a sender has on the link at most.
SEGMENT_BYTES = 64 * 1024
SEGMENTS_IN_FLIGHT = 4


@dataclasses.dataclass(frozen=True)
class LinkShape:
    """One direction of a link between two regions.

    Other traffic takes `cross_share` of the bandwidth, in bursts of `cross_bytes`. Its senders wait
    while more than `cross_queue_bytes` are queued, as their windows are bounded.
    """

    delay_s: float = 0.0
    mbps: float = math.inf
    cross_share: float = 0.0
    cross_bytes: tuple[int, int] = (64 * 1024, 500 * 1024)
    cross_queue_bytes: int = 512 * 1024

    def bytes_per_s(self) -> float:
        """Return the bandwidth in bytes per second."""
        return self.mbps * 1e6 / 8


UNLIMITED = LinkShape()


class Link:
    """The queue of one direction; times are those of the event loop, in seconds."""

    def __init__(self, shape: LinkShape, rng: random.Random) -> None:
        self.shape = shape
        self.rng = rng
        self.free_at = 0.0
        self.next_cross_at = 0.0 if shape.cross_share else math.inf
        self.message_bytes = 0
        self.cross_bytes = 0

    def enqueue(self, size: int, now: float) -> float:
        """Queue `size` bytes of a message; return the time at which the last one has left."""
        self.add_cross_traffic(now)
        self.message_bytes += size
        self.occupy(size, now)
        return self.free_at

    def occupy(self, size: int, now: float) -> None:
        """Let the link be busy for `size` bytes more."""
        self.free_at = max(self.free_at, now) + size / self.shape.bytes_per_s()

    def add_cross_traffic(self, now: float) -> None:
        """Queue the bursts of other traffic that began until `now`."""
        while self.next_cross_at <= now:
            size = self.rng.randint(*self.shape.cross_bytes)
            queued = (self.free_at - self.next_cross_at) * self.shape.bytes_per_s()
            if queued <= self.shape.cross_queue_bytes:
                self.cross_bytes += size
                self.occupy(size, self.next_cross_at)
            mean_s = size / (self.shape.cross_share * self.shape.bytes_per_s())
            self.next_cross_at += mean_s * self.rng.uniform(0.5, 1.5)


class Links:
    """The links between all regions; a VM is in a region of its own unless `regions` names one.

    `shapes` holds the links by sending and receiving region; the others are as `default`.
    """

    def __init__(self, seed: int, default: LinkShape = UNLIMITED) -> None:
        self.seed = seed
        self.default = default
        self.shapes: dict[tuple[str, str], LinkShape] = {}
        self.regions: dict[str, str] = {}
        self.links: dict[tuple[str, str], Link] = {}

    def region_of(self, ip: str) -> str:
        """Return the region of a VM."""
        return self.regions.get(ip, ip)

    def are_unlimited(self) -> bool:
        """Return whether no link has a delay or a limit."""
        return self.default == UNLIMITED and not self.shapes

    def between(self, sender: str, receiver: str) -> Link:
        """Return the link from one VM to another."""
        pair = (self.region_of(sender), self.region_of(receiver))
        if pair not in self.links:
            shape = self.shapes.get(pair, self.default)
            if pair[0] == pair[1]:
                shape = UNLIMITED
            self.links[pair] = Link(shape, random.Random(f"{self.seed} cross traffic {pair}"))
        return self.links[pair]


class Transfer:
    """A message of `size` bytes on its way; its caller may abandon it."""

    def __init__(self, size: int) -> None:
        self.unsent = size
        self.is_abandoned = False
        self.has_arrived = False

    def is_in_flight(self) -> bool:
        """Return whether all bytes are on the link, where a sender can't discard them."""
        return not self.unsent and not self.has_arrived

    async def send(self, link: Link) -> None:
        """Wait until the last byte has left; a few segments are queued at a time."""
        if math.isinf(link.shape.mbps):
            self.unsent = 0
            return
        loop = asyncio.get_running_loop()
        ends: list[float] = []
        while self.unsent:
            segment = min(self.unsent, SEGMENT_BYTES)
            ends.append(link.enqueue(segment, loop.time()))
            self.unsent -= segment
            if len(ends) >= SEGMENTS_IN_FLIGHT:
                await asyncio.sleep(ends[-SEGMENTS_IN_FLIGHT] - loop.time())
        await asyncio.sleep(ends[-1] - loop.time())
