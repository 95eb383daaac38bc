"""How many requests a second back ends take from all entries together, counted in one place.

A back end in need names a limit for the sum over all VMs, and an entry sees its own part alone. So
one VM counts for all and gives out permits, one for each request. `PermitCounter` is its account.
What an entry does that can't reach that VM is in `coordination.permit_turns`.

A permit is given by the generic cell rate algorithm (ITU-T I.371), the earliest one ahead of time
if the request can wait that long: so it is known at once who is served, and when.
"""

import dataclasses
import math

# Share of a limit that is given out. The rest is for requests that arrive closer together than they
# were permitted.
GRANTED_SHARE = 0.98
# How early a permit may be used, as a share of the time between two: an allowance is not lost to
# the time by which the next request is late. With it a window of any length has the limit's share
# and two requests at most.
EARLY_SHARE = 0.85
# The longest time between two permits, in seconds. A back end tells only in its answers that it
# needs its limit no more, so that one which names next to nothing must still be asked.
INTERVAL_S_MAX = 10.0
# Back ends that nobody has asked for in so long are forgotten, in seconds.
IDLE_EXPIRY_S = 60.0
# Within this time entries find who counts now, in seconds; until then some go by their turns.
LEADER_DISCOVERY_S = 0.35
# Over this time accounts' use of a service is compared, in seconds, and once more as long before.
ACCOUNT_PERIOD_S = 4.0
# Those who are refused together are told to return over this time, in seconds. Clients with 6 s
# left wait 2 s at most; where more press for longer, no return is early enough.
RETRY_SPREAD_S = 2.0


@dataclasses.dataclass(slots=True)
class AdvertisedLimit:
    """The limit that one VM heard a back end name, and how long ago."""

    instance: str
    per_s: float
    heard_age_s: float

    def __post_init__(self) -> None:
        """Raise ValueError for what can't be counted with: no rate, or an age that is none."""
        if not 0.0 < self.per_s < math.inf:
            raise ValueError(f"per_s {self.per_s} is no limit: a number above 0")
        if not 0.0 <= self.heard_age_s < math.inf:
            raise ValueError(f"heard_age_s {self.heard_age_s} is no age: a number from 0")


@dataclasses.dataclass(slots=True)
class PermitRequest:
    """One request that may go to any of some back ends, in the order in which it prefers them.

    It can wait `patience_s` for its permit.
    """

    service: str
    account: str
    patience_s: float
    limits: list[AdvertisedLimit]


@dataclasses.dataclass(slots=True)
class Decision:
    """What became of a request: sent to `instance` in `start_in_s`, or refused if that is empty.

    `free_in_s` is when each back end that it asked for has a permit for the same account's next
    request, if that can't wait; `back_in_s` is when one is expected for this client if it is
    refused, after those that were refused before.
    """

    instance: str = ""
    start_in_s: float = 0.0
    free_in_s: list[float] = dataclasses.field(default_factory=list)
    back_in_s: float = 0.0


def interval_s(per_s: float) -> float:
    """Return the time between two permits for a back end that takes `per_s` requests a second."""
    return min(INTERVAL_S_MAX, 1.0 / (GRANTED_SHARE * per_s))


@dataclasses.dataclass(slots=True)
class Allowance:
    """What is left of one back end's limit: its next permit falls due at `due_at`."""

    per_s: float
    heard_at: float
    due_at: float = 0.0
    asked_at: float = 0.0

    def interval_s(self) -> float:
        """Return the time between two permits."""
        return interval_s(self.per_s)

    def hear(self, per_s: float, heard_at: float, now: float) -> None:
        """Take over what an entry heard, unless it is older than what is known."""
        if heard_at < self.heard_at:
            return
        is_higher = per_s > self.per_s
        self.per_s, self.heard_at = per_s, heard_at
        if is_higher:
            # What was given out under the lower limit puts off no more than one permit.
            self.due_at = min(self.due_at, now + self.interval_s())

    def early_s(self) -> float:
        """Return how early before it falls due a permit may be used."""
        return EARLY_SHARE * self.interval_s()

    def free_at(self) -> float:
        """Return from when on the next permit may be used; that may be past."""
        return self.due_at - self.early_s()

    def take(self, start_at: float) -> None:
        """Give the next permit, for use at `start_at`."""
        self.due_at = max(self.due_at, start_at) + self.interval_s()


class AccountUse:
    """How much of a service's permits each client account had in the last few seconds."""

    def __init__(self) -> None:
        self.period_began = -math.inf
        # The present period and the one before: permits by account, 0 for one that only asked.
        self.present: dict[str, int] = {}
        self.before: dict[str, int] = {}

    def note_asked(self, account: str, now: float) -> None:
        """Note that an account wants a permit."""
        if now - self.period_began >= ACCOUNT_PERIOD_S:
            is_next = now - self.period_began < 2 * ACCOUNT_PERIOD_S
            self.before = self.present if is_next else {}
            self.present = {}
            self.period_began = now
        self.present.setdefault(account, 0)

    def note_given(self, account: str) -> None:
        """Note that an account got a permit."""
        self.present[account] = self.present.get(account, 0) + 1

    def is_over_share(self, account: str) -> bool:
        """Return whether an account had more than an equal part, while others want some too."""
        accounts = self.present.keys() | self.before.keys()
        total = sum(self.present.values()) + sum(self.before.values())
        had = self.present.get(account, 0) + self.before.get(account, 0)
        return len(accounts) > 1 and had * len(accounts) > total


class PermitAllocator:
    """Counts for all back ends, from `began_at` on.

    Who counts anew does not know what was given out before, and begins with nothing, and not before
    all entries have found it.
    """

    def __init__(self, began_at: float = -math.inf) -> None:
        self.first_at = began_at + LEADER_DISCOVERY_S
        self.allowances: dict[str, Allowance] = {}
        self.uses: dict[str, AccountUse] = {}
        self.last_returns: dict[str, float] = {}
        self.swept_at = -math.inf

    def decide(self, request: PermitRequest, now: float) -> Decision:
        """Give a permit for the back end that has one first, or say when to come back."""
        self.sweep(now)
        allowances = [self.allowance(named, now) for named in request.limits]
        use = self.uses.setdefault(request.service, AccountUse())
        use.note_asked(request.account, now)
        is_over = use.is_over_share(request.account)
        decision = Decision()
        starts = [start_at(known, request.patience_s, is_over, now) for known in allowances]
        best = min(range(len(starts)), key=lambda index: starts[index], default=None)
        if best is not None and starts[best] < math.inf:
            allowances[best].take(starts[best])
            use.note_given(request.account)
            decision.instance = request.limits[best].instance
            decision.start_in_s = starts[best] - now
        elif allowances:
            decision.back_in_s = self.return_at(request.service, allowances, now) - now
        decision.free_in_s = [
            max(0.0, known.free_at() + behind_s(known, 0.0, is_over) - now) for known in allowances
        ]
        return decision

    def allowance(self, named: AdvertisedLimit, now: float) -> Allowance:
        """Return a back end's allowance with the newest limit that is known."""
        known = self.allowances.get(named.instance)
        heard_at = now - named.heard_age_s
        if known is None:
            known = Allowance(named.per_s, heard_at)
            known.due_at = max(now + known.interval_s(), self.first_at) + known.early_s()
            self.allowances[named.instance] = known
        known.hear(named.per_s, heard_at, now)
        known.asked_at = now
        return known

    def return_at(self, service: str, allowances: list[Allowance], now: float) -> float:
        """Return when one who is refused now should be back: each at a time of its own."""
        earliest = max(now, min(known.free_at() for known in allowances))
        step_s = 1.0 / sum(1.0 / known.interval_s() for known in allowances)
        at = max(earliest, self.last_returns.get(service, -math.inf) + step_s)
        if at > earliest + RETRY_SPREAD_S:
            at = earliest
        self.last_returns[service] = at
        return at

    def sweep(self, now: float) -> None:
        """Forget back ends and services that nobody has asked for in a while."""
        if now - self.swept_at < IDLE_EXPIRY_S:
            return
        self.swept_at = now
        self.allowances = {
            instance: known
            for instance, known in self.allowances.items()
            if now - known.asked_at < IDLE_EXPIRY_S
        }
        self.uses = {
            service: use
            for service, use in self.uses.items()
            if now - use.period_began < IDLE_EXPIRY_S
        }
        self.last_returns = {
            service: at for service, at in self.last_returns.items() if now - at < IDLE_EXPIRY_S
        }


def behind_s(known: Allowance, patience_s: float, is_over_share: bool) -> float:
    """Return by how much an account comes after the others in getting a back end's next permit.

    One that had more than an equal part comes after those that had less, by what these can wait or
    by how early a permit may be used. So an account that asks seldom finds a permit though another
    asks always, and nothing is kept for one that does not ask.
    """
    if not is_over_share:
        return 0.0
    return max(patience_s, known.early_s())


def start_at(known: Allowance, patience_s: float, is_over_share: bool, now: float) -> float:
    """Return when a request may use a back end's next permit, infinity if not in its time."""
    patience_s = max(0.0, patience_s)
    usable_at = known.free_at() + behind_s(known, patience_s, is_over_share)
    return max(now, known.free_at()) if usable_at <= now + patience_s else math.inf
