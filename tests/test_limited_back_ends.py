"""Back ends that advertise a rate limit for the requests of all entries together.

Guards against entries that ignore the limit, or that each count only their own requests.
"""

import asyncio

import pytest

from tests import crashing_fleet, fleet_nodes, limited_fleet

WORK_S = 0.02
# Requests allowed in a window in addition to the limit.
EXTRA_REQUESTS = 2
# Share of the limit that must be used under overload.
UTILISATION_MIN = 0.9
# Longest extra delay of a refusal, compared with that of an unknown key, which is immediate.
REFUSAL_DELAY_MAX_S = 0.01
UNKNOWN_KEY = "key-of-nobody"
WINDOW_S = 2.0
# Time after which all entries know the limit and earlier requests have arrived.
PROPAGATION_S = 1.0


async def start_fleet(
    folder, service: str = "safe", workers: int = 4, entries: int = 4
) -> limited_fleet.LimitedFleet:
    fleet = limited_fleet.LimitedFleet(folder, service)
    await fleet.start(entries, workers)
    for worker in fleet.workers:
        worker.behaviour.work_s = WORK_S
    return fleet


def allowance(limit: float, seconds: float) -> float:
    return limit * seconds + EXTRA_REQUESTS


def check_limit(fleet, worker, limit: float, since: float, until: float) -> None:
    most = fleet.max_started_in(worker, WINDOW_S, since, until)
    assert most <= allowance(limit, WINDOW_S), (worker.instance, most, allowance(limit, WINDOW_S))


def p95_duration_s(requests: list[limited_fleet.SentRequest]) -> float:
    """Return the 95th percentile of the response times, in seconds."""
    durations = sorted(each.duration_s for each in requests)
    return durations[int(0.95 * len(durations))]


def check_utilisation(fleet, limit: float, since: float, until: float) -> None:
    for worker in fleet.workers:
        check_limit(fleet, worker, limit, since, until)
    started = sum(fleet.count_started(worker, since, until) for worker in fleet.workers)
    allowed = limit * len(fleet.workers) * (until - since)
    assert started >= UTILISATION_MIN * allowed, (started, allowed)


# Tests that count requests in time windows are marked, since a stalled process sends bursts.
@pytest.mark.timed
@pytest.mark.parametrize("service", ["safe", "unsafe", "model"])
def test_entries_together_keep_limit_of_one_worker(service, tmp_path):
    async def scenario():
        fleet = await start_fleet(tmp_path, service)
        limited = fleet.workers[0]
        limited.behaviour.limit = "4"
        started_at = await fleet.send_at_rate(100, 5.0)
        await fleet.wait_for_responses()
        since, until = started_at + PROPAGATION_S, started_at + 5.0
        check_limit(fleet, limited, 4, since, until)
        requests = fleet.sent_between(since, until)
        assert sum(each.is_served() for each in requests) >= 0.99 * len(requests)
        # The limited worker must still be used up to its limit.
        assert (
            fleet.count_started(limited, since, until) >= UTILISATION_MIN * 4 * (until - since) - 1
        )
        await fleet.stop()

    asyncio.run(scenario())


@pytest.mark.timed
@pytest.mark.parametrize("entries", [[0, 1, 2, 3], [0]], ids=["all entries", "one entry"])
def test_limits_are_used_up_and_excess_requests_refused_at_once(entries, tmp_path):
    async def scenario():
        fleet = await start_fleet(tmp_path)
        for worker in fleet.workers:
            worker.behaviour.limit = "6"
        unknown = asyncio.create_task(fleet.send_at_rate(20, 5.0, entries, UNKNOWN_KEY))
        started_at = await fleet.send_at_rate(60, 5.0, entries)
        await unknown
        await fleet.wait_for_responses()
        since, until = started_at + PROPAGATION_S, started_at + 5.0
        check_utilisation(fleet, 6, since, until)
        not_served = [each for each in fleet.sent_between(since, until) if not each.is_served()]
        refused = [each for each in not_served if each.key != UNKNOWN_KEY]
        assert {each.response.status for each in refused} == {503}
        baseline_s = p95_duration_s([each for each in not_served if each.key == UNKNOWN_KEY])
        assert p95_duration_s(refused) <= baseline_s + REFUSAL_DELAY_MAX_S, (
            p95_duration_s(refused),
            baseline_s,
        )
        assert all(each.retry_after_s() > 0 for each in refused)
        await fleet.stop()

    asyncio.run(scenario())


@pytest.mark.timed
def test_limits_are_used_up_after_entries_end_and_join(tmp_path):
    async def scenario():
        fleet = await start_fleet(tmp_path)
        for worker in fleet.workers:
            worker.behaviour.limit = "6"
        await fleet.send_at_rate(60, 2.0)
        for entry in fleet.entries[2:]:
            crashing_fleet.kill_entry(entry)
        started_at = await fleet.send_at_rate(60, 3.0, [0, 1])
        check_utilisation(fleet, 6, started_at + 1.0, fleet.now())
        await fleet.add_entry(f"{fleet_nodes.NETWORK}.39")
        started_at = await fleet.send_at_rate(60, 3.0, [0, 1, 4])
        check_utilisation(fleet, 6, started_at + 1.0, fleet.now())
        await fleet.wait_for_responses()
        await fleet.stop()

    asyncio.run(scenario())


@pytest.mark.timed
def test_limits_are_kept_while_leader_is_lost(tmp_path):
    async def scenario():
        fleet = await start_fleet(tmp_path)
        for worker in fleet.workers:
            worker.behaviour.limit = "6"
        await fleet.send_at_rate(60, 2.0)
        started_at = fleet.now()
        fleet.controls.kill(fleet.controls.leader())
        await fleet.send_at_rate(60, 4.0)
        for worker in fleet.workers:
            check_limit(fleet, worker, 6, started_at, fleet.now())
        await fleet_nodes.until(fleet.controls.leader)
        started_at = await fleet.send_at_rate(60, 3.0)
        check_utilisation(fleet, 6, started_at + 1.0, fleet.now())
        await fleet.wait_for_responses()
        await fleet.stop()

    asyncio.run(scenario())


@pytest.mark.timed
def test_account_with_few_requests_is_served_beside_busy_account(tmp_path):
    async def scenario():
        fleet = await start_fleet(tmp_path)
        for worker in fleet.workers:
            worker.behaviour.limit = "6"
        await fleet.send_at_rate(60, 1.0)
        started_at = fleet.now()
        second_account = asyncio.create_task(fleet.send_at_rate(4, 4.0, key="key-2"))
        await fleet.send_at_rate(60, 4.0)
        await second_account
        await fleet.wait_for_responses()
        requests = [
            each for each in fleet.sent_between(started_at, fleet.now()) if each.key == "key-2"
        ]
        assert sum(each.is_served() for each in requests) >= 0.8 * len(requests)
        await fleet.stop()

    asyncio.run(scenario())


@pytest.mark.timed
def test_limit_received_by_one_entry_applies_at_all_entries(tmp_path):
    async def scenario():
        fleet = await start_fleet(tmp_path, workers=2)
        limited = fleet.workers[0]
        limited.behaviour.limit = "3"
        await fleet.send_at_rate(40, 1.0, [0])
        signals = [entry.node.pool.signals for entry in fleet.entries]
        await fleet_nodes.until(lambda: all(known.count_limited() == 1 for known in signals))
        started_at = await fleet.send_at_rate(100, 3.0, [1, 2, 3])
        check_limit(fleet, limited, 3, started_at, fleet.now())
        limited.behaviour.limit = None
        await fleet.send_at_rate(40, 1.5, [0])
        await fleet_nodes.until(lambda: not any(known.count_limited() for known in signals))
        await fleet.wait_for_responses()
        await fleet.stop()

    asyncio.run(scenario())


@pytest.mark.timed
def test_latest_limit_applies_until_it_is_no_longer_advertised(tmp_path):
    async def scenario():
        fleet = await start_fleet(tmp_path)
        limited = fleet.workers[0]
        for limit in (8.0, 0.5, 6.0):
            limited.behaviour.limit = f"{limit:g}"
            since = await fleet.send_at_rate(100, 4.0) + PROPAGATION_S
            check_limit(fleet, limited, limit, since, fleet.now())
        limited.behaviour.limit = None
        unlimited_since = await fleet.send_at_rate(100, 4.0) + 2.0
        assert fleet.count_started(limited, unlimited_since, fleet.now()) >= 20
        await fleet.wait_for_responses()
        await fleet.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("text", ["nan", "-5", "1e400", "0", "", "3, 4", "1" * 21, "x"])
def test_invalid_limit_header_is_ignored(text, tmp_path):
    async def scenario():
        fleet = await start_fleet(tmp_path, workers=1, entries=1)
        fleet.workers[0].behaviour.limit = text
        await fleet.send_at_rate(50, 1.0)
        await fleet.wait_for_responses()
        assert all(each.is_served() for each in fleet.requests)
        await fleet.stop()

    asyncio.run(scenario())


# Guards against plain back ends, which have no agent, that get all requests while they are cold.
@pytest.mark.timed
async def test_cold_back_ends_without_agent_get_permits_of_the_leader(tmp_path):
    fleet = await start_fleet(tmp_path, workers=2)
    body = fleet_nodes.configuration(2, ["safe"])
    body["services"][0]["cold_per_s"] = 6
    for entry in fleet.entries:
        entry.node.settings.bounds.cold_overage = 1.5
        entry.node.settings.bounds.cold_slack = 5.0
    await fleet.controls.until_acknowledged("PUT", "/config", body)
    fleet.cold_ms = 60_000

    def known() -> list[tuple]:
        """Return what each entry knows of each back end, with the time on its clock."""
        pools = [entry.node.pool for entry in fleet.entries]
        return [(b.availability, pool.clock()) for pool in pools for b in pool.backends.values()]

    await fleet_nodes.until(lambda: all(a.needs_leader_permit(now) for a, now in known()))
    since = await fleet.send_at_rate(30.0, 4.0) + PROPAGATION_S
    await fleet.wait_for_responses()
    for worker in fleet.workers:
        # 6 x 1.5 + 5 in a second.
        assert fleet.max_started_in(worker, 1.0, since, since + 3.0) <= 14
    started = sum(fleet.count_started(worker, since, since + 3.0) for worker in fleet.workers)
    assert started >= UTILISATION_MIN * 2 * 6 * 3.0, started
    fleet.cold_ms = 0
    await fleet_nodes.until(
        lambda: not any(a.lacks_permit(now) or a.needs_leader_permit(now) for a, now in known())
    )
    await fleet.stop()
