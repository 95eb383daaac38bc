"""Reports, at the leader, for how long and why the group tolerates too few failures."""

from collections.abc import Callable
from typing import Any

from merlinthread import logs, metrics
from merlinthread.coordination import membership_repair, raft, raft_members
from merlinthread.nodes import log_sender

# How often a leader logs that the group tolerates too few failures.
REPORT_INTERVAL_S = 1.0


class RepairMonitor:
    """Tracks the tolerance of failures, and the replication to each member, while it is too low.

    `get_raft` returns the Raft instance of the member, which is replaced when the member rejoins;
    `sender` counts what is sent to the others.
    """

    def __init__(
        self, get_raft: Callable[[], raft.Raft], sender: log_sender.LogSender, fault_tolerance: int
    ) -> None:
        self.get_raft = get_raft
        self.sender = sender
        self.fault_tolerance = fault_tolerance
        self.reduced_since: float | None = None
        self.reported_at = float("-inf")

    def update(self, group: membership_repair.GroupStatus, now: float) -> None:
        """Record the tolerance of this leader's group; log when it changes, and periodically."""
        lost = membership_repair.may_be_lost(group, now)
        tolerated = raft_members.failures_tolerated(len(group.membership.voters), len(lost))
        metrics.losses_bearable.set(tolerated)
        if tolerated >= self.fault_tolerance:
            self.end(tolerated, now)
            return
        if self.reduced_since is None:
            self.reduced_since = now
            self.reported_at = now
        if now - self.reported_at >= REPORT_INTERVAL_S:
            self.reported_at = now
            self.report(group, tolerated, lost, now)

    def end(self, tolerated: int, now: float) -> None:
        """Log that the group tolerates enough failures again."""
        if self.reduced_since is None:
            return
        logs.event(
            "tolerance_restored",
            after_s=round(now - self.reduced_since, 3),
            losses_bearable=tolerated,
        )
        self.reduced_since = None

    def reset(self) -> None:
        """Forget the state of the group, as this member does not lead any more."""
        self.reduced_since = None

    def report(
        self, group: membership_repair.GroupStatus, tolerated: int, lost: list[str], now: float
    ) -> None:
        """Log what is known of each member while the group tolerates too few failures."""
        member = self.get_raft()
        logs.warning(
            "tolerance_reduced",
            since_s=round(now - (self.reduced_since or now), 3),
            losses_bearable=tolerated,
            voters=group.membership.voters,
            lost=lost,
            joiners=sorted(group.joiners),
            has_lease=member.holds_lease(now),
            commit=member.commit,
            members={name: self.describe(name, now) for name in sorted(member.progress)},
        )

    def describe(self, name: str, now: float) -> dict[str, Any]:
        """Return how far a member is behind, and what was sent to it, for the log."""
        member = self.get_raft()
        progress = member.progress[name]
        sent = self.sender.statistics(name)
        return {
            "behind": max(0, member.commit - progress.match),
            "unacknowledged": progress.next - 1 - progress.match,
            "silent_s": round(now - progress.heard_at, 3),
            "rejected": progress.rejected,
            "sent_bytes": sent.sent_bytes,
            "failed_sends": sent.failed_sends,
            "round_trip_s": round(sent.round_trip_s, 3),
        }
