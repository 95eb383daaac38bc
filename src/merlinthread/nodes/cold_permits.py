"""Permits of agents for requests to cold engines, acquired by an entry.

A permit costs one datagram round trip, whose reply is a load probe as well. While an agent does not
decide, since it is lost or of an older build, the entry uses its time slots
(`coordination.permit_slots`).
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from merlinthread import logs, metrics
from merlinthread.coordination import (
    backend_record,
    cold_limits,
    entry_numbers,
    permit_slots,
    rate_limits,
)
from merlinthread.nodes import load_prober, permits
from merlinthread.protocol import node_messages

# Timeout of a query: four round trips between regions, and within the time that a request may wait.
REPLY_TIMEOUT_S = 0.015
# A permit that is denied for less than this is asked for again only after it.
RETRY_MIN_S = 0.005
# An agent that did not reply is asked again after this time; requests use time slots meanwhile.
AGENT_RETRY_S = 0.25
# Number of entries assumed for the time slots. More than any known deployment without a leader's
# count has: the slots of entries that do not exist are lost, but too few slots exceed the bound.
ENTRIES_MIN = 96
AGENTS_MAX = 1024


@dataclasses.dataclass(slots=True)
class AgentState:
    """The time slots to use while an agent does not decide, and whether it does.

    `has_number` is set once the agent has told this entry its number among those that ask; its
    time slots are chosen at random until then.
    """

    slots: permit_slots.PermitSlots
    has_number: bool = False
    decides: bool = True
    query_not_before: float = float("-inf")


class ColdPermitClient:
    """Acquires permits for one entry.

    `on_load` applies the load in an agent's reply, None if there is none. The agents that were
    asked for the first time longest ago are forgotten above AGENTS_MAX.
    """

    def __init__(
        self,
        prober: load_prober.LoadProber,
        clock: Callable[[], float],
        rng: random.Random,
        on_load: load_prober.OnLoad,
    ) -> None:
        self.prober = prober
        self.clock = clock
        self.on_load = on_load
        # The position of the slots used without a number, in [0, 1).
        self.position = rng.random()
        # The most entries that an agent has counted.
        self.entries = ENTRIES_MIN
        self.agents: dict[str, AgentState] = {}

    async def acquire(
        self, backend: backend_record.Backend, agent: str, patience_s: float
    ) -> permits.Permit | permits.Denial:
        """Wait for a permit for a cold back end with an agent, and return it.

        Return a Denial if none is available within `patience_s` seconds. Record in the back end
        when its next permit is available.
        """
        availability = backend.availability
        assert availability.cold_limit is not None
        state = self.state_of(agent)
        limit = rate_limits.AdvertisedLimit(
            backend.instance, slots_per_s(availability.cold_limit, state), 0.0
        )
        request = rate_limits.PermitRequest(backend.service, "", max(0.0, patience_s), [limit])
        decided_at = self.clock()
        decision = await self.query(backend, agent, request)
        by, source = "agent", f"agent {agent}"
        if decision is None:
            by = "agent_turns"
            source = f"slot {state.slots.rank} of {state.slots.entries}"
            decided_at = self.clock()
            decision = self.decide_by_slot(state, request)
        metrics.permits_asked_total.labels("given" if decision.instance else "denied", by).inc()
        now = self.clock()
        if not decision.instance:
            availability.next_cold_permit_at = now + max(RETRY_MIN_S, decision.back_in_s)
            return permits.Denial(decision.back_in_s, source)
        if decision.free_in_s:
            availability.next_cold_permit_at = now + decision.free_in_s[0]
        if decision.start_in_s > 0:
            await asyncio.sleep(decision.start_in_s)
        # From the decision, at the earliest: a busy entry may receive it or wake up late.
        expires_at = decided_at + decision.start_in_s + cold_limits.PERMIT_VALIDITY_S
        return permits.Permit(decision.instance, expires_at, source, by == "agent")

    def state_of(self, agent: str) -> AgentState:
        """Return the state of an agent, creating it if necessary."""
        state = self.agents.get(agent)
        if state is None:
            state = AgentState(permit_slots.PermitSlots(0))
            self.agents[agent] = state
            while len(self.agents) > AGENTS_MAX:
                del self.agents[next(iter(self.agents))]
        return state

    async def query(
        self, backend: backend_record.Backend, agent: str, request: rate_limits.PermitRequest
    ) -> rate_limits.Decision | None:
        """Return the agent's decision, or None if it does not decide."""
        state = self.state_of(agent)
        if self.clock() < state.query_not_before:
            return None
        load, reply = await self.prober.query_permit(agent, request, REPLY_TIMEOUT_S)
        self.on_load(backend, load)
        if reply is None or reply.decision is None:
            self.record_undecided(agent, state, load is not None)
            return None
        if not state.decides:
            logs.event("cold_permits_from_agent", agent=agent, entries=reply.entries)
        state.decides = True
        state.query_not_before = float("-inf")
        self.update_slots(state, reply)
        return reply.decision

    def update_slots(self, state: AgentState, reply: node_messages.PermitReply) -> None:
        """Update the time slots from a reply that tells this entry's number.

        One without it changes nothing: the agent has just started, and a known number still
        differs from those of the other entries that its last run told.
        """
        if reply.entries <= 0:
            return
        state.has_number = True
        self.entries = max(self.entries, reply.entries)
        slots = max(ENTRIES_MIN, reply.entries)
        rank = entry_numbers.slot_of(reply.rank, slots)
        state.slots.update(slots, rank, reply.at - self.clock())

    def record_undecided(self, agent: str, state: AgentState, has_replied: bool) -> None:
        """Record that an agent did not decide on a permit."""
        now = self.clock()
        if not state.has_number:
            state.slots.update(self.entries, int(self.position * self.entries), 0.0)
        if state.decides:
            logs.event(
                "cold_permits_by_turns",
                agent=agent,
                reason="no decision in its reply" if has_replied else "no reply",
                entries=state.slots.entries,
            )
            # The agent may have granted the permit of the current slot in advance.
            state.slots.start(now)
        state.decides = False
        state.query_not_before = now + AGENT_RETRY_S

    def decide_by_slot(
        self, state: AgentState, request: rate_limits.PermitRequest
    ) -> rate_limits.Decision:
        """Decide by this entry's time slots.

        A permit is recorded as unavailable only until the agent is asked again.
        """
        now = self.clock()
        decision = state.slots.decide(request, now)
        retry_in_s = max(0.0, state.query_not_before - now)
        decision.back_in_s = min(decision.back_in_s, retry_in_s)
        decision.free_in_s = [min(free_in_s, retry_in_s) for free_in_s in decision.free_in_s]
        return decision


def slots_per_s(limit: cold_limits.ColdLimit, state: AgentState) -> float:
    """Return the rate of all entries' time slots together, for the limit of an agent's engine."""
    return limit.paced_per_s() if state.has_number else limit.random_slots_per_s()
