"""Permits for requests to back ends with a rate limit that all VMs share.

The leader of the control VMs grants them. While it does not reply, entries use time slots instead
(`coordination.permit_slots`).
"""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any

from merlinthread import logs, metrics
from merlinthread.coordination import backend_record, permit_slots, rate_limits
from merlinthread.nodes import fleet_watcher
from merlinthread.protocol import node_messages

# Timeout of a query, ten network round trips between regions; it is sent again after a third of
# this, in case it was lost.
REPLY_TIMEOUT_S = 0.06
RETRANSMIT_AFTER_S = 0.02
# Time between searches for the leader; requests use time slots meanwhile.
SEARCH_INTERVAL_S = 0.25
# Bounds the size of a query, which must fit into one datagram.
LIMITS_PER_QUERY_MAX = 8
# Leaves time to connect to the back end, which takes up to 0.3 s.
PERMIT_VALIDITY_S = 0.5

FIRST_QUERY_NUMBER_MAX = 2**30

Send = Callable[[str, Any], None]


@dataclasses.dataclass(slots=True)
class Permit:
    """Permission to send one request to a back end until `expires_at`.

    `source` is the address of the leader or agent that granted it, or describes the time slot, for
    the log. `is_counted_by_agent` is set if the back end's agent granted it.
    """

    instance: str
    expires_at: float
    source: str
    is_counted_by_agent: bool = False

    def is_valid(self, instance: str, now: float) -> bool:
        """Return whether a request may be sent to `instance` now."""
        return self.instance == instance and now <= self.expires_at


@dataclasses.dataclass(slots=True)
class Denial:
    """The refusal of a permit; one is expected to be available in `back_in_s` seconds."""

    back_in_s: float
    source: str


class PermitClient:
    """Acquires permits for one entry, which receives replies at `address`."""

    def __init__(
        self,
        address: str,
        watcher: fleet_watcher.FleetWatcher,
        send: Send,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.address = address
        self.watcher = watcher
        self.send = send
        self.clock = clock
        self.rng = rng
        # Random, so that replies to an earlier process of this entry are not accepted.
        self.query_numbers = itertools.count(rng.randrange(FIRST_QUERY_NUMBER_MAX))
        self.pending_queries: dict[int, asyncio.Future[node_messages.PermitReply]] = {}
        # The control VM that grants permits, empty if none replies.
        self.leader = ""
        # When a query of the leader last failed, and when the next search may start.
        self.query_failed_at = float("-inf")
        self.search_not_before = float("-inf")
        # Set when the current search ends; None if there is none.
        self.search_done: asyncio.Event | None = None
        self.slots = permit_slots.PermitSlots(rng.randrange(permit_slots.DEFAULT_ENTRIES))

    async def acquire(
        self,
        service: str,
        account: str,
        patience_s: float,
        backends: Sequence[backend_record.Backend],
    ) -> Permit | Denial:
        """Wait for a permit for one of `backends`, in order of preference, and return it.

        Return a Denial if none is available within `patience_s` seconds. Record in each back end
        when its next permit is available.
        """
        now = self.clock()
        limits = [advertised_limit(backend, now) for backend in backends[:LIMITS_PER_QUERY_MAX]]
        request = rate_limits.PermitRequest(service, account, patience_s, limits)
        decision = await self.query_leader(request)
        by, source = "leader", self.leader
        if decision is None:
            by, source = "turns", f"slot {self.slots.rank} of {self.slots.entries}"
            decision = self.decide_by_slot(request, self.clock())
        metrics.permits_asked_total.labels("given" if decision.instance else "denied", by).inc()
        now = self.clock()
        for backend, free_in_s in zip(backends, decision.free_in_s, strict=False):
            backend.availability.next_permit_at = now + free_in_s
        if not decision.instance:
            return Denial(decision.back_in_s, source)
        if decision.start_in_s > 0:
            await asyncio.sleep(decision.start_in_s)
        return Permit(decision.instance, self.clock() + PERMIT_VALIDITY_S, source)

    def decide_by_slot(
        self, request: rate_limits.PermitRequest, now: float
    ) -> rate_limits.Decision:
        """Decide by this entry's time slots.

        A permit is recorded as unavailable only until the next search: a leader may then grant one
        before this entry's next slot.
        """
        decision = self.slots.decide(request, now)
        search_in_s = max(0.0, self.search_not_before - now)
        decision.free_in_s = [min(free_in_s, search_in_s) for free_in_s in decision.free_in_s]
        return decision

    async def query_leader(self, request: rate_limits.PermitRequest) -> rate_limits.Decision | None:
        """Return the leader's decision, or None if no leader replies."""
        while not self.leader:
            if self.clock() < self.search_not_before:
                return None
            if self.search_done is None:
                return await self.find_leader(request)
            # The searching task may be cancelled, so check again afterwards.
            await self.search_done.wait()
        leader = self.leader
        decision = await self.request_decision([leader], request)
        if decision is None and self.leader == leader:
            self.mark_leader_lost()
        return decision

    async def find_leader(self, request: rate_limits.PermitRequest) -> rate_limits.Decision | None:
        """Search for the leader; return its decision, or None if none is found.

        If the leader was lost recently, other requests use time slots during the search. Otherwise
        a new leader may already grant permits, and slots in addition to these would exceed the
        limit, so other requests wait for the search.
        """
        self.search_not_before = min(
            self.clock() + SEARCH_INTERVAL_S, self.query_failed_at + rate_limits.LEADER_DISCOVERY_S
        )
        self.search_done = asyncio.Event()
        try:
            decision = await self.request_decision(self.control_vms(), request)
            if decision is None:
                self.mark_leader_lost()
            return decision
        finally:
            self.search_done.set()
            self.search_done = None

    async def request_decision(
        self, addresses: list[str], request: rate_limits.PermitRequest
    ) -> rate_limits.Decision | None:
        """Query some control VMs, follow one redirect to the leader, and return its decision."""
        for _ in range(2):
            address, reply = await self.query_any(addresses, request)
            if reply is None or reply.leader in addresses:
                return None
            if reply.decision is not None:
                self.set_leader(address, reply)
                return reply.decision
            addresses = [reply.leader]
        return None

    def control_vms(self) -> list[str]:
        """Return the addresses of the known control VMs.

        A search queries all of them at once. Queried in turn, failed ones would delay it while a
        new leader already grants permits to other entries.
        """
        known = dict.fromkeys([*self.watcher.controls, self.watcher.current_control_vm])
        return [address for address in known if address]

    def set_leader(self, address: str, reply: node_messages.PermitReply) -> None:
        """Record the leader, and the time slots to use if it stops replying."""
        if self.leader != address:
            logs.event("permits_from", control=address, before=self.leader, entries=reply.entries)
        self.leader = address
        clock_offset_s = reply.at - self.clock()
        self.slots.update(max(1, reply.entries), reply.rank, clock_offset_s)

    def mark_leader_lost(self) -> None:
        """Record that no leader replies, and delay the next search."""
        if self.leader:
            logs.event("permits_by_turns", lost=self.leader, entries=self.slots.entries)
            self.slots.start(self.clock())
        self.leader = ""
        self.query_failed_at = self.clock()
        self.search_not_before = self.query_failed_at + SEARCH_INTERVAL_S

    async def query_any(
        self, addresses: list[str], request: rate_limits.PermitRequest
    ) -> tuple[str, node_messages.PermitReply | None]:
        """Query control VMs; return the address and reply of the first that decides.

        Otherwise return a reply that names the leader, or an empty address and None.
        """
        addresses_by_task = {
            asyncio.create_task(self.query_control(address, request)): address
            for address in addresses
        }
        redirect: tuple[str, node_messages.PermitReply | None] = ("", None)
        pending = set(addresses_by_task)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                reply = task.result()
                if reply is not None and reply.decision is not None:
                    for other in pending:
                        other.cancel()
                    return addresses_by_task[task], reply
                if reply is not None and reply.leader:
                    redirect = (addresses_by_task[task], reply)
        return redirect

    async def query_control(
        self, address: str, request: rate_limits.PermitRequest
    ) -> node_messages.PermitReply | None:
        """Query a control VM, with one retransmission; return its reply, or None on a timeout."""
        number = next(self.query_numbers)
        future = asyncio.get_running_loop().create_future()
        self.pending_queries[number] = future
        query = node_messages.LoadQuery(self.address, number, request)
        try:
            for wait_s in (RETRANSMIT_AFTER_S, REPLY_TIMEOUT_S - RETRANSMIT_AFTER_S):
                self.send(address, query)
                done, _ = await asyncio.wait([future], timeout=wait_s)
                if done:
                    return future.result()
            return None
        except OSError as error:
            logs.debug("permit_query_not_sent", control=address, reason=str(error))
            return None
        finally:
            del self.pending_queries[number]

    def receive(self, number: int, reply: node_messages.PermitReply) -> None:
        """Accept a reply, or drop it with its permit if the query has timed out."""
        future = self.pending_queries.get(number)
        if future is not None and not future.done():
            future.set_result(reply)


def advertised_limit(backend: backend_record.Backend, now: float) -> rate_limits.AdvertisedLimit:
    """Return a back end's limit in the form that the control VMs expect."""
    availability = backend.availability
    return rate_limits.AdvertisedLimit(
        backend.instance,
        availability.leader_limit_per_s(now, PERMIT_VALIDITY_S),
        max(0.0, now - availability.leader_limit_received_at(now)),
    )
