"""Requests of control VMs to join the group, at most one for each VM."""

from collections.abc import Collection

from merlinthread.coordination import raft_members


class JoinRequests:
    """The time at which the leader last received a request, by the name of the joining member.

    A VM that lost its data asks under a new member name. A request under a former name must not
    stay in effect beside it, since each of the two would remove the member of the other.
    """

    def __init__(self, expiry_s: float) -> None:
        self.expiry_s = expiry_s
        self.received_at: dict[str, float] = {}

    def record(self, name: str, now: float) -> None:
        """Record a request; it ends those of other members of the same VM."""
        address = raft_members.address_of(name)
        for other in list(self.received_at):
            if raft_members.address_of(other) == address:
                del self.received_at[other]
        self.received_at[name] = now

    def pending(self, retired: Collection[str], now: float) -> dict[str, float]:
        """Return the requests in effect; drop those that expired or whose members were removed."""
        for name, received_at in list(self.received_at.items()):
            if name in retired or now - received_at > self.expiry_s:
                del self.received_at[name]
        return dict(self.received_at)

    def clear(self) -> None:
        """Discard all requests."""
        self.received_at.clear()
