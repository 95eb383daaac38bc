"""The fetch policy `claimed`: no chunk is read from the origin twice while its reader lives.

The origin's link is the narrowest one of a rollout: whatever passes it twice delays all VMs.
"""

import math
import random

from merlinthread.coordination import fetch, fetch_policies

# How long a claim holds. Reckoned: a chunk of 24 KB takes 0.45 s of an origin of 4.38 Mbit/s that
# ten VMs read at once, and 1.1 s when it is back after a while and 24 VMs turn to it.
CLAIM_LIFETIME_S = 1.2
# An origin that was away is tried again by the owners of chunks: a refusal costs 3 packets, and at
# this pace half of the pause, 0.05 s, is lost when it is back.
OWNED_CHUNK_RETRY_S = 0.1
# Others try it again after once to twice as long, so that the owners' reads are not shared out
# among all VMs when it is back (reckoned for 24 VMs: the first new chunk after 1.1 s, not 0.45 s).
FALLBACK_RETRY_S = 1.0


@fetch.POLICIES.add("claimed")
class Claimed(fetch_policies.Zoned):
    """As `Zoned`, but readers tell each other which chunk they begin to read, and which they have.

    A reader that is done with its own takes over what nobody has claimed; what is out is read again
    within each VM's share, or by those that are late. In the model (24 VMs, origin of 1.2 of a VM's
    link, away from 2.5 to 8.5 s) the origin sends 1.30 copies for 1.44 and half of the VMs are
    whole at 11.5 s for 11.9 s. On two full days with 41 VMs it sent 2.2 and 2.7 copies for 2.4
    and 3.8, but no VM was whole sooner and the days were not worth more: it spares the origin.
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
        super().__init__(own_name, manifest, chunk_count, held, origin_slots, now, rng)
        self.claims: dict[int, float] = {}
        self.rescue_not_before = -math.inf

    def claim_recipients(self) -> list[str]:
        """Return whom to tell of a chunk that this VM begins to read from the origin."""
        return [reader for reader in self.readers if reader != self.own_name]

    def announcement_recipients(self, action: fetch.Action) -> list[str]:
        """Return whom to tell of a chunk that has come; all readers hear what the origin gave."""
        told = super().announcement_recipients(action)
        if isinstance(action, fetch.PeerRequest):
            return told
        known = set(told)
        return told + [reader for reader in self.claim_recipients() if reader not in known]

    def on_claim(self, index: int, now: float) -> None:
        """Note that another VM reads a chunk from the origin now."""
        if index < self.chunk_count:
            self.claims[index] = now

    def on_origin_failed(self, now: float, wait_s: float, index: int | None = None) -> None:
        """Note that the origin gave nothing; owners try again soon, others much later."""
        is_own = index is not None and bool(self.owned >> index & 1)
        super().on_origin_failed(now, OWNED_CHUNK_RETRY_S if is_own else wait_s, index)
        if not is_own:
            self.rescue_not_before = now + FALLBACK_RETRY_S * self.rng.uniform(1.0, 2.0)

    def unread(self, now: float) -> int:
        """Return the needed chunks that no live VM is known to have or to be reading."""
        rest = self.needed()
        for peer in self.peers.values():
            if peer.lost_until < now:
                rest &= ~peer.held
        return rest & ~self.claims_in_force(now)

    def next_action(self, now: float) -> fetch.Action | None:
        """Read what is owned and not out yet, or what is left if time presses; else ask peers."""
        if not self.needed():
            return None
        if self.is_reader and self.may_read_origin(now):
            own = self.unread(now) & self.owned
            if own:
                return fetch.OriginRead(self.least_failed(own))
            taken = self.take_over(now) if self.is_late else None
            if taken is not None:
                return taken
        return self.from_peers(now) or self.rescue(self.needed(), now) or self.ask_unsure(now)

    def from_peers(self, now: float) -> fetch.PeerRequest | None:
        """Return a request to the nearest peer that is known to have something needed."""
        for peer in self.available_peers(now):
            action = self.ask(peer, now)
            if action is not None:
                return action
        return None

    def ask_unsure(self, now: float) -> fetch.PeerRequest | None:
        """Return a request to the peer whose word is most overdue."""
        return self.probe(self.needed(), now)

    def rescue(self, needed: int, now: float) -> fetch.OriginRead | None:
        """Read a chunk whose owner does not deliver, unless the origin has just failed."""
        if now < self.rescue_not_before:
            return None
        return super().rescue(needed & ~self.claims_in_force(now), now)

    def spare(self, needed: int, now: float) -> fetch.OriginRead | None:
        """Read an unread chunk of another owner within this VM's share of the origin's link."""
        if not self.is_reader or now < self.spare_at or not self.may_read_origin(now):
            return None
        if self.extra_read_interval_s == math.inf:
            return None
        taken = self.take_over(now)
        if taken is None:
            taken = self.read_again()
        if taken is not None:
            self.spare_at = now + self.extra_read_interval_s
        return taken

    def take_over(self, now: float) -> fetch.OriginRead | None:
        """Return the reading of a chunk of another owner, or None if there is none to be read."""
        if now < self.rescue_not_before:
            return None
        unread = self.unread(now)
        if unread:
            return fetch.OriginRead(self.least_failed(unread))
        return self.read_again() if self.is_late else None

    def read_again(self) -> fetch.OriginRead | None:
        """Return the reading of a chunk that is out, but not known to be in this zone."""
        lacking = self.needed()
        for peer in self.peers.values():
            if peer.distance == fetch.SAME_ZONE:
                lacking &= ~peer.held
        if not lacking:
            return None
        return fetch.OriginRead(min(fetch.bit_positions(lacking), key=self.rank))

    def claims_in_force(self, now: float) -> int:
        """Return the chunks that other VMs said they read from the origin a moment ago."""
        reading = 0
        for index, claimed_at in self.claims.items():
            if now - claimed_at < CLAIM_LIFETIME_S:
                reading |= 1 << index
        return reading

    def least_failed(self, chunks: int) -> int:
        """Return a chunk that the origin has failed to give least often, by lot among equals."""
        return min(
            fetch.bit_positions(chunks),
            key=lambda index: (self.origin_failures[index], self.rng.random()),
        )
