"""The back ends known to an entry, with their load, wait queues and retry budgets.

`backend_chooser` chooses among them.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from merlinthread import metrics
from merlinthread.coordination import (
    admission,
    allowed_regions,
    backend_availability,
    backend_record,
    dispatch,
    expected_cost,
    fleet,
    incarnations,
    load_feed,
    load_tracker,
    reload_schedule,
    retry_budget,
    retry_delays,
    wait_queue,
)
from merlinthread.nodes import (
    backend_connections,
    cold_permits,
    cold_starts,
    crash_detector,
    fleet_watcher,
    limit_reporter,
    load_prober,
    memory_limits,
    node_settings,
    permits,
    reservations,
    signal_recorder,
)
from merlinthread.protocol import node_messages

REQUESTS_WOKEN = 4
# Share of the retry budget that is used; the rest is a margin for changes in the set of entries.
BUDGET_SHARE = 0.75
FREE_RETRIES = 3
# Margin before an old version expires at which attempts that have not begun are cancelled. A silent
# engine notices that only when it continues, and may start the request first.
START_MARGIN_S = backend_record.SOUND_SILENCE_S
# A node that has just started has heard from all back ends after this many heartbeat intervals.
STARTUP_HEARTBEATS = 1.5
# From this long before an old version expires, only responsive back ends get requests for it.
VERSION_SOON_MARGIN_S = reload_schedule.EXPIRY_MARGIN_S + reload_schedule.EXPIRES_SOON_S


class BackendPool:
    """Keeps the records of back ends, and tracks the load of this entry's attempts on them."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        watcher: fleet_watcher.FleetWatcher,
        clock: Callable[[], float],
        rng: random.Random,
        prober: load_prober.LoadProber,
        crashes: crash_detector.CrashDetector,
        permits: permits.PermitClient,
        signals: backend_availability.AvailabilityTable,
        reporter: limit_reporter.LimitReporter,
    ) -> None:
        self.settings = settings
        self.memory_limits = memory_limits.derive(settings.memory_bytes)
        self.permits = permits
        self.prober = prober
        self.cold_permits = cold_permits.ColdPermitClient(
            prober, clock, rng, self.apply_probe_reply
        )
        self.crashes = crashes
        self.watcher = watcher
        self.clock = clock
        self.rng = rng
        self.retry_delay_policy = retry_delays.POLICIES.get(settings.policy.returns)
        self.backends: dict[str, backend_record.Backend] = {}
        self.backends_by_service: dict[str, list[backend_record.Backend]] = {}
        self.backends_by_address: dict[str, backend_record.Backend] = {}
        self.subscribed: dict[str, list[backend_record.Backend]] = {}
        self.signals = signals
        self.recorder = signal_recorder.SignalRecorder(signals, reporter, clock)
        self.response_times: dict[str, backend_record.ResponseTime] = {}
        self.typical_loads: dict[str, backend_record.TypicalLoad] = {}
        self.queues: dict[str, wait_queue.WaitQueue] = {}
        self.levels: dict[str, admission.AdmissionLevel] = {}
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.cold_starts = cold_starts.ColdStarts(settings, watcher, clock)
        self.started_at = clock()
        self.reservations = reservations.Reservations(prober, clock)
        self.response_means = expected_cost.ResponseMeans()
        self.connections = backend_connections.BackendConnections(clock)

    # State

    def update(self) -> None:
        """Update the back ends from the fleet state."""
        for instance in set(self.backends) - set(self.watcher.instance_table.instances):
            self.connections.close_idle(instance)
            del self.backends[instance]
        for instance, heartbeat in self.watcher.instance_table.instances.items():
            self.update_backend(instance, heartbeat)
        self.cold_starts.log_changes(self.backends)
        self.signals.prune(set(self.backends), self.clock())
        self.recorder.update_metrics()
        self.backends_by_service = {}
        self.backends_by_address = {}
        for backend in self.backends.values():
            self.backends_by_service.setdefault(backend.service, []).append(backend)
            self.backends_by_address[backend.address] = backend
        metrics.backends_without_region.set(
            sum(backend.region is None for backend in self.backends.values())
        )
        self.update_subscriptions()
        for queue in self.queues.values():
            queue.wake(REQUESTS_WOKEN)

    def update_subscriptions(self) -> None:
        """Choose the engines of each service whose load reports this entry subscribes to."""
        previous = self.subscribed
        self.subscribed = {
            service: load_feed.engines_to_subscribe(self.settings.name, backends)
            for service, backends in self.backends_by_service.items()
            if self.engine_of(service) is not None
        }
        current = {
            backend.instance for subscribed in self.subscribed.values() for backend in subscribed
        }
        for subscribed in previous.values():
            for backend in subscribed:
                if backend.instance not in current:
                    backend.stop_reports()

    def update_backend(self, instance: str, heartbeat: fleet.Heartbeat) -> None:
        """Add or update one back end."""
        backend = self.backends.get(instance)
        if backend is None:
            backend = backend_record.Backend(
                instance,
                heartbeat.service,
                heartbeat.address,
                heartbeat.zone,
                self.settings.distance(heartbeat.zone),
                heartbeat.slots,
                availability=self.signals.availability_of(instance),
                service_response_time=self.response_times.setdefault(
                    heartbeat.service, backend_record.ResponseTime()
                ),
                typical_load=self.typical_loads.setdefault(
                    heartbeat.service, backend_record.TypicalLoad()
                ),
            )
            self.backends[instance] = backend
        backend.slots = heartbeat.slots
        backend.region = self.settings.regions.get(heartbeat.zone)
        if heartbeat.state != fleet.READY:
            backend.availability.record_leaving(
                backend_availability.LeavingSource.CONTROL_VM, self.clock()
            )
        # A heartbeat in state `ready` does not revoke an earlier leaving signal.
        backend.is_draining = backend.availability.is_leaving
        backend.is_evacuated = self.watcher.is_evacuated(backend.zone)
        self.cold_starts.update(backend)
        heard_at = self.watcher.instance_table.heard_at.get(instance, self.clock())
        backend.apply_heartbeat_weights(heartbeat.weights, heard_at, self.clock())

    def record_leaving(self, backend: backend_record.Backend, request_id: str) -> None:
        """Record that a back end announced in a response that it is leaving."""
        backend.is_draining = True
        # The record differs if the back end was removed and added again meanwhile.
        known = self.backends.get(backend.instance)
        if known is not None:
            known.is_draining = True
        self.recorder.record_leaving(backend.instance, request_id)

    def available_at(self, service: str, regions: frozenset[str] | None = None) -> float | None:
        """Return when a back end of a service is available again, or None if one is now.

        If `regions` is not None, only the back ends there count.
        """
        return dispatch.available_at(self.backends_in(service, regions), self.clock())

    def backends_in(
        self, service: str, regions: frozenset[str] | None
    ) -> list[backend_record.Backend]:
        """Return the back ends of a service in some regions, or all if `regions` is None."""
        return allowed_regions.select(self.backends_by_service.get(service, []), regions)

    def services_in(self, services: Iterable[str], regions: frozenset[str]) -> set[str]:
        """Return the services that have a back end in the regions that is in use."""
        return {
            service
            for service in services
            if any(not backend.is_out_of_use() for backend in self.backends_in(service, regions))
        }

    def has_evacuated(self, service: str) -> bool:
        """Return whether a back end of a service is in an evacuated zone."""
        return any(backend.is_evacuated for backend in self.backends_by_service.get(service, []))

    def are_cold(self, service: str) -> bool:
        """Return whether all back ends of a service that are not leaving are cold and limited."""
        now = self.clock()
        backends = self.backends_by_service.get(service, [])
        staying = [backend.availability for backend in backends if not backend.is_draining]
        return bool(staying) and all(each.is_cold_limited(now) for each in staying)

    def apply_load_update(self, load: node_messages.LoadUpdate) -> None:
        """Apply an agent's load report, unless it is of another incarnation."""
        backend = self.backends_by_address.get(load.address)
        if backend is None or not is_same_incarnation(load.report, backend):
            return
        now = self.clock()
        backend.apply_report(load.report, now, load.others)
        queue = self.queues.get(backend.service)
        if queue is not None and len(queue):
            # Each request that is woken probes agents, whose links are narrow.
            free_slots = max(0, int(backend.slots - backend.load(now)))
            queue.wake(min(REQUESTS_WOKEN, free_slots))

    def startup_wait_s(self) -> float:
        """Return how long a node needs after its start to learn of all back ends."""
        return STARTUP_HEARTBEATS * self.settings.heartbeat_s

    def required_version(self, model: str, now: float) -> int:
        """Return the lowest version of a model's weights that may serve a request sent now.

        A new version is required some time before the old one expires, since the request may be
        queued at the back end.
        """
        bound_s = self.settings.bounds.version_s - reload_schedule.EXPIRY_MARGIN_S
        return self.watcher.published_versions.newest_version_with_age(model, now, bound_s)

    def version_soon(self, model: str, now: float) -> int:
        """Return the newest version of a model's weights that is required soon, or 0."""
        return self.watcher.published_versions.newest_version_with_age(
            model, now, self.settings.bounds.version_s - VERSION_SOON_MARGIN_S
        )

    def loaded_version(self, backend: backend_record.Backend, model: str) -> int:
        """Return the version of a model's weights that a back end has fully loaded, or 0."""
        engine = self.engine_of(backend.service)
        return backend.version_of(model, engine.layers) if engine is not None else 0

    def is_version_outdated(self, backend: backend_record.Backend, model: str, now: float) -> bool:
        """Return whether a back end's loaded version may not serve a request sent now."""
        if not model or self.engine_of(backend.service) is None:
            return False
        return self.loaded_version(backend, model) < self.required_version(model, now)

    def start_deadline(self, backend: backend_record.Backend, model: str) -> float:
        """Return when an attempt must have begun, before the loaded weights version expires."""
        if not model or self.engine_of(backend.service) is None:
            return float("inf")
        loaded = self.loaded_version(backend, model)
        bound_s = self.settings.bounds.version_s - START_MARGIN_S
        return self.watcher.published_versions.usable_until(model, loaded, bound_s)

    # Queues, permits and reservations

    def queue(self, service: str) -> wait_queue.WaitQueue:
        """Return the wait queue of a service."""
        return self.queues.setdefault(service, wait_queue.WaitQueue())

    def apply_probe_reply(
        self, backend: backend_record.Backend, reply: load_tracker.EngineLoad | None
    ) -> None:
        """Apply an agent's reply to a load probe; None means that there was none."""
        backend.apply_probe_reply(reply, self.clock())
        self.cold_starts.apply_agent_report(backend, reply.cold_s if reply is not None else None)

    async def acquire_cold_permit(
        self, backend: backend_record.Backend, patience_s: float
    ) -> permits.Permit | permits.Denial:
        """Wait for a permit of a cold back end's agent for up to `patience_s` seconds."""
        return await self.cold_permits.acquire(backend, self.agent_of(backend), patience_s)

    def ready_in_s(self, service: str, regions: frozenset[str] | None = None) -> float | None:
        """Return the seconds until half of a service's engines are expected to serve, or None.

        Only subscribed engines count, since this entry has no forecast of the others. If `regions`
        is not None, only the engines there count.
        """
        subscribed = allowed_regions.select(self.subscribed.get(service, []), regions)
        return dispatch.half_ready_in_s(subscribed, self.clock())

    def engine_of(self, service_name: str) -> fleet.Engine | None:
        """Return the engine that a service's back ends run, or None if they run none."""
        service = self.watcher.service(service_name)
        return service.engine if service else None

    def admission_level(self, service: str) -> admission.AdmissionLevel:
        """Return the admission level of a service, at 0 again if its urgencies have changed."""
        table = self.watcher.table
        urgencies = table.urgencies_of(service) if table is not None else []
        level = self.levels.get(service)
        if level is None or level.urgencies != urgencies:
            level = self.levels[service] = admission.AdmissionLevel(urgencies)
        return level

    def has_several_urgencies(self, service: str) -> bool:
        """Return whether the configuration gives requests of a service different urgencies."""
        table = self.watcher.table
        return table is not None and table.has_several_urgencies(service)

    def agent_of(self, backend: backend_record.Backend) -> str:
        """Return the address of the agent on a back end's VM."""
        host, _ = node_settings.split_address(backend.address)
        return f"{host}:{self.settings.agent_port}"

    def cost_tokens(self, call: fleet.RequestHead, route: fleet.Route, service: str) -> float:
        """Return the expected tokens of a new request's prompt and response."""
        return self.response_means.cost_tokens(call, route.name, self.engine_of(service))

    def reserve(
        self,
        backend: backend_record.Backend,
        tokens: float,
        urgency: int | None = None,
        account: str = "",
        cost_tokens: float = 0.0,
        has_permit: bool = False,
    ) -> reservations.Reservation:
        """Add an attempt to a back end's load; `has_permit` is set if its agent has counted it."""
        agent = self.agent_of(backend) if self.engine_of(backend.service) is not None else ""
        reservation = reservations.Reservation(
            backend,
            tokens,
            self.clock(),
            agent=agent,
            urgency=urgency,
            account=account,
            cost_tokens=cost_tokens,
            has_permit=has_permit,
        )
        self.reservations.add(reservation)
        return reservation

    def release(self, reservation: reservations.Reservation) -> None:
        """Remove an ended attempt from its back end's load, and wake a queued request."""
        self.reservations.remove(reservation)
        queue = self.queues.get(reservation.backend.service)
        if queue is not None:
            queue.wake()

    # Budget

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            bounds = self.settings.bounds
            self.budgets[service] = retry_budget.RetryBudget(
                bounds.retry_ratio * BUDGET_SHARE,
                bounds.retry_window_s,
                FREE_RETRIES,
                self.started_at + bounds.retry_window_s,
            )
        return self.budgets[service]

    # Load reports

    async def subscribe(self, send: Callable[[str], None], interval_s: float) -> None:
        """Renew the subscriptions to load reports every `interval_s` seconds until cancelled."""
        while True:
            for backends in self.subscribed.values():
                for backend in backends:
                    with contextlib.suppress(OSError):
                        send(self.agent_of(backend))
            await asyncio.sleep(interval_s)


def is_same_incarnation(report: fleet.EngineReport, backend: backend_record.Backend) -> bool:
    """Return whether a report is of a back end's incarnation, or either start time is unknown."""
    born_ms = incarnations.parse(backend.instance).born_ms
    return not born_ms or not report.born_ms or report.born_ms == born_ms
