"""Load summaries that entries exchange: totals by model instead of one report per agent.

An entry of another zone forwards a request to the summarised entry, which selects the target.
The exchanged data grows with the number of entries and models, not of agents.
"""

import dataclasses

import blake3

from merlinthread.coordination import agents, bundles

SUMMARIES_PER_ZONE = 4


@dataclasses.dataclass(slots=True)
class Load:
    """Total slots, and those in use, of the targets of one entry that serve one name."""

    slots: int
    busy: int


@dataclasses.dataclass(slots=True)
class Summary:
    """The load of the targets that one entry can reach.

    `counter` increases with each summary of one `incarnation`. `engines` is keyed by model or
    adapter name, `services` by service name.
    """

    entry: str
    incarnation: int
    counter: int
    availability_zone: str
    region: str
    http: str
    engines: dict[str, Load] = dataclasses.field(default_factory=dict)
    services: dict[str, Load] = dataclasses.field(default_factory=dict)

    def sort_key(self) -> tuple[int, int]:
        """Return a sort key that increases with each summary of the same entry."""
        return (self.incarnation, self.counter)


def add_load(table: dict[str, Load], name: str, report: agents.AgentReport) -> None:
    """Add the slots and the load of a target to the totals of `name`."""
    load = table.setdefault(name, Load(0, 0))
    load.slots += report.slots
    load.busy += report.running + report.queued


def add_reports(summary: Summary, reports: list[agents.AgentReport]) -> Summary:
    """Add the load of all targets that accept new work to `summary`, and return it."""
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
class ReceivedSummary:
    """A summary and the time of its arrival on the receiver's clock."""

    summary: Summary
    received_at: float


class SummaryTable:
    """The latest summaries of some of the other entries.

    Keeps at most `per_zone` entries of each availability zone, which bounds memory and message
    size. They are selected by a rendezvous hash that differs between receivers, so that every
    entry is likely to be known to some receiver.
    """

    def __init__(
        self, own_name: str, lost_after_s: float, per_zone: int = SUMMARIES_PER_ZONE
    ) -> None:
        self.own_name = own_name
        self.lost_after_s = lost_after_s
        self.per_zone = per_zone
        self.received: dict[str, ReceivedSummary] = {}

    def add(self, summary: Summary, now: float) -> bool:
        """Store a summary; return False if a summary at least as new is known."""
        known = self.received.get(summary.entry)
        if known and summary.sort_key() <= known.summary.sort_key():
            return False
        self.received[summary.entry] = ReceivedSummary(summary, now)
        self.evict_excess(summary.availability_zone, now)
        return True

    def evict_excess(self, zone: str, now: float) -> None:
        """Evict entries of a zone beyond `per_zone`, lost ones first, then by rendezvous hash."""
        names = [n for n, r in self.received.items() if r.summary.availability_zone == zone]
        if len(names) <= self.per_zone:
            return
        names.sort(key=lambda name: (self.is_lost(name, now), self.rendezvous_hash(name)))
        for name in names[self.per_zone :]:
            del self.received[name]

    def is_lost(self, name: str, now: float) -> bool:
        """Return whether the last summary of an entry is `lost_after_s` old or older."""
        return now - self.received[name].received_at >= self.lost_after_s

    def rendezvous_hash(self, name: str) -> bytes:
        """Return the hash that orders entries for this receiver."""
        return blake3.blake3(f"{self.own_name} {name}".encode()).digest(8)

    def live(self, now: float) -> list[Summary]:
        """Return the summaries of all entries that are not lost."""
        return [r.summary for name, r in self.received.items() if not self.is_lost(name, now)]


def as_target(summary: Summary, kind: str, name: str, adapter: str) -> agents.AgentReport | None:
    """Return the entry as a target for a request, or None if it reaches no suitable target."""
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
