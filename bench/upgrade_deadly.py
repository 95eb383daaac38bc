"""A request that ends the workers that run it, beside an upgrade: `bench upgrade --deadly`."""

import asyncio
import contextlib
import pathlib
from typing import Any

from bench import soak_fleet, soak_nodes
from merlinthread import errors
from merlinthread.transport import http_messages
from stand_ins import crashing_worker, fleet_worker

# The request that ends workers, and how often it comes.
DEADLY = b"deadly"
DEADLY_EVERY_S = 0.7


class CrashingFleet(soak_fleet.SoakFleet):
    """The fleet of a soak whose workers a certain request ends; no links lie before them."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.workers = {
            crashing_worker.CrashingWorker(worker.instance, worker.model): service
            for worker, service in self.workers.items()
        }

    async def start_worker(self, worker: fleet_worker.Worker) -> None:
        """Start a worker; callers know its own address."""
        worker.behaviour.events = soak_fleet.EVENTS
        await worker.start()

    def crash_times(self) -> list[float]:
        """Return when workers ended, on the event loop's clock."""
        return [at for worker in self.workers for at in worker.crash_times]  # type: ignore[attr-defined]


async def send_deadly(upgrade: Any) -> None:
    """Let the request that ends workers come again and again, under other ids."""
    while True:
        await asyncio.sleep(DEADLY_EVERY_S)
        upgrade.requests += 1
        request_id = f"d{upgrade.requests}"
        entry_ip = upgrade.pick_entry()
        upgrade.words.note_sent(request_id, entry_ip)
        headers = [
            (b"Host", b"h.example"),
            (b"X-Merlinthread-Request-Id", request_id.encode()),
            (b"X-Merlinthread-Deadline-Ms", b"2500"),
            (b"Api-Key", b"key-1"),
            (b"content-length", b"%d" % len(DEADLY)),
        ]
        request = http_messages.Request(b"POST", b"/safe/", headers, DEADLY)
        with contextlib.suppress(errors.MerlinthreadError):
            await upgrade.fleet.pool.request(f"{entry_ip}:{soak_nodes.FRONT}", request, 4.0)
