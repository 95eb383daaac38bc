"""Plans of the silence experiment: the streams, disturbances and changes of one seed.

A plan depends on the seed and the picture only, so that builds are compared on the same one.
"""

import dataclasses
import random

ENGINE_COUNT = 8
STREAM_INTERVAL_S = 0.05
CRASH_DURATION_S = 1.5


@dataclasses.dataclass(slots=True, frozen=True)
class Picture:
    """What happens during a run; an interval of 0 means never.

    `silence_interval_s` and `crash_interval_s` are times between the beginnings of two silences
    or crashes, each of a random engine; `silence_s` are the bounds of the length of a silence.
    """

    silence_interval_s: float = 0.0
    silence_s: tuple[float, float] = (0.84, 1.44)
    change_interval_s: float = 0.0
    crash_interval_s: float = 0.0


PICTURES = {
    "silences": Picture(silence_interval_s=0.7),
    "silences-changes": Picture(silence_interval_s=0.7, change_interval_s=2.5),
    "long-silences-changes": Picture(
        silence_interval_s=0.7, silence_s=(1.3, 2.2), change_interval_s=2.5
    ),
    # With silences of 1.14 s on average, four to five of eight engines are silent at a time.
    "half-silent-changes": Picture(silence_interval_s=0.25, change_interval_s=2.5),
    "changes": Picture(change_interval_s=2.5),
    "crashes": Picture(crash_interval_s=2.5),
    "silences-crashes": Picture(silence_interval_s=0.7, crash_interval_s=2.5),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Disturbance:
    """A silence or crash of the engine with index `engine`; times are since the start."""

    at_s: float
    engine: int
    duration_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A stream that a client requests from the entry with index `entry`."""

    at_s: float
    entry: int


@dataclasses.dataclass(slots=True)
class Plan:
    """Everything that is done to the fleet during a run."""

    arrivals: list[Arrival]
    silences: list[Disturbance]
    crashes: list[Disturbance]
    changes: list[float]


def make_plan(picture: Picture, seed: int, seconds: float, entry_count: int) -> Plan:
    """Return the plan of a seed.

    Each part has a random generator of its own, so that pictures of one seed share their streams.
    """
    rng = random.Random(f"streams {seed}")
    arrivals = [
        Arrival(at_s, rng.randrange(entry_count)) for at_s in times(STREAM_INTERVAL_S, seconds)
    ]
    silences = draw_disturbances(
        random.Random(f"silences {seed}"),
        times(picture.silence_interval_s, seconds),
        picture.silence_s,
    )
    crashes = draw_disturbances(
        random.Random(f"crashes {seed}"),
        times(picture.crash_interval_s, seconds),
        (CRASH_DURATION_S, CRASH_DURATION_S),
    )
    return Plan(arrivals, silences, crashes, times(picture.change_interval_s, seconds))


def times(interval_s: float, seconds: float) -> list[float]:
    """Return the times at a regular interval, none if it is 0."""
    if not interval_s:
        return []
    return [number * interval_s for number in range(1, int(seconds / interval_s) + 1)]


def draw_disturbances(
    rng: random.Random, starts: list[float], duration_s: tuple[float, float]
) -> list[Disturbance]:
    """Return one disturbance at each start, of a random engine that is not disturbed then."""
    disturbances = []
    ends = [0.0] * ENGINE_COUNT
    for at_s in starts:
        engine = rng.choice([index for index, end_s in enumerate(ends) if end_s <= at_s])
        disturbance = Disturbance(at_s, engine, rng.uniform(*duration_s))
        ends[engine] = at_s + disturbance.duration_s
        disturbances.append(disturbance)
    return disturbances
