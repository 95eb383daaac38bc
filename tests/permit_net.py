"""A simulated network of entries and control VMs for permit tests, with delay and loss.

Only the leader's lease and the network are simulated, on the virtual time of `virtual_loop`.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from merlinthread.coordination import backend_availability, backend_record
from merlinthread.nodes import permit_server, permits
from merlinthread.protocol import node_messages

CONTROLS = ["c0", "c1", "c2"]
# One-way delays within a zone, between zones and between regions.
DELAYS_S = (0.0005, 0.003, 0.007)
# Longest wait for a permit.
PATIENCE_S = 0.06
CLOCK_OFFSET_MAX_S = 1000.0


class Member:
    """A fake log member; the network decides which one leads."""

    def __init__(self, net: "PermitNetwork", address: str) -> None:
        self.net = net
        self.address = address

    def holds_lease(self) -> bool:
        """Return whether this member holds the leader's lease."""
        return self.net.leader == self.address

    def leader_address(self) -> str:
        """Return the address of the leader, or of the last one after its loss."""
        return self.net.last_leader


@dataclasses.dataclass
class Watcher:
    """The control VMs known to an entry."""

    controls: list[str]
    current_control_vm: str


@dataclasses.dataclass
class Entry:
    """An entry's permit client and its record of the rate-limited back end."""

    permits: permits.PermitClient
    backend: backend_record.Backend


class PermitNetwork:
    """Entries that share one back end with a limit of `limit_per_s` requests a second."""

    def __init__(
        self, rng: random.Random, entries: int, limit_per_s: float, loss: float = 0.0
    ) -> None:
        self.rng = rng
        self.limit_per_s = limit_per_s
        self.loss = loss
        self.loop = asyncio.get_running_loop()
        self.leader = self.last_leader = CONTROLS[0]
        self.running = set(CONTROLS)
        self.permit_servers = {
            address: permit_server.PermitServer(Member(self, address), self.random_clock())
            for address in CONTROLS
        }
        self.entries = {f"e{number}": self.make_entry(f"e{number}") for number in range(entries)}
        # When each permit was used.
        self.used: list[float] = []
        self.pending: set[asyncio.Task] = set()

    def random_clock(self) -> Callable[[], float]:
        """Return a clock with a random offset."""
        offset_s = self.rng.uniform(0.0, CLOCK_OFFSET_MAX_S)
        return lambda: self.loop.time() + offset_s

    def make_entry(self, address: str) -> Entry:
        """Return an entry that knows the limit."""
        clock = self.random_clock()
        client = permits.PermitClient(
            address,
            Watcher(list(CONTROLS), self.rng.choice(CONTROLS)),
            lambda control, query: self.send_datagram(self.receive_query, address, control, query),
            clock,
            self.rng,
        )
        availability = backend_availability.Availability(
            limit_per_s=self.limit_per_s, limit_received_at=clock()
        )
        return Entry(
            client, backend_record.Backend("i", "s", "a:1", "zone", 0, 8, availability=availability)
        )

    def send_datagram(self, deliver: Callable[..., None], *what: object) -> None:
        """Deliver a datagram after a random delay, or drop it."""
        if self.rng.random() >= self.loss:
            self.loop.call_later(self.rng.choice(DELAYS_S), deliver, *what)

    def receive_query(self, entry: str, control: str, query: node_messages.LoadQuery) -> None:
        """Let a control VM reply to a query, if it is running."""
        if control in self.running:
            reply = self.permit_servers[control].reply_to(query)
            self.send_datagram(self.entries[entry].permits.receive, query.number, reply)

    def stop_leader(self) -> None:
        """Stop the leader, leaving no leader."""
        self.running.discard(self.leader)
        self.leader = ""

    def elect(self, address: str) -> None:
        """Make another VM the leader."""
        self.leader = self.last_leader = address

    async def acquire_permit(self, entry: Entry, account: str) -> None:
        """Acquire a permit for one request and record its use."""
        found = await entry.permits.acquire("s", account, PATIENCE_S, [entry.backend])
        if isinstance(found, permits.Permit):
            self.used.append(self.loop.time())

    async def send_requests(self, per_s: float, until: float) -> None:
        """Send requests to random entries, skipping back ends known to lack a permit."""
        while self.loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(per_s))
            entry = self.rng.choice(list(self.entries.values()))
            if not entry.backend.availability.lacks_permit(entry.permits.clock()):
                task = asyncio.create_task(self.acquire_permit(entry, self.rng.choice("abc")))
                self.pending.add(task)
                task.add_done_callback(self.pending.discard)
        while self.pending:
            await asyncio.wait(list(self.pending))

    def max_used_in(self, seconds: float) -> int:
        """Return the highest number of permits used in any window of `seconds`."""
        return max((sum(at <= t < at + seconds for t in self.used) for at in self.used), default=0)

    def count_used(self, since: float, until: float) -> int:
        """Return the number of permits used between two times."""
        return sum(since <= at < until for at in self.used)
