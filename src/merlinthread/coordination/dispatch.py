"""Load balancing: choose the back end with the shortest expected time to the first byte.

The functions decide by the entry's attempts in flight, the load reported by agents, the engine
parameters in the configuration and recent failures. They do no I/O.
"""

import dataclasses
import math
import random
from collections.abc import Iterable, Sequence

from merlinthread.coordination import allowed_regions, backend_record, expected_wait, fleet

DISTANCE_COST_S = (0.0, 0.008, 0.025)
RANDOM_CHOICES = 2
# Relative difference up to which costs count as equal.
COST_TOLERANCE = 0.1
SAMPLE_MAX = 48
STALE_REPORTS_COST_S = 0.3
# Requests to a VM whose agent did not reply to a probe may be delayed too.
UNANSWERED_PROBE_COST_S = 0.06


@dataclasses.dataclass(slots=True)
class Requirements:
    """The requirements of one attempt; `version` is the lowest that may serve it.

    `version_soon` becomes mandatory shortly. Until then a back end with an older version may serve
    only if it is responsive, so that the attempt starts in time. `is_retry` is set if the request
    had an attempt before, `may_be_retried` if it may have another one after this. `urgency` is None
    if the requests of the service do not differ in urgency. If `allowed_regions` is not None,
    only back ends in these regions may serve.

    `account` is the client account, `asked_tokens` the expected cost that no agent has been told
    yet. `over_share` tells, by instance, whether agents replied that the account is over its share.
    """

    service: str
    model: str = ""
    version: int = 0
    version_soon: int = 0
    prompt_tokens: float = 0.0
    tried: set[str] = dataclasses.field(default_factory=set)
    is_retry: bool = False
    may_be_retried: bool = True
    urgency: int | None = None
    allowed_regions: frozenset[str] | None = None
    account: str = ""
    asked_tokens: float = 0.0
    over_share: dict[str, bool] = dataclasses.field(default_factory=dict)

    def is_over_share(self, backend: backend_record.Backend) -> bool:
        """Return whether the account is over its share at a back end.

        One whose agent was not asked, or did not reply, is taken to be like the others if these
        agree. Otherwise an account over its share would go where that is not known.
        """
        replies = self.over_share.values()
        return self.over_share.get(backend.instance, bool(replies) and all(replies))


@dataclasses.dataclass(slots=True)
class Choice:
    """A back end with its expected time to the first byte, in seconds.

    `wait_s` excludes the time to read the request's own prompt. `cost_s` adds penalties, such as
    those for distance and a cold start. Both are infinite for an ejected back end. `is_over_share`
    is set if requests of other accounts go before this one there.
    """

    backend: backend_record.Backend
    first_byte_s: float
    wait_s: float
    cost_s: float
    is_over_share: bool = False


def half_ready_in_s(backends: Sequence[backend_record.Backend], now: float) -> float | None:
    """Return in how many seconds half of the back ends will serve, by their agents' forecasts.

    Return None if fewer than half have a forecast.
    """
    staying = [backend for backend in backends if not backend.is_out_of_use()]
    ready_times = sorted(backend.ready_at for backend in staying if backend.ready_at is not None)
    half = (len(staying) + 1) // 2
    if not half or len(ready_times) < half:
        return None
    return max(0.0, ready_times[half - 1] - now)


def available_at(backends: Iterable[backend_record.Backend], now: float) -> float | None:
    """Return when the first back end becomes available, if none is available now.

    Return infinity if all are draining or evacuated, or None if one is available or the list is
    empty.
    """
    found = list(backends)
    if not found:
        return None
    staying = [backend.availability for backend in found if not backend.is_out_of_use()]
    first_at = min((availability.available_at(now) for availability in staying), default=math.inf)
    return first_at if first_at > now else None


def is_eligible(
    backend: backend_record.Backend,
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
) -> bool:
    """Return whether a back end can serve this attempt now and is not ejected."""
    return can_serve(backend, requirements, engine, now) and not backend.is_ejected(now)


def can_serve(
    backend: backend_record.Backend,
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
) -> bool:
    """Return whether a back end can serve this attempt now, ejected or not."""
    if backend.availability.lacks_permit(now):
        return False
    return can_serve_with_permit(backend, requirements, engine, now)


def can_serve_with_permit(
    backend: backend_record.Backend,
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
) -> bool:
    """Return whether a back end can serve this attempt given a permit, ejected or not."""
    if backend.service != requirements.service or backend.is_draining:
        return False
    if backend.is_evacuated:
        return False
    if backend.instance in requirements.tried:
        return False
    if not allowed_regions.is_allowed(backend, requirements.allowed_regions):
        return False
    if now < backend.full_until or backend.is_changing(now):
        return False
    if backend.availability.is_unavailable(now):
        return False
    if not requirements.model or engine is None:
        return True
    loaded = backend.version_of(requirements.model, engine.layers)
    return loaded > 0 and loaded >= requirements.version


def starts_in_time(
    backend: backend_record.Backend,
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
) -> bool:
    """Return whether an attempt is expected to start while the loaded version may serve it."""
    if not requirements.model or engine is None:
        return True
    loaded = backend.version_of(requirements.model, engine.layers)
    return loaded >= requirements.version_soon or backend.is_responsive(now)


def candidates(
    backends: Iterable[backend_record.Backend],
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
) -> list[backend_record.Backend]:
    """Return the back ends that can serve an attempt, preferring those not ejected.

    If all are ejected, return those that are only silent, and those without an attempt in flight,
    so that one request at a time tries a failed one, as in the half-open state of a circuit breaker
    (Nygard 2007).
    """
    serving = [backend for backend in backends if can_serve(backend, requirements, engine, now)]
    healthy = [backend for backend in serving if not backend.is_ejected(now)]
    return healthy or [
        backend for backend in serving if not (backend.in_flight and backend.has_failed(now))
    ]


def permit_candidates(
    backends: Iterable[backend_record.Backend],
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
) -> list[backend_record.Backend]:
    """Return the back ends that can serve an attempt given a permit, cheapest first.

    For a retry, those that accept requests precede the others. Return an empty list if any of them
    needs no permit.
    """
    serving = [
        backend
        for backend in backends
        if can_serve_with_permit(backend, requirements, engine, now)
        and starts_in_time(backend, requirements, engine, now)
        and not backend.is_ejected(now)
    ]
    if not all(backend.availability.needs_leader_permit(now) for backend in serving):
        return []
    return sorted(
        serving,
        key=lambda backend: (
            requirements.is_retry and not backend.is_accepting(),
            evaluate(backend, requirements, engine, now).cost_s,
        ),
    )


def cold_candidates(
    backends: Iterable[backend_record.Backend],
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
) -> list[Choice]:
    """Return the cold back ends that lack only a permit of their agent, the soonest free first."""
    serving = [
        backend
        for backend in backends
        if backend.availability.needs_agent_permit(now)
        and not backend.availability.needs_leader_permit(now)
        and can_serve_with_permit(backend, requirements, engine, now)
        and starts_in_time(backend, requirements, engine, now)
        and not backend.is_ejected(now)
    ]
    serving.sort(key=lambda backend: backend.availability.permit_at(now))
    return [evaluate(backend, requirements, engine, now) for backend in serving]


def choose(
    backends: Iterable[backend_record.Backend],
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
    rng: random.Random,
    wait_s_max: float = math.inf,
) -> Choice | None:
    """Return a low-cost back end for an attempt, or None if there is none.

    Choose the better of two random candidates; if its wait exceeds `wait_s_max`, choose the
    cheapest of all.
    """
    eligible = [
        backend
        for backend in candidates(backends, requirements, engine, now)
        if starts_in_time(backend, requirements, engine, now)
    ]
    choices = least_doubtful(
        [evaluate(backend, requirements, engine, now) for backend in eligible],
        requirements,
        wait_s_max,
    )
    if not choices:
        return None
    # Entries decide independently on delayed reports and would overload the best back end. The
    # better of two random choices avoids that (Mitzenmacher 2001).
    sampled = rng.sample(choices, min(RANDOM_CHOICES, len(choices)))
    best = first_near_cheapest(sampled)
    return cheapest(choices) if best.wait_s > wait_s_max else best


def cheapest(choices: Sequence[Choice]) -> Choice:
    """Return the cheapest choice; if all back ends are ejected, the one with least in flight."""
    return min(choices, key=lambda choice: (choice.cost_s, choice.backend.in_flight))


def least_doubtful(
    choices: list[Choice], requirements: Requirements, wait_s_max: float = math.inf
) -> list[Choice]:
    """Return the choices whose back ends are least likely to refuse an attempt.

    A back end that refuses requests looks idle. A request could try several of them and use up its
    attempts, although other back ends have capacity. A retry therefore goes to a back end that
    accepts requests, if there is one. A first attempt avoids doubtful back ends that another
    attempt is trying, or all doubtful ones if it can't be retried, unless the wait of the others is
    longer than `wait_s_max`.
    """
    if requirements.is_retry:
        accepting = [choice for choice in choices if choice.backend.is_accepting()]
        if accepting:
            return accepting
    if requirements.may_be_retried:
        others = [choice for choice in choices if not choice.backend.has_trial()]
    else:
        others = [choice for choice in choices if not choice.backend.is_doubtful()]
    is_wait_short = any(choice.wait_s <= wait_s_max for choice in others)
    return others if is_wait_short else choices


def first_near_cheapest(choices: Sequence[Choice]) -> Choice:
    """Return the first choice whose cost is within the tolerance of the lowest.

    Otherwise a back end with a marginally higher mean response time would get no requests, and so
    no responses to correct its mean.
    """
    cost_max_s = (1 + COST_TOLERANCE) * min(choice.cost_s for choice in choices)
    return next(choice for choice in choices if choice.cost_s <= cost_max_s)


def shortlist(
    backends: Sequence[backend_record.Backend],
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
    rng: random.Random,
    count: int,
    skipped: int = 0,
) -> list[backend_record.Backend]:
    """Return the `count` cheapest back ends of a sample after the `skipped` cheapest."""
    # Selected before the sample, which might contain no back end of an allowed region.
    backends = allowed_regions.select(backends, requirements.allowed_regions)
    if len(backends) > SAMPLE_MAX:
        backends = rng.sample(backends, SAMPLE_MAX)
    eligible = candidates(backends, requirements, engine, now)
    choices = least_doubtful(
        [evaluate(backend, requirements, engine, now) for backend in eligible], requirements
    )
    ranked = [(choice.cost_s, rng.random(), choice.backend) for choice in choices]
    ranked.sort(key=lambda entry: entry[:2])
    return [backend for _, _, backend in ranked[skipped : skipped + count]]


def choose_best(
    backends: Iterable[backend_record.Backend],
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
    wait_s_max: float = math.inf,
) -> Choice | None:
    """Return the cheapest of the least doubtful back ends for an attempt, or None."""
    eligible = [
        backend
        for backend in candidates(backends, requirements, engine, now)
        if starts_in_time(backend, requirements, engine, now)
    ]
    choices = least_doubtful(
        [evaluate(backend, requirements, engine, now) for backend in eligible],
        requirements,
        wait_s_max,
    )
    return cheapest(choices) if choices else None


def evaluate(
    backend: backend_record.Backend,
    requirements: Requirements,
    engine: fleet.Engine | None,
    now: float,
) -> Choice:
    """Return a back end with its expected times and cost for an attempt."""
    first_byte_s = expected_wait.expected_first_byte_s(
        backend, engine, requirements.prompt_tokens, now, requirements.urgency
    )
    cost_s = first_byte_s + DISTANCE_COST_S[backend.distance]
    if now < backend.cold_until:
        cost_s += first_byte_s
    if backend.has_stale_reports(now):
        cost_s += STALE_REPORTS_COST_S
    if backend.probe_unanswered:
        cost_s += UNANSWERED_PROBE_COST_S
    is_over_share = requirements.is_over_share(backend)
    if backend.is_ejected(now):
        return Choice(backend, first_byte_s, math.inf, math.inf, is_over_share)
    return Choice(
        backend,
        first_byte_s,
        first_byte_s - expected_wait.prompt_read_s(engine, requirements.prompt_tokens),
        cost_s,
        is_over_share,
    )
