"""A member of the replicated log: it runs Raft, persists the log and applies committed commands.

A VM that lost its disk returns under a new member name (`membership`), joins the group and replaces
its former member.
"""

import asyncio
import contextlib
import pathlib
import shutil
from collections.abc import Callable

import msgspec

from merlinthread import errors, logs, metrics
from merlinthread.coordination import (
    command_codec,
    fleet_state,
    levels,
    raft,
    raft_members,
    raft_messages,
)
from merlinthread.nodes import (
    leader_tracker,
    log_sender,
    member_changes,
    membership,
    node_settings,
    pending_proposals,
    repair_monitor,
)
from merlinthread.protocol import codec as codecs
from merlinthread.state import journal
from merlinthread.transport import node_bus

# The sender reports the end of each long message. `resend_s` is longer than any call, since copies
# of a message that share a slow link delay each other beyond their timeouts.
TIMING = raft_messages.Timing(
    heartbeat_s=0.15, election_min_s=0.75, election_max_s=1.5, resend_s=30.0
)
COMPACT_AFTER_ENTRIES = 1500
COMPACT_AFTER_BYTES = 16 * 1024 * 1024
# A learner that lacks more of the log than this gets a snapshot, if that is shorter.
SNAPSHOT_ABOVE_BYTES = 64 * 1024
MAINTENANCE_INTERVAL_S = 0.2
DISK_RETRY_DELAY_S = 0.5
# The commit index is saved once nothing was saved for this long, so that a burst of changes shares
# one sync.
COMMIT_SAVE_DELAY_S = 0.2


class SnapshotLevel(msgspec.Struct):
    """The part of a snapshot that is decoded first: the highest format level of its entries."""

    level: int = levels.LOWEST


class LogMember:
    """One member of the replicated log; not thread-safe, use it on its event loop only.

    `on_applied(command, age_s)` is called for each applied command, which was committed at most
    `age_s` seconds ago; `on_restored()` after a snapshot has replaced the state.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        codec: codecs.Codec,
        rpc_client: node_bus.RpcClient,
        clock: Callable[[], float],
        on_applied: Callable[[fleet_state.Command, float], None],
        on_restored: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.codec = codec
        self.rpc_client = rpc_client
        self.clock = clock
        self.on_applied = on_applied
        self.on_restored = on_restored
        self.address = f"{settings.ip}:{settings.control_port}"
        self.folder = pathlib.Path(settings.data_folder)
        self.commands = command_codec.CommandCodec()
        self.proposals = pending_proposals.PendingProposals()
        self.inbox: list[raft_messages.Message] = []
        self.wakeup = asyncio.Event()
        self.levels = levels.MemberLevels()
        self.sender = log_sender.LogSender(codec, rpc_client, self.levels, self.handle_long_message)
        self.member_changes = member_changes.MemberChanges(
            settings,
            rpc_client,
            clock,
            lambda: self.raft,
            self.wakeup.set,
            self.rejoin_as_new_member,
            lambda: self.state.level,
        )
        self.repair_monitor = repair_monitor.RepairMonitor(
            lambda: self.raft, self.sender, settings.members_lost_max
        )
        self.maintenance_at = 0.0
        self.disk_retry_at = float("-inf")
        self.saved_at = float("-inf")
        self.was_leader = False
        self.leader_tracker = leader_tracker.LeaderTracker(clock, lambda: self.raft)
        self.open(settings.is_first_start)

    # Files

    def open(self, is_first_start: bool) -> None:
        """Open the data folder and restore the state from it."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.journal = journal.Journal(self.folder)
        self.membership = membership.load_or_create(
            self.folder, self.settings, self.address, self.journal.identity, is_first_start
        )
        self.name = self.membership.name
        self.raft = raft.Raft(
            self.name, self.membership.first_voters, self.journal, self.clock(), TIMING
        )
        self.state = fleet_state.FleetState()
        self.applied = 0
        # The index of the first entry or snapshot that this build can't read, or 0.
        self.blocked_at = 0
        self.write_gate = levels.WriteGate(self.levels, self.membership.first_level)
        metrics.log_blocked.set(0)
        self.leader_tracker.reset()
        self.restore(self.journal.snapshot)
        logs.event(
            "log_opened",
            member=self.name,
            term=self.raft.hard_state.term,
            last_index=self.raft.log.last_index(),
            known_committed=self.raft.commit,
            voters=self.raft.log.membership.voters,
        )

    def rejoin_as_new_member(self) -> None:
        """Delete the data of this member, which the group has removed, and rejoin as a new one."""
        logs.warning("member_removed", member=self.name)
        self.journal.close()
        for path in list(self.folder.iterdir()):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()
        self.proposals.fail_all("this member was removed")
        self.open(is_first_start=False)
        self.on_restored()

    def restore(self, snapshot: journal.Snapshot) -> None:
        """Restore the state from a snapshot; block the log if its format level is too high."""
        if snapshot.state:
            level = msgspec.msgpack.decode(snapshot.state, type=SnapshotLevel).level
            if level > levels.NEWEST:
                self.block(snapshot.index, f"a snapshot of level {level}")
                return
            self.state = msgspec.msgpack.decode(snapshot.state, type=fleet_state.FleetState)
            if self.state.held:
                # Builds without levels could already write holds.
                self.state.level = max(self.state.level, levels.FormatLevel.HELD_REQUESTS)
        self.applied = snapshot.index
        metrics.log_level.set(self.state.level)

    # Event loop

    async def run(self) -> None:
        """Process messages and timers until the task is cancelled."""
        while True:
            now = self.clock()
            self.process(now)
            self.member_changes.request_join(now)
            self.wakeup.clear()
            if not self.inbox:
                wakeup_at = min(
                    self.raft.next_tick_at(), self.maintenance_at, self.member_changes.next_join_at
                )
                await self.wait_for_message(max(0.001, wakeup_at - self.clock()))

    async def wait_for_message(self, timeout_s: float) -> None:
        """Wait for a message or another wakeup, for at most `timeout_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.wakeup.wait()

    def process(self, now: float) -> None:
        """Process the received messages and the due timers."""
        messages, self.inbox = self.inbox, []
        for message in messages:
            self.raft.step(message, now)
        self.raft.tick(now)
        self.raft.flush(now)
        self.process_ready(now)
        if self.blocked_at and not self.raft.is_resigned:
            # Its state is outdated, so it must not lead; it remains a voter.
            self.raft.resign(now)
        self.update_leadership()
        self.leader_tracker.update_current_at(self.applied, self.state.version)
        if now >= self.maintenance_at:
            self.maintenance_at = now + MAINTENANCE_INTERVAL_S
            self.save_commit_index(now)
            self.write_gate.update(self.other_addresses(), now)
            self.leader_tracker.log_missing_leader(now)
            self.member_changes.repair(now)
            self.report_repair(now)
            self.prepare_snapshot()

    def report_repair(self, now: float) -> None:
        """Report at the leader whether the group tolerates enough failures."""
        if self.raft.is_leader():
            group = self.member_changes.group_status(self.raft, now)
            self.repair_monitor.update(group, now)

    def receive(self, frames: list[bytes]) -> None:
        """Queue encoded messages of another member."""
        for frame in frames:
            self.inbox.append(self.codec.decode(frame))
        self.wakeup.set()

    def handle_long_message(self, receiver: str, sent_at: float, is_delivered: bool) -> None:
        """Tell Raft whether a long message was delivered."""
        self.raft.on_long_message_sent(receiver, sent_at, is_delivered, self.clock())
        self.wakeup.set()

    # Durability

    def process_ready(self, now: float) -> None:
        """Save entries, send messages and apply committed entries until Raft has no more work."""
        while not (ready := self.raft.ready()).is_empty():
            try:
                self.save(ready)
            except errors.DiskFullError as error:
                self.handle_full_disk(error, now)
                return
            for receiver, message in ready.messages:
                self.sender.send(receiver, message)
            for entry in ready.committed:
                self.apply(entry)
            self.raft.mark_saved(ready)
            self.raft.flush(now)
            if self.raft.is_leader() and any(entry.data for entry in ready.committed):
                # Send the commit index to the others now instead of with the next heartbeat.
                self.raft.heartbeat_at = now
                self.raft.tick(now)
        if self.is_due_for_compaction() and now >= self.disk_retry_at:
            self.compact(now)

    def save(self, ready: raft_messages.Ready) -> None:
        """Make the snapshot, hard state and entries of `ready` durable; raise DiskFullError."""
        if ready.snapshot is not None:
            self.journal.compact(ready.snapshot, self.raft.log.saved_entries())
            self.restore(ready.snapshot)
            self.on_restored()
        if ready.hard_state is not None or ready.entries:
            self.journal.save(ready.hard_state, ready.entries, self.raft.commit)
            self.saved_at = self.clock()

    def save_commit_index(self, now: float) -> None:
        """Save the commit index, once nothing was saved for COMMIT_SAVE_DELAY_S.

        It is also saved along with entries, but before these are committed. Without this, a member
        that restarts without a leader would not apply the last change.
        """
        is_idle = now - self.saved_at >= COMMIT_SAVE_DELAY_S
        if self.raft.commit <= self.journal.commit or not is_idle or now < self.disk_retry_at:
            return
        try:
            self.journal.save(None, [], self.raft.commit)
        except errors.DiskFullError as error:
            self.disk_retry_at = now + DISK_RETRY_DELAY_S
            logs.warning("disk_full", message=error.message)

    def handle_full_disk(self, error: errors.DiskFullError, now: float) -> None:
        """Step down, fail the commands that could not be saved, and retry the disk later."""
        if now >= self.disk_retry_at:
            logs.warning("disk_full", message=error.message)
        self.disk_retry_at = now + DISK_RETRY_DELAY_S
        self.raft.discard_unsaved(now)
        self.proposals.fail_after(self.raft.log.saved_index, error)

    def is_due_for_compaction(self) -> bool:
        """Return whether the log has grown enough since the last snapshot."""
        entry_count = self.applied - self.journal.snapshot.index
        return entry_count >= COMPACT_AFTER_ENTRIES or (
            entry_count > 0 and self.journal.file.length > COMPACT_AFTER_BYTES
        )

    def compact(self, now: float) -> None:
        """Replace the applied entries of the log by a snapshot; a full disk delays this."""
        snapshot = self.raft.compact(self.applied, msgspec.msgpack.encode(self.state))
        try:
            self.journal.compact(snapshot, self.raft.log.saved_entries())
        except errors.DiskFullError as error:
            self.disk_retry_at = now + DISK_RETRY_DELAY_S
            logs.warning("disk_full", message=error.message)
            return
        logs.event("compacted", index=snapshot.index)

    def prepare_snapshot(self) -> None:
        """Let a learner have the state in place of the log if that is shorter.

        The log has each earlier configuration, and a learner that gets all of them over a slow link
        is not promoted before the next failure.
        """
        learners = self.raft.log.membership.learners
        if not self.raft.is_leader() or self.applied != self.raft.delivered_index:
            return
        log_bytes = max((self.raft.bytes_to_send(name) for name in learners), default=0)
        # An older snapshot and the entries after it take two round trips.
        needs_snapshot = log_bytes > 0 and any(map(self.raft.needs_log_snapshot, learners))
        if log_bytes <= SNAPSHOT_ABOVE_BYTES and not needs_snapshot:
            return
        state = msgspec.msgpack.encode(self.state)
        if needs_snapshot or len(state) < log_bytes:
            self.raft.prepare_snapshot(state)
            logs.event("snapshot_prepared", log_bytes=log_bytes, state_bytes=len(state))

    def apply(self, entry: journal.Entry) -> None:
        """Apply a committed entry and complete the proposal that waits for it.

        From the first entry that can't be decoded on, none is applied.
        """
        if self.blocked_at:
            return
        is_changed = False
        if entry.kind == "command":
            command = self.decode_or_block(entry)
            if command is None:
                return
            is_changed = self.state.apply(command)
            metrics.log_level.set(self.state.level)
            self.on_applied(command, self.leader_tracker.commit_age_max_s(entry, self.clock()))
        elif entry.kind == "voters":
            # The next change of a repair may be due.
            self.maintenance_at = float("-inf")
        self.applied = entry.index
        metrics.log_index.set(entry.index)
        self.proposals.complete(entry, is_changed)

    def decode_or_block(self, entry: journal.Entry) -> fleet_state.Command | None:
        """Return the command of an entry; block the log and return None if it can't be decoded."""
        try:
            return self.commands.decode(entry.data)
        except (KeyError, msgspec.DecodeError) as error:
            self.block(entry.index, repr(error))
            return None

    def block(self, index: int, reason: str) -> None:
        """Stop applying entries at `index`, which a newer build wrote and this one can't read.

        Skipping the entry would make the state diverge from that of the other members, and after an
        exit the next start would fail again. Until it runs a newer build, the member continues to
        save entries and to vote, and reports its staleness.
        """
        self.blocked_at = index
        metrics.log_blocked.set(1)
        logs.warning(
            "log_blocked",
            index=index,
            reason=reason,
            level=int(levels.NEWEST),
            remedy="run a newer build on this VM; until then, this member votes but does not lead",
        )

    # Proposals and leadership

    def propose(self, command: bytes) -> asyncio.Future:
        """Propose a command; the future's result is whether it changed the state.

        Raises NotLeaderError on a follower, DiskFullError on a full disk, and ControlError if a
        member is not known to read it.
        """
        now = self.clock()
        others = self.other_addresses()
        reason = self.write_gate.reason_not_writable(
            self.commands.level_of(command), others, self.state.level, now
        )
        if reason:
            raise errors.ControlError(reason)
        if now < self.disk_retry_at:
            raise errors.DiskFullError(f"{self.folder}: the disk is full; free some space")
        index = self.raft.propose(command, now)
        future = self.proposals.add(index, self.raft.hard_state.term)
        self.wakeup.set()
        return future

    def has_unapplied(self, *kinds: type) -> bool:
        """Return whether the log has commands of these kinds that are not applied here yet."""
        return any(
            entry.kind == "command" and self.commands.is_of(entry.data, kinds)
            for entry in self.raft.log.entries_between(self.applied, self.raft.log.last_index())
        )

    def holds_lease(self) -> bool:
        """Return whether this member holds the leader's lease."""
        return self.raft.holds_lease(self.clock())

    def leader_address(self) -> str:
        """Return the address of the leader, or "" if it is unknown."""
        return raft_members.address_of(self.raft.leader)

    def member_addresses(self) -> list[str]:
        """Return the addresses of all members."""
        return [raft_members.address_of(name) for name in self.raft.log.membership.members()]

    def other_addresses(self) -> list[str]:
        """Return the addresses of the other members."""
        return [address for address in self.member_addresses() if address != self.address]

    def check_leader_reads(self, command: bytes, leader: str) -> None:
        """Raise ControlError if the leader is not known to read a command.

        A leader of an older build would append an entry that it can't read itself.
        """
        level = self.commands.level_of(command)
        if self.levels.below([leader], level):
            raise errors.ControlError(f"the leader {leader} is not known to read level {level}")

    def update_leadership(self) -> None:
        """Log a change of leader; fail the pending proposals when this member steps down."""
        self.leader_tracker.log_change()
        is_leader = self.raft.is_leader()
        if is_leader == self.was_leader:
            return
        self.was_leader = is_leader
        self.member_changes.clear_requests()
        if not is_leader:
            self.repair_monitor.reset()
            self.proposals.fail_all("the leader changed")

    def close(self) -> None:
        """Close the journal."""
        self.journal.close()
