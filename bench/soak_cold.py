"""Check of the soak test: cold back ends get no more requests than the deployment's bound."""

import asyncio
import bisect
import dataclasses
import math

from stand_ins import fleet_worker

COLD_PER_S, OVERAGE, SLACK = 4.0, 1.5, 5.0
BOUND = COLD_PER_S * OVERAGE + SLACK
WINDOW_S = 1.0
# A back end that becomes cold under load is bounded once entries can know: a heartbeat of 0.3 s,
# and the longest poll of a control VM (`fleet_watcher.PROPAGATION_MAX_S`).
KNOWN_S = 5.0
# Arrivals are measured in this process. Requests that arrive while it is stalled are recorded after
# the stall, so a window that begins with a stall is shortened by it.
STALL_S = 0.02
STALL_INTERVAL_S = 0.005
# How long after a stall its requests may be recorded.
CATCH_UP_S = 0.02
# Windows that are shortened by more are skipped.
STALL_MAX_S = 0.5


@dataclasses.dataclass(slots=True)
class Episode:
    """A period in which a worker is cold, and from when the bound holds, in loop time."""

    worker: fleet_worker.Worker
    bound_from: float
    until: float = math.inf


class ColdChecker:
    """Records cold workers and finds windows of a second with too many requests."""

    def __init__(self) -> None:
        self.episodes: list[Episode] = []
        self.cold_until: dict[fleet_worker.Worker, float] = {}
        # The begin and end of each stall of this process.
        self.stalls: list[tuple[float, float]] = []
        self.counted_windows = 0
        self.skipped_windows = 0
        self.largest = 0

    async def watch_stalls(self) -> None:
        """Record the stalls of this process until cancelled."""
        now = asyncio.get_running_loop().time
        while True:
            began_at = now()
            await asyncio.sleep(STALL_INTERVAL_S)
            if now() - began_at > STALL_S:
                self.stalls.append((began_at, now()))

    def begin(self, worker: fleet_worker.Worker, now: float, duration_s: float) -> Episode:
        """Let a worker be cold for `duration_s`, or longer if it already is.

        A report of an earlier end would lift the bound while an earlier episode is still checked.
        """
        until = max(now + duration_s, self.cold_until.get(worker, -math.inf))
        self.cold_until[worker] = until
        self.update(worker, now)
        episode = Episode(worker, now + KNOWN_S, until)
        self.episodes.append(episode)
        return episode

    def remaining_ms(self, worker: fleet_worker.Worker, now: float) -> int:
        """Return how long a worker will still be cold."""
        return round(1000 * max(0.0, self.cold_until.get(worker, now) - now))

    def update(self, worker: fleet_worker.Worker, now: float) -> None:
        """Let a worker's responses and reports say how long it will still be cold."""
        value = b"%d" % self.remaining_ms(worker, now)
        header = [(b"X-Merlinthread-Cold-Ms", value)]
        worker.behaviour.extra_headers = worker.behaviour.report_headers = header

    def violations(self) -> list[str]:
        """Return a description of the fullest window of each episode that exceeds the bound."""
        found = []
        for episode in self.episodes:
            largest, at = self.fullest_window(episode)
            self.largest = max(self.largest, largest)
            if largest > BOUND:
                found.append(
                    f"{episode.worker.instance} was cold and got {largest} requests in"
                    f" {WINDOW_S} s, {at - episode.bound_from:.2f} s after the bound applied,"
                    f" for {BOUND:g}"
                )
        return found

    def fullest_window(self, episode: Episode) -> tuple[int, float]:
        """Return the most requests in a window of an episode, and the begin of that window."""
        worker = episode.worker
        runs = [run.at for run in worker.runs if run.instance == worker.instance]
        times = sorted(runs + [refusal.at for refusal in worker.refusals])
        fullest, fullest_at = 0, 0.0
        for first in times:
            if not episode.bound_from <= first <= episode.until - WINDOW_S:
                continue
            lag_s = self.lag_s(first)
            if lag_s > STALL_MAX_S:
                self.skipped_windows += 1
                continue
            self.counted_windows += 1
            begin = bisect.bisect_left(times, first)
            count = bisect.bisect_left(times, first + WINDOW_S - lag_s) - begin
            if count > fullest:
                fullest, fullest_at = count, first
        return fullest, fullest_at

    def lag_s(self, at: float) -> float:
        """Return how much earlier than `at` a request recorded then may have arrived."""
        lags = (at - begin for begin, end in self.stalls if begin <= at <= end + CATCH_UP_S)
        return max(lags, default=0.0)
