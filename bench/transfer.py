"""Discrete-event simulation of the distribution of weights, for `python -m bench transfer`.

The agents' fetch policies run over modelled links, on which concurrent transfers share the link in
small parts. Reports when agents complete, as a multiple of the lower bound that the links set, and
how long packets of requests wait at the agents' links meanwhile.
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

# Imported for their decorators, which register the policies.
POLICY_MODULES = (fetch_claimed, fetch_policies)
STEP_S = piece_fetcher.POLL_INTERVAL_S
# One-way delays by distance (fetch.SAME_ZONE to fetch.OTHER_REGION).
DELAY_S = (0.0005, 0.0005, 0.001)
# How much a TCP connection sends before the next connection of the link sends.
QUANTUM_BYTES = node_bus.SEND_CHUNK_BYTES
TIME_LIMIT_S = 120.0
# A request for a piece and a reply without one, with HTTP, TCP and IP headers.
REQUEST_BYTES = 400
EMPTY_REPLY_BYTES = 250
# Mean interval and size of the packets of requests and events at each link: 4 requests per second
# with 14 events each.
PACKET_INTERVAL_S = 0.016
PACKET_BYTES = 210


@dataclasses.dataclass(slots=True)
class Shape:
    """Size of the fleet and of the weights, and link rates in bytes per second."""

    agents: int = 60
    pieces: int = 96
    piece_bytes: int = 24_576
    link_rate: float = 456_250.0
    origin_rate: float = 912_500.0
    zones: int = 5
    # Number of agents that hold all pieces from the start.
    holders: int = 0
    seed: int = 1
    policy: str = "claimed"
    # Deadline for all agents; those that are predicted to miss it are late.
    due_s: float = float("inf")


@dataclasses.dataclass(slots=True)
class Fault:
    """A fault; times are in seconds from the start, and -1 means no agent or zone."""

    origin_down_from: float = float("inf")
    origin_down_until: float = float("inf")
    slow_agent: int = -1
    slow_rate: float = 0.0
    lost_agent: int = -1
    partitioned_zone: int = -1
    partitioned_until: float = 0.0


class Link:
    """A FIFO link of a given rate; `waits` are the queueing delays of request packets."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at = 0.0
        self.waits: list[float] = []

    def transmit(self, size: int, now: float) -> float:
        """Queue `size` bytes; return when they are transmitted."""
        self.free_at = max(self.free_at, now) + size / self.rate
        return self.free_at

    def transmit_packet(self, now: float) -> None:
        """Queue a request packet and record its queueing delay."""
        self.waits.append(max(0.0, self.free_at - now))
        self.transmit(PACKET_BYTES, now)


class Agent:
    """An agent: its fetch plan, its links, and pacers for the nominal link rate."""

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
        self.transfer_times: dict[str, float] = {}
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
        self.started_at: dict[int, float] = {}
        self.completed_at: float | None = None
        self.is_lost = False


class Simulation:
    """A simulation: all agents, the origin, and the event queue."""

    def __init__(self, shape: Shape, fault: Fault, announces: bool = True) -> None:
        self.shape = shape
        self.fault = fault
        self.announces = announces
        self.rng = random.Random(shape.seed)
        self.now = 0.0
        self.event_numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.origin = Link(shape.origin_rate)
        self.counts: collections.Counter[str] = collections.Counter()
        self.agents: dict[str, Agent] = {}
        for number in range(shape.agents):
            rate = fault.slow_rate if number == fault.slow_agent else shape.link_rate
            agent = Agent(number, shape, rate)
            agent.is_lost = number == fault.lost_agent
            if number < shape.holders:
                agent.plan.held = agent.plan.all_chunks
                agent.completed_at = 0.0
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

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (when, next(self.event_numbers), callback))

    def run(self) -> "Simulation":
        """Run until all agents are complete, or TIME_LIMIT_S of simulated time have passed."""
        for agent in self.agents.values():
            if not agent.is_lost:
                self.schedule(self.rng.uniform(0.0, STEP_S), lambda agent=agent: self.step(agent))
                self.schedule(0.0, lambda agent=agent: self.send_request_packets(agent))
        while self.events and self.now < TIME_LIMIT_S:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
            if self.is_finished():
                break
        return self

    def is_finished(self) -> bool:
        """Return whether all live agents are complete."""
        return all(a.completed_at is not None or a.is_lost for a in self.agents.values())

    def send_request_packets(self, agent: Agent) -> None:
        """Queue request packets at both links of an agent, and schedule the next ones."""
        agent.link_in.transmit_packet(self.now)
        agent.link_out.transmit_packet(self.now)
        if not self.is_finished():
            wait_s = self.rng.expovariate(1 / PACKET_INTERVAL_S)
            self.schedule(self.now + wait_s, lambda: self.send_request_packets(agent))

    def step(self, agent: Agent) -> None:
        """Run the agent's periodic step and schedule the next one."""
        agent.rate.record(agent.plan.held.bit_count(), self.now)
        agent.plan.is_late = self.is_late(agent)
        self.start_actions(agent)
        if agent.completed_at is None:
            self.schedule(self.now + STEP_S, lambda: self.step(agent))

    def is_late(self, agent: Agent) -> bool:
        """Return whether an agent will miss the deadline at its recent rate."""
        if self.now < piece_fetcher.RATE_WARMUP_S:
            return False
        missing = self.shape.pieces - agent.plan.held.bit_count()
        return self.now + missing / max(agent.rate.per_s(), 1.0) > self.shape.due_s

    def start_actions(self, agent: Agent) -> None:
        """Start actions of the agent's plan as far as its window and pacer allow."""
        plan = agent.plan
        while agent.window.has_room(plan.open_requests.total() + plan.origin_reads):
            if agent.incoming.wait_s(self.now):
                return
            action = plan.next_action(self.now)
            if action is None:
                return
            plan.on_action_started(action)
            agent.started_at[id(action)] = self.now
            agent.incoming.reserve(self.shape.piece_bytes, self.now)
            if isinstance(action, fetch.OriginRead):
                self.send_claim(agent, action)
                self.read_origin(agent, action)
            else:
                self.request_piece(agent, action)

    def finish_action(self, agent: Agent, action: fetch.Action, index: int) -> None:
        """Finish an action that fetched the piece `index`, or failed if it is -1."""
        plan = agent.plan
        plan.on_action_finished(action)
        took_s = self.now - agent.started_at.pop(id(action))
        if index < 0:
            agent.incoming.cancel_reservation(self.shape.piece_bytes)
        else:
            if isinstance(action, fetch.PeerRequest):
                agent.transfer_times[action.peer] = took_s
                agent.window.record(took_s, self.now)
            plan.on_chunk_received(index, isinstance(action, fetch.OriginRead), self.now)
            self.announce(agent, action, index)
        if plan.is_complete() and agent.completed_at is None:
            agent.completed_at = self.now
        self.start_actions(agent)

    def announce(self, agent: Agent, action: fetch.Action, index: int) -> None:
        """Announce a fetched piece to the recipients that the plan selects."""
        if not self.announces:
            return
        for name in agent.plan.announcement_recipients(action):
            other = self.agents[name]
            self.counts["announced"] += 1
            when = self.now + DELAY_S[self.distance(agent, other)]
            self.schedule(when, lambda other=other: other.plan.on_announcement(agent.name, index))

    def send_claim(self, agent: Agent, action: fetch.OriginRead) -> None:
        """Send the claim of a piece to other readers of the origin."""
        for name in agent.plan.claim_recipients():
            other = self.agents[name]
            when = self.now + DELAY_S[self.distance(agent, other)]
            self.schedule(when, lambda other=other: other.plan.on_claim(action.index, self.now))

    def is_partitioned(self, zone: int) -> bool:
        """Return whether a zone is partitioned now."""
        return zone == self.fault.partitioned_zone and self.now < self.fault.partitioned_until

    def are_separated(self, one: int, other: int) -> bool:
        """Return whether a partition separates two zones now."""
        return one != other and (self.is_partitioned(one) or self.is_partitioned(other))

    def read_origin(self, agent: Agent, action: fetch.OriginRead) -> None:
        """Read a piece from the origin, which is in zone 0."""
        delay = DELAY_S[0 if agent.zone == 0 else 2]
        is_down = self.fault.origin_down_from <= self.now < self.fault.origin_down_until
        if is_down or self.are_separated(agent.zone, 0):
            self.schedule(self.now + 2 * delay + 0.02, lambda: self.on_origin_failed(agent, action))
            return
        self.counts["origin"] += 1
        self.counts["crossed"] += agent.zone != 0
        self.schedule(
            self.now + delay,
            lambda: self.send(
                self.origin,
                agent,
                delay,
                0,
                0.0,
                lambda: self.finish_action(agent, action, action.index),
            ),
        )

    def on_origin_failed(self, agent: Agent, action: fetch.OriginRead) -> None:
        """Handle a failed read from the origin."""
        agent.plan.on_origin_failed(self.now, piece_fetcher.ORIGIN_RETRY_DELAY_S, action.index)
        self.finish_action(agent, action, -1)

    def send(
        self,
        link: Link,
        agent: Agent,
        delay: float,
        sent: int,
        gap_s: float,
        on_done: Callable[[], None],
    ) -> None:
        """Send the next part of a piece, and schedule the one after it.

        Parts are spaced by `gap_s`; if it is 0, each part follows when the previous one is sent.
        """
        size = min(QUANTUM_BYTES, self.shape.piece_bytes - sent)
        sent_at = link.transmit(size, self.now)
        sent_after = sent + size
        if sent_after >= self.shape.piece_bytes:
            self.schedule(
                sent_at + delay,
                lambda: self.schedule(agent.link_in.transmit(size, self.now), on_done),
            )
            return
        self.schedule(sent_at + delay, lambda: agent.link_in.transmit(size, self.now) and None)
        # A TCP window holds a whole piece, so the pacing does not depend on the link.
        when = self.now + gap_s if gap_s else sent_at
        self.schedule(when, lambda: self.send(link, agent, delay, sent_after, gap_s, on_done))

    def request_piece(self, agent: Agent, action: fetch.PeerRequest) -> None:
        """Request a piece from a peer."""
        peer = self.agents[action.peer]
        delay = DELAY_S[self.distance(agent, peer)]
        if peer.is_lost or self.are_separated(agent.zone, peer.zone):
            wait_s = 2 * delay if peer.is_lost else piece_fetcher.PEER_TIMEOUT_S
            self.schedule(self.now + wait_s, lambda: self.on_peer_failed(agent, action))
            return
        held = agent.plan.held
        sent_at = agent.link_out.transmit(REQUEST_BYTES, self.now)
        self.schedule(
            sent_at + delay, lambda: self.handle_request(agent, peer, action, held, delay)
        )

    def on_peer_failed(self, agent: Agent, action: fetch.PeerRequest) -> None:
        """Handle a request to a peer that failed."""
        agent.plan.on_peer_failed(action.peer, self.now)
        self.finish_action(agent, action, -1)

    def handle_request(
        self, agent: Agent, peer: Agent, action: fetch.PeerRequest, held: int, delay: float
    ) -> None:
        """Handle a request at the peer: send a piece, or reply that it is busy or has none."""
        peer.plan.on_peer_report(agent.name, held, self.now)
        if agent.transfer_times.get(peer.name):
            peer.outgoing.record(agent.name, agent.transfer_times.pop(peer.name))
        wanted = fetch.bit_positions(action.wanted & peer.plan.held)
        reported = peer.plan.held
        free_in_s = peer.outgoing.wait_s(self.now) if wanted else 0.0
        if not wanted or free_in_s > piece_server.UPLOAD_WAIT_MAX_S:
            sent_at = peer.link_out.transmit(EMPTY_REPLY_BYTES, self.now)
            self.schedule(
                sent_at + delay, lambda: self.on_no_piece(agent, action, reported, free_in_s)
            )
            return
        index = self.rng.choice(wanted)
        start = self.now + peer.outgoing.reserve(self.shape.piece_bytes, self.now)
        self.counts["crossed"] += agent.zone != peer.zone
        gap_s = QUANTUM_BYTES / peer.outgoing.bytes_per_s

        def on_done() -> None:
            agent.plan.on_peer_report(action.peer, reported, self.now)
            self.finish_action(agent, action, index)

        self.schedule(start, lambda: self.send(peer.link_out, agent, delay, 0, gap_s, on_done))

    def on_no_piece(
        self, agent: Agent, action: fetch.PeerRequest, reported: int, free_in_s: float
    ) -> None:
        """Handle a reply without a piece: the peer is busy for `free_in_s`, or if 0 has none."""
        self.counts["in vain"] += 1
        agent.plan.on_peer_report(action.peer, reported, self.now)
        if free_in_s:
            agent.plan.on_peer_busy(action.peer, self.now, free_in_s)
        else:
            agent.plan.on_peer_empty(action.peer, self.now)
        self.finish_action(agent, action, -1)

    def bound_s(self) -> float:
        """Return the lower bound of the time that the links allow without faults."""
        shape = self.shape
        size = shape.pieces * shape.piece_bytes
        total_rate = shape.origin_rate + (shape.agents - 1) * shape.link_rate
        return max(
            size / shape.origin_rate, size / shape.link_rate, shape.agents * size / total_rate
        )

    def figures(self) -> dict[str, float]:
        """Return completion times relative to the bound, copies sent, and queueing delays."""
        completed = [
            a.completed_at for a in self.agents.values() if a.completed_at and not a.is_lost
        ]
        times = sorted(completed) + [TIME_LIMIT_S] * (not self.is_finished())
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
    "a lost agent": Fault(lost_agent=1),
    "a zone cut off for 3 s": Fault(partitioned_zone=1, partitioned_until=3.0),
    "the origin's zone cut off for 3 s": Fault(partitioned_zone=0, partitioned_until=3.0),
}


def main(argv: list[str]) -> None:
    """Simulate fleets of several sizes under each fault; the last line of output is JSON."""
    parser = argparse.ArgumentParser(prog="bench transfer", description=__doc__)
    parser.add_argument("--agents", type=int, nargs="*", default=[10, 60, 102])
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--fault", choices=sorted(FAULTS), help="only this fault")
    parser.add_argument("--policy", choices=["claimed", "zoned"], default="claimed")
    parser.add_argument("--origin-mbps", type=float, default=7.3, help="rate of the origin's link")
    parser.add_argument("--zones", type=int, default=5)
    parser.add_argument("--due", type=float, default=float("inf"), help="deadline in seconds")
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
                found = Simulation(shape, FAULTS[name]).run().figures()
                worst = max(worst, found["last"])
                print(f"{count} agents, {name}, seed {seed}: {found}", flush=True)
    print(json.dumps({"bench": "transfer", "worst_of_bound": worst}))
