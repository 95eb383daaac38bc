"""Check of the soak test: entries keep to the rate limits that workers advertise."""

import dataclasses
import math
from collections.abc import Callable

from bench import soak_signals
from stand_ins import fleet_worker

# The platform's rule bounds the requests of entries that know a limit in any window of WINDOW_S:
# LIMIT_FACTOR times the limit, plus EXTRA_REQUESTS. It applies from CONTACT_S after the limit was
# first advertised, and to an entry from ENTRY_DELAY_S after a response with the limit.
CONTACT_S = 3.0
WINDOW_S = 4.0
ENTRY_DELAY_S = 0.5
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5


@dataclasses.dataclass(slots=True)
class Episode:
    """A period in which a worker advertises one limit, in monotonic time."""

    worker: fleet_worker.Worker
    per_s: float
    since: float
    until: float = math.inf

    def runs(self) -> list[fleet_worker.Run]:
        """Return the requests that this worker ran; its replacement shares the list."""
        return [run for run in self.worker.runs if run.instance == self.worker.instance]


class LimitChecker:
    """Records the limits of a run and finds violations of them.

    `supports_limits` returns whether an entry supported limits at a time; earlier builds do not.
    """

    def __init__(
        self,
        signal_checker: soak_signals.SignalChecker,
        supports_limits: Callable[[str, float], bool] = lambda entry_ip, at: True,
    ) -> None:
        self.signal_checker = signal_checker
        self.supports_limits = supports_limits
        self.episodes: list[Episode] = []

    def begin(self, worker: fleet_worker.Worker, per_s: float, now: float) -> Episode:
        """Let a worker advertise a limit; return the episode, to be passed to `end`."""
        worker.behaviour.limit = f"{per_s:g}"
        episode = Episode(worker, per_s, now)
        self.episodes.append(episode)
        return episode

    def end(self, episode: Episode, now: float) -> None:
        """Let the worker of an episode advertise no limit any more."""
        episode.worker.behaviour.limit = None
        episode.until = now

    def violations(self) -> list[str]:
        """Return a description of each episode in which the rule was violated."""
        return [text for episode in self.episodes for text in self.find_violation(episode)]

    def find_violation(self, episode: Episode) -> list[str]:
        """Return a description of the first window of an episode with too many requests."""
        limit_known_times = self.limit_known_times(episode)
        begin = episode.since + CONTACT_S
        times = []
        for run in episode.runs():
            entry_ip = self.signal_checker.sent[run.request_id].entry_ip
            known_at = limit_known_times.get(entry_ip, math.inf) + ENTRY_DELAY_S
            is_bound = max(begin, known_at) <= run.at < episode.until
            is_undisturbed = self.signal_checker.is_undisturbed(entry_ip, run.at - WINDOW_S, run.at)
            if is_bound and is_undisturbed and self.supports_limits(entry_ip, run.at):
                times.append(run.at)
        allowed = LIMIT_FACTOR * episode.per_s * WINDOW_S + EXTRA_REQUESTS
        for first in times:
            count = sum(first <= at < first + WINDOW_S for at in times)
            if count > allowed:
                name = episode.worker.instance
                return [f"{name} limited {episode.per_s:g} per s and got {count} in {WINDOW_S} s"]
        return []

    def limit_known_times(self, episode: Episode) -> dict[str, float]:
        """Return when each entry first got a response with the limit, by the entry's IP."""
        times_by_entry: dict[str, float] = {}
        for run in episode.runs():
            if episode.since <= run.at < episode.until:
                times_by_entry.setdefault(self.signal_checker.sent[run.request_id].entry_ip, run.at)
        return times_by_entry
