"""The control VM's part in limits of back ends: the leader gives out permits for all entries.

Only a member that holds the leader's lease counts, so that no two count at once. What it knows is
not replicated: the next leader begins with nothing given and nothing saved up.
"""

import bisect
import math
from collections.abc import Callable

from merlinthread import logs, metrics
from merlinthread.coordination import rate_limits
from merlinthread.nodes import log_member
from merlinthread.protocol import node_messages

# Entries that asked within this time are taken to share the limits, in seconds.
ENTRY_EXPIRY_S = 60.0
SWEEP_EVERY_S = 5.0
# A question that comes again within this time, in seconds, gets the answer it had, not a second
# permit; and so many of them are remembered.
REPEATED_S = 1.0
ANSWERS_KEPT = 1024


class PermitServer:
    """Answers entries that ask for permits."""

    def __init__(self, member: log_member.LogMember, clock: Callable[[], float]) -> None:
        self.member = member
        self.clock = clock
        self.counter: rate_limits.PermitAllocator | None = None
        # When each entry asked last, by its address.
        self.asked_at: dict[str, float] = {}
        self.ranks: list[str] = []
        # The last answers, with when they were given, by entry and number.
        self.given: dict[tuple[str, int], tuple[float, node_messages.PermitReply]] = {}
        self.swept_at = float("-inf")

    def answer(self, query: node_messages.LoadQuery) -> node_messages.PermitReply:
        """Return the answer to a question, the same one if it was answered just now."""
        now = self.clock()
        given_at, given = self.given.get((query.address, query.number), (-math.inf, None))
        if given is not None and now - given_at <= REPEATED_S:
            return given
        assert query.permit is not None
        answer = self.decide(query.permit, query.address, now)
        if answer.decision is not None:
            self.given[query.address, query.number] = (now, answer)
        while len(self.given) > ANSWERS_KEPT:
            del self.given[next(iter(self.given))]
        return answer

    def decide(
        self, request: rate_limits.PermitRequest, entry: str, now: float
    ) -> node_messages.PermitReply:
        """Decide on the request of the entry at an address, if this VM surely leads."""
        if not self.member.holds_lease():
            self.counter = None
            leader = self.member.leader_address()
            is_other = leader != self.member.address
            return node_messages.PermitReply(None, leader if is_other else "")
        if self.counter is None:
            self.counter = rate_limits.PermitAllocator(now)
            logs.event("permits_counted_here", entry=entry)
        self.note_asked(entry, now)
        decision = self.counter.decide(request, now)
        metrics.permits_total.labels("given" if decision.instance else "denied").inc()
        self.note_allowances()
        rank = bisect.bisect_left(self.ranks, entry)
        return node_messages.PermitReply(decision, "", len(self.ranks), rank, now)

    def note_asked(self, address: str, now: float) -> None:
        """Note that an entry asks; forget those that have not of late."""
        if now - self.swept_at > SWEEP_EVERY_S:
            self.swept_at = now
            self.asked_at = {
                entry: at for entry, at in self.asked_at.items() if now - at <= ENTRY_EXPIRY_S
            }
            self.ranks = sorted(self.asked_at)
        if address not in self.asked_at:
            bisect.insort(self.ranks, address)
        self.asked_at[address] = now

    def note_allowances(self) -> None:
        """Set the figures that operators see."""
        assert self.counter is not None
        allowances = self.counter.allowances.values()
        metrics.limited_per_second.set(sum(known.per_s for known in allowances))
