"""What was running at a back end when its process ended, as one entry sees it.

A connection that breaks is not yet a process that ended: connections are reset, answers cut short,
links go silent. Two things prove an end: nothing listens at the address any more, or another
instance does soon after. What an entry sees it tells a control VM, and hears from there what the
others saw.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import backend_record, crash_tracker
from merlinthread.nodes import news_watcher
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus, stream_client

# A dead port answers within the way there and back (1 to 6 ms between regions); a VM that is dark
# or cut off does not answer, and then proves nothing.
PROOF_CONNECT_S = 0.3
USER_TIMEOUT_S = 1.0
# Attempts that broke this long ago, or less, were there when the process ended.
BREAK_KEPT_S = 1.0
# A process that ended with its VM shows only by the next instance at its address, seconds later.
LATE_PROOF_S = 15.0
# Breaks that wait for a late proof: those of about 64 back ends with all their slots taken.
UNPROVEN_KEPT = 1024
REPLACED = "another instance is at its address"
REPORT_TIMEOUT_S = 0.9
REPORT_AGAIN_S = 0.1


@dataclasses.dataclass(slots=True)
class Break:
    """An attempt that began at `began_at` and broke off at `at`; `label` tells what it asks."""

    fingerprint: str
    label: str
    account: str
    request_id: str
    backend: backend_record.Backend
    began_at: float
    at: float

    def end(self) -> crash_tracker.Crash:
        """Return the end of the back end's process, once it is proven."""
        return crash_tracker.Crash(self.at, self.backend.instance, self.began_at)


class CrashWatch:
    """Finds out which back ends ended under which requests; `run` tells the control VMs."""

    def __init__(
        self,
        name: str,
        watcher: news_watcher.NewsWatcher,
        ledger: crash_tracker.CrashTracker,
        caller: node_bus.RpcClient,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.watcher = watcher
        self.ledger = ledger
        self.caller = caller
        self.clock = clock
        self.breaks: dict[str, list[Break]] = {}
        self.unproven: list[Break] = []
        self.proofs: dict[str, asyncio.Task[None]] = {}
        self.unreported: dict[str, None] = {}
        self.has_unreported = asyncio.Event()
        self.reported_feed = ""
        self.counted_revision = 0

    # What is seen

    def note_break(self, found: Break, is_silent: bool) -> None:
        """Note an attempt that got no whole answer, and find out whether its back end has ended.

        Where the back end was leaving, its end was planned. One that fell silent is not asked: that
        would cost a connection for each answer that is late.
        """
        backend = found.backend
        if backend.is_draining:
            return
        if self.is_replaced(backend):
            self.note_ends([found], REPLACED)
            return
        if backend.instance in self.watcher.gone:
            return
        if is_silent:
            self.wait_for_proof([found])
            return
        known = self.breaks.setdefault(backend.instance, [])
        known[:] = [other for other in known if found.at - other.at <= BREAK_KEPT_S]
        known.append(found)
        if backend.instance not in self.proofs:
            task = asyncio.get_running_loop().create_task(self.prove(backend))
            self.proofs[backend.instance] = task

    async def prove(self, backend: backend_record.Backend) -> None:
        """Connect once more: a refusal proves that the process has ended."""
        try:
            connection = await stream_client.connect(
                backend.address, PROOF_CONNECT_S, USER_TIMEOUT_S
            )
            connection.close()
            self.judge(backend, False, "it takes connections")
        except errors.NotListeningError as error:
            self.judge(backend, True, error.message)
        except errors.UnreachableError as error:
            self.judge(backend, False, error.message)
        finally:
            del self.proofs[backend.instance]

    async def settled(self, backend: backend_record.Backend) -> None:
        """Return once no connection is under way that shows whether a back end has ended."""
        task = self.proofs.get(backend.instance)
        if task is not None:
            await asyncio.wait([task])

    def judge(self, backend: backend_record.Backend, has_ended: bool, proof: str) -> None:
        """Take in what a new connection to a back end showed."""
        found = self.breaks.pop(backend.instance, [])
        if has_ended:
            self.note_ends(found, proof)
        else:
            self.wait_for_proof(found)
            log_breaks(found, False, proof)

    def wait_for_proof(self, found: list[Break]) -> None:
        """Keep breaks until another instance shows at their address, or for so long."""
        now = self.clock()
        kept = [known for known in self.unproven if now - known.at <= LATE_PROOF_S]
        self.unproven = [*kept, *found][-UNPROVEN_KEPT:]

    def on_news(self) -> None:
        """Look for late proofs, and tell all again to a control VM that has just started."""
        if self.unproven:
            self.prove_late()
        feed = self.watcher.feed()
        if feed and feed != self.reported_feed:
            self.reported_feed = feed
            for record in self.ledger.records.values():
                self.unreported[record.fingerprint] = None
            self.has_unreported.set()
        # Counting takes some ms where thousands of requests are known, and news come often.
        if self.ledger.revision != self.counted_revision:
            self.counted_revision = self.ledger.revision
            metrics.held_requests.set(len(self.ledger.held()))

    def is_replaced(self, backend: backend_record.Backend) -> bool:
        """Return whether another instance is at a back end's address now."""
        return self.present_at().get(backend.address, backend.instance) != backend.instance

    def present_at(self) -> dict[str, str]:
        """Return the instance at each address."""
        return {known.address: known.instance for known in self.watcher.instances.values()}

    def prove_late(self) -> None:
        """Note the ends of back ends at whose address another instance is now."""
        present = self.present_at()
        ended, kept = [], []
        for found in self.unproven:
            backend = found.backend
            is_there = present.get(backend.address, backend.instance) == backend.instance
            (kept if is_there else ended).append(found)
        self.unproven = kept
        if ended:
            self.note_ends(ended, REPLACED)

    def note_ends(self, found: list[Break], proof: str) -> None:
        """Note that the processes under some attempts have ended."""
        log_breaks(found, True, proof)
        for known in found:
            if self.ledger.record_crash(known.fingerprint, known.label, known.end(), known.account):
                self.report(known.fingerprint)

    def note_whole_answer(self, fingerprint: str) -> None:
        """Note that a back end lived through a request: no other end was its doing."""
        if self.ledger.is_suspect(fingerprint) and self.ledger.clear(fingerprint, self.clock()):
            logs.event("request_cleared", fingerprint=fingerprint)
            self.report(fingerprint)

    # What is told

    def report(self, fingerprint: str) -> None:
        """Tell a control VM of a request, as soon as it can be reached."""
        self.unreported[fingerprint] = None
        self.has_unreported.set()

    async def run(self) -> None:
        """Tell the control VMs what this entry sees, for ever."""
        while True:
            await self.has_unreported.wait()
            self.has_unreported.clear()
            if not await self.send_reports():
                await asyncio.sleep(REPORT_AGAIN_S)
                self.has_unreported.set()

    async def send_reports(self) -> bool:
        """Send what was not told yet to one control VM; return whether it was taken."""
        control = self.watcher.current
        if not control:
            return not self.unreported
        # What is seen while this is on its way belongs to the next report.
        told, self.unreported = self.unreported, {}
        now = self.clock()
        records = [self.ledger.records.get(fingerprint) for fingerprint in told]
        suspicions = [self.ledger.report_of(record, now) for record in records if record]
        if not suspicions:
            return True
        report = node_messages.CrashReport(self.name, suspicions)
        try:
            await self.caller.call(control, report, REPORT_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            logs.debug("crash_report_lost", control=control, reason=error.message)
            self.unreported = told | self.unreported
            return False
        return True


def log_breaks(found: list[Break], has_ended: bool, proof: str) -> None:
    """Log what ran where connections broke, and whether the process has ended."""
    metrics.breaks_total.labels("ended" if has_ended else "unproven").inc(len(found))
    for instance in dict.fromkeys(known.backend.instance for known in found):
        there = [known for known in found if known.backend.instance == instance]
        logs.event(
            "connections_broke",
            instance=instance,
            service=there[0].backend.service,
            address=there[0].backend.address,
            has_ended=has_ended,
            proof=proof,
            requests=[[known.request_id, known.fingerprint] for known in there],
        )
