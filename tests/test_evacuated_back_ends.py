"""Entries and evacuated zones.

Guards against requests to back ends of an evacuated zone, against requests that fail or wait
because of an evacuation, and against a change that an older reply undoes.
"""

import asyncio
import statistics
import time
from typing import Self

import pytest

from merlinthread.coordination import backend_record, dispatch, load_feed
from merlinthread.protocol import node_messages
from stand_ins import fleet_worker
from tests import fleet_nodes, single_entry_fleet

REQUESTS = 12
SERVICES = ("safe", "unsafe", "model")


class EvacuatedFleet(single_entry_fleet.SingleEntryFleet):
    """A fleet whose first worker is in zone-b and the others in zone-a."""

    revision = 0

    async def start(self) -> Self:
        """Start the entry and the workers."""
        await super().start()
        self.entry.node.pool.backends["i-0"].zone = "zone-b"
        return self

    def evacuate(self, *zones: str) -> None:
        """Tell the entry which zones are evacuated."""
        self.revision += 1
        self.entry.node.watcher.apply(evacuations_reply(self.revision, *zones))

    async def count_arrivals(self, worker: fleet_worker.Worker) -> int:
        """Return how many of REQUESTS more requests reach a worker; all must be served."""
        before = len(worker.runs)
        for _ in range(REQUESTS):
            assert (await self.request()).status == 200
        return len(worker.runs) - before


def evacuations_reply(revision: int, *zones: str) -> node_messages.WatchReply:
    evacuations = node_messages.Evacuations(revision, list(zones))
    return node_messages.WatchReply(
        "feed", revision, False, [], [], [], 0, b"", [], 0.0, evacuations=evacuations
    )


def make_backend(name: str, is_evacuated: bool = False) -> backend_record.Backend:
    backend = backend_record.Backend(name, "s", "1.2.3.4:80", "zone-a", 0, 4)
    backend.is_evacuated = is_evacuated
    return backend


def test_back_end_in_evacuated_zone_is_not_eligible():
    requirements = dispatch.Requirements("s")
    assert dispatch.can_serve_with_permit(make_backend("a"), requirements, None, 1.0)
    assert not dispatch.can_serve_with_permit(make_backend("a", True), requirements, None, 1.0)
    assert dispatch.available_at([make_backend("a", True)], 1.0) == float("inf")
    assert dispatch.available_at([make_backend("a", True), make_backend("b")], 1.0) is None


# Guards against an entry that knows the load of unusable engines only.
def test_load_reports_of_evacuated_engines_are_subscribed_last():
    evacuated = [make_backend(f"e-{number}", True) for number in range(5)]
    others = [make_backend(f"o-{number}") for number in range(2)]
    for other in others:
        other.distance = 2
    found = load_feed.engines_to_subscribe("entry", [*evacuated, *others], 3)
    assert {backend.instance for backend in found[:2]} == {"o-0", "o-1"}
    assert found[2].is_evacuated


def test_older_reply_does_not_undo_an_evacuation_or_its_withdrawal():
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
    watcher.apply(evacuations_reply(2, "zone-a"), "ahead:1")
    watcher.apply(evacuations_reply(1), "behind:1")
    assert watcher.is_evacuated("zone-a")
    watcher.apply(evacuations_reply(3), "ahead:1")
    watcher.apply(evacuations_reply(2, "zone-a"), "behind:1")
    assert not watcher.is_evacuated("zone-a")
    # A control VM of an older build omits the field.
    watcher.apply(node_messages.WatchReply("f", 1, True, [], [], [], 0, b"", [], 0.0), "old:1")
    assert watcher.evacuations.revision == 3


@pytest.mark.parametrize("service", SERVICES)
async def test_evacuated_back_end_gets_no_requests_until_the_withdrawal(service):
    fleet = await EvacuatedFleet(service).start()
    fleet.evacuate("zone-b")
    assert await fleet.count_arrivals(fleet.workers[0]) == 0
    # Heartbeats still say that it is ready.
    fleet.announce(fleet.workers)
    assert await fleet.count_arrivals(fleet.workers[0]) == 0
    fleet.evacuate()
    fleet.workers[1].behaviour.is_full = True
    assert await fleet.count_arrivals(fleet.workers[0]) == REQUESTS


@pytest.mark.parametrize("service", SERVICES)
async def test_requests_are_refused_at_once_if_all_back_ends_are_evacuated(service):
    fleet = await EvacuatedFleet(service).start()
    fleet.evacuate("zone-a", "zone-b")
    delays_s = []
    for _ in range(REQUESTS):
        started = time.monotonic()
        response = await fleet.request()
        delays_s.append(time.monotonic() - started)
        assert response.status == 503
        assert b"retry-after" in {name.lower() for name, _ in response.headers}
    # An eighth of the objective of 400 ms.
    assert statistics.median(delays_s) < 0.05
    assert not any(worker.runs for worker in fleet.workers)


async def test_queued_request_is_refused_once_all_back_ends_are_evacuated():
    fleet = await EvacuatedFleet(count=1).start()
    backend = fleet.entry.node.pool.backends["i-0"]
    backend.full_until = float("inf")
    pending = asyncio.create_task(fleet.request())
    await fleet_nodes.until(lambda: len(fleet.entry.node.pool.queue("safe")))
    fleet.evacuate("zone-b")
    assert (await pending).status == 503
    assert not fleet.workers[0].runs


async def test_running_stream_of_evacuated_back_end_continues():
    fleet = await EvacuatedFleet("model", count=1).start()
    worker = fleet.workers[0]
    worker.behaviour.gap_s = 0.05
    pending = asyncio.create_task(fleet.request())
    await fleet_nodes.until(lambda: worker.events_sent)
    fleet.evacuate("zone-b")
    response = await pending
    assert response.status == 200
    assert worker.events_sent == worker.behaviour.events
    assert (await fleet.request()).status == 503


# Guards against a request that is sent although the evacuation arrived while the connection to the
# chosen back end was being opened.
@pytest.mark.parametrize("service", SERVICES)
async def test_evacuation_during_connecting_moves_the_request(service):
    fleet = await EvacuatedFleet(service).start()
    connections = fleet.entry.node.pool.connections
    connect = connections.connect

    async def connect_during_evacuation(backend, *arguments):
        connection = await connect(backend, *arguments)
        if not fleet.revision:
            fleet.evacuate(backend.zone)
        return connection

    connections.connect = connect_during_evacuation
    assert (await fleet.request()).status == 200
    evacuated = fleet.entry.node.watcher.evacuations.zones
    first, second = fleet.workers
    assert len(first.runs if "zone-b" in evacuated else second.runs) == 0
    assert len(first.runs) + len(second.runs) == 1
