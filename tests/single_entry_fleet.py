"""Test fleet of one entry and the workers of one service, on loopback and without control VMs."""

from typing import Self

from merlinthread.transport import http_messages
from stand_ins import fleet_worker
from tests import fleet_nodes

STREAM = {"X_Merlinthread_Model": "m", "X_Merlinthread_Token_Usage": "100,20"}


class SingleEntryFleet:
    """An entry and its workers; the service "model" streams its responses, others do not."""

    def __init__(self, service: str = "safe", count: int = 2, work_s: float = 0.0) -> None:
        self.service = service
        self.model = "m" if service == "model" else ""
        self.entry = fleet_nodes.Entry()
        self.workers = [fleet_worker.Worker(f"i-{number}", self.model) for number in range(count)]
        self.set_behaviour(work_s=work_s)
        self.request_count = 0

    async def start(self) -> Self:
        """Start the entry and the workers, and announce all workers to the entry."""
        await self.entry.start()
        for worker in self.workers:
            await worker.start()
        self.announce(self.workers)
        return self

    async def __aenter__(self) -> Self:
        """Start the entry and the workers."""
        return await self.start()

    async def __aexit__(self, *_) -> None:
        """Stop the workers."""
        for worker in self.workers:
            worker.stop()

    def set_behaviour(self, **fields) -> None:
        """Set fields of the behaviour of all workers."""
        for worker in self.workers:
            for name, value in fields.items():
                setattr(worker.behaviour, name, value)

    def announce(self, workers: list[fleet_worker.Worker]) -> None:
        """Announce to the entry that some workers are ready."""
        services = [] if self.model else [self.service]
        body = fleet_nodes.configuration(1, services, self.service if self.model else "")
        self.entry.apply_update(body, {worker: self.service for worker in workers})

    async def request(self, body: bytes = b"", **headers) -> http_messages.Response:
        """Send a client request; return its response."""
        self.request_count += 1
        if self.model:
            headers = STREAM | headers
        name = f"id-{self.request_count}"
        return await self.entry.request(f"/{self.service}/x", name, body, **headers)

    def now(self) -> float:
        """Return the time on the entry's clock."""
        return self.entry.node.clock()
