"""Back ends that refuse requests and ask for a rest.

Guards against sending requests to a resting back end, which looks idle because it refuses all.
"""

import asyncio
import dataclasses
import itertools

import pytest

from merlinthread import logs
from merlinthread.coordination import backend_health, instances
from merlinthread.transport import http_messages
from stand_ins import fleet_worker
from tests import fleet_nodes, single_entry_fleet

REST_S = 0.6
# The platform allows two requests between half a second after a refusal and the end of the rest.
REQUESTS_IN_REST_MAX = 2
REQUESTS = 12


class RestingFleet(single_entry_fleet.SingleEntryFleet):
    """A fleet whose workers can refuse requests."""

    def __init__(self, service: str, count: int) -> None:
        super().__init__(service, count, work_s=0.05)

    def refuse_requests(
        self, workers: list[fleet_worker.Worker], retry_after: str = f"{REST_S}"
    ) -> None:
        for worker in workers:
            worker.behaviour.is_full = True
            worker.behaviour.retry_after = retry_after

    async def request_until_refused(self, workers: list[fleet_worker.Worker]) -> float:
        """Send requests until each worker has refused one; return when the first was refused.

        Requests are sent in parallel, so that all workers refuse one within the same rest.
        """
        first = 0.0
        async with asyncio.timeout(5.0):
            while not all(worker.refusal_count for worker in workers):
                await asyncio.gather(*[self.request() for _ in self.workers])
                if not first and any(worker.refusal_count for worker in workers):
                    first = self.now()
        return first

    async def wait_until_rested(self, workers: list[fleet_worker.Worker]) -> None:
        """Wait until no worker rests or is skipped because it was full."""
        pool = self.entry.node.pool
        backends = [pool.backends[worker.instance] for worker in workers]
        await fleet_nodes.until(
            lambda: all(
                max(backend.availability.rest_until, backend.full_until) <= self.now()
                for backend in backends
            )
        )


def count_refusals(workers) -> int:
    return sum(worker.refusal_count for worker in workers)


def test_resting_back_ends_get_no_requests():
    async def scenario(service):
        fleet = await RestingFleet(service, 6).start()
        resting = fleet.workers[:2]
        fleet.refuse_requests(resting)
        first = await fleet.request_until_refused(resting)
        refused_before = count_refusals(resting)
        tasks = []
        while fleet.now() < first + 0.8 * REST_S:
            tasks.append(asyncio.create_task(fleet.request()))
            await asyncio.sleep(0.01)
        # The other workers have capacity and serve all requests during the rest.
        responses = await asyncio.gather(*tasks)
        assert {response.status for response in responses} == {200}, service
        assert count_refusals(resting) - refused_before <= REQUESTS_IN_REST_MAX, service

    for service in ("safe", "unsafe", "model"):
        asyncio.run(scenario(service))


# Guards against a request that uses up its attempts at back ends whose rests have just ended.
@pytest.mark.parametrize("service", ["safe", "unsafe", "model"])
def test_request_refused_after_a_rest_is_served_by_an_accepting_back_end(service):
    async def scenario():
        fleet = await RestingFleet(service, 3).start()
        resting = fleet.workers[:2]
        fleet.refuse_requests(resting, "0.1")
        await fleet.request_until_refused(resting)
        for _ in range(6):
            await fleet.wait_until_rested(resting)
            before = count_refusals(resting)
            # Enough requests per rest that the retry budget covers the refused ones.
            statuses = [(await fleet.request()).status for _ in range(16)]
            assert statuses == [200] * 16
            assert count_refusals(resting) > before

    asyncio.run(scenario())


# Guards against many requests that reach a back end before its first refusal after a rest.
@pytest.mark.parametrize("service", ["safe", "unsafe", "model"])
def test_one_request_at_a_time_is_sent_after_a_rest_while_others_accept(service):
    async def scenario():
        fleet = await RestingFleet(service, 6).start()
        resting = fleet.workers[:2]
        fleet.refuse_requests(resting, "0.3")
        await fleet.request_until_refused(resting)
        await fleet.wait_until_rested(resting)
        known = [worker.refusal_count for worker in resting]
        responses = await asyncio.gather(*[fleet.request() for _ in range(8)])
        assert {response.status for response in responses} == {200}
        for worker, count in zip(resting, known, strict=True):
            times = [refusal.at for refusal in worker.refusals[count:]]
            gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
            assert all(gap >= 0.3 for gap in gaps), gaps

    asyncio.run(scenario())


# Requests must be sent within one rest, so a stalled process would fail this test.
@pytest.mark.timed
def test_back_end_is_used_after_its_rest_and_can_rest_again():
    async def scenario():
        fleet = await RestingFleet("safe", 1).start()
        (worker,) = fleet.workers
        fleet.refuse_requests([worker])
        availability = fleet.entry.node.pool.signals.availability_of(worker.instance)
        for _ in range(2):
            before = worker.refusal_count
            async with asyncio.timeout(5.0):
                while worker.refusal_count == before:
                    await fleet.request()
            assert availability.is_resting(fleet.now())
            for _ in range(REQUESTS):
                assert (await fleet.request()).status == 503
            assert worker.refusal_count == before + 1
            await fleet_nodes.until(lambda: not availability.is_resting(fleet.now()))
        worker.behaviour.is_full = False
        responses = await asyncio.gather(*[fleet.request() for _ in range(REQUESTS)])
        assert {response.status for response in responses} == {200}

    asyncio.run(scenario())


# Measures refusals within 40 ms, so other tests must not delay the process.
@pytest.mark.timed
def test_requests_are_refused_at_once_while_all_back_ends_rest():
    async def scenario():
        fleet = await RestingFleet("model", 3).start()
        rest_s = 2.0
        fleet.refuse_requests(fleet.workers, str(rest_s))
        first = await fleet.request_until_refused(fleet.workers)
        before = count_refusals(fleet.workers)
        for _ in range(REQUESTS):
            sent_at = fleet.now()
            response = await fleet.request()
            assert response.status == 503
            # A request that queued would wait up to 0.05 s for capacity.
            assert fleet.now() - sent_at < 0.04
            retry_after_s = float(http_messages.get_header(response.headers, b"retry-after"))
            back_at = fleet.now() + retry_after_s
            assert first + rest_s - 0.1 <= back_at <= first + rest_s + 1.0
        assert count_refusals(fleet.workers) == before

    asyncio.run(scenario())


def test_invalid_retry_after_causes_no_rest():
    async def scenario(value):
        fleet = await RestingFleet("safe", 1).start()
        (worker,) = fleet.workers
        fleet.refuse_requests([worker], value)
        await fleet.request_until_refused([worker])
        worker.behaviour.is_full = False
        await asyncio.sleep(backend_health.FULL_BACKOFF_S)
        assert (await fleet.request()).status == 200, value

    for value in ("nan", "-5", "1e400", "", "3, 4", "123456789012345678901", "x", "0"):
        asyncio.run(scenario(value))


def test_rest_survives_loss_of_record_but_not_restart():
    async def scenario():
        fleet = await RestingFleet("safe", 1).start()
        (worker,) = fleet.workers
        fleet.refuse_requests([worker], "60")
        await fleet.request_until_refused([worker])
        before = worker.refusal_count
        watcher = fleet.entry.node.watcher
        known = watcher.instance_table.instances.pop(worker.instance)
        watcher.on_update()
        assert (await fleet.request()).status == 503
        fleet.announce(fleet.workers)
        assert (await fleet.request()).status == 503
        assert worker.refusal_count == before
        next_incarnation = dataclasses.replace(known, instance=f"{worker.instance}@1767000000001")
        watcher.instance_table.apply_instance(instances.Instance(next_incarnation), watcher.clock())
        watcher.on_update()
        worker.behaviour.is_full = False
        assert (await fleet.request()).status == 200

    asyncio.run(scenario())


def test_rest_is_logged_with_request(monkeypatch):
    lines = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: lines.append((name, fields)))

    async def scenario():
        fleet = await RestingFleet("safe", 1).start()
        fleet.refuse_requests(fleet.workers, "30")
        await fleet.request_until_refused(fleet.workers)
        await fleet.request()

    asyncio.run(scenario())
    rests = [fields for name, fields in lines if name == "backend_rests"]
    assert [(line["instance"], line["rest_s"]) for line in rests] == [("i-0", 30.0)]
    request_events = [fields for name, fields in lines if name == "request"]
    assert any("asks for 30 s of rest" in text for text in request_events[0]["attempts"])
    assert request_events[0]["request"] == rests[0]["request"]
    assert any("at rest for" in text for text in request_events[-1]["attempts"])
