"""Requests to a back end that has just started.

Guards against an initial service time estimate so high that the back end is never chosen.
"""

import asyncio
import random

import pytest

from merlinthread.coordination import backend_health, backend_record, dispatch
from stand_ins import fleet_worker
from tests import single_entry_fleet

WORK_S = 0.03
RATE_PER_S = 100
MIN_SHARE_OF_MEAN = 0.25


async def send_requests(fleet: single_entry_fleet.SingleEntryFleet, seconds: float) -> None:
    tasks = []
    started_at = fleet.now()
    for number in range(round(RATE_PER_S * seconds)):
        await asyncio.sleep(started_at + number / RATE_PER_S - fleet.now())
        tasks.append(asyncio.create_task(fleet.request()))
    assert {response.status for response in await asyncio.gather(*tasks)} == {200}


def test_new_back_end_gets_its_share_of_requests():
    async def scenario():
        fleet = await single_entry_fleet.SingleEntryFleet("safe", 8, WORK_S).start()
        await send_requests(fleet, 2.0)
        added = fleet_worker.Worker("i-new")
        added.behaviour.work_s = WORK_S
        await added.start()
        before = [len(worker.runs) for worker in fleet.workers]
        fleet.workers.append(added)
        fleet.announce(fleet.workers)
        await send_requests(fleet, 2.0)
        request_counts = [
            len(worker.runs) - count for worker, count in zip(fleet.workers, before, strict=False)
        ]
        mean = sum(request_counts) / len(request_counts)
        assert len(added.runs) >= MIN_SHARE_OF_MEAN * mean, (len(added.runs), request_counts)

    asyncio.run(scenario())


def test_one_slow_response_does_not_exclude_new_back_end():
    service_response_time = backend_record.ResponseTime()
    for _ in range(50):
        service_response_time.record(WORK_S)
    backend = backend_record.Backend(
        "i", "safe", "a:1", "zone", 0, 8, service_response_time=service_response_time
    )
    assert backend.expected_response_s() == pytest.approx(WORK_S)
    backend_health.record_success(backend, 10 * WORK_S)
    assert backend.expected_response_s() < 4 * WORK_S
    for _ in range(30):
        backend_health.record_success(backend, 2 * WORK_S)
    assert backend.expected_response_s() == pytest.approx(2 * WORK_S, rel=0.2)


def test_initial_estimate_follows_responses_of_the_service():
    service_response_time = backend_record.ResponseTime()
    backends = [
        backend_record.Backend(
            f"i-{number}", "safe", "a:1", "zone", 0, 8, service_response_time=service_response_time
        )
        for number in range(2)
    ]
    backend_health.record_success(backends[0], WORK_S)
    assert backends[1].expected_response_s() == pytest.approx(WORK_S)


def test_back_ends_with_similar_response_times_share_requests():
    rng = random.Random(5)
    quicker = backend_record.Backend("quicker", "safe", "a:1", "zone", 0, 8)
    slower = backend_record.Backend("slower", "safe", "a:2", "zone", 0, 8)
    for backend, work_s in ((quicker, 0.0213), (slower, 0.0214)):
        backend.response_time = backend_record.ResponseTime(work_s, responses=1000)
    chosen = [
        dispatch.choose([quicker, slower], dispatch.Requirements("safe"), None, 0.0, rng).backend
        for _ in range(100)
    ]
    assert 30 <= chosen.count(slower) <= 70
