"""Grants entries the permits that keep back ends within their rate limits.

Only the control VM that holds the leader's lease grants permits, so that no two do so at once. The
state is not replicated: a new leader knows of no granted permits and has no unused ones.
"""

import math
from collections.abc import Callable

from merlinthread import logs, metrics
from merlinthread.coordination import entry_ranks, rate_limits
from merlinthread.nodes import log_member
from merlinthread.protocol import node_messages

# A query repeated within this time gets the same reply again instead of a second permit.
REPEAT_WINDOW_S = 1.0
REPLIES_MAX = 1024


class PermitServer:
    """Replies to the permit queries of entries on one control VM."""

    def __init__(self, member: log_member.LogMember, clock: Callable[[], float]) -> None:
        self.member = member
        self.clock = clock
        self.allocator: rate_limits.PermitAllocator | None = None
        self.entries = entry_ranks.EntryRanks()
        # The last replies and their times, by the address and number of the query.
        self.replies: dict[tuple[str, int], tuple[float, node_messages.PermitReply]] = {}

    def reply_to(self, query: node_messages.LoadQuery) -> node_messages.PermitReply:
        """Return the reply to a query; one repeated within REPEAT_WINDOW_S gets the same reply."""
        now = self.clock()
        replied_at, previous = self.replies.get((query.address, query.number), (-math.inf, None))
        if previous is not None and now - replied_at <= REPEAT_WINDOW_S:
            return previous
        assert query.permit is not None
        reply = self.decide(query.permit, query.address, now)
        if reply.decision is not None:
            self.replies[query.address, query.number] = (now, reply)
        while len(self.replies) > REPLIES_MAX:
            del self.replies[next(iter(self.replies))]
        return reply

    def decide(
        self, request: rate_limits.PermitRequest, entry: str, now: float
    ) -> node_messages.PermitReply:
        """Decide on the request of the entry at an address, or refer it to the leader."""
        if not self.member.holds_lease():
            self.allocator = None
            leader = self.member.leader_address()
            is_other = leader != self.member.address
            return node_messages.PermitReply(None, leader if is_other else "")
        if self.allocator is None:
            self.allocator = rate_limits.PermitAllocator(now)
            logs.event("permits_counted_here", entry=entry)
        self.entries.record(entry, now)
        decision = self.allocator.decide(request, now)
        metrics.permits_total.labels("given" if decision.instance else "denied").inc()
        self.update_metrics()
        rank = self.entries.rank_of(entry)
        return node_messages.PermitReply(decision, "", len(self.entries.ranked), rank, now)

    def update_metrics(self) -> None:
        """Update the metric of the total limit of all back ends."""
        assert self.allocator is not None
        allowances = self.allocator.allowances.values()
        metrics.limited_per_second.set(sum(allowance.per_s for allowance in allowances))
