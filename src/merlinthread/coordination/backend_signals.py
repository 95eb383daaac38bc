"""What back ends said of whether they take requests: that they leave.

A back end says so in its answers, and control VMs tell what its heartbeats said. Each may be lost
or late by itself, so the word that closes a back end holds, whoever brought it:

- That it leaves holds for the rest of its life. Heartbeats that still say `ready` may have been
  sent before. Only its next incarnation is open again, under a name of its own
  (`coordination.incarnations`).

The words are kept here and not with the record of a back end, since that goes when the news drop
the back end for a moment.
"""

import dataclasses
import enum

# Back ends that left and are remembered; some 590 of a large fleet are restarted in a day.
KEPT_MAX = 4096


class Source(enum.StrEnum):
    """Who told that a back end leaves."""

    ANSWER = "answer"
    NEWS = "news"


@dataclasses.dataclass(slots=True)
class Standing:
    """Whether one incarnation takes requests; times are those of the VM's clock.

    `told_by` and `told_at` say from where it is known that it leaves.
    """

    is_leaving: bool = False
    told_by: Source | None = None
    told_at: float = float("-inf")

    def note_leaving(self, source: Source, now: float) -> bool:
        """Note that it leaves; return whether that is new."""
        if self.is_leaving:
            return False
        self.is_leaving = True
        self.told_by = source
        self.told_at = now
        return True


class BackendSignals:
    """What is known of all back ends, by the names of their incarnations."""

    def __init__(self) -> None:
        self.standings: dict[str, Standing] = {}

    def of(self, instance: str) -> Standing:
        """Return the standing of an incarnation, the same object each time."""
        return self.standings.setdefault(instance, Standing())

    def forget_others(self, present: set[str]) -> None:
        """Forget absent incarnations of which nothing was said, then the oldest ones."""
        absent = [name for name in self.standings if name not in present]
        for name in absent:
            if not self.standings[name].is_leaving:
                del self.standings[name]
        while len(self.standings) > KEPT_MAX + len(present):
            oldest = next(name for name in self.standings if name not in present)
            del self.standings[oldest]

    def count_leaving(self) -> int:
        """Return how many are known to leave, or to have left."""
        return sum(standing.is_leaving for standing in self.standings.values())
