"""What one VM knows of each of the others while it fetches, and what its fetch has cost so far."""

import dataclasses

# How old a peer's word may get, by distance. New chunks are announced (`FetchPlan.audience`); this
# is for announcements that were lost.
STALE_AFTER_S = (0.5, 1.0, 1.5)


@dataclasses.dataclass(slots=True)
class PeerState:
    """What is known of one other VM: `told` is what it said last, `held` also what it announced."""

    name: str
    distance: int
    held: int = 0
    told: int = 0
    heard_at: float = float("-inf")
    not_before: float = float("-inf")
    lost_until: float = float("-inf")
    failures: int = 0

    def overdue(self, now: float) -> float:
        """Return how old its word is, in units of how old it may get; a failure counts as word."""
        return (now - self.heard_at) / STALE_AFTER_S[self.distance]


@dataclasses.dataclass(slots=True)
class FetchStats:
    """What one fetch has cost so far, in chunks."""

    from_origin: int = 0
    from_peers: int = 0
    corrupt: int = 0
    failed: int = 0
    doubled: int = 0
    busy: int = 0
    empty: int = 0
