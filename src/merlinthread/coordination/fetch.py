"""Peer-to-peer download of the chunks of a manifest: scheduling state shared by all policies.

A `FetchPlan` schedules the download of one manifest to one VM and does no I/O. Its owner calls
`next_action`, executes the returned action and reports the outcome through the `on_` methods.
Sets of chunks are integers used as bit sets.
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
EMPTY_RETRY_DELAY_S = 0.05
FAILURE_BACKOFF_S = 1.0
FAILURE_BACKOFF_MAX_S = 8.0
CORRUPT_PEER_DELAY_S = 30.0
UNAVAILABLE_S = 4.0
NEIGHBOURS_MAX = 40
READERS_MAX = 32
# Ratio of the readers' combined link rate to the origin's, so that slow readers don't leave the
# origin idle.
READER_OVERSUBSCRIPTION = 8
READERS_MIN = 4
ORIGIN_GRACE_S = 3.0
CHUNKS_PER_REQUEST = 4


@dataclasses.dataclass(slots=True)
class OriginRead:
    """Read the chunk at `index` from the origin."""

    index: int


@dataclasses.dataclass(slots=True)
class PeerRequest:
    """Request any one chunk of the bit set `wanted` from `peer`."""

    peer: str
    wanted: int


Action = OriginRead | PeerRequest


@dataclasses.dataclass(slots=True, frozen=True)
class Peer:
    """Another VM that is assigned the same manifest; `bus` is its address, "IP:port"."""

    name: str
    bus: str
    distance: int
    zone: str = ""


def bit_positions(value: int) -> list[int]:
    """Return the positions of the set bits in ascending order."""
    found = []
    while value:
        low = value & -value
        found.append(low.bit_length() - 1)
        value ^= low
    return found


def bitset_to_bytes(value: int, count: int) -> bytes:
    """Encode a bit set of `count` chunks as little-endian bytes."""
    return value.to_bytes((count + 7) // 8, "little")


def bitset_from_bytes(data: bytes, count: int) -> int:
    """Decode a bit set, ignoring bits at or above `count`."""
    return int.from_bytes(data, "little") & ((1 << count) - 1)


def rendezvous_weight(name: str, manifest: str, index: int) -> bytes:
    """Return the rendezvous hash of a VM and a chunk (Thaler and Ravishankar 1998)."""
    return blake3.blake3(f"{name} {manifest} {index}".encode()).digest(8)


def origin_reader_count(origin_bytes_per_s: float, vm_bytes_per_s: float) -> int:
    """Return how many VMs read from the origin.

    An `origin_bytes_per_s` of 0 means that the rate is unknown and gives READERS_MAX.
    """
    if not origin_bytes_per_s:
        return READERS_MAX
    needed = math.ceil(READER_OVERSUBSCRIPTION * origin_bytes_per_s / vm_bytes_per_s)
    return max(READERS_MIN, min(READERS_MAX, needed))


class FetchPlan:
    """Download state of one manifest on one VM, and the base class of all fetch policies.

    Tracks the chunks that are held, those in flight, and those that each peer reported.
    """

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
        self.all_chunks = (1 << chunk_count) - 1
        self.held = held
        self.in_flight = 0
        # Chunks that are not read from the origin, set by the owner.
        self.suspended = 0
        self.origin_slots = origin_slots
        self.origin_reads = 0
        self.origin_not_before = float("-inf")
        self.origin_failures: collections.Counter[int] = collections.Counter()
        self.peers: dict[str, fetch_peers.PeerState] = {}
        self.open_requests: collections.Counter[str] = collections.Counter()
        self.requests_per_peer = 1
        self.known_peers: list[Peer] | None = None
        self.participants: list[str] = [own_name]
        self.zone_members: set[str] = {own_name}
        self.other_zones: dict[str, list[str]] = {}
        self.announcers: set[str] = set()
        self.ranks: dict[int, int] = {}
        self.rank_masks: dict[int, int] = {}
        self.stats = fetch_peers.FetchStats()
        self.busy_retry_delay_s = BUSY_RETRY_DELAY_S
        self.rng = rng
        self.last_progress_at = now
        self.origin_grace_s = ORIGIN_GRACE_S

    # Input from the owner

    def set_peers(self, peers: list[Peer]) -> None:
        """Set the other VMs that are assigned the manifest, and select neighbours among them.

        Does nothing if `peers` is unchanged, so it may be called before every action.
        """
        if peers == self.known_peers:
            return
        self.known_peers = peers
        self.participants = sorted({peer.name for peer in peers} | {self.own_name})
        near = {peer.name for peer in peers if peer.distance == SAME_ZONE} | {self.own_name}
        if near != self.zone_members:
            self.zone_members = near
            self.ranks = {}
            self.rank_masks = {}
        self.other_zones = {}
        for peer in peers:
            if peer.distance != SAME_ZONE:
                self.other_zones.setdefault(peer.zone, []).append(peer.name)
        chosen = {peer.name: peer for peer in self.select_neighbours(peers)}
        for name in set(self.peers) - set(chosen):
            del self.peers[name]
        for name, peer in chosen.items():
            if name not in self.peers:
                self.peers[name] = fetch_peers.PeerState(name, peer.distance)
        self.on_participants_changed()

    def select_neighbours(self, peers: list[Peer]) -> list[Peer]:
        """Return the peers to request chunks from.

        That is all peers of a small group, otherwise a stable selection of up to NEIGHBOURS_MAX
        from this zone and the others, plus every peer that has announced a chunk.
        """
        if len(peers) <= NEIGHBOURS_MAX:
            return peers
        ordered = sorted(peers, key=lambda peer: rendezvous_weight(peer.name, self.own_name, 0))
        near = [peer for peer in ordered if peer.distance == SAME_ZONE][: NEIGHBOURS_MAX * 2 // 3]
        far = [peer for peer in ordered if peer.distance != SAME_ZONE]
        chosen = near + far[: NEIGHBOURS_MAX - len(near)]
        # A peer that announced a chunk may be the only one that holds it.
        known = {peer.name for peer in chosen}
        return chosen + [
            peer for peer in peers if peer.name in self.announcers and peer.name not in known
        ]

    def announcement_recipients(self, action: Action) -> list[str]:
        """Return the VMs to notify of the chunk that `action` has fetched.

        A chunk from the origin is announced to the neighbours in this zone and to one VM in each
        other zone, the first in rendezvous order. A chunk from another zone is announced to the
        neighbours in this zone, and a chunk from this zone to nobody.
        """
        near = [peer.name for peer in self.peers.values() if peer.distance == SAME_ZONE]
        if isinstance(action, PeerRequest):
            source = self.peers.get(action.peer)
            return near if source is not None and source.distance != SAME_ZONE else []
        return near + [
            max(zone, key=lambda name: rendezvous_weight(name, self.manifest, action.index))
            for zone in self.other_zones.values()
        ]

    def on_announcement(self, peer: str, index: int) -> None:
        """Record that a peer announced a chunk; ignore unknown peers and invalid indexes."""
        if peer not in self.participants or index >= self.chunk_count:
            return
        self.announcers.add(peer)
        if peer not in self.peers:
            self.peers[peer] = fetch_peers.PeerState(
                peer, SAME_ZONE if peer in self.zone_members else OTHER_REGION
            )
        self.peers[peer].held |= 1 << index

    def claim_recipients(self) -> list[str]:
        """Return the VMs to notify when this VM starts to read a chunk from the origin."""
        return []

    def on_claim(self, index: int, now: float) -> None:
        """Record that another VM has started to read a chunk from the origin."""

    def on_participants_changed(self) -> None:
        """Update state that a policy derives from the set of participants."""

    def on_peer_report(self, peer: str, held: int, now: float) -> None:
        """Record the set of chunks that a peer reports as held."""
        state = self.peers.get(peer)
        if state is not None:
            # A report may have been sent before an announcement that is already recorded.
            state.held |= held
            state.reported = held
            state.reported_at = now
            state.failures = 0
            state.unavailable_until = float("-inf")

    def on_action_started(self, action: Action) -> None:
        """Mark the chunks of `action` as in flight."""
        if isinstance(action, OriginRead):
            self.in_flight |= 1 << action.index
            self.origin_reads += 1
        else:
            self.in_flight |= action.wanted
            self.open_requests[action.peer] += 1

    def on_action_finished(self, action: Action) -> None:
        """Release the chunks and the slot of `action`, whether it succeeded or failed."""
        if isinstance(action, OriginRead):
            self.in_flight &= ~(1 << action.index)
            self.origin_reads -= 1
        else:
            self.in_flight &= ~action.wanted
            self.open_requests[action.peer] -= 1

    def on_chunk_received(self, index: int, from_origin: bool, now: float) -> None:
        """Record a chunk that was received and verified."""
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
        """Record that a peer refused a request for lack of an upload slot.

        `free_in_s` is the delay that the peer advised, or 0 if it gave none. The retry is jittered,
        so that refused VMs don't all return at once.
        """
        self.stats.busy += 1
        wait_s = self.rng.uniform(0.5, 1.5) * self.busy_retry_delay_s
        if free_in_s > 0:
            wait_s = self.rng.uniform(1.0, 2.0) * free_in_s
        self.postpone_requests(peer, now + wait_s)

    def on_peer_empty(self, peer: str, now: float) -> None:
        """Record that a peer holds none of the requested chunks, and drop its announcements."""
        self.stats.empty += 1
        if peer in self.peers:
            self.peers[peer].held = self.peers[peer].reported
        self.postpone_requests(peer, now + EMPTY_RETRY_DELAY_S)

    def on_peer_failed(self, peer: str, now: float) -> None:
        """Record a failed request to a peer, and back off exponentially."""
        self.stats.failed += 1
        state = self.peers.get(peer)
        if state is None:
            return
        backoff_s = min(FAILURE_BACKOFF_MAX_S, FAILURE_BACKOFF_S * 2**state.failures)
        state.failures += 1
        state.reported_at = now
        state.not_before = now + backoff_s
        state.unavailable_until = now + backoff_s + UNAVAILABLE_S

    def on_corrupt_chunk(self, peer: str, now: float) -> None:
        """Record that a peer sent a chunk with a wrong digest, and suspend requests to it."""
        self.stats.corrupt += 1
        self.postpone_requests(peer, now + CORRUPT_PEER_DELAY_S)

    def on_origin_failed(self, now: float, wait_s: float, index: int | None = None) -> None:
        """Record a failed read from the origin, of chunk `index` if it is given.

        No further reads start for `wait_s`.
        """
        self.stats.failed += 1
        if index is not None:
            self.origin_failures[index] += 1
        self.origin_not_before = now + wait_s

    def postpone_requests(self, peer: str, until: float) -> None:
        """Send no request to `peer` before `until`."""
        if peer in self.peers:
            self.peers[peer].not_before = until

    # Queries from the owner

    def is_complete(self) -> bool:
        """Return whether every chunk is held."""
        return self.held == self.all_chunks

    def needed(self) -> int:
        """Return the chunks that are neither held nor in flight."""
        return self.all_chunks & ~self.held & ~self.in_flight

    def readable(self) -> int:
        """Return the needed chunks that may be read from the origin."""
        return self.needed() & ~self.suspended

    def next_action(self, now: float) -> Action | None:
        """Return the next action, or None if none can start now."""
        raise NotImplementedError

    # Helpers for policies

    def may_read_origin(self, now: float) -> bool:
        """Return whether an origin slot is free and no retry delay is running."""
        return self.origin_reads < self.origin_slots and now >= self.origin_not_before

    def build_request(self, peer: fetch_peers.PeerState, now: float) -> PeerRequest | None:
        """Return a request for the rarest needed chunks that `peer` holds, or None."""
        needed = self.needed()
        useful = peer.held & needed
        if not useful:
            return None
        # Near the end, a single request must not reserve all remaining chunks.
        count = max(1, min(CHUNKS_PER_REQUEST, needed.bit_count() // 8))
        chosen = 0
        for index in self.rarest_chunks(useful)[:count]:
            chosen |= 1 << index
        return PeerRequest(peer.name, chosen)

    def rarest_chunks(self, useful: int) -> list[int]:
        """Return up to CHUNKS_PER_REQUEST chunks of `useful`, those held by the fewest peers."""
        # Bit-parallel counters: levels[k] is the set of chunks that at least k+1 peers hold.
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
            rarest = bit_positions(rest & ~level)
            self.rng.shuffle(rarest)
            chosen.extend(rarest[: CHUNKS_PER_REQUEST - len(chosen)])
            rest &= level
            if len(chosen) >= CHUNKS_PER_REQUEST:
                break
        return chosen

    def available_peers(self, now: float) -> list[fetch_peers.PeerState]:
        """Return the peers that may get a request now, nearest first, shuffled per distance."""
        found = [
            peer
            for peer in self.peers.values()
            if peer.not_before <= now and self.open_requests[peer.name] < self.requests_per_peer
        ]
        self.rng.shuffle(found)
        found.sort(key=lambda peer: peer.distance)
        return found


PolicyClass = type[FetchPlan]
POLICIES: registry.Registry[PolicyClass] = registry.Registry("fetch policy")
