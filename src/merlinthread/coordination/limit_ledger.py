"""Which limits back ends named, as control VMs pass it on from entry to entry.

Each entry hears a limit with its own first answer. A fleet of hundreds of entries would send a back
end that wants one request a second hundreds of them that way, each entry its first one, and as many
would go on to ask for permits after the limit is over.

What was heard last holds, whoever tells it: to take one word twice, or two in another order, leaves
the same record.
"""

import dataclasses
import math
from collections.abc import Iterable

# Records kept; the one that has not changed for longest goes first. A tenth of 1,500 back ends is
# in need at a time.
RECORDS_MAX = 4096
# How long it is remembered that a limit is over, in seconds: words that are older are on their way.
OVER_KEPT_S = 60.0


@dataclasses.dataclass(slots=True)
class LimitReport:
    """What an answer that came `heard_age_s` ago said: requests a second, None for no limit."""

    instance: str
    per_s: float | None
    heard_age_s: float


@dataclasses.dataclass(slots=True)
class Record:
    """What is known of one back end; `revision` is that of its last change."""

    per_s: float | None
    heard_at: float
    revision: int


class LimitTable:
    """The limits of all back ends, in the order of their changes."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.revision = 0
        self.swept_at = -math.inf

    def merge(self, told: LimitReport, now: float) -> bool:
        """Take over what was told; return whether it is new."""
        known = self.records.get(told.instance)
        heard_at = now - told.heard_age_s
        if known is not None and heard_at <= known.heard_at:
            return False
        before = known.per_s if known is not None else None
        if told.per_s == before:
            if known is not None:
                known.heard_at = heard_at
            return False
        self.revision += 1
        self.records.pop(told.instance, None)
        self.records[told.instance] = Record(told.per_s, heard_at, self.revision)
        self.forget(now)
        return True

    def forget(self, now: float) -> None:
        """Forget limits that are long over, and the oldest ones of too many."""
        if now - self.swept_at > OVER_KEPT_S:
            self.swept_at = now
            self.records = {
                instance: known
                for instance, known in self.records.items()
                if known.per_s is not None or now - known.heard_at <= OVER_KEPT_S
            }
        while len(self.records) > RECORDS_MAX:
            del self.records[next(iter(self.records))]

    def reports_for(self, instances: Iterable[str], now: float) -> list[LimitReport]:
        """Return what is known of some back ends."""
        found = [(name, self.records[name]) for name in instances if name in self.records]
        return [LimitReport(name, known.per_s, now - known.heard_at) for name, known in found]

    def since(self, revision: int, now: float) -> list[LimitReport]:
        """Return what has changed after `revision`."""
        changed = [name for name, known in self.records.items() if known.revision > revision]
        return self.reports_for(changed, now)
