"""The order of requests that wait at an entry and of those that arrive meanwhile.

Guards against new requests that take the capacity for which others have waited longer, or which are
more urgent.
"""

import asyncio
import dataclasses

import pytest

from merlinthread.coordination import expected_wait, load_tracker, wait_queue
from stand_ins import fleet_worker
from tests import fleet_nodes

SLOTS = 4
# Long, so that a request is not refused if the machine is busy while it is queued.
OBJECTIVE_S = 2.0
# So much is unread that a request is queued, but not refused at once.
UNREAD_TOKENS = 100_000 * (0.775 * OBJECTIVE_S - expected_wait.BASE_LATENCY_S)
STREAM = {"X_Merlinthread_Model": "m", "X_Merlinthread_Token_Usage": "100,20"}


class OneEngine:
    """An entry with one engine, whose agent replies with a load set by the test."""

    def __init__(self) -> None:
        self.entry = fleet_nodes.Entry()
        self.load = load_tracker.Outstanding(SLOTS, 1, UNREAD_TOKENS)
        # The accounts whose requests were sent, in their order.
        self.sent: list[str] = []

    async def start(self, second_priority: int) -> None:
        """Start the entry, with routes /model/ of priority 1 and /model/second/ of another."""
        await self.entry.start()
        worker = fleet_worker.Worker("i-0", "m")
        await worker.start()
        body = fleet_nodes.configuration(1, [], "model")
        body["routes"][0]["target_latency_ms"] = 1000 * OBJECTIVE_S
        second = {"name": "r-second", "path_prefix": "/model/second/", "priority": second_priority}
        body["routes"].append(body["routes"][0] | second)
        self.entry.apply_update(body, {worker: "model"})
        self.entry.node.settings.agent_port = 1
        prober = self.entry.node.pool.prober
        prober.query, prober.send = self.query, self.send

    async def query(self, agents, *_):
        return {agent: load_tracker.EngineLoad(dataclasses.replace(self.load)) for agent in agents}

    def send(self, agent, message):
        if message.stage == "sent":
            self.sent.append(message.account)

    def request(self, path: str, account: int) -> asyncio.Task:
        headers = STREAM | {"Api_Key": f"key-{account}"}
        return asyncio.create_task(self.entry.request(path, f"id-{account}", **headers))


async def send_in_turn(second_path: str) -> list[str]:
    """Send a request that is queued and, once the engine could take it, another one."""
    engine = OneEngine()
    await engine.start(second_priority=2)
    first = engine.request("/model/", 1)
    queue = engine.entry.node.pool.queue("model")
    await fleet_nodes.until(lambda: any(waiter.woken for waiter in queue.waiters))
    # All slots are in use and nothing is unread: the next request would be in time.
    engine.load = load_tracker.Outstanding(SLOTS, 0, 0.0)
    second = engine.request(second_path, 2)
    assert [(await task).status for task in (first, second)] == [200, 200]
    assert not queue.waiters
    return engine.sent


@pytest.mark.parametrize("path", ["/model/", "/model/second/"], ids=["same class", "less urgent"])
def test_new_request_does_not_overtake_a_queued_one(path):
    assert asyncio.run(send_in_turn(path)) == ["account-1", "account-2"]


async def count_sent_at_wakes(load: load_tracker.Outstanding) -> list[int]:
    """Send a request beside one that stays queued; return how many were sent at each wake."""
    engine = OneEngine()
    await engine.start(second_priority=2)
    engine.load = load
    queue = engine.entry.node.pool.queue("model")
    waiting = asyncio.create_task(queue.wait(queue.make_waiter(0, 0.0), 5.0))
    await fleet_nodes.until(lambda: queue.waiters)
    found = []
    queue.wake = lambda *_: found.append(len(engine.sent))
    assert (await engine.request("/model/", 1)).status == 200
    waiting.cancel()
    return found


# Guards against requests that wait for one that can't be served.
def test_new_request_gives_way_only_for_a_moment():
    assert asyncio.run(count_sent_at_wakes(load_tracker.Outstanding(SLOTS, 0, 0.0))) == [0, 1]


# Guards against requests that wait beside an engine with slots for all of them.
def test_request_does_not_give_way_where_there_are_slots_for_all():
    assert asyncio.run(count_sent_at_wakes(load_tracker.Outstanding(SLOTS - 2, 0, 0.0))) == [1]


def test_queue_counts_those_ahead_by_urgency_and_then_by_arrival():
    async def scenario():
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

    asyncio.run(scenario())
