"""What an entry tells the others of what it reaches: load by model, not agent by agent.

Entries of other zones send a request on to such an entry, which chooses the target. So what crosses
zones grows with entries and models, not with agents.
"""

import dataclasses

import blake3

from merlinthread.coordination import agents, bundles

SUMMARIES_PER_ZONE = 4


@dataclasses.dataclass(slots=True)
class Load:
    """The targets behind one entry that serve one name: how many places, how many taken."""

    slots: int
    busy: int


@dataclasses.dataclass(slots=True)
class Summary:
    """What one entry reaches; `counter` grows with each summary of one `incarnation`.

    `engines` is by model or adapter name, `services` by service name.
    """

    entry: str
    incarnation: int
    counter: int
    availability_zone: str
    region: str
    http: str
    engines: dict[str, Load] = dataclasses.field(default_factory=dict)
    services: dict[str, Load] = dataclasses.field(default_factory=dict)

    def order(self) -> tuple[int, int]:
        """Return what newer summaries of the same entry are higher in."""
        return (self.incarnation, self.counter)


def add_load(table: dict[str, Load], name: str, report: agents.AgentReport) -> None:
    """Add a target's places to those of a name."""
    load = table.setdefault(name, Load(0, 0))
    load.slots += report.slots
    load.busy += report.running + report.queued


def add_reports(summary: Summary, reports: list[agents.AgentReport]) -> Summary:
    """Add up the targets that take new work."""
    for report in reports:
        if report.is_leaving:
            continue
        if report.kind == bundles.SERVICE:
            add_load(summary.services, report.service, report)
            continue
        for name in report.serving:
            add_load(summary.engines, name, report)
    return summary


@dataclasses.dataclass(slots=True)
class Heard:
    """A summary and when it was heard, on the listener's clock."""

    summary: Summary
    heard_at: float


class SummaryTable:
    """The newest summaries of some other entries.

    Keeps `per_zone` of each availability zone, so that neither memory nor messages grow with the
    number of entries; which ones differs from listener to listener (rendezvous order), so that all
    entries are known to some.
    """

    def __init__(self, me: str, lost_after_s: float, per_zone: int = SUMMARIES_PER_ZONE) -> None:
        self.me = me
        self.lost_after_s = lost_after_s
        self.per_zone = per_zone
        self.heard: dict[str, Heard] = {}

    def add(self, summary: Summary, now: float) -> bool:
        """Take in a summary; return whether it was news."""
        known = self.heard.get(summary.entry)
        if known and summary.order() <= known.summary.order():
            return False
        self.heard[summary.entry] = Heard(summary, now)
        self.trim(summary.availability_zone, now)
        return True

    def trim(self, zone: str, now: float) -> None:
        """Drop what is over the bound in a zone: lost entries first, then by rendezvous order."""
        names = [n for n, h in self.heard.items() if h.summary.availability_zone == zone]
        if len(names) <= self.per_zone:
            return
        names.sort(key=lambda name: (self.is_lost(name, now), self.distance(name)))
        for name in names[self.per_zone :]:
            del self.heard[name]

    def is_lost(self, name: str, now: float) -> bool:
        """Return whether an entry has been silent for too long."""
        return now - self.heard[name].heard_at >= self.lost_after_s

    def distance(self, name: str) -> bytes:
        """Return the rendezvous order of an entry for this listener."""
        return blake3.blake3(f"{self.me} {name}".encode()).digest(8)

    def live(self, now: float) -> list[Summary]:
        """Return the summaries that are not too old."""
        return [h.summary for name, h in self.heard.items() if not self.is_lost(name, now)]


def as_target(summary: Summary, kind: str, name: str, adapter: str) -> agents.AgentReport | None:
    """Return the entry as a target for a request, or None if it reaches nobody who serves it."""
    table = summary.services if kind == bundles.SERVICE else summary.engines
    load = table.get(name)
    if load is None or (adapter and adapter not in table):
        return None
    return agents.AgentReport(
        summary.entry,
        summary.incarnation,
        summary.counter,
        summary.availability_zone,
        summary.region,
        "",
        summary.http,
        kind,
        service=name if kind == bundles.SERVICE else "",
        serving={name: "", adapter: ""} if adapter else {name: ""},
        running=load.busy,
        slots=load.slots,
    )
