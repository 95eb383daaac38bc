"""Reports that pass on by change: who says what of which agents, and for how long that holds.

An entry tells the leader only what changed. What it told stands as long as it goes on talking; if
it falls silent, the agents that it alone vouches for are lost. So the cost follows the changes and
the number of entries, not the number of agents.
"""

import dataclasses

from merlinthread.coordination import agents


def reported_state(report: agents.AgentReport) -> tuple[object, ...]:
    """Return what must change for a report to be worth passing on: all but load and counters."""
    return (
        report.incarnation,
        report.kind,
        report.service,
        tuple(sorted(report.serving.items())),
        report.slots,
        report.revision,
        report.is_leaving,
        report.trouble,
    )


class ReportSender:
    """What an entry still has to tell one listener."""

    def __init__(self) -> None:
        self.told: dict[str, tuple[object, ...]] = {}
        self.listener = ""

    def changes(
        self, live: list[agents.AgentReport], listener: str
    ) -> tuple[list[agents.AgentReport], list[str], bool]:
        """Return changed reports, names that are gone, and whether this is all there is.

        Everything is told again to a new listener.
        """
        is_full = listener != self.listener
        if is_full:
            self.told = {}
        names = {report.name for report in live}
        changed = [
            report for report in live if self.told.get(report.name) != reported_state(report)
        ]
        gone = [name for name in self.told if name not in names]
        return changed, gone, is_full

    def confirm(self, changed: list[agents.AgentReport], gone: list[str], listener: str) -> None:
        """Note that the listener has taken it in."""
        self.listener = listener
        for report in changed:
            self.told[report.name] = reported_state(report)
        for name in gone:
            self.told.pop(name, None)

    def forget(self) -> None:
        """Tell everything next time."""
        self.listener = ""


@dataclasses.dataclass(slots=True)
class Session:
    """One entry's word: the agents it vouches for, and when it last spoke."""

    heard_at: float
    names: set[str] = dataclasses.field(default_factory=set)


class ReportReceiver:
    """What the leader knows of all agents by the entries' word."""

    def __init__(self, lost_after_s: float) -> None:
        self.lost_after_s = lost_after_s
        self.sessions: dict[str, Session] = {}
        self.reports: dict[str, agents.AgentReport] = {}

    def take(
        self,
        source: str,
        changed: list[agents.AgentReport],
        gone: list[str],
        is_full: bool,
        now: float,
    ) -> bool:
        """Take in what an entry tells; return False if it must tell everything first."""
        session = self.sessions.get(source)
        if session is None and not is_full:
            return False
        if session is None or is_full:
            session = self.sessions[source] = Session(now)
        session.heard_at = now
        session.names.difference_update(gone)
        for report in changed:
            session.names.add(report.name)
            known = self.reports.get(report.name)
            if known is None or report.order() > known.order():
                self.reports[report.name] = report
        return True

    def live(self, now: float) -> list[agents.AgentReport]:
        """Return the reports of agents that some talking entry vouches for, by name."""
        for source, session in list(self.sessions.items()):
            if now - session.heard_at >= self.lost_after_s:
                del self.sessions[source]
        names = set().union(*(session.names for session in self.sessions.values()))
        self.reports = {name: r for name, r in self.reports.items() if name in names}
        return [self.reports[name] for name in sorted(names)]

    def clear(self) -> None:
        """Forget everything; the entries tell it anew."""
        self.sessions.clear()
        self.reports.clear()
