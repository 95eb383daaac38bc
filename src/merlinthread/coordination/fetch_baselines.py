"""Simple fetch policies, kept to compare `spread` with: a tree, and everything from the origin."""

from merlinthread.coordination import fetch


@fetch.POLICIES.add("tree")
class Tree(fetch.FetchPlan):
    """A binary tree over the participants: the root reads all, each VM asks only its parent.

    A simple baseline; while the parent is lost, its parent is asked.
    """

    def neighbours(self, peers: list[fetch.Peer]) -> list[fetch.Peer]:
        """Return everybody: any may become the parent."""
        return peers

    def parent(self, now: float) -> str:
        """Return the nearest live VM above this one, or an empty string at the top."""
        position = self.participants.index(self.own_name)
        while position > 0:
            position = (position - 1) // 2
            state = self.peers.get(self.participants[position])
            if state is not None and state.lost_until < now:
                return self.participants[position]
        return ""

    def next_action(self, now: float) -> fetch.Action | None:
        """Ask the parent, or the origin at the top."""
        needed = self.needed()
        if not needed:
            return None
        name = self.parent(now)
        if not name:
            if not self.may_read_origin(now):
                return None
            return fetch.OriginRead(fetch.bit_positions(needed)[0])
        peer = self.peers[name]
        if peer.not_before > now or self.open_requests[name]:
            return None
        return fetch.PeerRequest(name, needed)


@fetch.POLICIES.add("origin_only")
class OriginOnly(fetch.FetchPlan):
    """Every VM reads everything from the origin; a baseline that its link can't carry."""

    def next_action(self, now: float) -> fetch.Action | None:
        """Read the next chunk from the origin."""
        needed = self.needed()
        if not needed or not self.may_read_origin(now):
            return None
        return fetch.OriginRead(fetch.bit_positions(needed)[0])
