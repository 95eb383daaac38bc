"""One member of a deployment's replicated log: it owns the log, its files and the state machine.

One whose disk was lost is another member (`membership`): it joins anew and takes the place of the
first one.
"""

import asyncio
import contextlib
import pathlib
import shutil
from collections.abc import Callable

import msgspec

from merlinthread import errors, logs, metrics
from merlinthread.coordination import fleet_state, levels, raft, raft_members, raft_messages
from merlinthread.nodes import log_sender, member_changes, membership, node_settings
from merlinthread.protocol import codec as codecs
from merlinthread.state import journal
from merlinthread.transport import node_bus

TIMING = raft_messages.Timing(heartbeat_s=0.15, election_min_s=0.75, election_max_s=1.5)
COMPACT_ENTRIES = 1500
COMPACT_BYTES = 16 * 1024 * 1024
DUTIES_EVERY_S = 0.2
DISK_RETRY_S = 0.5
# How long the log is quiet before what is known to be committed is made durable by itself. One sync
# for a burst of changes; less would add one to each change of a storm (every 60 ms).
COMMIT_KEPT_AFTER_S = 0.2
# A member that held what a majority holds this long ago follows as closely as heartbeats come (two
# of them); what it applies was committed just now.
CAUGHT_UP_S = 2 * TIMING.heartbeat_s
# Told in place of an age that is not known; finite, so that it can be sent and compared.
UNKNOWN_AGE_S = 1e6
# How often a member that knows no leader tells so in its log.
NO_LEADER_TOLD_EVERY_S = 2.0


class SnapshotHead(msgspec.Struct):
    """What is read of a snapshot first: the level of the entries that made it."""

    level: int = levels.LOWEST


class LogMember:
    """The owner of the log; all calls are made on its event loop.

    `on_applied(command, age_s)` is called for each applied command, with how long ago it was
    committed at most; `on_restored()` after a snapshot has replaced the state.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        codec: codecs.Codec,
        caller: node_bus.RpcClient,
        clock: Callable[[], float],
        on_applied: Callable[[fleet_state.Command, float], None],
        on_restored: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.codec = codec
        self.caller = caller
        self.clock = clock
        self.on_applied = on_applied
        self.on_restored = on_restored
        self.address = f"{settings.ip}:{settings.control_port}"
        self.folder = pathlib.Path(settings.data_folder)
        self.command_decoders = {
            name: msgspec.msgpack.Decoder(kind)
            for name, kind in fleet_state.COMMANDS.entries.items()
        }
        self.command_names = {kind: name for name, kind in fleet_state.COMMANDS.entries.items()}
        self.pair = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
        self.waiting: dict[int, tuple[int, asyncio.Future]] = {}
        self.inbox: list[raft_messages.Message] = []
        self.wakeup = asyncio.Event()
        self.levels = levels.MemberLevels()
        self.sender = log_sender.LogSender(codec, caller, self.levels)
        self.members = member_changes.MemberChanges(
            settings,
            caller,
            clock,
            lambda: self.raft,
            self.wakeup.set,
            self.rejoin_as_new_member,
            lambda: self.state.level,
        )
        self.duties_at = 0.0
        self.full_until = float("-inf")
        self.saved_at = float("-inf")
        self.was_leader = False
        self.last_leader = ""
        self.leaderless_since = clock()
        self.leaderless_told_at = clock()
        self.open(settings.is_first_start)

    # Files

    def open(self, is_first_start: bool) -> None:
        """Open the files and take up where they end."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.journal = journal.Journal(self.folder)
        self.membership = membership.load(
            self.folder, self.settings, self.address, self.journal.identity, is_first_start
        )
        self.name = self.membership.name
        self.raft = raft.Raft(
            self.name, self.membership.first_voters, self.journal, self.clock(), TIMING
        )
        self.state = fleet_state.FleetState()
        self.applied = 0
        # The index of the first entry that this build can't read, 0 while there is none.
        self.blocked_at = 0
        self.gate = levels.WriteGate(self.levels, self.membership.first_level)
        metrics.log_blocked.set(0)
        self.current_at = float("-inf")
        self.restore(self.journal.snapshot)
        logs.event(
            "log_opened",
            member=self.name,
            term=self.raft.hard_state.term,
            last_index=self.raft.log.last_index(),
            known_committed=self.raft.commit,
            voters=self.raft.log.voters.voters,
        )

    def rejoin_as_new_member(self) -> None:
        """Give up this member's identity: the others have removed it. Join as a new one."""
        logs.warning("member_removed", member=self.name)
        self.journal.close()
        for path in list(self.folder.iterdir()):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()
        self.fail_waiting("this member was removed")
        self.open(is_first_start=False)
        self.on_restored()

    def restore(self, snapshot: journal.Snapshot) -> None:
        """Take the state over from a snapshot, unless a build of a higher level made it."""
        if snapshot.state:
            level = msgspec.msgpack.decode(snapshot.state, type=SnapshotHead).level
            if level > levels.NEWEST:
                self.block(snapshot.index, f"a snapshot of level {level}")
                return
            self.state = msgspec.msgpack.decode(snapshot.state, type=fleet_state.FleetState)
            if self.state.held:
                # Builds that wrote such entries before levels were told name none.
                self.state.level = max(self.state.level, levels.FormatLevel.HELD_REQUESTS)
        self.applied = snapshot.index
        metrics.log_level.set(self.state.level)

    # The loop

    async def run(self) -> None:
        """Take in messages, decide, make durable, send and apply, for ever."""
        while True:
            now = self.clock()
            self.turn(now)
            self.members.request_join(now)
            self.wakeup.clear()
            if not self.inbox:
                due = min(self.raft.next_tick_at(), self.duties_at, self.members.ask_at)
                await self.sleep(max(0.001, due - self.clock()))

    async def sleep(self, seconds: float) -> None:
        """Wait for a message, at most `seconds`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.wakeup.wait()

    def turn(self, now: float) -> None:
        """Do one round."""
        messages, self.inbox = self.inbox, []
        for message in messages:
            self.raft.step(message, now)
        self.raft.tick(now)
        self.raft.flush(now)
        self.settle(now)
        if self.blocked_at and not self.raft.is_resigned:
            # It can't tell what is in force, so it must not lead; it goes on as a voter.
            self.raft.resign(now)
        self.note_leadership()
        self.update_current_at()
        if now >= self.duties_at:
            self.duties_at = now + DUTIES_EVERY_S
            self.keep_commit(now)
            self.gate.update(self.other_addresses(), now)
            self.tell_missing_leader(now)
            self.members.look_after(now)

    def receive(self, frames: list[bytes]) -> None:
        """Take messages of another member."""
        for frame in frames:
            self.inbox.append(self.codec.decode(frame))
        self.wakeup.set()

    # Durability

    def settle(self, now: float) -> None:
        """Save, send and apply until nothing is left to do."""
        while not (ready := self.raft.ready()).is_empty():
            try:
                self.save(ready)
            except errors.DiskFullError as error:
                self.on_full_disk(error, now)
                return
            for receiver, message in ready.messages:
                self.sender.send(receiver, message)
            for entry in ready.committed:
                self.apply(entry)
            self.raft.mark_saved(ready)
            self.raft.flush(now)
            if self.raft.is_leader() and any(entry.data for entry in ready.committed):
                # The others learn at once, not with the next heartbeat, that it is committed.
                self.raft.heartbeat_at = now
                self.raft.tick(now)
        if self.is_due_for_compaction() and now >= self.full_until:
            self.compact(now)

    def save(self, ready: raft_messages.Ready) -> None:
        """Make `ready` durable."""
        if ready.snapshot is not None:
            self.journal.compact(ready.snapshot, self.raft.log.saved_entries())
            self.restore(ready.snapshot)
            self.on_restored()
        if ready.hard_state is not None or ready.entries:
            self.journal.save(ready.hard_state, ready.entries, self.raft.commit)
            self.saved_at = self.clock()

    def keep_commit(self, now: float) -> None:
        """Make durable what is known to be committed, once the log has been quiet for a moment.

        Entries carry it along, but the last one can't tell that it is committed itself; without
        this a member that starts without a leader would not tell the last change.
        """
        is_quiet = now - self.saved_at >= COMMIT_KEPT_AFTER_S
        if self.raft.commit <= self.journal.commit or not is_quiet or now < self.full_until:
            return
        try:
            self.journal.save(None, [], self.raft.commit)
        except errors.DiskFullError as error:
            self.full_until = now + DISK_RETRY_S
            logs.warning("disk_full", message=error.message)

    def on_full_disk(self, error: errors.DiskFullError, now: float) -> None:
        """Give up leading, refuse what was not accepted, and try again a little later."""
        if now >= self.full_until:
            logs.warning("disk_full", message=error.message)
        self.full_until = now + DISK_RETRY_S
        self.raft.discard_unsaved(now)
        for index, (_, answer) in list(self.waiting.items()):
            if index > self.raft.log.saved_index:
                del self.waiting[index]
                set_error(answer, error)

    def is_due_for_compaction(self) -> bool:
        """Return whether the log has grown enough for a snapshot."""
        grown = self.applied - self.journal.snapshot.index
        return grown >= COMPACT_ENTRIES or (grown > 0 and self.journal.file.length > COMPACT_BYTES)

    def compact(self, now: float) -> None:
        """Replace the applied part of the log by a snapshot."""
        snapshot = self.raft.compact(self.applied, msgspec.msgpack.encode(self.state))
        try:
            self.journal.compact(snapshot, self.raft.log.saved_entries())
        except errors.DiskFullError as error:
            self.full_until = now + DISK_RETRY_S
            logs.warning("disk_full", message=error.message)
            return
        logs.event("compacted", index=snapshot.index)

    def apply(self, entry: journal.Entry) -> None:
        """Apply one committed entry and answer whoever waits for it.

        Nothing is applied from the first entry on that can't be read.
        """
        if self.blocked_at:
            return
        is_changed = False
        if entry.kind == "command":
            command = self.known_command(entry)
            if command is None:
                return
            is_changed = self.state.apply(command)
            metrics.log_level.set(self.state.level)
            self.on_applied(command, self.age_s_max(entry, self.clock()))
        self.applied = entry.index
        metrics.log_index.set(entry.index)
        term, answer = self.waiting.pop(entry.index, (0, None))
        if answer is None:
            return
        if term == entry.term:
            if not answer.done():
                answer.set_result(is_changed)
        else:
            set_error(answer, lost_leadership())

    def age_s_max(self, entry: journal.Entry, now: float) -> float:
        """Return how long ago an entry that is applied now may have been committed.

        It was committed after the last moment at which this member surely held what a majority
        holds; a member that catches up may be as late as that. A leader commits its own entries
        itself.
        """
        if self.raft.is_leader() and entry.term == self.raft.hard_state.term:
            return 0.0
        age_s = self.staleness_s(now)
        return age_s if age_s > CAUGHT_UP_S else 0.0

    def known_command(self, entry: journal.Entry) -> fleet_state.Command | None:
        """Return the command in an entry; block the log, and return None, if it can't be read."""
        try:
            return self.decode_command(entry.data)
        except (KeyError, msgspec.DecodeError) as error:
            self.block(entry.index, repr(error))
            return None

    def block(self, index: int, reason: str) -> None:
        """Note that this build can't read an entry or a snapshot that a newer one wrote.

        To pass over it would leave this member with another state than the others, which it would
        tell, lead with and give away in snapshots; to end would be repeated at each start. So it
        stays where it is: it saves and votes, and tells its age, until it runs a newer build.
        """
        self.blocked_at = index
        metrics.log_blocked.set(1)
        logs.warning(
            "log_blocked",
            index=index,
            reason=reason,
            level=int(levels.NEWEST),
            remedy="run a build here that reads it; this one votes and does not lead meanwhile",
        )

    def decode_command(self, data: bytes) -> fleet_state.Command:
        """Return the command in an entry."""
        name, raw = self.pair.decode(data)
        return self.command_decoders[name].decode(raw)

    def encode_command(self, command: fleet_state.Command) -> bytes:
        """Return the bytes of a command in an entry."""
        return msgspec.msgpack.encode((self.command_names[type(command)], command))

    # Leading

    def propose(self, command: bytes) -> asyncio.Future:
        """Put a command into the log; the result tells whether it changed anything.

        Raises NotLeaderError on a follower, DiskFullError on a full disk, and ControlError if a
        member can't read it.
        """
        now = self.clock()
        others = self.other_addresses()
        objection = self.gate.reason_not_writable(
            self.level_of(command), others, self.state.level, now
        )
        if objection:
            raise errors.ControlError(objection)
        if now < self.full_until:
            raise errors.DiskFullError(f"{self.folder}: no room on the disk; free some space")
        index = self.raft.propose(command, now)
        answer = asyncio.get_running_loop().create_future()
        self.waiting[index] = (self.raft.hard_state.term, answer)
        self.wakeup.set()
        return answer

    def holds_lease(self) -> bool:
        """Return whether this member surely leads now."""
        return self.raft.holds_lease(self.clock())

    def staleness_s(self, now: float) -> float:
        """Return how long ago this member surely held what a majority holds, in seconds."""
        return min(UNKNOWN_AGE_S, max(0.0, now - self.current_at))

    def update_current_at(self) -> None:
        """Note when this member surely held what a majority holds.

        A leader does while others answer it, once it has committed an entry of its term. A follower
        does when it has applied all that its leader has told it to be committed: not before it has
        heard one since its start, not while it catches up, and not while its disk is full.
        """
        if self.raft.is_leader():
            if self.raft.commit >= self.raft.term_start:
                span_s = TIMING.election_min_s * TIMING.lease_fraction
                self.current_at = self.raft.lease_until() - span_s
        elif self.raft.last_known_leader and self.applied >= self.raft.leader_commit:
            self.current_at = self.raft.heard_leader_at

    def leader_address(self) -> str:
        """Return the address of the leader, or nothing."""
        return raft_members.address_of(self.raft.leader)

    def member_addresses(self) -> list[str]:
        """Return the addresses of all members."""
        return [raft_members.address_of(name) for name in self.raft.log.voters.members()]

    def other_addresses(self) -> list[str]:
        """Return the addresses of the other members."""
        return [address for address in self.member_addresses() if address != self.address]

    def level_of(self, command: bytes) -> levels.FormatLevel:
        """Return the level that an encoded command needs; raise ControlError if it can't be read.

        An entry can't be taken back: older builds end at one that they can't read, at each start.
        """
        try:
            return levels.level_of(type(self.decode_command(command)))
        except (KeyError, msgspec.DecodeError) as error:
            raise errors.ControlError(
                f"this build, of level {levels.NEWEST}, can't read the command: {error!r}; "
                "send it to a newer one"
            )

    def check_leader_reads(self, command: bytes, leader: str) -> None:
        """Raise ControlError if the leader is not known to read a command.

        One of an older build would write what it can't read itself.
        """
        level = self.level_of(command)
        if self.levels.below([leader], level):
            raise errors.ControlError(f"the leader {leader} is not known to read level {level}")

    def note_leadership(self) -> None:
        """Log a change of leader; fail what waits on a lost leadership."""
        leads = self.raft.is_leader()
        if self.raft.leader != self.last_leader:
            self.last_leader = self.raft.leader
            self.leaderless_since = self.leaderless_told_at = self.clock()
            metrics.leader_changes_total.inc()
            logs.event("leader", leader=self.raft.leader, term=self.raft.hard_state.term)
        if leads == self.was_leader:
            return
        self.was_leader = leads
        self.members.forget()
        if not leads:
            self.fail_waiting("the leader changed")

    def tell_missing_leader(self, now: float) -> None:
        """Log now and then that no leader is known, and whose votes are missing."""
        is_due = now - self.leaderless_told_at >= NO_LEADER_TOLD_EVERY_S
        if self.raft.leader or not is_due or not self.raft.is_voter():
            return
        self.leaderless_told_at = now
        voters = self.raft.log.voters
        logs.warning(
            "no_leader",
            since_s=round(now - self.leaderless_since, 3),
            term=self.raft.hard_state.term,
            last_index=self.raft.log.last_index(),
            majority=voters.majority(),
            granted=sorted(self.raft.votes),
            voters=voters.voters,
        )

    def fail_waiting(self, reason: str) -> None:
        """Tell all who wait that the outcome is unknown."""
        waiting, self.waiting = self.waiting, {}
        for _, answer in waiting.values():
            set_error(answer, lost_leadership())
        if waiting:
            logs.event("commands_unknown", count=len(waiting), reason=reason)

    def close(self) -> None:
        """Close the files."""
        self.journal.close()


def set_error(answer: asyncio.Future, error: Exception) -> None:
    """Give an error to whoever still waits."""
    if not answer.done():
        answer.set_exception(error)


def lost_leadership() -> errors.ControlError:
    """Return the error for a command whose leader lost its place meanwhile."""
    return errors.ControlError(
        "the leader changed before the command was committed; send it again",
        kind=errors.ErrorKind.OUTCOME_UNKNOWN,
    )
