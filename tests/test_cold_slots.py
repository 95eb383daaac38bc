"""Time slots of entries whose agent is lost, simulated without a network.

Guards against more requests to a cold engine in a second than the bound, because several entries
use the same slots or those of neighbours, and against slots that leave the rate unused.
"""

import asyncio
import random
import types

import pytest

from merlinthread.coordination import backend_availability, cold_limits, entry_numbers, fleet
from merlinthread.nodes import cold_grants, cold_permits, node_settings, permits
from merlinthread.protocol import node_messages
from tests import fleet_nodes

COLD_PER_S = 18.0
LATE_MAX_S = cold_limits.PERMIT_VALIDITY_S + cold_limits.ARRIVAL_DELAY_S
# Each entry asks this often, and waits as long: it uses every slot that it has.
ASK_INTERVAL_S = 0.2
# One rotation of the slots takes 5.5 s, and 7.4 s at the rate of entries without a number.
LOST_S = 8.0
# The runs of an agent before its loss: its age when entries first query it, and how many do.
HISTORIES = {
    "lost after its first queries": [(0.0, 1.0)],
    "restarted several times": [(0.0, 0.2)] * 8,
    "queried by half of the entries": [(60.0, 0.5)],
    "queried by all entries at once": [(60.0, 1.0)],
    "restarted and queried by others": [(60.0, 0.5)] * 2,
}


class Simulation:
    """An agent that is lost and restarted, and entries that want to send more than it permits."""

    def __init__(self, entries: int, seed: int, overage: float = 1.5) -> None:
        self.bounds = node_settings.Bounds(cold_overage=overage, cold_slack=5.0)
        self.limit = cold_limits.make_limit(COLD_PER_S, overage, 5.0)
        self.now = 0.0
        self.rng = random.Random(seed)
        self.grants: cold_grants.ColdGrants | None = None
        self.clients = {
            f"10.0.0.{number}:1": cold_permits.ColdPermitClient(
                types.SimpleNamespace(query_permit=None),
                lambda: self.now,
                random.Random(self.rng.random()),
                lambda *_: None,
            )
            for number in range(entries)
        }
        for address, client in self.clients.items():
            client.prober.query_permit = self.make_query(address)
        availability = backend_availability.Availability(cold_limit=self.limit, has_agent=True)
        self.backend = types.SimpleNamespace(
            instance="i-0", service="model", availability=availability
        )
        self.used: list[float] = []

    def make_query(self, address: str):
        async def query_permit(agent, permit, wait_s):
            if self.grants is None:
                return None, None
            return None, self.grants.reply_to(node_messages.LoadQuery(address, 1, permit))

        return query_permit

    def start_agent(self) -> None:
        service = fleet.Service("model", cold_per_s=COLD_PER_S)
        watcher = types.SimpleNamespace(service=lambda name: service)
        settings = fleet_nodes.make_settings("agent", engine_service="model", bounds=self.bounds)
        self.grants = cold_grants.ColdGrants(settings, watcher, lambda: self.now)
        self.grants.update()

    def run(self, seconds: float, share: float = 1.0) -> None:
        """Let `share` of the entries, at random, ask for permits for some time."""
        asks = [
            (self.now + self.rng.random() * ASK_INTERVAL_S + step * ASK_INTERVAL_S, address)
            for address in self.rng.sample(sorted(self.clients), round(share * len(self.clients)))
            for step in range(round(seconds / ASK_INTERVAL_S))
        ]
        for self.now, address in sorted(asks):
            permit = acquire_now(self.clients[address], self.backend)
            if isinstance(permit, permits.Permit):
                start_at = permit.expires_at - cold_limits.PERMIT_VALIDITY_S
                self.used.append(start_at + self.rng.uniform(0.0, LATE_MAX_S))

    def run_and_lose_agent(self, history: str) -> None:
        """Start and stop the agent as in one of HISTORIES; let all entries ask after that."""
        for age_s, share in HISTORIES[history]:
            self.start_agent()
            self.now += age_s
            self.run(ASK_INTERVAL_S, share)
            # The process of an agent takes longer to start than permits are reserved in advance.
            self.grants = None
            self.run(ASK_INTERVAL_S, share)
        self.run(LOST_S)

    def most_in_a_second(self) -> int:
        return max(sum(at <= t < at + 1.0 for t in self.used) for at in self.used)

    def used_per_s(self) -> float:
        """Return the rate of requests since the loss of the agent."""
        return sum(t > self.now - LOST_S for t in self.used) / LOST_S


def acquire_now(client, backend) -> permits.Permit | permits.Denial:
    """Return what a client acquires."""
    try:
        client.acquire(backend, "agent", ASK_INTERVAL_S).send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("acquire() waits")


@pytest.fixture(autouse=True)
def no_sleep(monkeypatch):
    """Let acquire() return before a permit's start, which the simulation adds itself."""

    async def sleep(seconds):
        pass

    monkeypatch.setattr(asyncio, "sleep", sleep)


@pytest.mark.parametrize("entries", [36, 71])
@pytest.mark.parametrize("overage", [1.5, 1.0])
@pytest.mark.parametrize("history", HISTORIES)
@pytest.mark.parametrize("seed", range(2))
def test_bound_holds_after_the_loss_of_an_agent(entries, overage, history, seed):
    simulation = Simulation(entries, seed, overage)
    simulation.run_and_lose_agent(history)
    assert simulation.most_in_a_second() <= simulation.limit.bound


# Guards against slots that leave more of the rate unused than the bound requires.
@pytest.mark.parametrize(
    ("history", "share"),
    [("lost after its first queries", 0.6), ("queried by all entries at once", 0.9)],
)
def test_entries_use_their_slots_after_the_loss_of_an_agent(history, share):
    simulation = Simulation(71, 1)
    simulation.run_and_lose_agent(history)
    assert simulation.used_per_s() >= share * COLD_PER_S * 71 / cold_permits.ENTRIES_MIN


def test_numbers_from_zero_are_spread_evenly_over_any_count_of_slots():
    for slots in (1, 2, 96, 97, 150, 4096):
        used = [entry_numbers.slot_of(number, slots) for number in range(slots)]
        assert sorted(used) == list(range(slots))
        first, part = sorted(used[: slots // 3]), max(1, slots // 4)
        most = max(sum((slot - at) % slots < part for slot in first) for at in range(slots))
        assert most <= len(first) / 4 + 3


def test_number_is_kept_until_its_entry_expires_and_their_count_is_bounded():
    numbers = entry_numbers.EntryNumbers(0.0)
    for each in range(entry_numbers.ENTRIES_MAX + 10):
        numbers.record(f"e{each:04}", 0.0)
    numbers.record("e0001", 300.0)
    assert numbers.number_of("e0001", 300.0) == 1
    assert numbers.count() == entry_numbers.ENTRIES_MAX
    assert numbers.number_of(f"e{entry_numbers.ENTRIES_MAX}", 300.0) is None
    numbers.record("a", entry_numbers.NUMBER_EXPIRY_S + 1.0)
    now = entry_numbers.NUMBER_EXPIRY_S + 2.0
    assert (numbers.number_of("a", now), numbers.number_of("e0001", now)) == (0, 1)
    assert numbers.count() == 2
