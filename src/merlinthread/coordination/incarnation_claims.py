"""Claims of incarnations to a place that another one holds: an id, or an address.

A heartbeat may arrive after its sender has ended and another incarnation has taken its place, so
that a single one does not show which of the two is running. The one that continues to send while
the other is silent is running.
"""

import collections
import dataclasses

from merlinthread.coordination import fleet

# The oldest claims are dropped above this number.
CLAIMS_MAX = 4096
# A claim is proven by heartbeats that arrive over this many heartbeat intervals. It is below 1,
# since intervals vary.
PROOF_HEARTBEATS = 0.75
# A holder that was heard from this many heartbeat intervals ago may still be running.
HOLDER_SILENCE_HEARTBEATS = 1.25


@dataclasses.dataclass(slots=True)
class Claim:
    """The last heartbeat of an incarnation that holds no place.

    `since` is when its first heartbeat arrived after the last one of the holder, None if none has.
    An incarnation that is displaced held the place before.
    """

    sequence: int
    since: float | None
    is_displaced: bool = False


class ClaimTable:
    """The claims of incarnations that send about every `heartbeat_s`, oldest first."""

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.claims: collections.OrderedDict[str, Claim] = collections.OrderedDict()

    def is_displaced(self, instance: str) -> bool:
        """Return whether an incarnation held a place that another one has taken."""
        claim = self.claims.get(instance)
        return claim is not None and claim.is_displaced

    def displace(self, heartbeat: fleet.Heartbeat) -> None:
        """Record that an incarnation, of which this is the last heartbeat, has lost its place."""
        self.put(heartbeat.instance, Claim(heartbeat.sequence, None, is_displaced=True))

    def withdraw(self, instance: str) -> None:
        """Remove the claim of an incarnation, if there is one."""
        self.claims.pop(instance, None)

    def record(self, heartbeat: fleet.Heartbeat, holder_heard_at: float, now: float) -> bool:
        """Record a claimant's heartbeat; return whether it proves that the claimant is running.

        `holder_heard_at` is when the last heartbeat of the place's holder arrived.
        """
        claim = self.claims.get(heartbeat.instance)
        if claim is None:
            self.put(heartbeat.instance, Claim(heartbeat.sequence, now))
            return False
        if heartbeat.sequence <= claim.sequence:
            return False
        claim.sequence = heartbeat.sequence
        if claim.since is None or holder_heard_at > claim.since:
            claim.since = now
            return False
        if now - holder_heard_at < HOLDER_SILENCE_HEARTBEATS * self.heartbeat_s:
            return False
        return now - claim.since >= PROOF_HEARTBEATS * self.heartbeat_s

    def refute(self, instance: str) -> None:
        """Begin the proof of a claim anew, since another process is at the claimant's address."""
        claim = self.claims.get(instance)
        if claim is not None:
            claim.since = None

    def put(self, instance: str, claim: Claim) -> None:
        """Set the claim of an incarnation, and drop the oldest claims above the limit."""
        self.claims.pop(instance, None)
        self.claims[instance] = claim
        while len(self.claims) > CLAIMS_MAX:
            self.claims.popitem(last=False)
