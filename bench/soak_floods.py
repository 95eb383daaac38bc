"""Responses without end and clients that do not read, as faults of the soak test of placement."""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import socket
import subprocess
from typing import Any

from bench import soak_fleet, soak_nodes
from merlinthread.nodes import node_settings
from merlinthread.transport import http_messages, stream_server
from stand_ins import fleet_worker

KIB = 1024
# Bytes after the headers of a response, and bytes that are repeated after them.
FLOODS = {
    "head": (b"\r\n", b"x-a: b\r\n"),
    "chunk extensions": (
        b"\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1;" + b"x" * 1000 + b"\r\na\r\n",
    ),
    "body": (b"\r\n\r\n", b"x" * KIB),
}
# Floods of event streams: an event without end, and the first event of every stream repeated, after
# which another worker can resume the stream.
STREAM_FLOODS = {
    "event that never ends": (b"\r\n\r\nid: 1\ndata: ", b"x" * KIB),
    "same event": (b"\r\n\r\n", b"id: 1\ndata: 1\n\n"),
}
# Events without an id are always new, so that an entry forwards them.
NEW_EVENTS = (b"\r\n\r\n", b"data: " + b"x" * 1000 + b"\n\n")
# Below the bound of a response that an entry reads as a whole, above what sockets buffer.
LONG_BODY_BYTES = 12 * KIB * KIB
FLOOD_S = (1.0, 3.0)
SLOW_CLIENTS = (6, 10)
# Longer than the deadline of the requests, after which an entry may close their connections.
NOT_READING_S = (3.0, 4.5)
DEADLINE_MS = 2500
# Prefix of the ids of requests that get long responses.
SLOW_PREFIX = "slow-"
SAMPLE_INTERVAL_S = 0.1
# The soak test does not set this, so that entries have the default.
MEMORY_BYTES = next(
    field.default
    for field in dataclasses.fields(node_settings.NodeSettings)
    if field.name == "memory_bytes"
)


class Worker(fleet_worker.Worker):
    """A worker whose responses to some requests are long; those to others are not changed."""

    # The number of requests that got a response without end by the worker's behaviour.
    flood_count = 0

    async def respond(
        self, exchange: stream_server.Exchange, headers: dict[str, str], request_id: str
    ) -> None:
        """Send a stream without end or a large body if the request's id asks for that."""
        if not request_id.startswith(SLOW_PREFIX):
            self.flood_count += self.behaviour.flood is not None
            await super().respond(exchange, headers, request_id)
            return
        response_headers = [
            *self.common_headers(),
            (b"X-Merlinthread-Request-Id", request_id.encode()),
            (b"X-Merlinthread-Response-Stamp", f"{self.instance}.{request_id}".encode()),
        ]
        if "x-merlinthread-model" in headers:
            await self.send_flood(exchange, response_headers, *NEW_EVENTS)
        else:
            body = bytes(LONG_BODY_BYTES)
            await exchange.respond(http_messages.Response(200, response_headers, body))


async def flood(run: Any) -> None:
    """Let one worker of each of some services answer without end for a while."""
    services = sorted(set(run.fleet.workers.values()))
    chosen = run.rng.sample(services, run.rng.randint(1, len(services)))
    workers = [
        run.rng.choice([worker for worker, of in run.fleet.workers.items() if of == service])
        for service in chosen
    ]
    for worker in workers:
        floods = FLOODS | STREAM_FLOODS if worker.model else FLOODS
        worker.behaviour.flood = floods[run.rng.choice(sorted(floods))]
    await asyncio.sleep(run.rng.uniform(*FLOOD_S))
    for worker in workers:
        # Another fault may have replaced the behaviour.
        worker.behaviour.flood = None


async def send_without_reading(run: Any) -> None:
    """Send requests for long responses, and read the status of each only after a while."""
    count = run.rng.randint(*SLOW_CLIENTS)
    services = [run.rng.choice(("safe", "unsafe", "model")) for _ in range(count)]
    await asyncio.gather(*(send_one_without_reading(run, service) for service in services))


async def send_one_without_reading(run: Any, service: str) -> None:
    """Send one such request; a failed connection is a result of other faults."""
    run.request_count += 1
    request_id = f"{SLOW_PREFIX}{run.request_count}"
    entry_ip = run.pick_entry()
    run.record_request(request_id, service, "key-1")
    run.signal_checker.record_request(request_id, entry_ip)
    lines = [
        f"POST /{service}/ HTTP/1.1",
        "Host: h.example",
        f"X-Merlinthread-Request-Id: {request_id}",
        f"X-Merlinthread-Deadline-Ms: {DEADLINE_MS}",
        "Api-Key: key-1",
        "Content-Length: 0",
    ]
    if service == "model":
        lines += ["X-Merlinthread-Model: m", "X-Merlinthread-Token-Usage: 100,20"]
    duration_s = run.rng.uniform(*NOT_READING_S)
    loop = asyncio.get_running_loop()
    with socket.socket() as client, contextlib.suppress(OSError, TimeoutError):
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * KIB)
        client.setblocking(False)
        async with asyncio.timeout(1.0):
            await loop.sock_connect(client, (entry_ip, soak_nodes.FRONT_PORT))
            await loop.sock_sendall(client, "\r\n".join([*lines, "", ""]).encode())
        await asyncio.sleep(duration_s)
        async with asyncio.timeout(1.0):
            data = await loop.sock_recv(client, KIB)
        parts = data.split(b" ", 2)
        if len(parts) == 3 and parts[1].isdigit():
            run.flood_checker.slow_statuses[int(parts[1])] += 1
            run.record_status(service, request_id, int(parts[1]))


class FloodChecker:
    """Checks that nodes neither end by themselves nor take too much memory, and 503 responses."""

    def __init__(self, fleet: soak_fleet.SoakFleet) -> None:
        self.fleet = fleet
        # The statuses of responses that were not read for a while.
        self.slow_statuses: collections.Counter = collections.Counter()
        # Ids of the requests that were answered with status 503.
        self.unavailable: set[str] = set()
        self.largest_bytes = 0
        self.processes: dict[subprocess.Popen, soak_nodes.Node] = {}

    async def watch(self) -> None:
        """Sample the nodes' processes until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Record all processes, and the memory of the entries."""
        for node in [*self.fleet.nodes, *self.fleet.replaced]:
            if node.process is None:
                continue
            self.processes[node.process] = node
            if node.role == "entry" and node.process.poll() is None:
                self.largest_bytes = max(self.largest_bytes, resident_bytes(node.process.pid))

    def violations(self) -> list[str]:
        """Return a description of each violation."""
        self.sample()
        found = [
            f"{node.name} ended by itself with {process.returncode}"
            for process, node in self.processes.items()
            if process.poll() is not None and process.pid not in node.ended_pids
        ]
        if self.largest_bytes > MEMORY_BYTES:
            found.append(f"an entry took {self.largest_bytes} bytes of {MEMORY_BYTES}")
        ran = {run.request_id for worker in self.fleet.workers for run in worker.runs}
        found += [f"{name} ran and got status 503" for name in sorted(self.unavailable & ran)]
        return found


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, 0 if it has ended."""
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * KIB
    return 0
