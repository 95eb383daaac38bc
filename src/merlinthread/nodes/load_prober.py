"""Load queries and attempt notices from an entry to agents.

Both are single datagrams, which may be lost. If an agent does not reply in time, its last load
report is used. An agent expires attempts whose end it was not notified of.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Sequence
from typing import Any

from merlinthread.coordination import backend_record, load_tracker, rate_limits
from merlinthread.protocol import node_messages
from merlinthread.transport import timeouts

Send = Callable[[str, Any], None]
# Applies the load that an agent replied to its back end, None if it did not reply.
OnLoad = Callable[[backend_record.Backend, load_tracker.EngineLoad | None], None]
# The numbers of queries to control VMs are below this (`permits.FIRST_QUERY_NUMBER_MAX`); their
# replies have the same type.
FIRST_QUERY_NUMBER = 2**40


class LoadProber:
    """Queries agents on behalf of the entry at `address`."""

    def __init__(self, address: str, send: Send) -> None:
        self.address = address
        self.send = send
        self.query_numbers = itertools.count(FIRST_QUERY_NUMBER)
        self.pending_queries: dict[int, asyncio.Future[node_messages.LoadReply]] = {}

    async def query(
        self,
        agents: Sequence[str],
        wait_s: float,
        account: str = "",
        asked_tokens: float = 0.0,
        urgency: int | None = None,
    ) -> dict[str, load_tracker.EngineLoad | None]:
        """Return the loads of the agents' engines; None for those without a reply in `wait_s`.

        `account` is the one whose request of `urgency` asks for `asked_tokens` of the engines
        together.
        """
        part_tokens = asked_tokens / max(1, len(agents))

        def make_query(number: int) -> node_messages.LoadQuery:
            return node_messages.LoadQuery(
                self.address,
                number,
                account=account,
                asked_tokens=part_tokens,
                urgency=urgency,
            )

        replies = await self.request_replies(agents, make_query, wait_s)
        return {agent: load_of(reply) for agent, reply in replies.items()}

    async def query_permit(
        self, agent: str, permit: rate_limits.PermitRequest, wait_s: float
    ) -> tuple[load_tracker.EngineLoad | None, node_messages.PermitReply | None]:
        """Return the load of an agent's engine and its decision on a permit, None if missing."""

        def make_query(number: int) -> node_messages.LoadQuery:
            return node_messages.LoadQuery(self.address, number, permit)

        reply = (await self.request_replies([agent], make_query, wait_s))[agent]
        return load_of(reply), reply.permit if reply is not None else None

    async def request_replies(
        self,
        agents: Sequence[str],
        make_query: Callable[[int], node_messages.LoadQuery],
        wait_s: float,
    ) -> dict[str, node_messages.LoadReply | None]:
        """Query agents; return their replies, None for those that do not reply in `wait_s`.

        `make_query` returns the query with a given number. Replies that arrive while this process
        is paused are not read in time, so the wait is extended after a pause.
        """
        loop = asyncio.get_running_loop()
        numbers = {agent: next(self.query_numbers) for agent in agents}
        futures = {agent: loop.create_future() for agent in agents}
        for agent, number in numbers.items():
            self.pending_queries[number] = futures[agent]
            self.send(agent, make_query(number))
        if futures:
            with contextlib.suppress(TimeoutError):
                await timeouts.wait_for(lambda: asyncio.wait(futures.values()), wait_s)
        for number in numbers.values():
            self.pending_queries.pop(number, None)
        return {
            agent: future.result() if future.done() else None for agent, future in futures.items()
        }

    def receive(self, reply: node_messages.LoadReply) -> None:
        """Accept an agent's reply, or drop it if the query has timed out."""
        future = self.pending_queries.pop(reply.number, None)
        if future is not None and not future.done():
            future.set_result(reply)

    def send_notice(
        self,
        agent: str,
        number: int,
        stage: node_messages.AttemptStage,
        tokens: float,
        urgency: int | None = None,
        account: str = "",
        cost_tokens: float = 0.0,
        has_permit: bool = False,
    ) -> None:
        """Notify an agent of the stage that an attempt has reached."""
        notice = node_messages.AttemptNotice(
            self.address, number, stage, tokens, urgency, account, cost_tokens, has_permit
        )
        self.send(agent, notice)


def load_of(reply: node_messages.LoadReply | None) -> load_tracker.EngineLoad | None:
    """Return the load in an agent's reply, or None if there is no reply."""
    if reply is None:
        return None
    others = load_tracker.Outstanding(reply.attempts, reply.unread, reply.tokens)
    return load_tracker.EngineLoad(
        others,
        reply.is_busy,
        reply.pace,
        reply.unread_by_urgency,
        reply.is_over_share,
        reply.cold_s,
    )
