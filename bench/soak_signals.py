"""Check of the soak test: entries obey the availability signals in workers' responses."""

import collections
import dataclasses
import time

from bench import soak_fleet
from merlinthread.transport import http_messages
from stand_ins import fleet_worker

# How long requests may still reach a worker after an entry forwarded its leaving signal.
LEAVING_DELAY_S = 2.0
# How long after a response with Retry-After requests in flight may still arrive.
IN_FLIGHT_S = 0.5
# How many requests may arrive in the remainder of the Retry-After delay.
REQUESTS_MAX = 2
LEAVING_HEADER = b"server-leaving"
STAMP_HEADER = b"x-merlinthread-response-stamp"


@dataclasses.dataclass(slots=True)
class SentRequest:
    """The entry that a client sent a request to, and the monotonic time."""

    entry_ip: str
    at: float


class SignalChecker:
    """Records the signals of a run and finds requests that violate them."""

    def __init__(self, fleet: soak_fleet.SoakFleet) -> None:
        self.fleet = fleet
        self.sent: dict[str, SentRequest] = {}
        # When an entry first forwarded a response with an instance's leaving signal.
        self.leaving_times: dict[tuple[str, str], float] = {}

    def record_request(self, request_id: str, entry_ip: str) -> None:
        """Record that a client sends a request to an entry."""
        self.sent[request_id] = SentRequest(entry_ip, time.monotonic())

    def record_response(self, entry_ip: str, response: http_messages.Response) -> None:
        """Record the leaving signal of a response."""
        stamp = http_messages.get_header(response.headers, STAMP_HEADER)
        if stamp is None or http_messages.get_header(response.headers, LEAVING_HEADER) is None:
            return
        instance = stamp.decode("ascii").partition(".")[0]
        self.leaving_times.setdefault((instance, entry_ip), time.monotonic())

    def is_undisturbed(self, entry_ip: str, since: float, until: float) -> bool:
        """Return whether an entry was neither started nor signalled between two times."""
        nodes = [node for node in self.fleet.nodes if node.ip == entry_ip]
        return not any(since <= at <= until for node in nodes for at in node.interruptions)

    def violations(self) -> list[str]:
        """Return a description of each violation."""
        return [*self.requests_after_leaving(), *self.requests_during_delays()]

    def requests_after_leaving(self) -> list[str]:
        """Describe the requests that reached a worker too long after its leaving signal."""
        found = []
        for worker in self.fleet.workers:
            for run in worker.runs:
                sent = self.sent[run.request_id]
                signalled_at = self.leaving_times.get((run.instance, sent.entry_ip))
                if signalled_at is None or sent.at <= signalled_at + LEAVING_DELAY_S:
                    continue
                if self.is_undisturbed(sent.entry_ip, signalled_at, sent.at):
                    late_s = sent.at - signalled_at
                    found.append(
                        f"{run.request_id} reached {run.instance} {late_s:.1f} s after its leaving"
                        " signal"
                    )
        return found

    def requests_during_delays(self) -> list[str]:
        """Describe the Retry-After delays in which one entry sent too many requests."""
        found = []
        for worker in self.fleet.workers:
            by_entry: dict[str, list[fleet_worker.Refusal]] = collections.defaultdict(list)
            for refusal in worker.refusals:
                by_entry[self.sent[refusal.request_id].entry_ip].append(refusal)
            for entry_ip, refusals in by_entry.items():
                found += self.violated_delays(worker.instance, entry_ip, refusals)
        return found

    def violated_delays(
        self, instance: str, entry_ip: str, refusals: list[fleet_worker.Refusal]
    ) -> list[str]:
        """Describe such delays of one worker and one entry."""
        found = []
        for first in refusals:
            begin, end = first.at + IN_FLIGHT_S, first.at + first.rest_s
            if not self.is_undisturbed(entry_ip, first.at, end):
                continue
            count = sum(begin < other.at < end for other in refusals)
            if count > REQUESTS_MAX:
                found.append(
                    f"{instance} got {count} requests from {entry_ip} in its Retry-After delay"
                )
        return found
