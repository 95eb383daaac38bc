"""Per-peer state and statistics of a download."""

import dataclasses

# Age at which a peer's report is refreshed, by distance. Covers announcements that were lost.
STALE_AFTER_S = (0.5, 1.0, 1.5)


@dataclasses.dataclass(slots=True)
class PeerState:
    """State of one peer.

    `reported` is the set of chunks in its last report, `held` includes later announcements.
    """

    name: str
    distance: int
    held: int = 0
    reported: int = 0
    reported_at: float = float("-inf")
    not_before: float = float("-inf")
    unavailable_until: float = float("-inf")
    failures: int = 0

    def staleness(self, now: float) -> float:
        """Return the age of the last report or failure, as a multiple of STALE_AFTER_S."""
        return (now - self.reported_at) / STALE_AFTER_S[self.distance]


@dataclasses.dataclass(slots=True)
class FetchStats:
    """Counts of the outcomes of one download; `doubled` counts duplicate chunks."""

    from_origin: int = 0
    from_peers: int = 0
    corrupt: int = 0
    failed: int = 0
    doubled: int = 0
    busy: int = 0
    empty: int = 0
