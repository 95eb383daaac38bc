"""The policies of `fetch` in force: `spread`, and `zoned` where links between zones are dear."""

import math
from typing import Any

from merlinthread.coordination import fetch


@fetch.POLICIES.add("spread")
class Spread(fetch.FetchPlan):
    """Each chunk is read from the origin by one VM, its owner; the rest passes between VMs.

    The owner is first in rendezvous order among the readers, a few participants that are the same
    for everybody. A chunk that is nowhere to be had for `origin_grace_s` is read by another VM.
    """

    owned = 0

    def on_participants(self) -> None:
        """Find the chunks that this VM reads from the origin."""
        ordered = sorted(self.participants, key=lambda name: fetch.weight(name, self.manifest, -1))
        readers = ordered[: fetch.READERS_MAX]
        self.owned = 0
        if self.me not in readers:
            return
        for index in range(self.chunk_count):
            if max(readers, key=lambda name: fetch.weight(name, self.manifest, index)) == self.me:
                self.owned |= 1 << index

    def next_action(self, now: float) -> fetch.Action | None:
        """Read what is owned, else ask the nearest peer for what is rarest."""
        needed = self.needed()
        if not needed:
            return None
        own = self.readable(now)
        if own and self.may_read_origin(now):
            return fetch.FromOrigin(self.first_to_read(own))
        for peer in self.askable(now):
            action = self.ask(peer, now)
            if action is not None:
                return action
        return self.rescue(needed, now) or self.probe(needed, now)

    def readable(self, now: float) -> int:
        """Return the owned chunks to read at the origin."""
        return self.needed() & self.owned

    def first_to_read(self, chunks: int) -> int:
        """Return one of some chunks by lot; one that the origin failed to give goes last."""
        indices = fetch.bits(chunks)
        fewest = min(self.origin_failures[index] for index in indices)
        return self.rng.choice([i for i in indices if self.origin_failures[i] == fewest])

    def probe(self, needed: int, now: float) -> fetch.FromPeer | None:
        """Ask the peer whose word is most overdue for a part of what is needed.

        Far peers are due less often, but they come: near ones may all lack the same chunks.
        """
        peer = self.most_overdue(now)
        if peer is None:
            return None
        indices = fetch.bits(needed)
        part = self.rng.sample(indices, max(1, len(indices) // 4))
        return fetch.FromPeer(peer.name, sum(1 << index for index in part))

    def most_overdue(self, now: float) -> fetch.PeerState | None:
        """Return the peer whose word is most overdue, or None if no word is."""

        def age(peer: fetch.PeerState) -> float:
            return peer.overdue(now, self.stale_after_s)

        return max((peer for peer in self.askable(now) if age(peer) > 1), key=age, default=None)

    def rescue(self, needed: int, now: float) -> fetch.FromOrigin | None:
        """Read a chunk whose owner does not deliver, if this VM is next to do so.

        Each VM of a zone waits longer the later it stands in the chunk's rendezvous order; so a
        zone that is cut off reads a chunk that it lacks about once.
        """
        waited = now - self.last_news_at
        if waited < self.origin_grace_s or not self.may_read_origin(now):
            return None
        for peer in self.peers.values():
            if peer.lost_until < now:
                needed &= ~peer.held
        due = [
            index
            for index in fetch.bits(needed)
            if waited >= self.origin_grace_s * (1 + self.rank(index))
        ]
        if not due:
            return None
        return fetch.FromOrigin(min(due, key=self.rank))

    def rank(self, index: int) -> int:
        """Return this VM's place in its zone's rendezvous order for a chunk, from 0."""
        if index not in self.ranks:
            mine = fetch.weight(self.me, self.manifest, index)
            ahead = [name for name in self.near if fetch.weight(name, self.manifest, index) > mine]
            self.ranks[index] = len(ahead)
        return self.ranks[index]


# How long an owner listens for peers that have its chunks already before it reads the origin.
LISTEN_S = 0.1
# A chunk that nobody has once the origin should have given a whole copy is read by the next VM in
# order, and after each further step by one more. A piece takes about 0.3 s from the origin while
# all read; on svppa-windwatch trouble-1 one piece was still there when the origin went away.
RESCUE_STEP_S = 0.3
# A chunk that a far VM has is brought into the zone by the next VM in order after this long; one
# that can't be reached is passed over at once. In the model of `bench transfer` 0.4 s brings 4.8
# copies across regions to 10 agents and 1.5 s 3.8, but then the last of 23 agents is whole at 2.1
# of the bound and not at 1.5. If time presses, copies matter less.
BRING_STEP_S = 0.8
BRING_STEP_LATE_S = 0.4

# Of a VM's link, what reading the origin may count on: peers' pieces and requests use it too. On
# svppa-windwatch three readers of 3.8 Mbit/s got 21 pieces a second of 37 that the origin gives.
READ_SHARE = 0.5


def origin_readers(
    near: list[str], everyone: list[str], link_rate: float, origin_rate: float
) -> list[str]:
    """Return the VMs that share the reading of the origin; rates in bytes a second.

    Those in the origin's region alone if their links together carry what the origin gives: what
    others read crosses between regions once more than it must.
    """
    return near if len(near) * link_rate * READ_SHARE >= origin_rate > 0 else everyone


@fetch.POLICIES.add("zoned")
class Zoned(Spread):
    """As `Spread`, but each chunk crosses into a zone about once.

    A chunk is asked of a far peer only by the VM that is first for it in its zone; the others get
    it from that one. The longer a far VM is known to have it, the more VMs of the zone may ask for
    it themselves. Who owns a chunk is decided among `readers`, and how long the origin takes for
    a copy is `origin_span_s`; the owner of the plan sets both. With `is_late` the next VM brings
    a chunk sooner.
    """

    is_late = False
    origin_span_s = math.inf
    readers: list[str] | None = None

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        self.far_since: dict[int, float] = {}
        self.seen_far = 0
        self.has_heard = False
        self.ahead: dict[int, list[str]] = {}

    def set_readers(self, readers: list[str]) -> None:
        """Set who shares the reading of the origin."""
        if readers != self.readers:
            self.readers = readers
            self.on_participants()

    def on_participants(self) -> None:
        """Find the chunks that this VM reads from the origin."""
        self.ahead = {}
        readers = self.readers or self.participants
        self.owned = 0
        if len(readers) > fetch.READERS_MAX:
            readers = sorted(readers, key=lambda name: fetch.weight(name, self.manifest, -1))
            readers = sorted(readers[: fetch.READERS_MAX])
        # In turn, not by rendezvous: all must be through at the same time.
        mine = readers.index(self.me) if self.me in readers else None
        if mine is None:
            return
        for index in range(mine, self.chunk_count, len(readers)):
            self.owned |= 1 << index

    def heard(self, peer: str, held: int, now: float) -> None:
        """Note what a peer says it has, and since when a far one has a chunk."""
        super().heard(peer, held, now)
        self.has_heard = True
        state = self.peers.get(peer)
        if state is None or state.distance == fetch.OWN_ZONE:
            return
        for index in fetch.bits(held & ~self.seen_far):
            self.far_since[index] = now
        self.seen_far |= held

    def readable(self, now: float) -> int:
        """Return the owned chunks to read at the origin: those that no peer is known to have.

        At first no peer has told anything; a moment later most have.
        """
        if now < self.began_at + LISTEN_S and self.peers and not self.has_heard:
            return 0
        return self.needed() & self.owned & ~self.known()

    def known(self) -> int:
        """Return the chunks that this VM or one that it can reach has."""
        known = self.held
        for peer in self.peers.values():
            known |= peer.held
        return known

    def rescue(self, needed: int, now: float) -> fetch.FromOrigin | None:
        """Read a chunk that should long be there but that nobody is known to have.

        Each VM waits longer the later it stands in the chunk's rendezvous order; those that it
        can't reach do not count, so a zone that is cut off reads a chunk that it lacks about once.
        """
        overdue_s = now - self.expected_at()
        if overdue_s < 0 or not self.may_read_origin(now):
            return None
        for peer in self.peers.values():
            if peer.lost_until < now:
                needed &= ~peer.held
        due = [
            index
            for index in fetch.bits(needed)
            if overdue_s >= RESCUE_STEP_S * self.place(index, now)
        ]
        if not due:
            return None
        return fetch.FromOrigin(
            min(due, key=lambda index: (self.origin_failures[index], self.full_place(index)))
        )

    def expected_at(self) -> float:
        """Return when every chunk should be at some VM."""
        if math.isinf(self.origin_span_s):
            return self.last_news_at + self.origin_grace_s
        return self.began_at + LISTEN_S + self.origin_span_s + RESCUE_STEP_S

    def place(self, index: int, now: float) -> int:
        """Return how many VMs that can be reached stand before this one for a chunk."""
        return sum(self.can_reach(name, now) for name in self.ahead_of_me(index))

    def full_place(self, index: int) -> int:
        """Return this VM's place in the rendezvous order of all VMs for a chunk, from 0."""
        return len(self.ahead_of_me(index))

    def ahead_of_me(self, index: int) -> list[str]:
        """Return the VMs that stand before this one in the rendezvous order for a chunk."""
        if index not in self.ahead:
            mine = fetch.weight(self.me, self.manifest, index)
            self.ahead[index] = [
                name
                for name in self.participants
                if fetch.weight(name, self.manifest, index) > mine
            ]
        return self.ahead[index]

    def ask(self, peer: fetch.PeerState, now: float) -> fetch.FromPeer | None:
        """Return a request; of a far peer only for what this VM is to bring into its zone."""
        if peer.distance == fetch.OWN_ZONE:
            return super().ask(peer, now)
        allowed = self.to_bring(now)
        if not allowed & peer.held:
            return None
        held, peer.held = peer.held, peer.held & allowed
        try:
            return super().ask(peer, now)
        finally:
            peer.held = held

    def probe(self, needed: int, now: float) -> fetch.FromPeer | None:
        """Ask the peer whose word is most overdue; a far one only for what is to be brought."""
        peer = self.most_overdue(now)
        if peer is None:
            return None
        wanted = needed if peer.distance == fetch.OWN_ZONE else needed & self.to_bring(now)
        return fetch.FromPeer(peer.name, wanted) if wanted else None

    def to_bring(self, now: float) -> int:
        """Return the chunks that this VM may ask far peers for."""
        idle_steps = int((now - self.last_news_at) / self.origin_grace_s)
        step_s = BRING_STEP_LATE_S if self.is_late else BRING_STEP_S
        found = 0
        for index in fetch.bits(self.needed()):
            steps = int((now - self.far_since.get(index, now)) / step_s)
            if self.zone_place(index, now) <= max(steps, idle_steps):
                found |= 1 << index
        return found

    def zone_place(self, index: int, now: float) -> int:
        """Return how many VMs of the zone that can be reached stand before this one."""
        if not self.rank(index):
            return 0
        return sum(
            name in self.near and self.can_reach(name, now) for name in self.ahead_of_me(index)
        )

    def can_reach(self, name: str, now: float) -> bool:
        """Return whether nothing speaks against a VM being there."""
        return name not in self.peers or self.peers[name].lost_until < now
