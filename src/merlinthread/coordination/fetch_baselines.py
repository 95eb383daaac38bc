"""Baseline fetch policies for benchmarks: a distribution tree, and the origin alone."""

from merlinthread.coordination import fetch


@fetch.POLICIES.add("tree")
class Tree(fetch.FetchPlan):
    """A binary tree: the root reads from the origin, every other VM from its parent.

    While the parent is unavailable, its nearest available ancestor takes its place.
    """

    def select_neighbours(self, peers: list[fetch.Peer]) -> list[fetch.Peer]:
        """Return all peers: any of them may become the parent."""
        return peers

    def parent(self, now: float) -> str:
        """Return the nearest available ancestor, or an empty string if there is none."""
        position = self.participants.index(self.own_name)
        while position > 0:
            position = (position - 1) // 2
            state = self.peers.get(self.participants[position])
            if state is not None and state.unavailable_until < now:
                return self.participants[position]
        return ""

    def next_action(self, now: float) -> fetch.Action | None:
        """Request needed chunks from the parent, or read them from the origin at the root."""
        needed = self.needed()
        if not needed:
            return None
        name = self.parent(now)
        if not name:
            readable = self.readable()
            if not readable or not self.may_read_origin(now):
                return None
            return fetch.OriginRead(fetch.bit_positions(readable)[0])
        peer = self.peers[name]
        if peer.not_before > now or self.open_requests[name]:
            return None
        return fetch.PeerRequest(name, needed)


@fetch.POLICIES.add("origin_only")
class OriginOnly(fetch.FetchPlan):
    """Every VM reads every chunk from the origin."""

    def next_action(self, now: float) -> fetch.Action | None:
        """Read the first needed chunk from the origin."""
        readable = self.readable()
        if not readable or not self.may_read_origin(now):
            return None
        return fetch.OriginRead(fetch.bit_positions(readable)[0])
