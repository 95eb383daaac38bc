"""A control VM's part in spreading limits of back ends: from one entry to the other control VMs and
to all entries that ask for news.
"""

from collections.abc import Callable

from merlinthread.coordination import limit_ledger


class LimitRegistry:
    """What this control VM knows, and what it has yet to pass on; `tell` wakes those who wait."""

    def __init__(self, clock: Callable[[], float], tell: Callable[[], None]) -> None:
        self.clock = clock
        self.tell = tell
        self.ledger = limit_ledger.LimitTable()
        # The back ends whose limits are to be passed on to the other control VMs.
        self.outgoing: set[str] = set()

    def take_heard(self, told: list[limit_ledger.LimitReport]) -> None:
        """Take over what an entry heard, to be passed on."""
        if self.take(told):
            self.outgoing.update(each.instance for each in told)

    def take(self, told: list[limit_ledger.LimitReport]) -> bool:
        """Take over limits; return whether anything is new."""
        now = self.clock()
        is_new = any([self.ledger.merge(each, now) for each in told])
        if is_new:
            self.tell()
        return is_new

    def pop_outgoing(self) -> list[limit_ledger.LimitReport]:
        """Return what is to be passed on now."""
        found = self.ledger.reports_for(self.outgoing, self.clock())
        self.outgoing = set()
        return found

    def since(self, revision: int) -> list[limit_ledger.LimitReport]:
        """Return what has changed after `revision`; nothing if that is below 0."""
        return self.ledger.since(revision, self.clock()) if revision >= 0 else []
