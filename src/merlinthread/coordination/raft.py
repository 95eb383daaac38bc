"""A replicated log: elections with pre-vote, a leader's lease, learners, and safe voter changes.

The algorithm is Raft (Ongaro and Ousterhout 2014; pre-vote and one-at-a-time voter changes after
Ongaro's dissertation, sections 4 and 9.6). `Raft` decides and never does I/O: its owner passes in
messages and the time, makes `Ready.hard_state` and `Ready.entries` durable, only then sends
`Ready.messages`, and calls `saved`. Times are seconds of the owner's monotonic clock.
"""

import dataclasses
import random

import msgspec

from merlinthread import errors, registry
from merlinthread.state import journal

MESSAGES: registry.Registry[type] = registry.Registry("replicated log message")

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"


@dataclasses.dataclass(slots=True)
class Voters:
    """The members of the group; `retired` names may never come back."""

    voters: list[str] = dataclasses.field(default_factory=list)
    learners: list[str] = dataclasses.field(default_factory=list)
    retired: list[str] = dataclasses.field(default_factory=list)

    def majority(self) -> int:
        """Return how many voters decide."""
        return len(self.voters) // 2 + 1

    def members(self) -> list[str]:
        """Return voters and learners."""
        return self.voters + self.learners


@MESSAGES.add("log.vote")
@dataclasses.dataclass(slots=True)
class VoteRequest:
    """Ask for a vote, or with `is_trial` whether a vote would be given (pre-vote)."""

    sender: str
    term: int
    last_index: int
    last_term: int
    is_trial: bool


@MESSAGES.add("log.vote_reply")
@dataclasses.dataclass(slots=True)
class VoteReply:
    """Answer a vote request of `term`."""

    sender: str
    term: int
    is_granted: bool
    is_trial: bool


@MESSAGES.add("log.append")
@dataclasses.dataclass(slots=True)
class Append:
    """Carry entries from the leader, or none as a heartbeat; `sent_at` is its clock."""

    sender: str
    term: int
    previous_index: int
    previous_term: int
    commit: int
    sent_at: float
    entries: list[journal.Entry]


@MESSAGES.add("log.append_reply")
@dataclasses.dataclass(slots=True)
class AppendReply:
    """Answer an append; `match` is the last index known equal, or a hint where to go back to."""

    sender: str
    term: int
    is_accepted: bool
    match: int
    sent_at: float


@MESSAGES.add("log.install")
@dataclasses.dataclass(slots=True)
class Install:
    """Carry a snapshot to a member whose entries the leader no longer has."""

    sender: str
    term: int
    sent_at: float
    snapshot: journal.Snapshot


Message = VoteRequest | VoteReply | Append | AppendReply | Install


@dataclasses.dataclass(slots=True)
class Timing:
    """Timing of the group, in seconds; a lease lasts `lease_share` of `election_min_s`."""

    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    lease_share: float = 0.8
    resend_s: float = 0.5


@dataclasses.dataclass(slots=True)
class Limits:
    """Bounds on what one append carries and on how much waits uncommitted."""

    entries_per_append: int = 256
    bytes_per_append: int = 512 * 1024
    uncommitted: int = 4096


@dataclasses.dataclass(slots=True)
class Ready:
    """What the owner must do now, in this order."""

    hard_state: journal.HardState | None
    snapshot: journal.Snapshot | None
    entries: list[journal.Entry]
    messages: list[tuple[str, Message]]
    committed: list[journal.Entry]

    def is_empty(self) -> bool:
        """Return whether there is nothing to do."""
        return not (self.hard_state or self.snapshot or self.messages or self.committed) and not (
            self.entries
        )


@dataclasses.dataclass(slots=True)
class Progress:
    """What the leader knows of one member."""

    match: int = 0
    next: int = 1
    acked_at: float = float("-inf")
    heard_at: float = float("-inf")
    sent_at: float = float("-inf")


class Raft:
    """One member of the replicated log.

    `first_voters` counts only while the log and the snapshot are empty. Raises StateError in
    `step` never; a message that makes no sense is ignored.
    """

    def __init__(
        self,
        name: str,
        first_voters: list[str],
        saved: journal.Journal | None,
        now: float,
        timing: Timing | None = None,
        limits: Limits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.name = name
        self.timing = timing or Timing()
        self.limits = limits or Limits()
        self.rng = rng or random.Random()
        self.hard_state = journal.HardState()
        self.snapshot = journal.Snapshot()
        self.entries: list[journal.Entry] = []
        if saved is not None:
            self.hard_state = dataclasses.replace(saved.hard_state)
            self.snapshot = saved.snapshot
            self.entries = list(saved.entries)
        self.first_voters = Voters(voters=list(first_voters))
        self.voters = self.effective_voters()
        self.commit = self.snapshot.index
        self.handed_out = self.snapshot.index
        self.stable = self.last_index()
        self.role = FOLLOWER
        self.leader = ""
        # A restarted member may have promised its leader not to vote yet: it waits that out.
        self.heard_leader_at = now if self.hard_state.term > 0 else float("-inf")
        self.votes: set[str] = set()
        self.is_trial = False
        self.progress: dict[str, Progress] = {}
        self.outbox: list[tuple[str, Message]] = []
        self.hard_state_changed = False
        self.installed: journal.Snapshot | None = None
        self.term_start = 0
        self.heartbeat_at = now
        self.election_at = now
        self.reset_election(now)

    # Reading the log

    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot.index + len(self.entries)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it is not known here."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def slice(self, first: int) -> list[journal.Entry]:
        """Return entries from `first` on, as many as one append may carry."""
        chosen: list[journal.Entry] = []
        size = 0
        for entry in self.entries[first - self.snapshot.index - 1 :]:
            size += len(entry.data)
            if chosen and size > self.limits.bytes_per_append:
                break
            chosen.append(entry)
            if len(chosen) == self.limits.entries_per_append:
                break
        return chosen

    def effective_voters(self) -> Voters:
        """Return the newest members in the log, committed or not."""
        for entry in reversed(self.entries):
            if entry.kind == "voters":
                return msgspec.msgpack.decode(entry.data, type=Voters)
        if self.snapshot.voters:
            return msgspec.msgpack.decode(self.snapshot.voters, type=Voters)
        return self.first_voters

    def voters_at(self, index: int) -> Voters:
        """Return the members in force at `index`, for a snapshot there."""
        for entry in reversed(self.entries[: index - self.snapshot.index]):
            if entry.kind == "voters":
                return msgspec.msgpack.decode(entry.data, type=Voters)
        if self.snapshot.voters:
            return msgspec.msgpack.decode(self.snapshot.voters, type=Voters)
        return self.first_voters

    def is_voter(self) -> bool:
        """Return whether this member votes."""
        return self.name in self.voters.voters

    def is_leader(self) -> bool:
        """Return whether this member believes to lead; see `holds_lease` for certainty."""
        return self.role == LEADER

    def lease_until(self) -> float:
        """Return until when no other member can lead, on this member's clock."""
        if self.role != LEADER:
            return float("-inf")
        sent = [self.progress[name].acked_at for name in self.others(self.voters.voters)]
        sent.append(float("inf"))
        sent.sort(reverse=True)
        if not self.is_voter() or len(sent) < self.voters.majority():
            return float("-inf")
        span = self.timing.election_min_s * self.timing.lease_share
        return sent[self.voters.majority() - 1] + span

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
            if self.is_voter():
                self.stand(now, is_trial=True)

    def tick_leader(self, now: float) -> None:
        """Do the leader's part of `tick`."""
        if now < self.heartbeat_at:
            return
        self.heartbeat_at = now + self.timing.heartbeat_s
        heard = [
            name
            for name in self.others(self.voters.voters)
            if now - self.progress[name].heard_at < self.timing.election_max_s
        ]
        if len(heard) + 1 < self.voters.majority():
            self.follow(self.hard_state.term, "", now)
            return
        for name in self.others(self.voters.members()):
            self.send_append(name, now)

    # Elections

    def stand(self, now: float, is_trial: bool) -> None:
        """Ask for votes; first on trial, so that a cut-off member can't unseat a leader."""
        self.role = CANDIDATE
        self.is_trial = is_trial
        self.leader = ""
        self.votes = {self.name}
        term = self.hard_state.term + 1
        if not is_trial:
            self.set_hard_state(term, self.name)
        if len(self.votes) >= self.voters.majority():
            self.win(now, is_trial)
            return
        for name in self.others(self.voters.voters):
            request = VoteRequest(self.name, term, self.last_index(), self.last_term(), is_trial)
            self.outbox.append((name, request))

    def win(self, now: float, is_trial: bool) -> None:
        """Go from trial to election, or from election to leading."""
        if is_trial:
            self.stand(now, is_trial=False)
            return
        self.role = LEADER
        self.leader = self.name
        self.progress = {
            name: Progress(next=self.last_index() + 1, heard_at=now)
            for name in self.others(self.voters.members())
        }
        self.heartbeat_at = now
        self.append_entry("empty", b"")
        self.term_start = self.last_index()
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

    def step(self, message: Message, now: float) -> None:
        """Take in one message."""
        handler = {
            VoteRequest: self.on_vote_request,
            VoteReply: self.on_vote_reply,
            Append: self.on_append,
            AppendReply: self.on_append_reply,
            Install: self.on_install,
        }[type(message)]
        handler(message, now)  # type: ignore[operator]

    def on_vote_request(self, request: VoteRequest, now: float) -> None:
        """Grant or refuse a vote; a member that hears its leader does not answer."""
        hears_leader = now - self.heard_leader_at < self.timing.election_min_s
        if self.role == LEADER or hears_leader:
            if request.term > self.hard_state.term or request.is_trial:
                return
        is_newer = (request.last_term, request.last_index) >= (self.last_term(), self.last_index())
        if request.is_trial:
            is_granted = is_newer and request.term > self.hard_state.term
            reply = VoteReply(self.name, request.term, is_granted, True)
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
        reply = VoteReply(self.name, self.hard_state.term, is_granted, False)
        self.outbox.append((request.sender, reply))

    def on_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Count a vote."""
        if reply.term > self.hard_state.term and not reply.is_trial:
            self.follow(reply.term, "", now)
            return
        if self.role != CANDIDATE or reply.is_trial != self.is_trial:
            return
        wanted_term = self.hard_state.term + 1 if self.is_trial else self.hard_state.term
        if reply.term != wanted_term or not reply.is_granted:
            return
        if reply.sender in self.voters.voters:
            self.votes.add(reply.sender)
        if len(self.votes) >= self.voters.majority():
            self.win(now, self.is_trial)

    def on_append(self, append: Append, now: float) -> None:
        """Take entries from the leader, if they join on to what is here."""
        if not self.accepts_leader(append.sender, append.term, now):
            self.refuse_append(append.sender, append.sent_at)
            return
        first = append.previous_index
        known = self.term_at(first)
        if first > self.snapshot.index and known != append.previous_term:
            hint = min(first - 1, self.last_index())
            reply = AppendReply(self.name, self.hard_state.term, False, hint, append.sent_at)
            self.outbox.append((append.sender, reply))
            return
        for entry in append.entries:
            self.take(entry)
        match = append.previous_index + len(append.entries)
        self.commit = max(self.commit, min(append.commit, match))
        reply = AppendReply(self.name, self.hard_state.term, True, match, append.sent_at)
        self.outbox.append((append.sender, reply))

    def accepts_leader(self, sender: str, term: int, now: float) -> bool:
        """Follow `sender` if it leads in a term that is not past."""
        if term < self.hard_state.term:
            return False
        self.follow(term, sender, now)
        self.heard_leader_at = now
        return True

    def refuse_append(self, sender: str, sent_at: float) -> None:
        """Tell a former leader of the present term."""
        reply = AppendReply(self.name, self.hard_state.term, False, self.last_index(), sent_at)
        self.outbox.append((sender, reply))

    def take(self, entry: journal.Entry) -> None:
        """Put one entry of the leader in its place; drop a conflicting rest."""
        if entry.index <= self.snapshot.index:
            return
        known = self.term_at(entry.index)
        if known == entry.term:
            return
        if known is not None:
            del self.entries[entry.index - self.snapshot.index - 1 :]
            self.stable = min(self.stable, entry.index - 1)
            self.voters = self.effective_voters()
        self.entries.append(entry)
        if entry.kind == "voters":
            self.voters = self.effective_voters()

    def on_append_reply(self, reply: AppendReply, now: float) -> None:
        """Learn how far a member is, and commit what a majority has."""
        if reply.term > self.hard_state.term:
            self.follow(reply.term, "", now)
            return
        progress = self.progress.get(reply.sender)
        if self.role != LEADER or progress is None or reply.term < self.hard_state.term:
            return
        progress.heard_at = now
        progress.acked_at = max(progress.acked_at, reply.sent_at)
        if not reply.is_accepted:
            progress.next = max(progress.match + 1, min(reply.match + 1, progress.next - 1))
            if self.term_at(progress.next - 1) is not None:
                self.send_append(reply.sender, now)
            return
        progress.match = max(progress.match, reply.match)
        progress.next = max(progress.next, progress.match + 1)
        self.advance_commit()
        if progress.next <= self.last_index():
            self.send_append(reply.sender, now)

    def on_install(self, install: Install, now: float) -> None:
        """Take a snapshot that is ahead of what is committed here."""
        if not self.accepts_leader(install.sender, install.term, now):
            self.refuse_append(install.sender, install.sent_at)
            return
        snapshot = install.snapshot
        if snapshot.index > self.commit:
            if self.term_at(snapshot.index) == snapshot.term:
                self.entries = self.entries[snapshot.index - self.snapshot.index :]
            else:
                self.entries = []
            self.snapshot = snapshot
            self.installed = snapshot
            self.commit = snapshot.index
            self.handed_out = snapshot.index
            self.stable = max(snapshot.index, min(self.stable, self.last_index()))
            self.voters = self.effective_voters()
        match = max(snapshot.index, 0)
        reply = AppendReply(self.name, self.hard_state.term, True, match, install.sent_at)
        self.outbox.append((install.sender, reply))

    def send_append(self, name: str, now: float) -> None:
        """Send what `name` lacks, or a heartbeat."""
        progress = self.progress[name]
        previous = progress.next - 1
        previous_term = self.term_at(previous)
        if previous_term is None:
            self.send_install(name, progress, now)
            return
        entries = self.slice(progress.next)
        append = Append(
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

    def send_install(self, name: str, progress: Progress, now: float) -> None:
        """Send the snapshot, no more often than `resend_s`; in between a bare heartbeat."""
        if now - progress.sent_at < self.timing.resend_s:
            self.outbox.append((name, Append(self.name, self.hard_state.term, 0, 0, 0, now, [])))
            return
        progress.sent_at = now
        install = Install(self.name, self.hard_state.term, now, self.snapshot)
        self.outbox.append((name, install))

    # Leading

    def append_entry(self, kind: str, data: bytes) -> journal.Entry:
        """Add an entry to this leader's log."""
        entry = journal.Entry(self.last_index() + 1, self.hard_state.term, kind, data)
        self.entries.append(entry)
        return entry

    def propose(self, data: bytes, now: float) -> int:
        """Add a command and return its index.

        Raises NotLeaderError on a follower, ControlError if too much waits uncommitted.
        """
        self.require_leader()
        if self.last_index() - self.commit >= self.limits.uncommitted:
            raise errors.ControlError(
                f"{self.last_index() - self.commit} commands wait for a majority; try again",
                kind=errors.ErrorKind.OVERLOADED,
            )
        return self.append_entry("command", data).index

    def flush(self, now: float) -> None:
        """Send the entries proposed since the last call, so that many share one sync."""
        if self.role != LEADER:
            return
        for name in self.others(self.voters.members()):
            if self.progress[name].next <= self.last_index():
                self.send_append(name, now)

    def require_leader(self) -> None:
        """Raise NotLeaderError unless this member leads."""
        if self.role != LEADER:
            raise errors.NotLeaderError(f"{self.name} does not lead", self.leader)

    def change_voters(self, add: str, promote: str, remove: str, now: float) -> int:
        """Add a learner, promote one, or remove a member: one change at a time; return its index.

        Raises ControlError (membership_change_refused) if it is not safe now.
        """
        self.require_leader()
        self.check_change(add, promote, remove)
        members = Voters(
            list(self.voters.voters), list(self.voters.learners), list(self.voters.retired)
        )
        if add:
            members.learners.append(add)
            self.progress[add] = Progress(next=self.last_index() + 1, heard_at=now)
        if promote:
            members.learners.remove(promote)
            members.voters.append(promote)
        if remove:
            (members.voters if remove in members.voters else members.learners).remove(remove)
            members.retired.append(remove)
        entry = self.append_entry("voters", msgspec.msgpack.encode(members))
        self.voters = members
        return entry.index

    def check_change(self, add: str, promote: str, remove: str) -> None:
        """Raise ControlError if the change is not safe now."""
        if len([name for name in (add, promote, remove) if name]) != 1:
            raise refused("name exactly one of add, promote, remove")
        if self.commit < self.term_start:
            raise refused("the leader is new; try again in a second")
        if any(
            entry.kind == "voters" for entry in self.entries[self.commit - self.snapshot.index :]
        ):
            raise refused("another change of voters is under way; try again")
        if add and (add in self.voters.members() or add in self.voters.retired):
            raise refused(f"{add!r} is or was a member; a replaced control VM needs a new name")
        if promote and promote not in self.voters.learners:
            raise refused(f"{promote!r} is no learner; add it first")
        if promote and self.progress[promote].match < self.commit:
            behind = self.commit - self.progress[promote].match
            raise refused(f"{promote!r} is {behind} entries behind; wait until it has caught up")
        if remove and remove not in self.voters.members():
            raise refused(f"{remove!r} is no member")
        if remove == self.name:
            raise refused(f"{remove!r} leads; stop it first, so that another leads")

    def advance_commit(self) -> None:
        """Commit the highest entry of this term that a majority has on disk."""
        matches = [self.progress[name].match for name in self.others(self.voters.voters)]
        if self.is_voter():
            matches.append(self.stable)
        matches.sort(reverse=True)
        index = matches[self.voters.majority() - 1]
        if index > self.commit and self.term_at(index) == self.hard_state.term:
            self.commit = index

    # The owner's side

    def ready(self) -> Ready:
        """Return what the owner must do now; call `saved` after making it durable."""
        hard_state = self.hard_state if self.hard_state_changed else None
        entries = self.entries[max(0, self.stable - self.snapshot.index) :]
        last = min(self.commit, self.stable)
        committed = self.entries[
            self.handed_out - self.snapshot.index : max(0, last - self.snapshot.index)
        ]
        ready = Ready(hard_state, self.installed, list(entries), self.outbox, list(committed))
        self.outbox = []
        return ready

    def saved(self, ready: Ready) -> None:
        """Note that `ready` is durable and its committed entries are taken."""
        if ready.hard_state is not None and ready.hard_state == self.hard_state:
            self.hard_state_changed = False
        if ready.snapshot is not None:
            self.installed = None
        if ready.entries:
            self.stable = max(self.stable, ready.entries[-1].index)
        if ready.committed:
            self.handed_out = ready.committed[-1].index
        if self.role == LEADER:
            self.advance_commit()

    def drop_unsaved(self, now: float) -> None:
        """Forget entries that could not be made durable, and lead no longer.

        They never left this member, since messages leave only after `saved`.
        """
        del self.entries[max(0, self.stable - self.snapshot.index) :]
        self.voters = self.effective_voters()
        if self.role == LEADER:
            self.follow(self.hard_state.term, "", now)

    def compact(self, index: int, state: bytes) -> journal.Snapshot:
        """Replace entries up to `index`, all handed out, by `state`; return the snapshot."""
        term = self.term_at(index)
        if term is None or index > self.handed_out:
            raise ValueError(f"index {index} is not in the applied part of the log")
        members = msgspec.msgpack.encode(self.voters_at(index))
        snapshot = journal.Snapshot(index, term, members, state)
        self.entries = self.entries[index - self.snapshot.index :]
        self.snapshot = snapshot
        return snapshot


def refused(message: str) -> errors.ControlError:
    """Return the error for a change of voters that is not safe now."""
    return errors.ControlError(message, kind=errors.ErrorKind.MEMBERSHIP_CHANGE_REFUSED)
