"""A rollout in simulated time: the planner of the platform's agents over modelled links.

Events on a heap, no sockets and no waiting: what `coordination.fetch_policies` decides is carried
out on links with a rate and a delay, and the time at which each agent is whole is compared with
the bound that the links set. Used by `bench transfer` and by tests.
"""

import argparse
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from merlinthread.coordination import fetch, fetch_policies, pacing
from merlinthread.nodes import weights_copy, weights_giver

REGIONS = 3
STEP_S = weights_copy.IDLE_WAIT_S
# One way, as in the deployments of today: within a zone, between regions.
DELAY_S = (0.0002, 0.0014, 0.0028)
LIMIT_S = 120.0


@dataclasses.dataclass(slots=True)
class Shape:
    """What is to be moved and over which links; rates in bytes a second."""

    agents: int = 10
    pieces: int = 64
    piece_bytes: int = 32768
    link_rate: float = 475_000.0
    origin_rate: float = 1_237_500.0
    regions: int = REGIONS


@dataclasses.dataclass(slots=True)
class Fault:
    """What goes wrong, in seconds from the start; an agent's number, or -1 for none."""

    origin_down_from: float = float("inf")
    origin_down_to: float = float("inf")
    slow_agent: int = -1
    slow_rate: float = 0.0
    dead_agent: int = -1
    cut_region: int = -1
    cut_to: float = 0.0


class Link:
    """A link that carries one transfer after the other."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at = 0.0

    def carry(self, size: int, now: float) -> float:
        """Return when `size` bytes handed over now are through."""
        self.free_at = max(self.free_at, now) + size / self.rate
        return self.free_at


class Agent:
    """One agent: its plan, its links, its paces."""

    def __init__(self, name: str, region: int, shape: Shape, rate: float, seed: int) -> None:
        self.name = name
        self.region = region
        self.link_in = Link(rate)
        self.link_out = Link(rate)
        self.incoming = pacing.Pacer(weights_copy.IN_SHARE * rate, weights_copy.AHEAD_S)
        self.outgoing = pacing.Pacer(weights_giver.OUT_SHARE * rate, 0.0)
        self.plan = fetch_policies.Zoned(
            name, "m@2", shape.pieces, 0, weights_copy.ORIGIN_SLOTS, 0.0, random.Random(seed)
        )
        weights_copy.set_up(self.plan)
        self.whole_at: float | None = None
        self.is_dead = False


class Rollout:
    """All agents, the origin, and what happens when."""

    def __init__(self, shape: Shape, fault: Fault, seed: int = 1) -> None:
        self.shape = shape
        self.fault = fault
        self.rng = random.Random(seed)
        self.now = 0.0
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.origin = Link(shape.origin_rate)
        self.origin_pieces = 0
        self.crossed = 0
        self.agents: dict[str, Agent] = {}
        for number in range(shape.agents):
            rate = fault.slow_rate if number == fault.slow_agent else shape.link_rate
            name = f"vm-{number:04d}"
            region = number % shape.regions
            self.agents[name] = Agent(name, region, shape, rate, seed * 1000 + number)
        if fault.dead_agent >= 0:
            self.agents[f"vm-{fault.dead_agent:04d}"].is_dead = True
        for agent in self.agents.values():
            self.introduce(agent)

    def introduce(self, agent: Agent) -> None:
        """Tell an agent who the others are and which of them read the origin."""
        peers = [
            fetch.Peer(other.name, other.name, self.distance(agent, other))
            for other in self.agents.values()
            if other is not agent
        ]
        near = [other.name for other in self.agents.values() if other.region == 0]
        readers = fetch_policies.origin_readers(
            near, sorted(self.agents), self.shape.link_rate, self.shape.origin_rate
        )
        agent.plan.set_readers(readers)
        agent.plan.origin_span_s = (
            self.shape.pieces * self.shape.piece_bytes / self.shape.origin_rate
        )
        agent.plan.set_peers(peers)

    def distance(self, one: Agent, other: Agent) -> int:
        """Return the distance between two agents."""
        return fetch.OWN_ZONE if one.region == other.region else fetch.FAR

    def at(self, when: float, do: Callable[[], None]) -> None:
        """Let something happen at a time."""
        heapq.heappush(self.events, (when, next(self.numbers), do))

    def run(self) -> "Rollout":
        """Play until all agents are whole, or too long."""
        for agent in self.agents.values():
            if not agent.is_dead:
                self.at(self.rng.uniform(0.0, STEP_S), lambda agent=agent: self.tick(agent))
        while self.events and self.now < LIMIT_S:
            self.now, _, do = heapq.heappop(self.events)
            do()
            if all(a.whole_at is not None or a.is_dead for a in self.agents.values()):
                break
        return self

    def tick(self, agent: Agent) -> None:
        """Let an agent look for work, again and again."""
        self.work(agent)
        if agent.whole_at is None:
            self.at(self.now + STEP_S, lambda: self.tick(agent))

    def work(self, agent: Agent) -> None:
        """Begin what the plan says, as long as the pace allows."""
        while not agent.incoming.wait_s(self.now):
            agent.plan.may_ask = agent.plan.asking.total() < weights_copy.PARALLEL
            action = agent.plan.next_action(self.now)
            if action is None:
                return
            agent.plan.began(action)
            agent.incoming.reserve(self.shape.piece_bytes, self.now)
            if isinstance(action, fetch.FromOrigin):
                self.read_origin(agent, action)
            else:
                self.ask(agent, action)

    def end(self, agent: Agent, action: fetch.Action, is_moved: bool) -> None:
        """Close an action."""
        agent.plan.ended(action)
        if not is_moved:
            agent.incoming.give_back(self.shape.piece_bytes)
        if agent.plan.is_complete() and agent.whole_at is None:
            agent.whole_at = self.now
        self.work(agent)

    def is_cut(self, region: int) -> bool:
        """Return whether a region can't be reached from the others now."""
        return region == self.fault.cut_region and self.now < self.fault.cut_to

    def read_origin(self, agent: Agent, action: fetch.FromOrigin) -> None:
        """Read a piece from the origin, which stands in region 0."""
        delay = DELAY_S[0 if agent.region == 0 else 2]
        is_down = self.fault.origin_down_from <= self.now < self.fault.origin_down_to
        if is_down or (agent.region and (self.is_cut(agent.region) or self.is_cut(0))):

            def fail() -> None:
                agent.plan.origin_failed(self.now, weights_copy.ORIGIN_WAIT_S, action.index)
                self.end(agent, action, False)

            self.at(self.now + 2 * delay + 0.02, fail)
            return
        sent = self.origin.carry(self.shape.piece_bytes, self.now + delay)
        self.origin_pieces += 1
        self.crossed += agent.region != 0
        arrived = agent.link_in.carry(self.shape.piece_bytes, self.now + delay)

        def done() -> None:
            agent.plan.got(action.index, True, self.now)
            self.end(agent, action, True)

        self.at(max(sent, arrived) + delay, done)

    def ask(self, agent: Agent, action: fetch.FromPeer) -> None:
        """Ask a peer for a piece."""
        peer = self.agents[action.peer]
        delay = DELAY_S[0 if peer.region == agent.region else 2]
        is_apart = peer.region != agent.region and (
            self.is_cut(peer.region) or self.is_cut(agent.region)
        )
        if peer.is_dead or is_apart:

            def fail() -> None:
                agent.plan.peer_failed(action.peer, self.now)
                self.end(agent, action, False)

            self.at(self.now + (2 * delay if peer.is_dead else weights_copy.PEER_TIMEOUT_S), fail)
            return
        held = agent.plan.held
        self.at(self.now + delay, lambda: self.give(agent, peer, action, held, delay))

    def give(
        self, agent: Agent, peer: Agent, action: fetch.FromPeer, held: int, delay: float
    ) -> None:
        """Let a peer answer."""
        peer.plan.heard(agent.name, held, self.now)
        wanted = fetch.bits(action.wanted & peer.plan.held)
        told = peer.plan.held
        is_busy = bool(wanted) and (
            peer.outgoing.wait_s(self.now) > weights_giver.UPLOAD_WAIT_S_MAX
        )
        if not wanted or is_busy:

            def nothing() -> None:
                agent.plan.heard(action.peer, told, self.now)
                if is_busy:
                    agent.plan.peer_busy(action.peer, self.now)
                else:
                    agent.plan.peer_empty(action.peer, self.now)
                self.end(agent, action, False)

            self.at(self.now + delay, nothing)
            return
        index = self.rng.choice(wanted)
        start = self.now + peer.outgoing.reserve(self.shape.piece_bytes, self.now)
        sent = peer.link_out.carry(self.shape.piece_bytes, start)
        arrived = agent.link_in.carry(self.shape.piece_bytes, start + delay)
        self.crossed += agent.region != peer.region

        def done() -> None:
            agent.plan.heard(action.peer, told, self.now)
            agent.plan.got(index, False, self.now)
            self.end(agent, action, True)

        self.at(max(sent + delay, arrived), done)

    def bound_s(self) -> float:
        """Return the least time that the links allow without a fault."""
        size = self.shape.pieces * self.shape.piece_bytes
        count = self.shape.agents
        together = (
            count * size / (self.shape.origin_rate + (count - 1) * self.shape.link_rate)
            if count > 1
            else 0.0
        )
        return max(size / self.shape.origin_rate, size / self.shape.link_rate, together)

    def figures(self) -> dict[str, float]:
        """Return when the first, half and the last were whole against the bound, and copies."""
        times = sorted(a.whole_at or LIMIT_S for a in self.agents.values() if not a.is_dead)
        bound = self.bound_s()
        return {
            "bound_s": round(bound, 2),
            "first": round(times[0] / bound, 2),
            "half": round(times[len(times) // 2] / bound, 2),
            "last": round(times[-1] / bound, 2),
            "origin_copies": round(self.origin_pieces / self.shape.pieces, 2),
            "crossed_copies": round(self.crossed / self.shape.pieces, 2),
        }


FAULTS = {
    "none": Fault(),
    "origin down 2.5 to 8.5 s": Fault(2.5, 8.5),
    "a slow agent": Fault(slow_agent=1, slow_rate=119_000.0),
    "a slow agent beside the origin": Fault(slow_agent=0, slow_rate=119_000.0),
    "a lost agent": Fault(dead_agent=1),
    "a lost agent beside the origin": Fault(dead_agent=0),
    "a region cut off for 3 s": Fault(cut_region=1, cut_to=3.0),
    "the origin's region cut off for 3 s": Fault(cut_region=0, cut_to=3.0),
}


def main(argv: list[str]) -> None:
    """Print the figures of rollouts of several sizes under each fault."""
    parser = argparse.ArgumentParser(prog="bench transfer", description=__doc__)
    parser.add_argument("--agents", type=int, nargs="*", default=[6, 10, 25, 100])
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args(argv)
    for count in options.agents:
        for name, fault in FAULTS.items():
            for seed in range(1, options.seeds + 1):
                found = Rollout(Shape(agents=count), fault, seed).run().figures()
                print(f"{count} agents, {name}, seed {seed}: {found}", flush=True)
