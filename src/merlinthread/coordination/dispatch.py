"""Which back end an attempt goes to: the one with the earliest expected first byte.

Pure decisions over what an entry knows of its back ends: its own attempts in flight, the load that
agents report, the engine's figures in the configuration, and recent failures.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from merlinthread.coordination import fleet

REPORT_FRESH_S = 1.0
DISTANCE_COST_S = (0.0, 0.004, 0.012)
RUNNING_COST_S = 0.004
# What the sum of the other parts lacks at the median (ingoma-live quiet-1, 1,863 first events).
BASE_S = 0.06
FAILED_WAIT_S = 0.5
FAILED_WAIT_MAX_S = 4.0
FULL_WAIT_S = 0.08
USUAL_WORK_S = 0.1
WORK_SMOOTHING = 0.1
SPREAD_S = 0.003


@dataclasses.dataclass(slots=True)
class Backend:
    """One back end as an entry sees it; times are those of the entry's clock.

    `unread` counts this entry's attempts whose prompt is still to be read, `unread_tokens` their
    tokens. `others` is the load that is not this entry's own, as of the last report, and
    `others_queued` the part of it whose prompts were still to be read.
    """

    instance: str
    service: str
    address: str
    zone: str
    distance: int
    slots: int
    is_draining: bool = False
    cold_until: float = 0.0
    weights: list[fleet.Weights] = dataclasses.field(default_factory=list)
    in_flight: int = 0
    unread: int = 0
    unread_tokens: float = 0.0
    others: int = 0
    others_queued: int = 0
    is_busy: bool = False
    reported_at: float = float("-inf")
    failures: int = 0
    aside_until: float = float("-inf")
    full_until: float = float("-inf")
    work_s: float = USUAL_WORK_S
    missing_since: float | None = None

    def load(self, now: float) -> int:
        """Return how many requests run or wait there."""
        return self.in_flight + (self.others if self.others_known(now) else 0)

    def others_known(self, now: float) -> bool:
        """Return whether a fresh report tells of the requests of other entries."""
        return now - self.reported_at <= REPORT_FRESH_S

    def take_report(self, report: fleet.EngineReport, now: float) -> None:
        """Take a fresh report of its load and weights."""
        total = report.running + report.queued
        self.others = max(0, total - self.in_flight)
        self.others_queued = max(0, report.queued - self.unread)
        self.is_busy = report.is_busy
        self.weights = report.weights
        self.reported_at = now

    def version_of(self, model: str, layers: int) -> int:
        """Return the version of a model's weights that it holds whole, or 0."""
        whole = [
            held.version for held in self.weights if held.model == model and held.is_whole(layers)
        ]
        return max(whole, default=0)


@dataclasses.dataclass(slots=True)
class Demand:
    """What one attempt needs; `version` is the lowest that may serve it."""

    service: str
    model: str = ""
    version: int = 0
    prompt_tokens: float = 0.0
    tried: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Choice:
    """A back end with the expected time to its first byte, in seconds."""

    backend: Backend
    first_s: float


def expected_first_s(
    backend: Backend, engine: fleet.Engine | None, tokens: float, now: float
) -> float:
    """Return the expected time until the first byte of a request sent now.

    An engine works in passes: each plays a few token steps and reads prompts that wait, in turn.
    """
    load = backend.load(now)
    if engine is None or not engine.read_tokens_per_s:
        waiting = max(0, load - backend.slots + 1)
        return backend.work_s * (1 + waiting / max(1, backend.slots))
    pass_s = engine.step_s * engine.steps_per_pass
    unread = backend.unread_tokens
    if backend.others_known(now):
        unread += backend.others_queued * engine.usual_prompt
    reading_s = (unread + tokens) / engine.read_tokens_per_s
    waiting = max(0, load - backend.slots + 1)
    request_s = engine.usual_answer * engine.step_s * 1.5
    waiting_s = waiting / max(1, backend.slots) * request_s
    return BASE_S + pass_s + reading_s + waiting_s + load * RUNNING_COST_S


def is_able(backend: Backend, demand: Demand, engine: fleet.Engine | None, now: float) -> bool:
    """Return whether a back end may get this attempt at all."""
    if backend.service != demand.service or backend.is_draining:
        return False
    if backend.instance in demand.tried:
        return False
    if now < backend.aside_until or now < backend.full_until or backend.is_busy:
        return False
    if not demand.model or engine is None:
        return True
    held = backend.version_of(demand.model, engine.layers)
    return held > 0 and held >= demand.version


def choose(
    backends: Iterable[Backend],
    demand: Demand,
    engine: fleet.Engine | None,
    now: float,
    rng: random.Random,
) -> Choice | None:
    """Return the best back end for an attempt, or None if there is none."""
    best: Choice | None = None
    best_cost = math.inf
    for backend in backends:
        if not is_able(backend, demand, engine, now):
            continue
        first_s = expected_first_s(backend, engine, demand.prompt_tokens, now)
        cost = first_s + DISTANCE_COST_S[backend.distance] + rng.uniform(0, SPREAD_S)
        if now < backend.cold_until:
            cost += first_s
        if cost < best_cost:
            best = Choice(backend, first_s)
            best_cost = cost
    return best


def note_failure(backend: Backend, now: float) -> None:
    """Set a back end aside after a failure, longer each time."""
    wait = min(FAILED_WAIT_MAX_S, FAILED_WAIT_S * 2**backend.failures)
    backend.failures += 1
    backend.aside_until = now + wait


def note_success(backend: Backend, work_s: float) -> None:
    """Note a whole answer and how long it took."""
    backend.failures = 0
    backend.work_s += WORK_SMOOTHING * (work_s - backend.work_s)


def note_full(backend: Backend, now: float) -> None:
    """Leave a back end alone for a moment that said it is full."""
    backend.full_until = now + FULL_WAIT_S
