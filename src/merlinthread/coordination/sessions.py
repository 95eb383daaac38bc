"""Incremental agent reports from entries to the leader.

An entry sends the leader only changed reports, in a session that stays valid while the entry keeps
sending. When a session expires, agents that no other session covers are lost. The cost grows with
the changes and the number of entries, not with the number of agents.
"""

import dataclasses

from merlinthread.coordination import agents


def reported_state(report: agents.AgentReport) -> tuple[object, ...]:
    """Return the fields whose change makes a report worth sending: all but load and counters."""
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
    """Tracks which reports an entry has yet to send to its listener, the leader."""

    def __init__(self) -> None:
        self.acknowledged: dict[str, tuple[object, ...]] = {}
        self.listener = ""

    def changes(
        self, live: list[agents.AgentReport], listener: str
    ) -> tuple[list[agents.AgentReport], list[str], bool]:
        """Return changed reports, names of removed agents, and whether this is a full update.

        A new listener gets a full update.
        """
        is_full = listener != self.listener
        if is_full:
            self.acknowledged = {}
        names = {report.name for report in live}
        changed = [
            report
            for report in live
            if self.acknowledged.get(report.name) != reported_state(report)
        ]
        gone = [name for name in self.acknowledged if name not in names]
        return changed, gone, is_full

    def confirm(self, changed: list[agents.AgentReport], gone: list[str], listener: str) -> None:
        """Record that the listener acknowledged an update."""
        self.listener = listener
        for report in changed:
            self.acknowledged[report.name] = reported_state(report)
        for name in gone:
            self.acknowledged.pop(name, None)

    def forget(self) -> None:
        """Force a full update next time."""
        self.listener = ""


@dataclasses.dataclass(slots=True)
class Session:
    """One entry's session: the agents that it covers, and when it last sent an update."""

    heard_at: float
    names: set[str] = dataclasses.field(default_factory=set)


class ReportReceiver:
    """The leader's view of all agents, from the entries' updates."""

    def __init__(self, lost_after_s: float) -> None:
        self.lost_after_s = lost_after_s
        self.sessions: dict[str, Session] = {}
        self.reports: dict[str, agents.AgentReport] = {}

    def apply_update(
        self,
        source: str,
        changed: list[agents.AgentReport],
        gone: list[str],
        is_full: bool,
        now: float,
    ) -> bool:
        """Apply an entry's update; return False if a full update is needed first."""
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
            if known is None or report.sort_key() > known.sort_key():
                self.reports[report.name] = report
        return True

    def live(self, now: float) -> list[agents.AgentReport]:
        """Return the reports of agents covered by a live session, sorted by name."""
        for source, session in list(self.sessions.items()):
            if now - session.heard_at >= self.lost_after_s:
                del self.sessions[source]
        names = set().union(*(session.names for session in self.sessions.values()))
        self.reports = {name: r for name, r in self.reports.items() if name in names}
        return [self.reports[name] for name in sorted(names)]

    def clear(self) -> None:
        """Drop all sessions and reports; entries must then send full updates."""
        self.sessions.clear()
        self.reports.clear()
