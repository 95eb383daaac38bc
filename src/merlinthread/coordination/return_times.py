"""When a client whose request is refused should come back: ways to decide, by name.

A request that is refused a second time is lost to its caller, one that comes back in time is
served, though late. So the question is when there will be room, not how soon one may ask.
"""

import dataclasses
import random
from collections.abc import Callable

from merlinthread import registry

RETRY_AFTER_MIN_S = 0.3
# Of the time that a client has left, what it may be sent away for; the rest is for its second try.
RETURN_SHARE = 0.33
# Who was refused together comes back apart: between this share of the time told and all of it.
RETURN_SPREAD = 0.6
MOST_S = 2.0
# How long to wait where nothing is free and nothing is known of when that ends.
NONE_FREE_S = 1.8
# What a second try needs: answers of 22 events were seen to take 1.2 to 1.9 s (entries' logs).
SECOND_ATTEMPT_S = 2.2
# How much later than the engines are forecast to serve the first ones return (forecasts err by some
# tenths of a second, and who comes too early is lost), and over how long the others follow.
FORECAST_ERROR_S = 0.4
RETRY_SPREAD_S = 0.8


@dataclasses.dataclass(slots=True)
class Refusal:
    """What is known where a request is refused, in seconds from now.

    `left_s` is what is left until its deadline. `ready_in_s` is when half of the engines of its
    service will serve again, as their agents forecast it, None if there are some that serve or if
    that is not known; `is_none_free` tells whether there is none that could take it at all.
    """

    left_s: float
    is_none_free: bool
    ready_in_s: float | None = None


def delay_after_rest(opens_in_s: float, rng: random.Random) -> float:
    """Return when to come back to back ends of which the first takes requests in `opens_in_s`.

    That is known and no forecast, so nobody is told to come before it, however little time it has:
    it would only be refused again. Who was refused together comes back apart.
    """
    return max(RETRY_AFTER_MIN_S, opens_in_s + RETRY_SPREAD_S * rng.random())


Policy = Callable[[Refusal, random.Random], float]
POLICIES: registry.Registry[Policy] = registry.Registry("way to tell when to come back")


@POLICIES.add("share")
def by_share(refusal: Refusal, rng: random.Random) -> float:
    """Return a share of the time left, and a fixed time where nothing is free."""
    if refusal.is_none_free:
        return NONE_FREE_S
    latest_s = min(MOST_S, refusal.left_s * RETURN_SHARE)
    return max(RETRY_AFTER_MIN_S, latest_s * rng.uniform(RETURN_SPREAD, 1.0))


@POLICIES.add("forecast")
def by_forecast(refusal: Refusal, rng: random.Random) -> float:
    """Return when the engines are forecast to serve again, else as `by_share`.

    It is never later than a second try needs. While no weights may be used for 4.6 s, 0.6 of those
    who come back after 1.8 s meet the same again.
    """
    if refusal.ready_in_s is None:
        return by_share(refusal, rng)
    latest_s = refusal.left_s - SECOND_ATTEMPT_S
    later_s = FORECAST_ERROR_S + RETRY_SPREAD_S * rng.random()
    return max(RETRY_AFTER_MIN_S, min(latest_s, refusal.ready_in_s + later_s))
