"""Test fleet on the loopback interface whose workers crash on certain requests."""

import asyncio
import contextlib
import pathlib

from merlinthread.nodes import node_settings
from merlinthread.transport import http_messages
from stand_ins import crashing_worker
from tests import fleet_nodes

CONTACT_S = 1.0
HEARTBEAT_INTERVAL_S = 0.1
CRASH_BODY = b"deadly"


class CrashingFleet:
    """Three control VMs, entries, and workers that crash when they run a certain request."""

    def __init__(self, folder: pathlib.Path, service: str = "safe", model: str = "") -> None:
        self.controls = fleet_nodes.Controls(folder)
        self.service = service
        self.model = model
        self.entries: list[fleet_nodes.Entry] = []
        self.workers: list[crashing_worker.CrashingWorker] = []
        self.heartbeat_tasks: list[asyncio.Task[None]] = []
        self.request_count = 0
        # How long the workers say that they are still cold.
        self.cold_ms = 0
        self.entry_port = fleet_nodes.free_port()

    async def start(self, entries: int, workers: int, **behaviour) -> None:
        """Start all nodes; return once each entry knows all workers."""
        await self.controls.start_all()
        await fleet_nodes.until(self.controls.leader)
        for number in range(workers):
            worker = crashing_worker.CrashingWorker(f"i-{number}", self.model, **behaviour)
            await worker.start()
            self.workers.append(worker)
            self.heartbeat_tasks.append(
                asyncio.get_running_loop().create_task(self.send_heartbeats(worker))
            )
        services = [] if self.model else [self.service]
        model_service = self.service if self.model else ""
        body = fleet_nodes.configuration(1, services, model_service)
        await self.controls.until_acknowledged("PUT", "/config", body)
        for number in range(entries):
            await self.add_entry(f"{fleet_nodes.NETWORK}.{31 + number}")

    async def add_entry(self, ip: str) -> fleet_nodes.Entry:
        """Start one more entry; return it once it knows all workers."""
        settings = fleet_nodes.make_settings(
            f"entry-{ip}",
            ip,
            control_port=self.controls.port,
            control_ips=self.controls.ips,
            entry_port=self.entry_port,
            client_address=f"{ip}:{fleet_nodes.free_port()}",
            ready_address=f"{ip}:{fleet_nodes.free_port()}",
            bounds=node_settings.Bounds(contact_s=CONTACT_S),
        )
        entry = fleet_nodes.Entry(settings)
        await entry.node.start()
        self.entries.append(entry)
        known = entry.node.pool.backends
        await fleet_nodes.until(lambda: len(known) >= len(self.workers) and entry.node.is_ready())
        return entry

    async def send_heartbeats(self, worker: crashing_worker.CrashingWorker) -> None:
        """Send heartbeats of a worker while its process is running."""
        while True:
            if not worker.is_down:
                worker.sequence += 1
                with contextlib.suppress(Exception):
                    await self.send_heartbeat(worker)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self, worker: crashing_worker.CrashingWorker) -> None:
        """Send one heartbeat of a worker."""
        body = {
            "service": self.service,
            "address": worker.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": self.cold_ms,
            "sequence": worker.sequence,
            "models": [{"name": worker.model, "version": 1}],
        }
        if worker.sends_born_ms:
            body["born"] = worker.born_ms
        ip = next(iter(self.controls.nodes))
        await self.controls.call(ip, "PUT", f"/instances/{worker.instance}", body)

    async def request(
        self, entry: int, body: bytes, path: str = "", parts: tuple[str, ...] = ()
    ) -> http_messages.Response:
        """Send a request with a new id to one entry and return the response.

        Its prompt has these shared parts and a last one of its own.
        """
        self.request_count += 1
        headers = {"X_Merlinthread_Model": self.model} if self.model else {}
        if parts:
            prompt = [f"{part}:40" for part in (*parts, f"{self.request_count:x}f")]
            headers["X_Merlinthread_Prompt_Prefix"] = ",".join(prompt)
        target = path or f"/{self.service}/x"
        return await self.entries[entry].request(
            target, f"id-{self.request_count}", body, **headers
        )

    def crash_times(self) -> list[float]:
        """Return the times of worker crashes, in order."""
        return sorted(at for worker in self.workers for at in worker.crash_times)

    def crash_request_times(self) -> list[float]:
        """Return the times at which crashing requests reached workers, in order."""
        return sorted(at for worker in self.workers for at in worker.crash_request_times)

    def count_late_requests(self) -> int:
        """Return how many crashing requests came later than `CONTACT_S` after the third crash."""
        bound = self.crash_times()[2] + CONTACT_S
        return sum(at > bound for at in self.crash_request_times())

    async def send_crashing_requests(
        self, seconds: float, repeats: int
    ) -> list[http_messages.Response]:
        """Send the crashing request to each entry in turn; return the responses.

        It is sent every 50 ms until `seconds` after the third crash, then `repeats` more times.
        """
        loop = asyncio.get_running_loop()
        tasks = []
        # The first request must crash a worker, or there would be nothing to wait for.
        await self.request_or_none(0, CRASH_BODY)
        await fleet_nodes.until(self.crash_times)
        while len(self.crash_times()) < 3 or loop.time() < self.crash_times()[2] + seconds:
            entry = len(tasks) % len(self.entries)
            tasks.append(loop.create_task(self.request_or_none(entry, CRASH_BODY)))
            await asyncio.sleep(0.05)
        for number in range(repeats):
            await self.request_or_none(number % len(self.entries), CRASH_BODY)
        return [response for response in await asyncio.gather(*tasks) if response is not None]

    async def request_or_none(
        self, entry: int, body: bytes, parts: tuple[str, ...] = ()
    ) -> http_messages.Response | None:
        """Send a request; return the response, or None if the connection broke."""
        with contextlib.suppress(Exception):
            return await self.request(entry, body, parts=parts)
        return None

    async def request_until_held(self) -> None:
        """Send the crashing request repeatedly until the control VMs have committed a hold."""
        async with asyncio.timeout(10.0):
            while not any(node.member.state.held for node in self.controls.nodes.values()):
                await self.request_or_none(0, CRASH_BODY)

    async def until_known(self) -> None:
        """Wait until all workers are running and each entry knows their current incarnations."""

        def is_known() -> bool:
            present = {worker.instance for worker in self.workers if not worker.is_down}
            known = [set(entry.node.pool.backends) for entry in self.entries]
            return len(present) == len(self.workers) and all(found == present for found in known)

        await fleet_nodes.until(is_known)

    async def simulate_power_loss(self) -> None:
        """Kill all control VMs and entries at once and restart them from their files.

        The disk of the leader is lost.
        """
        lost = self.controls.leader()
        for ip in self.controls.ips:
            self.controls.kill(ip)
        for entry in self.entries:
            kill_entry(entry)
        self.entries = []
        for ip in self.controls.ips:
            await self.controls.start(ip, folder=f"{ip}-empty" if ip == lost else "")
        await fleet_nodes.until(self.controls.leader)
        await self.add_entry(f"{fleet_nodes.NETWORK}.41")

    async def stop(self) -> None:
        """Stop all nodes."""
        for task in self.heartbeat_tasks:
            task.cancel()
        for entry in self.entries:
            kill_entry(entry)
        for worker in self.workers:
            if worker.crash_task is not None:
                worker.crash_task.cancel()
            worker.stop()
        for ip in list(self.controls.nodes):
            self.controls.kill(ip)


def kill_entry(entry: fleet_nodes.Entry) -> None:
    """Stop an entry abruptly, as if its process was killed."""
    for task in entry.node.tasks:
        task.cancel()
    for server in (entry.node.server, entry.node.ready_server):
        server.stop_accepting()
    if entry.node.datagrams.transport is not None:
        entry.node.datagrams.transport.close()
