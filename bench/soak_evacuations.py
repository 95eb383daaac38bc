"""Check of the soak test: no request reaches an evacuated zone, and no evacuation is forgotten."""

import dataclasses
import math

from bench import soak_signals
from stand_ins import fleet_worker

EVACUATE_S = 5.0
# Requests that were sent in time may arrive this much later.
IN_FLIGHT_S = 0.2


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
    """Records the evacuations of a run and finds requests that violate them."""

    def __init__(self, signal_checker: soak_signals.SignalChecker) -> None:
        self.signal_checker = signal_checker
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

    def late_requests(self, evacuation: Evacuation, worker: fleet_worker.Worker) -> list[str]:
        """Describe the requests that reached a worker of an evacuated zone.

        Those of an entry that was stopped, suspended or started within EVACUATE_S before are left
        out: it was not in contact with the control VMs all the time.
        """
        begin = evacuation.acknowledged_at + EVACUATE_S + IN_FLIGHT_S
        found = []
        for arrival in [*worker.runs, *worker.refusals]:
            request_id, at = arrival.request_id, arrival.at
            if not begin < at < evacuation.withdrawal_called_at:
                continue
            entry_ip = self.signal_checker.sent[request_id].entry_ip
            if self.signal_checker.is_undisturbed(entry_ip, at - EVACUATE_S, at):
                late_s = at - evacuation.acknowledged_at
                found.append(
                    f"{request_id} of {entry_ip} reached {worker.instance} in {evacuation.zone}"
                    f" {late_s:.2f} s after its evacuation was acknowledged"
                )
        return found
