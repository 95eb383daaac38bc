"""One life of a back end's process: its id, and when it began if that is told.

A process that ends may start again under the id that it had, and then holds and knows nothing of
before. So whatever is known of a back end is kept under its incarnation, not under its id: a new
one finds nothing, and a late word of the former one changes nothing.

When a life began is told by a clock that may have stepped back since the life before: a later
moment shows a newer life, an earlier one shows nothing by itself (`coordination.instances`).
"""

import dataclasses

MARK = "@"


@dataclasses.dataclass(slots=True, frozen=True)
class Incarnation:
    """A back end's id and the Unix millisecond of its start, 0 if that is not told."""

    id: str
    born_ms: int = 0

    def name(self) -> str:
        """Return the name under which this life is known; that of an id alone is the id."""
        return f"{self.id}{MARK}{self.born_ms}" if self.born_ms else self.id

    def is_newer(self, other: "Incarnation") -> bool:
        """Return whether this surely is a later life of the same back end."""
        return self.id == other.id and self.born_ms > other.born_ms > 0


def parse(name: str) -> Incarnation:
    """Return the incarnation that a name names."""
    id_, mark, born = name.rpartition(MARK)
    if not mark or not born.isdecimal():
        return Incarnation(name)
    return Incarnation(id_, int(born))
