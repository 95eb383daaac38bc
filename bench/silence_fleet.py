"""The fleet of the silence experiment: nodes as processes, and engines in threads of their own."""

import asyncio
import collections
import dataclasses
import json
import pathlib
import signal
from typing import Any

from bench import silence_plan, soak_nodes
from merlinthread import errors
from merlinthread.transport import connection_pool, http_messages
from stand_ins import silent_worker

EVENT_COUNT = 15
EVENT_GAP_S = 0.08
# More than all streams need at once, so that no request is refused because engines are busy.
SLOTS = 24
HEARTBEAT_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 1.0


def make_configuration(version: int, timeout_s: float) -> dict:
    """Return the configuration `version`; each one has a client account that others lack.

    `timeout_s` is the timeout of each route.
    """
    body = soak_nodes.make_configuration(version, ("key-1", f"extra-{version}"))
    for route in body["routes"]:
        route["timeout_ms"] = int(1000 * timeout_s)
    for service in body["services"]:
        if "engine" in service:
            service["engine"]["slots"] = SLOTS
    return body


async def call_control(
    pool: connection_pool.ConnectionPool, ip: str, method: str, path: str, body: dict | None = None
) -> int:
    """Call a control VM; return the status, or 0 if there is no response."""
    data = json.dumps(body).encode() if body is not None else b""
    headers = [(b"host", b"c"), (b"content-length", b"%d" % len(data))]
    request = http_messages.Request(method.encode(), path.encode(), headers, data)
    try:
        response = await pool.request(f"{ip}:{soak_nodes.CONTROL_PORT}", request, CALL_TIMEOUT_S)
    except errors.MerlinthreadError:
        return 0
    return response.status


def make_pool() -> connection_pool.ConnectionPool:
    """Return a pool that opens a connection for each request."""
    return connection_pool.ConnectionPool(0.0, 0.5, CALL_TIMEOUT_S)


@dataclasses.dataclass(slots=True)
class Work:
    """What the engines have done, including those that crashed."""

    runs: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    events: int = 0


class Engine:
    """An engine that sends its heartbeats itself, so that none are sent while it is silent.

    After a crash it starts again as another instance. A crash during a silence takes effect at the
    end of the silence.
    """

    def __init__(self, index: int) -> None:
        self.index = index
        self.generation = 0
        self.former: list[silent_worker.SilentWorker] = []
        self.current = self.make_worker()

    def make_worker(self) -> silent_worker.SilentWorker:
        """Return the stand-in for the next process of this engine."""
        silent = silent_worker.SilentWorker(f"i-{self.index}-{self.generation}", "m")
        silent.worker.behaviour.events = EVENT_COUNT
        silent.worker.behaviour.gap_s = EVENT_GAP_S
        return silent

    async def start(self) -> None:
        """Start listening and sending heartbeats."""
        await self.current.start()
        asyncio.run_coroutine_threadsafe(send_heartbeats(self.current), self.current.loop)

    async def crash(self, duration_s: float) -> None:
        """End the process and start another one after some time."""
        self.former.append(self.current)
        await self.current.call(self.current.close())
        self.generation += 1
        self.current = self.make_worker()
        await asyncio.sleep(duration_s)
        await self.start()

    def stop(self) -> None:
        """Stop all processes of this engine."""
        for silent in [*self.former, self.current]:
            if silent.thread.is_alive():
                silent.stop()

    def add_work(self, work: Work) -> None:
        """Add what all processes of this engine have done."""
        for silent in [*self.former, self.current]:
            work.runs.update(run.request_id for run in silent.worker.runs)
            work.events += silent.worker.events_sent


async def send_heartbeats(silent: silent_worker.SilentWorker) -> None:
    """Send heartbeats of an engine to all control VMs in turn, until cancelled."""
    pool = make_pool()
    sequence = 0
    while True:
        ip = soak_nodes.CONTROL_IPS[sequence % len(soak_nodes.CONTROL_IPS)]
        sequence += 1
        await send_heartbeat(pool, ip, silent, sequence)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def send_heartbeat(
    pool: connection_pool.ConnectionPool,
    ip: str,
    silent: silent_worker.SilentWorker,
    sequence: int,
) -> None:
    """Send one heartbeat of an engine."""
    body = {
        "service": "model",
        "address": silent.worker.address,
        "zone": "zone-a",
        "slots": SLOTS,
        "state": "ready",
        "sequence": sequence,
        "models": [{"name": "m", "version": silent.worker.version}],
    }
    await call_control(pool, ip, "PUT", f"/instances/{silent.worker.instance}", body)


class SilenceFleet:
    """Three control VMs and two entries of the build in `source`, and the engines."""

    def __init__(self, folder: pathlib.Path, source: pathlib.Path, timeout_s: float) -> None:
        self.folder = folder
        self.timeout_s = timeout_s
        ips = list(soak_nodes.CONTROL_IPS)
        self.controls = [self.make_node("control", ip, ips, source) for ip in ips]
        self.entries = [self.make_node("entry", ip, ips, source) for ip in soak_nodes.ENTRY_IPS]
        self.engines = [Engine(index) for index in range(silence_plan.ENGINE_COUNT)]
        self.pool = make_pool()
        self.version = 0

    def make_node(
        self, role: str, ip: str, control_ips: list[str], source: pathlib.Path
    ) -> soak_nodes.Node:
        """Return a node that is not started."""
        name = f"{role}-{ip}"
        return soak_nodes.Node(self.folder, name, role, ip, control_ips, source=source)

    async def start(self) -> None:
        """Start control VMs and engines, apply a configuration, and start the entries."""
        for node in self.controls:
            node.start()
        await self.change_configuration()
        for node in self.controls:
            while await call_control(self.pool, node.ip, "GET", "/config") != 200:
                await asyncio.sleep(0.05)
        for engine in self.engines:
            await engine.start()
        for node in self.entries:
            node.start()

    async def change_configuration(self) -> None:
        """Apply a new configuration; repeat the call until a control VM acknowledges it."""
        self.version += 1
        body = make_configuration(self.version, self.timeout_s)
        while True:
            for node in self.controls:
                if await call_control(self.pool, node.ip, "PUT", "/config", body) == 200:
                    return
                await asyncio.sleep(0.05)

    def measure_work(self) -> Work:
        """Return what the engines have done so far."""
        work = Work()
        for engine in self.engines:
            engine.add_work(work)
        return work

    def read_request_log(self) -> dict[str, dict[str, Any]]:
        """Return the log line of each request at the entries, by request id."""
        found = {}
        for node in self.entries:
            log = self.folder / f"{node.name}.log"
            for line in log.read_text(errors="replace").splitlines():
                if '"event": "request"' in line:
                    fields = json.loads(line)
                    found[fields["request"]] = fields
        return found

    def close(self) -> None:
        """Kill the node processes and stop the engines."""
        for node in [*self.controls, *self.entries]:
            node.signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
        for engine in self.engines:
            engine.stop()
