"""A rollout of weights in simulated time: the planner of the agents over modelled links.

Events on a heap, no sockets and no waiting: what `coordination.fetch_policies` decides is carried
out on links that send small parts one after the other, those of several transfers in turn. The time
at which each agent is whole is told as a multiple of the bound that the links set, beside how long
a request's packet waits at an engine's link meanwhile. Used by `python -m bench transfer` and by
tests.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import json
import random
from collections.abc import Callable

from merlinthread.coordination import fetch, fetch_claimed, fetch_policies, pacing
from merlinthread.nodes import piece_fetcher, piece_server
from merlinthread.transport import node_bus

# The modules whose decorators fill `fetch.POLICIES`.
POLICY_MODULES = (fetch_claimed, fetch_policies)
STEP_S = piece_fetcher.POLL_INTERVAL_S
# One way: within a zone, between regions (large site).
DELAY_S = (0.0005, 0.0005, 0.001)
# What a TCP connection sends at a time before another one has its turn.
QUANTUM_BYTES = node_bus.SEND_CHUNK_BYTES
LIMIT_S = 120.0
# A question for a piece and an answer without one, with the heads of HTTP, TCP and IP.
ASK_BYTES = 400
ANSWER_BYTES = 250
# A packet of a request or of an answer's event comes to each link this often, on average, and is
# this long: 4 requests a second with 14 events each (large site).
PACKET_EVERY_S = 0.016
PACKET_BYTES = 210


@dataclasses.dataclass(slots=True)
class Shape:
    """What is to be moved and over which links; rates in bytes a second. Large site by default."""

    agents: int = 60
    pieces: int = 96
    piece_bytes: int = 24_576
    link_rate: float = 456_250.0
    origin_rate: float = 912_500.0
    zones: int = 5
    # How many agents hold all pieces from the start: others have just joined.
    holders: int = 0
    seed: int = 1
    policy: str = "claimed"
    # By when all should be whole, in seconds: agents that will not be are late.
    due_s: float = float("inf")


@dataclasses.dataclass(slots=True)
class Fault:
    """What goes wrong, in seconds from the start; an agent's number, or -1 for none."""

    origin_down_from: float = float("inf")
    origin_down_to: float = float("inf")
    slow_agent: int = -1
    slow_rate: float = 0.0
    dead_agent: int = -1
    cut_zone: int = -1
    cut_to: float = 0.0


class Link:
    """A link that sends quanta one after the other; `waits` are those of requests' packets."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at = 0.0
        self.waits: list[float] = []

    def carry(self, size: int, now: float) -> float:
        """Return when `size` bytes handed over now are through."""
        self.free_at = max(self.free_at, now) + size / self.rate
        return self.free_at

    def carry_packet(self, now: float) -> None:
        """Carry a request's packet, and note how long it waited."""
        self.waits.append(max(0.0, self.free_at - now))
        self.carry(PACKET_BYTES, now)


class Agent:
    """One agent: its plan, its links, and its paces, which reckon with the links as told."""

    def __init__(self, number: int, shape: Shape, rate: float) -> None:
        self.name = f"vm-{number:04d}"
        self.zone = number % shape.zones
        self.link_in = Link(rate)
        self.link_out = Link(rate)
        self.incoming = pacing.Pacer(
            piece_fetcher.DOWNLOAD_SHARE * shape.link_rate, piece_fetcher.PACER_BURST_S
        )
        self.outgoing = pacing.FeedbackPacer(
            piece_server.UPLOAD_SHARE * shape.link_rate, 0.0, piece_server.UPLOAD_TARGET_S
        )
        self.took_s: dict[str, float] = {}
        self.plan = fetch.POLICIES.get(shape.policy)(
            self.name,
            "m@2",
            shape.pieces,
            0,
            piece_fetcher.ORIGIN_SLOTS,
            0.0,
            random.Random(shape.seed * 1000 + number),
        )
        self.plan.origin_grace_s = piece_fetcher.ORIGIN_GRACE_S
        self.plan.requests_per_peer = piece_fetcher.REQUESTS_PER_PEER
        self.plan.readers_max = fetch.origin_reader_count(shape.origin_rate, shape.link_rate)
        self.window = pacing.TransferWindow(
            piece_fetcher.TRANSFERS_MAX, piece_fetcher.TRANSFER_TARGET_S
        )
        self.rate = pacing.RecentRate(piece_fetcher.RATE_WINDOW_S)
        self.began: dict[int, float] = {}
        self.whole_at: float | None = None
        self.is_dead = False


class Rollout:
    """All agents, the origin, and what happens when."""

    def __init__(self, shape: Shape, fault: Fault, announces: bool = True) -> None:
        self.shape = shape
        self.fault = fault
        self.announces = announces
        self.rng = random.Random(shape.seed)
        self.now = 0.0
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.origin = Link(shape.origin_rate)
        self.counts: collections.Counter[str] = collections.Counter()
        self.agents: dict[str, Agent] = {}
        for number in range(shape.agents):
            rate = fault.slow_rate if number == fault.slow_agent else shape.link_rate
            agent = Agent(number, shape, rate)
            agent.is_dead = number == fault.dead_agent
            if number < shape.holders:
                agent.plan.held = agent.plan.all_chunks
                agent.whole_at = 0.0
            self.agents[agent.name] = agent
        for agent in self.agents.values():
            agent.plan.set_peers(
                [
                    fetch.Peer(o.name, o.name, self.distance(agent, o), f"zone-{o.zone}")
                    for o in self.agents.values()
                    if o is not agent
                ]
            )
            readers = min(shape.agents, agent.plan.readers_max)
            agent.plan.extra_read_interval_s = readers * shape.piece_bytes / shape.origin_rate

    def distance(self, one: Agent, other: Agent) -> int:
        """Return the distance between two agents."""
        return fetch.SAME_ZONE if one.zone == other.zone else fetch.OTHER_REGION

    def at(self, when: float, do: Callable[[], None]) -> None:
        """Let something happen at a time."""
        heapq.heappush(self.events, (when, next(self.numbers), do))

    def run(self) -> "Rollout":
        """Play until all agents are whole, or too long."""
        for agent in self.agents.values():
            if not agent.is_dead:
                self.at(self.rng.uniform(0.0, STEP_S), lambda agent=agent: self.tick(agent))
                self.at(0.0, lambda agent=agent: self.request(agent))
        while self.events and self.now < LIMIT_S:
            self.now, _, do = heapq.heappop(self.events)
            do()
            if self.is_over():
                break
        return self

    def is_over(self) -> bool:
        """Return whether all agents are whole, but for the dead ones."""
        return all(a.whole_at is not None or a.is_dead for a in self.agents.values())

    def request(self, agent: Agent) -> None:
        """Let a request's packets pass both of an agent's links, again and again."""
        agent.link_in.carry_packet(self.now)
        agent.link_out.carry_packet(self.now)
        if not self.is_over():
            wait_s = self.rng.expovariate(1 / PACKET_EVERY_S)
            self.at(self.now + wait_s, lambda: self.request(agent))

    def tick(self, agent: Agent) -> None:
        """Let an agent look for work, again and again."""
        agent.rate.record(agent.plan.held.bit_count(), self.now)
        agent.plan.is_late = self.is_late(agent)
        self.work(agent)
        if agent.whole_at is None:
            self.at(self.now + STEP_S, lambda: self.tick(agent))

    def is_late(self, agent: Agent) -> bool:
        """Return whether an agent will not be whole in time at the rate seen so far."""
        if self.now < piece_fetcher.RATE_WARMUP_S:
            return False
        missing = self.shape.pieces - agent.plan.held.bit_count()
        return self.now + missing / max(agent.rate.per_s(), 1.0) > self.shape.due_s

    def work(self, agent: Agent) -> None:
        """Begin what the plan says, as long as the pace allows."""
        plan = agent.plan
        while agent.window.has_room(plan.open_requests.total() + plan.origin_reads):
            if agent.incoming.wait_s(self.now):
                return
            action = plan.next_action(self.now)
            if action is None:
                return
            plan.on_action_started(action)
            agent.began[id(action)] = self.now
            agent.incoming.reserve(self.shape.piece_bytes, self.now)
            if isinstance(action, fetch.OriginRead):
                self.claim(agent, action)
                self.read_origin(agent, action)
            else:
                self.ask(agent, action)

    def end(self, agent: Agent, action: fetch.Action, index: int) -> None:
        """Close an action that brought the piece `index`, or none (-1)."""
        plan = agent.plan
        plan.on_action_finished(action)
        took_s = self.now - agent.began.pop(id(action))
        if index < 0:
            agent.incoming.cancel_reservation(self.shape.piece_bytes)
        else:
            if isinstance(action, fetch.PeerRequest):
                agent.took_s[action.peer] = took_s
                agent.window.record(took_s, self.now)
            plan.on_chunk_received(index, isinstance(action, fetch.OriginRead), self.now)
            self.announce(agent, action, index)
        if plan.is_complete() and agent.whole_at is None:
            agent.whole_at = self.now
        self.work(agent)

    def announce(self, agent: Agent, action: fetch.Action, index: int) -> None:
        """Tell those whom it concerns of a piece."""
        if not self.announces:
            return
        for name in agent.plan.announcement_recipients(action):
            other = self.agents[name]
            self.counts["announced"] += 1
            when = self.now + DELAY_S[self.distance(agent, other)]
            self.at(when, lambda other=other: other.plan.on_announcement(agent.name, index))

    def claim(self, agent: Agent, action: fetch.OriginRead) -> None:
        """Tell other readers which piece is being read."""
        for name in agent.plan.claim_recipients():
            other = self.agents[name]
            when = self.now + DELAY_S[self.distance(agent, other)]
            self.at(when, lambda other=other: other.plan.on_claim(action.index, self.now))

    def is_cut(self, zone: int) -> bool:
        """Return whether a zone can't be reached from the others now."""
        return zone == self.fault.cut_zone and self.now < self.fault.cut_to

    def are_apart(self, one: int, other: int) -> bool:
        """Return whether two zones can't reach each other now."""
        return one != other and (self.is_cut(one) or self.is_cut(other))

    def read_origin(self, agent: Agent, action: fetch.OriginRead) -> None:
        """Read a piece from the origin, which stands in zone 0."""
        delay = DELAY_S[0 if agent.zone == 0 else 2]
        is_down = self.fault.origin_down_from <= self.now < self.fault.origin_down_to
        if is_down or self.are_apart(agent.zone, 0):
            self.at(self.now + 2 * delay + 0.02, lambda: self.refused(agent, action))
            return
        self.counts["origin"] += 1
        self.counts["crossed"] += agent.zone != 0
        self.at(
            self.now + delay,
            lambda: self.send(
                self.origin, agent, delay, 0, 0.0, lambda: self.end(agent, action, action.index)
            ),
        )

    def refused(self, agent: Agent, action: fetch.OriginRead) -> None:
        """Note that the origin gave nothing."""
        agent.plan.on_origin_failed(self.now, piece_fetcher.ORIGIN_RETRY_DELAY_S, action.index)
        self.end(agent, action, -1)

    def send(
        self,
        link: Link,
        agent: Agent,
        delay: float,
        sent: int,
        gap_s: float,
        done: Callable[[], None],
    ) -> None:
        """Send the next part of a piece; each leaves `gap_s` after the one before, or after it."""
        size = min(QUANTUM_BYTES, self.shape.piece_bytes - sent)
        through = link.carry(size, self.now)
        left = sent + size
        if left >= self.shape.piece_bytes:
            self.at(through + delay, lambda: self.at(agent.link_in.carry(size, self.now), done))
            return
        self.at(through + delay, lambda: agent.link_in.carry(size, self.now) and None)
        # A window of TCP holds a whole piece: its sender does not notice that its link is slow.
        when = self.now + gap_s if gap_s else through
        self.at(when, lambda: self.send(link, agent, delay, left, gap_s, done))

    def ask(self, agent: Agent, action: fetch.PeerRequest) -> None:
        """Ask a peer for a piece."""
        peer = self.agents[action.peer]
        delay = DELAY_S[self.distance(agent, peer)]
        if peer.is_dead or self.are_apart(agent.zone, peer.zone):
            wait_s = 2 * delay if peer.is_dead else piece_fetcher.PEER_TIMEOUT_S
            self.at(self.now + wait_s, lambda: self.failed(agent, action))
            return
        held = agent.plan.held
        left = agent.link_out.carry(ASK_BYTES, self.now)
        self.at(left + delay, lambda: self.give(agent, peer, action, held, delay))

    def failed(self, agent: Agent, action: fetch.PeerRequest) -> None:
        """Note that a peer did not answer."""
        agent.plan.on_peer_failed(action.peer, self.now)
        self.end(agent, action, -1)

    def give(
        self, agent: Agent, peer: Agent, action: fetch.PeerRequest, held: int, delay: float
    ) -> None:
        """Let a peer answer."""
        peer.plan.on_peer_report(agent.name, held, self.now)
        if agent.took_s.get(peer.name):
            peer.outgoing.record(agent.name, agent.took_s.pop(peer.name))
        wanted = fetch.bit_positions(action.wanted & peer.plan.held)
        told = peer.plan.held
        free_in_s = peer.outgoing.wait_s(self.now) if wanted else 0.0
        if not wanted or free_in_s > piece_server.UPLOAD_WAIT_MAX_S:
            left = peer.link_out.carry(ANSWER_BYTES, self.now)
            self.at(left + delay, lambda: self.nothing(agent, action, told, free_in_s))
            return
        index = self.rng.choice(wanted)
        start = self.now + peer.outgoing.reserve(self.shape.piece_bytes, self.now)
        self.counts["crossed"] += agent.zone != peer.zone
        gap_s = QUANTUM_BYTES / peer.outgoing.bytes_per_s

        def done() -> None:
            agent.plan.on_peer_report(action.peer, told, self.now)
            self.end(agent, action, index)

        self.at(start, lambda: self.send(peer.link_out, agent, delay, 0, gap_s, done))

    def nothing(self, agent: Agent, action: fetch.PeerRequest, told: int, free_in_s: float) -> None:
        """Note that a peer is busy for so long, or (0) has nothing of what was asked."""
        self.counts["in vain"] += 1
        agent.plan.on_peer_report(action.peer, told, self.now)
        if free_in_s:
            agent.plan.on_peer_busy(action.peer, self.now, free_in_s)
        else:
            agent.plan.on_peer_empty(action.peer, self.now)
        self.end(agent, action, -1)

    def bound_s(self) -> float:
        """Return the least time that the links allow without a fault."""
        shape = self.shape
        size = shape.pieces * shape.piece_bytes
        together = shape.origin_rate + (shape.agents - 1) * shape.link_rate
        return max(size / shape.origin_rate, size / shape.link_rate, shape.agents * size / together)

    def figures(self) -> dict[str, float]:
        """Return when agents were whole against the bound, copies, and the waits of requests."""
        whole = [a.whole_at for a in self.agents.values() if a.whole_at and not a.is_dead]
        times = sorted(whole) + [LIMIT_S] * (not self.is_over())
        waits = sorted(
            wait for a in self.agents.values() for wait in a.link_in.waits + a.link_out.waits
        )
        links = [link for a in self.agents.values() for link in (a.link_in, a.link_out)]
        slowest = max(sum(link.waits) / max(1, len(link.waits)) for link in links)
        bound = self.bound_s()
        return {
            "bound_s": round(bound, 2),
            "half_s": round(times[len(times) // 2], 2),
            "first": round(times[0] / bound, 2),
            "half": round(times[len(times) // 2] / bound, 2),
            "last": round(times[-1] / bound, 2),
            "origin_copies": round(self.counts["origin"] / self.shape.pieces, 2),
            "crossed_copies": round(self.counts["crossed"] / self.shape.pieces, 2),
            "asked_in_vain": self.counts["in vain"],
            "request_wait_ms_p50": round(1000 * waits[len(waits) // 2], 1),
            "request_wait_ms_p95": round(1000 * waits[int(0.95 * (len(waits) - 1))], 1),
            "request_wait_ms_worst_link": round(1000 * slowest, 1),
        }


FAULTS = {
    "none": Fault(),
    "origin down 2.5 to 8.5 s": Fault(2.5, 8.5),
    "a slow agent": Fault(slow_agent=1, slow_rate=119_000.0),
    "a lost agent": Fault(dead_agent=1),
    "a zone cut off for 3 s": Fault(cut_zone=1, cut_to=3.0),
    "the origin's zone cut off for 3 s": Fault(cut_zone=0, cut_to=3.0),
}


def main(argv: list[str]) -> None:
    """Print the figures of rollouts of several sizes under each fault; the last line is JSON."""
    parser = argparse.ArgumentParser(prog="bench transfer", description=__doc__)
    parser.add_argument("--agents", type=int, nargs="*", default=[10, 60, 102])
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--fault", choices=sorted(FAULTS), help="only this one")
    parser.add_argument("--policy", choices=["claimed", "zoned"], default="claimed")
    parser.add_argument("--origin-mbps", type=float, default=7.3, help="the origin's link")
    parser.add_argument("--zones", type=int, default=5)
    parser.add_argument("--due", type=float, default=float("inf"), help="seconds until all are due")
    options = parser.parse_args(argv)
    worst = 0.0
    for count in options.agents:
        for name in [options.fault] if options.fault else FAULTS:
            for seed in range(1, options.seeds + 1):
                shape = Shape(
                    agents=count,
                    origin_rate=options.origin_mbps * 1e6 / 8,
                    zones=options.zones,
                    seed=seed,
                    policy=options.policy,
                    due_s=options.due,
                )
                found = Rollout(shape, FAULTS[name]).run().figures()
                worst = max(worst, found["last"])
                print(f"{count} agents, {name}, seed {seed}: {found}", flush=True)
    print(json.dumps({"bench": "transfer", "worst_of_bound": worst}))
