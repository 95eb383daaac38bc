"""Decentralised rate limiting by time slots, used while no control VM grants permits.

Time is divided into slots of one permit each, on the clock of the last control VM that granted
permits. The slots are assigned to its known entries in rotation (time-division multiple access), so
entries need no communication and never share a slot. Unused slots are lost.
"""

import math
import zlib

from merlinthread.coordination import rate_limits

# Number of entries assumed until a control VM has reported it.
DEFAULT_ENTRIES = 16


class PermitSlots:
    """One entry's time slots: number `rank`, from 0, of every `entries` slots.

    `clock_offset_s` is the offset of the slots' clock from this VM's clock, in seconds.
    """

    def __init__(self, rank: int) -> None:
        self.entries = DEFAULT_ENTRIES
        self.rank = rank % DEFAULT_ENTRIES
        self.clock_offset_s = 0.0
        self.started_at = -math.inf
        # Time of the middle of the last used slot, by back end: slot numbers change with the limit.
        self.used_at: dict[str, float] = {}
        self.pruned_at = -math.inf

    def start(self, now: float) -> None:
        """Start using time slots because no control VM grants permits any more.

        The first slot is skipped: the control VM may have granted its permit in advance.
        """
        self.started_at = now

    def update(self, entries: int, rank: int, clock_offset_s: float) -> None:
        """Update the number of entries, this entry's rank and the clock offset."""
        self.entries, self.rank, self.clock_offset_s = entries, rank, clock_offset_s

    def decide(self, request: rate_limits.PermitRequest, now: float) -> rate_limits.Decision:
        """Grant the permit of the earliest slot, or refuse with a time to retry."""
        self.prune(now)
        slots = [self.next_slot(advertised, now) for advertised in request.limits]
        starts = [
            max(now, slot * rate_limits.interval_s(advertised.per_s) - self.clock_offset_s)
            for slot, advertised in zip(slots, request.limits, strict=True)
        ]
        decision = rate_limits.Decision(free_in_s=[at - now for at in starts])
        best = min(range(len(starts)), key=lambda index: starts[index], default=None)
        if best is None:
            return decision
        if starts[best] > now + request.patience_s:
            decision.back_in_s = starts[best] - now
            return decision
        decision.instance = request.limits[best].instance
        decision.start_in_s = starts[best] - now
        interval_s = rate_limits.interval_s(request.limits[best].per_s)
        self.used_at[decision.instance] = (slots[best] + 0.5) * interval_s - self.clock_offset_s
        following = self.next_slot(request.limits[best], now)
        following_at = (
            following * rate_limits.interval_s(request.limits[best].per_s) - self.clock_offset_s
        )
        decision.free_in_s[best] = following_at - now
        return decision

    def next_slot(self, advertised: rate_limits.AdvertisedLimit, now: float) -> int:
        """Return this entry's next unused slot number for a back end."""
        interval_s = rate_limits.interval_s(advertised.per_s)
        earliest = math.floor((now + self.clock_offset_s) / interval_s)
        if self.started_at > -math.inf:
            earliest = max(
                earliest, math.floor((self.started_at + self.clock_offset_s) / interval_s) + 2
            )
        used_at = self.used_at.get(advertised.instance, -math.inf)
        if used_at > -math.inf:
            earliest = max(earliest, math.floor((used_at + self.clock_offset_s) / interval_s) + 1)
        # Offset the rotation by back end, so that an entry's slots don't all coincide.
        first = zlib.crc32(advertised.instance.encode()) + self.rank
        return earliest + (first - earliest) % self.entries

    def prune(self, now: float) -> None:
        """Drop slots used long ago."""
        if now - self.pruned_at >= rate_limits.IDLE_EXPIRY_S:
            self.pruned_at = now
            self.used_at = {
                instance: used_at
                for instance, used_at in self.used_at.items()
                if now - used_at < rate_limits.IDLE_EXPIRY_S
            }
