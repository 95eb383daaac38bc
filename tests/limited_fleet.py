"""A fixture of control VMs, entries and workers with rate limits, under an open-loop load."""

import asyncio
import dataclasses
import random

from merlinthread.transport import http_messages
from tests import crashing_fleet

ENTRIES = 4


@dataclasses.dataclass
class Asked:
    """One client request: send time, response time in seconds, and response."""

    at: float
    took_s: float
    answer: http_messages.Response | None
    key: str = ""

    def is_served(self) -> bool:
        """Return whether the response has status 200."""
        return self.answer is not None and self.answer.status == 200

    def back_after_s(self) -> float:
        """Return the Retry-After value of a rejected request, in seconds."""
        assert self.answer is not None
        value = http_messages.get_header(self.answer.headers, b"retry-after")
        assert value is not None, self.answer.status
        return float(value)


class LimitedFleet(crashing_fleet.CrashingFleet):
    """A fleet with rate-limited workers and a load generator that picks entries with `rng`."""

    def __init__(self, folder, service: str = "safe") -> None:
        super().__init__(folder, service, "m" if service == "model" else "")
        self.rng = random.Random(7)
        self.pending: set[asyncio.Task] = set()
        self.asked_for: list[Asked] = []

    def now(self) -> float:
        """Return the event loop time, the clock of the workers' recorded runs."""
        return asyncio.get_running_loop().time()

    async def ask_one(self, entry: int, key: str = "key-1") -> None:
        """Send a request to one entry and record its outcome."""
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
        """Send `per_s` requests a second to random entries and return the start time."""
        chosen = entries if entries is not None else list(range(len(self.entries)))
        began = self.now()
        for number in range(round(per_s * seconds)):
            await asyncio.sleep(began + number / per_s - self.now())
            task = asyncio.create_task(self.ask_one(self.rng.choice(chosen), key))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        return began

    async def settle(self) -> None:
        """Wait until all pending requests are done."""
        while self.pending:
            await asyncio.wait(list(self.pending))

    def most_in(self, worker, seconds: float, since: float, until: float) -> int:
        """Return the most requests started by a worker in any `seconds` between two times."""
        times = sorted(run.at for run in worker.runs if since <= run.at <= until)
        return max((sum(at <= t < at + seconds for t in times) for at in times), default=0)

    def begun(self, worker, since: float, until: float) -> int:
        """Return the number of requests that a worker started between two times."""
        return sum(since <= run.at < until for run in worker.runs)

    def asked_between(self, since: float, until: float) -> list[Asked]:
        """Return the requests that clients sent between two times."""
        return [asked for asked in self.asked_for if since <= asked.at < until]
