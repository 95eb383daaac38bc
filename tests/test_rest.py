"""Tests for back ends that refuse requests and ask for a rest.

Guards against sending requests to a resting back end, which looks idle because it refuses all.
"""

import asyncio
import dataclasses

import pytest

from merlinthread import logs
from merlinthread.coordination import dispatch, instances
from merlinthread.transport import http_messages
from stand_ins import fleet_worker
from tests import fleet_nodes, single_entry_fleet

REST_S = 0.6
# The platform allows two requests between half a second after a refusal and the end of the rest.
ALLOWED = 2
MANY = 12


class Fleet(single_entry_fleet.SingleEntryFleet):
    """A fleet whose workers can refuse requests."""

    def __init__(self, service: str, count: int) -> None:
        super().__init__(service, count, work_s=0.05)

    def let_rest(self, workers: list[fleet_worker.Worker], rest: str = f"{REST_S}") -> None:
        for worker in workers:
            worker.behaviour.is_full = True
            worker.behaviour.retry_after = rest

    async def until_refused(self, workers: list[fleet_worker.Worker]) -> float:
        """Send requests until each worker has refused one; return the time of the first refusal.

        Requests are sent in parallel, so that all workers refuse within the same rest.
        """
        first = 0.0
        async with asyncio.timeout(5.0):
            while not all(worker.rejection_count for worker in workers):
                await asyncio.gather(*[self.request() for _ in self.workers])
                if not first and any(worker.rejection_count for worker in workers):
                    first = self.now()
        return first


def refused(workers) -> int:
    return sum(worker.rejection_count for worker in workers)


def test_back_ends_that_ask_for_a_rest_get_nothing_until_it_is_over():
    async def scenario(service):
        fleet = await Fleet(service, 6).start()
        resting = fleet.workers[:2]
        fleet.let_rest(resting)
        first = await fleet.until_refused(resting)
        so_far = refused(resting)
        tasks = []
        while fleet.now() < first + 0.8 * REST_S:
            tasks.append(asyncio.create_task(fleet.request()))
            await asyncio.sleep(0.01)
        # The other workers have capacity and serve all requests during the rest.
        answers = await asyncio.gather(*tasks)
        assert {answer.status for answer in answers} == {200}, service
        assert refused(resting) - so_far <= ALLOWED, service

    for service in ("safe", "unsafe", "model"):
        asyncio.run(scenario(service))


# Requests must be sent within one rest, so a stalled process would fail this test.
@pytest.mark.timed
def test_a_back_end_is_used_again_once_its_rest_is_over_and_left_alone_again_if_it_asks():
    async def scenario():
        fleet = await Fleet("safe", 1).start()
        (worker,) = fleet.workers
        fleet.let_rest([worker])
        availability = fleet.entry.node.pool.signals.availability_of(worker.instance)
        for _ in range(2):
            before = worker.rejection_count
            async with asyncio.timeout(5.0):
                while worker.rejection_count == before:
                    await fleet.request()
            assert availability.is_resting(fleet.now())
            for _ in range(MANY):
                assert (await fleet.request()).status == 503
            assert worker.rejection_count == before + 1
            await fleet_nodes.until(lambda: not availability.is_resting(fleet.now()))
        worker.behaviour.is_full = False
        answers = await asyncio.gather(*[fleet.request() for _ in range(MANY)])
        assert {answer.status for answer in answers} == {200}

    asyncio.run(scenario())


# Measures refusals within 40 ms, so other tests must not delay the process.
@pytest.mark.timed
def test_when_all_are_at_rest_clients_are_refused_at_once_and_told_when_the_first_is_not():
    async def scenario():
        fleet = await Fleet("model", 3).start()
        rest_s = 2.0
        fleet.let_rest(fleet.workers, str(rest_s))
        first = await fleet.until_refused(fleet.workers)
        before = refused(fleet.workers)
        for _ in range(MANY):
            asked_at = fleet.now()
            answer = await fleet.request()
            assert answer.status == 503
            # A request that queued would wait up to 0.05 s for capacity.
            assert fleet.now() - asked_at < 0.04
            told_s = float(http_messages.get_header(answer.headers, b"retry-after"))
            back_at = fleet.now() + told_s
            assert first + rest_s - 0.1 <= back_at <= first + rest_s + 1.0
        assert refused(fleet.workers) == before

    asyncio.run(scenario())


def test_what_can_not_be_meant_keeps_no_back_end_from_work():
    async def scenario(value):
        fleet = await Fleet("safe", 1).start()
        (worker,) = fleet.workers
        fleet.let_rest([worker], value)
        await fleet.until_refused([worker])
        worker.behaviour.is_full = False
        await asyncio.sleep(dispatch.FULL_BACKOFF_S)
        assert (await fleet.request()).status == 200, value

    for value in ("nan", "-5", "1e400", "", "3, 4", "123456789012345678901", "x", "0"):
        asyncio.run(scenario(value))


def test_a_rest_outlives_the_record_of_a_back_end_but_not_its_life():
    async def scenario():
        fleet = await Fleet("safe", 1).start()
        (worker,) = fleet.workers
        fleet.let_rest([worker], "60")
        await fleet.until_refused([worker])
        before = worker.rejection_count
        watcher = fleet.entry.node.watcher
        known = watcher.instances.pop(worker.instance)
        watcher.on_update()
        assert (await fleet.request()).status == 503
        fleet.announce(fleet.workers)
        assert (await fleet.request()).status == 503
        assert worker.rejection_count == before
        later = dataclasses.replace(known, instance=f"{worker.instance}@1767000000001")
        watcher.apply_instance(instances.Instance(later), watcher.clock())
        watcher.on_update()
        worker.behaviour.is_full = False
        assert (await fleet.request()).status == 200

    asyncio.run(scenario())


def test_what_a_request_was_refused_for_stands_in_the_log(monkeypatch):
    lines = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: lines.append((name, fields)))

    async def scenario():
        fleet = await Fleet("safe", 1).start()
        fleet.let_rest(fleet.workers, "30")
        await fleet.until_refused(fleet.workers)
        await fleet.request()

    asyncio.run(scenario())
    rests = [fields for name, fields in lines if name == "backend_rests"]
    assert [(line["instance"], line["rest_s"]) for line in rests] == [("i-0", 30.0)]
    told = [fields for name, fields in lines if name == "request"]
    assert any("asks for 30 s of rest" in text for text in told[0]["attempts"])
    assert told[0]["request"] == rests[0]["request"]
    assert any("at rest for" in text for text in told[-1]["attempts"])
