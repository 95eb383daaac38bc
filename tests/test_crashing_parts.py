"""Parts of prompts that crash every worker that begins to write an answer on them.

Guards against requests that share such a part, but are not alike, crashing one worker after
another, and against holds on sound requests that share their account or their other parts.
"""

import asyncio

import pytest

from merlinthread.coordination import crash_tracker
from merlinthread.nodes import request_context
from merlinthread.transport import http_messages
from stand_ins import fleet_worker
from tests import crashing_fleet, fleet_nodes, part_load

LATE_REQUESTS_MAX = 3
SERVED_SHARE_MIN = 0.95
LOAD_S = 9.0
ROUTES = pytest.mark.parametrize(("service", "model"), [("safe", ""), ("model", "m")])


def run(tmp_path, scenario, service="safe", model="", entries=2, workers=8, **behaviour):
    async def run_scenario():
        fleet = crashing_fleet.CrashingFleet(tmp_path, service, model)
        behaviour.setdefault("crash_parts", frozenset({part_load.CRASH_PART}))
        try:
            await fleet.start(entries, workers, **behaviour)
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(run_scenario())


def run_load(tmp_path, service, model, crash_parts=(part_load.CRASH_PART,), **load):
    results = []

    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour = fleet_worker.Behaviour(work_s=0.05, gap_s=0.01)
        results.append(await part_load.PartLoad(fleet, **load).run(LOAD_S))

    run(
        tmp_path,
        scenario,
        service,
        model,
        crash_parts=frozenset(crash_parts),
        crash_after_s=0.12,
        downtime_s=1.5,
    )
    print(results[0])
    return results[0]


# Guards against requests with a crashing part that crash workers without end (BUDGET).
@pytest.mark.timed
@ROUTES
def test_part_that_crashes_workers_is_held_at_all_entries(tmp_path, service, model):
    result = run_load(tmp_path, service, model)
    assert result.late <= LATE_REQUESTS_MAX, result
    assert result.served_share() >= SERVED_SHARE_MIN, result


# Guards against holds on sound requests because requests of their account with a crashing part are
# repeated by clients (LOST).
@pytest.mark.timed
@ROUTES
def test_sound_requests_are_served_beside_repeated_crashing_ones(tmp_path, service, model):
    result = run_load(tmp_path, service, model, tries=3)
    assert result.served_share() >= SERVED_SHARE_MIN, result
    assert result.late <= LATE_REQUESTS_MAX, result


# Guards against one crashing part that hides another.
@pytest.mark.timed
def test_two_parts_that_crash_workers_are_both_held(tmp_path):
    first, second = "dead", "dead2"
    prompts = tuple((part_load.FIRST_PART, part) for part in (first, second))
    result = run_load(tmp_path, "model", "m", (first, second), crashing_prompts=prompts)
    # Each of the parts may crash five workers.
    assert result.crashes <= 2 * part_load.CRASHES_MAX, result
    assert result.served_share() >= SERVED_SHARE_MIN, result


async def request_until_part_held(fleet):
    async with asyncio.timeout(10.0):
        number = 0
        while not any(node.member.state.held for node in fleet.controls.nodes.values()):
            number += 1
            await fleet.request_or_none(0, b"%d" % number, part_load.CRASHING_PROMPT)


# Guards against holds on a part that are not obeyed, or that hold requests without it.
@ROUTES
def test_requests_with_held_part_get_503_and_others_are_served(tmp_path, service, model):
    async def scenario(fleet):
        for prompt in part_load.SOUND_PROMPTS:
            assert (await fleet.request(0, b"before", parts=prompt)).status == 200
        await request_until_part_held(fleet)
        crash_count = len(fleet.crash_times())
        for entry in range(2):
            await fleet_nodes.until(fleet.entries[entry].node.crashes.tracker.held)
            response = await fleet.request(entry, b"a", parts=part_load.CRASHING_PROMPT)
            assert response.status == 503
            assert float(http_messages.get_header(response.headers, b"retry-after")) >= 60
        assert len(fleet.crash_times()) == crash_count
        await fleet.until_known()
        for prompt in ((), *part_load.SOUND_PROMPTS, (part_load.CRASH_PART + "0",)):
            # The last part of a prompt is the request's own.
            assert (await fleet.request(0, b"b", parts=prompt)).status == 200

    run(tmp_path, scenario, service, model)


# Guards against a request that is sent although its part is held while it waits for a back end.
def test_request_whose_part_is_held_while_it_is_queued_is_not_sent(tmp_path):
    async def scenario(fleet):
        entry = fleet.entries[0].node
        part = request_context.make_part("", part_load.CRASH_PART)
        backends = list(entry.pool.backends.values())
        reservations = [entry.pool.reserve(backend, 0) for backend in backends for _ in range(16)]
        loop = asyncio.get_running_loop()
        task = loop.create_task(fleet.request(0, b"a", parts=part_load.CRASHING_PROMPT))
        queue = entry.pool.queue(fleet.service)
        await fleet_nodes.until(lambda: queue.waiters)
        hold = crash_tracker.Hold(1, crash_tracker.HoldState.HELD)
        entry.crashes.tracker.set_hold(part.fingerprint, part.label, hold, entry.clock())
        for reservation in reservations:
            entry.pool.release(reservation)
        assert (await task).status == 503
        assert not fleet.crash_times()

    run(tmp_path, scenario, entries=1, workers=1)


# Guards against a part that crashes more workers after each loss of power.
def test_hold_on_part_survives_power_loss_of_all_vms(tmp_path):
    async def scenario(fleet):
        await request_until_part_held(fleet)
        crash_count = len(fleet.crash_times())
        await fleet.simulate_power_loss()
        for number in range(4):
            body = b"after %d" % number
            response = await fleet.request(0, body, parts=part_load.CRASHING_PROMPT)
            assert response.status == 503
        assert len(fleet.crash_times()) == crash_count

    run(tmp_path, scenario)


# Guards against a killed entry or restarted control VMs that forget which part crashed workers.
def test_crash_records_of_parts_survive_restarts_of_entries_and_control_vms(tmp_path):
    async def scenario(fleet):
        await fleet.request(0, b"first", parts=part_load.CRASHING_PROMPT)
        assert len(fleet.crash_times()) == 2
        for ip in fleet.controls.ips:
            fleet.controls.kill(ip)
            await fleet.controls.start(ip)
        nodes = fleet.controls.nodes.values()
        await fleet_nodes.until(lambda: any(node.crashes.tracker.records for node in nodes))
        tracker = fleet.entries[1].node.crashes.tracker
        await fleet_nodes.until(lambda: tracker.records)
        crashing_fleet.kill_entry(fleet.entries.pop(0))
        await fleet.request(0, b"second", parts=part_load.CRASHING_PROMPT)
        assert len(fleet.crash_times()) == 3

    run(tmp_path, scenario)
