"""A simulated Raft cluster with its own network, clock and disks."""

import dataclasses
import random

import msgspec

from merlinthread.coordination import raft, raft_members, raft_messages
from merlinthread.state import journal

STEP_S = 0.05


@dataclasses.dataclass
class Disk:
    """The durable state of a member."""

    identity: str
    hard_state: journal.HardState = dataclasses.field(default_factory=journal.HardState)
    snapshot: journal.Snapshot = dataclasses.field(default_factory=journal.Snapshot)
    entries: list[journal.Entry] = dataclasses.field(default_factory=list)
    commit: int = 0

    def write_entry(self, entry: journal.Entry) -> None:
        kept = entry.index - self.snapshot.index - 1
        assert 0 <= kept <= len(self.entries), "a gap in the saved entries"
        del self.entries[kept:]
        self.entries.append(entry)


class Member:
    """One member with its disk; `applied` holds the commands it has applied."""

    def __init__(
        self, name: str, first_voters: list[str], disk: Disk, now: float, seed: int
    ) -> None:
        self.name = name
        self.disk = disk
        self.first_voters = first_voters
        self.seed = seed
        self.start(now)

    def start(self, now: float) -> None:
        self.raft = raft.Raft(
            self.name,
            self.first_voters,
            self.disk,
            now,
            rng=random.Random(self.seed),
            identity=self.disk.identity,
        )
        self.applied = msgspec.msgpack.decode(self.disk.snapshot.state or b"\x90", type=list[bytes])
        self.is_up = True
        self.is_full = False

    def save(self, ready: raft_messages.Ready) -> None:
        if ready.snapshot is not None:
            self.disk.snapshot = ready.snapshot
            self.disk.entries = list(self.raft.log.saved_entries())
            self.applied = msgspec.msgpack.decode(ready.snapshot.state, type=list[bytes])
        if ready.hard_state is not None:
            self.disk.hard_state = dataclasses.replace(ready.hard_state)
        if ready.hard_state is not None or ready.entries:
            self.disk.commit = max(self.disk.commit, self.raft.commit)
        for entry in ready.entries:
            self.disk.write_entry(entry)


class Cluster:
    """Members and the network between them; the invariants of Raft are checked after every step."""

    def __init__(self, count: int, seed: int = 0, is_durable: bool = True) -> None:
        self.now = 100.0
        self.is_durable = is_durable
        self.names = [f"c{number}" for number in range(count)]
        self.members = {
            name: Member(name, list(self.names), Disk(f"disk-{name}"), self.now, seed + number)
            for number, name in enumerate(self.names)
        }
        self.network: list[tuple[str, raft_messages.Message]] = []
        self.partitioned: set[str] = set()
        self.committed: dict[int, tuple[int, str, bytes]] = {}
        self.leaders: dict[int, str] = {}
        self.proposal_count = 0

    def up(self) -> list[Member]:
        return [member for member in self.members.values() if member.is_up]

    def advance(self, seconds: float) -> None:
        self.now += seconds

    def process_ready(self, member: Member, crash_before_save: bool = False) -> None:
        """Do the pending work of a member, or crash it before it saves anything."""
        while not (ready := member.raft.ready()).is_empty():
            if crash_before_save:
                self.crash(member.name)
                return
            if member.is_full and (ready.entries or ready.hard_state):
                member.raft.discard_unsaved(self.now)
                return
            if self.is_durable:
                member.save(ready)
            for receiver, message in ready.messages:
                self.network.append((receiver, copy(message)))
            for entry in ready.committed:
                self.check_applied(member, entry)
            member.raft.mark_saved(ready)
            member.raft.flush(self.now)
            self.check()

    def check_applied(self, member: Member, entry: journal.Entry) -> None:
        value = (entry.term, entry.kind, entry.data)
        first_value = self.committed.setdefault(entry.index, value)
        assert (
            first_value == value
        ), f"{member.name} applies {value} at {entry.index}, others {first_value}"
        if entry.kind == "command":
            member.applied.append(entry.data)

    def check(self) -> None:
        """Check that a term has one leader, and that no later term has one during a lease."""
        for member in self.up():
            if member.raft.is_leader():
                term = member.raft.hard_state.term
                leader = self.leaders.setdefault(term, member.name)
                assert leader == member.name, f"{leader} and {member.name} lead in term {term}"
        holders = [member for member in self.up() if member.raft.holds_lease(self.now)]
        for holder in holders:
            for member in self.up():
                if member.raft.is_leader() and member is not holder:
                    mine, other = holder.raft.hard_state.term, member.raft.hard_state.term
                    assert other < mine, f"{member.name} leads in {other} under a lease of {mine}"

    def tick(self, name: str) -> None:
        member = self.members[name]
        if member.is_up:
            member.raft.tick(self.now)
            self.process_ready(member)

    def deliver(self, position: int) -> None:
        """Deliver one message, or lose it if the receiver is down or partitioned."""
        receiver, message = self.network.pop(position % len(self.network))
        member = self.members.get(receiver)
        if member is None or not member.is_up or self.is_partitioned(receiver, message.sender):
            return
        member.raft.step(copy(message), self.now)
        self.process_ready(member)

    def is_partitioned(self, one: str, other: str) -> bool:
        return (one in self.partitioned) != (other in self.partitioned)

    def deliver_all(self, rounds: int = 10_000) -> None:
        while self.network and rounds:
            rounds -= 1
            self.deliver(0)

    def crash(self, name: str) -> None:
        self.members[name].is_up = False

    def restart(self, name: str) -> None:
        if not self.members[name].is_up:
            self.members[name].start(self.now)

    def leader(self) -> Member | None:
        leading = [member for member in self.up() if member.raft.is_leader()]
        return max(leading, key=lambda m: m.raft.hard_state.term, default=None)

    def propose(self, name: str = "") -> bytes | None:
        """Propose a command at a leader and return its data, or None without a leader."""
        member = self.members.get(name) if name else self.leader()
        if member is None or not member.is_up or not member.raft.is_leader():
            return None
        self.proposal_count += 1
        data = f"command {self.proposal_count}".encode()
        try:
            member.raft.propose(data, self.now)
        except Exception:
            return None
        member.raft.flush(self.now)
        self.process_ready(member)
        return data

    def compact(self, name: str) -> None:
        member = self.members[name]
        if not member.is_up or member.raft.delivered_index <= member.raft.log.snapshot.index:
            return
        state = msgspec.msgpack.encode(member.applied)
        member.disk.snapshot = member.raft.compact(member.raft.delivered_index, state)
        member.disk.entries = list(member.raft.log.saved_entries())

    def change(self, change: raft_members.MembershipChange) -> bool:
        """Propose a membership change to the leader; return whether it was accepted."""
        leader = self.leader()
        if leader is None:
            return False
        try:
            leader.raft.change_membership(change, self.now)
        except Exception:
            return False
        self.process_ready(leader)
        return True

    def add_member(self, name: str) -> None:
        self.members[name] = Member(name, [], Disk(f"disk-{name}"), self.now, len(self.members))

    def run(self, seconds: float) -> None:
        """Advance the clock, with every message delivered in order."""
        stop_at = self.now + seconds
        while self.now < stop_at:
            self.advance(STEP_S)
            for member in self.up():
                self.tick(member.name)
            self.deliver_all()

    def recover(self) -> None:
        """End all partitions, crashes and full disks."""
        self.partitioned.clear()
        for name, member in self.members.items():
            member.is_full = False
            self.restart(name)


def random_step(cluster: Cluster, rng: random.Random, loss: float) -> None:
    """Do one random step: deliver or lose a message, advance the clock, propose, cause a fault."""
    name = rng.choice(list(cluster.members))
    draw = rng.random()
    if draw < 0.70 and cluster.network:
        position = rng.randrange(len(cluster.network)) if rng.random() < 0.5 else 0
        if rng.random() < loss:
            cluster.network.pop(position)
        else:
            cluster.deliver(position)
    elif draw < 0.80:
        cluster.advance(rng.choice((0.05, 0.2, 0.6)))
        for member in cluster.up():
            cluster.tick(member.name)
    elif draw < 0.90:
        cluster.propose(name)
    elif draw < 0.94:
        cluster.restart(name)
    elif draw < 0.96:
        cluster.partitioned = {name} if rng.random() < 0.4 else set()
    else:
        rare_fault_step(cluster, rng, name)


def rare_fault_step(cluster: Cluster, rng: random.Random, name: str) -> None:
    """Crash a member, toggle a full disk, compact a log, or duplicate a message."""
    draw = rng.random()
    member = cluster.members[name]
    if draw < 0.2:
        cluster.crash(name)
    elif draw < 0.4 and member.is_up:
        member.raft.tick(cluster.now)
        cluster.process_ready(member, crash_before_save=True)
        cluster.crash(name)
    elif draw < 0.6:
        cluster.compact(name)
    elif draw < 0.7:
        member.is_full = not member.is_full
    elif cluster.network:
        cluster.network.append(rng.choice(cluster.network))


def copy(message: raft_messages.Message) -> raft_messages.Message:
    """Return a message after encoding and decoding."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=type(message))
