"""What the benches share: percentiles, process costs, the closing JSON line."""

import dataclasses
import json
import math
import os
import pathlib
import time

import psutil


@dataclasses.dataclass(slots=True)
class Cost:
    """What a process has used so far: seconds of processor time, resident bytes."""

    cpu_s: float
    rss_bytes: int


def cost_of(pid: int) -> Cost:
    """Return what a process has used so far."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Cost(times.user + times.system, process.memory_info().rss)


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that at least `share` of all values do not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line through (size, figure) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        return mean_y, 0.0
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - rise * mean_x, rise


def machine() -> dict:
    """Return what the figures were measured on."""
    return {"cores": os.cpu_count(), "load_before": os.getloadavg()[0]}


def finish(name: str, figures: dict, save: str = "") -> int:
    """Print the closing line, and save it if asked to; return the exit code."""
    closing = {"bench": name, "at": int(time.time()), **figures}
    if save:
        pathlib.Path(save).write_text(json.dumps(closing, indent=1) + "\n")
    print(json.dumps(closing))
    return 0
