"""Test fleet whose workers advertise rate limits, with an open-loop load generator."""

import asyncio
import dataclasses
import random

from merlinthread.transport import http_messages
from tests import crashing_fleet

ENTRIES = 4


@dataclasses.dataclass
class SentRequest:
    """A client request that was sent at `at`; `response` is None if the connection broke."""

    at: float
    duration_s: float
    response: http_messages.Response | None
    key: str = ""

    def is_served(self) -> bool:
        """Return whether the response was a success."""
        return self.response is not None and self.response.status == 200

    def retry_after_s(self) -> float:
        """Return the retry delay in a refusal, in seconds."""
        assert self.response is not None
        value = http_messages.get_header(self.response.headers, b"retry-after")
        assert value is not None, self.response.status
        return float(value)


class LimitedFleet(crashing_fleet.CrashingFleet):
    """Workers that advertise limits; `rng` chooses the entry of each request."""

    def __init__(self, folder, service: str = "safe") -> None:
        super().__init__(folder, service, "m" if service == "model" else "")
        self.rng = random.Random(7)
        self.pending: set[asyncio.Task] = set()
        self.requests: list[SentRequest] = []

    def now(self) -> float:
        """Return the time of the event loop, which the workers use in their records, too."""
        return asyncio.get_running_loop().time()

    async def send_one(self, entry: int, key: str = "key-1") -> None:
        """Send a request to one entry and record the result."""
        started_at = self.now()
        self.request_count += 1
        headers = {"X_Merlinthread_Model": self.model} if self.model else {}
        headers["Api_Key"] = key
        try:
            target = self.entries[entry]
            response = await target.request(
                f"/{self.service}/x", f"id-{self.request_count}", b"", **headers
            )
        except Exception:
            response = None
        self.requests.append(SentRequest(started_at, self.now() - started_at, response, key))

    async def send_at_rate(
        self, per_s: float, seconds: float, entries: list[int] | None = None, key: str = "key-1"
    ) -> float:
        """Send `per_s` requests per second to random entries; return the start time."""
        chosen = entries if entries is not None else list(range(len(self.entries)))
        started_at = self.now()
        for number in range(round(per_s * seconds)):
            await asyncio.sleep(started_at + number / per_s - self.now())
            task = asyncio.create_task(self.send_one(self.rng.choice(chosen), key))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        return started_at

    async def wait_for_responses(self) -> None:
        """Wait for the responses to all requests."""
        while self.pending:
            await asyncio.wait(list(self.pending))

    def max_started_in(self, worker, seconds: float, since: float, until: float) -> int:
        """Return the most requests that a worker started in any `seconds` between two times."""
        times = sorted(run.at for run in worker.runs if since <= run.at <= until)
        return max((sum(at <= t < at + seconds for t in times) for at in times), default=0)

    def count_started(self, worker, since: float, until: float) -> int:
        """Return how many requests a worker started between two times."""
        return sum(since <= run.at < until for run in worker.runs)

    def sent_between(self, since: float, until: float) -> list[SentRequest]:
        """Return the requests that clients sent between two times."""
        return [request for request in self.requests if since <= request.at < until]
