"""Control VMs, entries and workers that name limits, with an open load before them, for tests."""

import asyncio
import dataclasses
import random

from merlinthread.transport import http_messages
from tests import crashing_fleet

ENTRIES = 4


@dataclasses.dataclass
class Asked:
    """One client's request: when it was sent, how long its answer took, what it was."""

    at: float
    took_s: float
    answer: http_messages.Response | None
    key: str = ""

    def is_served(self) -> bool:
        """Return whether it was answered with success."""
        return self.answer is not None and self.answer.status == 200

    def back_after_s(self) -> float:
        """Return what a refused client is told of when to come back."""
        assert self.answer is not None
        value = http_messages.get_header(self.answer.headers, b"retry-after")
        assert value is not None, self.answer.status
        return float(value)


class LimitedFleet(crashing_fleet.CrashingFleet):
    """Workers that name limits while a load presses; `rng` draws the entry of each request."""

    def __init__(self, folder, service: str = "safe") -> None:
        super().__init__(folder, service, "m" if service == "model" else "")
        self.rng = random.Random(7)
        self.pending: set[asyncio.Task] = set()
        self.asked_for: list[Asked] = []

    def now(self) -> float:
        """Return the time of the event loop, on which the workers note what they run."""
        return asyncio.get_running_loop().time()

    async def ask_one(self, entry: int, key: str = "key-1") -> None:
        """Send a request to one entry and note what came of it."""
        began = self.now()
        self.asked += 1
        headers = {"X_Merlinthread_Model": self.model} if self.model else {}
        headers["Api_Key"] = key
        try:
            target = self.entries[entry]
            answer = await target.ask(f"/{self.service}/x", f"id-{self.asked}", b"", **headers)
        except Exception:
            answer = None
        self.asked_for.append(Asked(began, self.now() - began, answer, key))

    async def press(
        self, per_s: float, seconds: float, entries: list[int] | None = None, key: str = "key-1"
    ) -> float:
        """Send `per_s` requests a second, spread over entries by lot; return when it began."""
        chosen = entries if entries is not None else list(range(len(self.entries)))
        began = self.now()
        for number in range(round(per_s * seconds)):
            await asyncio.sleep(began + number / per_s - self.now())
            task = asyncio.create_task(self.ask_one(self.rng.choice(chosen), key))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        return began

    async def settle(self) -> None:
        """Wait until all requests have their answers."""
        while self.pending:
            await asyncio.wait(list(self.pending))

    def most_in(self, worker, seconds: float, since: float, until: float) -> int:
        """Return the most requests that a worker began in any `seconds` between two times."""
        times = sorted(run.at for run in worker.runs if since <= run.at <= until)
        return max((sum(at <= t < at + seconds for t in times) for at in times), default=0)

    def begun(self, worker, since: float, until: float) -> int:
        """Return how many requests a worker began between two times."""
        return sum(since <= run.at < until for run in worker.runs)

    def asked_between(self, since: float, until: float) -> list[Asked]:
        """Return the requests that clients sent between two times."""
        return [asked for asked in self.asked_for if since <= asked.at < until]
