"""Suspended VMs, whose clock advances while timers don't.

Guards against acting on leases, deadlines and reports that expired during a suspension.
"""

import asyncio
import pathlib
import time

import pytest

from bench import layers
from merlinthread import clocks, errors
from merlinthread.coordination import crash_tracker, instances
from merlinthread.protocol import node_messages
from merlinthread.transport import connection_pool, http_messages, stream_client, stream_server
from stand_ins import fleet_worker
from tests import fleet_nodes, single_entry_fleet

ROOT = pathlib.Path(__file__).parent.parent


def test_clock_includes_suspension():
    assert clocks.now() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=1.0)


def test_platform_without_boottime_clock_is_rejected(monkeypatch):
    monkeypatch.delattr(time, "CLOCK_BOOTTIME")
    with pytest.raises(errors.SettingsError, match="CLOCK_BOOTTIME"):
        clocks.check_platform()


def test_other_clocks_are_not_imported(tmp_path):
    (tmp_path / "nodes").mkdir()
    (tmp_path / "nodes" / "module.py").write_text("import time\n")
    (tmp_path / "coordination").mkdir()
    (tmp_path / "coordination" / "module.py").write_text("from time import monotonic\n")
    assert len(layers.find_problems(tmp_path)) == 2
    assert layers.find_problems(ROOT / "src" / "merlinthread") == []


def test_resumed_leader_does_not_read_under_expired_lease(tmp_path):
    async def scenario():
        clock = fleet_nodes.SuspendableClock()
        controls = fleet_nodes.Controls(tmp_path, clock=clock)
        await controls.start_all()
        await fleet_nodes.until(controls.leader)
        body = fleet_nodes.configuration(1, ["safe"])
        await controls.until_acknowledged("PUT", "/config", body)
        leader = controls.nodes[controls.leader()]
        assert leader.api.read_local_configuration().version == 1
        clock.suspended_s = 5.0
        with pytest.raises(errors.NotLeaderError):
            leader.api.read_local_configuration()
        for ip in list(controls.nodes):
            controls.kill(ip)

    asyncio.run(scenario())


async def start_entry(
    clock: fleet_nodes.SuspendableClock,
) -> tuple[fleet_nodes.Entry, fleet_worker.Worker]:
    """Start an entry with one back end of the service "safe"."""
    entry = fleet_nodes.Entry(clock=clock)
    await entry.start()
    worker = fleet_worker.Worker("i-0")
    await worker.start()
    entry.apply_update(fleet_nodes.configuration(1, ["safe"]), {worker: "safe"})
    return entry, worker


def test_resumed_entry_treats_configuration_as_outdated():
    async def scenario():
        clock = fleet_nodes.SuspendableClock()
        entry, _ = await start_entry(clock)
        assert (await entry.request("/added-later/", "id-1")).status == 404
        clock.suspended_s = 5.0
        assert (await entry.request("/added-later/", "id-2")).status == 503

    asyncio.run(scenario())


def test_request_expired_during_suspension_is_not_sent():
    async def scenario():
        clock = fleet_nodes.SuspendableClock()
        entry, worker = await start_entry(clock)
        chooser = entry.node.chooser
        original_choose = chooser.choose

        async def choose_during_suspension(requirements, left_s):
            clock.suspended_s = 5.0
            return await original_choose(requirements, left_s)

        chooser.choose = choose_during_suspension
        response = await entry.request("/safe/", "id-1")
        assert (response.status, worker.runs) == (504, [])

    asyncio.run(scenario())


def test_versions_budgets_and_load_reports_age_during_suspension():
    async def scenario():
        clock = fleet_nodes.SuspendableClock()
        entry, _ = await start_entry(clock)
        watcher, pool = entry.node.watcher, entry.node.pool
        published = [node_messages.NamedVersion("m", 2, 0.0)]
        watcher.apply(node_messages.WatchReply("f", 9, False, [], [], published, 0, b"", [], 0.0))
        assert pool.required_version("m", clock()) == 0
        (backend,) = pool.backends.values()
        backend.probe_replied_at = clock()
        budget = pool.budget("safe")
        while budget.reserve(clock()):
            assert budget.use(clock())
        clock.suspended_s = 30.0
        assert pool.required_version("m", clock()) == 2
        assert budget.reserve(clock())
        assert not backend.has_fresh_load(clock())

    asyncio.run(scenario())


def test_heartbeats_and_crash_records_expire_during_suspension(tmp_path):
    clock = fleet_nodes.SuspendableClock()
    registry = instances.InstanceRegistry(1.2)
    heartbeat = fleet_nodes.dialect.bodies.parse_heartbeat(
        "i",
        b'{"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,"state":"ready","sequence":1}',
    )
    registry.record_heartbeat(heartbeat, clock())
    tracker = crash_tracker.CrashTracker()
    tracker.record_crash("f", "", crash_tracker.Crash(clock(), "i", clock()))
    clock.suspended_s = 2 * crash_tracker.RECORD_EXPIRY_S
    assert registry.expire(clock(), 9.6) == ["i"]
    tracker.expire(clock())
    assert not tracker.records


# Guards against taking a pause of the entry's own process for silence of its back ends.
@pytest.mark.parametrize("pause_after_s", [0.02, 0.12])
def test_stream_survives_a_pause_of_the_entry(pause_after_s):
    async def scenario():
        fleet = await single_entry_fleet.SingleEntryFleet("model", 1, work_s=0.1).start()
        (worker,) = fleet.workers
        worker.behaviour.gap_s = 0.05
        # Longer than the timeouts for the first event and between events.
        asyncio.get_running_loop().call_later(pause_after_s, time.sleep, 1.0)
        response = await fleet.request()
        assert response.status == 200
        assert response.body.count(b"data:") == worker.behaviour.events
        assert len(worker.runs) == 1 and not worker.cancelled
        assert not fleet.entry.node.pool.backends[worker.instance].failures

    asyncio.run(scenario())


# Guards against giving up a connection that was established during a pause.
def test_connection_survives_a_pause():
    async def scenario():
        server = stream_server.Server(lambda exchange: None)
        await server.listen("127.0.0.1", 0)
        port = server.listener.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        for _ in range(5):
            # The pause begins after the timer has been set, before the connection is noticed.
            loop.call_soon(loop.call_soon, time.sleep, 0.3)
            connection = await stream_client.connect(f"127.0.0.1:{port}", 0.1, 2.0)
            connection.close()

    asyncio.run(scenario())


# Guards against losing a reply that arrived during a pause, half of it before.
@pytest.mark.parametrize("is_cut", [False, True])
def test_call_of_a_node_survives_a_pause(is_cut):
    async def scenario():
        async def serve(exchange):
            exchange.start_response(200, [(b"content-length", b"2")])
            await exchange.send(b"a")
            if is_cut:
                await asyncio.sleep(0.2)
            await exchange.send(b"b")
            await exchange.finish()

        server = stream_server.Server(serve)
        await server.listen("127.0.0.1", 0)
        port = server.listener.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        pool = connection_pool.ConnectionPool(1.0, 1.0, 2.0)
        request = http_messages.Request(b"GET", b"/", [(b"host", b"c")])
        # The connection is open, so that the pause falls into the wait for the response.
        await pool.request(address, request, 1.0)
        asyncio.get_running_loop().call_later(0.1 if is_cut else 0.0, time.sleep, 0.5)
        assert (await pool.request(address, request, 0.3)).body == b"ab"

    asyncio.run(scenario())
