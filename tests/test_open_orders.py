"""Pieces of another version are not staged while an order to load weights may still be taken.

Guards against tokens of layers that took pieces of two versions: an engine that is slow takes an
order after its agent has stopped waiting for the response.
"""

import asyncio

import hypothesis
import pytest
from hypothesis import strategies

from merlinthread import errors
from merlinthread.coordination import fleet as fleet_types
from merlinthread.coordination import load_orders, load_proof
from merlinthread.nodes import agent_node, engine_client, piece_store
from tests import fleet_nodes
from tests.test_weights_task import PIECES, make_pieces, run

MANIFEST = fleet_types.Manifest("m", 2, 16, [""] * 16)
# How long an engine is busy with an order that it has taken.
LOAD_S = 0.8


class TakenLoads:
    """Records whether each load took the pieces of its own version, and what entries are told."""

    def __init__(self, engine, takes_late: bool = False) -> None:
        self.engine = engine
        self.are_right: dict[int, bool] = {}
        self.take_pieces = engine.take_pieces
        self.execute_order = engine.execute_order
        engine.take_pieces = self.record
        self.told: set[int] = set()
        # Set once the engine goes on with the orders that it has received.
        self.release = asyncio.Event()
        self.received = 0
        if takes_late:
            # The engine takes the pieces once it is free.
            engine.take_pieces = lambda order: None
            engine.execute_order = self.execute

    def execute(self, order: dict) -> None:
        self.record(order)
        self.execute_order(order)

    def record(self, order: dict) -> None:
        self.take_pieces(order)
        loaded = self.engine.loaded_pieces
        version = order["version"]
        pieces = [loaded.get(index) for index in range(PIECES)]
        self.are_right[version] = pieces == make_pieces(version)

    def watch(self, agent) -> None:
        send_load = agent.send_load

        def record_report(report):
            if not report.is_busy:
                self.told |= {weights.version for weights in report.weights}
            send_load(report)

        agent.send_load = agent.weights.loader.on_report_changed = record_report


async def publish_slowly(fleet, monkeypatch) -> TakenLoads:
    """Publish version 3 once an engine has received the order for version 2.

    It takes orders, whether or not their sender still waits, once `release` of the result is set.
    """
    fleet.origin.pieces[3] = make_pieces(3)
    monkeypatch.setattr(engine_client, "LOCAL_TIMEOUT_S", 0.3)
    await fleet.wait_until_loaded(1)
    engine = fleet.engines[0]
    loads = TakenLoads(engine)
    loads.watch(fleet.agents[0])
    serve = engine.order

    async def receive(exchange):
        loads.received += 1
        await asyncio.shield(asyncio.create_task(take(exchange)))

    async def take(exchange):
        await loads.release.wait()
        await serve(exchange)

    engine.order = receive
    fleet.publish(2)
    await fleet_nodes.until(lambda: loads.received)
    fleet.publish(3)
    return loads


async def until_unanswered(fleet) -> None:
    """Wait until the agent has given up waiting for the response to its order."""
    orders = fleet.agents[0].weights.loader.orders
    await fleet_nodes.until(lambda: orders.order is not None and orders.order.unanswered > 1)


async def restart_agent(fleet) -> None:
    """Replace the agent by another process, which knows nothing of its orders."""
    ip = fleet.agents[0].settings.ip
    fleet.stop_agent(0)
    await fleet_nodes.until(lambda: fleet_nodes.is_udp_port_free(ip, fleet.port))
    await fleet.start_agent(0)


def test_order_that_is_taken_late_takes_pieces_of_its_own_version(monkeypatch):
    async def scenario(fleet):
        loads = await publish_slowly(fleet, monkeypatch)
        await until_unanswered(fleet)
        loads.release.set()
        await fleet.wait_until_loaded(3)
        assert loads.are_right == {2: True, 3: True}

    run(1, scenario)


# Guards against an agent that waits without end for an engine that does not count its orders.
def test_order_of_an_engine_whose_revision_does_not_change_ends_with_its_load():
    async def scenario(fleet):
        fleet.origin.pieces[3] = make_pieces(3)
        engine = fleet.engines[0]
        take_pieces = engine.take_pieces

        def take_uncounted(order):
            engine.revision = 0
            take_pieces(order)

        engine.take_pieces = take_uncounted
        for version in (1, 2, 3):
            fleet.publish(version)
            await fleet.wait_until_loaded(version)
        await fleet_nodes.until(lambda: not fleet.agents[0].weights.store.is_suspended)

    run(1, scenario)


# Guards against a wait that delays the download of the next version.
def test_agent_does_not_wait_for_the_reload_time_of_a_finished_load(monkeypatch):
    async def scenario(fleet):
        monkeypatch.setattr(engine_client, "LOCAL_TIMEOUT_S", 0.3)
        await fleet.wait_until_loaded(1)
        loader, engine = fleet.agents[0].weights.loader, fleet.engines[0]
        wait_for_reload, serve = loader.await_reload_time, engine.order
        release = asyncio.Event()
        are_loaded = []

        async def record_wait(manifest):
            are_loaded.append(loader.has_loaded(manifest))
            await wait_for_reload(manifest)

        async def take(exchange):
            await release.wait()
            await serve(exchange)

        loader.await_reload_time = record_wait
        engine.order = lambda exchange: asyncio.shield(asyncio.create_task(take(exchange)))
        fleet.publish(2)
        await until_unanswered(fleet)
        release.set()
        await fleet.wait_until_loaded(2)
        await fleet_nodes.until(lambda: loader.has_loaded(fleet.agents[0].weights.manifest))
        await asyncio.sleep(0.3)
        assert are_loaded == [False]

    run(1, scenario)


# Guards against an order that is forgotten when the engine is silent for so long that it is lost.
def test_order_of_an_engine_that_was_lost_and_found_takes_pieces_of_its_own_version(monkeypatch):
    async def scenario(fleet):
        monkeypatch.setattr(agent_node, "ENGINE_SILENCE_MAX_S", 0.1)
        loads = await publish_slowly(fleet, monkeypatch)
        engine, loader = fleet.engines[0], fleet.agents[0].weights.loader
        report, losses = engine.report, loader.loss_count

        async def report_late(exchange):
            await asyncio.sleep(0.0 if loader.loss_count > losses else 0.6)
            await report(exchange)

        engine.report = report_late
        await fleet_nodes.until(lambda: loader.loss_count > losses)
        loads.release.set()
        await fleet.wait_until_loaded(3)
        assert loads.are_right == {2: True, 3: True}

    run(1, scenario)


# Guards against newer pieces that are staged before an engine that has accepted an order is free to
# take the older ones.
@pytest.mark.parametrize("is_answered", [True, False])
def test_no_piece_is_staged_until_an_accepted_order_is_carried_out(monkeypatch, is_answered):
    async def scenario(fleet):
        loads = TakenLoads(fleet.engines[0], takes_late=True)
        if is_answered:
            await fleet.wait_until_loaded(1)
            fleet.origin.pieces[3] = make_pieces(3)
            fleet.engines[0].behaviour.order_delay_s = LOAD_S
            fleet.publish(2)
            await fleet_nodes.until(lambda: fleet.engines[0].revision == 2)
            fleet.publish(3)
        else:
            fleet.engines[0].behaviour.order_delay_s = LOAD_S
            slow_loads = await publish_slowly(fleet, monkeypatch)
            await until_unanswered(fleet)
            slow_loads.release.set()
        await fleet.wait_until_loaded(3)
        assert loads.are_right == {1: True, 2: True, 3: True}

    run(1, scenario)


# Guards against an engine that stays on old weights since pieces wait for the fate of an order.
def test_newer_pieces_are_downloaded_while_an_order_is_open(monkeypatch):
    async def scenario(fleet):
        loads = await publish_slowly(fleet, monkeypatch)
        weights = fleet.agents[0].weights
        await fleet_nodes.until(lambda: len(weights.store.buffered) == PIECES)
        assert fleet.engines[0].revision == 1
        loads.release.set()
        await fleet.wait_until_loaded(3)
        assert not weights.store.buffered

    run(1, scenario)


# Guards against two loads by copies of one order.
def test_copies_of_an_order_are_taken_once(monkeypatch):
    async def scenario(fleet):
        loads = await publish_slowly(fleet, monkeypatch)
        await until_unanswered(fleet)
        loads.release.set()
        await fleet.wait_until_loaded(3)
        assert fleet.engines[0].revision == 3

    run(1, scenario)


# Guards against an agent that does not know of the order of the process before it.
def test_load_ordered_by_an_ended_agent_is_not_used_unless_its_pieces_are_right(monkeypatch):
    async def scenario(fleet):
        loads = await publish_slowly(fleet, monkeypatch)
        await restart_agent(fleet)
        loads.watch(fleet.agents[0])
        fleet.publish(3)
        received = loads.received
        await fleet_nodes.until(lambda: loads.received > received)
        # The order of the ended agent is taken first, with the pieces of version 3.
        loads.release.set()
        await fleet.wait_until_loaded(3)
        await fleet_nodes.until(lambda: 3 in loads.told)
        assert loads.are_right == {2: False, 3: True}
        assert 2 not in loads.told

    run(1, scenario)


def test_sound_load_ordered_by_an_ended_agent_is_used(monkeypatch):
    async def scenario(fleet):
        monkeypatch.setattr(engine_client, "LOCAL_TIMEOUT_S", 0.3)
        await fleet.wait_until_loaded(1)
        engine = fleet.engines[0]
        engine.behaviour.order_delay_s = 0.5
        fleet.publish(2)
        await fleet_nodes.until(lambda: engine.revision == 2)
        await restart_agent(fleet)
        fleet.publish(2)
        loads = TakenLoads(engine)
        loads.watch(fleet.agents[0])
        await fleet_nodes.until(lambda: 2 in loads.told)
        assert engine.revision == 2

    run(1, scenario)


# Guards against an upload of an earlier version that arrives after the newer piece.
def test_piece_whose_upload_of_an_earlier_version_was_not_answered_is_read_back():
    class SilentEngine:
        async def stage_piece(self, model, index, data):
            raise errors.UnreachableError("no response in time")

    async def scenario():
        store = piece_store.PieceStore(SilentEngine(), 0.0)
        store.is_engine_seen = True
        await store.put("m", 3, b"piece")
        assert store.buffered == {3: b"piece"} and not store.unanswered
        store.start_version()
        assert store.unanswered == {3} and not store.buffered
        # An earlier process may have uploaded any piece.
        assert store.overwritable(5, piece_store.EARLIER_UPLOADS_S - 0.1) == set(range(5))
        assert store.overwritable(5, piece_store.EARLIER_UPLOADS_S) == {3}
        assert store.overwritable(3, piece_store.EARLIER_UPLOADS_S) == set()
        store.record_engine_end()
        assert not store.overwritable(5, 0.0)

    asyncio.run(scenario())


@pytest.mark.parametrize("is_first", [True, False])
@pytest.mark.parametrize("status", [200, 202, 409, 503])
def test_refusal_of_one_copy_leaves_the_others_open(status, is_first):
    order = load_orders.LoadOrder(MANIFEST, 4, unanswered=0 if is_first else 1)
    order.record_status(status)
    if status == 202 or (status == 200 and not is_first):
        assert order.fate is load_orders.Fate.TAKEN
    else:
        assert order.is_open() is (status != 200 and not is_first)


class SimulatedEngine:
    """An engine that takes copies of orders in any order, at any time."""

    def __init__(self) -> None:
        self.revision = 0
        self.staged = 1
        self.taken: list[tuple[int, int]] = []
        self.copies: list[load_orders.LoadOrder] = []

    def take(self, order: load_orders.LoadOrder) -> int:
        if order.revision != self.revision:
            return 409
        self.revision += 1
        self.taken.append((order.manifest.version, self.staged))
        return load_orders.STATUS_ACCEPTED


# Whatever is lost or late, an order never takes pieces of another version.
@hypothesis.given(
    strategies.lists(strategies.sampled_from(["send", "lose", "take", "report", "next"]))
)
def test_order_never_takes_pieces_of_another_version(steps):
    engine = SimulatedEngine()
    order = None
    for step in steps:
        if order is not None and not order.is_open():
            order = None
        if step == "next" and order is None:
            engine.staged += 1
        elif step in ("send", "lose"):
            if order is None:
                manifest = fleet_types.Manifest("m", engine.staged, 16, [])
                order = load_orders.LoadOrder(manifest, engine.revision)
            if step == "lose":
                order.unanswered += 1
                engine.copies.append(order)
            else:
                order.record_status(engine.take(order))
        elif step == "take" and engine.copies:
            engine.take(engine.copies.pop(0))
        elif step == "report" and order is not None:
            order.record_revision(engine.revision)
    assert all(version == staged for version, staged in engine.taken)


def test_weights_that_appear_without_an_order_are_unproven():
    proof = load_proof.LoadProof()
    reports = [
        fleet_types.EngineReport(weights=[fleet_types.Weights("m", version, 16)])
        for version in (1, 2)
    ]
    assert proof.observe(reports[0], "m") == []
    assert proof.report_for_entries(reports[0]) is reports[0]
    assert proof.observe(reports[1], "m") == [("m", 2)]
    assert proof.report_for_entries(reports[1]).is_busy
    assert proof.pieces_to_verify(MANIFEST) == range(16)
    proof.record_verified(MANIFEST, [])
    assert proof.report_for_entries(reports[1]) is reports[1]


def test_weights_of_an_unmanaged_model_are_used_as_reported():
    proof = load_proof.LoadProof()
    proof.observe(fleet_types.EngineReport(), "")
    report = fleet_types.EngineReport(weights=[fleet_types.Weights("other", 2, 16)])
    assert proof.observe(report, "m") == []
    assert proof.report_for_entries(report) is report


# Guards against entries that are told of an unproven load once the next version is ordered.
def test_unproven_load_stays_unproven_when_the_next_version_is_ordered():
    proof = load_proof.LoadProof()
    proof.observe(fleet_types.EngineReport(weights=[fleet_types.Weights("m", 1, 16)]), "m")
    proof.begin(MANIFEST, [])
    proof.accept(range(16))
    proof.begin(fleet_types.Manifest("m", 3, 16, [""] * 16), [])
    report = fleet_types.EngineReport(weights=[fleet_types.Weights("m", 2, 16)])
    assert proof.report_for_entries(report).is_busy
    proof.accept([])
    proof.observe(fleet_types.EngineReport(weights=[fleet_types.Weights("m", 3, 16)]), "m")
    assert not proof.loads
