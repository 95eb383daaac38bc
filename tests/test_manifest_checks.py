"""A spoilt manifest is corrected, and a right one is kept whatever spoilt pieces arrive."""

import asyncio
import hashlib
import math
import random

import pytest

from merlinthread import errors
from merlinthread.coordination import (
    fetch,
    fetch_baselines,
    fetch_claimed,
    fetch_policies,
    fleet,
    manifest_evidence,
)
from merlinthread.nodes import manifest_finder
from merlinthread.protocol import piece_messages
from stand_ins import fleet_worker
from tests import fleet_nodes, test_weights_task

PIECES = test_weights_task.PIECES
SPOILT = 5


@pytest.fixture(autouse=True)
def long_timeout(monkeypatch):
    # A read that failed on a busy machine would be repeated.
    monkeypatch.setattr(manifest_finder, "ORIGIN_TIMEOUT_S", 10.0)


def count_reads(fleet, version: int, index: int) -> int:
    return fleet.origin.served_pieces.count((version, index))


# Guards against an agent that reads a piece without end, since the manifest has a wrong digest.
@pytest.mark.parametrize("count", [1, 4])
def test_spoilt_manifest_is_read_again_and_the_weights_are_loaded(count):
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        fleet.origin.manifests_served = 0
        fleet.origin.spoilt_digests = [SPOILT]
        fleet.publish(2)
        await fleet.wait_until_loaded(2)
        # Each agent reads the piece and the manifest itself at worst.
        assert 2 <= fleet.origin.manifests_served <= 1 + count
        assert count_reads(fleet, 2, SPOILT) <= 3 * count

    test_weights_task.run(count, scenario)


def digests_of(version: int) -> list[str]:
    return [hashlib.sha256(piece).hexdigest() for piece in test_weights_task.make_pieces(version)]


def make_short_manifest(version: int) -> fleet.Manifest:
    return fleet.Manifest("m", version, 16, digests_of(version)[:-1])


# Guards against layers without a piece: the engine takes an order whatever pieces are staged.
@pytest.mark.parametrize("count", [1, 4])
@pytest.mark.parametrize(
    "digests",
    [
        digests_of(2)[:-1],
        digests_of(2)[:5] + digests_of(2)[6:],
        [*digests_of(2), digests_of(2)[0]],
        [],
    ],
    ids=["last missing", "one missing", "one too many", "none"],
)
def test_manifest_with_another_number_of_digests_is_refused(count, digests):
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        fleet.origin.manifests_served = 0
        fleet.origin.spoilt_fields = [{"digests": digests}]
        fleet.publish(2)
        await fleet.wait_until_loaded(2)
        for engine in fleet.engines:
            loaded = engine.loaded_pieces
            assert [loaded.get(index) for index in range(PIECES)] == test_weights_task.make_pieces(
                2
            )
            # One order for each version: no load took an incomplete set of pieces.
            assert len(engine.orders) == 2
        assert fleet.origin.manifests_served >= 2

    test_weights_task.run(count, scenario)


# Guards against a peer of an older build, which takes and passes on any number of digests.
def test_manifest_of_a_peer_with_another_number_of_digests_is_not_taken():
    manifest = make_short_manifest(2)

    class Client:
        async def call(self, peer, request, timeout_s):
            return piece_messages.ManifestReply(manifest)

    def make_finder(piece_count):
        return manifest_finder.ManifestFinder(
            "own", None, Client(), lambda: 0.0, random.Random(1), lambda: piece_count
        )

    async def scenario():
        for count, is_taken in ((PIECES, False), (PIECES - 1, True), (0, True)):
            reply = await make_finder(count).query_peer("peer", "m", 2)
            assert (reply.manifest is not None) is is_taken

    asyncio.run(scenario())


# Guards against pieces of a manifest that was taken before the configuration named their number.
def test_manifest_is_read_again_when_the_configured_number_of_pieces_changes():
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        task = fleet.agents[0].weights
        short = make_short_manifest(1)
        assert task.is_current(task.manifest, 1) and task.is_current(task.manifest, 0)
        assert not task.is_current(task.manifest, 2) and not task.is_current(short, 1)
        task.manifest = short
        await fleet_nodes.until(lambda: len(task.manifest.digests) == PIECES)

    test_weights_task.run(1, scenario)


# Guards against a copy that is spoilt elsewhere, which must not replace what pieces have proven.
def test_manifest_that_is_spoilt_again_is_corrected_in_the_end():
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        fleet.origin.manifests_served = 0
        fleet.origin.spoilt_digests = [SPOILT, SPOILT, SPOILT + 1]
        fleet.publish(2)
        await fleet.wait_until_loaded(2)
        assert fleet.origin.manifests_served == 4
        assert count_reads(fleet, 2, SPOILT) <= 3 * 4

    test_weights_task.run(1, scenario)


# Guards against a garbling origin that makes agents drop a right manifest or read it on and on.
def test_right_manifest_is_kept_although_the_origin_spoils_pieces_alike():
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        fleet.origin.manifests_served = 0
        fleet.origin.corrupt = {SPOILT}
        now = asyncio.get_running_loop().time
        published_at = now()
        for engine in fleet.engines:
            engine.staged = test_weights_task.RecordingStagingArea()
        fleet.publish(2)
        await fleet_nodes.until(
            lambda: all(len(engine.staged) == PIECES - 1 for engine in fleet.engines), 20
        )
        await fleet_nodes.until(lambda: fleet.origin.manifests_served > 1, 20)
        started = now()
        await fleet_nodes.until(lambda: now() > started + 2.5, 5)
        right = [hashlib.sha256(piece).hexdigest() for piece in test_weights_task.make_pieces(2)]
        for agent in fleet.agents:
            assert agent.weights.manifest.digests == right
        # Each agent checks after 0, 1, 3, 7 s and so on, each time after two readings.
        checks_max = len(fleet.agents) * int(1 + math.log2(1 + now() - published_at))
        assert fleet.origin.manifests_served <= 1 + checks_max
        assert count_reads(fleet, 2, SPOILT) <= 2 * checks_max + len(fleet.agents)
        assert not any(b"x" * 64 in engine.staged.history for engine in fleet.engines)
        assert not any(order["version"] == 2 for e in fleet.engines for order in e.orders)
        fleet.origin.corrupt = set()
        await fleet.wait_until_loaded(2)

    test_weights_task.run(2, scenario)


# Guards against reads of the origin for a manifest of which a peer has a right copy.
def test_right_copy_of_a_peer_corrects_a_spoilt_manifest_without_the_origin():
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        fleet.origin.unavailable_pieces = {(2, SPOILT)}
        fleet.publish(2)
        await fleet_nodes.until(
            lambda: all(agent.weights.manifest.version == 2 for agent in fleet.agents)
        )
        weights = fleet.agents[0].weights
        digests = weights.manifest.digests
        digests[SPOILT] = fleet_worker.spoil_digit(digests[SPOILT])
        fleet.origin.unavailable_pieces = set()
        fleet.origin.manifests_served = 0
        await fleet.wait_until_loaded(2)
        assert fleet.origin.manifests_served == 0

    test_weights_task.run(2, scenario)


# Guards against a manifest of another model or version, and against digests that no piece can have.
@pytest.mark.parametrize(
    "change", [{"version": 9}, {"model": "n"}, {"digests": ["g" * 64]}, {"digests": ["a" * 63]}]
)
def test_manifest_that_cannot_be_the_requested_one_is_read_again(monkeypatch, change):
    answers = []

    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        respond = fleet_worker.WeightOrigin.manifest_body

        def spoil_first(self, *arguments):
            answers.append(1)
            body = respond(self, *arguments)
            return body | change if len(answers) == 1 else body

        monkeypatch.setattr(fleet_worker.WeightOrigin, "manifest_body", spoil_first)
        fleet.publish(2)
        await fleet.wait_until_loaded(2)
        assert len(answers) == 2

    test_weights_task.run(1, scenario)


# Guards against an agent that asks for a version that the origin does not have, without end: before
# any version is published, nothing tells that the version of a manifest is wrong.
@pytest.mark.parametrize("count", [1, 3])
def test_manifest_with_a_version_that_the_origin_lacks_is_read_again(monkeypatch, count):
    answers = []

    async def scenario(fleet):
        respond = fleet_worker.WeightOrigin.manifest_body

        def spoil_first(self, *arguments):
            answers.append(1)
            body = respond(self, *arguments)
            return body | {"version": 9} if len(answers) == 1 else body

        monkeypatch.setattr(fleet_worker.WeightOrigin, "manifest_body", spoil_first)
        fleet.publish(0)
        await fleet.wait_until_loaded(2)
        assert 2 <= len(answers) <= 1 + count

    test_weights_task.run(count, scenario, version=0)


# Guards against a search without pauses if the origin keeps to a version whose pieces it lacks.
def test_version_that_the_origin_lacks_is_asked_for_ever_more_rarely(monkeypatch):
    async def scenario(fleet):
        respond = fleet_worker.WeightOrigin.manifest_body
        monkeypatch.setattr(
            fleet_worker.WeightOrigin,
            "manifest_body",
            lambda self, *arguments: respond(self, *arguments) | {"version": 9},
        )
        fleet.publish(0)
        started = asyncio.get_running_loop().time()
        await fleet_nodes.until(lambda: asyncio.get_running_loop().time() > started + 6.0, 8)
        assert 2 <= fleet.origin.manifests_served <= 4

    test_weights_task.run(1, scenario, version=0)


# Guards against layers that are given up by a wrong count of them.
def test_layers_are_those_of_the_configuration(monkeypatch):
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        respond = fleet_worker.WeightOrigin.manifest_body
        monkeypatch.setattr(
            fleet_worker.WeightOrigin,
            "manifest_body",
            lambda self, *arguments: respond(self, *arguments) | {"layers": 76},
        )
        fleet.publish(2)
        await fleet.wait_until_loaded(2)
        assert fleet.agents[0].weights.manifest.layers == fleet_worker.LAYERS

    test_weights_task.run(1, scenario)


# Evidence


MANIFEST = fleet.Manifest("m", 1, 16, ["a", "b", "c"])


def make_copy(*digests: str, version: int = 1) -> fleet.Manifest:
    return fleet.Manifest("m", version, 16, list(digests))


def make_evidence(*readings: tuple[int, str, str]) -> manifest_evidence.ManifestEvidence:
    evidence = manifest_evidence.ManifestEvidence()
    for reading in readings:
        evidence.record(*reading)
    return evidence


@pytest.mark.parametrize(
    ("readings", "is_disputed"),
    [
        ([(0, "x", "")], False),
        ([(0, "x", ""), (0, "y", ""), (1, "x", "")], False),
        ([(0, "x", "peer-1"), (0, "x", "peer-1")], False),
        ([(0, "x", ""), (0, "x", "")], True),
        ([(0, "x", ""), (0, "x", "peer-1")], True),
        ([(0, "x", "peer-1"), (0, "x", "peer-2")], True),
        ([(0, "x", ""), (0, "y", ""), (0, "x", "")], True),
    ],
)
def test_only_independent_readings_that_agree_dispute_a_manifest(readings, is_disputed):
    evidence = make_evidence(*readings)
    assert evidence.disputed() == ({(0, "x")} if is_disputed else set())
    assert evidence.is_check_due(0.0) == is_disputed
    assert evidence.suspended_pieces(0.0) == (1 if is_disputed else 0)


@pytest.mark.parametrize(
    ("copy", "held", "is_better"),
    [
        (make_copy("x", "b", "c"), 0b110, True),
        (make_copy("x", "z", "c"), 0b100, True),
        (make_copy("a", "b", "c"), 0b110, False),
        (make_copy("y", "b", "c"), 0b110, False),
        (make_copy("x", "z", "c"), 0b110, False),
        (make_copy("x", "b"), 0b010, False),
        (make_copy("x", "b", "c", version=2), 0b110, False),
    ],
)
def test_copy_is_better_if_it_agrees_with_the_readings_and_the_held_pieces(copy, held, is_better):
    evidence = make_evidence((0, "x", ""), (0, "x", ""))
    assert evidence.is_corrected_by(MANIFEST, copy, held) == is_better


def test_copy_may_agree_with_either_of_two_disputed_digests():
    evidence = make_evidence((0, "x", ""), (0, "x", ""), (0, "y", "peer-1"), (0, "y", "peer-2"))
    for digest in ("x", "y"):
        assert evidence.is_corrected_by(MANIFEST, make_copy(digest, "b", "c"), 0b110)


# Guards against a garbling peer that is used again since another peer was right.
def test_only_peers_that_agree_with_the_better_copy_count_as_right():
    evidence = make_evidence(
        (0, "x", "peer-1"), (0, "x", ""), (0, "y", "peer-2"), (1, "z", "peer-3")
    )
    assert evidence.peers_agreeing_with(make_copy("x", "b", "c")) == {"peer-1"}


def test_checks_that_correct_nothing_become_rarer():
    evidence = manifest_evidence.ManifestEvidence()
    now, checks = 0.0, []
    while now < 100.0:
        if not evidence.suspended_pieces(now):
            evidence.record(0, "x", "")
        if evidence.is_check_due(now):
            checks.append(now)
            evidence.on_not_corrected(now)
        now += 0.25
    waits = [after - before for before, after in zip(checks, checks[1:], strict=False)]
    assert waits == sorted(waits)
    assert waits[0] <= 1.5 and max(waits) <= manifest_evidence.CHECK_INTERVAL_MAX_S + 0.5
    assert len(checks) <= 11


def test_distinct_digests_of_a_piece_are_bounded():
    evidence = make_evidence(*((0, f"{n}", "") for n in range(1000)))
    assert len(evidence.readings[0]) == manifest_evidence.DIGESTS_MAX


# Search of a better copy


class Copies:
    """The copies of a manifest at peers and at the origin, with the number of reads of each."""

    def __init__(self, peers: dict[str, str], origin: str | None) -> None:
        self.peers = peers
        self.origin = origin
        self.queried: list[str] = []
        self.reads = 0

    async def call(self, address, request, timeout_s):
        self.queried.append(address)
        return piece_messages.ManifestReply(make_copy(self.peers[address], "b", "c"))

    async def fetch_manifest(self, origin, model, version):
        self.reads += 1
        if self.origin is None:
            raise errors.ProtocolError("HTTP status 503", retry_after_s=60.0)
        return make_copy(self.origin, "b", "c")

    def make_finder(self) -> manifest_finder.ManifestFinder:
        return manifest_finder.ManifestFinder("own", self, self, lambda: 0.0, random.Random(1))

    async def find(self, finder: manifest_finder.ManifestFinder) -> fleet.Manifest | None:
        peers = [fetch.Peer(name, name, fetch.SAME_ZONE) for name in self.peers]
        evidence = make_evidence((0, "x", ""), (0, "x", ""))
        return await finder.find_better_copy(
            "origin",
            MANIFEST,
            peers,
            sorted(evidence.peers()),
            lambda copy: evidence.is_corrected_by(MANIFEST, copy, 0b110),
        )


@pytest.mark.parametrize(
    ("peers", "origin", "reads", "is_found"),
    [
        ({"p1": "a", "p2": "x", "p3": "a"}, "x", 0, True),
        ({"p1": "a", "p2": "a"}, "x", 1, True),
        ({"p1": "y"}, "a", 1, False),
        ({}, None, 1, False),
    ],
)
def test_peers_are_asked_for_a_better_copy_before_the_origin(peers, origin, reads, is_found):
    copies = Copies(peers, origin)
    found = asyncio.run(copies.find(copies.make_finder()))
    assert (found is not None, copies.reads) == (is_found, reads)
    assert sorted(copies.queried) == sorted(peers)


def test_retry_after_of_the_origin_holds_for_checks_of_the_manifest():
    async def scenario():
        copies = Copies({}, None)
        finder = copies.make_finder()
        for _ in range(3):
            assert await copies.find(finder) is None
        assert copies.reads == 1

    asyncio.run(scenario())


# Guards against a plan that has nothing to do but reads that are suspended, and ends or crashes.
@pytest.mark.parametrize(
    "policy",
    [
        fetch_policies.Spread,
        fetch_policies.Zoned,
        fetch_claimed.Claimed,
        fetch_baselines.Tree,
        fetch_baselines.OriginOnly,
    ],
)
@pytest.mark.parametrize("is_late", [False, True])
def test_suspended_chunk_is_not_read_from_the_origin(policy, is_late):
    plan = policy("own", "m@1", 4, 0b0011, 1, 0.0, random.Random(1))
    plan.set_peers([])
    plan.is_late = is_late
    plan.extra_read_interval_s = 0.1
    plan.suspended = 0b0100
    read = set()
    for step in range(100):
        action = plan.next_action(step * 1.0)
        if action is not None:
            plan.on_action_started(action)
            plan.on_action_finished(action)
            read.add(action.index)
            plan.held |= 1 << action.index
    assert read == {3}
    plan.suspended = 0
    assert plan.next_action(200.0) == fetch.OriginRead(2)
