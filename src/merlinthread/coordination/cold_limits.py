"""Limits on the requests to cold back ends, and what is known about cold starts.

A back end that has just started is slow for some time and fails at a rate well above
`fleet.Service.cold_per_s`. The agent on its VM grants entries a permit for each request meanwhile.
It uses the generic cell rate algorithm (ITU-T I.371), as `rate_limits` does. It permits bursts
where the deployment's bound has room for them, since requests at a mean rate below the limit do not
arrive at regular intervals.

All requests within one second, summed over all entries, stay within the bound even if each permit
is used as late as it is valid.
"""

import dataclasses
import math

from merlinthread.coordination import rate_limits

# The length of the windows to which the bound applies.
WINDOW_S = 1.0
# How long a permit is valid. A connection attempt is repeated after 0.06 s, and the second one
# takes a few round trips.
PERMIT_VALIDITY_S = 0.15
# Time from the check of a permit to the arrival of the request: latency between regions and delays
# of a busy entry.
ARRIVAL_DELAY_S = 0.05
# By how many standard deviations the bound exceeds the mean, where entries chose their time slots
# at random.
RANDOM_SLOTS_DEVIATIONS = 4.0
# Largest burst, as a share of the requests of one second.
BURST_SHARE = 0.5
# Higher rates are no limit in practice, and could not be computed with.
COLD_PER_S_MAX = 1e6
# A back end is expected to be cold for tens of seconds; longer times are not believed.
COLD_MAX_S = 600.0
# How much older than its arrival at a control VM the content of a heartbeat may be.
REPORT_DELAY_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class ColdLimit:
    """The limit of a service's cold back ends.

    Each can handle `cold_per_s` requests a second, and at most `bound` may arrive in a second.
    """

    cold_per_s: float
    bound: float

    def per_s(self) -> float:
        """Return the rate at which an agent grants permits."""
        late_s = PERMIT_VALIDITY_S + ARRIVAL_DELAY_S
        return self.rate_within(self.bound - 1, late_s)

    def burst(self) -> float:
        """Return how many permits an agent grants at once if none was granted lately."""
        late_s = PERMIT_VALIDITY_S + ARRIVAL_DELAY_S
        spare = self.bound - self.per_s() * (WINDOW_S + late_s)
        return max(1.0, min(spare, BURST_SHARE * self.cold_per_s))

    def paced_per_s(self, validity_s: float = PERMIT_VALIDITY_S) -> float:
        """Return the rate for permits at regular intervals that are valid for `validity_s`.

        Any window has two more permits than its share of the rate (`rate_limits`).
        """
        return self.rate_within(self.bound - 2, validity_s + ARRIVAL_DELAY_S)

    def random_slots_per_s(self) -> float:
        """Return the rate for time slots that entries chose at random, so that some share one.

        The number of requests in a window is about Poisson-distributed: its variance is its mean.
        """
        deviations = RANDOM_SLOTS_DEVIATIONS
        mean = ((math.sqrt(deviations**2 + 4.0 * self.bound) - deviations) / 2.0) ** 2
        late_s = PERMIT_VALIDITY_S + ARRIVAL_DELAY_S
        return min(self.paced_per_s(), self.rate_within(mean, late_s))

    def rate_within(self, count: float, late_s: float) -> float:
        """Return the rate that yields up to `count` requests a window if each is `late_s` late.

        A bound that is too low for any rate still permits one request per
        `rate_limits.INTERVAL_MAX_S`: otherwise no request would ever show that the back end serves.
        """
        per_s = min(self.cold_per_s, count / (WINDOW_S + late_s))
        return max(per_s, 1.0 / rate_limits.INTERVAL_MAX_S)


def make_limit(cold_per_s: float, overage: float | None, slack: float) -> ColdLimit | None:
    """Return the limit for a service, or None if its cold back ends are not limited."""
    if overage is None or cold_per_s <= 0:
        return None
    cold_per_s = min(cold_per_s, COLD_PER_S_MAX)
    return ColdLimit(cold_per_s, cold_per_s * overage + slack)


class ColdLimiter:
    """Grants permits for one back end; started at `now` without knowledge of earlier permits.

    The state is kept while the back end is not cold and when it restarts. An earlier process of the
    agent may have granted permits, and entries may have used time slots, so none is granted before
    these have expired, and no burst at once.
    """

    def __init__(self, limit: ColdLimit, now: float) -> None:
        self.limit = limit
        # When the next permit falls due; it may be used earlier by the tolerance.
        self.due_at = now + PERMIT_VALIDITY_S + self.interval_s() + self.tolerance_s()

    def interval_s(self) -> float:
        """Return the interval between permits, in seconds."""
        return 1.0 / self.limit.per_s()

    def tolerance_s(self) -> float:
        """Return how early a permit may be used, in seconds."""
        return (self.limit.burst() - 1.0) * self.interval_s()

    def free_at(self) -> float:
        """Return when the next permit becomes usable, which may be in the past."""
        return self.due_at - self.tolerance_s()

    def apply_limit(self, limit: ColdLimit) -> None:
        """Apply the limit of a new configuration; it holds for the permits granted from now on."""
        if limit != self.limit:
            free_at = self.free_at()
            self.limit = limit
            self.due_at = free_at + self.tolerance_s()

    def decide(self, instance: str, patience_s: float, now: float) -> rate_limits.Decision:
        """Grant a permit that may be used within `patience_s`, or refuse with a time to retry."""
        start_at = max(now, self.free_at())
        if start_at > now + max(0.0, patience_s):
            wait_s = start_at - now
            return rate_limits.Decision(free_in_s=[wait_s], back_in_s=wait_s)
        self.consume(start_at)
        return rate_limits.Decision(instance, start_at - now, [max(0.0, self.free_at() - now)])

    def record_unpermitted(self, now: float) -> None:
        """Record a request for which this agent granted no permit.

        Entries send these while the back end is not cold, and by their time slots. Those of more
        than a window ago no longer matter, which bounds the delay of the next permit. A longer
        delay by granted permits remains: the interval of a low limit is longer than a window.
        """
        due_at = self.due_at
        self.consume(now)
        self.due_at = max(due_at, min(self.due_at, now + WINDOW_S + self.tolerance_s()))

    def consume(self, at: float) -> None:
        """Consume the next permit, for use at `at`."""
        self.due_at = max(self.due_at, at) + self.interval_s()


@dataclasses.dataclass(slots=True)
class ColdState:
    """Until when a back end is cold, as reported by itself over several ways.

    `reported_at` is when the report in force was made, at the latest.
    """

    until: float = -math.inf
    reported_at: float = -math.inf

    def is_cold(self, now: float) -> bool:
        """Return whether the back end is cold."""
        return now < self.until

    def record(self, until: float, earliest: float, latest: float) -> None:
        """Record a report that was made between two times; reports may overtake each other.

        A later end is accepted unless the report is surely older than the one in force, an earlier
        end only if it is surely newer.
        """
        until = min(until, latest + COLD_MAX_S)
        made_at = latest if until > self.until else earliest
        if made_at > self.reported_at:
            self.until, self.reported_at = until, latest
