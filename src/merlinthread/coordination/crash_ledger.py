"""Which requests were at back ends whose processes ended, and which of them may not run again.

A request that ends whoever runs it (the query of death; Beyer et al., Site Reliability Engineering,
2016) must be known at every entry, whichever of them saw an end. Nodes tell each other what they
know in `Suspicion`; to merge one twice, or two in another order, leaves the same record, so that
each may be told again without a count going wrong.

Most requests that are there when a process ends have nothing to do with it. Three things tell them
from the one that did: a whole answer since, by any back end, clears a request; ends at one moment
count once, since whatever takes several processes together (a rack, a zone) is no request; and
three ends are needed.

A client account may send many different requests that each end three back ends. Once several of its
requests are held back, one end is enough for its others, so that each costs one process, not three.
"""

import collections
import dataclasses
import enum

# Ends under a request after which it is held back: the bound that the deployments set.
ENDS_MAX = 3
# Ends within this time of each other count as one, unless the later attempt began after the earlier
# end: what takes several processes takes them nearly at once.
ONE_MOMENT_S = 0.1
# Times that nodes tell each other as ages are off by the message's way, and differ by as much: an
# attempt seems to begin up to this long before the end that it followed.
CLOCK_DOUBT_S = 0.03
# Two reports of one process's end differ by less; it is not back and ended again within that time.
SAME_END_S = 0.5
# Requests of one client account that are held back before one end is enough for its others. An
# ordinary request of that account that is there at an end is refused then until it has a whole
# answer; few of those come again.
ACCOUNT_HELD_THRESHOLD = 4
# Records kept, some 2.5 MB of memory; the one that has not changed for longest goes first.
RECORDS_MAX = 4096
# An end this long ago counts no more, unless the request was held back in between.
RECORD_EXPIRY_S = 600.0
# How long a request is held back for the first time; twice as long each further time.
FIRST_HOLD_S = 600.0
HOLD_MAX_S = 24 * 3600.0


class HoldState(enum.IntEnum):
    """What became of a decision to hold a request back; a later one replaces an earlier one."""

    HELD = 0
    # Its time is over: it may run again, and one more end holds it back again (the half-open state
    # of a circuit breaker, Nygard 2007).
    HALF_OPEN = 1
    # A whole answer cleared it.
    CLEARED = 2


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Hold:
    """The `times`th decision to hold a request back, and what became of it."""

    times: int = 0
    state: HoldState = HoldState.CLEARED

    def is_held(self) -> bool:
        """Return whether the request may not run now."""
        return self.times > 0 and self.state is HoldState.HELD

    def ends_max(self) -> int:
        """Return after how many ends the request is held back (again)."""
        return 1 if self.state is HoldState.HALF_OPEN else ENDS_MAX


@dataclasses.dataclass(slots=True)
class ReportedCrash:
    """The end of an instance's process `age_s` ago, under an attempt sent `began_age_s` ago."""

    instance: str
    age_s: float
    began_age_s: float


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Crash:
    """The end of an instance's process under an attempt that was sent at `began_at`."""

    at: float
    instance: str
    began_at: float


@dataclasses.dataclass(slots=True)
class SuspectReport:
    """What one node knows of one request, for another; `label` tells operators what it asks.

    `cleared_age_s` is how long ago it had a whole answer, None if it had none.
    """

    fingerprint: str
    label: str
    ends: list[ReportedCrash]
    cleared_age_s: float | None = None
    hold: Hold = Hold()
    account: str = ""


@dataclasses.dataclass(slots=True)
class SuspectRecord:
    """What is known of one request; times are those of this node's clock.

    `ends` holds the instances that ended under it since `cleared_at`, in order. `revision` is that
    of its last change. `is_told` is set once other nodes should know of it: it was at more than one
    end, or was held back. `is_account_limited` tells that one end was enough, by its account.
    """

    fingerprint: str
    label: str
    account: str = ""
    ends: list[Crash] = dataclasses.field(default_factory=list)
    cleared_at: float = float("-inf")
    hold: Hold = Hold()
    revision: int = 0
    is_told: bool = False
    is_account_limited: bool = False
    changed_at: float = 0.0

    def incident_count(self) -> int:
        """Return at how many moments processes ended under it."""
        count, last = 0, float("-inf")
        for end in self.ends:
            if end.began_at >= last - CLOCK_DOUBT_S or end.at - last > ONE_MOMENT_S:
                count, last = count + 1, end.at
        return count

    def is_over_limit(self) -> bool:
        """Return whether enough processes ended under it to hold it back."""
        return self.is_account_limited or self.incident_count() >= self.hold.ends_max()

    def is_held(self) -> bool:
        """Return whether it may not run now."""
        return self.hold.is_held() or self.is_over_limit()


class CrashLedger:
    """The requests that one node suspects; `told_revision` is that of the last change to tell."""

    def __init__(self, kept: int = RECORDS_MAX) -> None:
        self.kept = kept
        self.records: collections.OrderedDict[str, SuspectRecord] = collections.OrderedDict()
        self.revision = 0
        self.reported_revision = 0

    # Questions

    def is_held(self, fingerprint: str) -> bool:
        """Return whether a request may not run now."""
        record = self.records.get(fingerprint)
        return record is not None and record.is_held()

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a process ended under a request since it was cleared, or it is held."""
        record = self.records.get(fingerprint)
        return record is not None and (bool(record.ends) or record.is_held())

    def held(self) -> list[SuspectRecord]:
        """Return the requests that may not run now."""
        return [record for record in self.records.values() if record.is_held()]

    def is_strict(self, account: str) -> bool:
        """Return whether so many requests of an account are held back that one end is enough."""
        if not account:
            return False
        return sum(record.account == account for record in self.held()) >= ACCOUNT_HELD_THRESHOLD

    def changes_since(self, revision: int, now: float) -> list[SuspectReport]:
        """Return what has changed after `revision` of requests that were at more than one end."""
        return [
            self.report_of(record, now)
            for record in self.records.values()
            if record.is_told and record.revision > revision
        ]

    def report_of(self, record: SuspectRecord, now: float) -> SuspectReport:
        """Return a record as another node is told it."""
        ends = [
            ReportedCrash(end.instance, round(now - end.at, 3), round(now - end.began_at, 3))
            for end in record.ends
        ]
        is_cleared = record.cleared_at > float("-inf")
        cleared_age_s = round(now - record.cleared_at, 3) if is_cleared else None
        return SuspectReport(
            record.fingerprint, record.label, ends, cleared_age_s, record.hold, record.account
        )

    # Changes

    def record_crash(self, fingerprint: str, label: str, end: Crash, account: str = "") -> bool:
        """Note that a process ended under a request; return whether that is new."""
        record = self.records.get(fingerprint)
        if record is None:
            record = self.add(fingerprint, label, account)
        if end.at <= record.cleared_at or is_known(record, end):
            return False
        record.ends.append(end)
        record.ends.sort()
        record.is_account_limited |= self.is_strict(record.account)
        self.note_change(record, end.at)
        return True

    def clear(self, fingerprint: str, at: float) -> bool:
        """Note that a request had a whole answer; return whether that changes anything."""
        record = self.records.get(fingerprint)
        if record is None or at <= record.cleared_at:
            return False
        record.cleared_at = at
        record.is_account_limited = False
        record.ends = [end for end in record.ends if end.at > at]
        self.note_change(record, at)
        return True

    def set_hold(
        self, fingerprint: str, label: str, hold: Hold, now: float, account: str = ""
    ) -> bool:
        """Take over a decision that the control VMs agreed on; return whether it is newer."""
        record = self.records.get(fingerprint) or self.add(fingerprint, label, account)
        if hold <= record.hold:
            return False
        record.hold = hold
        if hold.state is not HoldState.HELD:
            record.ends = [end for end in record.ends if end.at > now]
            record.cleared_at = max(record.cleared_at, now)
            record.is_account_limited = False
        record.label = record.label or label
        self.note_change(record, now)
        return True

    def merge(self, told: SuspectReport, now: float) -> bool:
        """Take over what another node knows; return whether any of it is new."""
        record = self.records.get(told.fingerprint)
        if record is None and not told.ends and told.hold.times == 0:
            return False
        is_new = told.hold.times > 0 and self.set_hold(told.fingerprint, told.label, told.hold, now)
        if told.cleared_age_s is not None:
            is_new |= self.clear(told.fingerprint, now - told.cleared_age_s)
        for end in told.ends:
            heard = Crash(now - end.age_s, end.instance, now - end.began_age_s)
            is_new |= self.record_crash(told.fingerprint, told.label, heard, told.account)
        return is_new

    def add(self, fingerprint: str, label: str, account: str) -> SuspectRecord:
        """Begin a record, in place of the oldest one if there are too many."""
        record = SuspectRecord(fingerprint, label, account)
        self.records[fingerprint] = record
        if len(self.records) > self.kept:
            self.evict()
        return record

    def evict(self) -> None:
        """Drop the record that changed longest ago, one that is not held if there is any."""
        for fingerprint, record in self.records.items():
            if not record.is_held() and record.ends:
                del self.records[fingerprint]
                return
        self.records.popitem(last=False)

    def note_change(self, record: SuspectRecord, now: float) -> None:
        """Give a record the next revision; the one changed last comes last."""
        self.revision += 1
        record.revision = self.revision
        record.changed_at = now
        record.is_told |= (
            record.incident_count() > 1 or record.hold.times > 0 or record.is_account_limited
        )
        if record.is_told:
            self.reported_revision = self.revision
        self.records.move_to_end(record.fingerprint)

    def expire(self, now: float) -> None:
        """Forget ends that are long past."""
        for fingerprint, record in list(self.records.items()):
            if now - record.changed_at > RECORD_EXPIRY_S and record.hold.times == 0:
                del self.records[fingerprint]


def is_known(record: SuspectRecord, end: Crash) -> bool:
    """Return whether the end of that instance's process is in a record already."""
    return any(
        other.instance == end.instance and abs(end.at - other.at) < SAME_END_S
        for other in record.ends
    )


def hold_duration_s(hold: Hold) -> float:
    """Return how long a request is held back by a decision."""
    return min(HOLD_MAX_S, FIRST_HOLD_S * 2 ** (hold.times - 1))
