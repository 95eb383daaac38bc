"""The policies of `fetch` in force: `spread`, and `zoned` where links between zones are dear."""

import math
from collections.abc import Sequence

from merlinthread.coordination import fetch, fetch_peers


@fetch.POLICIES.add("spread")
class Spread(fetch.FetchPlan):
    """Each chunk is read from the origin by one VM, its owner; the rest passes between VMs.

    The owner is first in rendezvous order among the readers, a few participants that are the same
    for everybody. A chunk that is nowhere to be had for `origin_grace_s` is read by another VM.
    """

    owned = 0
    is_reader = False
    readers: Sequence[str] = ()
    readers_max = fetch.READERS_MAX

    def on_participants_changed(self) -> None:
        """Find the chunks that this VM reads from the origin."""
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
        """Read what is owned, else ask the nearest peer for what is rarest."""
        needed = self.needed()
        if not needed:
            return None
        own = needed & self.owned
        if own and self.may_read_origin(now):
            return fetch.OriginRead(self.rng.choice(fetch.bit_positions(own)))
        for peer in self.available_peers(now):
            action = self.ask(peer, now)
            if action is not None:
                return action
        return self.rescue(needed, now) or self.probe(needed, now)

    def probe(self, needed: int, now: float) -> fetch.PeerRequest | None:
        """Ask the peer whose word is most overdue for a part of what is needed.

        Far peers are due less often, but they come: near ones may all lack the same chunks.
        """
        due = [peer for peer in self.available_peers(now) if peer.overdue(now) > 1]
        if not due:
            return None
        peer = max(due, key=lambda peer: peer.overdue(now))
        indices = fetch.bit_positions(needed)
        part = self.rng.sample(indices, max(1, len(indices) // 4))
        return fetch.PeerRequest(peer.name, sum(1 << index for index in part))

    def rescue(self, needed: int, now: float) -> fetch.OriginRead | None:
        """Read a chunk whose owner does not deliver, if this VM is next to do so.

        Each VM of a zone waits longer the later it stands in the chunk's rendezvous order; so a
        zone that is cut off reads a chunk that it lacks about once.
        """
        waited = now - self.last_progress_at
        if waited < self.origin_grace_s or not self.may_read_origin(now):
            return None
        for peer in self.peers.values():
            if peer.lost_until < now:
                needed &= ~peer.held
        due = [
            index
            for index in fetch.bit_positions(needed)
            if waited >= self.origin_grace_s * (1 + self.rank(index))
        ]
        if not due:
            return None
        return fetch.OriginRead(min(due, key=self.rank))

    def rank(self, index: int) -> int:
        """Return this VM's place in its zone's rendezvous order for a chunk, from 0."""
        if index not in self.ranks:
            mine = fetch.rendezvous_weight(self.own_name, self.manifest, index)
            ahead = [
                name
                for name in self.near
                if fetch.rendezvous_weight(name, self.manifest, index) > mine
            ]
            self.ranks[index] = len(ahead)
        return self.ranks[index]


@fetch.POLICIES.add("zoned")
class Zoned(Spread):
    """As `Spread`, but each chunk crosses into a zone about once.

    A chunk is asked of a far peer only by the VM that is first for it in its zone; the others get
    it from that one. The longer a VM has heard nothing new, the more chunks it may ask for itself.
    Two bounds let a reader read the origin for what is not its own, and the owner sets both: one
    chunk each `extra_read_interval_s`, its share of the origin's link, if no peer can
    serve it now; and with `is_late` as fast as the origin gives.
    """

    is_late = False
    extra_read_interval_s = math.inf
    spare_at = float("-inf")

    def next_action(self, now: float) -> fetch.Action | None:
        """Read what is owned, or what is missing if time presses; else as `Spread`."""
        needed = self.needed()
        if self.is_late and self.is_reader and needed and self.may_read_origin(now):
            return fetch.OriginRead(self.scarcest(needed & self.owned or needed))
        return super().next_action(now)

    def rescue(self, needed: int, now: float) -> fetch.OriginRead | None:
        """Read a chunk whose owner does not deliver, or one within this VM's share."""
        return super().rescue(needed, now) or self.spare(needed, now)

    def spare(self, needed: int, now: float) -> fetch.OriginRead | None:
        """Read a chunk of another owner within this VM's share of the origin's link."""
        if not self.is_reader or now < self.spare_at or not self.may_read_origin(now):
            return None
        if self.extra_read_interval_s == math.inf:
            return None
        self.spare_at = now + self.extra_read_interval_s
        return fetch.OriginRead(self.scarcest(needed))

    def scarcest(self, needed: int) -> int:
        """Return a chunk of `needed` that no VM of the zone is known to have, if there is one.

        Of several it is the one for which this VM is first, so that VMs do not read the same; one
        that the origin failed to give goes last.
        """
        missing = needed
        for peer in self.peers.values():
            if peer.distance == fetch.SAME_ZONE:
                missing &= ~peer.held
        return min(
            fetch.bit_positions(missing or needed),
            key=lambda index: (self.origin_failures[index], self.rank(index)),
        )

    def ask(self, peer: fetch_peers.PeerState, now: float) -> fetch.PeerRequest | None:
        """Return a request; of a far peer only for what this VM is to bring into its zone."""
        if peer.distance == fetch.SAME_ZONE:
            return super().ask(peer, now)
        allowed = self.cross_zone_chunks(now)
        if not allowed & peer.held:
            return None
        held, peer.held = peer.held, peer.held & allowed
        try:
            return super().ask(peer, now)
        finally:
            peer.held = held

    def probe(self, needed: int, now: float) -> fetch.PeerRequest | None:
        """Ask the peer whose word is most overdue; a far one only for what is to be brought."""
        brought = self.cross_zone_chunks(now)
        due = [
            peer
            for peer in self.available_peers(now)
            if peer.overdue(now) > 1 and (peer.distance == fetch.SAME_ZONE or brought)
        ]
        if not due:
            return None
        peer = max(due, key=lambda peer: peer.overdue(now))
        return fetch.PeerRequest(peer.name, needed if peer.distance == fetch.SAME_ZONE else brought)

    def cross_zone_chunks(self, now: float) -> int:
        """Return the chunks that this VM may ask far peers for."""
        waited = now - self.last_progress_at
        steps = int(waited / self.origin_grace_s)
        return self.needed() & self.up_to_rank(steps)

    def up_to_rank(self, rank: int) -> int:
        """Return the chunks for which this VM's place in its zone's order is `rank` or less."""
        key = min(rank, len(self.near))
        if key not in self.rank_masks:
            self.rank_masks[key] = sum(
                1 << index for index in range(self.chunk_count) if self.rank(index) <= key
            )
        return self.rank_masks[key]
