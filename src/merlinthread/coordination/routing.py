"""Which target gets a request: pure policies over reports that are old by their lag."""

import dataclasses
import random
from collections.abc import Callable

from merlinthread import registry
from merlinthread.coordination import agents

OTHER_ZONE_COST = 2.0
OTHER_REGION_COST = 6.0


@dataclasses.dataclass(slots=True)
class Requirements:
    """What a request needs of its target; `digest` is the model version, or empty for a service."""

    kind: str
    name: str
    adapter: str = ""
    prefix_key: str = ""
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that can serve, with what the entry itself has there right now.

    `mine` is how many requests this entry has in flight there beyond what the report counts.
    """

    report: agents.AgentReport
    mine: int

    def load(self) -> float:
        """Return requests waiting or running for each slot, with this entry's own added."""
        busy = self.report.running + self.report.queued + self.mine
        return busy / max(1, self.report.slots)


@dataclasses.dataclass(slots=True)
class Choice:
    """The chosen target and why."""

    report: agents.AgentReport
    reason: str


@dataclasses.dataclass(slots=True)
class Location:
    """Where the deciding entry is."""

    availability_zone: str
    region: str

    def distance_cost(self, report: agents.AgentReport) -> float:
        """Return what a target costs for being far, in units of load."""
        if report.availability_zone == self.availability_zone:
            return 0.0
        if report.region == self.region:
            return OTHER_ZONE_COST
        return OTHER_REGION_COST


Policy = Callable[[list[Candidate], Requirements, Location, random.Random], Choice]
POLICIES: registry.Registry[Policy] = registry.Registry("routing policy")


def can_serve(report: agents.AgentReport, wanted: Requirements) -> bool:
    """Return whether the target has what the request needs and takes new work."""
    if report.is_leaving or report.name in wanted.excluded or report.kind != wanted.kind:
        return False
    if wanted.kind == "service":
        return report.service == wanted.name
    return wanted.name in report.serving and (
        not wanted.adapter or wanted.adapter in report.serving
    )


def cost(candidate: Candidate, place: Location) -> float:
    """Return load plus distance; lower is better."""
    return candidate.load() + place.distance_cost(candidate.report)


@POLICIES.add("least_loaded")
def least_loaded(
    candidates: list[Candidate], wanted: Requirements, place: Location, rng: random.Random
) -> Choice:
    """Take the cheapest; the entry's own requests make up for the reports' lag."""
    best = min(candidates, key=lambda candidate: (cost(candidate, place), rng.random()))
    return Choice(best.report, f"least load {best.load():.2f}")


@POLICIES.add("two_choices")
def two_choices(
    candidates: list[Candidate], wanted: Requirements, place: Location, rng: random.Random
) -> Choice:
    """Take the cheaper of two drawn at random, nearest zone first (Mitzenmacher 2001)."""
    nearest = min(place.distance_cost(candidate.report) for candidate in candidates)
    near = [c for c in candidates if place.distance_cost(c.report) == nearest]
    drawn = rng.sample(near, min(2, len(near)))
    best = min(drawn, key=lambda candidate: cost(candidate, place))
    return Choice(best.report, f"better of {len(drawn)}, load {best.load():.2f}")


@POLICIES.add("random")
def at_random(
    candidates: list[Candidate], wanted: Requirements, place: Location, rng: random.Random
) -> Choice:
    """Take any; a baseline."""
    return Choice(rng.choice(candidates).report, "random")
