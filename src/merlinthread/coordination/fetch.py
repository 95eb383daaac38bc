"""Where a VM gets the chunks of a manifest from: policies over what is known of the other VMs.

A `FetchPlan` belongs to one VM and one manifest. It answers one question, `next_action`: what to
ask of whom now. Its owner carries the action out and tells it what came of it. Chunk sets are
Python integers used as bit sets.
"""

import collections
import dataclasses
import math
import random

import blake3

from merlinthread import registry
from merlinthread.coordination import fetch_peers

SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2

BUSY_RETRY_DELAY_S = 0.025
EMPTY_WAIT_S = 0.05
FAILED_WAIT_S = 1.0
FAILED_WAIT_MAX_S = 8.0
CORRUPT_WAIT_S = 30.0
LOST_S = 4.0
NEIGHBOURS_MAX = 40
READERS_MAX = 32
# Readers fill the origin's link this many times over if each reads at its own link's rate: some are
# slow, and what those own comes late. In the model (40 agents, a quarter of the readers slow) with
# 4, 8, 16 all others are whole at 2.53, 1.75, 2.00 of the bound; without a fault at 1.38, 1.32 and
# 1.33.
READERS_PER_LINK = 8
READERS_MIN = 4
ORIGIN_GRACE_S = 3.0
CHUNKS_OFFERED = 4


@dataclasses.dataclass(slots=True)
class OriginRead:
    """Read the chunk `index` from the origin."""

    index: int


@dataclasses.dataclass(slots=True)
class PeerRequest:
    """Ask `peer` for any one chunk of `wanted`."""

    peer: str
    wanted: int


Action = OriginRead | PeerRequest


@dataclasses.dataclass(slots=True, frozen=True)
class Peer:
    """Another VM that should hold the same manifest; `bus` is "IP:port"."""

    name: str
    bus: str
    distance: int
    zone: str = ""


def bit_positions(value: int) -> list[int]:
    """Return the positions of the set bits, lowest first."""
    found = []
    while value:
        low = value & -value
        found.append(low.bit_length() - 1)
        value ^= low
    return found


def bitset_to_bytes(value: int, count: int) -> bytes:
    """Return a bit set over `count` chunks as bytes, lowest first."""
    return value.to_bytes((count + 7) // 8, "little")


def bitset_from_bytes(data: bytes, count: int) -> int:
    """Return the bit set in `data`, cut to `count` chunks."""
    return int.from_bytes(data, "little") & ((1 << count) - 1)


def rendezvous_weight(name: str, manifest: str, index: int) -> bytes:
    """Return the rendezvous weight of VM `name` for a chunk (Thaler and Ravishankar 1998)."""
    return blake3.blake3(f"{name} {manifest} {index}".encode()).digest(8)


def origin_reader_count(origin_bytes_per_s: float, vm_bytes_per_s: float) -> int:
    """Return how many VMs read an origin whose link carries so much; 0 if that is not told."""
    if not origin_bytes_per_s:
        return READERS_MAX
    needed = math.ceil(READERS_PER_LINK * origin_bytes_per_s / vm_bytes_per_s)
    return max(READERS_MIN, min(READERS_MAX, needed))


class FetchPlan:
    """What all policies share: what is here, what is on its way, what the others have."""

    def __init__(
        self,
        own_name: str,
        manifest: str,
        chunk_count: int,
        held: int,
        origin_slots: int,
        now: float,
        rng: random.Random,
    ) -> None:
        self.own_name = own_name
        self.manifest = manifest
        self.chunk_count = chunk_count
        self.all = (1 << chunk_count) - 1
        self.held = held
        self.in_flight = 0
        self.origin_slots = origin_slots
        self.origin_reads = 0
        self.origin_not_before = float("-inf")
        self.origin_failures: collections.Counter[int] = collections.Counter()
        self.peers: dict[str, fetch_peers.PeerState] = {}
        self.open_requests: collections.Counter[str] = collections.Counter()
        self.requests_per_peer = 1
        self.known_peers: list[Peer] | None = None
        self.participants: list[str] = [own_name]
        self.near: set[str] = {own_name}
        self.far_zones: dict[str, list[str]] = {}
        self.announcers: set[str] = set()
        self.ranks: dict[int, int] = {}
        self.rank_masks: dict[int, int] = {}
        self.stats = fetch_peers.FetchStats()
        self.busy_retry_delay_s = BUSY_RETRY_DELAY_S
        self.rng = rng
        self.last_progress_at = now
        self.origin_grace_s = ORIGIN_GRACE_S

    # What the owner tells

    def set_peers(self, peers: list[Peer]) -> None:
        """Set which other VMs should hold the manifest; the nearest few are the ones to ask.

        It is called before each choice; nothing is done while nothing has changed.
        """
        if peers == self.known_peers:
            return
        self.known_peers = peers
        self.participants = sorted({peer.name for peer in peers} | {self.own_name})
        near = {peer.name for peer in peers if peer.distance == SAME_ZONE} | {self.own_name}
        if near != self.near:
            self.near = near
            self.ranks = {}
            self.rank_masks = {}
        self.far_zones = {}
        for peer in peers:
            if peer.distance != SAME_ZONE:
                self.far_zones.setdefault(peer.zone, []).append(peer.name)
        chosen = {peer.name: peer for peer in self.neighbours(peers)}
        for name in set(self.peers) - set(chosen):
            del self.peers[name]
        for name, peer in chosen.items():
            if name not in self.peers:
                self.peers[name] = fetch_peers.PeerState(name, peer.distance)
        self.on_participants_changed()

    def neighbours(self, peers: list[Peer]) -> list[Peer]:
        """Return whom to ask: all of a small group, else some near, some far, always the same."""
        if len(peers) <= NEIGHBOURS_MAX:
            return peers
        ordered = sorted(peers, key=lambda peer: rendezvous_weight(peer.name, self.own_name, 0))
        near = [peer for peer in ordered if peer.distance == SAME_ZONE][: NEIGHBOURS_MAX * 2 // 3]
        far = [peer for peer in ordered if peer.distance != SAME_ZONE]
        chosen = near + far[: NEIGHBOURS_MAX - len(near)]
        # Who has announced a chunk is asked as well: it may be the only one that has it.
        known = {peer.name for peer in chosen}
        return chosen + [
            peer for peer in peers if peer.name in self.announcers and peer.name not in known
        ]

    def announcement_recipients(self, action: Action) -> list[str]:
        """Return whom to tell at once of the chunk that `action` has brought.

        What was read from the origin concerns the neighbours in this zone and, in each other zone,
        the VM that brings the chunk there; what came from far, the neighbours in this zone. So a
        chunk is known to all of a zone as soon as one has it, and each is announced there once.
        """
        near = [peer.name for peer in self.peers.values() if peer.distance == SAME_ZONE]
        if isinstance(action, PeerRequest):
            asked = self.peers.get(action.peer)
            return near if asked is not None and asked.distance != SAME_ZONE else []
        return near + [
            max(zone, key=lambda name: rendezvous_weight(name, self.manifest, action.index))
            for zone in self.far_zones.values()
        ]

    def on_announcement(self, peer: str, index: int) -> None:
        """Note that a peer tells of a chunk that it has just got."""
        if peer not in self.participants or index >= self.chunk_count:
            return
        self.announcers.add(peer)
        if peer not in self.peers:
            self.peers[peer] = fetch_peers.PeerState(
                peer, SAME_ZONE if peer in self.near else OTHER_REGION
            )
        self.peers[peer].held |= 1 << index

    def claim_recipients(self) -> list[str]:
        """Return whom to tell of a chunk that this VM begins to read from the origin."""
        return []

    def on_claim(self, index: int, now: float) -> None:
        """Note that another VM begins to read a chunk from the origin."""

    def on_participants_changed(self) -> None:
        """Let a policy prepare for a changed set of VMs."""

    def on_peer_report(self, peer: str, held: int, now: float) -> None:
        """Note what a peer says it has."""
        state = self.peers.get(peer)
        if state is not None:
            # An answer may be older than an announcement that has come meanwhile.
            state.held |= held
            state.told = held
            state.heard_at = now
            state.failures = 0
            state.lost_until = float("-inf")

    def on_action_started(self, action: Action) -> None:
        """Note that `action` is being carried out."""
        if isinstance(action, OriginRead):
            self.in_flight |= 1 << action.index
            self.origin_reads += 1
        else:
            self.in_flight |= action.wanted
            self.open_requests[action.peer] += 1

    def on_action_finished(self, action: Action) -> None:
        """Note that `action` is over, whatever came of it."""
        if isinstance(action, OriginRead):
            self.in_flight &= ~(1 << action.index)
            self.origin_reads -= 1
        else:
            self.in_flight &= ~action.wanted
            self.open_requests[action.peer] -= 1

    def on_chunk_received(self, index: int, from_origin: bool, now: float) -> None:
        """Note a verified chunk."""
        if self.held >> index & 1:
            self.stats.doubled += 1
            return
        self.held |= 1 << index
        if from_origin:
            self.stats.from_origin += 1
        else:
            self.stats.from_peers += 1
            self.last_progress_at = now

    def on_peer_busy(self, peer: str, now: float, free_in_s: float = 0.0) -> None:
        """Note that a peer has no upload slot free, and when it will have, if it tells.

        All who were refused would come back at that moment; they come up to as long again later.
        """
        self.stats.busy += 1
        wait_s = self.rng.uniform(0.5, 1.5) * self.busy_retry_delay_s
        if free_in_s > 0:
            wait_s = self.rng.uniform(1.0, 2.0) * free_in_s
        self.postpone_requests(peer, now + wait_s)

    def on_peer_empty(self, peer: str, now: float) -> None:
        """Note that a peer has nothing of what was asked: it holds what it told, no more."""
        self.stats.empty += 1
        if peer in self.peers:
            self.peers[peer].held = self.peers[peer].told
        self.postpone_requests(peer, now + EMPTY_WAIT_S)

    def on_peer_failed(self, peer: str, now: float) -> None:
        """Note that a peer did not answer."""
        self.stats.failed += 1
        state = self.peers.get(peer)
        if state is None:
            return
        wait = min(FAILED_WAIT_MAX_S, FAILED_WAIT_S * 2**state.failures)
        state.failures += 1
        state.heard_at = now
        state.not_before = now + wait
        state.lost_until = now + wait + LOST_S

    def on_corrupt_chunk(self, peer: str, now: float) -> None:
        """Note that a peer gave bytes with a wrong digest, and set it aside."""
        self.stats.corrupt += 1
        self.postpone_requests(peer, now + CORRUPT_WAIT_S)

    def on_origin_failed(self, now: float, wait_s: float, index: int | None = None) -> None:
        """Note that the origin refused or broke off, or gave chunk `index` wrong."""
        self.stats.failed += 1
        if index is not None:
            self.origin_failures[index] += 1
        self.origin_not_before = now + wait_s

    def postpone_requests(self, peer: str, until: float) -> None:
        """Ask `peer` for nothing before `until`."""
        if peer in self.peers:
            self.peers[peer].not_before = until

    # What the owner asks

    def is_complete(self) -> bool:
        """Return whether every chunk is here."""
        return self.held == self.all

    def needed(self) -> int:
        """Return what is neither here nor on its way."""
        return self.all & ~self.held & ~self.in_flight

    def next_action(self, now: float) -> Action | None:
        """Return what to do next, or None if there is nothing for the moment."""
        raise NotImplementedError

    # Parts for policies

    def may_read_origin(self, now: float) -> bool:
        """Return whether an origin slot is free."""
        return self.origin_reads < self.origin_slots and now >= self.origin_not_before

    def ask(self, peer: fetch_peers.PeerState, now: float) -> PeerRequest | None:
        """Return a request for the rarest chunks that `peer` is known to have."""
        needed = self.needed()
        useful = peer.held & needed
        if not useful:
            return None
        # Near the end, one request must not hold all that is left.
        count = max(1, min(CHUNKS_OFFERED, needed.bit_count() // 8))
        chosen = 0
        for index in self.rarest_chunks(useful)[:count]:
            chosen |= 1 << index
        return PeerRequest(peer.name, chosen)

    def rarest_chunks(self, useful: int) -> list[int]:
        """Return up to CHUNKS_OFFERED chunks of `useful` that the fewest known VMs have."""
        # Bit-parallel counting: levels[k] holds the chunks that at least k+1 peers have.
        levels: list[int] = []
        for peer in self.peers.values():
            carry = peer.held & useful
            for position in range(len(levels)):
                levels[position], carry = levels[position] | carry, levels[position] & carry
                if not carry:
                    break
            if carry and len(levels) < 8:
                levels.append(carry)
        chosen: list[int] = []
        rest = useful
        for level in levels[1:] + [0]:
            few = bit_positions(rest & ~level)
            self.rng.shuffle(few)
            chosen.extend(few[: CHUNKS_OFFERED - len(chosen)])
            rest &= level
            if len(chosen) >= CHUNKS_OFFERED:
                break
        return chosen

    def available_peers(self, now: float) -> list[fetch_peers.PeerState]:
        """Return the peers that may be asked now, nearest first, in random order otherwise."""
        found = [
            peer
            for peer in self.peers.values()
            if peer.not_before <= now and self.open_requests[peer.name] < self.requests_per_peer
        ]
        self.rng.shuffle(found)
        found.sort(key=lambda peer: peer.distance)
        return found


Maker = type[FetchPlan]
POLICIES: registry.Registry[Maker] = registry.Registry("fetch policy")
