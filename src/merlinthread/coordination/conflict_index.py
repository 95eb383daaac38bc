"""An index of incarnations that conflict: they share a back end's id or an address.

Thousands of instances register when a fleet starts, so conflicts are looked up by key instead of by
a scan of all instances.
"""

import collections

from merlinthread.coordination import fleet, incarnations


class ConflictIndex:
    """The names of the present incarnations, by id and by address."""

    def __init__(self) -> None:
        self.address_of: dict[str, str] = {}
        self.by_id: dict[str, set[str]] = collections.defaultdict(set)
        self.by_address: dict[str, set[str]] = collections.defaultdict(set)

    def put(self, heartbeat: fleet.Heartbeat) -> None:
        """Add an incarnation, or update its address."""
        name = heartbeat.instance
        if self.address_of.get(name) == heartbeat.address:
            return
        self.discard(name)
        self.address_of[name] = heartbeat.address
        self.by_id[incarnations.parse(name).id].add(name)
        self.by_address[heartbeat.address].add(name)

    def discard(self, name: str) -> None:
        """Remove an incarnation if it is present."""
        address = self.address_of.pop(name, None)
        if address is None:
            return
        remove_from_index(self.by_id, incarnations.parse(name).id, name)
        remove_from_index(self.by_address, address, name)

    def conflicts(self, heartbeat: fleet.Heartbeat) -> list[str]:
        """Return the sorted names of other incarnations with the same id or address."""
        id_ = incarnations.parse(heartbeat.instance).id
        found = self.by_id.get(id_, set()) | self.by_address.get(heartbeat.address, set())
        return sorted(found - {heartbeat.instance})

    def with_id(self, id_: str) -> list[str]:
        """Return the sorted names of the incarnations of one id."""
        return sorted(self.by_id.get(id_, set()))


def remove_from_index(index: dict[str, set[str]], key: str, name: str) -> None:
    """Remove `name` from the set at `key`, and the key once its set is empty."""
    index[key].discard(name)
    if not index[key]:
        del index[key]
