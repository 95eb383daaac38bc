"""Load queries and attempt notices from an entry to agents.

Both are single datagrams, which may be lost. If an agent does not reply in time, its last load
report is used. An agent expires attempts whose end it was not notified of.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from typing import Any

from merlinthread.coordination import load_tracker
from merlinthread.protocol import node_messages

Send = Callable[[str, Any], None]


class LoadProber:
    """Queries agents on behalf of the entry at `address`."""

    def __init__(self, address: str, send: Send) -> None:
        self.address = address
        self.send = send
        self.query_numbers = itertools.count(1)
        self.pending_queries: dict[int, asyncio.Future[load_tracker.EngineLoad]] = {}

    async def query(
        self, agents: Sequence[str], wait_s: float
    ) -> dict[str, load_tracker.EngineLoad | None]:
        """Return the loads of the agents' engines; None for those without a reply in `wait_s`."""
        loop = asyncio.get_running_loop()
        numbers = {agent: next(self.query_numbers) for agent in agents}
        futures = {agent: loop.create_future() for agent in agents}
        for agent, number in numbers.items():
            self.pending_queries[number] = futures[agent]
            self.send(agent, node_messages.LoadQuery(self.address, number))
        if futures:
            await asyncio.wait(futures.values(), timeout=wait_s)
        for number in numbers.values():
            self.pending_queries.pop(number, None)
        return {
            agent: future.result() if future.done() else None for agent, future in futures.items()
        }

    def receive(self, reply: node_messages.LoadReply) -> None:
        """Accept an agent's reply, or drop it if the query has timed out."""
        future = self.pending_queries.pop(reply.number, None)
        if future is not None and not future.done():
            others = load_tracker.Outstanding(reply.attempts, reply.unread, reply.tokens)
            load = load_tracker.EngineLoad(others, reply.is_busy, reply.pace, reply.cold_s)
            future.set_result(load)

    def send_notice(
        self, agent: str, number: int, stage: node_messages.AttemptStage, tokens: float
    ) -> None:
        """Notify an agent of the stage that an attempt has reached."""
        self.send(agent, node_messages.AttemptNotice(self.address, number, stage, tokens))
