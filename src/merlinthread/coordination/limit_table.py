"""Back ends' advertised rate limits, as control VMs distribute them to entries.

An entry learns of a limit from a response of the back end. Without distribution each entry would
send one unlimited request first, and would go on asking for permits after a limit is lifted.

The most recently received limit of a back end wins; merging the same report again changes nothing.
"""

import dataclasses
import math
from collections.abc import Iterable

# Records kept; those unchanged for longest are dropped first.
RECORDS_MAX = 4096
# How long a lifted limit is remembered, so that a late report can't restore it.
LIFTED_EXPIRY_S = 60.0


@dataclasses.dataclass(slots=True)
class LimitReport:
    """A limit received `heard_age_s` seconds ago, in requests a second; None for no limit."""

    instance: str
    per_s: float | None
    heard_age_s: float


@dataclasses.dataclass(slots=True)
class LimitRecord:
    """The latest limit of one back end; `revision` is that of its last change."""

    per_s: float | None
    received_at: float
    revision: int


class LimitTable:
    """The limits of all back ends, ordered by their last change."""

    def __init__(self) -> None:
        self.records: dict[str, LimitRecord] = {}
        self.revision = 0
        self.pruned_at = -math.inf

    def merge(self, report: LimitReport, now: float) -> bool:
        """Merge a report; return whether it changed the limit."""
        known = self.records.get(report.instance)
        received_at = now - report.heard_age_s
        if known is not None and received_at <= known.received_at:
            return False
        previous = known.per_s if known is not None else None
        if report.per_s == previous:
            if known is not None:
                known.received_at = received_at
            return False
        self.revision += 1
        self.records.pop(report.instance, None)
        self.records[report.instance] = LimitRecord(report.per_s, received_at, self.revision)
        self.prune(now)
        return True

    def prune(self, now: float) -> None:
        """Drop limits lifted long ago, and the least recently changed ones above RECORDS_MAX."""
        if now - self.pruned_at > LIFTED_EXPIRY_S:
            self.pruned_at = now
            self.records = {
                instance: known
                for instance, known in self.records.items()
                if known.per_s is not None or now - known.received_at <= LIFTED_EXPIRY_S
            }
        while len(self.records) > RECORDS_MAX:
            del self.records[next(iter(self.records))]

    def reports_for(self, instances: Iterable[str], now: float) -> list[LimitReport]:
        """Return reports of the known limits of some back ends."""
        found = [(name, self.records[name]) for name in instances if name in self.records]
        return [LimitReport(name, known.per_s, now - known.received_at) for name, known in found]

    def changes_since(self, revision: int, now: float) -> list[LimitReport]:
        """Return reports of the limits that changed after `revision`."""
        changed = [name for name, known in self.records.items() if known.revision > revision]
        return self.reports_for(changed, now)
