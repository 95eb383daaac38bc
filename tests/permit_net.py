"""Entries that ask control VMs for permits over a network that delays and loses, for tests.

The parts are the product's; only the leader's lease and the network are stood in for, on the
virtual time of `virtual_loop`.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from merlinthread.coordination import backend_record, backend_signals
from merlinthread.nodes import permit_office, permits
from merlinthread.protocol import node_messages

CONTROLS = ["c0", "c1", "c2"]
# One way within a zone, between zones and between regions, in seconds.
DELAYS_S = (0.0005, 0.003, 0.007)
# How long a request waits for a permit, in seconds.
PATIENCE_S = 0.06
CLOCKS_APART_S = 1000.0


class Member:
    """A member of the log; the net says who leads."""

    def __init__(self, net: "PermitNet", address: str) -> None:
        self.net = net
        self.address = address

    def holds_lease(self) -> bool:
        """Return whether it surely leads."""
        return self.net.leader == self.address

    def leader_address(self) -> str:
        """Return who leads, or did last: members don't know at once that it is lost."""
        return self.net.leader_before


@dataclasses.dataclass
class Watcher:
    """What an entry knows of the control VMs."""

    controls: list[str]
    current: str


@dataclasses.dataclass
class Entry:
    """An entry's questions, and what it knows of the one back end, which has a limit."""

    permits: permits.Permits
    backend: backend_record.Backend


class PermitNet:
    """Entries before one back end that named `limit_per_s`; `rng` draws all that is by chance."""

    def __init__(
        self, rng: random.Random, entries: int, limit_per_s: float, loss: float = 0.0
    ) -> None:
        self.rng = rng
        self.limit_per_s = limit_per_s
        self.loss = loss
        self.loop = asyncio.get_running_loop()
        self.leader = self.leader_before = CONTROLS[0]
        self.alive = set(CONTROLS)
        self.offices = {
            address: permit_office.PermitOffice(Member(self, address), self.clock_of_a_vm())
            for address in CONTROLS
        }
        self.entries = {f"e{number}": self.entry(f"e{number}") for number in range(entries)}
        # When each permit was used.
        self.used: list[float] = []
        self.pending: set[asyncio.Task] = set()

    def clock_of_a_vm(self) -> Callable[[], float]:
        """Return a clock that differs from the others'."""
        ahead_s = self.rng.uniform(0.0, CLOCKS_APART_S)
        return lambda: self.loop.time() + ahead_s

    def entry(self, address: str) -> Entry:
        """Return an entry that has heard the limit."""
        clock = self.clock_of_a_vm()
        asking = permits.Permits(
            address,
            Watcher(list(CONTROLS), self.rng.choice(CONTROLS)),
            lambda control, query: self.carry(self.arrive, address, control, query),
            clock,
            self.rng,
        )
        availability = backend_signals.Availability(
            limit_per_s=self.limit_per_s, limit_heard_at=clock()
        )
        return Entry(
            asking, backend_record.Backend("i", "s", "a:1", "zone", 0, 8, availability=availability)
        )

    def carry(self, deliver: Callable[..., None], *what: object) -> None:
        """Deliver a datagram after a while, or lose it."""
        if self.rng.random() >= self.loss:
            self.loop.call_later(self.rng.choice(DELAYS_S), deliver, *what)

    def arrive(self, entry: str, control: str, query: node_messages.LoadQuery) -> None:
        """Let a control VM answer, if it lives."""
        if control in self.alive:
            answer = self.offices[control].answer(query)
            self.carry(self.entries[entry].permits.take, query.number, answer)

    def lose_leader(self) -> None:
        """End the VM that leads; nobody does from now on."""
        self.alive.discard(self.leader)
        self.leader = ""

    def elect(self, address: str) -> None:
        """Let another VM lead."""
        self.leader = self.leader_before = address

    async def ask(self, entry: Entry, account: str) -> None:
        """Ask for a permit for one request and use it."""
        found = await entry.permits.acquire("s", account, PATIENCE_S, [entry.backend])
        if isinstance(found, permits.Permit):
            self.used.append(self.loop.time())

    async def press(self, per_s: float, until: float) -> None:
        """Send requests to entries by lot; as the router does, ask only where one may be had."""
        while self.loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(per_s))
            entry = self.rng.choice(list(self.entries.values()))
            if not entry.backend.availability.lacks_permit(entry.permits.clock()):
                task = asyncio.create_task(self.ask(entry, self.rng.choice("abc")))
                self.pending.add(task)
                task.add_done_callback(self.pending.discard)
        while self.pending:
            await asyncio.wait(list(self.pending))

    def most_in(self, seconds: float) -> int:
        """Return the most permits that were used in any `seconds`."""
        return max((sum(at <= t < at + seconds for t in self.used) for at in self.used), default=0)

    def used_between(self, since: float, until: float) -> int:
        """Return how many permits were used between two times."""
        return sum(since <= at < until for at in self.used)
