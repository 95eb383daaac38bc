"""Arithmetic of overloaded seconds: who was served in each, and how good a split was possible.

A second is overloaded if a request that arrived in it was refused or answered late. Arrival times
are by the clocks of the entries. Input is the `request` lines of entries' logs; fields that an
older build does not log are treated as unknown.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from merlinthread.cli import explain

UNKNOWN = "unknown"
# What a late answer is worth to a client, as a share of one in time: about a quarter or less.
LATE_WORTH_SHARE = 0.25
# Outcomes in which an entry refused a request that no back end could take.
REFUSED_OUTCOMES = ("no_target",)
# Clients choose some of the numbers in logs; larger ones can't be converted or added up.
NUMBER_MAX = 1e12
# Keeps the worth per engine second finite for requests without known tokens.
ENGINE_TIME_MIN_S = 1e-6


class Result(enum.StrEnum):
    """How a request ended for its client; OTHER are failures and clients that left."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED_FIRST = "refused_first"
    REFUSED_LATER = "refused_later"
    OTHER = "other"


REFUSALS = (Result.REFUSED_FIRST, Result.REFUSED_LATER)


@dataclasses.dataclass(slots=True)
class Try:
    """One request line; `second` counts from the first arrival in the logs.

    A client that repeats a refused request causes another try. `urgency` 0 is the most urgent.
    """

    request: str
    arrived_at: float
    result: Result
    took_ms: float
    route: str = UNKNOWN
    account: str = UNKNOWN
    zone: str = UNKNOWN
    service: str = ""
    urgency: float = math.inf
    prompt_tokens: float = 0.0
    response_tokens_max: float = 0.0
    second: int = 0

    def group(self, by: Sequence[str]) -> tuple[str, ...]:
        """Return the values of the fields named in `by`."""
        return tuple(getattr(self, name) for name in by)


@dataclasses.dataclass(slots=True)
class EngineFigures:
    """The engines of one service; speeds are in seconds and tokens."""

    count: float
    slots: float
    step_s: float
    read_tokens_per_s: float
    usual_response_tokens: float

    def engine_s(self, request: Try) -> float:
        """Return the engine time that a request takes, in seconds.

        Prompts are read one after the other, while a step generates a token in every slot.
        """
        tokens = self.usual_response_tokens
        if request.response_tokens_max > 0:
            tokens = min(tokens, request.response_tokens_max)
        engine_s = (
            request.prompt_tokens / self.read_tokens_per_s + tokens * self.step_s / self.slots
        )
        return max(ENGINE_TIME_MIN_S, engine_s)


@dataclasses.dataclass(slots=True)
class Row:
    """The requests of one group that arrived in one overloaded second."""

    second: int
    group: tuple[str, ...]
    offered: int
    counts: dict[Result, int]
    refusal_p50_ms: float | None
    refusal_p95_ms: float | None


@dataclasses.dataclass(slots=True)
class Split:
    """How well a service's engine time was split over the requests of one overloaded second.

    `share` is the worth achieved as a share of the best possible. It exceeds 1 if the engines did
    more than their figures say, for instance with requests that were still running from before.
    """

    second: int
    service: str
    offered_engine_s: float
    capacity_engine_s: float
    best_worth: float
    achieved_worth: float

    @property
    def share(self) -> float | None:
        """Return the achieved share, or None if nothing of worth was possible."""
        return self.achieved_worth / self.best_worth if self.best_worth > 0 else None


def read_tries(lines: Iterable[explain.LogLine], objective_ms: float) -> list[Try]:
    """Return the requests in the lines in order of arrival.

    `objective_ms` is used for lines that do not name the objective of their route. A refusal is at
    a later try if the logs have an earlier refusal of the same request id, or if the entry took the
    request for a repeated one because little of its time was left.
    """
    found = [
        (line.at - number(line.fields, "ms") / 1000, line)
        for line in lines
        if line.fields.get("event") == "request"
    ]
    found.sort(key=lambda item: item[0])
    refused: set[str] = set()
    tries = []
    for arrived_at, line in found:
        request = make_try(line.fields, arrived_at, objective_ms)
        if request.result in REFUSALS:
            if request.request in refused:
                request.result = Result.REFUSED_LATER
            if request.request:
                refused.add(request.request)
        request.second = int(arrived_at - found[0][0])
        tries.append(request)
    return tries


def make_try(fields: Mapping[str, Any], arrived_at: float, objective_ms: float) -> Try:
    """Return the request of one line, without what depends on other lines."""
    return Try(
        text(fields, "request", ""),
        arrived_at,
        read_result(fields, number(fields, "objective_ms") or objective_ms),
        number(fields, "ms"),
        text(fields, "route", UNKNOWN),
        text(fields, "account", UNKNOWN),
        text(fields, "zone", UNKNOWN),
        text(fields, "service", ""),
        number(fields, "urgency", math.inf),
        number(fields, "prompt_tokens"),
        number(fields, "response_tokens_max"),
    )


def read_result(fields: Mapping[str, Any], objective_ms: float) -> Result:
    """Return the result of one line; a refusal counts as later if the entry said so."""
    if fields.get("outcome") in REFUSED_OUTCOMES:
        is_later = fields.get("is_client_retry") is True
        return Result.REFUSED_LATER if is_later else Result.REFUSED_FIRST
    if fields.get("outcome") != "answered" or not 200 <= number(fields, "status") < 300:
        return Result.OTHER
    first_ms = number(fields, "first_ms", number(fields, "ms"))
    return Result.IN_TIME if first_ms <= objective_ms else Result.LATE


def number(fields: Mapping[str, Any], name: str, default: float = 0.0) -> float:
    """Return a numeric field of a line, or `default` if it is missing or out of range."""
    value = fields.get(name)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number and 0 <= value <= NUMBER_MAX else default


def text(fields: Mapping[str, Any], name: str, default: str) -> str:
    """Return a text field of a line, or `default` if it is missing or empty."""
    value = fields.get(name)
    return value if isinstance(value, str) and value else default


def read_figures(lines: Iterable[explain.LogLine]) -> dict[str, dict[str, float]]:
    """Return the engine figures of each service in the newest configuration in the logs."""
    newest, found = -1.0, {}
    for line in lines:
        engines = line.fields.get("engines")
        if line.fields.get("event") != "configuration" or not isinstance(engines, dict):
            continue
        version = number(line.fields, "version")
        if version > newest:
            newest, found = version, engines
    return {
        service: {name: number(figures, name) for name in figures}
        for service, figures in found.items()
        if isinstance(figures, dict)
    }


def count_dropped_lines(lines: Iterable[explain.LogLine]) -> int:
    """Return how many log lines the processes have left out, so that requests are missing."""
    return int(sum(number(line.fields, "lines_left_out") for line in lines))


def overloaded_seconds(tries: Iterable[Try]) -> dict[int, list[Try]]:
    """Return the requests of each second with a refusal or a late answer, in order of time."""
    seconds: dict[int, list[Try]] = collections.defaultdict(list)
    for request in tries:
        seconds[request.second].append(request)
    return {
        second: requests
        for second, requests in sorted(seconds.items())
        if any(request.result in (*REFUSALS, Result.LATE) for request in requests)
    }


def make_rows(seconds: Mapping[int, list[Try]], by: Sequence[str]) -> list[Row]:
    """Return a row for each group of each overloaded second."""
    rows = []
    for second, requests in seconds.items():
        groups: dict[tuple[str, ...], list[Try]] = collections.defaultdict(list)
        for request in requests:
            groups[request.group(by)].append(request)
        rows.extend(make_row(second, group, groups[group]) for group in sorted(groups))
    return rows


def make_row(second: int, group: tuple[str, ...], requests: Sequence[Try]) -> Row:
    """Return the row of one group of requests."""
    counts = collections.Counter(request.result for request in requests)
    waits_ms = sorted(request.took_ms for request in requests if request.result in REFUSALS)
    return Row(
        second,
        group,
        len(requests),
        {result: counts[result] for result in Result},
        percentile(waits_ms, 0.5),
        percentile(waits_ms, 0.95),
    )


def percentile(values: Sequence[float], share: float) -> float | None:
    """Return the nearest-rank percentile of sorted values, or None if there are none."""
    return values[max(0, math.ceil(share * len(values)) - 1)] if values else None


def make_splits(
    seconds: Mapping[int, list[Try]],
    figures: Mapping[str, EngineFigures],
    worth: Mapping[str, float],
) -> list[Split]:
    """Return the split of each overloaded second for each service with known engines.

    `worth` maps routes to the worth of a request that is served in time; others are worth 1.
    """
    splits = []
    for second, requests in seconds.items():
        for service, engines in sorted(figures.items()):
            offered = [request for request in requests if request.service == service]
            if offered:
                splits.append(make_split(second, service, offered, engines, worth))
    return splits


def make_split(
    second: int,
    service: str,
    tries: Sequence[Try],
    engines: EngineFigures,
    worth: Mapping[str, float],
) -> Split:
    """Return the split of one second of one service.

    The best split fills the engine time with the most urgent requests first and, among those of the
    same urgency, with the highest worth per engine second; the last one may fit in part. A request
    that was tried several times within the second counts once.
    """
    # The last try of each request decides; those without an id can't be told apart.
    last = {request.request or f"#{index}": request for index, request in enumerate(tries)}
    offered = [
        (request, engines.engine_s(request), worth.get(request.route, 1.0))
        for request in last.values()
    ]
    offered.sort(key=lambda item: (item[0].urgency, -item[2] / item[1]))
    remaining_s = engines.count
    best = achieved = 0.0
    for request, engine_s, value in offered:
        used_s = min(engine_s, remaining_s)
        remaining_s -= used_s
        best += value * used_s / engine_s
        if request.result is Result.IN_TIME:
            achieved += value
        elif request.result is Result.LATE:
            achieved += value * LATE_WORTH_SHARE
    total_s = sum(engine_s for _, engine_s, _ in offered)
    return Split(second, service, total_s, engines.count, best, achieved)
