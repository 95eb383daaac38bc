"""Which incarnations of back ends can't be there beside each other: one id, or one address.

Thousands register when a fleet starts, with each control VM and at each node that is told of them.
So those that one may displace are looked up, not searched among all.
"""

import collections

from merlinthread.coordination import fleet, incarnations


class ConflictIndex:
    """The names of incarnations that are there, by id and by address."""

    def __init__(self) -> None:
        self.address_of: dict[str, str] = {}
        self.by_id: dict[str, set[str]] = collections.defaultdict(set)
        self.by_address: dict[str, set[str]] = collections.defaultdict(set)

    def put(self, heartbeat: fleet.Heartbeat) -> None:
        """Note that an incarnation is there, at the address that its heartbeat tells."""
        name = heartbeat.instance
        if self.address_of.get(name) == heartbeat.address:
            return
        self.discard(name)
        self.address_of[name] = heartbeat.address
        self.by_id[incarnations.parse(name).id].add(name)
        self.by_address[heartbeat.address].add(name)

    def discard(self, name: str) -> None:
        """Note that an incarnation is not there, if it was."""
        address = self.address_of.pop(name, None)
        if address is None:
            return
        remove(self.by_id, incarnations.parse(name).id, name)
        remove(self.by_address, address, name)

    def conflicts(self, heartbeat: fleet.Heartbeat) -> list[str]:
        """Return those that can't be there beside this one, in the order of their names."""
        id_ = incarnations.parse(heartbeat.instance).id
        found = self.by_id.get(id_, set()) | self.by_address.get(heartbeat.address, set())
        return sorted(found - {heartbeat.instance})

    def with_id(self, id_: str) -> list[str]:
        """Return the incarnations of one id, in the order of their names."""
        return sorted(self.by_id.get(id_, set()))


def remove(index: dict[str, set[str]], key: str, name: str) -> None:
    """Take a name out from under a key, which goes with its last name."""
    index[key].discard(name)
    if not index[key]:
        del index[key]
