"""What back ends said of whether they take requests: that they leave, want a rest, or less work.

A back end says so in its answers, and control VMs tell what its heartbeats said. Each may be lost
or late by itself, so the word that closes a back end holds, whoever brought it:

- That it leaves holds for the rest of its life. Heartbeats that still say `ready` may have been
  sent before. Only its next incarnation is open again, under a name of its own
  (`coordination.incarnations`).
- That it wants a rest holds for the VM that was told so, until the rest is over. Then it is used as
  before. One request first, as behind a half-open circuit breaker (Nygard 2007), would spare it
  nothing: a refusal is back before the next request is sent, and its places would stand empty.
- That it takes only so many requests a second from all VMs together holds until it says otherwise:
  it is said in each answer. Each request needs a permit then (`coordination.rate_limits`).

The words are kept here and not with the record of a back end, since that goes when the news drop
the back end for a moment.
"""

import dataclasses
import enum

from merlinthread.coordination import limit_ledger

# The longest rest that is kept, in seconds: after it the back end may ask for another one.
REST_S_MAX = 300.0
# Back ends that left and are remembered; some 590 of a large fleet are restarted in a day.
RECORDS_MAX = 4096


class LeavingSource(enum.StrEnum):
    """Who told that a back end leaves."""

    ANSWER = "answer"
    NEWS = "news"


@dataclasses.dataclass(slots=True)
class Availability:
    """Whether one incarnation takes requests; times are those of the VM's clock.

    `told_by` and `told_at` say from where it is known that it leaves. `limit_per_s` is how many
    requests a second it takes from all VMs together, as heard at `limit_heard_at`, None if it names
    no limit; no permit is to be had before `next_permit_at`.
    """

    is_leaving: bool = False
    told_by: LeavingSource | None = None
    told_at: float = float("-inf")
    rest_until: float = float("-inf")
    limit_per_s: float | None = None
    limit_heard_at: float = float("-inf")
    next_permit_at: float = float("-inf")

    def is_resting(self, now: float) -> bool:
        """Return whether it wants nothing now."""
        return now < self.rest_until

    def is_unavailable(self, now: float) -> bool:
        """Return whether nothing may be sent there now."""
        return self.is_leaving or self.is_resting(now)

    def is_limited(self) -> bool:
        """Return whether each request needs a permit."""
        return self.limit_per_s is not None

    def lacks_permit(self, now: float) -> bool:
        """Return whether it is known that there is no permit now."""
        return self.is_limited() and now < self.next_permit_at

    def available_at(self, now: float) -> float:
        """Return when it takes a request again: `now`, or later if it rests or has no permit."""
        next_permit_at = self.next_permit_at if self.is_limited() else now
        return max(now, self.rest_until, next_permit_at)

    def record_limit(self, per_s: float | None, sent_at: float, now: float) -> bool:
        """Note the limit in the answer to a request sent at `sent_at`; return whether it changed.

        Answers may overtake each other. A lower limit holds at once; a higher one, or none, only
        from an answer that was surely given after the limit which holds: its request was sent after
        that was heard.
        """
        before = self.limit_per_s
        if before is not None and sent_at < self.limit_heard_at:
            if per_s is None or per_s > before:
                return False
        if per_s is None or before is None or per_s > before:
            # What is known of permits is about the limit that held.
            self.next_permit_at = float("-inf")
        self.limit_per_s = per_s
        self.limit_heard_at = now
        return per_s != before

    def merge_limit(self, per_s: float | None, heard_at: float) -> None:
        """Note what another VM heard at `heard_at`, unless this one has heard something since."""
        if heard_at <= self.limit_heard_at:
            return
        if per_s != self.limit_per_s:
            self.next_permit_at = float("-inf")
        self.limit_per_s = per_s
        self.limit_heard_at = heard_at

    def record_leaving(self, source: LeavingSource, now: float) -> bool:
        """Note that it leaves; return whether that is new."""
        if self.is_leaving:
            return False
        self.is_leaving = True
        self.told_by = source
        self.told_at = now
        return True

    def record_rest(self, rest_s: float, now: float) -> bool:
        """Note that it wants nothing for `rest_s`; return whether it was not at rest before.

        Refusals that were on their way together may overtake each other: the latest end holds.
        """
        was_resting = self.is_resting(now)
        self.rest_until = max(self.rest_until, now + min(rest_s, REST_S_MAX))
        return not was_resting


class BackendSignals:
    """What is known of all back ends, by the names of their incarnations."""

    def __init__(self) -> None:
        self.availabilities: dict[str, Availability] = {}

    def availability_of(self, instance: str) -> Availability:
        """Return the standing of an incarnation, the same object each time."""
        return self.availabilities.setdefault(instance, Availability())

    def merge_reported_limit(self, told: limit_ledger.LimitReport, now: float) -> None:
        """Take over what another VM heard of a back end's limit, or of its end."""
        if told.per_s is not None or told.instance in self.availabilities:
            self.availability_of(told.instance).merge_limit(told.per_s, now - told.heard_age_s)

    def prune(self, present: set[str], now: float) -> None:
        """Forget absent incarnations of which nothing was said, then the oldest ones."""
        absent = [name for name in self.availabilities if name not in present]
        for name in absent:
            availability = self.availabilities[name]
            if not availability.is_unavailable(now) and not availability.is_limited():
                del self.availabilities[name]
        while len(self.availabilities) > RECORDS_MAX + len(present):
            oldest = next(name for name in self.availabilities if name not in present)
            del self.availabilities[oldest]

    def count_leaving(self) -> int:
        """Return how many are known to leave, or to have left."""
        return sum(availability.is_leaving for availability in self.availabilities.values())

    def count_limited(self) -> int:
        """Return how many take only so many requests a second."""
        return sum(availability.is_limited() for availability in self.availabilities.values())

    def count_resting(self, now: float) -> int:
        """Return how many want nothing now."""
        return sum(availability.is_resting(now) for availability in self.availabilities.values())
