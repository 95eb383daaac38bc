"""Detect requests and parts of prompts that crash backend processes, and place holds on them.

A query of death (Beyer et al., Site Reliability Engineering, 2016) must be known at every entry VM,
whichever of them saw the crash. Nodes exchange what they know as `SuspectReport`. Merging reports
is idempotent and does not depend on their order, so reports can be sent again.

Most requests that run in a process when it crashes did not cause the crash. A request is therefore
held only after three crashes; a complete response from any back end clears it; and crashes at
almost the same time count as one incident, since a failed rack or zone stops many processes.

A client account may send many different requests that crash processes. Once several of its requests
are held, a single crash is enough to hold another one.

Requests that have nothing else in common may share a part of their prompts that crashes processes.
Each shared part therefore has a record of its own, kept like that of a request without an account.
Sound requests share parts too: a part that had a complete response is held only after more crashes
since its last one. Once a part is held, the crashes in its record are attributed to it and do not
count for other requests, parts or accounts, which may only have been running at the time.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable

from merlinthread.coordination import fingerprints

# The number of incidents after which a request is held.
CRASHES_BEFORE_HOLD = 3
# The same for a part of prompts that had a complete response.
CRASHES_BEFORE_HOLD_OF_PROVEN_PART = 5
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
# The number of parts whose last complete response is remembered.
PROOFS_MAX = 4096
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
    """What one node reports to others of one request or part; `label` describes it to operators.

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
    """The record of one request or part of prompts; times are on this node's clock.

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

    @property
    def is_part(self) -> bool:
        """Return whether this is the record of a part of prompts."""
        return fingerprints.is_part(self.fingerprint)

    @property
    def is_proven(self) -> bool:
        """Return whether the request, or one with the part, had a complete response."""
        return self.cleared_at > float("-inf")

    def incident_count(self) -> int:
        """Return the number of incidents, each of one or more crashes."""
        return len(find_incidents(self.crashes))

    def crashes_before_hold(self) -> int:
        """Return the number of incidents after which the next hold is placed."""
        if self.hold.state is HoldState.HALF_OPEN or self.is_account_limited:
            return 1
        if self.is_part and self.is_proven:
            return CRASHES_BEFORE_HOLD_OF_PROVEN_PART
        return CRASHES_BEFORE_HOLD

    def is_over_limit(self, crashes: list[Crash]) -> bool:
        """Return whether these crashes are enough incidents to hold the request or part."""
        return len(find_incidents(crashes)) >= self.crashes_before_hold()

    def limit_crash(self) -> Crash | None:
        """Return the crash with which the limit was reached, or None."""
        incidents = find_incidents(self.crashes)
        limit = self.crashes_before_hold()
        return incidents[limit - 1] if len(incidents) >= limit else None


class CrashTracker:
    """The suspect requests and parts known to one node.

    `revision` grows with every change; `reported_revision` is that of the last reportable change.
    `proofs` holds the times of the last complete responses to requests with each part, and
    `unreported_proofs` the parts for which other nodes have none yet.
    """

    def __init__(self, records_max: int = RECORDS_MAX) -> None:
        self.records_max = records_max
        self.records: collections.OrderedDict[str, SuspectRecord] = collections.OrderedDict()
        self.revision = 0
        self.reported_revision = 0
        self.proofs: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.unreported_proofs: dict[str, None] = {}
        # The records with a hold, or with enough crashes for one if none is attributed to a part.
        self.candidates: dict[str, SuspectRecord] = {}
        self.cached_culprits: list[SuspectRecord] | None = None

    # Queries

    def is_held(self, fingerprint: str) -> bool:
        """Return whether a request, or requests with a part, may not run now."""
        record = self.candidates.get(fingerprint)
        return record is not None and self.is_record_held(record)

    def is_record_held(self, record: SuspectRecord) -> bool:
        """Return whether a request or part may not run now, by a hold or by its crashes."""
        if record.hold.is_held():
            return True
        if record.is_part:
            return self.is_culprit(record)
        return record.is_over_limit(self.unexplained(record))

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request or part has crashes since it was cleared, or is held."""
        record = self.records.get(fingerprint)
        return record is not None and (bool(record.crashes) or self.is_record_held(record))

    def held(self) -> list[SuspectRecord]:
        """Return the records of requests and parts that may not run now."""
        return [record for record in self.candidates.values() if self.is_record_held(record)]

    def culprits(self) -> list[SuspectRecord]:
        """Return the held parts to which the crashes in their records are attributed."""
        if self.cached_culprits is None:
            self.cached_culprits = find_culprits(
                record for record in self.candidates.values() if record.is_part
            )
        return self.cached_culprits

    def is_culprit(self, record: SuspectRecord) -> bool:
        """Return whether this is a held part to which crashes are attributed."""
        return any(record is culprit for culprit in self.culprits())

    def unexplained(self, record: SuspectRecord) -> list[Crash]:
        """Return the crashes of a request or part that are not attributed to another part."""
        return remove_crashes_of(
            record.crashes, [culprit for culprit in self.culprits() if culprit is not record]
        )

    def is_explained(self, record: SuspectRecord) -> bool:
        """Return whether all known crashes of a request or part are attributed to other parts."""
        if self.is_culprit(record):
            return False
        return bool(record.crashes) and not self.unexplained(record)

    def counts_for_account(self, record: SuspectRecord) -> bool:
        """Return whether a held request has enough crashes that are not attributed to a part.

        A request whose crashes are not known, since they were before a restart, counts too.
        """
        rest = self.unexplained(record)
        is_any_explained = len(rest) < len(record.crashes)
        return not is_any_explained or len(find_incidents(rest)) >= CRASHES_BEFORE_HOLD

    def is_strict(self, account: str) -> bool:
        """Return whether one crash is enough to hold a further request of an account."""
        if not account:
            return False
        held = [record for record in self.held() if record.account == account]
        return sum(self.counts_for_account(record) for record in held) >= ACCOUNT_HELD_THRESHOLD

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

    def is_next_crash_decisive(self, suspects: list[str], account: str) -> bool:
        """Return whether one more crash may be enough to hold a request of an account.

        `suspects` are the fingerprints of the request and of the parts of its prompt.
        """
        return any(map(self.is_suspect, suspects)) or self.is_strict(account)

    # Changes

    def record_crash(self, fingerprint: str, label: str, crash: Crash, account: str = "") -> bool:
        """Record a crash during a request, or one with a part; return whether it is new."""
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
        """Record a complete response to a request, or one with a part.

        Return whether its record changed.
        """
        record = self.records.get(fingerprint)
        if record is None or at <= record.cleared_at:
            return False
        record.cleared_at = at
        record.is_account_limited = False
        record.crashes = [crash for crash in record.crashes if crash.at > at]
        self.mark_changed(record, at)
        return True

    def record_proof(self, part: str, at: float) -> None:
        """Remember the time of a complete response to a request with a part."""
        self.proofs[part] = at
        self.proofs.move_to_end(part)
        if len(self.proofs) > PROOFS_MAX:
            self.proofs.popitem(last=False)

    def take_unreported_proofs(self) -> list[str]:
        """Return the parts with complete responses that other nodes need to know of, once."""
        parts, self.unreported_proofs = self.unreported_proofs, {}
        return list(parts)

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
        elif report.fingerprint in self.proofs:
            self.unreported_proofs[report.fingerprint] = None
        for reported in report.ends:
            crash = Crash(now - reported.age_s, reported.instance, now - reported.began_age_s)
            is_new |= self.record_crash(report.fingerprint, report.label, crash, report.account)
        return is_new

    def add(self, fingerprint: str, label: str, account: str) -> SuspectRecord:
        """Add a record, and evict one if there are too many."""
        record = SuspectRecord(fingerprint, label, account)
        record.cleared_at = self.proofs.get(fingerprint, record.cleared_at)
        self.records[fingerprint] = record
        if len(self.records) > self.records_max:
            self.evict()
        return record

    def evict(self) -> None:
        """Remove the record that changed longest ago, if possible one that was never held."""
        for fingerprint, record in self.records.items():
            if record.hold.times == 0 and not self.is_held(fingerprint):
                self.remove(fingerprint)
                return
        self.remove(next(iter(self.records)))

    def remove(self, fingerprint: str) -> None:
        """Remove a record."""
        del self.records[fingerprint]
        if self.candidates.pop(fingerprint, None) is not None:
            self.cached_culprits = None

    def update_candidate(self, record: SuspectRecord) -> None:
        """Add a changed record to the candidates for a hold, or remove it from them."""
        if record.hold.is_held() or record.is_over_limit(record.crashes):
            self.candidates[record.fingerprint] = record
        elif self.candidates.pop(record.fingerprint, None) is None:
            return
        if record.is_part:
            self.cached_culprits = None

    def mark_changed(self, record: SuspectRecord, now: float) -> None:
        """Give a record the next revision and move it to the end."""
        self.revision += 1
        record.revision = self.revision
        record.changed_at = now
        self.update_candidate(record)
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
                self.remove(fingerprint)


def find_incidents(crashes: Iterable[Crash]) -> list[Crash]:
    """Return the first crash of each incident; `crashes` are in order of time."""
    firsts: list[Crash] = []
    last = float("-inf")
    for crash in crashes:
        if crash.began_at >= last - CLOCK_UNCERTAINTY_S or crash.at - last > SAME_INCIDENT_S:
            firsts.append(crash)
            last = crash.at
    return firsts


def find_culprits(parts: Iterable[SuspectRecord]) -> list[SuspectRecord]:
    """Return those of some candidates that are held on account of their own crashes.

    The first part to reach its limit explains its crashes; a later one needs enough others. A part
    that had a complete response counts as later than all that had none. Parts that reached their
    limits with the same crash can't be distinguished otherwise, and are all held.
    """
    culprits: list[SuspectRecord] = []
    for part in sorted(parts, key=limit_order):
        earlier = [culprit for culprit in culprits if not are_indistinguishable(culprit, part)]
        rest = remove_crashes_of(part.crashes, earlier)
        is_hold_justified = part.hold.is_held() and (bool(rest) or not part.crashes)
        if is_hold_justified or part.is_over_limit(rest):
            culprits.append(part)
    return culprits


def limit_order(part: SuspectRecord) -> tuple[bool, float, str]:
    """Return the sort key of a part: when it reached its limit, last if it did not."""
    crash = part.limit_crash()
    at = crash.at if crash is not None else float("inf")
    return part.is_proven, at, part.fingerprint


def are_indistinguishable(part: SuspectRecord, other: SuspectRecord) -> bool:
    """Return whether two parts, both proven or not, reached their limits with the same crash."""
    crash, other_crash = part.limit_crash(), other.limit_crash()
    if crash is None or other_crash is None or part.is_proven != other.is_proven:
        return False
    return are_same_crash(crash, other_crash)


def remove_crashes_of(crashes: list[Crash], parts: list[SuspectRecord]) -> list[Crash]:
    """Return the crashes that are in no record of some parts."""
    return [crash for crash in crashes if not any(is_duplicate(part, crash) for part in parts)]


def is_duplicate(record: SuspectRecord, crash: Crash) -> bool:
    """Return whether a record already holds this crash."""
    return any(are_same_crash(crash, other) for other in record.crashes)


def are_same_crash(crash: Crash, other: Crash) -> bool:
    """Return whether two crashes are reports of the same one."""
    return crash.instance == other.instance and abs(crash.at - other.at) < DUPLICATE_CRASH_S


def hold_duration_s(hold: Hold) -> float:
    """Return the duration of a hold in seconds."""
    return min(HOLD_MAX_S, FIRST_HOLD_S * 2 ** (hold.times - 1))
