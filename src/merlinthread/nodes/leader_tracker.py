"""What a member of the replicated log knows of its leader, and how old its applied state may be."""

from collections.abc import Callable

from merlinthread import logs, metrics
from merlinthread.coordination import raft
from merlinthread.state import journal

# A follower whose staleness is at most this many heartbeats has caught up; the entries that it
# applies were committed just now.
CAUGHT_UP_HEARTBEATS = 2
# Reported in place of an unknown age; finite, so that it can be encoded and compared.
UNKNOWN_AGE_S = 1e6
# How often a member without a known leader logs a warning.
NO_LEADER_LOG_INTERVAL_S = 2.0


class LeaderTracker:
    """Tracks the leader, and when this member was last up to date with a majority.

    `get_raft` returns the Raft instance of the member, which is replaced when the member rejoins.
    """

    def __init__(self, clock: Callable[[], float], get_raft: Callable[[], raft.Raft]) -> None:
        self.clock = clock
        self.get_raft = get_raft
        self.last_leader = ""
        self.leaderless_since = clock()
        self.leaderless_logged_at = clock()
        self.reset()

    def reset(self) -> None:
        """Forget when the state was up to date, as it was opened anew."""
        self.current_at = float("-inf")
        # The leader and term under which `log_current` was logged last.
        self.logged_current = ("", 0)

    # Age of the state

    def staleness_s(self, now: float) -> float:
        """Return the seconds since this member was last known to be up to date with a majority."""
        return min(UNKNOWN_AGE_S, max(0.0, now - self.current_at))

    def caught_up_s(self) -> float:
        """Return the staleness up to which this member has caught up."""
        return CAUGHT_UP_HEARTBEATS * self.get_raft().timing.heartbeat_s

    def commit_age_max_s(self, entry: journal.Entry, now: float) -> float:
        """Return the maximum age of the commit of an entry that is applied now, in seconds.

        It was committed after this member was last known to be up to date, and just now if this
        member is the leader that proposed it.
        """
        member = self.get_raft()
        if member.is_leader() and entry.term == member.hard_state.term:
            return 0.0
        age_s = self.staleness_s(now)
        return age_s if age_s > self.caught_up_s() else 0.0

    def update_current_at(self, applied: int, version: int) -> None:
        """Update the time at which this member was last known to be up to date with a majority.

        A leader is up to date while a majority replies to it, once it has committed an entry of its
        term. A follower is up to date when it has applied all entries that such a leader reported
        as committed. It is outdated until it has heard from one, while it catches up or waits for a
        snapshot, and while its disk is full.

        `applied` is the last applied entry, and `version` that of the applied configuration.
        """
        member = self.get_raft()
        if member.is_leader():
            if member.commit >= member.term_start_index:
                lease_s = member.timing.election_min_s * member.timing.lease_fraction
                self.current_at = member.lease_until() - lease_s
        elif applied >= member.leader_commit and member.is_of_current_term(member.leader_commit):
            self.current_at = member.leader_commit_at
        self.log_current(applied, version)

    def log_current(self, applied: int, version: int) -> None:
        """Log once per leader that this member is up to date, and with what."""
        member = self.get_raft()
        state = (member.leader, member.hard_state.term)
        is_current = self.staleness_s(self.clock()) <= self.caught_up_s()
        if not member.leader or not is_current or state == self.logged_current:
            return
        self.logged_current = state
        logs.event(
            "log_current",
            leader=member.leader,
            term=member.hard_state.term,
            applied=applied,
            applied_term=member.log.term_at(applied),
            leader_commit=member.leader_commit,
            version=version,
        )

    # Changes of the leader

    def log_change(self) -> None:
        """Log and count a change of the leader."""
        member = self.get_raft()
        if member.leader == self.last_leader:
            return
        self.last_leader = member.leader
        self.leaderless_since = self.leaderless_logged_at = self.clock()
        metrics.leader_changes_total.inc()
        logs.event("leader", leader=member.leader, term=member.hard_state.term)

    def log_missing_leader(self, now: float) -> None:
        """Log periodically that no leader is known, with the votes granted so far."""
        member = self.get_raft()
        is_due = now - self.leaderless_logged_at >= NO_LEADER_LOG_INTERVAL_S
        if member.leader or not is_due or not member.is_voter():
            return
        self.leaderless_logged_at = now
        membership = member.log.membership
        logs.warning(
            "no_leader",
            since_s=round(now - self.leaderless_since, 3),
            term=member.hard_state.term,
            last_index=member.log.last_index(),
            majority=membership.majority(),
            granted=sorted(member.votes),
            voters=membership.voters,
        )
