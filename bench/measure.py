"""Helpers of the benchmarks: statistics, resource usage of processes, the JSON output."""

import dataclasses
import json
import math
import os
import pathlib
import time

import psutil


@dataclasses.dataclass(slots=True)
class Cost:
    """Resource usage of a process: CPU time so far, and resident memory."""

    cpu_s: float
    rss_bytes: int


def process_cost(pid: int) -> Cost:
    """Return the resource usage of a process."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Cost(times.user + times.system, process.memory_info().rss)


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that at least a share `share` of all values do not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the intercept and slope of the least-squares line through (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        return mean_y, 0.0
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def describe_machine() -> dict:
    """Return a description of the machine and its load."""
    return {"cores": os.cpu_count(), "load_before": os.getloadavg()[0]}


def print_results(name: str, figures: dict, save: str = "") -> int:
    """Print the results as one line of JSON, and write them to file `save` if given; return 0."""
    results = {"bench": name, "at": int(time.time()), **figures}
    if save:
        pathlib.Path(save).write_text(json.dumps(results, indent=1) + "\n")
    print(json.dumps(results))
    return 0
