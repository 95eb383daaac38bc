"""What entries and control VMs know about cold back ends.

Guards against entries that take a cold back end for warm, because it does not say, says so in a
response only, or becomes cold again, and against those that never take it for warm again.
"""

import asyncio

import pytest

from merlinthread import logs
from merlinthread.coordination import cold_limits, fleet, instances, load_tracker
from merlinthread.nodes import node_settings
from merlinthread.protocol import node_messages
from tests import fleet_nodes, single_entry_fleet

COLD_START_S = 20.0
BOUNDS = node_settings.Bounds(cold_overage=1.5, cold_slack=5.0)


def configuration() -> dict:
    body = fleet_nodes.configuration(1, ["safe"])
    body["services"][0] |= {"cold_per_s": 18, "cold_start_s": COLD_START_S}
    return body


def make_entry() -> fleet_nodes.Entry:
    entry = fleet_nodes.Entry(fleet_nodes.make_settings("entry", bounds=BOUNDS))
    entry.apply_update(configuration(), {})
    return entry


def heartbeat(sequence: int = 9, **changes) -> fleet.Heartbeat:
    return fleet.Heartbeat("i", "safe", "10.0.0.1:1", "z", 4, fleet.READY, sequence, **changes)


def cold_for_s(entry, beat, is_full=False, age_s=0.0) -> float:
    """Return how long the entry takes a back end for cold after a heartbeat."""
    now = entry.node.clock()
    entry.node.watcher.instance_table.apply_instance(instances.Instance(beat, age_s), now, is_full)
    entry.node.pool.update()
    return max(0.0, entry.node.pool.backends["i"].availability.cold.until - now)


@pytest.mark.parametrize(
    ("beat", "is_full", "cold_s"),
    [
        (heartbeat(), False, COLD_START_S),
        (heartbeat(1), True, COLD_START_S),
        # It was there before this entry.
        (heartbeat(), True, 0.0),
        (heartbeat(1, reports_cold=True), False, 0.0),
        (heartbeat(cold_s=7.0, reports_cold=True), True, 7.0),
        # A control VM of an older build omits that it is reported.
        (heartbeat(cold_s=7.0), True, 7.0),
    ],
)
def test_back_end_that_has_just_appeared_is_cold_until_it_says_otherwise(beat, is_full, cold_s):
    assert cold_for_s(make_entry(), beat, is_full) == pytest.approx(cold_s)


def test_assumption_ends_with_the_first_heartbeat_that_says_otherwise():
    entry = make_entry()
    assert cold_for_s(entry, heartbeat()) == pytest.approx(COLD_START_S)
    assert cold_for_s(entry, heartbeat(10)) == pytest.approx(COLD_START_S, abs=1.0)
    later = entry.node.clock() + 2 * cold_limits.REPORT_DELAY_S
    watcher = entry.node.watcher
    watcher.instance_table.apply_instance(
        instances.Instance(heartbeat(11, reports_cold=True)), later
    )
    entry.node.pool.update()
    assert not entry.node.pool.backends["i"].availability.cold.is_cold(later)


# Guards against a back end that counts as started again after its heartbeats were lost for a while.
def test_back_end_that_reappears_is_not_assumed_to_be_cold():
    entry = make_entry()
    cold_for_s(entry, heartbeat(reports_cold=True))
    entry.node.watcher.instance_table.remove("i")
    entry.node.pool.update()
    assert cold_for_s(entry, heartbeat(30)) == 0.0


def test_next_incarnation_is_cold_anew():
    entry = make_entry()
    cold_for_s(entry, heartbeat(reports_cold=True))
    next_one = fleet.Heartbeat("i@5", "safe", "10.0.0.1:1", "z", 4, fleet.READY, 1)
    entry.node.watcher.instance_table.apply_instance(
        instances.Instance(next_one), entry.node.clock(), False
    )
    entry.node.pool.update()
    assert entry.node.pool.backends["i@5"].availability.cold.is_cold(entry.node.clock())


# Guards against control VMs that tell entries only of the first start.
@pytest.mark.parametrize(
    ("cold_s", "is_changed"), [(18.8, False), (19.5, False), (20.0, True), (0.0, True)]
)
def test_control_vm_tells_entries_of_a_cold_time_that_begins_anew(cold_s, is_changed):
    registry = instances.InstanceRegistry(1.2)
    registry.record_heartbeat(heartbeat(1, cold_s=20.0, reports_cold=True), 0.0)
    position = registry.position
    later = heartbeat(2, cold_s=cold_s, reports_cold=True)
    assert registry.record_heartbeat(later, 1.2) == is_changed
    assert (registry.position > position) == is_changed


@pytest.mark.parametrize(("header", "is_cold"), [(b"9000", True), (b"0", False), (b"x", False)])
def test_entry_reads_the_cold_time_in_a_response(header, is_cold):
    async def scenario():
        fleet = await single_entry_fleet.SingleEntryFleet("safe", 1).start()
        fleet.workers[0].behaviour.extra_headers = [(b"X-Merlinthread-Cold-Ms", header)]
        assert (await fleet.request()).status == 200
        availability = fleet.entry.node.pool.signals.availability_of("i-0")
        assert availability.cold.is_cold(fleet.now()) == is_cold

    asyncio.run(scenario())


# Guards against a report from before the cold start that ends it.
def test_agent_reports_the_end_of_a_cold_start():
    entry = make_entry()
    cold_for_s(entry, heartbeat(cold_s=9.0, reports_cold=True), age_s=2.0)
    backend = entry.node.pool.backends["i"]
    entry.node.pool.cold_starts.apply_agent_report(backend, None)
    assert backend.availability.cold.is_cold(entry.node.clock())
    entry.node.pool.cold_starts.apply_agent_report(backend, 0.0)
    assert not backend.availability.cold.is_cold(entry.node.clock())
    entry.node.pool.cold_starts.apply_agent_report(backend, 5.0)
    assert backend.availability.cold.is_cold(entry.node.clock())


def test_change_of_state_is_logged_once(monkeypatch):
    lines = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: lines.append(name))
    entry = make_entry()
    cold_for_s(entry, heartbeat(cold_s=9.0, reports_cold=True), age_s=2.0)
    entry.node.pool.update()
    entry.node.pool.cold_starts.apply_agent_report(entry.node.pool.backends["i"], 0.0)
    entry.node.pool.update()
    assert [name for name in lines if name.startswith("backend_")] == [
        "backend_cold",
        "backend_warm",
    ]


def test_reply_of_an_agent_carries_the_cold_time():
    entry = make_entry()

    async def scenario():
        prober = entry.node.prober
        task = asyncio.ensure_future(prober.query(["10.0.0.1:2"], 5.0))
        await asyncio.sleep(0)
        number = next(iter(prober.pending_queries))
        prober.receive(node_messages.LoadReply(number, 0, 0, 0.0, cold_s=4.0))
        assert await task == {
            "10.0.0.1:2": load_tracker.EngineLoad(load_tracker.Outstanding(), cold_s=4.0)
        }

    asyncio.run(scenario())
