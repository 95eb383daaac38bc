"""A fixture of control VMs, entries and workers that crash on a certain request, on loopback."""

import asyncio
import contextlib
import pathlib

from merlinthread.nodes import node_settings
from merlinthread.transport import http_messages
from stand_ins import crashing_worker
from tests import fleet_nodes

CONTACT_S = 1.0
BEAT_S = 0.1
DEADLY = b"deadly"


class CrashingFleet:
    """A small deployment whose workers crash on `DEADLY` requests."""

    def __init__(self, folder: pathlib.Path, service: str = "safe", model: str = "") -> None:
        self.controls = fleet_nodes.Controls(folder)
        self.service = service
        self.model = model
        self.entries: list[fleet_nodes.Entry] = []
        self.workers: list[crashing_worker.CrashingWorker] = []
        self.beats: list[asyncio.Task[None]] = []
        self.asked = 0
        self.entry_port = fleet_nodes.free_port()

    async def start(self, entries: int, workers: int, **behaviour) -> None:
        """Start all nodes and wait until every entry knows every worker."""
        await self.controls.start_all()
        await fleet_nodes.until(self.controls.leader)
        for number in range(workers):
            worker = crashing_worker.CrashingWorker(f"i-{number}", self.model, **behaviour)
            await worker.start()
            self.workers.append(worker)
            self.beats.append(asyncio.get_running_loop().create_task(self.beat(worker)))
        services = [] if self.model else [self.service]
        model_service = self.service if self.model else ""
        body = fleet_nodes.configuration(1, services, model_service)
        await self.controls.until_acknowledged("PUT", "/config", body)
        for number in range(entries):
            await self.add_entry(f"{fleet_nodes.NETWORK}.{31 + number}")

    async def add_entry(self, ip: str) -> fleet_nodes.Entry:
        """Start another entry, wait until it is ready and knows all workers, and return it."""
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

    async def beat(self, worker: crashing_worker.CrashingWorker) -> None:
        """Send a heartbeat every `BEAT_S` while the worker is up."""
        while True:
            if not worker.is_down:
                worker.sequence += 1
                with contextlib.suppress(Exception):
                    await self.tell(worker)
            await asyncio.sleep(BEAT_S)

    async def tell(self, worker: crashing_worker.CrashingWorker) -> None:
        """Send one heartbeat of a worker to the first control VM."""
        body = {
            "service": self.service,
            "address": worker.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": worker.sequence,
            "models": [{"name": worker.model, "version": 1}],
        }
        if worker.sends_born_ms:
            body["born"] = worker.born_ms
        ip = next(iter(self.controls.nodes))
        await self.controls.call(ip, "PUT", f"/instances/{worker.instance}", body)

    async def ask(self, entry: int, body: bytes, path: str = "") -> http_messages.Response:
        """Send a request with a unique id to one entry and return the response."""
        self.asked += 1
        headers = {"X_Merlinthread_Model": self.model} if self.model else {}
        target = path or f"/{self.service}/x"
        return await self.entries[entry].ask(target, f"id-{self.asked}", body, **headers)

    def crash_times(self) -> list[float]:
        """Return the times of worker crashes, in ascending order."""
        return sorted(at for worker in self.workers for at in worker.crash_times)

    def crash_request_times(self) -> list[float]:
        """Return the times at which workers received deadly requests, in ascending order."""
        return sorted(at for worker in self.workers for at in worker.crash_request_times)

    def late_arrivals(self) -> int:
        """Return the number of deadly requests later than `CONTACT_S` after the third crash."""
        bound = self.crash_times()[2] + CONTACT_S
        return sum(at > bound for at in self.crash_request_times())

    async def send_until_late(self, seconds: float, comings: int) -> list[http_messages.Response]:
        """Send the deadly request to each entry in turn and return the responses.

        It is sent every 50 ms until `seconds` after the third crash; then `comings` more are sent
        one at a time, and their responses are not returned.
        """
        loop = asyncio.get_running_loop()
        tasks = []
        # The loop below needs the first crash to have happened.
        await self.ask_any(0, DEADLY)
        await fleet_nodes.until(self.crash_times)
        while len(self.crash_times()) < 3 or loop.time() < self.crash_times()[2] + seconds:
            entry = len(tasks) % len(self.entries)
            tasks.append(loop.create_task(self.ask_any(entry, DEADLY)))
            await asyncio.sleep(0.05)
        for number in range(comings):
            await self.ask_any(number % len(self.entries), DEADLY)
        return [answer for answer in await asyncio.gather(*tasks) if answer is not None]

    async def ask_any(self, entry: int, body: bytes) -> http_messages.Response | None:
        """Send a request and return the response, or None if the request fails."""
        with contextlib.suppress(Exception):
            return await self.ask(entry, body)
        return None

    async def until_held(self) -> None:
        """Send the deadly request repeatedly until a control VM's state holds it back."""
        async with asyncio.timeout(10.0):
            while not any(node.member.state.held for node in self.controls.nodes.values()):
                await self.ask_any(0, DEADLY)

    async def until_known(self) -> None:
        """Wait until all workers are up and every entry knows exactly their incarnations."""

        def is_known() -> bool:
            there = {worker.instance for worker in self.workers if not worker.is_down}
            known = [set(entry.node.pool.backends) for entry in self.entries]
            return len(there) == len(self.workers) and all(found == there for found in known)

        await fleet_nodes.until(is_known)

    async def lose_power(self) -> None:
        """Kill all control VMs and entries, then restart the control VMs and one entry.

        The leader restarts with an empty data folder, the other control VMs with their files.
        """
        lost = self.controls.leader()
        for ip in self.controls.ips:
            self.controls.kill(ip)
        for entry in self.entries:
            end_entry(entry)
        self.entries = []
        for ip in self.controls.ips:
            await self.controls.start(ip, folder=f"{ip}-empty" if ip == lost else "")
        await fleet_nodes.until(self.controls.leader)
        await self.add_entry(f"{fleet_nodes.NETWORK}.41")

    async def stop(self) -> None:
        """Stop all nodes."""
        for task in self.beats:
            task.cancel()
        for entry in self.entries:
            end_entry(entry)
        for worker in self.workers:
            if worker.crash_task is not None:
                worker.crash_task.cancel()
            worker.stop()
        for ip in list(self.controls.nodes):
            self.controls.kill(ip)


def end_entry(entry: fleet_nodes.Entry) -> None:
    """Cancel an entry's tasks and close its sockets, as if its process was killed."""
    for task in entry.node.tasks:
        task.cancel()
    for server in (entry.node.server, entry.node.ready_server):
        server.stop_accepting()
    if entry.node.datagrams.transport is not None:
        entry.node.datagrams.transport.close()
