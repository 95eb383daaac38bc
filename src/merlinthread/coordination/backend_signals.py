"""What back ends said of whether they take requests: that they leave, that they want a rest.

A back end says so in its answers, and control VMs tell what its heartbeats said. Each may be lost
or late by itself, so the word that closes a back end holds, whoever brought it:

- That it leaves holds for the rest of its life. Heartbeats that still say `ready` may have been
  sent before. Only its next incarnation is open again, under a name of its own
  (`coordination.incarnations`).
- That it wants a rest holds for the VM that was told so, until the rest is over. After that it is
  on trial: one request at a time until one is taken (the half-open state of a circuit breaker,
  Nygard 2007). If all that waits came at once, one that is still short would turn all away again.

The words are kept here and not with the record of a back end, since that goes when the news drop
the back end for a moment.
"""

import dataclasses
import enum

# The longest rest that is kept, in seconds: after it the back end is asked once, on trial.
REST_S_MAX = 300.0
# Back ends that left and are remembered; some 590 of a large fleet are restarted in a day.
KEPT_MAX = 4096


class Source(enum.StrEnum):
    """Who told that a back end leaves."""

    ANSWER = "answer"
    NEWS = "news"


@dataclasses.dataclass(slots=True)
class Standing:
    """Whether one incarnation takes requests; times are those of the VM's clock.

    `told_by` and `told_at` say from where it is known that it leaves. `is_trial_under_way` tells
    that the one request of its trial has been sent and not been answered yet.
    """

    is_leaving: bool = False
    told_by: Source | None = None
    told_at: float = float("-inf")
    rest_until: float = float("-inf")
    is_on_trial: bool = False
    is_trial_under_way: bool = False

    def rests(self, now: float) -> bool:
        """Return whether it wants nothing now."""
        return now < self.rest_until

    def is_closed(self, now: float) -> bool:
        """Return whether nothing at all may be sent there now."""
        return self.is_leaving or self.rests(now)

    def takes_another(self, now: float) -> bool:
        """Return whether one more request may be sent there now."""
        return not self.is_closed(now) and not (self.is_on_trial and self.is_trial_under_way)

    def note_leaving(self, source: Source, now: float) -> bool:
        """Note that it leaves; return whether that is new."""
        if self.is_leaving:
            return False
        self.is_leaving = True
        self.told_by = source
        self.told_at = now
        return True

    def note_rest(self, rest_s: float, now: float) -> bool:
        """Note that it wants nothing for `rest_s`; return whether it was not at rest before.

        Refusals that were on their way together may overtake each other: the latest end holds.
        """
        was_resting = self.rests(now)
        self.rest_until = max(self.rest_until, now + min(rest_s, REST_S_MAX))
        self.is_on_trial = True
        return not was_resting

    def pass_trial(self) -> None:
        """Note that the request of its trial was taken."""
        self.is_on_trial = False

    def is_blank(self, now: float) -> bool:
        """Return whether nothing need be remembered of it."""
        return not (self.is_leaving or self.rests(now) or self.is_on_trial)


class BackendSignals:
    """What is known of all back ends, by the names of their incarnations."""

    def __init__(self) -> None:
        self.standings: dict[str, Standing] = {}

    def of(self, instance: str) -> Standing:
        """Return the standing of an incarnation, the same object each time."""
        return self.standings.setdefault(instance, Standing())

    def forget_others(self, present: set[str], now: float) -> None:
        """Forget absent incarnations of which nothing was said, then the oldest ones."""
        absent = [name for name in self.standings if name not in present]
        for name in absent:
            if self.standings[name].is_blank(now):
                del self.standings[name]
        while len(self.standings) > KEPT_MAX + len(present):
            oldest = next(name for name in self.standings if name not in present)
            del self.standings[oldest]

    def count_leaving(self) -> int:
        """Return how many are known to leave, or to have left."""
        return sum(standing.is_leaving for standing in self.standings.values())

    def count_resting(self, now: float) -> int:
        """Return how many want nothing now."""
        return sum(standing.rests(now) for standing in self.standings.values())
