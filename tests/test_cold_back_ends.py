"""Requests to cold engines through entries and real agents on loopback.

Guards against more requests to a cold engine than the bound of all entries together, also while its
agent is lost, old or restarted, and against limits that slow requests to engines that are not cold.
"""

import asyncio

import pytest

from merlinthread import metrics
from merlinthread.coordination import cold_limits, entry_numbers, rate_limits, retry_delays
from merlinthread.nodes import cold_permits, permits
from merlinthread.protocol import node_messages
from merlinthread.transport import http_messages
from tests import cold_fleet, fleet_nodes

SECONDS = 3.0


def run_fleet(scenario, entries: int = 4, engines: int = 1) -> None:
    async def run():
        fleet = cold_fleet.ColdFleet(entries, engines)
        try:
            await scenario(await fleet.start())
        finally:
            await fleet.stop()

    asyncio.run(run())


def count_asked(by: str) -> float:
    """Return how many permits were requested from one source so far."""
    outcomes = ("given", "denied")
    return sum(metrics.permits_asked_total.labels(each, by)._value.get() for each in outcomes)


# Tests that count requests in time windows are marked, since a stalled process sends bursts.
@pytest.mark.timed
def test_entries_together_keep_the_bound_of_a_cold_engine_and_use_its_rate():
    async def scenario(fleet):
        fleet.cold_s[0] = 60.0
        fleet.announce()
        await fleet.send_at_rate(60.0, SECONDS)
        assert fleet.max_in_a_second(0) <= cold_fleet.BOUND
        assert len(fleet.engines[0].runs) >= 0.9 * cold_fleet.COLD_PER_S * (SECONDS - 0.5)
        assert set(fleet.statuses) <= {200, 503}

    run_fleet(scenario)


@pytest.mark.timed
def test_burst_to_an_engine_that_has_just_returned_goes_to_others_too():
    async def scenario(fleet):
        fleet.cold_s[0] = 60.0
        fleet.announce()
        await fleet.until_permits_are_unused()
        # The others look busy, and the cold one is empty.
        for number in (1, 2):
            fleet.engines[number].behaviour.gap_s = 0.3
        await asyncio.gather(*(fleet.send_one() for _ in range(80)))
        assert fleet.max_in_a_second(0) <= cold_fleet.BOUND
        assert fleet.statuses == [200] * 80

    run_fleet(scenario, engines=3)


@pytest.mark.timed
def test_normal_load_of_a_cold_engine_is_served():
    async def scenario(fleet):
        fleet.cold_s[0] = 60.0
        fleet.announce()
        await fleet.until_permits_are_unused()
        await fleet.send_at_rate(13.0, SECONDS)
        served = fleet.statuses.count(200)
        assert served >= 0.97 * len(fleet.statuses), (served, len(fleet.statuses))

    run_fleet(scenario)


def test_engines_that_are_not_cold_need_no_permit():
    async def scenario(fleet):
        before = [count_asked("agent"), count_asked("agent_turns")]
        await asyncio.gather(*(fleet.send_one() for _ in range(40)))
        assert fleet.statuses == [200] * 40
        assert [count_asked("agent"), count_asked("agent_turns")] == before

    run_fleet(scenario)


def test_engine_that_stops_being_cold_needs_no_permit_at_once():
    async def scenario(fleet):
        fleet.cold_s[0] = 60.0
        fleet.announce()
        await asyncio.gather(*(fleet.send_one() for _ in range(60)))
        assert fleet.statuses.count(503) > 0
        # An earlier end is taken only from a report that is surely newer than the one before.
        await asyncio.sleep(cold_limits.REPORT_DELAY_S)
        fleet.cold_s[0] = 0.3
        fleet.announce()
        await asyncio.sleep(0.3)
        before = count_asked("agent")
        fleet.statuses.clear()
        await asyncio.gather(*(fleet.send_one() for _ in range(40)))
        assert (fleet.statuses.count(200), count_asked("agent")) == (40, before)

    run_fleet(scenario)


# Guards against an engine that gets a second burst from an agent that has forgotten the first.
@pytest.mark.timed
def test_bound_holds_over_the_loss_and_the_restart_of_the_agent():
    async def scenario(fleet):
        fleet.cold_s[0] = 60.0
        fleet.announce()
        before = count_asked("agent_turns")
        load = asyncio.ensure_future(fleet.send_at_rate(60.0, 4.0))
        await asyncio.sleep(1.0)
        fleet.stop_agent(0)
        lost_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.5)
        assert count_asked("agent_turns") > before
        await fleet.start_agent(0)
        returned_at = asyncio.get_running_loop().time()
        await load
        assert fleet.max_in_a_second(0) <= cold_fleet.BOUND
        times = [run.at for run in fleet.engines[0].runs]
        # Four entries have 4 of 96 slots; none would mean that they stop serving.
        assert any(lost_at + 0.2 < at for at in times)
        assert sum(at > returned_at for at in times) >= 0.8 * cold_fleet.COLD_PER_S

    run_fleet(scenario)


def test_agent_of_an_older_build_leaves_the_decision_to_time_slots():
    async def scenario(fleet):
        fleet.agents[0].grants.reply_to = lambda query: None
        fleet.cold_s[0] = 60.0
        fleet.announce()
        before = count_asked("agent"), count_asked("agent_turns")
        await asyncio.gather(*(fleet.send_one() for _ in range(60)))
        assert count_asked("agent") == before[0] and count_asked("agent_turns") > before[1]
        # At most the current slot of each entry.
        assert len(fleet.engines[0].runs) <= len(fleet.entries)

    run_fleet(scenario)


# Guards against a permit that is used long after it was granted, since a connection took long.
def test_attempt_whose_permit_has_expired_asks_again():
    async def scenario(fleet):
        fleet.cold_s[0] = 60.0
        fleet.announce()
        await fleet.until_permits_are_unused()
        connections = fleet.entries[0].node.pool.connections
        connect = connections.connect

        async def connect_slowly(backend, is_idempotent):
            await asyncio.sleep(0.2)
            return await connect(backend, is_idempotent)

        connections.connect = connect_slowly
        before = count_asked("agent")
        await fleet.send_one()
        assert (fleet.statuses, count_asked("agent") - before) == ([200], 2)

    run_fleet(scenario, entries=1)


# Guards against an attempt that was chosen before its engine became cold.
def test_engine_that_becomes_cold_while_connecting_gets_no_request_without_permit():
    async def scenario(fleet):
        await fleet.until_permits_are_unused()
        connections = fleet.entries[0].node.pool.connections
        connect = connections.connect

        async def connect_and_cool(backend, is_idempotent):
            fleet.cold_s[0] = 60.0
            fleet.announce()
            return await connect(backend, is_idempotent)

        connections.connect = connect_and_cool
        before = count_asked("agent")
        await fleet.send_one()
        assert count_asked("agent") == before + 1

    run_fleet(scenario, entries=1)


def test_next_incarnation_shares_the_permits_of_the_former_one():
    async def scenario(fleet):
        fleet.cold_s[0] = 60.0
        fleet.announce()
        await fleet.until_permits_are_unused()
        # In waves: all nodes share this process, and the replies to 60 requests at once may come
        # later than the entries' timeout of 15 ms.
        for _ in range(6):
            await asyncio.gather(*(fleet.send_one() for _ in range(10)))
        served = fleet.statuses.count(200)
        fleet.engines[0].instance = "i-0@5"
        for entry in fleet.entries:
            entry.node.watcher.instance_table.mark_gone("i-0")
        fleet.announce()
        await asyncio.gather(*(fleet.send_one() for _ in range(60)))
        assert 0 < served
        assert fleet.max_in_a_second(0) <= cold_fleet.BOUND

    run_fleet(scenario)


@pytest.mark.timed
def test_request_that_gets_no_permit_is_refused_at_once_with_the_time_of_the_next():
    async def scenario(fleet):
        fleet.cold_s[0] = 60.0
        fleet.announce()
        await asyncio.gather(*(fleet.send_one() for _ in range(60)))
        entry = fleet.entries[0]
        # The agent decides. Without this, its next permit is due 0.25 s after the requests, sooner
        # after slower ones, and the random part of the delay alone reaches the bound.
        limiter = fleet.agents[0].grants.limiter
        limiter.due_at = fleet.agents[0].clock() + limiter.tolerance_s() + 0.5
        before = asyncio.get_running_loop().time()
        headers = {"X_Merlinthread_Model": "m"}
        response = await entry.request("/model/x", "id-last", **headers)
        delay_s = float(http_messages.get_header(response.headers, b"retry-after"))
        assert response.status == 503
        assert 0.4 <= delay_s <= 0.5 + retry_delays.RETRY_SPREAD_S
        assert asyncio.get_running_loop().time() - before < cold_fleet.OBJECTIVE_MS / 8000

    run_fleet(scenario)


class Prober:
    """A prober whose agent gives a fixed reply, or none."""

    def __init__(self) -> None:
        self.reply: node_messages.PermitReply | None = None
        self.queries = 0

    async def query_permit(self, agent, permit, wait_s):
        self.queries += 1
        return None, self.reply


def test_lost_agent_is_not_asked_by_each_request():
    async def scenario(fleet):
        node = fleet.entries[0].node
        fleet.cold_s[0] = 60.0
        fleet.announce()
        prober = Prober()
        client = cold_permits.ColdPermitClient(prober, node.clock, fleet.rng, lambda *_: None)
        backend = node.pool.backends["i-0"]
        found = [await client.acquire(backend, "agent:1", 0.0) for _ in range(20)]
        assert prober.queries == 1
        assert sum(isinstance(each, permits.Permit) for each in found) <= 1
        # Once it replies, its decisions count, and its rank applies after that.
        client.agents["agent:1"].query_not_before = float("-inf")
        decision = rate_limits.Decision("i-0", 0.0, [0.0])
        prober.reply = node_messages.PermitReply(decision, "", 120, 7, 50.0)
        granted = await client.acquire(backend, "agent:1", 0.0)
        assert isinstance(granted, permits.Permit) and granted.is_counted_by_agent
        slots = client.agents["agent:1"].slots
        rank = entry_numbers.slot_of(7, 120)
        assert (slots.entries, slots.rank, client.entries) == (120, rank, 120)

    run_fleet(scenario, entries=1)


def test_replies_of_agents_are_told_from_those_of_control_vms():
    node = fleet_nodes.Entry().node
    received = []
    node.permits.receive = lambda number, permit: received.append(number)
    decision = node_messages.PermitReply(rate_limits.Decision())
    number = next(node.prober.query_numbers)
    node.dispatch_datagram(node_messages.LoadReply(number, 0, 0, 0.0, permit=decision))
    number = next(node.permits.query_numbers)
    node.dispatch_datagram(node_messages.LoadReply(number, 0, 0, 0.0, permit=decision))
    assert received == [number]


# Guards against entries that hear of a new cold start only with the next heartbeat.
def test_agent_passes_on_the_cold_time_in_the_reports_of_its_engine():
    async def scenario(fleet):
        fleet.engines[0].behaviour.report_headers = [(b"X-Merlinthread-Cold-Ms", b"60000")]
        await fleet_nodes.until(lambda: fleet.agents[0].cold_until is not None)
        await fleet.send_one()
        node = fleet.entries[0].node
        assert node.pool.backends["i-0"].availability.needs_agent_permit(node.clock())
        fleet.engines[0].behaviour.report_headers = [(b"X-Merlinthread-Cold-Ms", b"soon")]
        await fleet_nodes.until(lambda: fleet.agents[0].cold_until is None)

    run_fleet(scenario, entries=1)


# Guards against a request that may have run and never gets a permit, because new requests reserve
# all permits in advance.
def test_retry_after_the_queue_time_gets_a_permit_beside_new_requests():
    async def scenario(fleet):
        fleet.cold_s[0] = 60.0
        fleet.announce()
        await fleet.until_permits_are_unused()
        limiter, behaviour = fleet.agents[0].grants.limiter, fleet.engines[0].behaviour
        decide = limiter.decide

        def decide_beside_others(instance, patience_s, now):
            # Others have reserved the permits of the next 0.03 s.
            limiter.due_at = max(limiter.due_at, now + 0.03 + limiter.tolerance_s())
            return decide(instance, patience_s, now)

        limiter.decide = decide_beside_others
        behaviour.closes_without_response = True
        behaviour.work_s = 0.2
        while not fleet.engines[0].runs:
            # An entry that gets the agent's first reply late refuses the request before it runs.
            fleet.statuses.clear()
            request = asyncio.ensure_future(fleet.send_one())
            await fleet_nodes.until(lambda: fleet.engines[0].runs or fleet.statuses)
        await asyncio.sleep(0.1)
        behaviour.work_s = 0.0
        await fleet_nodes.until(lambda: not fleet.engines[0].running)
        behaviour.closes_without_response = False
        await request
        assert (fleet.statuses, len(fleet.engines[0].runs)) == ([200], 2)

    run_fleet(scenario, entries=1)
