"""What is known of agents: their reports, which come late, twice, crossed or by way of others."""

import dataclasses

from merlinthread import errors


@dataclasses.dataclass(slots=True)
class AgentReport:
    """What an agent tells its entries: who it is, what its target serves and how busy it is.

    `incarnation` grows with every start of the agent, `counter` with every report of one
    incarnation. `serving` maps a model or adapter name to the manifest digest that the engine
    reports, `fetched` maps a manifest digest to how many of its chunks are here. `running`,
    `queued` and `queued_tokens` are the agent's own queue's; `trouble` says why it can't enforce
    `revision`, if it can't.
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

    def order(self) -> tuple[int, int]:
        """Return what newer reports of the same agent are higher in."""
        return (self.incarnation, self.counter)


@dataclasses.dataclass(slots=True)
class Seen:
    """An agent's newest report and when it was heard of, on the listener's clock."""

    report: AgentReport
    heard_at: float


class AgentView:
    """The newest report of each agent.

    An agent of which nothing new is heard for `lost_after_s` is lost; it stays known for
    `forget_after_s`, so that an old report that still travels can't bring it back.
    """

    def __init__(self, lost_after_s: float, forget_after_s: float = 60.0) -> None:
        self.lost_after_s = lost_after_s
        self.forget_after_s = forget_after_s
        self.seen: dict[str, Seen] = {}

    def update(self, report: AgentReport, now: float) -> bool:
        """Take in a report; return whether it was news."""
        known = self.seen.get(report.name)
        if known and report.order() <= known.report.order():
            return False
        self.seen[report.name] = Seen(report, now)
        return True

    def update_load(
        self,
        name: str,
        order: tuple[int, int],
        load: tuple[int, int, int],
        now: float,
    ) -> AgentReport | None:
        """Take in a report that differs from the last only in its load; return it whole.

        `load` is running, queued and queued tokens. Returns None if the last report of that
        incarnation is not known here.
        """
        known = self.seen.get(name)
        if known is None or known.report.incarnation != order[0]:
            return None
        running, queued, tokens = load
        report = dataclasses.replace(
            known.report, counter=order[1], running=running, queued=queued, queued_tokens=tokens
        )
        self.update(report, now)
        return report

    def check_incarnation(self, name: str, incarnation: int) -> None:
        """Raise MerlinthreadError (fenced) for an agent that a later start has replaced."""
        known = self.seen.get(name)
        if known and known.report.incarnation > incarnation:
            raise errors.MerlinthreadError(
                f"agent {name!r}: incarnation {incarnation} was replaced by "
                f"{known.report.incarnation}",
                kind=errors.ErrorKind.FENCED,
            )

    def live(self, now: float) -> list[AgentReport]:
        """Return the newest reports of agents that are not lost, by name."""
        self.forget(now)
        found = [
            seen.report for seen in self.seen.values() if now - seen.heard_at < self.lost_after_s
        ]
        return sorted(found, key=lambda report: report.name)

    def forget(self, now: float) -> None:
        """Drop agents that have been lost for long."""
        for name, seen in list(self.seen.items()):
            if now - seen.heard_at > self.forget_after_s:
                del self.seen[name]
