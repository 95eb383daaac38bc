"""Policies for the retry delay that is sent with a refusal.

Clients are expected to retry once. A policy therefore estimates when there will be capacity and
leaves enough time before the deadline, rather than asking for the earliest retry.
"""

import dataclasses
import random
from collections.abc import Callable

from merlinthread import registry

RETRY_AFTER_MIN_S = 0.3
# Share of a client's remaining time that it may be delayed; the rest is for its second attempt.
DELAY_SHARE = 0.33
# Lower bound of the random factor on a delay, so that clients don't retry at the same moment.
JITTER_MIN = 0.6
DELAY_MAX_S = 2.0
# Delay if no back end is available and there is no forecast.
UNAVAILABLE_DELAY_S = 1.8
# Time reserved before the deadline for the second attempt; responses of 22 events take 1.2 to
# 1.9 s.
SECOND_ATTEMPT_S = 2.2
# Margin added to forecasts, and time over which the retries after it are spread.
FORECAST_MARGIN_S = 0.4
RETRY_SPREAD_S = 0.8


@dataclasses.dataclass(slots=True)
class Refusal:
    """The circumstances of a refused request; times are in seconds from now.

    `remaining_s` is the time until its deadline. `is_unavailable` is set if no back end could take
    the request at all. `ready_in_s` is the forecast of when half of the service's engines will
    serve again, or None if some serve now or there is no forecast.
    """

    remaining_s: float
    is_unavailable: bool
    ready_in_s: float | None = None


def delay_after_rest(available_in_s: float, rng: random.Random) -> float:
    """Return the delay for a retry when the first back end is available in `available_in_s`.

    The delay is never shorter, even if it exceeds the deadline: an earlier retry would be refused.
    It is randomised to spread the retries.
    """
    return max(RETRY_AFTER_MIN_S, available_in_s + RETRY_SPREAD_S * rng.random())


Policy = Callable[[Refusal, random.Random], float]
POLICIES: registry.Registry[Policy] = registry.Registry("retry delay policy")


@POLICIES.add("share")
def by_share(refusal: Refusal, rng: random.Random) -> float:
    """Return a share of the remaining time, or a fixed delay if no back end is available."""
    if refusal.is_unavailable:
        return UNAVAILABLE_DELAY_S
    latest_s = min(DELAY_MAX_S, refusal.remaining_s * DELAY_SHARE)
    return max(RETRY_AFTER_MIN_S, latest_s * rng.uniform(JITTER_MIN, 1.0))


@POLICIES.add("forecast")
def by_forecast(refusal: Refusal, rng: random.Random) -> float:
    """Return the delay until the engines are forecast to serve; without a forecast, `by_share`.

    The delay leaves the time that a second attempt needs before the deadline.
    """
    if refusal.ready_in_s is None:
        return by_share(refusal, rng)
    latest_s = refusal.remaining_s - SECOND_ATTEMPT_S
    margin_s = FORECAST_MARGIN_S + RETRY_SPREAD_S * rng.random()
    return max(RETRY_AFTER_MIN_S, min(latest_s, refusal.ready_in_s + margin_s))
