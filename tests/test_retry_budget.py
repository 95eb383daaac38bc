"""The limit on retries, as back ends count what arrives.

Guards against more attempts beyond the first of their request than the deployment allows.
"""

import asyncio
import random

import pytest

from merlinthread.coordination import retry_budget
from merlinthread.nodes import entry_node, node_settings
from merlinthread.platform import dialect
from stand_ins import fleet_worker
from tests import fleet_nodes

RATIO = 0.2
WINDOW_S = 1.0
# This entry's part of what the deployment allows beside the ratio.
SLACK = 6.0
OPEN_REQUESTS = 120
OUTAGE_S = 1.8
REQUEST_INTERVAL_S = 0.01


class Client:
    """Sends requests to an entry; `sent` holds when each of them was sent, in event loop time."""

    def __init__(self, entry: fleet_nodes.Entry) -> None:
        self.entry = entry
        self.sent: list[float] = []
        self.statuses: list[int] = []
        self.tasks: list[asyncio.Task] = []

    def send(self) -> None:
        """Send a request and wait for its response in a task."""
        loop = asyncio.get_running_loop()
        self.sent.append(loop.time())
        self.tasks.append(loop.create_task(self.request(f"id-{len(self.sent)}")))

    async def request(self, request_id: str) -> None:
        """Send one request; all differ, so that none is held back because of others."""
        deadline = {"X_Merlinthread_Deadline_Ms": "3000"}
        response = await self.entry.request("/safe/", request_id, request_id.encode(), **deadline)
        self.statuses.append(response.status)


def count(times: list[float], start: float) -> int:
    """Return how many of `times` are within a window from `start` on."""
    return sum(start <= time <= start + WINDOW_S for time in times)


def excess_of_retries(arrivals: list[tuple[str, float]], sent: list[float]) -> float:
    """Return by how much the arrivals beyond the first exceed what is allowed in a window.

    `arrivals` holds the id and time of each. The requests are those of the window, of the one
    before or of the one half a window earlier, whichever are most.
    """
    seen: set[str] = set()
    repeats = []
    for request_id, at in sorted(arrivals, key=lambda arrival: arrival[1]):
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    excesses = [0.0]
    for start in repeats:
        requests = max(count(sent, start - shift * WINDOW_S) for shift in (0.0, 0.5, 1.0))
        excesses.append(count(repeats, start) - RATIO * requests - SLACK)
    return max(excesses)


# Guards against retries that are counted one by one, wait for a back end, and arrive all at once.
@pytest.mark.timed
def test_retries_that_waited_for_a_back_end_arrive_within_the_limit():
    async def scenario():
        bounds = node_settings.Bounds(retry_ratio=RATIO, retry_window_s=WINDOW_S)
        entry = fleet_nodes.Entry(fleet_nodes.make_settings("entry", bounds=bounds))
        worker = fleet_worker.Worker("i-1")
        worker.behaviour.never_responds = True
        await entry.start()
        await worker.start()
        port = int(worker.address.rpartition(":")[2])
        entry.apply_update(fleet_nodes.configuration(1, ["safe"]), {worker: "safe"})
        client = Client(entry)
        for _ in range(OPEN_REQUESTS):
            client.send()
        await fleet_nodes.until(lambda: len(worker.runs) == OPEN_REQUESTS)
        # The worker stops listening and loses its connections one after the other.
        worker.server.listener.close()
        loop = asyncio.get_running_loop()
        open_connections = list(worker.server.connections)
        begun_at = loop.time()
        while loop.time() < begun_at + OUTAGE_S:
            share = (loop.time() - begun_at) / OUTAGE_S
            while len(open_connections) > OPEN_REQUESTS * (1.0 - share):
                open_connections.pop().abort()
            client.send()
            await asyncio.sleep(REQUEST_INTERVAL_S)
        worker.behaviour.never_responds = False
        await worker.server.listen("127.0.0.1", port)
        await asyncio.gather(*client.tasks)
        worker.stop()
        arrivals = [(run.request_id, run.at) for run in worker.runs]
        assert len(arrivals) > len({request_id for request_id, _ in arrivals})
        assert excess_of_retries(arrivals, client.sent) <= 0.0

    asyncio.run(scenario())


def test_cancelled_retry_returns_to_the_budget():
    budget = retry_budget.RetryBudget(0.0, WINDOW_S, 2)
    assert budget.reserve(0.0)
    assert budget.reserve(0.0)
    assert not budget.reserve(0.1)
    budget.cancel()
    assert budget.reserve(0.1)
    assert budget.use(0.2)
    # One is reserved still, the other one was sent within the window.
    assert not budget.reserve(0.2 + WINDOW_S)
    assert budget.reserve(0.3 + WINDOW_S)


@pytest.mark.parametrize("seed", range(20))
def test_retries_of_all_entries_arrive_within_the_limit_whatever_their_delays(seed):
    rng = random.Random(seed)
    entries = [retry_budget.RetryBudget(0.75 * RATIO, WINDOW_S, 3) for _ in range(6)]
    sent: list[float] = []
    arrivals: list[tuple[str, float]] = []
    waiting: list[tuple[float, str, retry_budget.RetryBudget]] = []
    for step in range(4000):
        now = step * 0.002
        budget = rng.choice(entries)
        budget.record_first_attempt(now)
        request_id = str(step)
        sent.append(now)
        arrivals.append((request_id, now))
        # Retries wait for the end of an outage of several windows, or are sent soon.
        if budget.reserve(now):
            outage_ends_at = 3.0 * WINDOW_S * (1 + now // (3.0 * WINDOW_S))
            waits = rng.random() < 0.8
            waiting.append((outage_ends_at if waits else now + 0.05, request_id, budget))
        for retry in [retry for retry in waiting if retry[0] <= now]:
            waiting.remove(retry)
            if rng.random() < 0.1:
                retry[2].cancel()
                continue
            if retry[2].use(now):
                arrivals.append((retry[1], now))
            else:
                retry[2].cancel()
    assert excess_of_retries(arrivals, sent) <= 0.0


# Guards against restarted entries that get their free retries again within a window.
def test_free_retries_are_not_multiplied_by_restarts():
    # The figures of a deployment with 38 entries.
    entry_count, lives, requests_per_life, slack = 38, 4, 2, 226
    bounds = node_settings.Bounds(retry_ratio=RATIO, retry_window_s=WINDOW_S)
    now, retry_count = 0.0, 0
    for _ in range(lives):
        now += 0.25 * WINDOW_S
        for _ in range(entry_count):
            node = entry_node.EntryNode(
                fleet_nodes.make_settings("entry", bounds=bounds),
                dialect.PlatformDialect(),
                fleet_nodes.make_codec(),
                lambda: now,  # noqa: B023
                random.Random(1),
            )
            budget = node.pool.budget("safe")
            for _ in range(requests_per_life):
                budget.record_first_attempt(now)
            while budget.reserve(now):
                retry_count += budget.use(now)
    assert retry_count <= RATIO * entry_count * lives * requests_per_life + slack


def test_entry_has_free_retries_again_a_window_after_its_start():
    budget = retry_budget.RetryBudget(0.0, WINDOW_S, 3, 5.0)
    assert not budget.reserve(4.9)
    assert budget.reserve(5.0)
