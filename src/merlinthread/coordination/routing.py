"""Routing policies: choose the target of a request from delayed agent reports."""

import dataclasses
import random
from collections.abc import Callable

from merlinthread import registry
from merlinthread.coordination import agents

OTHER_ZONE_COST = 2.0
OTHER_REGION_COST = 6.0


@dataclasses.dataclass(slots=True)
class Requirements:
    """The requirements of a request; `name` is that of its model or service."""

    kind: str
    name: str
    adapter: str = ""
    prefix_key: str = ""
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that can serve a request.

    `own_in_flight` is the number of this entry's requests in flight there that are not in `report`.
    """

    report: agents.AgentReport
    own_in_flight: int

    def load(self) -> float:
        """Return the number of queued and running requests per slot."""
        busy = self.report.running + self.report.queued + self.own_in_flight
        return busy / max(1, self.report.slots)


@dataclasses.dataclass(slots=True)
class Choice:
    """The report of the chosen target, and the reason for the choice."""

    report: agents.AgentReport
    reason: str


@dataclasses.dataclass(slots=True)
class Location:
    """The location of the entry that chooses."""

    availability_zone: str
    region: str

    def distance_cost(self, report: agents.AgentReport) -> float:
        """Return the cost of a target's distance, in units of load."""
        if report.availability_zone == self.availability_zone:
            return 0.0
        if report.region == self.region:
            return OTHER_ZONE_COST
        return OTHER_REGION_COST


Policy = Callable[[list[Candidate], Requirements, Location, random.Random], Choice]
POLICIES: registry.Registry[Policy] = registry.Registry("routing policy")


def can_serve(report: agents.AgentReport, requirements: Requirements) -> bool:
    """Return whether the target meets the requirements and accepts new requests."""
    if (
        report.is_leaving
        or report.name in requirements.excluded
        or report.kind != requirements.kind
    ):
        return False
    if requirements.kind == "service":
        return report.service == requirements.name
    return requirements.name in report.serving and (
        not requirements.adapter or requirements.adapter in report.serving
    )


def cost(candidate: Candidate, location: Location) -> float:
    """Return the load plus the cost of distance; lower is better."""
    return candidate.load() + location.distance_cost(candidate.report)


@POLICIES.add("least_loaded")
def least_loaded(
    candidates: list[Candidate], requirements: Requirements, location: Location, rng: random.Random
) -> Choice:
    """Choose the cheapest candidate, with ties broken at random."""
    best = min(candidates, key=lambda candidate: (cost(candidate, location), rng.random()))
    return Choice(best.report, f"least load {best.load():.2f}")


@POLICIES.add("two_choices")
def two_choices(
    candidates: list[Candidate], requirements: Requirements, location: Location, rng: random.Random
) -> Choice:
    """Choose the cheaper of two random candidates among the nearest (Mitzenmacher 2001)."""
    nearest = min(location.distance_cost(candidate.report) for candidate in candidates)
    near = [c for c in candidates if location.distance_cost(c.report) == nearest]
    sampled = rng.sample(near, min(2, len(near)))
    best = min(sampled, key=lambda candidate: cost(candidate, location))
    return Choice(best.report, f"better of {len(sampled)}, load {best.load():.2f}")


@POLICIES.add("random")
def choose_random(
    candidates: list[Candidate], requirements: Requirements, location: Location, rng: random.Random
) -> Choice:
    """Choose a candidate uniformly at random, as a baseline."""
    return Choice(rng.choice(candidates).report, "random")
