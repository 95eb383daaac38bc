"""Entries use new weights only once the engine is known to have taken right pieces.

Guards against tokens of bad weights: a piece may turn bad between its verification and the load, in
particular while the VM stands still, or if the engine takes the order late or is slow to read.
"""

import asyncio
import math
import random

import pytest

from merlinthread import errors
from merlinthread.coordination import fleet as fleet_types
from merlinthread.coordination import layer_ranges, load_proof, piece_readings
from merlinthread.nodes import piece_verifier, weights_loader
from tests import fleet_nodes
from tests.test_weights_task import PIECES, make_pieces, run

BAD_PIECE = 7
PAUSE_S = 3.5


class Watched:
    """An engine and its agent, with what the agent tells entries of version 2."""

    def __init__(self, fleet) -> None:
        self.engine = fleet.engines[0]
        self.agent = fleet.agents[0]
        self.load = self.agent.engine.load_staged_weights
        self.send_load = self.agent.send_load
        # Whether the engine had loaded right pieces, for each report that it can serve version 2.
        self.told_right: list[bool] = []
        self.agent.send_load = self.agent.weights.loader.on_report_changed = self.record

    def record(self, report: fleet_types.EngineReport) -> None:
        if not report.is_busy and any(weights.version == 2 for weights in report.weights):
            self.told_right.append(self.has_right_pieces())
        self.send_load(report)

    def has_right_pieces(self) -> bool:
        loaded = self.engine.loaded_pieces
        return [loaded.get(index) for index in range(PIECES)] == make_pieces(2)

    def pause(self) -> None:
        """Let the agent's clock advance as if its VM had stood still."""
        loop = asyncio.get_running_loop()
        weights = self.agent.weights
        weights.clock = weights.loader.clock = weights.verifier.clock = (
            lambda: loop.time() + PAUSE_S
        )

    async def wait_until_told(self) -> None:
        await fleet_nodes.until(lambda: self.told_right, 20)
        assert all(self.told_right)


def run_load(scenario, first_load) -> None:
    """Publish version 2 at an engine that has loaded version 1.

    `first_load(watched, *arguments)` replaces the first order to load it.
    """

    async def run_scenario(fleet):
        await fleet.wait_until_loaded(1)
        watched = Watched(fleet)
        is_first = [True]

        async def load_staged_weights(*arguments):
            if is_first.pop() if is_first else False:
                return await first_load(watched, *arguments)
            return await watched.load(*arguments)

        watched.agent.engine.load_staged_weights = load_staged_weights
        fleet.publish(2)
        await scenario(watched)

    run(1, run_scenario)


async def load_after_pause(watched, *arguments):
    watched.engine.staged[BAD_PIECE] = b"rotten"
    watched.pause()
    return await watched.load(*arguments)


async def load_before_pause(watched, *arguments):
    watched.engine.staged[BAD_PIECE] = b"rotten"
    status = await watched.load(*arguments)
    watched.pause()
    return status


async def load_without_response(watched, *arguments):
    watched.engine.staged[BAD_PIECE] = b"rotten"
    await watched.load(*arguments)
    raise errors.UnreachableError("no response in time")


DELAYED_LOADS = [load_after_pause, load_before_pause, load_without_response]


@pytest.mark.parametrize("first_load", DELAYED_LOADS)
def test_spoilt_load_is_repeated_before_entries_use_it(first_load):
    async def scenario(watched):
        await watched.wait_until_told()
        layers = [
            (order.get("from"), order.get("target_version")) for order in watched.engine.orders
        ]
        bad = layer_ranges.layers_of([BAD_PIECE], PIECES, 16)
        # The load of version 1, the spoilt one, the layers that are kept, and the whole again.
        assert layers == [(None, None), (None, None), (max(bad) + 1, 16), (None, None)]

    run_load(scenario, first_load)


@pytest.mark.parametrize("first_load", DELAYED_LOADS)
def test_spoilt_load_that_cannot_be_repeated_is_not_used(first_load):
    async def scenario(watched):
        watched.engine.behaviour.keeps_all_layers = True
        await fleet_nodes.until(lambda: watched.agent.weights.loader.spoilt_loads >= 3, 20)
        assert not watched.told_right
        # Neither reports nor replies to probes offer the engine.
        assert watched.agent.last_report.is_busy and not watched.agent.last_report.weights

    run_load(scenario, first_load)


# Guards against a reload of sound weights, in which the engine serves nothing.
def test_right_pieces_are_loaded_once_after_a_pause():
    async def load(watched, *arguments):
        watched.pause()
        return await watched.load(*arguments)

    async def scenario(watched):
        await watched.wait_until_told()
        assert len(watched.engine.orders) == 2

    run_load(scenario, load)


# Guards against an engine that never loads since no verification ends in time.
@pytest.mark.parametrize("turns_bad", [False, True])
def test_engine_too_slow_for_recent_readings_loads_and_is_proven_afterwards(monkeypatch, turns_bad):
    monkeypatch.setattr(piece_verifier, "READERS_MAX", 1)
    monkeypatch.setattr(weights_loader, "VERIFICATION_TTL_S", 0.1)
    monkeypatch.setattr(load_proof, "PROOF_AGE_MAX_S", 0.3)

    async def load(watched, *arguments):
        if turns_bad:
            # The piece that was read longest ago.
            watched.engine.staged[0] = b"rotten"
        return await watched.load(*arguments)

    async def scenario(watched):
        watched.engine.behaviour.staged_read_s = 0.03
        await watched.wait_until_told()
        assert len(watched.engine.orders) == (4 if turns_bad else 2)

    run_load(scenario, load)


def test_pieces_of_a_slow_engine_are_read_several_at_once():
    reading, most = [], []

    class SlowEngine:
        async def read_staged_piece(self, manifest, index):
            reading.append(index)
            most.append(len(reading))
            await asyncio.sleep(0.02)
            reading.remove(index)
            return b"" if index != 5 else None

    async def scenario():
        manifest = fleet_types.Manifest("m", 1, 16, [""] * 48)
        loop = asyncio.get_running_loop()
        verifier = piece_verifier.PieceVerifier(SlowEngine(), loop.time)
        verifier.start_version(manifest)
        for _ in range(2):
            right = await verifier.verify(manifest, range(48))
            assert right == (1 << 48) - 1 - (1 << 5)
            assert verifier.readings.older_than(60.0, loop.time()) == [5]
        assert most[:48] == [1] * 48
        assert 2 <= max(most[48:]) <= piece_verifier.READERS_MAX

    asyncio.run(scenario())


def test_verification_ends_with_the_first_error():
    class LostEngine:
        async def read_staged_piece(self, manifest, index):
            raise errors.UnreachableError("the engine is lost")

    async def scenario():
        verifier = piece_verifier.PieceVerifier(LostEngine(), asyncio.get_running_loop().time)
        verifier.reading_s = 1.0
        manifest = fleet_types.Manifest("m", 1, 16, [""] * 4)
        verifier.start_version(manifest)
        with pytest.raises(errors.UnreachableError):
            await verifier.verify(manifest, range(4))

    asyncio.run(scenario())


def test_reading_is_as_old_as_its_begin():
    readings = piece_readings.PieceReadings(3)
    readings.record(0, 10.0, True)
    readings.record(1, 11.0, False)
    readings.record(2, 12.0, True)
    assert readings.older_than(2.0, 12.0) == [1]
    assert readings.older_than(1.0, 12.5) == [0, 1]
    readings.forget()
    assert readings.older_than(2.0, 12.0) == [0, 1, 2]


@pytest.mark.parametrize("piece_count", [5, 16, 24, 48, 96])
@pytest.mark.parametrize("layer_count", [1, 7, 16])
def test_layers_of_a_piece_are_those_that_need_it(piece_count, layer_count):
    for piece in range(piece_count):
        needing = {
            layer
            for layer in range(layer_count)
            if layer * piece_count // layer_count
            <= piece
            < math.ceil((layer + 1) * piece_count / layer_count)
        }
        assert layer_ranges.layers_of([piece], piece_count, layer_count) == needing


@pytest.mark.parametrize(
    ("bad", "kept"),
    [({0}, (1, 16)), ({15}, (0, 15)), ({0, 15}, (1, 15)), ({3, 9}, (10, 16)), (range(16), (0, 1))],
)
def test_longest_range_without_a_bad_layer_is_kept(bad, kept):
    assert layer_ranges.layers_to_keep(bad, 16) == range(*kept)


MANIFEST = fleet_types.Manifest("m", 2, 16, [""] * 16)
WHOLE = fleet_types.Weights("m", 2, 16)


def make_spoilt(bad) -> load_proof.LoadProof:
    """Return the proof of a load that took `bad` pieces, one for each layer."""
    proof = load_proof.LoadProof()
    proof.begin(MANIFEST, [fleet_types.Weights("m", 1, 16)])
    proof.accept(range(16))
    assert list(proof.pieces_to_verify(MANIFEST)) == list(range(16))
    proof.record_verified(MANIFEST, sorted(bad))
    return proof


@pytest.mark.parametrize("seed", range(20))
def test_bad_layers_are_loaded_again_in_two_steps_at_most(seed):
    rng = random.Random(seed)
    bad = set(rng.sample(range(16), rng.randint(1, 16)))
    proof = make_spoilt(bad)
    steps = 0
    while (kept := proof.layers_to_keep(MANIFEST)) is not None:
        steps += 1
        bad &= set(kept)
        proof.discard(MANIFEST, kept)
        proof.begin(MANIFEST, [fleet_types.Weights("m", 2, len(kept))])
        assert proof.proven_weights(fleet_types.EngineReport(weights=[WHOLE])) == []
        proof.accept([])
    assert not bad and proof.unproven is None and steps <= 2


def test_load_after_a_crash_keeps_no_bad_layer():
    proof = make_spoilt({3})
    proof.begin(MANIFEST, [fleet_types.Weights("m", 2, 0)])
    proof.accept([])
    assert proof.unproven is None


def test_load_that_is_not_accepted_proves_nothing():
    proof = make_spoilt({3})
    proof.begin(MANIFEST, [WHOLE])
    proof.cancel()
    assert proof.layers_to_keep(MANIFEST) == range(4, 16)
    report = fleet_types.EngineReport(weights=[WHOLE])
    assert proof.report_for_entries(report).is_busy


def test_weights_of_another_version_are_not_affected():
    proof = make_spoilt({3})
    report = fleet_types.EngineReport(weights=[fleet_types.Weights("m", 3, 16)])
    assert proof.report_for_entries(report) is report
