"""A replicated log: elections with pre-vote, a leader's lease, learners, and safe voter changes.

The algorithm is Raft (Ongaro and Ousterhout 2014; pre-vote and one-at-a-time voter changes after
Ongaro's dissertation, sections 4 and 9.6). `Raft` decides and never does I/O: its owner passes in
messages and the time, makes `Ready.hard_state` and `Ready.entries` durable, only then sends
`Ready.messages`, and calls `saved`. Times are seconds of the owner's monotonic clock.
"""

import dataclasses
import random

import msgspec

from merlinthread import errors
from merlinthread.coordination import raft_log, raft_members, raft_messages
from merlinthread.state import journal

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"


class Raft:
    """One member of the replicated log.

    `first_voters` counts only while the log and the snapshot are empty. `identity` is that of the
    data folder: a member that comes back with another one is not listened to, since it has lost
    what it promised. A message that makes no sense is ignored.
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
        # What was known to be committed needs no leader to be applied again after a restart.
        known = min(saved.commit, self.log.last_index()) if saved else 0
        self.commit = max(self.log.snapshot.index, known)
        self.delivered_index = self.log.snapshot.index
        self.role = FOLLOWER
        self.leader = ""
        # Who led when a leader was last heard, and the last index known to be committed there.
        self.last_known_leader = ""
        self.leader_commit = 0
        self.is_resigned = False
        # A restarted member may have promised its leader not to vote yet: it waits that out.
        self.heard_leader_at = now if self.hard_state.term > 0 else float("-inf")
        self.votes: set[str] = set()
        self.is_pre_vote = False
        self.progress: dict[str, raft_messages.Progress] = {}
        self.outbox: list[tuple[str, raft_messages.Message]] = []
        self.hard_state_changed = False
        self.installed: journal.Snapshot | None = None
        self.term_start = 0
        self.heartbeat_at = now
        self.election_at = now
        self.reset_election(now)

    # Reading the log

    def is_voter(self) -> bool:
        """Return whether this member votes."""
        return self.name in self.log.voters.voters

    def is_leader(self) -> bool:
        """Return whether this member believes to lead; see `holds_lease` for certainty."""
        return self.role == LEADER

    def lease_until(self) -> float:
        """Return until when no other member can lead, on this member's clock."""
        if self.role != LEADER:
            return float("-inf")
        sent = [self.progress[name].acked_at for name in self.others(self.log.voters.voters)]
        sent.append(float("inf"))
        sent.sort(reverse=True)
        if not self.is_voter() or len(sent) < self.log.voters.majority():
            return float("-inf")
        span = self.timing.election_min_s * self.timing.lease_fraction
        return sent[self.log.voters.majority() - 1] + span

    def holds_lease(self, now: float) -> bool:
        """Return whether this member surely leads at `now` and has applied what came before."""
        return self.role == LEADER and self.commit >= self.term_start and now < self.lease_until()

    def others(self, names: list[str]) -> list[str]:
        """Return `names` without this member."""
        return [name for name in names if name != self.name]

    # Time

    def reset_election(self, now: float) -> None:
        """Choose the next time at which to stand for election."""
        wait = self.rng.uniform(self.timing.election_min_s, self.timing.election_max_s)
        self.election_at = now + wait

    def next_tick_at(self) -> float:
        """Return when `tick` wants to be called next."""
        return self.heartbeat_at if self.role == LEADER else self.election_at

    def tick(self, now: float) -> None:
        """Send heartbeats, give up a leadership without a majority, or stand for election."""
        if self.role == LEADER:
            self.tick_leader(now)
        elif now >= self.election_at:
            self.reset_election(now)
            if self.is_voter() and not self.is_resigned:
                self.campaign(now, is_pre_vote=True)

    def tick_leader(self, now: float) -> None:
        """Do the leader's part of `tick`."""
        if now < self.heartbeat_at:
            return
        self.heartbeat_at = now + self.timing.heartbeat_s
        heard = [
            name
            for name in self.others(self.log.voters.voters)
            if now - self.progress[name].heard_at < self.timing.election_max_s
        ]
        if len(heard) + 1 < self.log.voters.majority():
            self.follow(self.hard_state.term, "", now)
            return
        for name in self.others(self.log.voters.members()):
            self.send_append(name, now)

    def resign(self, now: float) -> None:
        """Lead no longer and never again in this run: this member is about to end as planned."""
        self.is_resigned = True
        if self.role == LEADER:
            self.follow(self.hard_state.term, "", now)

    # Elections

    def campaign(self, now: float, is_pre_vote: bool) -> None:
        """Ask for votes; first on trial, so that a cut-off member can't unseat a leader."""
        self.role = CANDIDATE
        self.is_pre_vote = is_pre_vote
        self.leader = ""
        self.votes = {self.name}
        term = self.hard_state.term + 1
        if not is_pre_vote:
            self.set_hard_state(term, self.name)
        if len(self.votes) >= self.log.voters.majority():
            self.win(now, is_pre_vote)
            return
        for name in self.others(self.log.voters.voters):
            request = raft_messages.VoteRequest(
                self.name,
                term,
                self.log.last_index(),
                self.log.last_term(),
                is_pre_vote,
                self.identity,
            )
            self.outbox.append((name, request))

    def win(self, now: float, is_pre_vote: bool) -> None:
        """Go from trial to election, or from election to leading."""
        if is_pre_vote:
            self.campaign(now, is_pre_vote=False)
            return
        self.role = LEADER
        self.leader = self.name
        first = self.log.last_index() + 1
        self.progress = {
            name: raft_messages.Progress(next=first, heard_at=now)
            for name in self.others(self.log.voters.members())
        }
        if self.last_known_leader in self.progress:
            self.progress[self.last_known_leader].heard_at = self.heard_leader_at
        self.heartbeat_at = now
        self.append_entry("empty", b"")
        self.term_start = self.log.last_index()
        self.tick(now)

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Change term and vote; the owner saves them before any message leaves."""
        self.hard_state = journal.HardState(term, voted_for)
        self.hard_state_changed = True

    def follow(self, term: int, leader: str, now: float) -> None:
        """Become a follower in `term`."""
        if term > self.hard_state.term:
            self.set_hard_state(term, "")
        self.role = FOLLOWER
        self.leader = leader
        self.reset_election(now)

    # Messages

    def step(self, message: raft_messages.Message, now: float) -> None:
        """Take in one message."""
        handler = {
            raft_messages.VoteRequest: self.on_vote_request,
            raft_messages.VoteReply: self.on_vote_reply,
            raft_messages.AppendEntries: self.on_append,
            raft_messages.AppendReply: self.on_append_reply,
            raft_messages.InstallSnapshot: self.on_install,
            raft_messages.IdentityMismatch: self.on_stranger,
        }[type(message)]
        handler(message, now)  # type: ignore[operator]

    def on_vote_request(self, request: raft_messages.VoteRequest, now: float) -> None:
        """Grant or refuse a vote; a member that hears its leader does not answer."""
        if self.turns_away(request.sender, request.identity):
            return
        hears_leader = now - self.heard_leader_at < self.timing.election_min_s
        if self.role == LEADER or hears_leader:
            if request.term > self.hard_state.term or request.is_trial:
                return
        is_newer = (request.last_term, request.last_index) >= (
            self.log.last_term(),
            self.log.last_index(),
        )
        if request.is_trial:
            is_granted = is_newer and request.term > self.hard_state.term
            reply = raft_messages.VoteReply(
                self.name, request.term, is_granted, True, self.identity
            )
            self.outbox.append((request.sender, reply))
            return
        if request.term > self.hard_state.term:
            self.follow(request.term, "", now)
        is_free = self.hard_state.voted_for in ("", request.sender)
        is_granted = is_newer and is_free and request.term == self.hard_state.term
        if is_granted:
            self.role = FOLLOWER
            self.set_hard_state(request.term, request.sender)
            self.reset_election(now)
        reply = raft_messages.VoteReply(
            self.name, self.hard_state.term, is_granted, False, self.identity
        )
        self.outbox.append((request.sender, reply))

    def on_vote_reply(self, reply: raft_messages.VoteReply, now: float) -> None:
        """Count a vote."""
        if self.turns_away(reply.sender, reply.identity):
            return
        if reply.term > self.hard_state.term and not reply.is_trial:
            self.follow(reply.term, "", now)
            return
        if self.role != CANDIDATE or reply.is_trial != self.is_pre_vote:
            return
        wanted_term = self.hard_state.term + 1 if self.is_pre_vote else self.hard_state.term
        if reply.term != wanted_term or not reply.is_granted:
            return
        if reply.sender in self.log.voters.voters:
            self.votes.add(reply.sender)
        if len(self.votes) >= self.log.voters.majority():
            self.win(now, self.is_pre_vote)

    def on_append(self, append: raft_messages.AppendEntries, now: float) -> None:
        """Take entries from the leader, if they join on to what is here."""
        if not self.accepts_leader(append.sender, append.term, now):
            self.reply_append(append.sender, False, self.log.last_index(), append.sent_at)
            return
        self.leader_commit = max(self.leader_commit, append.commit)
        first = append.previous_index
        known = self.log.term_at(first)
        if first > self.log.snapshot.index and known != append.previous_term:
            hint = min(first - 1, self.log.last_index())
            self.reply_append(append.sender, False, hint, append.sent_at)
            return
        for entry in append.entries:
            self.log.take(entry)
        match = append.previous_index + len(append.entries)
        self.commit = max(self.commit, min(append.commit, match))
        self.reply_append(append.sender, True, match, append.sent_at)

    def reply_append(self, leader: str, is_accepted: bool, match: int, sent_at: float) -> None:
        """Answer the leader."""
        reply = raft_messages.AppendReply(
            self.name, self.hard_state.term, is_accepted, match, sent_at, self.identity
        )
        self.outbox.append((leader, reply))

    def accepts_leader(self, sender: str, term: int, now: float) -> bool:
        """Follow `sender` if it leads in a term that is not past."""
        if term < self.hard_state.term:
            return False
        self.follow(term, sender, now)
        self.heard_leader_at = now
        self.last_known_leader = sender
        return True

    def on_append_reply(self, reply: raft_messages.AppendReply, now: float) -> None:
        """Learn how far a member is, and commit what a majority has."""
        if self.turns_away(reply.sender, reply.identity):
            return
        if reply.term > self.hard_state.term:
            self.follow(reply.term, "", now)
            return
        progress = self.progress.get(reply.sender)
        if self.role != LEADER or progress is None or reply.term < self.hard_state.term:
            return
        progress.heard_at = now
        progress.identity = reply.identity
        progress.acked_at = max(progress.acked_at, reply.sent_at)
        if not reply.is_accepted:
            before = progress.next
            progress.next = max(progress.match + 1, min(reply.match + 1, before - 1))
            is_in_log = self.log.term_at(progress.next - 1) is not None
            if progress.next < before and is_in_log:
                self.send_append(reply.sender, now)
            return
        progress.match = max(progress.match, reply.match)
        progress.next = max(progress.next, progress.match + 1)
        self.advance_commit()

    def on_install(self, install: raft_messages.InstallSnapshot, now: float) -> None:
        """Take a snapshot that is ahead of what is committed here."""
        if not self.accepts_leader(install.sender, install.term, now):
            self.reply_append(install.sender, False, self.log.last_index(), install.sent_at)
            return
        snapshot = install.snapshot
        self.leader_commit = max(self.leader_commit, snapshot.index)
        if snapshot.index > self.commit:
            self.log.install(snapshot)
            self.installed = snapshot
            self.commit = snapshot.index
            self.delivered_index = snapshot.index
        self.reply_append(install.sender, True, snapshot.index, install.sent_at)

    def on_stranger(self, told: raft_messages.IdentityMismatch, now: float) -> None:
        """Learn that this member's name belongs to another data folder."""
        if told.name == self.name and told.identity != self.identity:
            self.replaced_by = told.identity

    def reported_identities(self) -> dict[str, str]:
        """Return the identities of the data folders of this leader and of who answered it."""
        heard = {name: p.identity for name, p in self.progress.items() if p.identity}
        return heard | {self.name: self.identity}

    def turns_away(self, name: str, identity: str) -> bool:
        """Tell a sender whose data folder is not the member's, and return whether it was one."""
        if not self.log.voters.is_stranger(name, identity):
            return False
        known = self.log.voters.identities[name]
        self.outbox.append((name, raft_messages.IdentityMismatch(self.name, name, known)))
        return True

    def send_append(self, name: str, now: float) -> None:
        """Send what `name` lacks, or a heartbeat."""
        progress = self.progress[name]
        previous = progress.next - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self.send_install(name, progress, now)
            return
        entries = self.log.slice(progress.next, self.limits)
        append = raft_messages.AppendEntries(
            self.name,
            self.hard_state.term,
            previous,
            previous_term,
            self.commit,
            now,
            entries,
        )
        progress.next += len(entries)
        progress.sent_at = now
        self.outbox.append((name, append))

    def send_install(self, name: str, progress: raft_messages.Progress, now: float) -> None:
        """Send the snapshot, no more often than `resend_s`; in between a bare heartbeat."""
        if now - progress.sent_at < self.timing.resend_s:
            self.outbox.append(
                (
                    name,
                    raft_messages.AppendEntries(self.name, self.hard_state.term, 0, 0, 0, now, []),
                )
            )
            return
        progress.sent_at = now
        install = raft_messages.InstallSnapshot(
            self.name, self.hard_state.term, now, self.log.snapshot
        )
        self.outbox.append((name, install))

    # Leading

    def append_entry(self, kind: str, data: bytes) -> journal.Entry:
        """Add an entry to this leader's log."""
        return self.log.append(self.hard_state.term, kind, data)

    def propose(self, data: bytes, now: float) -> int:
        """Add a command and return its index.

        Raises NotLeaderError on a follower, ControlError if too much waits uncommitted.
        """
        self.require_leader()
        if self.log.last_index() - self.commit >= self.limits.uncommitted_max:
            raise errors.ControlError(
                f"{self.log.last_index() - self.commit} commands wait for a majority; try again",
                kind=errors.ErrorKind.OVERLOADED,
            )
        return self.append_entry("command", data).index

    def flush(self, now: float) -> None:
        """Send the entries proposed since the last call, so that many share one sync."""
        if self.role != LEADER:
            return
        for name in self.others(self.log.voters.members()):
            following = self.progress[name].next
            is_in_log = self.log.term_at(following - 1) is not None
            if is_in_log and following <= self.log.last_index():
                self.send_append(name, now)

    def require_leader(self) -> None:
        """Raise NotLeaderError unless this member leads."""
        if self.role != LEADER:
            raise errors.NotLeaderError(f"{self.name} does not lead", self.leader)

    def change_membership(self, change: raft_members.MembershipChange, now: float) -> int:
        """Change the members, one at a time; return the change's index.

        Raises ControlError (membership_change_refused) if it is not safe now.
        """
        self.require_leader()
        if self.commit < self.term_start:
            raise raft_members.refused("the leader is new; try again in a second")
        if self.log.has_membership_change_after(self.commit):
            raise raft_members.refused("another change of members is under way; try again")
        matches = {name: progress.match for name, progress in self.progress.items()}
        members = raft_members.apply(
            self.log.voters, change, raft_members.ReplicationStatus(self.name, self.commit, matches)
        )
        if change.add:
            first = self.log.last_index() + 1
            self.progress[change.add] = raft_messages.Progress(next=first, heard_at=now)
        return self.append_entry("voters", msgspec.msgpack.encode(members)).index

    def advance_commit(self) -> None:
        """Commit the highest entry of this term that a majority has on disk."""
        matches = [self.progress[name].match for name in self.others(self.log.voters.voters)]
        if self.is_voter():
            matches.append(self.log.saved_index)
        matches.sort(reverse=True)
        index = matches[self.log.voters.majority() - 1]
        if index > self.commit and self.log.term_at(index) == self.hard_state.term:
            self.commit = index

    # The owner's side

    def ready(self) -> raft_messages.Ready:
        """Return what the owner must do now; call `saved` after making it durable."""
        hard_state = self.hard_state if self.hard_state_changed else None
        committed = self.log.between(self.delivered_index, min(self.commit, self.log.saved_index))
        ready = raft_messages.Ready(
            hard_state,
            self.installed,
            list(self.log.unsaved_entries()),
            self.outbox,
            list(committed),
        )
        self.outbox = []
        return ready

    def mark_saved(self, ready: raft_messages.Ready) -> None:
        """Note that `ready` is durable and its committed entries are taken."""
        if ready.hard_state is not None and ready.hard_state == self.hard_state:
            self.hard_state_changed = False
        if ready.snapshot is not None:
            self.installed = None
        if ready.entries:
            self.log.saved_index = max(self.log.saved_index, ready.entries[-1].index)
        if ready.committed:
            self.delivered_index = ready.committed[-1].index
        if self.role == LEADER:
            self.advance_commit()

    def discard_unsaved(self, now: float) -> None:
        """Forget entries that could not be made durable, and lead no longer.

        They never left this member, since messages leave only after `saved`.
        """
        self.log.discard_unsaved()
        self.commit = min(self.commit, self.log.last_index())
        if self.role == LEADER:
            self.follow(self.hard_state.term, "", now)

    def compact(self, index: int, state: bytes) -> journal.Snapshot:
        """Replace entries up to `index`, all handed out, by `state`; return the snapshot."""
        if index > self.delivered_index:
            raise ValueError(f"index {index} is not in the applied part of the log")
        return self.log.compact(index, state)
