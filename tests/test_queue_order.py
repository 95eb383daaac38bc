"""The order of requests that wait at an entry and of those that arrive meanwhile.

Guards against new requests that take the capacity for which others have waited longer, or which are
more urgent.
"""

import asyncio
from typing import Self

import pytest

from merlinthread.coordination import admission, expected_wait, load_tracker, wait_queue
from tests import fleet_nodes, single_entry_fleet

SLOTS = 4
# Long, so that a request is not refused if the machine is busy while it is queued.
OBJECTIVE_S = 2.0
# So much is unread that a request is queued, but not refused at once.
UNREAD_TOKENS = 100_000 * (0.775 * OBJECTIVE_S - expected_wait.BASE_LATENCY_S)


class OneEngine(single_entry_fleet.SingleEntryFleet):
    """An entry with one engine, whose agent replies with a load set by the test."""

    def __init__(self) -> None:
        super().__init__("model", 1)
        self.queue = self.entry.node.pool.queue("model")

    async def start(self) -> Self:
        """Start the entry and the engine."""
        await super().start()
        self.agents = single_entry_fleet.FakeAgents(self.entry, UNREAD_TOKENS)
        return self

    def announce(self, workers) -> None:
        """Announce the engine, with routes /model/ of priority 1 and /model/second/ of 2."""
        body = fleet_nodes.configuration(1, [], "model")
        body["routes"][0]["target_latency_ms"] = 1000 * OBJECTIVE_S
        second = {"name": "r-second", "path_prefix": "/model/second/", "priority": 2}
        body["routes"].append(body["routes"][0] | second)
        self.entry.apply_update(body, dict.fromkeys(workers, "model"))

    def send(self, path: str, account: int) -> asyncio.Task:
        """Begin to send a request of an account."""
        headers = single_entry_fleet.STREAM | {"Api_Key": f"key-{account}"}
        return asyncio.create_task(self.entry.request(path, f"id-{account}", **headers))


@pytest.mark.parametrize("path", ["/model/", "/model/second/"], ids=["same class", "less urgent"])
async def test_new_request_does_not_overtake_a_queued_one(path, monkeypatch):
    # Once the first request has found no place, a less urgent one is refused at random.
    monkeypatch.setattr(admission.AdmissionLevel, "must_yield", lambda *_: False)
    engine = await OneEngine().start()
    first = engine.send("/model/", 1)
    await fleet_nodes.until(lambda: any(waiter.woken for waiter in engine.queue.waiters))
    # All slots are in use and nothing is unread: the next request would be in time.
    engine.agents.others = load_tracker.Outstanding(SLOTS, 0, 0.0)
    second = engine.send(path, 2)
    assert [(await task).status for task in (first, second)] == [200, 200]
    assert not engine.queue.waiters
    assert [notice.account for notice in engine.agents.sent()] == ["account-1", "account-2"]


# Guards against requests that wait for one that can't be served, or beside an engine with slots for
# all of them.
@pytest.mark.parametrize(
    ("used_slots", "sent_at_wakes"),
    [(SLOTS, [0, 1]), (SLOTS - 2, [1])],
    ids=["for a moment", "not with slots for all"],
)
async def test_new_request_gives_way_to_one_that_stays_queued(used_slots, sent_at_wakes):
    engine = await OneEngine().start()
    engine.agents.others = load_tracker.Outstanding(used_slots, 0, 0.0)
    waiting = asyncio.create_task(engine.queue.wait(engine.queue.make_waiter(0, 0.0), 5.0))
    await fleet_nodes.until(lambda: engine.queue.waiters)
    found = []
    engine.queue.wake = lambda *_: found.append(len(engine.agents.sent()))
    assert (await engine.send("/model/", 1)).status == 200
    waiting.cancel()
    assert found == sent_at_wakes


async def test_queue_counts_those_ahead_by_urgency_and_then_by_arrival():
    queue = wait_queue.WaitQueue()
    queued = [queue.make_waiter(urgency, arrived) for urgency, arrived in ((1, 1.0), (0, 3.0))]
    waits = [asyncio.create_task(queue.wait(waiter, 5.0)) for waiter in queued]
    await asyncio.sleep(0)
    counts = [
        queue.count_ahead(queue.make_waiter(*place))
        for place in ((0, 2.0), (0, 4.0), (1, 0.5), (1, 2.0), (2, 0.0))
    ]
    assert counts == [0, 1, 1, 2, 2]
    queue.wake()
    await asyncio.sleep(0)
    assert [wait.done() for wait in waits] == [False, True]
    # A request that was woken keeps its place until it is removed.
    assert queue.count_ahead(queue.make_waiter(1, 2.0)) == 2
    queue.remove(queued[1])
    assert queue.count_ahead(queue.make_waiter(1, 2.0)) == 1
    waits[0].cancel()
