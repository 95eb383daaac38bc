"""The cold starts of back ends that an entry knows, from heartbeats and from agents."""

from collections.abc import Callable, Mapping

from merlinthread import logs
from merlinthread.coordination import backend_record, cold_limits
from merlinthread.nodes import fleet_watcher, node_settings


class ColdStarts:
    """Applies reports of cold starts to the records of back ends, and logs their begin and end."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        watcher: fleet_watcher.FleetWatcher,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.watcher = watcher
        self.clock = clock
        # The back ends that were cold at the last update, for the log.
        self.cold_instances: set[str] = set()

    def update(self, backend: backend_record.Backend) -> None:
        """Apply the limit while a back end is cold, and the cold start in its last heartbeat."""
        availability = backend.availability
        service = self.watcher.service(backend.service)
        if service is not None:
            bounds = self.settings.bounds
            availability.cold_limit = cold_limits.make_limit(
                service.cold_per_s, bounds.cold_overage, bounds.cold_slack
            )
            availability.has_agent = service.engine is not None and self.settings.agent_port > 0
        heard_at = self.watcher.instance_table.heard_at.get(backend.instance)
        until = self.watcher.instance_table.cold_until.get(backend.instance)
        if heard_at is not None and until is not None:
            availability.cold.record(until, heard_at - cold_limits.REPORT_DELAY_S, heard_at)
        backend.cold_until = availability.cold.until

    def apply_agent_report(self, backend: backend_record.Backend, cold_s: float | None) -> None:
        """Apply an agent's report of how long its engine will still be cold, None if unknown."""
        if cold_s is None:
            return
        now = self.clock()
        state = backend.availability.cold
        state.record(now + cold_s, now - cold_limits.REPORT_DELAY_S, now)
        backend.cold_until = state.until

    def log_changes(self, backends: Mapping[str, backend_record.Backend]) -> None:
        """Log which back ends have become cold or have stopped being so since the last update."""
        now = self.clock()
        cold = {
            instance: backend.availability
            for instance, backend in backends.items()
            if backend.availability.cold.is_cold(now)
        }
        for instance in sorted(self.cold_instances - set(cold)):
            logs.event("backend_warm", instance=instance)
        for instance in sorted(set(cold) - self.cold_instances):
            limit = cold[instance].cold_limit
            logs.event(
                "backend_cold",
                instance=instance,
                cold_s=round(cold[instance].cold.until - now, 3),
                bound_per_s=limit.bound if limit is not None else None,
            )
        self.cold_instances = set(cold)
