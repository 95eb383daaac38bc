"""Asks agents for their engines' load at the moment of a decision, and notes attempts at them.

Both go by single datagrams that may be lost: an agent that does not answer in time is judged by its
last report, and its ledger forgets what is never noted as over.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from typing import Any

from merlinthread.coordination import load_tracker
from merlinthread.protocol import node_messages

Send = Callable[[str, Any], None]


class LoadProber:
    """One entry's questions to agents; `address` is the entry's own."""

    def __init__(self, address: str, send: Send) -> None:
        self.address = address
        self.send = send
        self.numbers = itertools.count(1)
        self.waiting: dict[int, asyncio.Future[load_tracker.EngineLoad]] = {}

    async def ask(
        self, agents: Sequence[str], wait_s: float
    ) -> dict[str, load_tracker.EngineLoad | None]:
        """Ask agents for their loads; return what each tells within `wait_s`, or None."""
        loop = asyncio.get_running_loop()
        asked = {agent: next(self.numbers) for agent in agents}
        futures = {agent: loop.create_future() for agent in agents}
        for agent, number in asked.items():
            self.waiting[number] = futures[agent]
            self.send(agent, node_messages.LoadQuery(self.address, number))
        if futures:
            await asyncio.wait(futures.values(), timeout=wait_s)
        for number in asked.values():
            self.waiting.pop(number, None)
        return {
            agent: future.result() if future.done() else None for agent, future in futures.items()
        }

    def take(self, answer: node_messages.LoadReply) -> None:
        """Take an agent's answer; one that comes too late is dropped."""
        future = self.waiting.pop(answer.number, None)
        if future is not None and not future.done():
            others = load_tracker.Outstanding(answer.attempts, answer.unread, answer.tokens)
            future.set_result(load_tracker.EngineLoad(others, answer.is_busy, answer.pace))

    def note(
        self, agent: str, number: int, stage: node_messages.AttemptStage, tokens: float
    ) -> None:
        """Note at an agent how far an attempt is."""
        self.send(agent, node_messages.AttemptNotice(self.address, number, stage, tokens))
