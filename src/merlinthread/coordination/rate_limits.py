"""Central rate limiting for back ends that limit the requests of all entries together.

A back end advertises one limit for all VMs, but an entry sees only its own requests. One control VM
therefore grants a permit for each request, with `PermitAllocator`. Entries that can't reach it use
the time slots of `coordination.permit_slots`.

Permits follow the generic cell rate algorithm (ITU-T I.371). A request that can wait reserves its
permit in advance, so it is known at once whether and when it is served.
"""

import dataclasses
import math

# Share of a limit that is granted; the rest absorbs network jitter.
GRANTED_SHARE = 0.98
# Tolerance of the rate algorithm, as a share of the interval: how early a permit may be used. So an
# allowance is not lost to the time by which the next request is late.
# Any window then holds at most its share of the limit plus two requests.
TOLERANCE_SHARE = 0.85
# Longest interval between two permits: a back end can lift its limit only in a response, so one
# with a very low limit must still get requests.
INTERVAL_MAX_S = 10.0
# State not used for this long is dropped.
IDLE_EXPIRY_S = 60.0
# Time within which all entries discover a new leader; until then some use their time slots.
LEADER_DISCOVERY_S = 0.35
# Account usage is compared over the current period and the previous one.
USAGE_PERIOD_S = 4.0
# Longest time over which the retries of refused requests are spread. Clients with 6 s left wait at
# most 2 s.
RETRY_SPREAD_S = 2.0


@dataclasses.dataclass(slots=True)
class AdvertisedLimit:
    """The limit that a back end advertised to one VM, and the age of that signal in seconds."""

    instance: str
    per_s: float
    heard_age_s: float

    def __post_init__(self) -> None:
        """Raise ValueError for a rate that is not positive or an age below 0."""
        if not 0.0 < self.per_s < math.inf:
            raise ValueError(f"per_s must be a finite number above 0, not {self.per_s}")
        if not 0.0 <= self.heard_age_s < math.inf:
            raise ValueError(f"heard_age_s must be a finite number from 0, not {self.heard_age_s}")


@dataclasses.dataclass(slots=True)
class PermitRequest:
    """A request for a permit for any one of some back ends, in order of preference.

    `patience_s` is how long the request can wait for its permit.
    """

    service: str
    account: str
    patience_s: float
    limits: list[AdvertisedLimit]


@dataclasses.dataclass(slots=True)
class Decision:
    """The reply to a permit request: the granted `instance`, or "" if it was refused.

    All times are in seconds from now. A granted permit may be used in `start_in_s`. `free_in_s`
    tells for each requested back end when the account's next permit is available without waiting.
    `back_in_s` is when a refused client should retry, after those refused before it.
    """

    instance: str = ""
    start_in_s: float = 0.0
    free_in_s: list[float] = dataclasses.field(default_factory=list)
    back_in_s: float = 0.0


def interval_s(per_s: float) -> float:
    """Return the interval between permits for a limit of `per_s`, in seconds."""
    return min(INTERVAL_MAX_S, 1.0 / (GRANTED_SHARE * per_s))


@dataclasses.dataclass(slots=True)
class Allowance:
    """The rate algorithm's state for one back end; the next permit falls due at `due_at`."""

    per_s: float
    received_at: float
    due_at: float = 0.0
    last_requested_at: float = 0.0

    def interval_s(self) -> float:
        """Return the interval between permits, in seconds."""
        return interval_s(self.per_s)

    def update_limit(self, per_s: float, received_at: float, now: float) -> None:
        """Apply a limit that an entry received, unless a newer one is known."""
        if received_at < self.received_at:
            return
        is_higher = per_s > self.per_s
        self.per_s, self.received_at = per_s, received_at
        if is_higher:
            # Permits granted under the lower limit delay the next one by at most one interval.
            self.due_at = min(self.due_at, now + self.interval_s())

    def tolerance_s(self) -> float:
        """Return how early before its due time a permit may be used, in seconds."""
        return TOLERANCE_SHARE * self.interval_s()

    def free_at(self) -> float:
        """Return when the next permit becomes usable, which may be in the past."""
        return self.due_at - self.tolerance_s()

    def consume(self, start_at: float) -> None:
        """Consume the next permit, for use at `start_at`."""
        self.due_at = max(self.due_at, start_at) + self.interval_s()


class AccountUsage:
    """Recent permits for a service by client account, in two periods."""

    def __init__(self) -> None:
        self.period_started_at = -math.inf
        # Permits by account in each period; 0 for an account that was only refused.
        self.current: dict[str, int] = {}
        self.previous: dict[str, int] = {}

    def record_request(self, account: str, now: float) -> None:
        """Record that an account asked for a permit."""
        if now - self.period_started_at >= USAGE_PERIOD_S:
            is_next = now - self.period_started_at < 2 * USAGE_PERIOD_S
            self.previous = self.current if is_next else {}
            self.current = {}
            self.period_started_at = now
        self.current.setdefault(account, 0)

    def record_grant(self, account: str) -> None:
        """Record a permit granted to an account."""
        self.current[account] = self.current.get(account, 0) + 1

    def is_over_share(self, account: str) -> bool:
        """Return whether an account had more than an equal share while others asked too."""
        accounts = self.current.keys() | self.previous.keys()
        total = sum(self.current.values()) + sum(self.previous.values())
        granted = self.current.get(account, 0) + self.previous.get(account, 0)
        return len(accounts) > 1 and granted * len(accounts) > total


class PermitAllocator:
    """Grants permits for all back ends, from `began_at` on.

    A new leader does not know which permits the previous one granted. It starts without unused
    permits, and grants none before all entries have discovered it.
    """

    def __init__(self, began_at: float = -math.inf) -> None:
        self.first_permit_at = began_at + LEADER_DISCOVERY_S
        self.allowances: dict[str, Allowance] = {}
        self.usage: dict[str, AccountUsage] = {}
        self.last_retries: dict[str, float] = {}
        self.pruned_at = -math.inf

    def decide(self, request: PermitRequest, now: float) -> Decision:
        """Grant the earliest permit of the requested back ends, or refuse with a time to retry."""
        self.prune(now)
        allowances = [self.allowance(advertised, now) for advertised in request.limits]
        usage = self.usage.setdefault(request.service, AccountUsage())
        usage.record_request(request.account, now)
        is_over = usage.is_over_share(request.account)
        decision = Decision()
        starts = [permit_start_at(known, request.patience_s, is_over, now) for known in allowances]
        best = min(range(len(starts)), key=lambda index: starts[index], default=None)
        if best is not None and starts[best] < math.inf:
            allowances[best].consume(starts[best])
            usage.record_grant(request.account)
            decision.instance = request.limits[best].instance
            decision.start_in_s = starts[best] - now
        elif allowances:
            decision.back_in_s = self.retry_at(request.service, allowances, now) - now
        decision.free_in_s = [
            max(0.0, known.free_at() + fairness_delay_s(known, 0.0, is_over) - now)
            for known in allowances
        ]
        return decision

    def allowance(self, advertised: AdvertisedLimit, now: float) -> Allowance:
        """Return a back end's allowance, updated with an advertised limit."""
        known = self.allowances.get(advertised.instance)
        received_at = now - advertised.heard_age_s
        if known is None:
            known = Allowance(advertised.per_s, received_at)
            known.due_at = max(now + known.interval_s(), self.first_permit_at) + known.tolerance_s()
            self.allowances[advertised.instance] = known
        known.update_limit(advertised.per_s, received_at, now)
        known.last_requested_at = now
        return known

    def retry_at(self, service: str, allowances: list[Allowance], now: float) -> float:
        """Return when a client refused now should retry; retries are spaced out."""
        earliest = max(now, min(known.free_at() for known in allowances))
        spacing_s = 1.0 / sum(1.0 / known.interval_s() for known in allowances)
        at = max(earliest, self.last_retries.get(service, -math.inf) + spacing_s)
        if at > earliest + RETRY_SPREAD_S:
            at = earliest
        self.last_retries[service] = at
        return at

    def prune(self, now: float) -> None:
        """Drop the state of back ends and services that have not been requested lately."""
        if now - self.pruned_at < IDLE_EXPIRY_S:
            return
        self.pruned_at = now
        self.allowances = {
            instance: known
            for instance, known in self.allowances.items()
            if now - known.last_requested_at < IDLE_EXPIRY_S
        }
        self.usage = {
            service: usage
            for service, usage in self.usage.items()
            if now - usage.period_started_at < IDLE_EXPIRY_S
        }
        self.last_retries = {
            service: at for service, at in self.last_retries.items() if now - at < IDLE_EXPIRY_S
        }


def fairness_delay_s(known: Allowance, patience_s: float, is_over_share: bool) -> float:
    """Return the delay after which an account may get a back end's next permit, in seconds.

    An account over its share is delayed by `patience_s` or the tolerance, whichever is longer, so
    that accounts that ask less often get permits first. Nothing is reserved for idle accounts.
    """
    if not is_over_share:
        return 0.0
    return max(patience_s, known.tolerance_s())


def permit_start_at(known: Allowance, patience_s: float, is_over_share: bool, now: float) -> float:
    """Return when a request may use the next permit, or infinity if it can't wait that long."""
    patience_s = max(0.0, patience_s)
    usable_at = known.free_at() + fairness_delay_s(known, patience_s, is_over_share)
    return max(now, known.free_at()) if usable_at <= now + patience_s else math.inf
