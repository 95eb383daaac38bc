"""Back ends that restart under the same id.

Guards against applying state of an earlier incarnation to a later one.
"""

import asyncio
import json

import hypothesis
import pytest
from hypothesis import strategies as st

from merlinthread import errors, logs
from merlinthread.coordination import fleet, incarnations, instances
from merlinthread.nodes import agent_node
from merlinthread.platform import bodies
from merlinthread.protocol import node_messages
from tests import crashing_fleet, fleet_nodes

HEARTBEAT_INTERVAL_S = 1.2
STARTED_MS = 1_767_000_000_000


def make_heartbeat(born=STARTED_MS, sequence=1, state=fleet.READY, id_="i", address="1.1.1.1:1"):
    name = incarnations.Incarnation(id_, born).name()
    return fleet.Heartbeat(name, "s", address, "z", 4, state, sequence)


def registry_with(*heartbeats) -> instances.InstanceRegistry:
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    for number, heartbeat in enumerate(heartbeats):
        registry.record_heartbeat(heartbeat, 0.1 * number)
    return registry


def known_names(registry) -> list[str]:
    return list(registry.known)


def test_later_incarnation_replaces_earlier_whatever_its_sequence():
    registry = registry_with(
        make_heartbeat(sequence=50), make_heartbeat(STARTED_MS + 5000, sequence=1)
    )
    assert known_names(registry) == [make_heartbeat(STARTED_MS + 5000).instance]
    registry = registry_with(
        make_heartbeat(sequence=50), make_heartbeat(STARTED_MS + 5000, sequence=9)
    )
    assert known_names(registry) == [make_heartbeat(STARTED_MS + 5000).instance]


def test_late_heartbeat_of_earlier_incarnation_is_ignored():
    registry = registry_with(
        make_heartbeat(sequence=50), make_heartbeat(STARTED_MS + 5000), make_heartbeat(sequence=51)
    )
    assert known_names(registry) == [make_heartbeat(STARTED_MS + 5000).instance]
    # The same at a control VM that did not know the earlier incarnation.
    registry = registry_with(make_heartbeat(STARTED_MS + 5000), make_heartbeat(sequence=2))
    assert known_names(registry) == [make_heartbeat(STARTED_MS + 5000).instance]


@pytest.mark.parametrize("sequence", [1, 2])
def test_next_incarnation_of_draining_or_gone_back_end_is_ready(sequence):
    registry = registry_with(
        make_heartbeat(sequence=5, state=fleet.DRAINING), make_heartbeat(STARTED_MS + 1, sequence)
    )
    assert registry.known[make_heartbeat(STARTED_MS + 1).instance].heartbeat.state == fleet.READY
    registry = registry_with(make_heartbeat(sequence=5))
    registry.mark_gone(registry.latest("i"))
    assert not registry.record_heartbeat(make_heartbeat(sequence=6), 1.0)
    assert registry.record_heartbeat(make_heartbeat(STARTED_MS + 1, sequence), 1.1)


def test_back_end_gone_before_first_heartbeat_returns_as_new_incarnation():
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.mark_gone(registry.latest("i"))
    assert not registry.record_heartbeat(make_heartbeat(sequence=40), 0.0)
    assert registry.record_heartbeat(make_heartbeat(sequence=1), 0.1)


def test_incarnation_with_earlier_start_is_accepted_once_other_is_silent():
    registry = registry_with(make_heartbeat(sequence=50))
    assert not registry.record_heartbeat(make_heartbeat(STARTED_MS - 60_000, sequence=1), 0.5)
    assert registry.record_heartbeat(make_heartbeat(STARTED_MS - 60_000, sequence=3), 2.4)
    assert known_names(registry) == [make_heartbeat(STARTED_MS - 60_000).instance]
    # If that was a late heartbeat after all, the other incarnation is accepted again.
    assert registry.record_heartbeat(make_heartbeat(sequence=51), 4.6)


# Guards against replacing a silent back end because of a late heartbeat of its predecessor.
@pytest.mark.parametrize("born", [0, STARTED_MS])
def test_late_heartbeat_of_predecessor_is_ignored_while_back_end_is_silent(born):
    predecessor = make_heartbeat(born, sequence=40, id_="old")
    current = make_heartbeat(born and born + 1, sequence=1, id_="new")
    registry = registry_with(predecessor)
    registry.record_heartbeat(current, 0.1, is_confirmed=True)
    late = make_heartbeat(born, sequence=41, id_="old")
    # One heartbeat interval, and a silence of more than a second.
    assert not registry.record_heartbeat(late, 0.1 + HEARTBEAT_INTERVAL_S + 1.6)
    assert known_names(registry) == [current.instance]


# Guards against removing a silent back end for good because of a late heartbeat of its predecessor,
# of which a restarted control VM does not know that it has ended.
@pytest.mark.parametrize("born", [0, STARTED_MS])
def test_silent_back_end_that_a_late_heartbeat_replaced_returns(born):
    current = make_heartbeat(born, sequence=50, id_="new")
    registry = registry_with(current)
    late = make_heartbeat(born, sequence=41, id_="old")
    assert registry.record_heartbeat(late, 2.6)
    heard_at = [2.7, 3.9, 5.1]
    for number, at in enumerate(heard_at):
        registry.record_heartbeat(make_heartbeat(born, sequence=51 + number, id_="new"), at)
    assert known_names(registry) == [current.instance]


def test_heartbeats_without_start_time_are_ordered_by_sequence():
    registry = registry_with(make_heartbeat(0, sequence=5))
    assert not registry.record_heartbeat(make_heartbeat(0, sequence=4), 0.2)
    assert known_names(registry) == ["i"]


def test_watcher_replaces_state_of_earlier_incarnation():
    async def scenario():
        watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
        reported = [instances.Instance(make_heartbeat(sequence=50, state=fleet.DRAINING))]
        watcher.apply(node_messages.WatchReply("f", 1, False, reported, [], [], 0, b"", [], 0.0))
        reported = [instances.Instance(make_heartbeat(STARTED_MS + 1, address="2.2.2.2:2"))]
        watcher.apply(node_messages.WatchReply("f", 2, False, reported, [], [], 0, b"", [], 0.0))
        assert [known.state for known in watcher.instance_table.instances.values()] == [fleet.READY]

    asyncio.run(scenario())


def test_requests_go_to_new_incarnation_after_restart_under_same_id(
    tmp_path,
):
    async def scenario(fleet_):
        worker = fleet_.workers[0]
        pool = fleet_.entries[0].node.pool
        (earlier,) = pool.backends
        worker.behaviour.work_s = 0.3
        pending = asyncio.get_running_loop().create_task(fleet_.request_or_none(0, b"slow"))
        await fleet_nodes.until(lambda: worker.running)
        worker.crash_now()
        await worker.restart()
        await fleet_nodes.until(lambda: earlier not in pool.backends and pool.backends)
        (later,) = pool.backends.values()
        assert later.in_flight == 0 and later.failures == 0
        worker.behaviour.work_s = 0.0
        assert (await fleet_.request(0, b"next")).status == 200
        assert worker.runs[-1].headers["x-merlinthread-expect-instance"] == worker.name
        await pending

    async def run_scenario():
        # An unsafe request is not retried, so it can't be in flight at the later incarnation.
        fleet_ = crashing_fleet.CrashingFleet(tmp_path, "unsafe")
        try:
            await fleet_.start(1, 1, keeps_id=True, sends_born_ms=True)
            await scenario(fleet_)
        finally:
            await fleet_.stop()

    asyncio.run(run_scenario())


def test_departure_received_by_restarted_control_vm_applies_everywhere(tmp_path):
    async def scenario():
        controls = fleet_nodes.Controls(tmp_path)
        await controls.start_all()
        await fleet_nodes.until(controls.leader)
        body = BODY | {"born": STARTED_MS}
        await controls.until_acknowledged("PUT", "/instances/i", body | {"sequence": 7})
        nodes = controls.nodes.values()
        await fleet_nodes.until(lambda: all(node.registry.known for node in nodes))
        # A control VM that has just restarted and knows no heartbeat receives the departure.
        ip = next(ip for ip in controls.ips if ip != controls.leader())
        controls.nodes[ip].registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
        response = None
        while response is None or response.status != 200:
            response = await controls.call(ip, "DELETE", "/instances/i")
        await fleet_nodes.until(lambda: not any(node.registry.known for node in nodes))
        # A delayed heartbeat is ignored everywhere; the next incarnation is accepted everywhere.
        await controls.call(ip, "PUT", "/instances/i", body | {"sequence": 8})
        assert not any(node.registry.known for node in nodes)
        await controls.call(ip, "PUT", "/instances/i", BODY | {"born": STARTED_MS + 9000})
        await fleet_nodes.until(lambda: all(node.registry.known for node in nodes))
        for ip in list(controls.nodes):
            controls.kill(ip)

    asyncio.run(scenario())


def test_load_report_of_earlier_incarnation_is_ignored():
    async def scenario():
        entry = fleet_nodes.Entry()
        pool = entry.node.pool
        pool.watcher.instance_table.instances = {
            make_heartbeat(STARTED_MS + 1).instance: make_heartbeat(STARTED_MS + 1)
        }
        pool.update()
        for born, expected in ((STARTED_MS, 0), (STARTED_MS + 1, 3), (0, 4)):
            report = fleet.EngineReport(running=max(3, expected), born_ms=born)
            pool.apply_load_update(node_messages.LoadUpdate("1.1.1.1:1", 1, report))
            assert pool.backends[make_heartbeat(STARTED_MS + 1).instance].others == expected

    asyncio.run(scenario())


def test_agent_detects_engine_restart_by_start_time():
    class FakeWeights:
        def __init__(self):
            self.reports = []

        def record_engine_report(self, report):
            self.reports.append(report)

        def record_engine_end(self):
            pass

    agent = agent_node.AgentNode.__new__(agent_node.AgentNode)
    agent.born_ms, agent.last_report, agent.weights = 0, fleet.EngineReport(), FakeWeights()
    agent.detect_restart(fleet.EngineReport(born_ms=STARTED_MS))
    agent.detect_restart(fleet.EngineReport(born_ms=STARTED_MS))
    assert agent.weights.reports == []
    # A report without a start time, or with one that can't be read, is not of another engine.
    agent.detect_restart(fleet.EngineReport())
    agent.detect_restart(fleet.EngineReport(born_ms=STARTED_MS))
    assert agent.weights.reports == []
    agent.detect_restart(fleet.EngineReport(born_ms=STARTED_MS + 1))
    assert (agent.weights.reports, agent.last_report, agent.load_tracker.open) == ([None], None, {})


BODY = {
    "service": "s",
    "address": "1.1.1.1:1",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
}


@pytest.mark.parametrize("born", [-5, 0, 1.5, "1767000000000", True, 10**16, [1]])
def test_heartbeat_with_invalid_start_time_is_logged_and_refused(born, monkeypatch):
    lines = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: lines.append(fields))
    with pytest.raises(errors.ProtocolError, match="correct or omit it") as raised:
        bodies.parse_heartbeat("i", json.dumps(BODY | {"born": born}).encode())
    assert raised.value.field == "born"
    assert [(line["field"], line["value"]) for line in lines] == [("born", repr(born))]


@pytest.mark.parametrize("born", [-5, 0, 1.5, "1767000000000", True, 10**16, [1]])
def test_invalid_start_time_in_a_report_is_logged_and_ignored(born, monkeypatch):
    lines = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: lines.append(fields))
    assert bodies.parse_report(json.dumps({"born": born}).encode()).born_ms == 0
    assert [(line["field"], line["value"]) for line in lines] == [("born", repr(born))]


def test_heartbeat_with_unknown_state_is_rejected():
    with pytest.raises(errors.ProtocolError, match="state"):
        bodies.parse_heartbeat("i", json.dumps(BODY | {"state": "resting"}).encode())


def test_unreadable_models_in_heartbeat_or_report_are_skipped():
    models = [{"name": "a", "version": 1}, {"name": 7}, "x", None, {"name": "b", "version": 2}]
    body = json.dumps(BODY | {"models": models}).encode()
    assert [held.model for held in bodies.parse_heartbeat("i", body).weights] == ["a", "b"]
    body = json.dumps({"models": models}).encode()
    assert [held.model for held in bodies.parse_report(body).weights] == ["a", "b"]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=6,
)


@hypothesis.given(
    st.dictionaries(st.sampled_from([*BODY, "born", "models", "layers", "other"]), JSON),
    st.binary(max_size=20),
)
@hypothesis.settings(max_examples=500)
def test_whatever_others_write_is_read_or_refused_with_an_error_of_ours(changes, noise):
    for data in (json.dumps(BODY | changes).encode(), noise):
        for read in (
            lambda data: bodies.parse_heartbeat("i", data),
            bodies.parse_report,
            bodies.parse_manifest,
        ):
            try:
                read(data)
            except errors.MerlinthreadError:
                pass
