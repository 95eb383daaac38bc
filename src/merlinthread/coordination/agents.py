"""Agent reports, which may arrive late, twice, out of order or relayed."""

import dataclasses

from merlinthread import errors


@dataclasses.dataclass(slots=True)
class AgentReport:
    """An agent's report to entries: its identity, and the state and load of its target.

    `incarnation` increases with each start of the agent, `counter` with each report of an
    incarnation. `serving` maps model and adapter names to the manifest digests that the engine
    reports, `fetched` maps manifest digests to the number of chunks stored locally. `running`,
    `queued` and `queued_tokens` describe the agent's own queue. `trouble` is the reason why
    `revision` can't be applied, or empty.
    """

    name: str
    incarnation: int
    counter: int
    availability_zone: str
    region: str
    bus: str
    http: str
    kind: str
    service: str = ""
    serving: dict[str, str] = dataclasses.field(default_factory=dict)
    fetched: dict[str, int] = dataclasses.field(default_factory=dict)
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    slots: int = 1
    revision: int = 0
    generation: int = 0
    is_leaving: bool = False
    trouble: str = ""

    def sort_key(self) -> tuple[int, int]:
        """Return a sort key that is higher for newer reports of the same agent."""
        return (self.incarnation, self.counter)


@dataclasses.dataclass(slots=True)
class ReceivedReport:
    """An agent's newest report and when it arrived, on the receiver's clock."""

    report: AgentReport
    received_at: float


class AgentView:
    """The newest report of each agent.

    An agent without a new report for `lost_after_s` seconds is lost. It stays known for
    `forget_after_s` seconds, so that a late old report can't revive it.
    """

    def __init__(self, lost_after_s: float, forget_after_s: float = 60.0) -> None:
        self.lost_after_s = lost_after_s
        self.forget_after_s = forget_after_s
        self.received: dict[str, ReceivedReport] = {}

    def update(self, report: AgentReport, now: float) -> bool:
        """Apply a report; return whether it was newer than the known one."""
        known = self.received.get(report.name)
        if known and report.sort_key() <= known.report.sort_key():
            return False
        self.received[report.name] = ReceivedReport(report, now)
        return True

    def update_load(
        self,
        name: str,
        sort_key: tuple[int, int],
        load: tuple[int, int, int],
        now: float,
    ) -> AgentReport | None:
        """Apply a report that differs from the last only in its load; return the full report.

        `sort_key` is that of the report, `load` its `running`, `queued` and `queued_tokens`. Return
        None if no report of that incarnation is known.
        """
        known = self.received.get(name)
        if known is None or known.report.incarnation != sort_key[0]:
            return None
        running, queued, queued_tokens = load
        report = dataclasses.replace(
            known.report,
            counter=sort_key[1],
            running=running,
            queued=queued,
            queued_tokens=queued_tokens,
        )
        self.update(report, now)
        return report

    def check_incarnation(self, name: str, incarnation: int) -> None:
        """Raise MerlinthreadError (fenced) if a later incarnation of the agent is known."""
        known = self.received.get(name)
        if known and known.report.incarnation > incarnation:
            raise errors.MerlinthreadError(
                f"agent {name!r}: incarnation {incarnation} was replaced by "
                f"{known.report.incarnation}",
                kind=errors.ErrorKind.FENCED,
            )

    def live(self, now: float) -> list[AgentReport]:
        """Return the newest reports of agents that are not lost, sorted by name."""
        self.forget(now)
        found = [
            received.report
            for received in self.received.values()
            if now - received.received_at < self.lost_after_s
        ]
        return sorted(found, key=lambda report: report.name)

    def forget(self, now: float) -> None:
        """Drop agents without a report for `forget_after_s` seconds."""
        for name, received in list(self.received.items()):
            if now - received.received_at > self.forget_after_s:
                del self.received[name]
