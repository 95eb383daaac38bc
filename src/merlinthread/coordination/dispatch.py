"""Which back end an attempt goes to: the one with the earliest expected first byte.

Pure decisions over what an entry knows of its back ends: its own attempts in flight, the load that
agents report, the engine's figures in the configuration, and recent failures.
"""

import dataclasses
import math
import random
from collections.abc import Iterable, Sequence

from merlinthread.coordination import backend_record, fleet

DISTANCE_COST_S = (0.0, 0.008, 0.025)
RUNNING_COST_S = 0.002
# What a first byte takes besides the parts that are reckoned.
BASE_S = 0.06
FAILED_WAIT_S = 0.5
FAILED_WAIT_MAX_S = 4.0
FULL_BACKOFF_S = 0.08
DRAWN = 2
# Costs that differ by less than this share are alike.
ALIKE_SHARE = 0.1
SAMPLED = 48
UNHEARD_COST_S = 0.3
# A full engine reads prompts between its steps: requests take this many times their bare steps.
FULL_SLOWDOWN = 3.0
# An agent that did not answer at once: requests to its machine may be held up too.
SILENT_COST_S = 0.06
# What a request that runs on a plain back end costs the next one at least; silent ones count too.
PLAIN_RUNNING_COST_S = 0.05


@dataclasses.dataclass(slots=True)
class Demand:
    """What one attempt needs; `version` is the lowest that may serve it.

    `version_soon` falls due so soon that an older one may serve only where requests arrive
    promptly: one that is held up on its way would begin too late.
    """

    service: str
    model: str = ""
    version: int = 0
    version_soon: int = 0
    prompt_tokens: float = 0.0
    tried: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Choice:
    """A back end with the expected time to its first byte, in seconds.

    `wait_s` is the part of it that does not depend on the size of the request's own prompt;
    `cost_s` also weighs how far away it is and whether it has just started. Both are infinite for
    one that has just failed: it is a last resort.
    """

    backend: backend_record.Backend
    first_byte_s: float
    wait_s: float
    cost_s: float


def expected_first_byte_s(
    backend: backend_record.Backend, engine: fleet.Engine | None, tokens: float, now: float
) -> float:
    """Return the expected time until the first byte of a request sent now.

    An engine works in passes: each plays a few token steps and reads prompts that wait, in turn.
    """
    load = backend.load(now)
    if engine is None or not engine.read_tokens_per_s:
        waiting = max(0, load - backend.slots + 1)
        work_s = backend.expected_response_s()
        running_s = load * max(work_s, PLAIN_RUNNING_COST_S)
        return work_s * (1 + waiting / max(1, backend.slots)) + running_s
    pass_s = engine.step_s * engine.steps_per_pass
    unread = backend.unread_tokens
    if backend.has_fresh_load(now):
        unread += others_unread(backend, engine)
    unread_s = reading_s(engine, unread + tokens)
    waiting = max(0, load - backend.slots + 1)
    request_s = engine.usual_answer * engine.step_s * FULL_SLOWDOWN
    waiting_s = waiting / max(1, backend.slots) * request_s
    return BASE_S + backend.pace * (pass_s + unread_s + waiting_s + load * RUNNING_COST_S)


def others_unread(backend: backend_record.Backend, engine: fleet.Engine) -> float:
    """Return the tokens of other entries' prompts that are still to be read, as far as known."""
    if backend.others_unread_tokens is None:
        return backend.others_queued * engine.usual_prompt
    return backend.others_unread_tokens


def half_ready_in_s(backends: Sequence[backend_record.Backend], now: float) -> float | None:
    """Return when half of the back ends will serve again, as far as their agents told it.

    None if that is not known of half of them.
    """
    staying = [backend for backend in backends if not backend.is_draining]
    told = sorted(backend.ready_at for backend in staying if backend.ready_at is not None)
    half = (len(staying) + 1) // 2
    if not half or len(told) < half:
        return None
    return max(0.0, told[half - 1] - now)


def available_at(backends: Iterable[backend_record.Backend], now: float) -> float | None:
    """Return when the first of some back ends takes requests again, if all are closed now.

    That is infinite if all leave; None if one is open, or if there is none at all.
    """
    found = list(backends)
    if not found:
        return None
    staying = [backend.availability for backend in found if not backend.is_draining]
    opens_at = min((availability.available_at(now) for availability in staying), default=math.inf)
    return opens_at if opens_at > now else None


def reading_s(engine: fleet.Engine | None, tokens: float) -> float:
    """Return how long an engine reads `tokens` of prompts."""
    if engine is None or not engine.read_tokens_per_s:
        return 0.0
    return tokens / engine.read_tokens_per_s


def is_eligible(
    backend: backend_record.Backend, demand: Demand, engine: fleet.Engine | None, now: float
) -> bool:
    """Return whether a back end may get this attempt, and has not just failed."""
    return is_fit(backend, demand, engine, now) and not backend.is_ejected(now)


def is_fit(
    backend: backend_record.Backend, demand: Demand, engine: fleet.Engine | None, now: float
) -> bool:
    """Return whether a back end could serve this attempt now if it is sound."""
    if backend.availability.lacks_permit(now):
        return False
    return is_fit_with_permit(backend, demand, engine, now)


def is_fit_with_permit(
    backend: backend_record.Backend, demand: Demand, engine: fleet.Engine | None, now: float
) -> bool:
    """Return whether a back end could serve this attempt if it is sound and there is a permit."""
    if backend.service != demand.service or backend.is_draining:
        return False
    if backend.instance in demand.tried:
        return False
    if now < backend.full_until or backend.is_changing(now):
        return False
    if backend.availability.is_unavailable(now):
        return False
    if not demand.model or engine is None:
        return True
    held = backend.version_of(demand.model, engine.layers)
    return held > 0 and held >= demand.version


def begins_in_time(
    backend: backend_record.Backend, demand: Demand, engine: fleet.Engine | None, now: float
) -> bool:
    """Return whether an attempt surely begins before the bound of the version held there."""
    if not demand.model or engine is None:
        return True
    held = backend.version_of(demand.model, engine.layers)
    return held >= demand.version_soon or backend.is_responsive(now)


def candidates(
    backends: Iterable[backend_record.Backend],
    demand: Demand,
    engine: fleet.Engine | None,
    now: float,
) -> list[backend_record.Backend]:
    """Return the back ends that may get an attempt: sound ones, else one that failed lately.

    One failure may have been the network's. If the last back end there is were left alone for it,
    all would be refused until its time aside is over; so one request at a time tries it (the
    half-open state of a circuit breaker, Nygard 2007).
    """
    fit = [backend for backend in backends if is_fit(backend, demand, engine, now)]
    sound = [backend for backend in fit if not backend.is_ejected(now)]
    return sound or [backend for backend in fit if not backend.in_flight]


def permit_candidates(
    backends: Iterable[backend_record.Backend],
    demand: Demand,
    engine: fleet.Engine | None,
    now: float,
) -> list[backend_record.Backend]:
    """Return the sound back ends that may get an attempt with a permit, best first.

    There are none if one may get it without.
    """
    fit = [
        backend
        for backend in backends
        if is_fit_with_permit(backend, demand, engine, now)
        and begins_in_time(backend, demand, engine, now)
        and not backend.is_ejected(now)
    ]
    if not all(backend.availability.is_limited() for backend in fit):
        return []
    return sorted(fit, key=lambda backend: evaluate(backend, demand, engine, now).cost_s)


def choose(
    backends: Iterable[backend_record.Backend],
    demand: Demand,
    engine: fleet.Engine | None,
    now: float,
    rng: random.Random,
    wait_s_max: float = math.inf,
) -> Choice | None:
    """Return a good back end for an attempt, or None if there is none.

    One whose wait is over `wait_s_max` is returned only if all others would be worse.
    """
    able = [
        backend
        for backend in candidates(backends, demand, engine, now)
        if begins_in_time(backend, demand, engine, now)
    ]
    choices = [evaluate(backend, demand, engine, now) for backend in able]
    if not choices:
        return None
    # Entries decide apart on reports of some age: if all took the best one, it would be flooded. Of
    # two drawn by lot the better one is nearly as good (Mitzenmacher 2001).
    drawn = rng.sample(choices, min(DRAWN, len(choices)))
    best = first_of_the_nearly_best(drawn)
    if best.wait_s > wait_s_max:
        best = min(choices, key=lambda choice: choice.cost_s)
    return best


def first_of_the_nearly_best(choices: Sequence[Choice]) -> Choice:
    """Return the first of some choices whose cost is not told apart from the lowest.

    Of two that need the same one would otherwise get all requests for as long as its mean happens
    to be lower, and the other none by which its own could change.
    """
    enough_s = (1 + ALIKE_SHARE) * min(choice.cost_s for choice in choices)
    return next(choice for choice in choices if choice.cost_s <= enough_s)


def shortlist(
    backends: Sequence[backend_record.Backend],
    demand: Demand,
    engine: fleet.Engine | None,
    now: float,
    rng: random.Random,
    count: int,
    skipped: int = 0,
) -> list[backend_record.Backend]:
    """Return the `count` back ends that look best after the `skipped` best, of a sample."""
    if len(backends) > SAMPLED:
        backends = rng.sample(backends, SAMPLED)
    able = candidates(backends, demand, engine, now)
    rated = [
        (evaluate(backend, demand, engine, now).cost_s, rng.random(), backend) for backend in able
    ]
    rated.sort(key=lambda entry: entry[:2])
    return [backend for _, _, backend in rated[skipped : skipped + count]]


def choose_best(
    backends: Iterable[backend_record.Backend],
    demand: Demand,
    engine: fleet.Engine | None,
    now: float,
) -> Choice | None:
    """Return the best of the back ends that may get an attempt, or None."""
    able = [
        backend
        for backend in candidates(backends, demand, engine, now)
        if begins_in_time(backend, demand, engine, now)
    ]
    choices = [evaluate(backend, demand, engine, now) for backend in able]
    return min(choices, key=lambda choice: choice.cost_s, default=None)


def evaluate(
    backend: backend_record.Backend, demand: Demand, engine: fleet.Engine | None, now: float
) -> Choice:
    """Return what choosing a back end would mean."""
    first_byte_s = expected_first_byte_s(backend, engine, demand.prompt_tokens, now)
    cost_s = first_byte_s + DISTANCE_COST_S[backend.distance]
    if now < backend.cold_until:
        cost_s += first_byte_s
    if backend.has_stale_reports(now):
        cost_s += UNHEARD_COST_S
    if backend.probe_unanswered:
        cost_s += SILENT_COST_S
    if backend.is_ejected(now):
        return Choice(backend, first_byte_s, math.inf, math.inf)
    return Choice(
        backend, first_byte_s, first_byte_s - reading_s(engine, demand.prompt_tokens), cost_s
    )


def record_failure(backend: backend_record.Backend, now: float) -> None:
    """Set a back end aside after a failure, longer each time."""
    wait = min(FAILED_WAIT_MAX_S, FAILED_WAIT_S * 2**backend.failures)
    backend.failures += 1
    backend.ejected_until = now + wait


def record_success(backend: backend_record.Backend, work_s: float) -> None:
    """Note a whole answer and how long it took."""
    backend.failures = 0
    backend.response_time.note(work_s)
    backend.service_response_time.note(work_s)


def record_full(backend: backend_record.Backend, now: float) -> None:
    """Leave a back end alone for a moment that said it is full."""
    backend.full_until = now + FULL_BACKOFF_S
