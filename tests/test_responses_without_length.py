"""Responses of back ends with neither a length nor chunks, which end with their connection.

Guards against taking a response that was broken off for a complete one.
"""

import asyncio

import pytest

from merlinthread import errors
from tests import single_entry_fleet

EVENTS = 5


def run(scenario, service: str, count: int = 2) -> None:
    async def run_scenario():
        async with single_entry_fleet.SingleEntryFleet(service, count) as fleet:
            fleet.set_behaviour(events=EVENTS, gap_s=0.02)
            await scenario(fleet)

    asyncio.run(run_scenario())


def stream_body(last: int = EVENTS) -> bytes:
    return b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, last + 1))


def run_counts(fleet: single_entry_fleet.SingleEntryFleet) -> list[int]:
    """Return the numbers of requests that the workers have run, the lowest first."""
    return sorted(len(worker.runs) for worker in fleet.workers)


@pytest.mark.parametrize("service", ["safe", "unsafe", "model"])
def test_response_without_length_is_complete_if_its_connection_is_closed(service):
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour.lacks_length = True
        response = await fleet.request()
        assert response.status == 200
        if service == "model":
            assert response.body == stream_body()
        else:
            assert response.body.startswith(b"answer of i-")
        assert run_counts(fleet) == [0, 1]

    run(scenario, service)


# Guards against a reset that is taken for the end of a response.
def test_response_without_length_is_not_complete_if_its_connection_is_reset():
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour.lacks_length = worker.behaviour.resets_connection = True
        response = await fleet.request()
        assert response.status == 502
        assert run_counts(fleet) == [0, 1]

    run(scenario, "unsafe")


# Guards against the loss of a response that another back end can give.
def test_safe_request_is_repeated_if_its_response_without_length_is_reset():
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour.lacks_length = worker.behaviour.resets_connection = True

        async def heal():
            while not any(worker.runs for worker in fleet.workers):
                await asyncio.sleep(0)
            for worker in fleet.workers:
                if not worker.runs:
                    worker.behaviour.resets_connection = False

        healing = asyncio.ensure_future(heal())
        response = await fleet.request()
        await healing
        assert response.status == 200 and response.body.startswith(b"answer of i-")
        assert run_counts(fleet) == [1, 1]

    run(scenario, "safe")


# Guards against taking a stream that ends inside an event, or is reset, for a complete one.
@pytest.mark.parametrize(
    ("cut_after", "is_reset"),
    [(2, False), (2, True), (None, True)],
    ids=["closed inside an event", "reset inside an event", "reset after the last event"],
)
def test_stream_without_length_that_breaks_off_is_resumed(cut_after, is_reset):
    async def scenario(fleet):
        first, second = fleet.workers
        fleet.entry.node.pool.backends[second.instance].is_draining = True
        first.behaviour.lacks_length = True
        first.behaviour.cut_after_events = cut_after
        first.behaviour.resets_connection = is_reset
        task = asyncio.ensure_future(fleet.request())
        while not first.runs:
            await asyncio.sleep(0)
        fleet.entry.node.pool.backends[second.instance].is_draining = False
        response = await task
        assert response.status == 200
        assert response.body == stream_body()
        assert run_counts(fleet) == [1, 1]
        assert second.runs[0].headers["last-event-id"] == str(cut_after or EVENTS)

    run(scenario, "model")


# Guards against a stream that ends as if complete although no other attempt could finish it.
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_stream_without_length_that_breaks_off_for_good_ends_with_an_error(is_reset):
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour.lacks_length = True
            worker.behaviour.cut_after_events = 1
            worker.behaviour.resets_connection = is_reset
        with pytest.raises((errors.ProtocolError, errors.UnreachableError)):
            await fleet.request()
        assert run_counts(fleet) == [1, 1]

    run(scenario, "model")
