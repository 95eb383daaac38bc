"""Detection of backend crashes and of the requests that were running at the time.

A broken connection alone does not show that a process has crashed: connections may be reset,
responses truncated and packets lost. A crash is confirmed if nothing listens at the back end's
address any more, or if another instance soon appears there. An entry reports its observations to
the control VMs, which relay those of other entries to it.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import backend_record, crash_tracker
from merlinthread.nodes import fleet_watcher, request_context
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus, stream_client

# A closed port refuses a connection within one round trip; a timeout confirms nothing.
CHECK_TIMEOUT_S = 0.3
USER_TIMEOUT_S = 1.0
# Attempts that broke within this time are attributed to the same crash.
BREAK_WINDOW_S = 1.0
# If a whole VM fails, only a new instance at its address confirms the crash, seconds later.
UNCONFIRMED_EXPIRY_S = 15.0
# Data that was sent before the end of a process arrives within this time.
TRANSIT_MAX_S = 0.5
# Bounds the memory for attempts without a confirmed crash.
UNCONFIRMED_ATTEMPTS_MAX = 1024
REPLACED_REASON = "another instance is at its address"
REPORT_TIMEOUT_S = 0.9
REPORT_RETRY_DELAY_S = 0.1


@dataclasses.dataclass(slots=True)
class BrokenAttempt:
    """An attempt without a complete response; `label` describes its request."""

    fingerprint: str
    label: str
    account: str
    request_id: str
    backend: backend_record.Backend
    began_at: float
    broke_at: float
    parts: tuple[request_context.PromptPart, ...] = ()

    def crash(self) -> crash_tracker.Crash:
        """Return the crash to record once it is confirmed."""
        return crash_tracker.Crash(self.broke_at, self.backend.instance, self.began_at)


class CrashDetector:
    """Records crashes of back ends during requests; `run` reports them to the control VMs."""

    def __init__(
        self,
        name: str,
        watcher: fleet_watcher.FleetWatcher,
        tracker: crash_tracker.CrashTracker,
        rpc_client: node_bus.RpcClient,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.watcher = watcher
        self.tracker = tracker
        self.rpc_client = rpc_client
        self.clock = clock
        self.broken_attempts: dict[str, list[BrokenAttempt]] = {}
        self.unconfirmed: list[BrokenAttempt] = []
        self.checks: dict[str, asyncio.Task[None]] = {}
        self.pending_reports: dict[str, None] = {}
        self.has_pending_reports = asyncio.Event()
        self.last_feed = ""
        self.metrics_revision = 0

    # Detection

    def record_break(self, attempt: BrokenAttempt, is_timeout: bool) -> None:
        """Record an attempt without a complete response, and check whether its back end crashed.

        Back ends that were leaving are ignored, since they were expected to stop. After a timeout
        (`is_timeout`) there is no check, to avoid a connection for each late response.
        """
        backend = attempt.backend
        if backend.is_draining:
            return
        if self.is_replaced(backend):
            self.record_crashes([attempt], REPLACED_REASON)
            return
        if backend.instance in self.watcher.instance_table.gone:
            return
        if is_timeout:
            self.keep_unconfirmed([attempt])
            return
        recent = self.broken_attempts.setdefault(backend.instance, [])
        recent[:] = [
            other for other in recent if attempt.broke_at - other.broke_at <= BREAK_WINDOW_S
        ]
        recent.append(attempt)
        if backend.instance not in self.checks:
            task = asyncio.get_running_loop().create_task(self.check_process(backend))
            self.checks[backend.instance] = task

    async def check_process(self, backend: backend_record.Backend) -> None:
        """Open a connection; a refusal confirms that the process has stopped."""
        try:
            connection = await stream_client.connect(
                backend.address, CHECK_TIMEOUT_S, USER_TIMEOUT_S
            )
            connection.close()
            self.apply_check(backend, False, "it accepts connections")
        except errors.NotListeningError as error:
            self.apply_check(backend, True, error.message)
        except errors.UnreachableError as error:
            self.apply_check(backend, False, error.message)
        finally:
            del self.checks[backend.instance]

    async def wait_for_check(self, backend: backend_record.Backend) -> None:
        """Wait for the check of a back end that is in progress, if any."""
        task = self.checks.get(backend.instance)
        if task is not None:
            await asyncio.wait([task])

    def apply_check(self, backend: backend_record.Backend, has_crashed: bool, reason: str) -> None:
        """Record the result of a check for the broken attempts of a back end."""
        attempts = self.broken_attempts.pop(backend.instance, [])
        if has_crashed:
            self.record_crashes(attempts, reason)
        else:
            self.keep_unconfirmed(attempts)
            log_broken_attempts(attempts, False, reason)

    def keep_unconfirmed(self, attempts: list[BrokenAttempt]) -> None:
        """Keep attempts until another instance replaces their back end, or until they expire."""
        now = self.clock()
        remaining = [
            attempt
            for attempt in self.unconfirmed
            if now - attempt.broke_at <= UNCONFIRMED_EXPIRY_S
        ]
        self.unconfirmed = [*remaining, *attempts][-UNCONFIRMED_ATTEMPTS_MAX:]

    def record_response(self, backend: backend_record.Backend, sent_at: float) -> None:
        """Record a complete response of a back end to a request that was sent at `sent_at`.

        Its process did not end at earlier attempts, which were thus broken by something else.
        """
        alive_at = max(sent_at, self.clock() - TRANSIT_MAX_S)
        self.unconfirmed = [
            attempt
            for attempt in self.unconfirmed
            if attempt.backend.instance != backend.instance or attempt.broke_at > alive_at
        ]

    def apply_fleet_update(self) -> None:
        """Confirm crashes of replaced back ends; report all records again after a change of feed.

        A control VM that has restarted has a new feed and may have lost the records.
        """
        if self.unconfirmed:
            self.confirm_replaced()
        feed = self.watcher.feed()
        if feed and feed != self.last_feed:
            self.last_feed = feed
            for record in self.tracker.records.values():
                self.pending_reports[record.fingerprint] = None
            self.has_pending_reports.set()
        for fingerprint in self.tracker.take_unreported_proofs():
            self.queue_report(fingerprint)
        # Counting is slow with many records, and updates are frequent.
        if self.tracker.revision != self.metrics_revision:
            self.metrics_revision = self.tracker.revision
            metrics.held_requests.set(len(self.tracker.held()))

    def is_replaced(self, backend: backend_record.Backend) -> bool:
        """Return whether another instance is present at a back end's address."""
        return (
            self.instances_by_address().get(backend.address, backend.instance) != backend.instance
        )

    def instances_by_address(self) -> dict[str, str]:
        """Return the instance present at each address."""
        return {
            heartbeat.address: heartbeat.instance
            for heartbeat in self.watcher.instance_table.instances.values()
        }

    def confirm_replaced(self) -> None:
        """Record crashes of back ends that another instance has replaced at their address.

        One that announced its end before it was replaced did not crash.
        """
        by_address = self.instances_by_address()
        replaced, remaining = [], []
        for attempt in self.unconfirmed:
            backend = attempt.backend
            if backend.is_draining:
                continue
            if by_address.get(backend.address, backend.instance) != backend.instance:
                replaced.append(attempt)
            elif backend.instance not in self.watcher.instance_table.gone:
                remaining.append(attempt)
        self.unconfirmed = remaining
        if replaced:
            self.record_crashes(replaced, REPLACED_REASON)

    def record_crashes(self, attempts: list[BrokenAttempt], reason: str) -> None:
        """Record confirmed crashes during some attempts, and queue reports of new ones."""
        log_broken_attempts(attempts, True, reason)
        for attempt in attempts:
            crash = attempt.crash()
            if self.tracker.record_crash(
                attempt.fingerprint, attempt.label, crash, attempt.account
            ):
                self.queue_report(attempt.fingerprint)
            for part in attempt.parts:
                if self.tracker.record_crash(part.fingerprint, part.label, crash):
                    self.queue_report(part.fingerprint)

    def record_success(self, context: request_context.RequestContext) -> None:
        """Record a complete response, which clears the request and the parts of its prompt."""
        now = self.clock()
        for part in context.parts():
            self.tracker.record_proof(part.fingerprint, now)
        if not self.tracker.records:
            return
        for fingerprint in context.suspects():
            if self.tracker.is_suspect(fingerprint) and self.tracker.clear(fingerprint, now):
                logs.event("request_cleared", fingerprint=fingerprint)
                self.queue_report(fingerprint)

    # Reports

    def queue_report(self, fingerprint: str) -> None:
        """Queue a report of a request for the next control VM that can be reached."""
        self.pending_reports[fingerprint] = None
        self.has_pending_reports.set()

    async def run(self) -> None:
        """Send queued reports to the control VMs until cancelled."""
        while True:
            await self.has_pending_reports.wait()
            self.has_pending_reports.clear()
            if not await self.send_reports():
                await asyncio.sleep(REPORT_RETRY_DELAY_S)
                self.has_pending_reports.set()

    async def send_reports(self) -> bool:
        """Send the queued reports to one control VM; return False if they must be sent again."""
        control = self.watcher.current_control_vm
        if not control:
            return not self.pending_reports
        # Reports queued during the call belong to the next one.
        sent, self.pending_reports = self.pending_reports, {}
        now = self.clock()
        records = [self.tracker.records.get(fingerprint) for fingerprint in sent]
        reports = [self.tracker.report_of(record, now) for record in records if record]
        if not reports:
            return True
        report = node_messages.CrashReport(self.name, reports)
        try:
            await self.rpc_client.call(control, report, REPORT_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            logs.debug("crash_report_lost", control=control, reason=error.message)
            self.pending_reports = sent | self.pending_reports
            return False
        return True


def log_broken_attempts(attempts: list[BrokenAttempt], has_crashed: bool, reason: str) -> None:
    """Log the broken attempts of each instance, and whether its process has crashed."""
    metrics.breaks_total.labels("ended" if has_crashed else "unproven").inc(len(attempts))
    for instance in dict.fromkeys(attempt.backend.instance for attempt in attempts):
        at_instance = [attempt for attempt in attempts if attempt.backend.instance == instance]
        logs.event(
            "connections_broke",
            instance=instance,
            service=at_instance[0].backend.service,
            address=at_instance[0].backend.address,
            has_ended=has_crashed,
            proof=reason,
            requests=[[attempt.request_id, attempt.fingerprint] for attempt in at_instance],
            parts=count_parts(at_instance),
        )


def count_parts(attempts: list[BrokenAttempt]) -> dict[str, int]:
    """Return in how many attempts each part of prompts was, by fingerprint, most frequent first."""
    counts = collections.Counter(part.fingerprint for each in attempts for part in each.parts)
    return dict(counts.most_common())
