"""Agents bring weights to their engines, whatever is corrupt, rotten, lost or overtaken."""

import asyncio
import json
import random

import pytest

from merlinthread.coordination import change_over, fetch
from merlinthread.nodes import (
    agent_node,
    engine_client,
    manifest_finder,
    piece_server,
    piece_store,
)
from merlinthread.platform import dialect
from merlinthread.protocol import node_messages
from merlinthread.transport import stream_server
from stand_ins import fleet_worker
from tests import fleet_nodes

PIECES = 24


def make_pieces(version: int) -> list[bytes]:
    rng = random.Random(version)
    return [rng.randbytes(64) for _ in range(PIECES)]


class Fleet:
    """Agents at addresses of their own, each beside an engine, fed by hand."""

    def __init__(self, count: int) -> None:
        self.origin = fleet_worker.WeightOrigin({1: make_pieces(1), 2: make_pieces(2)})
        self.engines = [fleet_worker.Worker(f"i-{n}", "m", version=0) for n in range(count)]
        self.port = fleet_nodes.free_port()
        self.agents: list[agent_node.AgentNode] = []
        self.fed = 0

    async def start(self) -> None:
        await self.origin.start()
        for number, engine in enumerate(self.engines):
            await engine.start()
            await self.start_agent(number)
        self.feed(1)

    async def start_agent(self, number: int) -> None:
        engine = self.engines[number]
        settings = fleet_nodes.make_settings(
            f"agent-{number}",
            f"{fleet_nodes.NETWORK}.{21 + number}",
            agent_port=self.port,
            engine=engine.address,
            engine_service="model",
            link_bytes_per_s=1e6,
        )
        settings.bounds.version_s = 2.0
        agent = agent_node.AgentNode(
            settings,
            dialect.PlatformDialect(),
            fleet_nodes.make_codec(),
            asyncio.get_running_loop().time,
            random.Random(number),
        )
        await agent.start()
        self.agents.insert(number, agent)

    def feed(self, version: int) -> None:
        """Tell every agent the configuration, the engines and the version named."""
        self.fed += 1
        body = fleet_nodes.configuration(self.fed, [], "model", self.origin.address)
        for agent in self.agents:
            entry = fleet_nodes.Entry()
            entry.node.watcher = agent.watcher
            entry.sequence = self.fed
            entry.feed(body, {})
            for number, engine in enumerate(self.engines):
                # The peers' agents are found beside their engines.
                heartbeat = {
                    "service": "model",
                    "address": f"{fleet_nodes.NETWORK}.{21 + number}:1",
                    "zone": "zone-a",
                    "slots": 4,
                    "state": "ready",
                    "sequence": self.fed,
                }
                agent.watcher.instances[engine.instance] = dialect.bodies.parse_heartbeat(
                    engine.instance, json.dumps(heartbeat).encode()
                )
            agent.watcher.named["m"] = version
            agent.watcher.named_at["m"] = {version: asyncio.get_running_loop().time()}

    def stop_agent(self, number: int) -> None:
        """End an agent as a killed process does."""
        agent = self.agents.pop(number)
        for task in agent.tasks:
            task.cancel()
        agent.listener.server.listener.close()
        for connection in list(agent.listener.server.connections):
            connection.abort()
        agent.datagrams.transport.close()

    async def until_all_hold(self, version: int) -> None:
        """Wait until every engine was ordered to take a version whole and sound."""
        await fleet_nodes.until(
            lambda: all(engine.version == version for engine in self.engines), 20
        )
        for engine in self.engines:
            assert [engine.staged[index] for index in range(PIECES)] == make_pieces(version)


def run(count: int, scenario) -> None:
    async def whole():
        fleet = Fleet(count)
        await fleet.start()
        await scenario(fleet)
        for number in reversed(range(len(fleet.agents))):
            fleet.stop_agent(number)

    asyncio.run(whole())


def test_every_engine_gets_the_version_and_the_origin_is_read_about_once():
    async def scenario(fleet):
        await fleet.until_all_hold(1)
        assert len([given for given in fleet.origin.given if given[0] == 1]) <= PIECES * 1.5

    run(4, scenario)


def test_one_agent_of_a_zone_asks_the_origin_for_a_manifest():
    async def scenario(fleet):
        await fleet.until_all_hold(1)
        fleet.origin.manifests_given = 0
        fleet.feed(2)
        await fleet.until_all_hold(2)
        assert fleet.origin.manifests_given == 1

    run(4, scenario)


def test_when_the_first_of_a_zone_does_not_answer_the_next_one_asks_the_origin():
    async def scenario(fleet):
        await fleet.until_all_hold(1)
        names = [f"{fleet_nodes.NETWORK}.{21 + number}:{fleet.port}" for number in range(3)]
        peers = [fetch.Peer(name, name, fetch.SAME_ZONE) for name in names]
        # The last one has the others ahead of it.
        orders = [
            manifest_finder.zone_predecessors(name, "m@2", [p for p in peers if p.name != name])
            for name in names
        ]
        number = names.index(max(orders, key=len)[0])
        fleet.stop_agent(number)
        others = [engine for place, engine in enumerate(fleet.engines) if place != number]
        fleet.origin.manifests_given = 0
        fleet.feed(2)
        await fleet_nodes.until(lambda: all(engine.version == 2 for engine in others), 20)
        assert fleet.engines[number].version == 1
        assert fleet.origin.manifests_given == 1, "only the next one asks"

    run(3, scenario)


def test_a_new_version_replaces_the_old_one_everywhere():
    async def scenario(fleet):
        await fleet.until_all_hold(1)
        fleet.feed(2)
        await fleet.until_all_hold(2)

    run(3, scenario)


def test_a_version_that_is_overtaken_is_left_for_the_newer_one():
    async def scenario(fleet):
        await asyncio.sleep(0)
        fleet.feed(2)
        await fleet.until_all_hold(2)
        assert all(order["version"] == 2 for e in fleet.engines for order in e.orders)

    run(2, scenario)


class StagedEver(dict):
    """The pieces staged at an engine, with all that ever lay there."""

    def __init__(self) -> None:
        super().__init__()
        self.ever: list[bytes] = []

    def __setitem__(self, index: int, data: bytes) -> None:
        self.ever.append(data)
        super().__setitem__(index, data)


def test_what_a_peer_gives_spoilt_is_never_staged():
    async def scenario(fleet):
        spoilt = b"x" * 64
        give = fleet.agents[0].weights.serve_piece
        given = []

        async def give_spoilt(request):
            reply = await give(request)
            if reply.index >= 0:
                given.append(reply.index)
                reply.data = spoilt
            return reply

        fleet.agents[0].weights.serve_piece = give_spoilt
        for engine in fleet.engines:
            engine.staged = StagedEver()
        await fleet.until_all_hold(1)
        assert given, "no piece was asked for at the peer that spoils them"
        assert not any(spoilt in engine.staged.ever for engine in fleet.engines)

    run(4, scenario)


def test_corrupt_pieces_are_never_staged_or_given_on():
    async def scenario(fleet):
        fleet.origin.corrupt = {3, 17}
        await fleet_nodes.until(
            lambda: all(len(engine.staged) == PIECES - 2 for engine in fleet.engines), 20
        )
        assert not any(engine.orders for engine in fleet.engines)
        fleet.origin.corrupt = set()
        await fleet.until_all_hold(1)

    run(2, scenario)


def test_a_piece_that_rots_before_the_order_is_fetched_again(monkeypatch):
    async def scenario(fleet):
        engine = fleet.engines[0]
        found = fleet.agents[0].weights.find_staged
        calls = []

        async def rot_first(manifest):
            if len(engine.staged) == PIECES and not calls:
                calls.append(1)
                engine.staged[5] = b"rotten"
            return await found(manifest)

        monkeypatch.setattr(fleet.agents[0].weights, "find_staged", rot_first)
        await fleet.until_all_hold(1)
        assert calls

    run(2, scenario)


def test_an_agent_that_is_killed_goes_on_with_what_lies_there():
    async def scenario(fleet):
        await fleet_nodes.until(lambda: len(fleet.engines[0].staged) >= PIECES // 2, 20)
        before = dict(fleet.engines[0].staged)
        fleet.stop_agent(0)
        await fleet_nodes.until(
            lambda: fleet_nodes.is_free(f"{fleet_nodes.NETWORK}.21", fleet.port)
        )
        await fleet.start_agent(0)
        fleet.feed(1)
        await fleet.until_all_hold(1)
        assert all(fleet.engines[0].staged[index] == piece for index, piece in before.items())
        tally = fleet.agents[0].weights.plan.stats
        assert tally.from_origin + tally.from_peers <= PIECES - len(before)

    run(2, scenario)


def test_an_agent_answers_an_entry_with_what_the_other_entries_have_on_its_engine():
    async def scenario(fleet):
        agent = fleet.agents[0]
        await fleet_nodes.until(lambda: agent.last_report is not None)
        sent = []
        agent.datagrams.send = lambda address, message: sent.append((address, message))
        stage = node_messages.AttemptStage
        agent.on_datagram(node_messages.AttemptNotice("entry-1", 1, stage.SENT, 700.0))
        agent.on_datagram(node_messages.AttemptNotice("entry-1", 2, stage.SENT, 500.0))
        agent.on_datagram(node_messages.AttemptNotice("entry-1", 2, stage.READ))
        for asker in ("entry-1", "entry-2"):
            agent.on_datagram(node_messages.LoadQuery(asker, 7))
        answers = {
            address: message
            for address, message in sent
            if isinstance(message, node_messages.LoadReply)
        }
        assert answers["entry-1"] == node_messages.LoadReply(7, 0, 0, 0.0)
        assert answers["entry-2"] == node_messages.LoadReply(7, 2, 1, 700.0)
        agent.on_datagram(node_messages.AttemptNotice("entry-1", 1, stage.ENDED))
        assert len(agent.ledger.open) == 1
        sent.clear()
        agent.last_report = None
        agent.on_datagram(node_messages.LoadQuery("entry-2", 8))
        assert not sent, "an agent that has lost its engine is silent"

    run(1, scenario)


def test_an_agent_that_the_origin_refuses_gets_the_manifest_from_a_peer():
    async def scenario(fleet):
        await fleet.until_all_hold(1)
        fleet.stop_agent(0)
        await fleet_nodes.until(
            lambda: fleet_nodes.is_free(f"{fleet_nodes.NETWORK}.21", fleet.port)
        )
        fleet.engines[0].version = 0
        fleet.origin.stop()
        await fleet.start_agent(0)
        fleet.feed(1)
        await fleet.until_all_hold(1)

    run(2, scenario)


def test_pieces_that_lie_whole_at_an_engine_after_a_restart_are_read_once_before_the_order(
    monkeypatch,
):
    read = []
    staged = engine_client.EngineClient.staged

    async def count(self, manifest, index):
        read.append(index)
        return await staged(self, manifest, index)

    async def scenario(fleet):
        await fleet.until_all_hold(1)
        fleet.stop_agent(0)
        await fleet_nodes.until(
            lambda: fleet_nodes.is_free(f"{fleet_nodes.NETWORK}.21", fleet.port)
        )
        fleet.engines[0].version = 0
        monkeypatch.setattr(engine_client.EngineClient, "staged", count)
        await fleet.start_agent(0)
        fleet.feed(1)
        await fleet.until_all_hold(1)
        assert sorted(read) == list(range(PIECES))

    run(1, scenario)


def test_an_agent_whose_engine_is_not_up_yet_fetches_and_stages_once_it_is():
    # A VM joins: its agent answers a second before its engine does.
    async def scenario(fleet):
        await fleet.until_all_hold(1)
        engine = fleet_worker.Worker("i-late", "m", version=0)
        port = int((await engine.start()).rpartition(":")[2])
        engine.stop()
        fleet.engines.append(engine)
        await fleet.start_agent(1)
        fleet.feed(1)
        weights = fleet.agents[1].weights
        await fleet_nodes.until(lambda: weights.plan is not None and weights.plan.is_complete())
        assert len(weights.store.buffered) == PIECES and not engine.staged
        # What is kept is given on, too.
        request = node_messages.PieceRequest("m", 1, b"\x01")
        assert (await weights.serve_piece(request)).data == make_pieces(1)[0]
        await engine.server.listen("127.0.0.1", port)
        await fleet.until_all_hold(1)
        assert not weights.store.buffered

    run(1, scenario)


def test_what_lay_at_an_engine_that_answers_late_is_found():
    async def scenario(fleet):
        await fleet.until_all_hold(1)
        fleet.stop_agent(0)
        await fleet_nodes.until(
            lambda: fleet_nodes.is_free(f"{fleet_nodes.NETWORK}.21", fleet.port)
        )
        engine = fleet.engines[0]
        port = int(engine.address.rpartition(":")[2])
        engine.stop()
        engine.version = 0
        fleet.origin.withheld = {(1, index) for index in range(PIECES)}
        await fleet.start_agent(0)
        fleet.feed(1)
        await fleet_nodes.until(lambda: fleet.agents[0].weights.plan is not None)
        await engine.server.listen("127.0.0.1", port)
        await fleet.until_all_hold(1)

    run(1, scenario)


def test_no_more_is_kept_than_its_bound():
    async def scenario():
        store = piece_store.PieceStore(engine_client.EngineClient(None, "127.0.0.1:1"))
        await store.put("m", 0, bytes(piece_store.BUFFER_BYTES_MAX - 1))
        assert not store.is_full()
        await store.put("m", 1, b"..")
        assert store.is_full()

    asyncio.run(scenario())


def test_no_connection_to_the_origin_is_kept_once_all_pieces_are_here():
    async def scenario(fleet):
        await fleet.until_all_hold(1)
        pools = [agent.engine.pool for agent in fleet.agents]
        await fleet_nodes.until(
            lambda: not any(pool.idle.get(fleet.origin.address) for pool in pools)
        )

    run(2, scenario)


def test_an_engine_that_serves_nothing_yet_has_the_whole_link_for_its_weights():
    async def scenario(fleet):
        weights = fleet.agents[0].weights
        link = weights.fetcher.link_bytes_per_s
        await fleet_nodes.until(lambda: weights.plan is not None)
        assert weights.fetcher.download_pacer.bytes_per_s == link
        await fleet.until_all_hold(1)
        fleet.feed(2)
        await fleet_nodes.until(lambda: weights.manifest.version == 2)
        await fleet.until_all_hold(2)
        assert weights.fetcher.download_pacer.bytes_per_s < link

    run(2, scenario)


def test_weights_that_may_not_be_used_any_more_leave_the_link_to_the_new_ones():
    async def scenario(fleet):
        await fleet.until_all_hold(1)
        weights = fleet.agents[0].weights
        link = weights.fetcher.link_bytes_per_s
        await fleet_nodes.until(weights.is_serving)
        await weights.serve_piece(node_messages.PieceRequest("m", 1, b"\xff"))
        assert weights.server.upload_pacer.bytes_per_s == pytest.approx(
            piece_server.UPLOAD_SHARE * link
        )
        # A version that the origin does not give was named longer ago than the old one may serve.
        watcher = weights.view.watcher
        watcher.named_at["m"] = {2: asyncio.get_running_loop().time() - 60.0}
        assert not weights.is_serving()
        await weights.serve_piece(node_messages.PieceRequest("m", 1, b"\xff"))
        alone = piece_server.IDLE_UPLOAD_SHARE * link
        assert weights.server.upload_pacer.bytes_per_s == pytest.approx(alone)

    run(1, scenario)


def test_a_lost_peer_does_not_hold_the_others_up():
    async def scenario(fleet):
        fleet.stop_agent(2)
        engine = fleet.engines.pop(2)
        await fleet.until_all_hold(1)
        assert engine.version == 0

    run(3, scenario)


def test_a_manifest_that_is_gone_from_the_origin_is_told_apart():
    async def scenario():
        origin = fleet_worker.WeightOrigin({2: make_pieces(2)})
        address = await origin.start()
        client = engine_client.EngineClient(dialect.PlatformDialect(), "127.0.0.1:1")
        try:
            await client.manifest(address, "m", 1)
        except engine_client.errors.WeightsError as error:
            assert error.kind is engine_client.errors.ErrorKind.ORIGIN_CHANGED
            return
        raise AssertionError("a version that is gone was given")

    asyncio.run(scenario())


def test_weights_that_end_the_engine_that_loads_them_are_ordered_less_and_less_often(monkeypatch):
    """Seen by reading: an engine that ends while it loads was ordered to load again at once, for
    ever. The same cause as of a request that ends whoever runs it: nothing counted the ends."""
    monkeypatch.setattr(change_over, "LOAD_RETRY_S", 30.0)

    async def scenario(fleet):
        engine = fleet.engines[0]
        agent = fleet.agents[0]
        ends = change_over.LOAD_CRASHES_BEFORE_BACKOFF + 1
        carry_out = engine.carry_out

        def end_instead(order):
            engine.is_busy = False
            engine.stop()
            asyncio.get_running_loop().call_later(0.5, begin_again)

        def begin_again():
            engine.server = stream_server.Server(engine.serve)
            port = int(engine.address.split(":")[1])
            tasks.append(asyncio.get_running_loop().create_task(listen(port)))

        async def listen(port):
            await engine.server.listen("127.0.0.1", port)

        tasks = []
        engine.carry_out = end_instead
        await fleet_nodes.until(lambda: agent.weights.load_crashes == ends, 20)
        # The engine is back and everything lies there: a try that did not wait would come now.
        await fleet_nodes.until(lambda: agent.last_report is not None)
        told_at = agent.last_sent_at
        await fleet_nodes.until(lambda: agent.last_sent_at > told_at + 1.0)
        assert len(engine.orders) == ends
        # Another version comes at once all the same.
        engine.carry_out = carry_out
        fleet.feed(2)
        await fleet.until_all_hold(2)
        assert len(engine.orders) == ends + 1
        assert agent.weights.load_crashes == 0

    run(1, scenario)


@pytest.mark.parametrize("has_manifest", [False, True])
def test_an_origin_that_asks_for_a_rest_is_left_alone_until_it_is_over(has_manifest):
    rest_s = 1.0

    async def scenario(fleet):
        if has_manifest:
            fleet.origin.withheld = {(1, index) for index in range(1, PIECES)}
            await fleet_nodes.until(lambda: fleet.origin.given)
        fleet.origin.rest = str(rest_s)
        await fleet_nodes.until(lambda: fleet.origin.turned_away)
        await fleet_nodes.until(lambda: len(fleet.origin.turned_away) > 1)
        first, second = fleet.origin.turned_away[:2]
        assert second - first >= 0.95 * rest_s
        fleet.origin.rest, fleet.origin.withheld = None, set()
        await fleet.until_all_hold(1)

    run(1, scenario)


def test_what_an_origin_can_not_mean_does_not_keep_weights_from_engines():
    async def scenario(fleet):
        fleet.origin.rest = "1e9"
        await fleet_nodes.until(lambda: fleet.origin.turned_away)
        fleet.origin.rest = None
        await fleet.until_all_hold(1)

    run(1, scenario)
