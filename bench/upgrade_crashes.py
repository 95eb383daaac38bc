"""A request that crashes the workers that run it, for `bench upgrade --deadly`."""

import asyncio
import contextlib
import pathlib
from typing import Any

from bench import soak_fleet, soak_nodes
from merlinthread import errors
from merlinthread.transport import http_messages
from stand_ins import crashing_worker, fleet_worker

# The body of the request, and the interval between such requests.
CRASH_BODY = b"deadly"
CRASH_INTERVAL_S = 0.7


class CrashingFleet(soak_fleet.SoakFleet):
    """The fleet of the soak test with workers that crash; they have no proxy links."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.workers = {
            crashing_worker.CrashingWorker(worker.instance, worker.model): service
            for worker, service in self.workers.items()
        }

    async def start_worker(self, worker: fleet_worker.Worker) -> None:
        """Start a worker without a proxy link."""
        worker.behaviour.events = soak_fleet.EVENT_COUNT
        await worker.start()

    def crash_times(self) -> list[float]:
        """Return the loop times of all crashes."""
        return [at for worker in self.workers for at in worker.crash_times]  # type: ignore[attr-defined]


async def send_crashing_requests(upgrade: Any) -> None:
    """Send the request periodically until cancelled, each time with a new id."""
    while True:
        await asyncio.sleep(CRASH_INTERVAL_S)
        upgrade.request_count += 1
        request_id = f"d{upgrade.request_count}"
        entry_ip = upgrade.pick_entry()
        upgrade.signal_checker.record_request(request_id, entry_ip)
        headers = [
            (b"Host", b"h.example"),
            (b"X-Merlinthread-Request-Id", request_id.encode()),
            (b"X-Merlinthread-Deadline-Ms", b"2500"),
            (b"Api-Key", b"key-1"),
            (b"content-length", b"%d" % len(CRASH_BODY)),
        ]
        request = http_messages.Request(b"POST", b"/safe/", headers, CRASH_BODY)
        with contextlib.suppress(errors.MerlinthreadError):
            await upgrade.fleet.pool.request(f"{entry_ip}:{soak_nodes.FRONT_PORT}", request, 4.0)
