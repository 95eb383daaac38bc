"""Test fleet of one entry and the workers of one service, on loopback and without control VMs."""

import dataclasses
from typing import Self

from merlinthread.coordination import load_tracker
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


class FakeAgents:
    """Replies to an entry's load queries in place of the agents; records queries and notices."""

    def __init__(self, entry: fleet_nodes.Entry, unread_tokens: float = 0.0) -> None:
        self.others = load_tracker.Outstanding(4, 1, unread_tokens)
        self.over_share: set[str] = set()
        self.queries: list[tuple] = []
        self.notices: list = []
        pool = entry.node.pool
        entry.node.settings.agent_port = 1
        pool.agent_of = lambda backend: backend.instance
        pool.prober.query, pool.prober.send = self.query, self.send

    async def query(self, agents, wait_s, account, asked_tokens, urgency) -> dict:
        """Return the load of each agent's engine."""
        self.queries.append((agents, account, asked_tokens))
        return {
            agent: load_tracker.EngineLoad(
                dataclasses.replace(self.others), is_over_share=agent in self.over_share
            )
            for agent in agents
        }

    def send(self, agent, message) -> None:
        """Record a notice to an agent."""
        self.notices.append(message)

    def sent(self) -> list:
        """Return the notices of requests that were sent."""
        return [notice for notice in self.notices if notice.stage == "sent"]
