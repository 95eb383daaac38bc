"""The entries that lately sent something to a node, each with its rank among them.

Entries that can't reach the node take turns by these ranks (`coordination.permit_slots`).
"""

import bisect
import math

# Entries not heard from for this long are dropped.
ENTRY_EXPIRY_S = 60.0
PRUNE_INTERVAL_S = 5.0
# Bounds the memory; a datagram may name any address.
ENTRIES_MAX = 4096


class EntryRanks:
    """The addresses of entries, in order."""

    def __init__(self) -> None:
        self.heard_at: dict[str, float] = {}
        self.ranked: list[str] = []
        self.pruned_at = -math.inf

    def record(self, address: str, now: float) -> None:
        """Record that an entry was heard from; drop those not heard from for ENTRY_EXPIRY_S."""
        if now - self.pruned_at > PRUNE_INTERVAL_S:
            self.pruned_at = now
            self.heard_at = {
                entry: at for entry, at in self.heard_at.items() if now - at <= ENTRY_EXPIRY_S
            }
            self.ranked = sorted(self.heard_at)
        if address not in self.heard_at:
            if len(self.heard_at) >= ENTRIES_MAX:
                return
            bisect.insort(self.ranked, address)
        self.heard_at[address] = now

    def rank_of(self, address: str) -> int:
        """Return the position of an entry among all recorded ones."""
        return bisect.bisect_left(self.ranked, address)
