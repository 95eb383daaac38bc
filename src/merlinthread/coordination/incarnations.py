"""Incarnations of back ends: a back end's id together with the start time of its process.

A process may restart under the same id, without any state of the previous one. The state kept for
a back end is therefore keyed by incarnation, so that a delayed message from the previous process
does not affect the new one.

The start time comes from a clock that may have been set between two starts, so a later one makes
a newer incarnation likely and proves nothing (see `coordination.instances`).
"""

import dataclasses

SEPARATOR = "@"


@dataclasses.dataclass(slots=True, frozen=True)
class Incarnation:
    """A back end's id and its start time in Unix milliseconds, 0 if it is not known."""

    id: str
    born_ms: int = 0

    def name(self) -> str:
        """Return the name of this incarnation, which is the id if the start is not known."""
        return f"{self.id}{SEPARATOR}{self.born_ms}" if self.born_ms else self.id

    def is_newer(self, other: "Incarnation") -> bool:
        """Return whether this is a later incarnation of the same back end by its start time."""
        return self.id == other.id and self.starts_after(other)

    def starts_after(self, other: "Incarnation") -> bool:
        """Return whether both start times are known and this one is later."""
        return self.born_ms > other.born_ms > 0


def parse(name: str) -> Incarnation:
    """Parse a name as returned by `Incarnation.name`."""
    id_, separator, start = name.rpartition(SEPARATOR)
    if not separator or not start.isdecimal():
        return Incarnation(name)
    return Incarnation(id_, int(start))
