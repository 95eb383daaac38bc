"""Detect requests that crash the backend processes that run them, and place holds on them.

A query of death (Beyer et al., Site Reliability Engineering, 2016) must be known at every entry VM,
whichever of them saw the crash. Nodes exchange what they know as `SuspectReport`. Merging reports
is idempotent and does not depend on their order, so reports can be sent again.

Most requests that run in a process when it crashes did not cause the crash. A request is therefore
held only after three crashes; a complete response from any back end clears it; and crashes at
almost the same time count as one incident, since a failed rack or zone stops many processes.

A client account may send many different requests that crash processes. Once several of its requests
are held, a single crash is enough to hold another one.
"""

import collections
import dataclasses
import enum

# The number of incidents after which a request is held.
CRASHES_BEFORE_HOLD = 3
# Crashes within this time count as one incident, unless the later attempt began after the earlier
# crash.
SAME_INCIDENT_S = 0.1
# Nodes report times as ages, which leave out the network latency: an attempt may seem to begin up
# to this long before a crash that it followed.
CLOCK_UNCERTAINTY_S = 0.03
# Two crashes of an instance within this time are reports of the same crash.
DUPLICATE_CRASH_S = 0.5
# The number of held requests of an account from which one crash is enough to hold its others.
ACCOUNT_HELD_THRESHOLD = 4
# The record that changed longest ago is evicted first.
RECORDS_MAX = 4096
# Records that have not changed for this long expire, unless a hold was placed on the request.
RECORD_EXPIRY_S = 600.0
# The duration of the first hold of a request; it doubles with each further hold.
FIRST_HOLD_S = 600.0
HOLD_MAX_S = 24 * 3600.0


class HoldState(enum.IntEnum):
    """The state of a hold; a higher value replaces a lower one."""

    HELD = 0
    # The hold has expired: the request may run, and a single crash places the next hold, like the
    # half-open state of a circuit breaker.
    HALF_OPEN = 1
    # A complete response cleared the request.
    CLEARED = 2


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Hold:
    """The `times`th hold on a request and its state."""

    times: int = 0
    state: HoldState = HoldState.CLEARED

    def is_held(self) -> bool:
        """Return whether the request may not run now."""
        return self.times > 0 and self.state is HoldState.HELD

    def crashes_before_hold(self) -> int:
        """Return the number of incidents after which the next hold is placed."""
        return 1 if self.state is HoldState.HALF_OPEN else CRASHES_BEFORE_HOLD


@dataclasses.dataclass(slots=True)
class ReportedCrash:
    """A crash `age_s` ago, as reported to other nodes, during an attempt sent `began_age_s` ago."""

    instance: str
    age_s: float
    began_age_s: float


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Crash:
    """The crash of an instance's process during an attempt that was sent at `began_at`."""

    at: float
    instance: str
    began_at: float


@dataclasses.dataclass(slots=True)
class SuspectReport:
    """What one node reports to others of one request; `label` describes the request to operators.

    `cleared_age_s` is how long ago it had a complete response, None if it had none.
    """

    fingerprint: str
    label: str
    ends: list[ReportedCrash]
    cleared_age_s: float | None = None
    hold: Hold = Hold()
    account: str = ""


@dataclasses.dataclass(slots=True)
class SuspectRecord:
    """The record of one request; times are on this node's clock.

    `crashes` holds those since `cleared_at`, by time, and `revision` is that of the last
    change. `is_reportable` is set once other nodes need to know: after a second incident or a hold.
    `is_account_limited` is set if the holds of its account make one crash enough.
    """

    fingerprint: str
    label: str
    account: str = ""
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    cleared_at: float = float("-inf")
    hold: Hold = Hold()
    revision: int = 0
    is_reportable: bool = False
    is_account_limited: bool = False
    changed_at: float = 0.0

    def incident_count(self) -> int:
        """Return the number of incidents, each of one or more crashes."""
        count, last = 0, float("-inf")
        for crash in self.crashes:
            if crash.began_at >= last - CLOCK_UNCERTAINTY_S or crash.at - last > SAME_INCIDENT_S:
                count, last = count + 1, crash.at
        return count

    def is_over_limit(self) -> bool:
        """Return whether there were enough incidents to hold the request."""
        return self.is_account_limited or self.incident_count() >= self.hold.crashes_before_hold()

    def is_held(self) -> bool:
        """Return whether the request may not run now, by a hold or by its crashes."""
        return self.hold.is_held() or self.is_over_limit()


class CrashTracker:
    """The suspect requests known to one node.

    `revision` grows with every change; `reported_revision` is that of the last reportable change.
    """

    def __init__(self, records_max: int = RECORDS_MAX) -> None:
        self.records_max = records_max
        self.records: collections.OrderedDict[str, SuspectRecord] = collections.OrderedDict()
        self.revision = 0
        self.reported_revision = 0

    # Queries

    def is_held(self, fingerprint: str) -> bool:
        """Return whether a request may not run now."""
        record = self.records.get(fingerprint)
        return record is not None and record.is_held()

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request has crashes since it was cleared, or is held."""
        record = self.records.get(fingerprint)
        return record is not None and (bool(record.crashes) or record.is_held())

    def held(self) -> list[SuspectRecord]:
        """Return the records of requests that may not run now."""
        return [record for record in self.records.values() if record.is_held()]

    def is_strict(self, account: str) -> bool:
        """Return whether one crash is enough to hold a further request of an account."""
        if not account:
            return False
        return sum(record.account == account for record in self.held()) >= ACCOUNT_HELD_THRESHOLD

    def changes_since(self, revision: int, now: float) -> list[SuspectReport]:
        """Return reports of the reportable records that changed after `revision`."""
        return [
            self.report_of(record, now)
            for record in self.records.values()
            if record.is_reportable and record.revision > revision
        ]

    def report_of(self, record: SuspectRecord, now: float) -> SuspectReport:
        """Return the report of a record for other nodes."""
        ends = [
            ReportedCrash(crash.instance, round(now - crash.at, 3), round(now - crash.began_at, 3))
            for crash in record.crashes
        ]
        is_cleared = record.cleared_at > float("-inf")
        cleared_age_s = round(now - record.cleared_at, 3) if is_cleared else None
        return SuspectReport(
            record.fingerprint, record.label, ends, cleared_age_s, record.hold, record.account
        )

    def is_next_crash_decisive(self, fingerprint: str, account: str) -> bool:
        """Return whether one more crash may be enough to hold a request of an account."""
        return self.is_suspect(fingerprint) or self.is_strict(account)

    # Changes

    def record_crash(self, fingerprint: str, label: str, crash: Crash, account: str = "") -> bool:
        """Record a crash during a request; return whether it was not known before."""
        record = self.records.get(fingerprint)
        if record is None:
            record = self.add(fingerprint, label, account)
        if crash.at <= record.cleared_at or is_duplicate(record, crash):
            return False
        record.crashes.append(crash)
        record.crashes.sort()
        record.is_account_limited |= self.is_strict(record.account)
        self.mark_changed(record, crash.at)
        return True

    def clear(self, fingerprint: str, at: float) -> bool:
        """Record a complete response to a request; return whether its record changed."""
        record = self.records.get(fingerprint)
        if record is None or at <= record.cleared_at:
            return False
        record.cleared_at = at
        record.is_account_limited = False
        record.crashes = [crash for crash in record.crashes if crash.at > at]
        self.mark_changed(record, at)
        return True

    def set_hold(
        self, fingerprint: str, label: str, hold: Hold, now: float, account: str = ""
    ) -> bool:
        """Apply a hold that the control VMs have committed; return whether it is newer."""
        record = self.records.get(fingerprint) or self.add(fingerprint, label, account)
        if hold <= record.hold:
            return False
        record.hold = hold
        if hold.state is not HoldState.HELD:
            record.crashes = [crash for crash in record.crashes if crash.at > now]
            record.cleared_at = max(record.cleared_at, now)
            record.is_account_limited = False
        record.label = record.label or label
        self.mark_changed(record, now)
        return True

    def merge(self, report: SuspectReport, now: float) -> bool:
        """Merge another node's report; return whether any of it is new."""
        record = self.records.get(report.fingerprint)
        if record is None and not report.ends and report.hold.times == 0:
            return False
        is_new = report.hold.times > 0 and self.set_hold(
            report.fingerprint, report.label, report.hold, now
        )
        if report.cleared_age_s is not None:
            is_new |= self.clear(report.fingerprint, now - report.cleared_age_s)
        for reported in report.ends:
            crash = Crash(now - reported.age_s, reported.instance, now - reported.began_age_s)
            is_new |= self.record_crash(report.fingerprint, report.label, crash, report.account)
        return is_new

    def add(self, fingerprint: str, label: str, account: str) -> SuspectRecord:
        """Add a record, and evict one if there are too many."""
        record = SuspectRecord(fingerprint, label, account)
        self.records[fingerprint] = record
        if len(self.records) > self.records_max:
            self.evict()
        return record

    def evict(self) -> None:
        """Remove the record that changed longest ago, if possible one that is not held."""
        for fingerprint, record in self.records.items():
            if not record.is_held() and record.crashes:
                del self.records[fingerprint]
                return
        self.records.popitem(last=False)

    def mark_changed(self, record: SuspectRecord, now: float) -> None:
        """Give a record the next revision and move it to the end."""
        self.revision += 1
        record.revision = self.revision
        record.changed_at = now
        record.is_reportable |= (
            record.incident_count() > 1 or record.hold.times > 0 or record.is_account_limited
        )
        if record.is_reportable:
            self.reported_revision = self.revision
        self.records.move_to_end(record.fingerprint)

    def expire(self, now: float) -> None:
        """Remove records that have not changed for `RECORD_EXPIRY_S` and never had a hold."""
        for fingerprint, record in list(self.records.items()):
            if now - record.changed_at > RECORD_EXPIRY_S and record.hold.times == 0:
                del self.records[fingerprint]


def is_duplicate(record: SuspectRecord, crash: Crash) -> bool:
    """Return whether a record already holds this crash."""
    return any(
        other.instance == crash.instance and abs(crash.at - other.at) < DUPLICATE_CRASH_S
        for other in record.crashes
    )


def hold_duration_s(hold: Hold) -> float:
    """Return the duration of a hold in seconds."""
    return min(HOLD_MAX_S, FIRST_HOLD_S * 2 ** (hold.times - 1))
