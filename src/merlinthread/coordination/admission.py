"""Admission of requests to engines that have too little room for all of them.

An overloaded service answers many requests late if it accepts them all, although it could answer
most of them in time. A request is therefore admitted only to a back end whose first byte is
expected in time, waits a short while for one, and is otherwise refused with a retry delay.

While more urgent requests find no place at once, less urgent ones yield: they are admitted only to
a back end with room. How many yield follows a level, as in DAGOR (Zhou et al., SoCC 2018), but the
level is kept by each entry for itself, and a back end with room is never left unused.
"""

import dataclasses
import math
import random
from collections.abc import Sequence

from merlinthread.coordination import expected_wait

# Share of a route's objective that a request may be queued before it is refused. Its client loses
# less than an eighth of the objective.
QUEUE_TIME_SHARE = 0.12
# Share of the objective within which the first byte must be expected. The time to read the
# request's own prompt is not counted, so that long prompts are not refused more often.
FIRST_BYTE_SHARE = 0.7
# The same for a last try: a second refusal costs its client more than a late response.
LAST_TRY_FIRST_BYTE_SHARE = 0.85
# A client with less than this share of the route's timeout left has probably been refused before.
LAST_TRY_TIME_SHARE = 0.8
# Share of the queueing time that requests of an account over its share may use. The rest is kept
# for the others.
OVER_SHARE_WAIT_SHARE = 0.25
# Factor of the longest wait above which a request is refused without being queued. While it is
# queued, its expected wait and the time that it has left fall alike; only chance makes up for less.
QUEUED_WAIT_FACTOR = 1.5
# Time between two choices of a back end for a queued request that is not woken before.
RETRY_INTERVAL_S = 0.05
# How long a new request waits once if others are queued ahead of it. The first of them is woken and
# has chosen by then: its load probe takes up to 15 ms.
GIVE_WAY_S = 0.02
# By how much the level rises with a request that finds no place at once. An entry with three urgent
# requests a second reaches a whole class within a second of overload.
LEVEL_STEP = 0.5
# Time constant with which the level falls, about as long as a retry delay lasts.
LEVEL_DECAY_S = 2.0


@dataclasses.dataclass(slots=True)
class Terms:
    """What the admission of a request depends on; times are on the entry's clock, in seconds.

    `objective_s` is the objective for the first byte, or that of a more urgent class of the service
    if that is shorter: a less urgent request must not be admitted where a more urgent one would be
    refused.
    """

    arrived_at: float
    objective_s: float
    is_last_try: bool = False

    def queue_deadline(self) -> float:
        """Return until when the request may be queued."""
        return self.arrived_at + QUEUE_TIME_SHARE * self.objective_s

    def wait_max_s(self, now: float) -> float:
        """Return the longest expected wait, in seconds from now, at which it is admitted."""
        share = LAST_TRY_FIRST_BYTE_SHARE if self.is_last_try else FIRST_BYTE_SHARE
        return self.arrived_at + share * self.objective_s - now


def wait_limit_s(wait_max_s: float, is_over_share: bool) -> float:
    """Return the longest expected wait at which a request is admitted, in seconds.

    `wait_max_s` is that of the terms. The limit is reduced for an account over its share, so that
    its requests are refused before any others have to be. Latency that is no queueing is left as it
    is.
    """
    queueing_s = wait_max_s - expected_wait.BASE_LATENCY_S
    if not is_over_share or queueing_s <= 0:
        return wait_max_s
    return expected_wait.BASE_LATENCY_S + OVER_SHARE_WAIT_SHARE * queueing_s


def is_worth_queueing(wait_s: float, wait_max_s: float) -> bool:
    """Return whether a request may find a place in time while it is queued.

    `wait_s` is the expected wait at the best back end, infinite if that is ejected.
    """
    return math.isinf(wait_s) or wait_s <= QUEUED_WAIT_FACTOR * wait_max_s


def is_last_try(remaining_s: float | None, timeout_s: float) -> bool:
    """Return whether a client has so little time left that it was probably refused before.

    `remaining_s` is the time until its deadline, or None if it has none; `timeout_s` is the timeout
    of its route.
    """
    return remaining_s is not None and remaining_s < LAST_TRY_TIME_SHARE * timeout_s


class AdmissionLevel:
    """How many of a service's classes yield to more urgent ones.

    At level 1 all requests of the least urgent class yield, at level 1.5 also half of those of the
    next one. `urgencies` are those of the service, the most urgent first.
    """

    def __init__(self, urgencies: Sequence[int]) -> None:
        self.urgencies = sorted(urgencies)
        self.level = 0.0
        self.updated_at = -math.inf

    def less_urgent_classes(self, urgency: int) -> int:
        """Return the number of classes that are less urgent than a request of `urgency`."""
        return sum(other > urgency for other in self.urgencies)

    def current(self, now: float) -> float:
        """Return the level; it falls while all requests find a place."""
        age_s = now - self.updated_at
        return self.level * math.exp(-age_s / LEVEL_DECAY_S) if self.level else 0.0

    def record_no_place(self, urgency: int, now: float) -> None:
        """Record that a request found no place at once, so that less urgent ones yield to it."""
        level_max = self.less_urgent_classes(urgency)
        current = self.current(now)
        if current < level_max:
            self.level = min(level_max, current + LEVEL_STEP)
            self.updated_at = now

    def must_yield(self, urgency: int, now: float, rng: random.Random) -> bool:
        """Return whether a request is admitted only to a back end with room."""
        share = self.current(now) - self.less_urgent_classes(urgency)
        return share > 0 and rng.random() < share
