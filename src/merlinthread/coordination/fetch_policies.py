"""Fetch policies: `spread`, and `zoned`, which limits traffic between availability zones."""

import math
from collections.abc import Sequence

from merlinthread.coordination import fetch, fetch_peers


@fetch.POLICIES.add("spread")
class Spread(fetch.FetchPlan):
    """One VM, the owner, reads a chunk from the origin; the others get it from peers.

    The owner is the first in rendezvous order among the readers, a subset of the participants
    that every VM computes alike. If no chunk comes from a peer for `origin_grace_s`, another VM
    reads the missing chunks from the origin.
    """

    owned = 0
    is_reader = False
    readers: Sequence[str] = ()
    readers_max = fetch.READERS_MAX

    def on_participants_changed(self) -> None:
        """Recompute the readers and the chunks that this VM owns."""
        ordered = sorted(
            self.participants, key=lambda name: fetch.rendezvous_weight(name, self.manifest, -1)
        )
        self.readers = ordered[: self.readers_max]
        self.owned = 0
        self.is_reader = self.own_name in self.readers
        if not self.is_reader:
            return
        for index in range(self.chunk_count):
            if (
                max(
                    self.readers,
                    key=lambda name: fetch.rendezvous_weight(name, self.manifest, index),
                )
                == self.own_name
            ):
                self.owned |= 1 << index

    def next_action(self, now: float) -> fetch.Action | None:
        """Read an owned chunk, else request the rarest chunks from the nearest peer."""
        needed = self.needed()
        if not needed:
            return None
        own = self.readable() & self.owned
        if own and self.may_read_origin(now):
            return fetch.OriginRead(self.rng.choice(fetch.bit_positions(own)))
        for peer in self.available_peers(now):
            action = self.build_request(peer, now)
            if action is not None:
                return action
        return self.fallback_read(needed, now) or self.probe(needed, now)

    def probe(self, needed: int, now: float) -> fetch.PeerRequest | None:
        """Request a sample of the needed chunks from the peer with the stalest report.

        Reports from other zones may grow older, but are refreshed too: the peers of this zone may
        all lack the same chunks.
        """
        stale = [peer for peer in self.available_peers(now) if peer.staleness(now) > 1]
        if not stale:
            return None
        peer = max(stale, key=lambda peer: peer.staleness(now))
        indices = fetch.bit_positions(needed)
        sample = self.rng.sample(indices, max(1, len(indices) // 4))
        return fetch.PeerRequest(peer.name, sum(1 << index for index in sample))

    def fallback_read(self, needed: int, now: float) -> fetch.OriginRead | None:
        """Read a chunk whose owner has not delivered it in time, or return None.

        The delay grows with this VM's rank for the chunk in its zone, so that a partitioned zone
        reads each missing chunk about once.
        """
        waited = now - self.last_progress_at
        if waited < self.origin_grace_s or not self.may_read_origin(now):
            return None
        needed &= ~self.suspended
        for peer in self.peers.values():
            if peer.unavailable_until < now:
                needed &= ~peer.held
        overdue = [
            index
            for index in fetch.bit_positions(needed)
            if waited >= self.origin_grace_s * (1 + self.rank(index))
        ]
        if not overdue:
            return None
        return fetch.OriginRead(min(overdue, key=self.rank))

    def rank(self, index: int) -> int:
        """Return this VM's position in its zone's rendezvous order for a chunk, from 0."""
        if index not in self.ranks:
            own_weight = fetch.rendezvous_weight(self.own_name, self.manifest, index)
            ahead = [
                name
                for name in self.zone_members
                if fetch.rendezvous_weight(name, self.manifest, index) > own_weight
            ]
            self.ranks[index] = len(ahead)
        return self.ranks[index]


@fetch.POLICIES.add("zoned")
class Zoned(Spread):
    """Like `Spread`, but transfers each chunk into a zone about once.

    Only the VM that ranks first for a chunk in its zone requests it from another zone. The longer
    a VM makes no progress, the higher the rank up to which it may request chunks.

    The plan's owner limits how often a reader reads chunks of other owners from the origin: once
    per `extra_read_interval_s` while no peer can serve it, and without that limit if `is_late`.
    """

    is_late = False
    extra_read_interval_s = math.inf
    next_extra_read_at = float("-inf")

    def next_action(self, now: float) -> fetch.Action | None:
        """Read any needed chunk, owned ones first, if late; otherwise act like `Spread`."""
        readable = self.readable()
        if self.is_late and self.is_reader and readable and self.may_read_origin(now):
            return fetch.OriginRead(self.scarcest_in_zone(readable & self.owned or readable))
        return super().next_action(now)

    def fallback_read(self, needed: int, now: float) -> fetch.OriginRead | None:
        """Read an overdue chunk, or else one within this VM's share of the origin's link."""
        return super().fallback_read(needed, now) or self.extra_read(needed, now)

    def extra_read(self, needed: int, now: float) -> fetch.OriginRead | None:
        """Read a chunk of another owner, at most one per `extra_read_interval_s`."""
        if not self.is_reader or now < self.next_extra_read_at or not self.may_read_origin(now):
            return None
        readable = needed & ~self.suspended
        if self.extra_read_interval_s == math.inf or not readable:
            return None
        self.next_extra_read_at = now + self.extra_read_interval_s
        return fetch.OriginRead(self.scarcest_in_zone(readable))

    def scarcest_in_zone(self, needed: int) -> int:
        """Return a chunk of `needed`, preferably one that no VM of this zone is known to hold.

        Chunks with the fewest failed origin reads come first, then those for which this VM has the
        lowest rank, so that the VMs of a zone read different chunks.
        """
        missing = needed
        for peer in self.peers.values():
            if peer.distance == fetch.SAME_ZONE:
                missing &= ~peer.held
        return min(
            fetch.bit_positions(missing or needed),
            key=lambda index: (self.origin_failures[index], self.rank(index)),
        )

    def build_request(self, peer: fetch_peers.PeerState, now: float) -> fetch.PeerRequest | None:
        """Return a request, limited to `cross_zone_chunks` if the peer is in another zone."""
        if peer.distance == fetch.SAME_ZONE:
            return super().build_request(peer, now)
        allowed = self.cross_zone_chunks(now)
        if not allowed & peer.held:
            return None
        held, peer.held = peer.held, peer.held & allowed
        try:
            return super().build_request(peer, now)
        finally:
            peer.held = held

    def probe(self, needed: int, now: float) -> fetch.PeerRequest | None:
        """Request needed chunks from the peer with the stalest report.

        A request to another zone is limited to `cross_zone_chunks`.
        """
        allowed = self.cross_zone_chunks(now)
        stale = [
            peer
            for peer in self.available_peers(now)
            if peer.staleness(now) > 1 and (peer.distance == fetch.SAME_ZONE or allowed)
        ]
        if not stale:
            return None
        peer = max(stale, key=lambda peer: peer.staleness(now))
        return fetch.PeerRequest(peer.name, needed if peer.distance == fetch.SAME_ZONE else allowed)

    def cross_zone_chunks(self, now: float) -> int:
        """Return the chunks that this VM may request from other zones."""
        waited = now - self.last_progress_at
        steps = int(waited / self.origin_grace_s)
        return self.needed() & self.chunks_up_to_rank(steps)

    def chunks_up_to_rank(self, rank: int) -> int:
        """Return the chunks for which this VM's rank in its zone is at most `rank`."""
        key = min(rank, len(self.zone_members))
        if key not in self.rank_masks:
            self.rank_masks[key] = sum(
                1 << index for index in range(self.chunk_count) if self.rank(index) <= key
            )
        return self.rank_masks[key]
