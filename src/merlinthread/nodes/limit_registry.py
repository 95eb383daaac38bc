"""Distributes back ends' rate limits between the control VMs and to the entries.

An entry reports a limit to one control VM, which forwards it to the others. Each control VM sends
limits to the entries that watch it for changes.
"""

from collections.abc import Callable

from merlinthread.coordination import limit_table


class LimitRegistry:
    """The limits known to one control VM, and the back ends whose limits it must still forward.

    `notify` wakes the pending watch requests.
    """

    def __init__(self, clock: Callable[[], float], notify: Callable[[], None]) -> None:
        self.clock = clock
        self.notify = notify
        self.table = limit_table.LimitTable()
        self.outgoing: set[str] = set()

    def merge_from_entry(self, reports: list[limit_table.LimitReport]) -> None:
        """Merge the reports of an entry; queue them for the other control VMs if any is new."""
        if self.merge(reports):
            self.outgoing.update(report.instance for report in reports)

    def merge(self, reports: list[limit_table.LimitReport]) -> bool:
        """Merge reports; return whether any of them changed a limit."""
        now = self.clock()
        is_new = any([self.table.merge(report, now) for report in reports])
        if is_new:
            self.notify()
        return is_new

    def pop_outgoing(self) -> list[limit_table.LimitReport]:
        """Return the reports to forward, and clear the queue."""
        reports = self.table.reports_for(self.outgoing, self.clock())
        self.outgoing = set()
        return reports

    def changes_since(self, revision: int) -> list[limit_table.LimitReport]:
        """Return the limits that changed after `revision`, or none if it is negative."""
        return self.table.changes_since(revision, self.clock()) if revision >= 0 else []
