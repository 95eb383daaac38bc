"""The fetch policy `claimed`: VMs announce origin reads, to avoid reading a chunk twice.

The origin's link is usually the bottleneck of a rollout, so duplicate reads delay all VMs.
"""

import math
import random

from merlinthread.coordination import fetch, fetch_policies

# Longer than a read from an origin that many VMs read at once: 24 KB take 0.45 s of 4.38 Mbit/s
# that ten VMs share, and 1.1 s if 24 VMs turn to an origin that is back.
CLAIM_LIFETIME_S = 1.2
# Short, so that owners resume soon after an outage of the origin.
OWNED_CHUNK_RETRY_S = 0.1
# Lower bound of the delay for VMs that do not own the chunk, so that owners read first.
FALLBACK_RETRY_S = 1.0


@fetch.POLICIES.add("claimed")
class Claimed(fetch_policies.Zoned):
    """Like `Zoned`, but readers tell each other which chunks they start to read and have read.

    A reader that has read its own chunks takes over those that nobody has claimed. A chunk that was
    already read is read again only within a VM's share of the origin's link, or if it is late.
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
        self.fallback_not_before = -math.inf

    def claim_recipients(self) -> list[str]:
        """Return the other readers."""
        return [reader for reader in self.readers if reader != self.own_name]

    def announcement_recipients(self, action: fetch.Action) -> list[str]:
        """Return the VMs to notify of a fetched chunk; an origin read concerns all readers."""
        recipients = super().announcement_recipients(action)
        if isinstance(action, fetch.PeerRequest):
            return recipients
        known = set(recipients)
        return recipients + [reader for reader in self.claim_recipients() if reader not in known]

    def on_claim(self, index: int, now: float) -> None:
        """Record that another VM has started to read a chunk from the origin."""
        if index < self.chunk_count:
            self.claims[index] = now

    def on_origin_failed(self, now: float, wait_s: float, index: int | None = None) -> None:
        """Record a failed origin read, with a shorter retry delay if this VM owns the chunk."""
        is_own = index is not None and bool(self.owned >> index & 1)
        super().on_origin_failed(now, OWNED_CHUNK_RETRY_S if is_own else wait_s, index)
        if not is_own:
            self.fallback_not_before = now + FALLBACK_RETRY_S * self.rng.uniform(1.0, 2.0)

    def unread_chunks(self, now: float) -> int:
        """Return the needed chunks that no available VM holds or has claimed."""
        unread = self.readable()
        for peer in self.peers.values():
            if peer.unavailable_until < now:
                unread &= ~peer.held
        return unread & ~self.active_claims(now)

    def next_action(self, now: float) -> fetch.Action | None:
        """Read an unread owned chunk, any unread chunk if late, else request from peers."""
        if not self.needed():
            return None
        if self.is_reader and self.may_read_origin(now):
            own = self.unread_chunks(now) & self.owned
            if own:
                return fetch.OriginRead(self.least_failed(own))
            takeover = self.takeover_read(now) if self.is_late else None
            if takeover is not None:
                return takeover
        return (
            self.request_from_peer(now)
            or self.fallback_read(self.needed(), now)
            or self.probe_stalest(now)
        )

    def request_from_peer(self, now: float) -> fetch.PeerRequest | None:
        """Return a request to the nearest peer that holds a needed chunk, or None."""
        for peer in self.available_peers(now):
            action = self.build_request(peer, now)
            if action is not None:
                return action
        return None

    def probe_stalest(self, now: float) -> fetch.PeerRequest | None:
        """Return a request to the peer with the stalest report, or None."""
        return self.probe(self.needed(), now)

    def fallback_read(self, needed: int, now: float) -> fetch.OriginRead | None:
        """Read an overdue or extra chunk that is not claimed, unless the origin has just failed."""
        if now < self.fallback_not_before:
            return None
        return super().fallback_read(needed & ~self.active_claims(now), now)

    def extra_read(self, needed: int, now: float) -> fetch.OriginRead | None:
        """Read a chunk of another owner, unread ones first, within this VM's share."""
        if not self.is_reader or now < self.next_extra_read_at or not self.may_read_origin(now):
            return None
        if self.extra_read_interval_s == math.inf:
            return None
        action = self.takeover_read(now)
        if action is None:
            action = self.repeat_read()
        if action is not None:
            self.next_extra_read_at = now + self.extra_read_interval_s
        return action

    def takeover_read(self, now: float) -> fetch.OriginRead | None:
        """Return a read of an unread chunk of any owner, a repeated read if late, or None."""
        if now < self.fallback_not_before:
            return None
        unread = self.unread_chunks(now)
        if unread:
            return fetch.OriginRead(self.least_failed(unread))
        return self.repeat_read() if self.is_late else None

    def repeat_read(self) -> fetch.OriginRead | None:
        """Return a read of a needed chunk that no peer of this zone is known to hold, or None."""
        missing = self.readable()
        for peer in self.peers.values():
            if peer.distance == fetch.SAME_ZONE:
                missing &= ~peer.held
        if not missing:
            return None
        return fetch.OriginRead(min(fetch.bit_positions(missing), key=self.rank))

    def active_claims(self, now: float) -> int:
        """Return the chunks claimed by other VMs within the last CLAIM_LIFETIME_S."""
        claimed = 0
        for index, claimed_at in self.claims.items():
            if now - claimed_at < CLAIM_LIFETIME_S:
                claimed |= 1 << index
        return claimed

    def least_failed(self, chunks: int) -> int:
        """Return a chunk with the fewest failed origin reads, at random among equals."""
        return min(
            fetch.bit_positions(chunks),
            key=lambda index: (self.origin_failures[index], self.rng.random()),
        )
