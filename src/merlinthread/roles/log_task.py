"""The thread that runs a control VM's replicated log and state machine."""

import dataclasses
import pathlib
import queue
import threading
from concurrent import futures
from typing import Any

import msgspec

from merlinthread import errors, logs, metrics
from merlinthread import settings as settings_
from merlinthread.coordination import (
    commands,
    control_state,
    raft,
    raft_messages,
    sessions,
)
from merlinthread.protocol import messages
from merlinthread.roles import base, leader_duties
from merlinthread.state import folder, journal
from merlinthread.transport import bus

INBOX_BATCH_SIZE = 512
COMPACT_LOG_BYTES = 32 * 1024 * 1024
EXPIRY_INTERVAL_S = 600.0


@dataclasses.dataclass(slots=True)
class Proposal:
    """A command to be committed, and the future of its result."""

    command: commands.Command
    future: futures.Future


@dataclasses.dataclass(slots=True)
class ReportUpdate:
    """An entry's changes among its agents, and the future of the reply."""

    changes: messages.AgentChanges
    future: futures.Future


@dataclasses.dataclass(slots=True)
class ReadRequest:
    """A function that reads the leader's state, and the future of its result.

    `query` is called with the log task; the leader must hold its lease.
    """

    query: Any
    future: futures.Future


@dataclasses.dataclass(slots=True)
class PublishedState:
    """State of the log task for other threads; replaced as a whole, never modified.

    `controls` maps the names of members to their `bus` addresses.
    """

    directive: control_state.Directive
    leader: str
    leader_seen_at: float
    controls: dict[str, str]


class LogTask:
    """Runs the replicated log and its state machine in one thread.

    Other threads put items into `inbox` and read `published`. `failure` is the reason why the
    thread ended, or empty.
    """

    def __init__(self, context: base.RoleContext, config: settings_.Control) -> None:
        self.context = context
        self.config = config
        self.name = context.settings.name
        self.inbox: queue.SimpleQueue = queue.SimpleQueue()
        self.folder = folder.DataFolder(pathlib.Path(config.data_folder))
        self.journal = journal.Journal(self.folder.path)
        timing = raft_messages.Timing(
            config.heartbeat_s, config.election_min_s, config.election_max_s
        )
        self.raft = raft.Raft(
            self.name,
            [] if config.replaces else [peer.name for peer in config.members],
            self.journal,
            context.clock(),
            timing,
            identity=self.journal.identity,
        )
        self.state = control_state.ControlState()
        self.applied_index = 0
        self.restore_snapshot(self.journal.snapshot)
        self.pending_futures: dict[int, tuple[int, futures.Future]] = {}
        self.report_receiver = sessions.ReportReceiver(config.agent_lost_after_s)
        self.senders = {
            peer.name: bus.Sender(peer.log_bus, context.codec)
            for peer in config.members
            if peer.name != self.name
        }
        now = context.clock()
        self.next_placement_at = now
        self.duties = leader_duties.LeaderDuties(self)
        self.next_expiry_at = now + EXPIRY_INTERVAL_S
        self.disk_full_until = float("-inf")
        self.was_leader = False
        self.state_logged_at = float("-inf")
        self.published = PublishedState(control_state.Directive(), "", float("-inf"), {})
        self.publish()
        self.thread = threading.Thread(target=self.run, name="log", daemon=True)
        self.stopping = False
        self.failure = ""

    # Main loop

    def run(self) -> None:
        """Run until stopped, or until an unexpected error or the loss of this member's identity."""
        try:
            while not self.stopping:
                self.run_once()
                if self.raft.replaced_by:
                    self.failure = (
                        f"the data folder of {self.name!r} was lost: its identity differs from the "
                        "one that the members know; start this VM under a new name with "
                        "control.replaces"
                    )
                    logs.warning("identity_lost", reason=self.failure)
                    return
        except Exception as error:
            logs.exception("log_task_failed")
            self.failure = repr(error)

    def run_once(self) -> None:
        """Wait for items or the next timer, handle them, and process their effects."""
        now = self.context.clock()
        wait = max(0.0, min(self.raft.next_tick_at(), self.next_placement_at) - now)
        items = self.receive(wait)
        now = self.context.clock()
        for item in items:
            self.handle_item(item, now)
        self.raft.tick(now)
        self.raft.flush(now)
        self.process_ready(now)
        self.update_leadership()
        self.run_leader_tasks(now)
        self.log_state(now)
        self.publish()

    def receive(self, wait_s: float) -> list[Any]:
        """Return up to `INBOX_BATCH_SIZE` items; wait up to `wait_s` for the first one."""
        items: list[Any] = []
        try:
            items.append(self.inbox.get(timeout=max(0.0005, wait_s)))
            while len(items) < INBOX_BATCH_SIZE:
                items.append(self.inbox.get_nowait())
        except queue.Empty:
            pass
        return items

    def handle_item(self, item: Any, now: float) -> None:
        """Handle one item of the inbox."""
        if isinstance(item, Proposal):
            self.run_or_reject(item.future, lambda: self.propose(item.command, item.future, now))
        elif isinstance(item, messages.JoinRequest):
            self.duties.join_requests[item.name] = (item, now)
        elif isinstance(item, ReadRequest):
            self.run_or_reject(item.future, lambda: self.read(item, now))
        elif isinstance(item, ReportUpdate):
            self.run_or_reject(item.future, lambda: self.apply_agent_changes(item, now))
        elif isinstance(item, raft_messages.Message):
            self.raft.step(item, now)

    def run_or_reject(self, future: futures.Future, function: Any) -> None:
        """Call `function`; set a MerlinthreadError that it raises on the future."""
        try:
            function()
        except errors.MerlinthreadError as error:
            future.set_exception(error)

    def propose(self, command: commands.Command, future: futures.Future, now: float) -> None:
        """Append a command to the log; its future is set when it is applied.

        Raises DiskFullError for 1 s after a failed write, NotLeaderError, and ControlError if too
        many commands are pending.
        """
        if now < self.disk_full_until:
            raise errors.DiskFullError(
                f"{self.folder.path}: no space left on the disk; free some space"
            )
        name = self.context.codec.names[type(command)]
        index = self.raft.propose(msgspec.msgpack.encode((name, command)), now)
        self.pending_futures[index] = (self.raft.hard_state.term, future)

    def apply_agent_changes(self, update: ReportUpdate, now: float) -> None:
        """Apply an entry's changes; raise NotLeaderError if this member does not lead."""
        self.raft.require_leader()
        changes = update.changes
        is_accepted = self.report_receiver.apply_update(
            changes.entry, changes.changed, changes.gone, changes.is_full, now
        )
        listener = f"{self.name} {self.raft.hard_state.term}"
        update.future.set_result(messages.AgentChangesReply(listener, not is_accepted))

    def read(self, request: ReadRequest, now: float) -> None:
        """Answer a read; raise NotLeaderError unless this member holds the leader's lease."""
        if not self.raft.holds_lease(now):
            raise errors.NotLeaderError(f"{self.name} is not the leader", self.raft.leader)
        request.future.set_result(request.query(self))

    # Durability

    def process_ready(self, now: float) -> None:
        """Save entries, send messages and apply committed entries until none are left.

        Then compact the log if it is long enough.
        """
        while not (ready := self.raft.ready()).is_empty():
            try:
                self.save(ready)
            except errors.DiskFullError as error:
                self.handle_full_disk(error, now)
                return
            for receiver, message in ready.messages:
                if receiver in self.senders:
                    self.senders[receiver].send(message)
            for entry in ready.committed:
                self.apply(entry)
            self.raft.mark_saved(ready)
            self.raft.flush(now)
            self.connect_members()
        if self.is_due_for_compaction() and now >= self.disk_full_until:
            self.compact(now)

    def save(self, ready: raft_messages.Ready) -> None:
        """Write the snapshot, entries and hard state of `ready` to disk."""
        if ready.snapshot is not None:
            entries = self.raft.log.saved_entries()
            self.journal.compact(ready.snapshot, entries)
            self.restore_snapshot(ready.snapshot)
        if ready.hard_state is not None or ready.entries:
            self.journal.save(ready.hard_state, ready.entries, self.raft.commit)

    def handle_full_disk(self, error: errors.DiskFullError, now: float) -> None:
        """Step down, discard unsaved entries, fail their commands, and reject new ones for 1 s."""
        logs.warning("disk_full", message=error.message)
        self.disk_full_until = now + 1.0
        self.raft.discard_unsaved(now)
        for index, (_, future) in list(self.pending_futures.items()):
            if index > self.raft.log.saved_index:
                self.pending_futures.pop(index)
                future.set_exception(error)

    def is_due_for_compaction(self) -> bool:
        """Return whether the log is long enough, in entries or bytes, to be compacted."""
        new_entries = self.applied_index - self.journal.snapshot.index
        if new_entries >= self.config.compact_after_entries:
            return True
        return new_entries > 0 and self.journal.file.length > COMPACT_LOG_BYTES

    def compact(self, now: float) -> None:
        """Replace the applied entries in the log by a snapshot."""
        encoded = msgspec.msgpack.encode(self.state)
        snapshot = self.raft.compact(self.applied_index, encoded)
        entries = self.raft.log.saved_entries()
        try:
            self.journal.compact(snapshot, entries)
        except errors.DiskFullError as error:
            self.disk_full_until = now + 1.0
            logs.warning("disk_full", message=error.message)
            return
        metrics.data_folder_bytes.set(self.journal.size_bytes())
        logs.event("compacted", index=snapshot.index, state_bytes=len(encoded))

    def restore_snapshot(self, snapshot: journal.Snapshot) -> None:
        """Replace the state machine's state by that of a snapshot."""
        if snapshot.state:
            self.state = msgspec.msgpack.decode(snapshot.state, type=control_state.ControlState)
        self.applied_index = snapshot.index

    def apply(self, entry: journal.Entry) -> None:
        """Apply a committed entry, and set the result of the command that is waiting for it.

        A command whose index was taken by an entry of another term fails.
        """
        result = commands.Answer(status="changed")
        if entry.kind == "command":
            name, raw = self.context.codec.envelope_decoder.decode(entry.data)
            command = self.context.codec.decoders[name].decode(raw)
            result = self.state.apply(command, entry.index)
            metrics.commands_total.labels(name).inc()
            log_applied(name, command, result, entry.index)
        self.applied_index = entry.index
        term, future = self.pending_futures.pop(entry.index, (0, None))
        if future is None:
            return
        if term == entry.term:
            future.set_result(result)
        else:
            future.set_exception(leadership_lost_error())

    # Leadership

    def update_leadership(self) -> None:
        """Record a change of leadership; fail the pending commands if this member stepped down."""
        leads = self.raft.is_leader()
        if leads == self.was_leader:
            return
        self.was_leader = leads
        metrics.is_leader.set(1 if leads else 0)
        logs.event("leading" if leads else "following", term=self.raft.hard_state.term)
        self.report_receiver.clear()
        self.duties.delay_placement(self.context.clock())
        if leads:
            return
        for index, (_, future) in list(self.pending_futures.items()):
            self.pending_futures.pop(index)
            future.set_exception(leadership_lost_error())

    def run_leader_tasks(self, now: float) -> None:
        """Run the leader's periodic tasks, if they are due and this member holds the lease."""
        if now < self.next_placement_at:
            return
        self.next_placement_at = now + self.config.place_every_s
        if not self.raft.is_leader():
            return
        if not self.raft.holds_lease(now):
            return
        self.duties.update_membership(now)
        self.duties.update_placement(now)
        if now >= self.next_expiry_at:
            self.next_expiry_at = now + EXPIRY_INTERVAL_S
            before = self.context.wall_clock() - self.config.claims_kept_s
            self.propose(commands.Expire(before), futures.Future(), now)

    def connect_members(self) -> None:
        """Create a sender for each new member of the log."""
        for name, address in self.raft.log.membership.addresses.items():
            if name != self.name and name not in self.senders:
                self.senders[name] = bus.Sender(address.log_bus, self.context.codec)

    def log_state(self, now: float) -> None:
        """Log the state of this member once a second, to diagnose failed elections."""
        if now < self.state_logged_at + 1.0:
            return
        self.state_logged_at = now
        logs.debug(
            "log_state",
            role=self.raft.role,
            term=self.raft.hard_state.term,
            last=self.raft.log.last_index(),
            last_term=self.raft.log.last_term(),
            stable=self.raft.log.saved_index,
            votes=sorted(self.raft.votes),
            is_trial=self.raft.is_pre_vote,
            identities=self.raft.log.membership.identities,
            identity=self.raft.identity,
            dropped={name: sender.dropped for name, sender in self.senders.items()},
            reopened={name: sender.reopened for name, sender in self.senders.items()},
        )

    # State for other threads

    def publish(self) -> None:
        """Replace `published`."""
        old = self.published
        directive = old.directive
        if self.state.revision != directive.revision:
            directive = self.state.directive()
            metrics.revision.set(directive.revision)
            metrics.generation.set(directive.generation)
        seen_at = self.raft.heard_leader_at
        if self.raft.is_leader():
            seen_at = self.raft.lease_until() - self.raft.timing.election_min_s
        controls = {
            name: address.bus for name, address in self.raft.log.membership.addresses.items()
        }
        self.published = PublishedState(directive, self.raft.leader, seen_at, controls)

    def stop(self) -> None:
        """Stop the thread, close senders and files, and release the data folder."""
        self.stopping = True
        self.inbox.put(None)
        if self.thread.ident is not None:
            self.thread.join(timeout=10)
        for sender in self.senders.values():
            sender.close()
        self.journal.close()
        self.folder.release()


def leadership_lost_error() -> errors.ControlError:
    """Return the error for a command that was pending when leadership was lost."""
    return errors.ControlError(
        "the leader changed before the command was committed; send it again with the same "
        "request id to learn the outcome",
        kind=errors.ErrorKind.OUTCOME_UNKNOWN,
    )


def log_applied(name: str, command: commands.Command, result: commands.Answer, index: int) -> None:
    """Log an applied command; the frequent commands about claims are omitted."""
    if name in ("claim", "complete", "expire"):
        return
    logs.event(
        f"applied_{name}",
        index=index,
        request_id=getattr(command, "request_id", ""),
        generation=result.generation,
        version=result.version,
        error=result.error,
    )
