"""Availability of back ends: leaving, resting, limited to a rate, or cold.

A back end signals its state in its responses, and in heartbeats that control VMs relay. Either
channel may be late or lose messages, so the more restrictive signal wins:

- Leaving is final for an incarnation, even if a late heartbeat still says `ready`. The next
  incarnation has a name of its own (`coordination.incarnations`).
- A rest applies only to the VM that received the request for it, until it ends. Traffic then
  resumes (`dispatch.least_doubtful`). A strict limit of one trial request, as in a half-open
  circuit breaker, would leave capacity unused where all back ends return at once.
- A rate limit covers the requests of all VMs together and stays until a response changes it. Each
  request then needs a permit (`coordination.rate_limits`).
- A back end is cold after its start, and may become so again. While it is, each request needs a
  permit of its agent, or of the leader if it has none (`coordination.cold_limits`).

This state is kept apart from `backend_record.Backend`, which is discarded whenever a back end
disappears from the fleet state, even briefly.
"""

import dataclasses
import enum

from merlinthread.coordination import cold_limits, limit_table

# Longest accepted rest; the back end may ask for another one afterwards.
REST_MAX_S = 300.0
# Records kept of back ends that are no longer present. In a large fleet about 590 are restarted in
# a day.
RECORDS_MAX = 4096


class LeavingSource(enum.StrEnum):
    """Where the signal that a back end is leaving came from."""

    RESPONSE = "answer"
    CONTROL_VM = "news"


@dataclasses.dataclass(slots=True)
class Availability:
    """Whether one incarnation accepts requests; times are on the VM's clock, in seconds.

    `leaving_source` and `leaving_since` describe the first signal that it is leaving.
    `limit_per_s` is the advertised limit for all VMs together, received at `limit_received_at`, or
    None for no limit. No permit of the leader is available before `next_permit_at`, and none of the
    agent before `next_cold_permit_at`. `cold_limit` is the limit while the back end is cold, None
    if there is none; `has_agent` tells who grants permits then.
    """

    is_leaving: bool = False
    leaving_source: LeavingSource | None = None
    leaving_since: float = float("-inf")
    rest_until: float = float("-inf")
    limit_per_s: float | None = None
    limit_received_at: float = float("-inf")
    next_permit_at: float = float("-inf")
    cold: cold_limits.ColdState = dataclasses.field(default_factory=cold_limits.ColdState)
    cold_limit: cold_limits.ColdLimit | None = None
    has_agent: bool = False
    next_cold_permit_at: float = float("-inf")

    def is_resting(self, now: float) -> bool:
        """Return whether a rest is in effect."""
        return now < self.rest_until

    def is_unavailable(self, now: float) -> bool:
        """Return whether no request may be sent now."""
        return self.is_leaving or self.is_resting(now)

    def is_limited(self) -> bool:
        """Return whether the back end advertises a rate limit."""
        return self.limit_per_s is not None

    def is_cold_limited(self, now: float) -> bool:
        """Return whether the back end is cold and limited meanwhile."""
        return self.cold_limit is not None and self.cold.is_cold(now)

    def needs_agent_permit(self, now: float) -> bool:
        """Return whether each request needs a permit of the back end's agent."""
        return self.has_agent and self.is_cold_limited(now)

    def needs_leader_permit(self, now: float) -> bool:
        """Return whether each request needs a permit of the leader of the control VMs."""
        return self.is_limited() or (not self.has_agent and self.is_cold_limited(now))

    def leader_limit_per_s(self, now: float, validity_s: float) -> float:
        """Return the rate for permits of the leader that are valid for `validity_s`.

        The cold start may have ended since `needs_leader_permit` was asked; its limit is returned
        then, unless the back end advertises one.
        """
        limits = [self.limit_per_s] if self.limit_per_s is not None else []
        is_cold = not self.has_agent and self.is_cold_limited(now)
        if self.cold_limit is not None and (is_cold or not limits):
            limits.append(self.cold_limit.paced_per_s(validity_s))
        return min(limits)

    def leader_limit_received_at(self, now: float) -> float:
        """Return when the rate for permits of the leader last changed."""
        if self.cold_limit is None or self.has_agent:
            return self.limit_received_at
        if self.cold.is_cold(now):
            return max(self.limit_received_at, self.cold.reported_at)
        has_expired = self.cold.until > self.cold.reported_at
        return (
            max(self.limit_received_at, self.cold.until)
            if has_expired
            else (self.limit_received_at)
        )

    def lacks_permit(self, now: float) -> bool:
        """Return whether a permit is needed and known to be unavailable now."""
        return self.permit_at(now) > now

    def permit_at(self, now: float) -> float:
        """Return when the required permits are available: `now` if none is required."""
        at = now
        if self.needs_leader_permit(now):
            at = max(at, self.next_permit_at)
        if self.needs_agent_permit(now):
            # The back end may stop being cold earlier.
            at = max(at, min(self.next_cold_permit_at, self.cold.until))
        return at

    def available_at(self, now: float) -> float:
        """Return when the next request may be sent: `now`, or the end of a rest or permit delay."""
        return max(now, self.rest_until, self.permit_at(now))

    def record_limit(self, per_s: float | None, sent_at: float, now: float) -> bool:
        """Record the limit in a response; return whether it changed.

        `sent_at` is when the request was sent. Responses may arrive out of order. A lower limit
        applies at once. A higher limit, or none, applies only if its request was sent after the
        current limit was received.
        """
        previous = self.limit_per_s
        if previous is not None and sent_at < self.limit_received_at:
            if per_s is None or per_s > previous:
                return False
        if per_s is None or previous is None or per_s > previous:
            # The known permit time belongs to the previous limit.
            self.next_permit_at = float("-inf")
        self.limit_per_s = per_s
        self.limit_received_at = now
        return per_s != previous

    def merge_limit(self, per_s: float | None, received_at: float) -> None:
        """Merge a limit that another VM received at `received_at`, unless a newer one is known."""
        if received_at <= self.limit_received_at:
            return
        if per_s != self.limit_per_s:
            self.next_permit_at = float("-inf")
        self.limit_per_s = per_s
        self.limit_received_at = received_at

    def record_leaving(self, source: LeavingSource, now: float) -> bool:
        """Record that the back end is leaving; return whether that is new."""
        if self.is_leaving:
            return False
        self.is_leaving = True
        self.leaving_source = source
        self.leaving_since = now
        return True

    def record_rest(self, rest_s: float, now: float) -> bool:
        """Record a rest of `rest_s` seconds; return whether none was in effect.

        Refusals may arrive out of order, so the latest end applies.
        """
        was_resting = self.is_resting(now)
        self.rest_until = max(self.rest_until, now + min(rest_s, REST_MAX_S))
        return not was_resting


class AvailabilityTable:
    """The availability of all back ends, by incarnation name."""

    def __init__(self) -> None:
        self.availabilities: dict[str, Availability] = {}

    def availability_of(self, instance: str) -> Availability:
        """Return the availability of an incarnation, creating it if necessary."""
        return self.availabilities.setdefault(instance, Availability())

    def merge_reported_limit(self, report: limit_table.LimitReport, now: float) -> None:
        """Merge a limit, or its removal, that another VM reported."""
        if report.per_s is not None or report.instance in self.availabilities:
            self.availability_of(report.instance).merge_limit(
                report.per_s, now - report.heard_age_s
            )

    def prune(self, present: set[str], now: float) -> None:
        """Drop absent incarnations without an active signal, then the oldest absent ones."""
        absent = [name for name in self.availabilities if name not in present]
        for name in absent:
            availability = self.availabilities[name]
            is_active = availability.is_unavailable(now) or availability.cold.is_cold(now)
            if not is_active and not availability.is_limited():
                del self.availabilities[name]
        while len(self.availabilities) > RECORDS_MAX + len(present):
            oldest = next(name for name in self.availabilities if name not in present)
            del self.availabilities[oldest]

    def count_leaving(self) -> int:
        """Return how many incarnations are leaving or have left."""
        return sum(availability.is_leaving for availability in self.availabilities.values())

    def count_limited(self) -> int:
        """Return how many incarnations have a rate limit."""
        return sum(availability.is_limited() for availability in self.availabilities.values())

    def count_cold(self, now: float) -> int:
        """Return how many incarnations are cold."""
        return sum(availability.cold.is_cold(now) for availability in self.availabilities.values())

    def count_resting(self, now: float) -> int:
        """Return how many incarnations are resting."""
        return sum(availability.is_resting(now) for availability in self.availabilities.values())
