"""A control VM's registry of requests and parts of prompts that crash back ends.

It places and releases the holds on them.

Crash reports of entries are not persisted: any control VM accepts one and forwards it to the
others. Holds are committed to the replicated log, so that they survive a power loss of all VMs;
otherwise a request could crash several more processes after each such loss.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import crash_tracker, fleet_state, levels
from merlinthread.nodes import log_member, node_settings
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

FORWARD_TIMEOUT_S = 0.9
# How often holds are checked for expiry and uncommitted decisions are proposed again.
DECISION_INTERVAL_S = 0.5
# A complete response up to this long before a hold was applied still releases it, since committing
# the hold may take this long.
COMMIT_MAX_S = 2.0

Submit = Callable[[fleet_state.Command], Awaitable[bool]]


class CrashRegistry:
    """The crash records of one control VM.

    `submit` commits a command to the replicated log; `notify` wakes the pending watch requests.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        clock: Callable[[], float],
        rpc_client: node_bus.RpcClient,
        member: log_member.LogMember,
        submit: Submit,
        notify: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rpc_client = rpc_client
        self.member = member
        self.submit = submit
        self.notify = notify
        self.tracker = crash_tracker.CrashTracker()
        self.held_since: dict[str, float] = {}
        self.changed_event = asyncio.Event()
        self.send_tasks: set[asyncio.Task[None]] = set()
        # The fingerprints that could not be reported to a control VM, by its address.
        self.undelivered: dict[str, dict[str, None]] = {}

    # Reports

    def merge_report(self, report: node_messages.CrashReport) -> None:
        """Merge a crash report, and forward it to the other control VMs unless it was forwarded."""
        now = self.clock()
        revision_before = self.tracker.revision
        for suspicion in report.suspicions:
            self.tracker.merge(suspicion, now)
        if self.tracker.revision == revision_before:
            return
        self.changed_event.set()
        self.notify()
        if not report.is_passed_on:
            self.forward(report.suspicions)

    def forward(self, suspicions: list[crash_tracker.SuspectReport]) -> None:
        """Send reports to all other control VMs in the background."""
        for address in self.other_addresses():
            self.schedule_send(address, suspicions)

    def other_addresses(self) -> list[str]:
        """Return the addresses of the other control VMs."""
        members = self.member.member_addresses()
        return [address for address in members if address != self.member.address]

    def schedule_send(self, address: str, suspicions: list[crash_tracker.SuspectReport]) -> None:
        """Send reports to one control VM in a background task."""
        message = node_messages.CrashReport(self.settings.name, suspicions, True)
        task = asyncio.get_running_loop().create_task(self.send(address, message))
        self.send_tasks.add(task)
        task.add_done_callback(self.send_tasks.discard)

    async def send(self, address: str, message: node_messages.CrashReport) -> None:
        """Send a report to one control VM; on failure, record its requests as undelivered."""
        try:
            reply = await self.rpc_client.call(address, message, FORWARD_TIMEOUT_S)
            if not reply.level:
                # An older build that reports no level but accepts crash reports reads holds too.
                self.member.levels.record_inferred(address, levels.FormatLevel.HELD_REQUESTS)
        except errors.MerlinthreadError as error:
            logs.debug("crash_report_lost", control=address, reason=error.message)
            undelivered = self.undelivered.setdefault(address, {})
            undelivered.update(dict.fromkeys(report.fingerprint for report in message.suspicions))

    def send_undelivered(self) -> None:
        """Send undelivered reports again.

        Otherwise each of three control VMs might know of one crash, and none of all three.
        """
        undelivered, self.undelivered = self.undelivered, {}
        now = self.clock()
        for address in self.other_addresses():
            records = [self.tracker.records.get(name) for name in undelivered.get(address, {})]
            reports = [
                self.tracker.report_of(record, now) for record in records if record is not None
            ]
            if reports:
                self.schedule_send(address, reports)

    # Replicated log

    def apply_holds(self) -> None:
        """Update the crash records and the metric from the holds in the replicated state."""
        now = self.clock()
        held = self.member.state.held
        for fingerprint, request in held.items():
            if not self.tracker.set_hold(
                fingerprint, request.label, request.hold, now, request.account
            ):
                continue
            self.held_since[fingerprint] = now
            logs.event(
                "request_held_back" if request.hold.is_held() else "request_let_go",
                fingerprint=fingerprint,
                request=request.label,
                instances=request.instances,
                times=request.hold.times,
                state=request.hold.state.name.lower(),
            )
        self.held_since = {name: at for name, at in self.held_since.items() if name in held}
        metrics.held_requests.set(sum(request.hold.is_held() for request in held.values()))

    # Decisions

    async def run(self) -> None:
        """Propose due holds and releases periodically, and whenever a report changed a record."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DECISION_INTERVAL_S):
                    await self.changed_event.wait()
            self.changed_event.clear()
            self.send_undelivered()
            self.probe_levels()
            self.tracker.expire(self.clock())
            # Followers propose only what the leader did not, in case it lacks the reports.
            patience_s = 0.0 if self.member.raft.is_leader() else DECISION_INTERVAL_S
            now = self.clock()
            for command in commands_to_propose(self.tracker, self.held_since, now, patience_s):
                await self.commit(command)

    async def commit(self, command: fleet_state.Command) -> None:
        """Commit a command; on failure it is proposed again later.

        While a control VM runs a build that can't read the entry, it is not written. The request is
        then held by its crash records alone, which are lost only if all VMs lose power.
        """
        try:
            await self.submit(command)
        except (errors.MerlinthreadError, TimeoutError) as error:
            logs.debug("decision_not_committed", reason=str(error))

    def probe_levels(self) -> None:
        """Send empty reports to members without a known level, to learn whether they read holds."""
        for address in self.member.levels.without_level(self.other_addresses()):
            self.schedule_send(address, [])


def commands_to_propose(
    tracker: crash_tracker.CrashTracker, held_since: dict[str, float], now: float, patience_s: float
) -> list[fleet_state.PlaceHold | fleet_state.ReleaseHold]:
    """Return the commands for holds and releases that are not in the log yet.

    A hold is released after a complete response, when all crashes of its request are attributed to
    held parts of prompts, or when it expires. Commands that became due less than `patience_s` ago
    are omitted. `held_since` has the time at which the hold of each request last changed in the
    log, by fingerprint.
    """
    commands: list[fleet_state.PlaceHold | fleet_state.ReleaseHold] = []
    for record in tracker.held():
        if now - record.changed_at < patience_s:
            continue
        hold = record.hold
        since = held_since.get(record.fingerprint, now)
        if not hold.is_held():
            crashed = [crash.instance for crash in record.crashes]
            commands.append(
                fleet_state.PlaceHold(
                    record.fingerprint, record.label, crashed, hold.times + 1, record.account
                )
            )
        elif not record.crashes and record.cleared_at >= since - COMMIT_MAX_S:
            state = crash_tracker.HoldState.CLEARED
            commands.append(fleet_state.ReleaseHold(record.fingerprint, hold.times, state))
        elif tracker.is_explained(record):
            state = crash_tracker.HoldState.CLEARED
            commands.append(fleet_state.ReleaseHold(record.fingerprint, hold.times, state))
        elif now - since > crash_tracker.hold_duration_s(hold) + patience_s:
            state = crash_tracker.HoldState.HALF_OPEN
            commands.append(fleet_state.ReleaseHold(record.fingerprint, hold.times, state))
    return commands
