"""An entry's permits for back ends that take only so many requests a second from all VMs together.

The control VM that leads gives them out. While it does not answer, entries take turns.
"""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any

from merlinthread import logs, metrics
from merlinthread.coordination import backend_record, permit_slots, rate_limits
from merlinthread.nodes import news_watcher
from merlinthread.protocol import node_messages

# How long the leader may take to answer, in seconds: ten times the way there and back between
# regions. A question may be lost, so it is sent a second time after a third of that.
ANSWER_S = 0.06
AGAIN_S = 0.02
# After it did not answer, one question is sent in so long, in seconds; the others wait for nothing.
SILENCE_S = 0.25
# How many back ends one question names: it fits one datagram.
NAMED_MAX = 8
# How long a permit holds, in seconds, from when it may be used: connecting takes up to 0.3 s.
VALID_S = 0.5

FIRST_NUMBERS = 2**30

Send = Callable[[str, Any], None]


@dataclasses.dataclass(slots=True)
class Permit:
    """Leave to send one request to a back end before `until`; `told_by` says who gave it."""

    instance: str
    until: float
    told_by: str

    def is_valid(self, instance: str, now: float) -> bool:
        """Return whether a request may be sent there now."""
        return self.instance == instance and now <= self.until


@dataclasses.dataclass(slots=True)
class Denial:
    """There is no permit in time; one is expected in `back_in_s`."""

    back_in_s: float
    told_by: str


class Permits:
    """One entry's questions; `address` is where it takes the answers."""

    def __init__(
        self,
        address: str,
        watcher: news_watcher.NewsWatcher,
        send: Send,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.address = address
        self.watcher = watcher
        self.send = send
        self.clock = clock
        self.rng = rng
        # Not from 1: an entry that starts again must not get the answers of its former life.
        self.numbers = itertools.count(rng.randrange(FIRST_NUMBERS))
        self.waiting: dict[int, asyncio.Future[node_messages.PermitReply]] = {}
        # The control VM that answered last, empty while none does.
        self.leader = ""
        # When none answered last, and until when none is looked for again.
        self.silent_at = float("-inf")
        self.silent_until = float("-inf")
        # Set once the search that is under way has ended.
        self.searched: asyncio.Event | None = None
        self.turns = permit_slots.PermitSlots(rng.randrange(permit_slots.DEFAULT_ENTRIES))

    async def acquire(
        self,
        service: str,
        account: str,
        patience_s: float,
        backends: Sequence[backend_record.Backend],
    ) -> Permit | Denial:
        """Return a permit for one of some back ends, once it may be used.

        They are named in the order of preference; each is noted when it has its next permit.
        """
        now = self.clock()
        named = [named_limit(backend, now) for backend in backends[:NAMED_MAX]]
        request = rate_limits.PermitRequest(service, account, patience_s, named)
        decision = await self.ask_leader(request)
        by, told_by = "leader", self.leader
        if decision is None:
            by, told_by = "turns", f"turn {self.turns.rank} of {self.turns.entries}"
            decision = self.by_turns(request, self.clock())
        metrics.permits_asked_total.labels("given" if decision.instance else "denied", by).inc()
        now = self.clock()
        for backend, free_in_s in zip(backends, decision.free_in_s, strict=False):
            backend.availability.next_permit_at = now + free_in_s
        if not decision.instance:
            return Denial(decision.back_in_s, told_by)
        if decision.start_in_s > 0:
            await asyncio.sleep(decision.start_in_s)
        return Permit(decision.instance, self.clock() + VALID_S, told_by)

    def by_turns(self, request: rate_limits.PermitRequest, now: float) -> rate_limits.Decision:
        """Return what this entry's turns allow.

        A leader may be found before the next turn: no back end counts as spent for longer than
        until one is looked for again.
        """
        decision = self.turns.decide(request, now)
        looked_in_s = max(0.0, self.silent_until - now)
        decision.free_in_s = [min(free_in_s, looked_in_s) for free_in_s in decision.free_in_s]
        return decision

    async def ask_leader(self, request: rate_limits.PermitRequest) -> rate_limits.Decision | None:
        """Return the leader's decision, None if it does not answer."""
        while not self.leader:
            if self.clock() < self.silent_until:
                return None
            if self.searched is None:
                return await self.search(request)
            # Whoever searches may leave before it is known.
            await self.searched.wait()
        leader = self.leader
        decision = await self.decision_of([leader], request)
        if decision is None and self.leader == leader:
            self.note_silence()
        return decision

    async def search(self, request: rate_limits.PermitRequest) -> rate_limits.Decision | None:
        """Look for the leader; return its decision, None if there is none.

        For a moment after one was not found, others go by their turns and wait for nothing. A
        silence that is older than the next leader waits says nothing of now: they wait for this
        search then, since turns beside a leader's permits are more than is allowed.
        """
        self.silent_until = min(
            self.clock() + SILENCE_S, self.silent_at + rate_limits.LEADER_DISCOVERY_S
        )
        self.searched = asyncio.Event()
        try:
            decision = await self.decision_of(self.controls(), request)
            if decision is None:
                self.note_silence()
            return decision
        finally:
            self.searched.set()
            self.searched = None

    async def decision_of(
        self, addresses: list[str], request: rate_limits.PermitRequest
    ) -> rate_limits.Decision | None:
        """Return the decision of the leader, which is one of those asked or known to one."""
        for _ in range(2):
            address, answer = await self.ask_any(addresses, request)
            if answer is None or answer.leader in addresses:
                return None
            if answer.decision is not None:
                self.note_leader(address, answer)
                return answer.decision
            addresses = [answer.leader]
        return None

    def controls(self) -> list[str]:
        """Return the control VMs that are known.

        All are asked while the leader is not known: who asks one by one may meet a lost one again
        and again, and goes on with its turns while the next leader counts for the others.
        """
        known = dict.fromkeys([*self.watcher.controls, self.watcher.current])
        return [address for address in known if address]

    def note_leader(self, address: str, answer: node_messages.PermitReply) -> None:
        """Note who gives out permits, and which turn this entry has when it does not."""
        if self.leader != address:
            logs.event("permits_from", control=address, before=self.leader, entries=answer.entries)
        self.leader = address
        ahead_s = answer.at - self.clock()
        self.turns.update(max(1, answer.entries), answer.rank, ahead_s)

    def note_silence(self) -> None:
        """Note that no leader answers."""
        if self.leader:
            logs.event("permits_by_turns", lost=self.leader, entries=self.turns.entries)
            self.turns.begin(self.clock())
        self.leader = ""
        self.silent_at = self.clock()
        self.silent_until = self.silent_at + SILENCE_S

    async def ask_any(
        self, addresses: list[str], request: rate_limits.PermitRequest
    ) -> tuple[str, node_messages.PermitReply | None]:
        """Return who decides and what it says, else one that names the leader, else nobody."""
        asked = {asyncio.create_task(self.ask(each, request)): each for each in addresses}
        named: tuple[str, node_messages.PermitReply | None] = ("", None)
        pending = set(asked)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                answer = task.result()
                if answer is not None and answer.decision is not None:
                    for other in pending:
                        other.cancel()
                    return asked[task], answer
                if answer is not None and answer.leader:
                    named = (asked[task], answer)
        return named

    async def ask(
        self, address: str, request: rate_limits.PermitRequest
    ) -> node_messages.PermitReply | None:
        """Return a control VM's answer, None if there is none in time."""
        number = next(self.numbers)
        answered = asyncio.get_running_loop().create_future()
        self.waiting[number] = answered
        query = node_messages.LoadQuery(self.address, number, request)
        try:
            for wait_s in (AGAIN_S, ANSWER_S - AGAIN_S):
                self.send(address, query)
                done, _ = await asyncio.wait([answered], timeout=wait_s)
                if done:
                    return answered.result()
            return None
        except OSError as error:
            logs.debug("permit_query_not_sent", control=address, reason=str(error))
            return None
        finally:
            del self.waiting[number]

    def take(self, number: int, answer: node_messages.PermitReply) -> None:
        """Take an answer; one that comes too late is dropped, with its permit."""
        answered = self.waiting.get(number)
        if answered is not None and not answered.done():
            answered.set_result(answer)


def named_limit(backend: backend_record.Backend, now: float) -> rate_limits.AdvertisedLimit:
    """Return what a back end named, for the control VM."""
    availability = backend.availability
    assert availability.limit_per_s is not None
    return rate_limits.AdvertisedLimit(
        backend.instance, availability.limit_per_s, max(0.0, now - availability.limit_heard_at)
    )
