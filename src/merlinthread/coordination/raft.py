"""The Raft consensus algorithm, with pre-vote, leader leases and single-server membership changes.

See Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and sections
4 and 9.6 of Ongaro's dissertation. `Raft` performs no I/O. Its owner passes in messages and the
current time, makes `Ready.hard_state` and `Ready.entries` durable, only then sends
`Ready.messages`, and calls `mark_saved`. Times are seconds on the owner's monotonic clock.
"""

import dataclasses
import math
import random

import msgspec

from merlinthread import errors
from merlinthread.coordination import (
    commit_history,
    raft_log,
    raft_members,
    raft_messages,
    raft_progress,
)
from merlinthread.state import journal

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"


class Raft:
    """One member of a Raft group.

    `first_voters` is the initial configuration, used while neither the log nor the snapshot names
    members. `identity` identifies the data folder: messages from a member that returns with another
    identity are rejected, since it has lost its votes and entries. Outdated and unexpected messages
    are ignored.
    """

    def __init__(
        self,
        name: str,
        first_voters: list[str],
        saved: journal.Journal | None,
        now: float,
        timing: raft_messages.Timing | None = None,
        limits: raft_messages.Limits | None = None,
        rng: random.Random | None = None,
        identity: str = "",
    ) -> None:
        self.name = name
        self.timing = timing or raft_messages.Timing()
        self.limits = limits or raft_messages.Limits()
        self.rng = rng or random.Random()
        self.identity = identity
        self.replaced_by = ""
        self.hard_state = dataclasses.replace(saved.hard_state) if saved else journal.HardState()
        self.log = raft_log.RaftLog(saved, first_voters)
        # Entries known to be committed can be applied after a restart without a leader.
        known_commit = min(saved.commit, self.log.last_index()) if saved else 0
        self.commit = max(self.log.snapshot.index, known_commit)
        self.delivered_index = self.log.snapshot.index
        self.role = FOLLOWER
        self.leader = ""
        self.last_known_leader = ""
        # The highest commit index in an AppendEntries of the last leader, when the last one with it
        # arrived, and its term.
        self.leader_commit = 0
        self.leader_commit_term = 0
        self.leader_commit_at = float("-inf")
        self.is_resigned = False
        # A restarted member may have extended a lease just before it stopped, so it assumes that it
        # has only now heard from a leader.
        self.heard_leader_at = now if self.hard_state.term > 0 else float("-inf")
        self.votes: set[str] = set()
        self.is_pre_vote = False
        # Candidates for which this member has deferred its election since it last heard a leader.
        self.deferred_to: set[str] = set()
        self.progress: dict[str, raft_progress.Progress] = {}
        self.commit_history = commit_history.CommitHistory(self.timing.election_max_s)
        # Sent to learners in place of the entries that it contains.
        self.prepared_snapshot: journal.Snapshot | None = None
        self.outbox: list[tuple[str, raft_messages.Message]] = []
        self.hard_state_changed = False
        self.installed_snapshot: journal.Snapshot | None = None
        self.term_start_index = 0
        self.heartbeat_at = now
        self.election_at = now
        self.reset_election(now)

    # Queries

    def is_voter(self) -> bool:
        """Return whether this member is a voter."""
        return self.name in self.log.membership.voters

    def is_leader(self) -> bool:
        """Return whether this member is leader in its term; a later term may have another leader.

        Use `holds_lease` before answering reads.
        """
        return self.role == LEADER

    def lease_until(self) -> float:
        """Return the time until which no other member can be elected, -inf without a lease."""
        if self.role != LEADER:
            return float("-inf")
        acks = [
            self.progress[name].acked_at for name in self.without_self(self.log.membership.voters)
        ]
        acks.append(float("inf"))
        acks.sort(reverse=True)
        if not self.is_voter() or len(acks) < self.log.membership.majority():
            return float("-inf")
        lease_s = self.timing.election_min_s * self.timing.lease_fraction
        return acks[self.log.membership.majority() - 1] + lease_s

    def holds_lease(self, now: float) -> bool:
        """Return whether this member holds the lease and has committed an entry of its term."""
        return (
            self.role == LEADER
            and self.commit >= self.term_start_index
            and now < self.lease_until()
        )

    def replication_status(self, now: float) -> raft_members.ReplicationStatus:
        """Return this leader's view of the replication, for membership changes.

        A new voter may lack what was committed within the last election timeout (section 4.2.1 of
        the dissertation), but no entry of an earlier term: while entries are committed all the
        time, a member never has them all.
        """
        settled = self.commit_history.index_before(now - self.timing.election_max_s)
        matches = {name: progress.match for name, progress in self.progress.items()}
        return raft_members.ReplicationStatus(
            self.name, max(self.term_start_index, settled), matches
        )

    def is_of_current_term(self, index: int) -> bool:
        """Return whether the entry at `index` is of the current term.

        If it is committed, so is the first entry of the term's leader, which then knows of all
        entries that earlier leaders committed.
        """
        return self.log.term_at(index) == self.hard_state.term

    def without_self(self, names: list[str]) -> list[str]:
        """Return `names` without this member."""
        return [name for name in names if name != self.name]

    # Timers

    def reset_election(self, now: float) -> None:
        """Restart the election timer with a random timeout."""
        timeout_s = self.rng.uniform(self.timing.election_min_s, self.timing.election_max_s)
        self.election_at = now + timeout_s

    def next_tick_at(self) -> float:
        """Return the time at which `tick` should be called next."""
        return self.heartbeat_at if self.role == LEADER else self.election_at

    def tick(self, now: float) -> None:
        """Send heartbeats, step down without a majority, or start an election, when due."""
        if self.role == LEADER:
            self.tick_leader(now)
        elif now >= self.election_at:
            self.reset_election(now)
            if self.is_voter() and not self.is_resigned:
                self.campaign(now, is_pre_vote=True)

    def tick_leader(self, now: float) -> None:
        """Send heartbeats if they are due, or step down if no majority has replied."""
        if now < self.heartbeat_at:
            return
        self.heartbeat_at = now + self.timing.heartbeat_s
        self.commit_history.record(self.commit, now)
        reachable = [
            name
            for name in self.without_self(self.log.membership.voters)
            if now - self.progress[name].heard_at < self.timing.election_max_s
        ]
        if len(reachable) + 1 < self.log.membership.majority():
            self.become_follower(self.hard_state.term, "", now)
            return
        for name in self.without_self(self.log.membership.members()):
            self.send_heartbeat(name, now)

    def resign(self, now: float) -> None:
        """Step down, and start no election until the process restarts; for a planned shutdown."""
        self.is_resigned = True
        if self.role == LEADER:
            self.become_follower(self.hard_state.term, "", now)

    # Elections

    def campaign(self, now: float, is_pre_vote: bool) -> None:
        """Request votes, or pre-votes, so that a partitioned member can't depose the leader."""
        self.role = CANDIDATE
        self.is_pre_vote = is_pre_vote
        self.leader = ""
        self.votes = {self.name}
        term = self.hard_state.term + 1
        if not is_pre_vote:
            self.set_hard_state(term, self.name)
        if len(self.votes) >= self.log.membership.majority():
            self.on_vote_quorum(now, is_pre_vote)
            return
        for name in self.without_self(self.log.membership.voters):
            request = raft_messages.VoteRequest(
                self.name,
                term,
                self.log.last_index(),
                self.log.last_term(),
                is_pre_vote,
                self.identity,
            )
            self.outbox.append((name, request))

    def on_vote_quorum(self, now: float, is_pre_vote: bool) -> None:
        """Start the election after a won pre-vote, or become leader after a won election."""
        if is_pre_vote:
            # The votes take a round trip of their own.
            self.reset_election(now)
            self.campaign(now, is_pre_vote=False)
            return
        self.role = LEADER
        self.leader = self.name
        self.deferred_to.clear()
        self.commit_history.clear()
        self.prepared_snapshot = None
        first = self.log.last_index() + 1
        self.progress = {
            name: raft_progress.Progress(next=first, first=first, heard_at=now)
            for name in self.without_self(self.log.membership.members())
        }
        # A former leader that voted for this member has just been heard.
        if self.last_known_leader in self.progress and self.last_known_leader not in self.votes:
            self.progress[self.last_known_leader].heard_at = self.heard_leader_at
        self.heartbeat_at = now
        self.append_entry("empty", b"")
        self.term_start_index = self.log.last_index()
        self.tick(now)

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Set the term and the vote, which the owner saves before it sends any message."""
        self.hard_state = journal.HardState(term, voted_for)
        self.hard_state_changed = True

    def become_follower(self, term: int, leader: str, now: float) -> None:
        """Become a follower of `leader`, if one is known, and adopt `term` if it is higher."""
        if term > self.hard_state.term:
            self.set_hard_state(term, "")
        self.role = FOLLOWER
        self.leader = leader
        self.reset_election(now)

    # Messages

    def step(self, message: raft_messages.Message, now: float) -> None:
        """Handle one message."""
        handler = {
            raft_messages.VoteRequest: self.on_vote_request,
            raft_messages.VoteReply: self.on_vote_reply,
            raft_messages.AppendEntries: self.on_append_entries,
            raft_messages.AppendReply: self.on_append_reply,
            raft_messages.InstallSnapshot: self.on_install_snapshot,
            raft_messages.IdentityMismatch: self.on_identity_mismatch,
        }[type(message)]
        handler(message, now)  # type: ignore[operator]

    def on_vote_request(self, request: raft_messages.VoteRequest, now: float) -> None:
        """Reply to a vote request.

        A member that has heard from a leader within the minimum election timeout ignores it.
        """
        if self.rejects_identity(request.sender, request.identity):
            return
        hears_leader = now - self.heard_leader_at < self.timing.election_min_s
        if self.role == LEADER or hears_leader:
            if request.term > self.hard_state.term or request.is_trial:
                return
        if request.is_trial:
            self.on_pre_vote_request(request, now)
            return
        if request.term > self.hard_state.term:
            self.become_follower(request.term, "", now)
        is_up_to_date = self.is_up_to_date(request)
        may_vote = self.hard_state.voted_for in ("", request.sender)
        is_granted = is_up_to_date and may_vote and request.term == self.hard_state.term
        if is_granted:
            self.role = FOLLOWER
            self.deferred_to.clear()
            self.set_hard_state(request.term, request.sender)
            self.reset_election(now)
        reply = raft_messages.VoteReply(
            self.name, self.hard_state.term, is_granted, False, self.identity
        )
        self.outbox.append((request.sender, reply))

    def on_pre_vote_request(self, request: raft_messages.VoteRequest, now: float) -> None:
        """Reply to a request for a pre-vote, so that the lower one of both terms is raised.

        Otherwise a member with the longer log and one with the higher term deny each other's
        pre-votes without end. Either member does it, as the other one may be of an older build.
        """
        # The sender's term is one less than the term for which it requests a pre-vote.
        if request.term - 1 > self.hard_state.term:
            self.become_follower(request.term - 1, "", now)
        is_granted = self.is_up_to_date(request)
        reply = raft_messages.VoteReply(self.name, request.term, is_granted, True, self.identity)
        if is_granted and self.hard_state.term < request.term:
            self.defer_election(request, now)
        if self.hard_state.term >= request.term:
            # A denied vote of a higher term makes the sender adopt that term, a pre-vote does not.
            reply = raft_messages.VoteReply(
                self.name, self.hard_state.term, False, False, self.identity
            )
        self.outbox.append((request.sender, reply))

    def defer_election(self, request: raft_messages.VoteRequest, now: float) -> None:
        """Let a candidate that got this member's pre-vote request its votes first.

        Otherwise members that begin within one round trip deny each other's votes, again and again
        on a slow link. Of two equal candidates for pre-votes, one continues. A candidate gets one
        chance, as it may not receive the replies.
        """
        if request.sender in self.deferred_to:
            return
        if self.role == CANDIDATE:
            is_equal = request.last_index == self.log.last_index()
            if not self.is_pre_vote or (is_equal and request.sender < self.name):
                return
            self.role = FOLLOWER
        self.deferred_to.add(request.sender)
        self.reset_election(now)

    def is_up_to_date(self, request: raft_messages.VoteRequest) -> bool:
        """Return whether the log of a candidate is at least as up to date as this member's."""
        return (request.last_term, request.last_index) >= (
            self.log.last_term(),
            self.log.last_index(),
        )

    def on_vote_reply(self, reply: raft_messages.VoteReply, now: float) -> None:
        """Count a granted vote."""
        if self.rejects_identity(reply.sender, reply.identity):
            return
        if reply.term > self.hard_state.term and not reply.is_trial:
            self.become_follower(reply.term, "", now)
            return
        if self.role != CANDIDATE or reply.is_trial != self.is_pre_vote:
            return
        expected_term = self.hard_state.term + 1 if self.is_pre_vote else self.hard_state.term
        if reply.term != expected_term or not reply.is_granted:
            return
        if reply.sender in self.log.membership.voters:
            self.votes.add(reply.sender)
        if len(self.votes) >= self.log.membership.majority():
            self.on_vote_quorum(now, self.is_pre_vote)

    def on_append_entries(self, append: raft_messages.AppendEntries, now: float) -> None:
        """Store the leader's entries if the entry before them matches the one in this log."""
        if not self.follow_leader(append.sender, append.term, now):
            self.reply_append(append.sender, False, self.log.last_index(), append.sent_at)
            return
        self.record_leader_commit(append, now)
        previous = append.previous_index
        local_term = self.log.term_at(previous)
        if previous > self.log.snapshot.index and local_term != append.previous_term:
            hint = min(previous - 1, self.log.last_index())
            self.reply_append(append.sender, False, hint, append.sent_at)
            return
        for entry in append.entries:
            self.log.store(entry)
        match = append.previous_index + len(append.entries)
        self.commit = max(self.commit, min(append.commit, match))
        self.reply_append(append.sender, True, match, append.sent_at)

    def record_leader_commit(self, append: raft_messages.AppendEntries, now: float) -> None:
        """Record the leader's commit index, unless a later message with a higher one was here."""
        if (append.term, append.commit) >= (self.leader_commit_term, self.leader_commit):
            self.leader_commit_term = append.term
            self.leader_commit = append.commit
            self.leader_commit_at = now

    def reply_append(self, leader: str, is_accepted: bool, match: int, sent_at: float) -> None:
        """Reply to an AppendEntries or InstallSnapshot message."""
        reply = raft_messages.AppendReply(
            self.name, self.hard_state.term, is_accepted, match, sent_at, self.identity
        )
        self.outbox.append((leader, reply))

    def follow_leader(self, sender: str, term: int, now: float) -> bool:
        """Follow `sender` unless its term is outdated; return whether it is followed."""
        if term < self.hard_state.term:
            return False
        self.become_follower(term, sender, now)
        self.deferred_to.clear()
        self.heard_leader_at = now
        self.last_known_leader = sender
        return True

    def on_append_reply(self, reply: raft_messages.AppendReply, now: float) -> None:
        """Update a member's progress, and advance the commit index."""
        if self.rejects_identity(reply.sender, reply.identity):
            return
        if reply.term > self.hard_state.term:
            self.become_follower(reply.term, "", now)
            return
        progress = self.progress.get(reply.sender)
        if self.role != LEADER or progress is None or reply.term < self.hard_state.term:
            return
        progress.heard_at = now
        progress.identity = reply.identity
        progress.acked_at = max(progress.acked_at, reply.sent_at)
        if not reply.is_accepted:
            self.on_gap(reply, progress, now)
            return
        progress.match = max(progress.match, reply.match)
        progress.next = max(progress.next, progress.match + 1)
        self.advance_commit()

    def on_gap(
        self, reply: raft_messages.AppendReply, progress: raft_progress.Progress, now: float
    ) -> None:
        """Send earlier entries to a member that lacks the one before those it got.

        Several messages may be on their way when the first of them is rejected. They are all
        rejected, and only one of the replies must make the entries be sent again.
        """
        progress.rejected += 1
        if reply.sent_at < progress.rewound_at:
            return
        before = progress.next
        progress.next = max(progress.match + 1, min(reply.match + 1, before - 1))
        if progress.next == before:
            return
        progress.first = min(progress.first, progress.next)
        # Later than the messages sent at this moment, which are rejected as well.
        progress.rewound_at = math.nextafter(now, math.inf)
        progress.long_messages.clear()
        if self.log.term_at(progress.next - 1) is not None:
            self.send_append(reply.sender, now)

    def on_install_snapshot(self, install: raft_messages.InstallSnapshot, now: float) -> None:
        """Install the leader's snapshot if it is ahead of the commit index."""
        if not self.follow_leader(install.sender, install.term, now):
            self.reply_append(install.sender, False, self.log.last_index(), install.sent_at)
            return
        snapshot = install.snapshot
        if snapshot.index > self.commit:
            self.log.install(snapshot)
            self.installed_snapshot = snapshot
            self.commit = snapshot.index
            self.delivered_index = snapshot.index
        self.reply_append(install.sender, True, snapshot.index, install.sent_at)

    def on_identity_mismatch(self, message: raft_messages.IdentityMismatch, now: float) -> None:
        """Record that this member's name is registered with another data folder."""
        if message.name == self.name and message.identity != self.identity:
            self.replaced_by = message.identity

    def reported_identities(self) -> dict[str, str]:
        """Return the data folder identities of this leader and of members that replied to it."""
        replied = {name: known.identity for name, known in self.progress.items() if known.identity}
        return replied | {self.name: self.identity}

    def rejects_identity(self, name: str, identity: str) -> bool:
        """Return whether `identity` is not the one registered for `name`, and reply if so."""
        if not self.log.membership.has_other_identity(name, identity):
            return False
        registered = self.log.membership.identities[name]
        self.outbox.append((name, raft_messages.IdentityMismatch(self.name, name, registered)))
        return True

    def send_heartbeat(self, name: str, now: float) -> None:
        """Send `name` a heartbeat, with its next entries if no long message is on its way.

        Otherwise it names the last acknowledged entry, which does not depend on that message.
        """
        progress = self.progress[name]
        if progress.long_messages_at(now):
            self.send_entries(name, progress.match, [], now)
        else:
            self.send_append(name, now)

    def send_append(self, name: str, now: float) -> None:
        """Send `name` the snapshot that it needs, or its next entries, or none as a heartbeat."""
        progress = self.progress[name]
        snapshot = self.snapshot_for(name)
        if snapshot is not None:
            sent_at = max(now, progress.rewound_at)
            install = raft_messages.InstallSnapshot(
                self.name, self.hard_state.term, sent_at, snapshot
            )
            self.outbox.append((name, install))
            self.expect_long_message(progress, snapshot.index, len(snapshot.state), now)
            return
        entries = self.entries_to_send(name, now)
        self.send_entries(name, progress.next - 1, entries, now)
        progress.next += len(entries)
        size_bytes = raft_messages.entry_bytes(entries)
        if size_bytes > self.limits.long_bytes:
            self.expect_long_message(progress, progress.next - 1, size_bytes, now)

    def send_entries(
        self, name: str, previous: int, entries: list[journal.Entry], now: float
    ) -> None:
        """Send entries that follow entry `previous`, or none as a heartbeat.

        If the entry is compacted, the heartbeat names none before it.
        """
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            previous, previous_term = 0, 0
        sent_at = max(now, self.progress[name].rewound_at)
        append = raft_messages.AppendEntries(
            self.name, self.hard_state.term, previous, previous_term, self.commit, sent_at, entries
        )
        self.outbox.append((name, append))

    def expect_long_message(
        self, progress: raft_progress.Progress, end: int, size_bytes: int, now: float
    ) -> None:
        """Record that a long message with the entries up to `end` is on its way."""
        until = now + self.timing.resend_s + size_bytes / self.timing.bytes_per_s_min
        progress.long_messages = progress.long_messages_at(now)
        progress.long_messages.append(
            raft_progress.LongMessage(end, max(now, progress.rewound_at), until)
        )

    def on_long_message_sent(
        self, name: str, sent_at: float, is_delivered: bool, now: float
    ) -> None:
        """Handle the end of the transfer of the long message of `sent_at`, if the owner knows it.

        A lost one is sent again after a heartbeat, unless its entries have arrived.
        """
        progress = self.progress.get(name)
        if self.role != LEADER or progress is None or sent_at < progress.rewound_at:
            return
        for sent in progress.long_messages_at(now):
            if sent.sent_at != sent_at:
                continue
            if is_delivered:
                # The acknowledgement may be lost.
                sent.until = min(sent.until, now + self.timing.election_min_s)
                return
            progress.next = min(progress.next, max(progress.match + 1, progress.first))
            progress.rewound_at = math.nextafter(now, math.inf)
            sent.until = now + self.timing.heartbeat_s
            progress.long_messages = [sent]
            return

    # Snapshots for other members

    def snapshot_for(self, name: str) -> journal.Snapshot | None:
        """Return the snapshot that a member needs before its next entries, or None."""
        following = self.progress[name].next
        prepared = self.prepared_snapshot_for(name)
        if prepared is not None and following <= prepared.index:
            return prepared
        return self.log.snapshot if self.log.term_at(following - 1) is None else None

    def prepared_snapshot_for(self, name: str) -> journal.Snapshot | None:
        """Return the snapshot that was prepared for learners if `name` is one, or None."""
        return self.prepared_snapshot if name in self.log.membership.learners else None

    def bytes_to_send(self, name: str) -> int:
        """Return the bytes of the delivered entries that a member lacks, after its snapshot."""
        first = max(self.progress[name].match, self.log.snapshot.index)
        prepared = self.prepared_snapshot_for(name)
        if prepared is not None:
            first = max(first, prepared.index)
        return sum(
            len(entry.data) for entry in self.log.entries_between(first, self.delivered_index)
        )

    def needs_log_snapshot(self, name: str) -> bool:
        """Return whether a member's next entries are only in the snapshot that begins the log."""
        is_compacted = self.progress[name].next <= self.log.snapshot.index
        return is_compacted and self.prepared_snapshot_for(name) is None

    def prepare_snapshot(self, state: bytes) -> None:
        """Send `state`, that of the delivered entries, to learners in place of these entries.

        The entries are kept for the voters, which need only the last ones.
        """
        self.prepared_snapshot = self.log.make_snapshot(self.delivered_index, state)

    # Leader

    def append_entry(self, kind: str, data: bytes) -> journal.Entry:
        """Append an entry to this leader's log."""
        return self.log.append(self.hard_state.term, kind, data)

    def propose(self, data: bytes, now: float) -> int:
        """Append a command to the log and return its index.

        Raises NotLeaderError on a follower, and ControlError if too many entries are uncommitted.
        """
        self.require_leader()
        if self.log.last_index() - self.commit >= self.limits.uncommitted_max:
            raise errors.ControlError(
                f"{self.log.last_index() - self.commit} commands are not committed yet; try again",
                kind=errors.ErrorKind.OVERLOADED,
            )
        return self.append_entry("command", data).index

    def flush(self, now: float) -> None:
        """Send the entries proposed since the last call, batched so that they share one sync."""
        if self.role != LEADER:
            return
        for name in self.without_self(self.log.membership.members()):
            if self.entries_to_send(name, now) or self.may_send_snapshot(name, now):
                self.send_append(name, now)

    def may_send_snapshot(self, name: str, now: float) -> bool:
        """Return whether a member needs a snapshot that is not on its way."""
        needs_entries = self.progress[name].next <= self.log.last_index()
        is_idle = not self.progress[name].long_messages_at(now)
        return needs_entries and is_idle and self.snapshot_for(name) is not None

    def entries_to_send(self, name: str, now: float) -> list[journal.Entry]:
        """Return the next entries of a member, or none while as much as allowed is on its way."""
        progress = self.progress[name]
        if progress.next > self.log.last_index() or self.snapshot_for(name) is not None:
            return []
        on_their_way = progress.long_messages_at(now)
        if len(on_their_way) >= self.limits.long_messages:
            return []
        if not on_their_way and self.unacknowledged_bytes(progress) > self.limits.bytes_per_append:
            return []
        entries = self.log.entries_from(progress.next, self.limits)
        is_long = raft_messages.entry_bytes(entries) > self.limits.long_bytes
        return entries if is_long or not on_their_way else []

    def unacknowledged_bytes(self, progress: raft_progress.Progress) -> int:
        """Return the bytes of the entries that this leader has sent without an acknowledgement."""
        after = max(progress.match, progress.first - 1, self.log.snapshot.index)
        return raft_messages.entry_bytes(self.log.entries_between(after, progress.next - 1))

    def require_leader(self) -> None:
        """Raise NotLeaderError unless this member is the leader."""
        if self.role != LEADER:
            raise errors.NotLeaderError(f"{self.name} is not the leader", self.leader)

    def change_membership(self, change: raft_members.MembershipChange, now: float) -> int:
        """Append a membership change and return its index.

        Raises ControlError (membership_change_refused) if the change is not safe now, such as while
        another one is uncommitted.
        """
        self.require_leader()
        if self.commit < self.term_start_index:
            raise raft_members.change_refused(
                "the leader has not committed an entry of its term yet; try again in a second"
            )
        if self.log.has_membership_change_after(self.commit):
            raise raft_members.change_refused(
                "another membership change is not committed yet; try again"
            )
        members = raft_members.apply_change(
            self.log.membership, change, self.replication_status(now)
        )
        if change.add:
            self.progress[change.add] = raft_progress.Progress(heard_at=now)
        return self.append_entry("voters", msgspec.msgpack.encode(members)).index

    def advance_commit(self) -> None:
        """Commit up to the highest entry of this term that a majority has saved."""
        matches = [
            self.progress[name].match for name in self.without_self(self.log.membership.voters)
        ]
        if self.is_voter():
            matches.append(self.log.saved_index)
        matches.sort(reverse=True)
        index = matches[self.log.membership.majority() - 1]
        if index > self.commit and self.log.term_at(index) == self.hard_state.term:
            self.commit = index

    # Calls of the owner

    def ready(self) -> raft_messages.Ready:
        """Return the pending work of the owner, which calls `mark_saved` once it is durable."""
        hard_state = self.hard_state if self.hard_state_changed else None
        committed = self.log.entries_between(
            self.delivered_index, min(self.commit, self.log.saved_index)
        )
        ready = raft_messages.Ready(
            hard_state,
            self.installed_snapshot,
            list(self.log.unsaved_entries()),
            self.outbox,
            list(committed),
        )
        self.outbox = []
        return ready

    def mark_saved(self, ready: raft_messages.Ready) -> None:
        """Record that `ready` is durable and that its committed entries were received."""
        if ready.hard_state is not None and ready.hard_state == self.hard_state:
            self.hard_state_changed = False
        if ready.snapshot is not None:
            self.installed_snapshot = None
        if ready.entries:
            self.log.saved_index = max(self.log.saved_index, ready.entries[-1].index)
        if ready.committed:
            self.delivered_index = ready.committed[-1].index
        if self.role == LEADER:
            self.advance_commit()

    def discard_unsaved(self, now: float) -> None:
        """Discard entries that could not be saved, and step down.

        No other member has them, since messages are sent only after they are saved.
        """
        self.log.discard_unsaved()
        self.commit = min(self.commit, self.log.last_index())
        if self.role == LEADER:
            self.become_follower(self.hard_state.term, "", now)

    def compact(self, index: int, state: bytes) -> journal.Snapshot:
        """Replace the entries up to `index` by a snapshot with `state`, and return it.

        Raises ValueError if `index` is beyond the delivered entries.
        """
        if index > self.delivered_index:
            raise ValueError(f"index {index} is not in the delivered part of the log")
        self.prepared_snapshot = None
        return self.log.compact(index, state)
