"""What the control VMs know of requests that end back ends' processes, and their decisions on them.

What entries saw is soft: any control VM takes a report and passes it on. That a request is held
back must survive the loss of power of all VMs, or it would end three more processes each time; it
goes into the replicated log.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import crash_ledger, fleet_state, levels
from merlinthread.nodes import log_member, node_settings
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

PASS_ON_TIMEOUT_S = 0.9
# How often decisions are looked at again: one that found no majority, one whose time is over.
TEND_EVERY_S = 0.5
# A whole answer may come in while the decision to hold its request back is being committed.
COMMIT_S_MAX = 2.0

Submit = Callable[[fleet_state.Command], Awaitable[bool]]


class CrashRegistry:
    """One control VM's part; `submit` commits a command, `tell` wakes those who wait for news."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        clock: Callable[[], float],
        caller: node_bus.RpcClient,
        member: log_member.LogMember,
        submit: Submit,
        tell: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.caller = caller
        self.member = member
        self.submit = submit
        self.tell = tell
        self.ledger = crash_ledger.CrashLedger()
        self.held_since: dict[str, float] = {}
        self.has_changed = asyncio.Event()
        self.passing: set[asyncio.Task[None]] = set()
        # Requests of which a control VM could not be told, by its address.
        self.undelivered: dict[str, dict[str, None]] = {}

    # What is told

    def take(self, report: node_messages.CrashReport) -> None:
        """Take over what an entry saw, and pass it on to the other control VMs."""
        now = self.clock()
        known = self.ledger.revision
        for suspicion in report.suspicions:
            self.ledger.merge(suspicion, now)
        if self.ledger.revision == known:
            return
        self.has_changed.set()
        self.tell()
        if not report.is_passed_on:
            self.pass_on(report.suspicions)

    def pass_on(self, suspicions: list[crash_ledger.SuspectReport]) -> None:
        """Tell the other control VMs."""
        for address in self.others():
            self.start_sending(address, suspicions)

    def others(self) -> list[str]:
        """Return the addresses of the other control VMs."""
        members = self.member.member_addresses()
        return [address for address in members if address != self.member.address]

    def start_sending(self, address: str, suspicions: list[crash_ledger.SuspectReport]) -> None:
        """Tell one control VM, beside other work."""
        message = node_messages.CrashReport(self.settings.name, suspicions, True)
        task = asyncio.get_running_loop().create_task(self.send(address, message))
        self.passing.add(task)
        task.add_done_callback(self.passing.discard)

    async def send(self, address: str, message: node_messages.CrashReport) -> None:
        """Tell one control VM, or note that it was not told."""
        try:
            reply = await self.caller.call(address, message, PASS_ON_TIMEOUT_S)
            if not reply.level:
                # An older build that tells no level, and reads reports: it reads their entries too.
                self.member.levels.record_inferred(address, levels.FormatLevel.HELD_REQUESTS)
        except errors.MerlinthreadError as error:
            logs.debug("crash_report_lost", control=address, reason=error.message)
            undelivered = self.undelivered.setdefault(address, {})
            undelivered.update(dict.fromkeys(told.fingerprint for told in message.suspicions))

    def send_missed(self) -> None:
        """Tell control VMs what they missed: else three may know one end each, and none three."""
        undelivered, self.undelivered = self.undelivered, {}
        now = self.clock()
        for address in self.others():
            records = [self.ledger.records.get(name) for name in undelivered.get(address, {})]
            found = [self.ledger.report_of(record, now) for record in records if record is not None]
            if found:
                self.start_sending(address, found)

    # The log's side

    def on_applied(self) -> None:
        """Take over what the log says of requests that are held back."""
        now = self.clock()
        held = self.member.state.held
        for fingerprint, request in held.items():
            if not self.ledger.set_hold(
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

    async def tend(self) -> None:
        """Decide again and again which requests are held back."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TEND_EVERY_S):
                    await self.has_changed.wait()
            self.has_changed.clear()
            self.send_missed()
            self.ask_levels()
            self.ledger.expire(self.clock())
            # The leader decides; another one only what the leader seems not to know of.
            patience_s = 0.0 if self.member.raft.is_leader() else TEND_EVERY_S
            now = self.clock()
            for command in due_commands(self.ledger, self.held_since, now, patience_s):
                await self.commit(command)

    async def commit(self, command: fleet_state.Command) -> None:
        """Commit a decision; without a majority it is tried again later.

        While control VMs run a build that can't read it, the decision is not written: it holds here
        and at all entries, as what entries saw does, and is lost only if all VMs lose power.
        """
        try:
            await self.submit(command)
        except (errors.MerlinthreadError, TimeoutError) as error:
            logs.debug("decision_not_committed", reason=str(error))

    def ask_levels(self) -> None:
        """Find out by an empty report whether members that tell no level read such entries."""
        for address in self.member.levels.without_level(self.others()):
            self.start_sending(address, [])


def due_commands(
    ledger: crash_ledger.CrashLedger, held_since: dict[str, float], now: float, patience_s: float
) -> list[fleet_state.PlaceHold | fleet_state.ReleaseHold]:
    """Return what the log should say of requests, and does not say `patience_s` later."""
    found: list[fleet_state.PlaceHold | fleet_state.ReleaseHold] = []
    for record in ledger.held():
        if now - record.changed_at < patience_s:
            continue
        hold = record.hold
        since = held_since.get(record.fingerprint, now)
        if not hold.is_held():
            ended = [end.instance for end in record.crashes]
            found.append(
                fleet_state.PlaceHold(
                    record.fingerprint, record.label, ended, hold.times + 1, record.account
                )
            )
        elif not record.crashes and record.cleared_at >= since - COMMIT_S_MAX:
            state = crash_ledger.HoldState.CLEARED
            found.append(fleet_state.ReleaseHold(record.fingerprint, hold.times, state))
        elif now - since > crash_ledger.hold_duration_s(hold) + patience_s:
            state = crash_ledger.HoldState.HALF_OPEN
            found.append(fleet_state.ReleaseHold(record.fingerprint, hold.times, state))
    return found
