"""Engines load published weights under random faults, and entries use none that took bad pieces.

Guards against combinations of faults: slow orders and uploads that outlast their caller, agents
that are killed and started again, pieces that turn bad, spoilt manifests, and versions in quick
succession. `python -m tests.test_weights_faults FIRST COUNT` runs further seeds.
"""

import asyncio
import random
import sys

import pytest

from merlinthread.coordination import fleet as fleet_types
from merlinthread.nodes import engine_client
from stand_ins import fleet_worker
from tests import fleet_nodes, test_weights_task

PIECES = test_weights_task.PIECES
ENGINES = 2
VERSIONS = 5
FAULTS_S = 5.0
# An agent gives a call to its engine up after this time; a slow engine takes up to SLOW_S.
CALL_TIMEOUT_S = 0.3
SLOW_S = 0.8
# A piece that turned bad this long before it is taken is tolerated.
TOLERATED_S = 3.0
CATCH_UP_S = 20.0


class FaultyEngine:
    """Injects faults at one engine, and checks what entries are told of it."""

    def __init__(self, worker: fleet_worker.Worker, rng: random.Random, log: list[str]) -> None:
        self.worker = worker
        self.rng = rng
        self.log = log
        self.is_slow = False
        self.takes_late = rng.random() < 0.5
        self.rotted_at: dict[int, float] = {}
        # The versions and the pieces of the last load that may not be used.
        self.bad_loads: dict[int, list[int]] = {}
        self.order, self.stage = worker.order, worker.stage
        self.take_pieces, self.execute_order = worker.take_pieces, worker.execute_order
        worker.order, worker.stage = self.receive_order, self.receive_piece
        worker.take_pieces, worker.execute_order = self.accept, self.execute

    async def outlast(self, handler, *arguments) -> None:
        """Run a handler, slowly at times, also once its caller has closed the connection."""

        async def handle():
            if self.is_slow:
                await asyncio.sleep(self.rng.uniform(0.0, SLOW_S))
            await handler(*arguments)

        await asyncio.shield(asyncio.create_task(handle()))

    async def receive_order(self, exchange) -> None:
        await self.outlast(self.order, exchange)

    async def receive_piece(self, exchange, path) -> None:
        if path.startswith("/stage-put/"):
            await self.outlast(self.put_piece, exchange, path)
        else:
            await self.stage(exchange, path)

    async def put_piece(self, exchange, path) -> None:
        index = int(exchange.request.target.split(b"sample_count=")[1].split(b"&")[0])
        self.rotted_at.pop(index, None)
        await self.stage(exchange, path)

    def rot(self) -> None:
        index = self.rng.randrange(PIECES)
        if index in self.worker.staged and index not in self.rotted_at:
            self.worker.staged[index] = b"rotten"
            self.rotted_at[index] = asyncio.get_running_loop().time()

    def accept(self, order: dict) -> None:
        if not self.takes_late:
            self.take(order)

    def execute(self, order: dict) -> None:
        if self.takes_late:
            self.take(order)
        self.execute_order(order)

    def take(self, order: dict) -> None:
        """Take the staged pieces, and note which may not be used."""
        self.take_pieces(order)
        now = asyncio.get_running_loop().time()
        loaded = self.worker.loaded_pieces
        right = test_weights_task.make_pieces(order["version"])
        bad = [index for index in loaded if loaded[index] != right[index]]
        missing = [] if "from" in order else [i for i in range(PIECES) if i not in loaded]
        tolerated = {
            index for index, at in self.rotted_at.items() if now - at <= TOLERATED_S
        } - self.kept_bad(order)
        self.bad_loads = {order["version"]: sorted({*bad, *missing} - tolerated)}
        self.log.append(f"{now:.2f} {self.worker.instance} takes {order}, bad {self.bad_loads}")

    def kept_bad(self, order: dict) -> set[int]:
        return set(self.bad_loads.get(order["version"], []))

    def check(self, report: fleet_types.EngineReport) -> None:
        """Check a report that entries get."""
        if report.is_busy:
            return
        for weights in report.weights:
            if weights.is_whole(fleet_worker.LAYERS) and self.bad_loads.get(weights.version):
                raise AssertionError(f"told of {weights}, bad pieces {self.bad_loads}")


class FaultRun:
    """One run with a seed; `violations` has what entries were wrongly told."""

    def __init__(self, fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.log: list[str] = []
        self.violations: list[str] = []
        self.told: dict[str, int] = {}
        self.version = 1
        self.engines = [FaultyEngine(worker, self.rng, self.log) for worker in fleet.engines]
        for number in range(1, VERSIONS + 1):
            fleet.origin.pieces[number] = test_weights_task.make_pieces(number)
        for number in range(ENGINES):
            self.watch(number)

    def watch(self, number: int) -> None:
        agent, engine = self.fleet.agents[number], self.engines[number]
        send_load = agent.send_load

        def record(report):
            try:
                engine.check(report)
            except AssertionError as error:
                self.violations.append(str(error))
            if not report.is_busy:
                for weights in report.weights:
                    self.told[engine.worker.instance] = weights.version
            send_load(report)

        agent.send_load = agent.weights.loader.on_report_changed = record

    async def restart_agent(self, number: int) -> None:
        ip = self.fleet.agents[number].settings.ip
        self.fleet.stop_agent(number)
        await fleet_nodes.until(lambda: fleet_nodes.is_udp_port_free(ip, self.fleet.port))
        await self.fleet.start_agent(number)
        self.watch(number)
        self.fleet.publish(self.version)

    async def inject(self) -> None:
        """Inject one fault."""
        engine = self.rng.choice(self.engines)
        kind = self.rng.choice(["publish", "slow", "fast", "rot", "restart", "manifest", "busy"])
        now = asyncio.get_running_loop().time()
        self.log.append(f"{now:.2f} {kind} {engine.worker.instance}")
        if kind == "publish" and self.version < VERSIONS:
            self.version += 1
            self.fleet.publish(self.version)
        elif kind in ("slow", "fast"):
            engine.is_slow = kind == "slow"
        elif kind == "busy":
            engine.worker.behaviour.order_delay_s = self.rng.uniform(0.0, 0.6)
        elif kind == "rot":
            engine.rot()
        elif kind == "restart":
            await self.restart_agent(self.engines.index(engine))
        elif kind == "manifest":
            self.fleet.origin.spoilt_digests.append(self.rng.randrange(PIECES))

    async def run(self) -> None:
        """Inject faults, and check that all engines catch up afterwards."""
        await self.fleet.wait_until_loaded(1)
        loop = asyncio.get_running_loop()
        until = loop.time() + FAULTS_S
        while loop.time() < until:
            await self.inject()
            await asyncio.sleep(self.rng.uniform(0.0, 0.4))
        for engine in self.engines:
            engine.is_slow = False
        self.version = VERSIONS
        self.fleet.publish(VERSIONS)
        wanted = {engine.worker.instance: VERSIONS for engine in self.engines}
        try:
            await fleet_nodes.until(lambda: self.told == wanted or self.violations, CATCH_UP_S)
        except TimeoutError:
            self.violations.append(f"entries are told of {self.told} for {wanted}")


def run_seed(seed: int) -> FaultRun:
    """Run one seed and return it."""
    runs: list[FaultRun] = []

    async def scenario(fleet):
        runs.append(FaultRun(fleet, seed))
        await runs[0].run()

    test_weights_task.run(ENGINES, scenario)
    return runs[0]


@pytest.mark.parametrize("seed", range(1, 7))
def test_entries_use_no_bad_load_and_engines_catch_up(monkeypatch, seed):
    monkeypatch.setattr(engine_client, "LOCAL_TIMEOUT_S", CALL_TIMEOUT_S)
    run = run_seed(seed)
    assert not run.violations, "\n".join([*run.log[-40:], *run.violations])


if __name__ == "__main__":
    engine_client.LOCAL_TIMEOUT_S = CALL_TIMEOUT_S
    first, count = (int(argument) for argument in sys.argv[1:])
    for seed in range(first, first + count):
        found = run_seed(seed).violations
        print(seed, found or "held", flush=True)
