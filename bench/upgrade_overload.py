"""Lasting overload during a rolling upgrade, for `bench upgrade --overload`.

Requests of two urgencies arrive at a constant mean rate, about half above what the workers can
serve. The arrivals depend on the seed only, so runs of equal length have the same load.
"""

import asyncio
import heapq
import itertools
import pathlib
import random
from typing import Any

from bench import soak_placement
from merlinthread.transport import stream_server
from stand_ins import fleet_worker

SLOTS = 2
WORK_S = 0.25
# More are refused; those that wait get their turn long before their deadline.
WAITING_MAX = 6
# Requests to engines have prompts of 100 tokens. An engine reads those of all slots in WORK_S, so
# that entries expect the waits that occur.
READ_PER_S = SLOTS * 100 / WORK_S
# The workers of `soak_placement.PLACES` serve 72 requests per second.
REQUEST_INTERVAL_S = 1 / 108
# A request sent this long after its time shows that the machine is too busy for a fair comparison.
LATE_S = 0.2
# Each service as often as it has workers.
SERVICES = tuple(service for service, _ in soak_placement.PLACES)
URGENT_KEY, LESS_URGENT_KEY = "key-1", "key-3"
KEYS = (URGENT_KEY, LESS_URGENT_KEY)


class SlotWorker(fleet_worker.Worker):
    """A worker that runs SLOTS requests at a time and refuses those that its queue has no room for.

    More urgent ones overtake in the queue.
    """

    def __init__(self, instance: str, model: str, zone: str) -> None:
        super().__init__(instance, model)
        self.zone = zone
        self.behaviour.work_s = WORK_S
        self.free_slots = SLOTS
        self.order = itertools.count()
        self.waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    async def run(self, exchange: stream_server.Exchange) -> None:
        """Run a request, or refuse it if it is for another instance or the queue is full."""
        self.behaviour.is_full = self.running >= SLOTS + WAITING_MAX
        await super().run(exchange)

    async def respond(
        self, exchange: stream_server.Exchange, headers: dict[str, str], request_id: str
    ) -> None:
        """Send the response once a slot is free."""
        if self.free_slots:
            self.free_slots -= 1
        else:
            turn = asyncio.get_running_loop().create_future()
            urgency = int(headers.get("x-merlinthread-request-priority", "0"))
            heapq.heappush(self.waiting, (urgency, next(self.order), turn))
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():
                    self.release_slot()
                raise
        try:
            await super().respond(exchange, headers, request_id)
        finally:
            self.release_slot()

    def release_slot(self) -> None:
        """Pass a slot on to the next waiting request."""
        while self.waiting:
            _, _, turn = heapq.heappop(self.waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self.free_slots += 1


class OverloadedFleet(soak_placement.PlacementFleet):
    """The fleet of the placement soak with workers of few slots."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        workers = {
            worker: SlotWorker(worker.instance, worker.model, worker.zone)
            for worker in self.workers
        }
        self.workers = {workers[worker]: service for worker, service in self.workers.items()}
        self.engine_ips = {workers[worker]: ip for worker, ip in self.engine_ips.items()}


def add_overload_settings(body: dict) -> dict:
    """Return a configuration with the speed of engines and the urgency of accounts added."""
    for service in body["services"]:
        if "engine" in service:
            service["engine"] |= {"slots": SLOTS, "read_per_s": READ_PER_S}
    for tenant in body["tenants"]:
        tenant["priority"] = 1 if LESS_URGENT_KEY in tenant["api_keys"] else 0
    return body


async def send_requests(upgrade: Any) -> None:
    """Send requests at the times that the seed determines, until cancelled."""
    rng = random.Random(upgrade.plan.seed)
    loop = asyncio.get_running_loop()
    at = loop.time()
    while True:
        at += rng.expovariate(1 / REQUEST_INTERVAL_S)
        await asyncio.sleep(at - loop.time())
        upgrade.result.sent_late += loop.time() - at > LATE_S
        asyncio.create_task(upgrade.send_request(rng.choice(SERVICES), rng.choice(KEYS)))
