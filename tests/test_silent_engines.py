"""Agents whose engine falls silent for a second and goes on.

Guards against taking silence for the end of the engine's process.
"""

import asyncio

from merlinthread.coordination import fleet as fleets
from merlinthread.nodes import piece_store
from merlinthread.protocol import node_messages
from stand_ins import silent_worker
from tests import fleet_nodes, test_weights_task

# A silence that the users call sound ("a second or so").
SOUND_SILENCE_S = 1.4
PIECES = test_weights_task.PIECES


class SilentEngineFleet(test_weights_task.Fleet):
    """One agent, whose engine can stand still."""

    def __init__(self) -> None:
        super().__init__(0)
        self.silent = silent_worker.SilentWorker("i-0", "m", version=0)
        self.engine = self.silent.worker
        self.engines = [self.engine]

    @property
    def agent(self):
        """Return the agent."""
        return self.agents[0]

    async def start(self) -> None:
        """Start the origin, the engine and its agent, and publish version 1."""
        await self.origin.start()
        await self.silent.start()
        await self.start_agent(0)
        self.publish(1)

    async def wait_until_loaded(self, version: int) -> None:
        """Wait until the agent knows that the engine has loaded a version."""
        await super().wait_until_loaded(version)
        weights = self.agent.weights
        await fleet_nodes.until(
            lambda: weights.manifest and weights.loader.has_loaded(weights.manifest)
        )

    async def fall_silent(self) -> asyncio.Future:
        """Let the engine stand still; return a future that is done when it goes on."""
        started = asyncio.get_running_loop().create_future()
        loop = asyncio.get_running_loop()
        self.silent.loop.call_soon_threadsafe(loop.call_soon_threadsafe, started.set_result, None)
        self.silent.fall_silent(SOUND_SILENCE_S)
        await started
        return asyncio.ensure_future(self.silent.call(asyncio.sleep(0)))


def run(scenario) -> None:
    async def run_scenario():
        fleet = SilentEngineFleet()
        try:
            await fleet.start()
            await scenario(fleet)
        finally:
            for _ in list(fleet.agents):
                fleet.stop_agent(0)
            fleet.silent.stop()

    asyncio.run(run_scenario())


# Guards against a delay of loads because a silent engine is counted as crashed.
def test_silence_during_a_load_is_not_counted_as_a_crash():
    async def scenario(fleet):
        fleet.engine.behaviour.order_delay_s = 0.6
        await fleet_nodes.until(lambda: fleet.engine.orders, 20)
        await (await fleet.fall_silent())
        await fleet.wait_until_loaded(1)
        assert fleet.agent.weights.loader.load_crashes == 0
        assert len(fleet.engine.orders) == 1

    run(scenario)


# Guards against a second load by an engine that took the first order during its silence.
def test_order_that_a_silent_engine_takes_later_is_not_repeated():
    async def scenario(fleet):
        fleet.engine.behaviour.order_delay_s = 0.6
        load_staged_weights = fleet.agent.engine.load_staged_weights

        async def fall_silent_and_load(*arguments):
            if not fleet.engine.orders:
                await fleet.fall_silent()
            return await load_staged_weights(*arguments)

        fleet.agent.engine.load_staged_weights = fall_silent_and_load
        await fleet.wait_until_loaded(1)
        assert len(fleet.engine.orders) == 1

    run(scenario)


# Guards against a load that is never ordered again although the engine did not get the order.
def test_order_that_was_lost_is_repeated():
    async def scenario(fleet):
        serve_order = fleet.engine.order
        lost = []

        async def lose_first_order(exchange):
            if lost:
                await serve_order(exchange)
            else:
                lost.append(exchange)
                exchange.abort()

        fleet.engine.order = lose_first_order
        await fleet.wait_until_loaded(1)
        assert lost and len(fleet.engine.orders) == 1

    run(scenario)


# Guards against a reload out of turn and full download speed while a serving engine is silent.
def test_silent_engine_counts_as_serving():
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        weights = fleet.agent.weights
        silence = await fleet.fall_silent()
        was_serving = []
        while not silence.done():
            was_serving.append(weights.loader.is_serving())
            await asyncio.sleep(0.02)
        assert all(was_serving)

    run(scenario)


# Guards against requests to an engine that is silent because its agent still answers for it.
def test_load_queries_are_not_answered_while_the_engine_is_silent():
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        agent = fleet.agent
        sent = []
        agent.datagrams.send = lambda address, message: sent.append(message)

        def is_answered() -> bool:
            sent.clear()
            agent.dispatch_datagram(node_messages.LoadQuery("entry", 1))
            return any(isinstance(message, node_messages.LoadReply) for message in sent)

        assert is_answered()
        silence = await fleet.fall_silent()
        await fleet_nodes.until(lambda: not is_answered(), 0.5)
        while not silence.done():
            assert not is_answered()
            await asyncio.sleep(0.02)
        await fleet_nodes.until(is_answered, 0.5)

    run(scenario)


# Guards against a second transfer of pieces that the engine did not take in time.
def test_pieces_are_not_fetched_again_because_the_engine_is_silent():
    async def scenario(fleet):
        await fleet_nodes.until(lambda: len(fleet.engine.staged) >= PIECES // 3, 20)
        await (await fleet.fall_silent())
        await fleet.wait_until_loaded(1)
        assert len(fleet.origin.served_pieces) == PIECES

    run(scenario)


# Guards against a download that stops for good because the pieces kept for the engine are too many.
def test_download_goes_on_after_the_buffer_was_full(monkeypatch):
    monkeypatch.setattr(piece_store, "BUFFER_BYTES_MAX", 1)

    async def scenario(fleet):
        stage = fleet.engine.stage

        # Called in the engine's thread: a poll from outside may see only the end of the download.
        async def stage_and_fall_silent(exchange, path):
            await stage(exchange, path)
            if len(fleet.engine.staged) == PIECES // 3:
                fleet.silent.fall_silent(SOUND_SILENCE_S)

        fleet.engine.stage = stage_and_fall_silent
        await fleet_nodes.until(fleet.agent.weights.store.is_full)
        await fleet.wait_until_loaded(1)
        assert not fleet.agent.weights.store.buffered

    run(scenario)


# Guards against keeping the state of an engine that has ended.
def test_engine_that_refuses_connections_or_hangs_is_lost():
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        agent = fleet.agent
        fleet.silent.crash()
        await fleet_nodes.until(lambda: agent.weights.loader.report is None, 1.0)
        await fleet.silent.listen_again()
        await fleet_nodes.until(lambda: agent.weights.loader.report is not None, 1.0)
        fleet.silent.fall_silent(5.0)
        await fleet_nodes.until(lambda: agent.weights.loader.report is None, 5.0)

    run(scenario)


# Guards against keeping the load of a process that ended between two polls.
def test_engine_whose_sequence_fell_back_has_restarted():
    async def scenario(fleet):
        await fleet.wait_until_loaded(1)
        agent = fleet.agent
        await fleet_nodes.until(lambda: agent.last_report and agent.last_report.sequence == 1)
        tracker = agent.load_tracker
        agent.detect_restart(fleets.EngineReport(sequence=1))
        assert agent.load_tracker is tracker
        agent.detect_restart(fleets.EngineReport(sequence=0))
        assert agent.load_tracker is not tracker

    run(scenario)
