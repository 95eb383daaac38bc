"""How entries keep to back ends' limits while no control VM counts for them: by taking turns.

Time is cut into slots of one permit each, on the clock of the control VM that counted last, and the
slots go round the entries that it knew (time-division multiple access). So no word between entries
is needed, and no two of them use one slot. What an entry has no work for is lost to the others.
"""

import math
import zlib

from merlinthread.coordination import rate_limits

# How many entries there are taken to be before a control VM has ever told.
DEFAULT_ENTRIES = 16


class PermitSlots:
    """One entry's turns: the `rank`th of `entries`.

    `ahead_s` is by how much the clock of the slots is ahead of this VM's.
    """

    def __init__(self, rank: int) -> None:
        self.entries = DEFAULT_ENTRIES
        self.rank = rank % DEFAULT_ENTRIES
        self.ahead_s = 0.0
        self.began_at = -math.inf
        # The middle of the last slot used of each back end, by its name: another limit has others.
        self.used: dict[str, float] = {}
        self.swept_at = -math.inf

    def begin(self, now: float) -> None:
        """Note that no control VM counts from now on.

        What it gave out last may have been ahead of time, so the first slot is left out.
        """
        self.began_at = now

    def update(self, entries: int, rank: int, ahead_s: float) -> None:
        """Take over how many entries share the limits, and which turn this one has."""
        self.entries, self.rank, self.ahead_s = entries, rank, ahead_s

    def decide(self, request: rate_limits.PermitRequest, now: float) -> rate_limits.Decision:
        """Give a permit for the back end at which this entry has its turn first, or say when."""
        self.sweep(now)
        slots = [self.next_slot(named, now) for named in request.limits]
        starts = [
            max(now, slot * rate_limits.interval_s(named.per_s) - self.ahead_s)
            for slot, named in zip(slots, request.limits, strict=True)
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
        self.used[decision.instance] = (slots[best] + 0.5) * interval_s - self.ahead_s
        after = self.next_slot(request.limits[best], now)
        after_at = after * rate_limits.interval_s(request.limits[best].per_s) - self.ahead_s
        decision.free_in_s[best] = after_at - now
        return decision

    def next_slot(self, named: rate_limits.AdvertisedLimit, now: float) -> int:
        """Return this entry's next slot at a back end, the present one if it is unused."""
        interval_s = rate_limits.interval_s(named.per_s)
        present = math.floor((now + self.ahead_s) / interval_s)
        if self.began_at > -math.inf:
            present = max(present, math.floor((self.began_at + self.ahead_s) / interval_s) + 2)
        used_at = self.used.get(named.instance, -math.inf)
        if used_at > -math.inf:
            present = max(present, math.floor((used_at + self.ahead_s) / interval_s) + 1)
        # Turns begin elsewhere at each back end, else one entry would have them all at once.
        begin = zlib.crc32(named.instance.encode()) + self.rank
        return present + (begin - present) % self.entries

    def sweep(self, now: float) -> None:
        """Forget what is long past."""
        if now - self.swept_at >= rate_limits.IDLE_EXPIRY_S:
            self.swept_at = now
            self.used = {
                instance: used_at
                for instance, used_at in self.used.items()
                if now - used_at < rate_limits.IDLE_EXPIRY_S
            }
