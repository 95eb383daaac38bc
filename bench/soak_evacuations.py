"""Check of the soak test: no request reaches an evacuated zone, and no evacuation is forgotten."""

import asyncio
import dataclasses
import json
import math
from collections.abc import Callable
from typing import Any

from bench import soak_fleet, soak_signals
from stand_ins import fleet_worker

EVACUATE_S = 5.0
# Requests that were sent in time may arrive this much later.
IN_FLIGHT_S = 0.2
READ_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class Evacuation:
    """An evacuation of a zone, in loop time; infinite times have not come yet.

    `called_at` is when the first call was sent, `acknowledged_at` when one was answered with 200.
    The withdrawal is the same.
    """

    zone: str
    called_at: float
    acknowledged_at: float = math.inf
    withdrawal_called_at: float = math.inf
    withdrawn_at: float = math.inf

    def is_certain(self, since: float, until: float) -> bool:
        """Return whether the zone was evacuated during all of a period."""
        return self.acknowledged_at < since and until < self.withdrawal_called_at

    def is_possible(self, since: float, until: float) -> bool:
        """Return whether the zone may have been evacuated at some time of a period."""
        return self.called_at < until and since < self.withdrawn_at


class EvacuationChecker:
    """Records the evacuations of a run and finds requests that violate them.

    `is_bound` returns whether an entry must obey evacuations at a time. By default, it must unless
    it was stopped, suspended or started within EVACUATE_S before: then it was not in contact with
    the control VMs all the time.
    """

    def __init__(
        self,
        signal_checker: soak_signals.SignalChecker,
        is_bound: Callable[[str, float], bool] | None = None,
    ) -> None:
        self.signal_checker = signal_checker
        self.is_bound = is_bound or self.was_in_contact
        self.evacuations: list[Evacuation] = []

    def check_reading(self, zones: list[str], since: float, until: float) -> list[str]:
        """Return what is wrong with the evacuated zones in an answer to a call of that period."""
        certain = {e.zone for e in self.evacuations if e.is_certain(since, until)}
        possible = {e.zone for e in self.evacuations if e.is_possible(since, until)}
        found = []
        if missing := certain - set(zones):
            found.append(f"acknowledged evacuations of {sorted(missing)} are not in force")
        if more := set(zones) - possible:
            found.append(f"{sorted(more)} are evacuated after the withdrawal, or were never")
        return found

    def violations(self, workers: list[fleet_worker.Worker]) -> list[str]:
        """Return a description of each request in an evacuated zone."""
        return [
            text
            for evacuation in self.evacuations
            for worker in workers
            if worker.zone == evacuation.zone
            for text in self.late_requests(evacuation, worker)
        ]

    def was_in_contact(self, entry_ip: str, at: float) -> bool:
        """Return whether an entry ran without interruption for EVACUATE_S before a time."""
        return self.signal_checker.is_undisturbed(entry_ip, at - EVACUATE_S, at)

    def late_requests(self, evacuation: Evacuation, worker: fleet_worker.Worker) -> list[str]:
        """Describe the requests of bound entries that reached a worker of an evacuated zone."""
        begin = evacuation.acknowledged_at + EVACUATE_S + IN_FLIGHT_S
        found = []
        for arrival in [*worker.runs, *worker.refusals]:
            request_id, at = arrival.request_id, arrival.at
            if not begin < at < evacuation.withdrawal_called_at:
                continue
            entry_ip = self.signal_checker.sent[request_id].entry_ip
            if self.is_bound(entry_ip, at):
                late_s = at - evacuation.acknowledged_at
                found.append(
                    f"{request_id} of {entry_ip} reached {worker.instance} in {evacuation.zone}"
                    f" {late_s:.2f} s after its evacuation was acknowledged"
                )
        return found


class ZoneOperator:
    """Evacuates zones, withdraws that and reads it back; operators repeat each call.

    `run` is the soak run whose control VMs are called. `has_calls` returns whether the build of a
    control VM had these calls at a time; one that has none answers 404.
    """

    def __init__(
        self,
        run: Any,
        checker: EvacuationChecker,
        has_calls: Callable[[str, float], bool] = lambda control_ip, at: True,
    ) -> None:
        self.run = run
        self.checker = checker
        self.has_calls = has_calls
        self.refused = 0

    async def evacuate(self, zone: str, within_s: float) -> Evacuation:
        """Evacuate a zone; it may stay unacknowledged."""
        now = asyncio.get_running_loop().time
        evacuation = Evacuation(zone, now())
        self.checker.evacuations.append(evacuation)
        if await self.call_until_acknowledged("POST", zone, within_s):
            evacuation.acknowledged_at = now()
        return evacuation

    async def withdraw(self, evacuation: Evacuation) -> None:
        """Withdraw an evacuation."""
        now = asyncio.get_running_loop().time
        evacuation.withdrawal_called_at = now()
        await self.call_until_acknowledged("DELETE", evacuation.zone, math.inf)
        evacuation.withdrawn_at = now()

    async def call_until_acknowledged(self, method: str, zone: str, within_s: float) -> bool:
        """Repeat a call, each time to a random control VM; return whether it was acknowledged."""
        now = asyncio.get_running_loop().time
        deadline = now() + within_s
        while now() < deadline:
            ip, called_at = self.run.rng.choice(self.run.fleet.control_ips), now()
            status, _ = await self.run.call_control(method, f"/evacuations/{zone}", ip=ip)
            if status == 200:
                return True
            if 400 <= status < 500 and (status != 404 or self.has_calls(ip, called_at)):
                self.run.record_violation(f"{method} of {zone} was rejected with status {status}")
                return False
            self.refused += status != 0
            await asyncio.sleep(0.1)
        return False

    async def run_reads(self) -> None:
        """Read the evacuated zones and call an unknown one, until cancelled."""
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            await self.read()
            status, _ = await self.run.call_control("POST", "/evacuations/zone-unknown")
            if 200 <= status < 300:
                self.run.record_violation("the evacuation of an unknown zone was acknowledged")

    async def read(self) -> bool:
        """Read and check the evacuated zones; return whether the read succeeded."""
        now = asyncio.get_running_loop().time
        since = now()
        status, body = await self.run.call_control("GET", "/evacuations")
        if status != 200:
            return False
        zones = json.loads(body)["zones"]
        for text in self.checker.check_reading(zones, since, now()):
            self.run.record_violation(text)
        return True

    async def wait_until_read(self, when: str) -> None:
        """Wait until a read succeeds; record a violation after RECOVERY_TIMEOUT_S."""
        deadline = asyncio.get_running_loop().time() + soak_fleet.RECOVERY_TIMEOUT_S
        while not await self.read():
            if asyncio.get_running_loop().time() > deadline:
                self.run.record_violation(f"{when}: evacuations were not read")
                return
            await asyncio.sleep(0.1)
