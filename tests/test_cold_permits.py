"""Permits for cold back ends: the agents that grant them, and the entries that need them.

Guards against requests to a cold engine beyond the bound of all entries together, when the agent is
old, lost or restarted too, and against requests that wait although no engine is cold.
"""

import asyncio
import random
import types

import pytest

from merlinthread import logs
from merlinthread.coordination import (
    backend_availability,
    cold_limits,
    entry_numbers,
    fleet,
    rate_limits,
)
from merlinthread.nodes import cold_grants, cold_permits, node_settings, permits
from merlinthread.protocol import node_messages
from tests import fleet_nodes

BOUNDS = node_settings.Bounds(cold_overage=1.5, cold_slack=5.0)
LIMIT = cold_limits.make_limit(18.0, BOUNDS.cold_overage, BOUNDS.cold_slack)
SENT = node_messages.AttemptStage.SENT


class Grants:
    """The grants of an agent whose clock and configuration the test sets."""

    def __init__(self, cold_per_s: float = 18.0, bounds: node_settings.Bounds = BOUNDS) -> None:
        self.now = 0.0
        self.service = fleet.Service("model", cold_per_s=cold_per_s)
        self.services = {"model": self.service}
        self.watcher = types.SimpleNamespace(service=lambda name: self.services.get(name))
        settings = fleet_nodes.make_settings("agent", engine_service="model", bounds=bounds)
        self.grants = cold_grants.ColdGrants(settings, self.watcher, lambda: self.now)

    def ask(self, entry: str = "entry:1", patience_s: float = 0.0) -> node_messages.PermitReply:
        limit = rate_limits.AdvertisedLimit("i", 18.0, 0.0)
        request = rate_limits.PermitRequest("model", "", patience_s, [limit])
        return self.grants.reply_to(node_messages.LoadQuery(entry, 1, request))

    def count_granted(self) -> int:
        """Return how many permits are granted at this moment."""
        return sum(bool(self.ask().decision.instance) for _ in range(100))


@pytest.mark.parametrize(
    "grants",
    [Grants(cold_per_s=0.0), Grants(bounds=node_settings.Bounds())],
    ids=["service without limit", "deployment without bound"],
)
def test_agent_without_limit_decides_nothing(grants):
    assert grants.ask() is None


def test_agent_without_configuration_decides_nothing():
    grants = Grants()
    grants.services.clear()
    assert grants.ask() is None


def test_load_query_without_permit_request_takes_none():
    grants = Grants()
    assert grants.grants.reply_to(node_messages.LoadQuery("entry:1", 1)) is None


# Guards against a restarted agent that grants a burst in addition to what it granted before.
def test_agent_that_has_just_started_grants_no_burst():
    grants = Grants()
    assert not grants.ask().decision.instance
    grants.now = cold_limits.PERMIT_VALIDITY_S + 1.1 / 18
    assert grants.count_granted() == 1


# Guards against entries that share slots, since the agent told their numbers at different times.
def test_reply_tells_each_entry_its_own_number_once_the_agent_has_learned_them():
    grants = Grants()
    assert [grants.ask(entry).entries for entry in ("c", "a", "b")] == [0, 0, 0]
    grants.now = entry_numbers.LEARNING_S
    told = [grants.ask(entry) for entry in ("b", "aa", "b", "c")]
    assert [(reply.entries, reply.rank) for reply in told] == [(3, 1), (4, 3), (4, 1), (4, 2)]
    assert told[0].at == grants.now


# Guards against old entries, which ask for no permit, in addition to the permits of the others.
def test_attempts_without_permit_count_and_those_with_one_do_not():
    grants = Grants()
    grants.ask()
    grants.now = 10.0
    burst = int(LIMIT.burst())
    for number in range(burst):
        grants.grants.record_attempt(
            node_messages.AttemptNotice("e", number, SENT, has_permit=True)
        )
    assert grants.count_granted() == burst
    grants.now = 20.0
    for number in range(burst - 2):
        grants.grants.record_attempt(node_messages.AttemptNotice("e", number, SENT))
    # The rounding of sums may move the moment at which the last permit is free.
    grants.now += 0.001
    assert grants.count_granted() == 2


# Guards against granted permits that are forgotten when the limit is removed and set again.
def test_limit_that_returns_does_not_begin_anew():
    grants = Grants()
    grants.ask()
    grants.now = 10.0
    assert grants.count_granted() == int(LIMIT.burst())
    grants.service.cold_per_s = 0.0
    assert grants.ask() is None
    grants.service.cold_per_s = 18.0
    assert grants.count_granted() == 0


def test_first_permit_of_a_cold_start_is_logged(monkeypatch):
    lines = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: lines.append((name, fields)))
    grants = Grants()
    for _ in range(3):
        grants.ask()
    assert [(name, fields["per_s"]) for name, fields in lines] == [
        ("cold_permits_granted_here", 18.0)
    ]


# Guards against a permit that a busy entry uses later than its agent reckons with.
@pytest.mark.parametrize(("reply_delay_s", "wake_delay_s"), [(0.3, 0.0), (0.0, 0.3)])
def test_delay_of_the_entry_does_not_prolong_a_permit(reply_delay_s, wake_delay_s, monkeypatch):
    now = [100.0]

    class Prober:
        async def query_permit(self, agent, permit, wait_s):
            now[0] += reply_delay_s
            return None, node_messages.PermitReply(rate_limits.Decision("i", 0.02, [0.1]))

    async def sleep(seconds):
        now[0] += seconds + wake_delay_s

    monkeypatch.setattr(asyncio, "sleep", sleep)
    client = cold_permits.ColdPermitClient(
        Prober(), lambda: now[0], random.Random(1), lambda *_: None
    )
    availability = backend_availability.Availability(cold_limit=LIMIT, has_agent=True)
    backend = types.SimpleNamespace(instance="i", service="model", availability=availability)
    permit = asyncio.run(client.acquire(backend, "agent:1", 0.1))
    assert permit.is_valid("i", 100.0 + 0.02 + cold_limits.PERMIT_VALIDITY_S - 0.001)
    assert not permit.is_valid("i", now[0])


# Guards against a request that fails because a cold start ends just before its permit is requested.
def test_limit_for_the_leader_is_defined_when_a_cold_start_has_just_ended():
    availability = backend_availability.Availability(cold_limit=LIMIT)
    availability.cold.record(20.0, 9.5, 10.0)
    assert availability.needs_leader_permit(19.999)
    backend = types.SimpleNamespace(instance="i", availability=availability)
    assert 0.0 < permits.advertised_limit(backend, 20.001).per_s <= LIMIT.cold_per_s
