"""Recording of the availability signals in back ends' responses, with log events and metrics."""

from collections.abc import Callable, Collection

from merlinthread import logs, metrics
from merlinthread.coordination import backend_availability, limit_table
from merlinthread.nodes import limit_reporter

# Bounds the memory, since back ends may send any number of header names.
UNREAD_HEADERS_MAX = 64


class SignalRecorder:
    """Records signals for one entry; `reporter` forwards rate limits to the other entries."""

    def __init__(
        self,
        signals: backend_availability.AvailabilityTable,
        reporter: limit_reporter.LimitReporter,
        clock: Callable[[], float],
    ) -> None:
        self.signals = signals
        self.reporter = reporter
        self.clock = clock
        self.unread_headers: set[str] = set()

    def record_unread_headers(self, names: Collection[str], instance: str, request_id: str) -> None:
        """Log each unsupported response header once, so that operators notice new ones."""
        for name in sorted(set(names) - self.unread_headers):
            if len(self.unread_headers) >= UNREAD_HEADERS_MAX:
                return
            self.unread_headers.add(name)
            metrics.unread_words.set(len(self.unread_headers))
            logs.event("answer_word_unread", header=name, instance=instance, request=request_id)

    def record_leaving(self, instance: str, request_id: str) -> None:
        """Record that a back end is leaving; this entry sends it no further requests.

        The signal is not forwarded to other entries, which get it with their own first response.
        Otherwise a wrong signal would stop all traffic to the back end until its process restarts.
        """
        availability = self.signals.availability_of(instance)
        if availability.record_leaving(backend_availability.LeavingSource.RESPONSE, self.clock()):
            logs.event("backend_leaves", instance=instance, request=request_id)
            self.update_metrics()

    def record_rest(self, instance: str, rest_s: float, request_id: str) -> None:
        """Record that a back end refused a request and asks for none for `rest_s` seconds.

        Without the full rest, a back end that refuses everything would attract requests because its
        load is the lowest.
        """
        if rest_s > 0 and self.signals.availability_of(instance).record_rest(rest_s, self.clock()):
            logs.event("backend_rests", instance=instance, rest_s=rest_s, request=request_id)
            self.update_metrics()

    def record_limit(
        self, instance: str, per_s: float | None, sent_at: float, request_id: str
    ) -> None:
        """Record the limit of requests per second in a response, None for no limit.

        `sent_at` is when the request was sent. Changes are reported to the control VMs.
        """
        availability = self.signals.availability_of(instance)
        before = availability.limit_per_s
        if not availability.record_limit(per_s, sent_at, self.clock()):
            return
        logs.event(
            "backend_limit", instance=instance, per_s=per_s, before=before, request=request_id
        )
        self.reporter.report(limit_table.LimitReport(instance, per_s, 0.0))
        self.update_metrics()

    def record_cold(self, instance: str, cold_s: float, sent_at: float, request_id: str) -> None:
        """Record how long a back end will still be cold, from a response to a request.

        `sent_at` is when the request was sent. Other entries hear of it from heartbeats and agents.
        """
        now = self.clock()
        state = self.signals.availability_of(instance).cold
        was_cold = state.is_cold(now)
        state.record(now + cold_s, sent_at, now)
        if state.is_cold(now) != was_cold:
            logs.event(
                "backend_cold_reported", instance=instance, cold_s=cold_s, request=request_id
            )

    def update_metrics(self) -> None:
        """Update the gauges of back ends that are resting, leaving, limited or cold."""
        metrics.backends_closed.labels("resting").set(self.signals.count_resting(self.clock()))
        metrics.backends_closed.labels("leaving").set(self.signals.count_leaving())
        metrics.backends_limited.set(self.signals.count_limited())
        metrics.backends_cold.set(self.signals.count_cold(self.clock()))
