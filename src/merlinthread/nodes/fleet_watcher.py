"""A local copy of the fleet state for entries and agents: configuration, back ends and versions.

A watcher polls one control VM (long polling), and switches to another one if it does not reply or
has lost contact with a majority. Updates are monotonic: versions only increase, and an instance
that is gone never returns. While no control VM replies, the last known state remains in use.
"""

import asyncio
import dataclasses
import math
import zlib
from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import (
    backend_availability,
    conflict_index,
    crash_tracker,
    fleet,
    instances,
    route_table,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.nodes import node_settings
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

WATCH_WAIT_S = 0.6
WATCH_TIMEOUT_S = 1.1
# Shorter wait while the control VM has no contact with a majority, to notice its recovery sooner.
STALE_WAIT_S = 0.2
SEARCH_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.1
# Time between searches while no control VM in contact with a majority is known.
SEARCH_INTERVAL_S = 0.4
STALE_AFTER_S = 1.6
MISSING_GRACE_HEARTBEATS = 4
# The longest time after a commit in which a node in contact with the control VMs learns of it: its
# control VM loses contact with the majority just before, its last poll times out, and another one
# is searched for. Elections, which take up to 1.5 s, run at the same time.
PROPAGATION_MAX_S = (
    STALE_AFTER_S + WATCH_TIMEOUT_S + RETRY_DELAY_S + SEARCH_INTERVAL_S + SEARCH_TIMEOUT_S
)
# Smaller differences between reported ages may be due to latency, up to WATCH_TIMEOUT_S.
AGE_TOLERANCE_S = 2.0


@dataclasses.dataclass(slots=True)
class FeedPosition:
    """The position in a control VM's feed up to which changes have been received."""

    feed: str = ""
    position: int = 0
    suspicions: int = 0
    limits: int = 0


class FleetWatcher:
    """Watches the fleet state through the control VMs.

    `on_update` is called after each update. Reports of suspect requests are merged into
    `suspect_tracker` and those of rate limits into `signals`, if given.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        rpc_client: node_bus.RpcClient,
        clock: Callable[[], float],
        on_update: Callable[[], None],
        suspect_tracker: crash_tracker.CrashTracker | None = None,
        signals: backend_availability.AvailabilityTable | None = None,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.rpc_client = rpc_client
        self.clock = clock
        self.on_update = on_update
        self.suspect_tracker = suspect_tracker
        self.signals = signals
        self.table: route_table.RouteTable | None = None
        self.version = 0
        self.instances: dict[str, fleet.Heartbeat] = {}
        self.index = conflict_index.ConflictIndex()
        self.cold_until: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}
        self.gone: set[str] = set()
        self.missing: dict[str, float] = {}
        self.named: dict[str, int] = {}
        self.named_at: dict[str, dict[int, float]] = {}
        # Never older than an earlier state: a control VM that is behind must not undo a change.
        self.evacuations = node_messages.Evacuations(0, [])
        self.controls: list[str] = settings.control_rpc_addresses()
        self.current_control_vm = ""
        self.positions: dict[str, FeedPosition] = {}
        self.next_search_at = float("-inf")
        self.confirmed_at = float("-inf")
        self.is_fresh = False

    async def run(self) -> None:
        """Watch the fleet state until cancelled."""
        if self.settings.bounds.evacuate_s < PROPAGATION_MAX_S:
            logs.warning(
                "evacuate_bound_not_met",
                bound_s=self.settings.bounds.evacuate_s,
                needed_s=round(PROPAGATION_MAX_S, 3),
                remedy="set bounds.evacuate_ms to at least the time that is needed",
            )
        while True:
            if not self.current_control_vm or (
                not self.is_fresh and self.clock() >= self.next_search_at
            ):
                await self.select_control_vm()
            if not self.current_control_vm:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            await self.poll()

    async def select_control_vm(self) -> None:
        """Select a control VM in contact with a majority, or any that replies if there is none."""
        found = await self.find_control_vm()
        self.next_search_at = self.clock() + SEARCH_INTERVAL_S
        if self.is_fresh:
            self.current_control_vm = found
            # Any other control VM must send its full state if it is selected later.
            self.positions = {found: self.position_of(found)}
        self.current_control_vm = self.current_control_vm or found

    async def find_control_vm(self) -> str:
        """Return the first control VM that replies and is in contact with a majority.

        If there is none, return any that replies, or an empty string. All are queried at once, so
        that the nearest one is preferred.
        """
        loop = asyncio.get_running_loop()
        asked = {address: self.position_of(address) for address in self.other_control_vms()}
        addresses_by_task = {
            loop.create_task(
                self.request_changes(address, position, 0.0, SEARCH_TIMEOUT_S)
            ): address
            for address, position in asked.items()
        }
        fallback = ""
        pending = set(addresses_by_task)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                reply = task.result()
                if reply is None:
                    continue
                address = addresses_by_task[task]
                self.apply(reply, address, asked[address])
                if reply.leader_age_s < STALE_AFTER_S:
                    for other in pending:
                        other.cancel()
                    return address
                fallback = fallback or address
        return fallback

    def other_control_vms(self) -> list[str]:
        """Return the addresses of the control VMs other than the current one."""
        known = dict.fromkeys([*self.controls, *self.settings.control_rpc_addresses()])
        return [address for address in known if address != self.current_control_vm]

    def position_of(self, address: str) -> FeedPosition:
        """Return the position in a control VM's feed; the initial one if none is known."""
        return self.positions.get(address, FeedPosition())

    async def request_changes(
        self, address: str, position: FeedPosition, wait_s: float, timeout_s: float
    ) -> node_messages.WatchReply | None:
        """Query a control VM for changes after `position`; return None if it does not reply."""
        suspicions = position.suspicions if self.suspect_tracker is not None else -1
        limits = position.limits if self.signals is not None else -1
        watch = node_messages.WatchRequest(
            self.settings.name,
            position.feed,
            position.position,
            self.version,
            wait_s,
            suspicions,
            limits,
            self.evacuations.revision,
        )
        try:
            return await self.rpc_client.call(address, watch, timeout_s)
        except errors.MerlinthreadError as error:
            logs.debug("control_silent", control=address, reason=error.message)
            return None

    async def poll(self) -> None:
        """Poll the current control VM once and apply its reply."""
        wait_s = WATCH_WAIT_S if self.is_fresh else STALE_WAIT_S
        position = self.position_of(self.current_control_vm)
        reply = await self.request_changes(
            self.current_control_vm, position, wait_s, WATCH_TIMEOUT_S
        )
        if reply is None:
            self.disconnect("no reply")
            return
        self.apply(reply, self.current_control_vm, position)
        if reply.leader_age_s > STALE_AFTER_S:
            self.mark_stale("no contact with a majority")
            await asyncio.sleep(RETRY_DELAY_S)

    def is_current(self) -> bool:
        """Return whether the state was recently confirmed by a control VM with a majority.

        The time since that confirmation counts too: replies may be late, and this VM may have been
        suspended.
        """
        return self.is_fresh and self.clock() - self.confirmed_at <= STALE_AFTER_S

    def mark_stale(self, reason: str) -> None:
        """Record that the current control VM may lack changes that a majority has.

        It stays in use until one in contact with a majority is found. After a restart of all
        control VMs there is none, and requests for the full state would delay the election.
        """
        if self.is_fresh:
            logs.event("control_lost", control=self.current_control_vm, reason=reason)
            self.next_search_at = self.clock()
        self.is_fresh = False

    def disconnect(self, reason: str) -> None:
        """Stop using the current control VM; the next one must send its full state."""
        self.mark_stale(reason)
        self.current_control_vm = ""
        self.positions = {}

    def feed(self) -> str:
        """Return the feed of the current control VM, or an empty string."""
        return self.position_of(self.current_control_vm).feed

    # Updates

    def apply(
        self,
        reply: node_messages.WatchReply,
        address: str = "",
        asked_from: FeedPosition | None = None,
    ) -> None:
        """Apply a reply of the control VM at `address`; outdated parts have no effect.

        `asked_from` is the position in the request, or None if it is the current one.
        """
        now = self.clock()
        if reply.leader_age_s <= STALE_AFTER_S:
            self.confirmed_at = max(self.confirmed_at, now - reply.leader_age_s)
            if not self.is_fresh:
                self.is_fresh = True
                version = reply.configuration_version
                logs.event(
                    "control_found",
                    control=address,
                    leader_age_s=reply.leader_age_s,
                    version=version,
                )
        if reply.controls:
            self.controls = reply.controls
        # Set first, since the following updates may discard positions to get the full state. If
        # that happened during the request, a reply with changes only does not replace that state.
        if reply.is_full or asked_from in (None, self.position_of(address)):
            self.positions[address] = FeedPosition(
                reply.feed, reply.position, reply.suspicion_revision, reply.limit_revision
            )
        self.apply_configuration(reply, address)
        self.apply_versions(reply, now)
        self.apply_evacuations(reply, address)
        self.apply_instances(reply, address, now)
        if self.suspect_tracker is not None:
            for suspicion in reply.suspicions:
                self.suspect_tracker.merge(suspicion, now)
        if self.signals is not None:
            for limit in reply.limits:
                self.signals.merge_reported_limit(limit, now)
        self.update_metrics()
        self.on_update()

    def update_metrics(self) -> None:
        """Update the metrics of the fleet state."""
        metrics.configuration_version.set(self.version)
        metrics.evacuated_zones.set(len(self.evacuations.zones))
        metrics.control_age_seconds.set(self.clock() - self.confirmed_at)
        for state in (fleet.READY, fleet.DRAINING):
            count = sum(1 for known in self.instances.values() if known.state == state)
            metrics.backends.labels(state).set(count)

    def apply_configuration(self, reply: node_messages.WatchReply, address: str) -> None:
        """Apply the configuration if it is newer; keep the old one if it is invalid."""
        if reply.configuration_version <= self.version or not reply.configuration:
            return
        try:
            body = zlib.decompress(reply.configuration)
            self.table = route_table.RouteTable(self.dialect.parse_configuration(body))
        except (errors.MerlinthreadError, zlib.error) as error:
            logs.warning("configuration_unreadable", reason=str(error))
            return
        old, self.version = self.version, reply.configuration_version
        logs.event(
            "configuration",
            version=self.version,
            before=old,
            control=address,
            leader_age_s=reply.leader_age_s,
            engines=describe_engines(self.table),
        )

    def apply_versions(self, reply: node_messages.WatchReply, now: float) -> None:
        """Apply published weights versions, with the earliest possible time of their publication.

        A control VM that was disconnected may report too high an age, which is corrected by a lower
        one from another control VM.
        """
        for named in reply.named:
            named_at = self.named_at.setdefault(named.model, {})
            if now - named.age_s > named_at.get(named.version, math.inf) + AGE_TOLERANCE_S:
                named_at[named.version] = now - named.age_s
            if named.version <= self.named.get(named.model, 0):
                continue
            self.named[named.model] = named.version
            named_at[named.version] = now - named.age_s
            logs.event("weights_named", model=named.model, version=named.version, age_s=named.age_s)

    def apply_evacuations(self, reply: node_messages.WatchReply, address: str) -> None:
        """Apply the evacuated zones if they are newer."""
        found = reply.evacuations
        if found is None or found.revision <= self.evacuations.revision:
            return
        logs.event(
            "evacuations",
            zones=found.zones,
            before=self.evacuations.zones,
            revision=found.revision,
            control=address,
            leader_age_s=reply.leader_age_s,
        )
        self.evacuations = found

    def service(self, name: str) -> fleet.Service | None:
        """Return a service of the configuration, or None if it is not configured."""
        return self.table.services.get(name) if self.table is not None else None

    def is_evacuated(self, zone: str) -> bool:
        """Return whether the back ends of a zone must get no requests."""
        return zone in self.evacuations.zones

    def newest_version_with_age(self, model: str, now: float, min_age_s: float) -> int:
        """Return the newest version of a model published at least `min_age_s` seconds ago, or 0.

        A later publication does not postpone the time at which an earlier version is required.
        """
        named_at = self.named_at.get(model, {})
        return max(
            (version for version, at in named_at.items() if now - at >= min_age_s), default=0
        )

    def usable_until(self, model: str, version: int, validity_s: float) -> float:
        """Return until when a request may begin on a version of a model's weights.

        This is `validity_s` seconds after the first newer version was published.
        """
        named_at = self.named_at.get(model, {})
        newer = [at for named, at in named_at.items() if named > version]
        return min(newer, default=float("inf")) + validity_s

    def apply_instances(self, reply: node_messages.WatchReply, address: str, now: float) -> None:
        """Apply changes of back ends; a full reply also shows which ones are missing."""
        for instance in reply.gone:
            self.mark_gone(instance)
        for record in reply.instances:
            self.apply_instance(record, now, reply.is_full)
        if reply.is_full:
            present = {record.heartbeat.instance for record in reply.instances}
            absent = sorted(set(self.instances) - present)
            logs.event("news_in_full", told=len(present), gone=len(reply.gone), absent=absent[:8])
            for instance in absent:
                self.missing.setdefault(instance, now)
            if absent:
                # A control VM that has just started may not know them yet. The others send them
                # again only if their positions are reset.
                self.positions = {address: self.position_of(address)}
        self.remove_missing(now)

    def apply_instance(self, record: instances.Instance, now: float, is_full: bool = True) -> None:
        """Apply the state of one back end; draining and gone are final.

        Without `is_full`, a back end that is not known yet has just appeared.
        """
        heartbeat = record.heartbeat
        if heartbeat.instance in self.gone:
            return
        if not node_settings.is_address(heartbeat.address):
            # Control VMs of former builds accept and tell it.
            logs.debug("address_unusable", instance=heartbeat.instance, address=heartbeat.address)
            return
        self.missing.pop(heartbeat.instance, None)
        known = self.instances.get(heartbeat.instance)
        if known is not None and known.sequence > heartbeat.sequence:
            if heartbeat.state == fleet.DRAINING:
                known.state = fleet.DRAINING
            return
        if known is not None and known.state == fleet.DRAINING:
            heartbeat.state = fleet.DRAINING
        if known is None or known.state != heartbeat.state:
            logs.event(
                "instance",
                instance=heartbeat.instance,
                service=heartbeat.service,
                address=heartbeat.address,
                state=heartbeat.state,
                age_s=record.age_s,
            )
        is_new = heartbeat.instance not in self.heard_at
        self.heard_at[heartbeat.instance] = now - record.age_s
        for name in self.index.conflicts(heartbeat):
            # Of instances with the same address or id, the one with the latest heartbeat wins.
            if self.heard_at[name] > now - record.age_s:
                return
            # Not marked as gone, since a late heartbeat may have caused the conflict.
            self.remove(name)
            logs.event("instance", instance=name, state="replaced", by=heartbeat.instance)
        self.instances[heartbeat.instance] = heartbeat
        self.index.put(heartbeat)
        self.apply_cold_start(heartbeat, now - record.age_s, is_new, is_full)

    def apply_cold_start(
        self, heartbeat: fleet.Heartbeat, heard_at: float, is_new: bool, is_full: bool
    ) -> None:
        """Record until when a back end is cold.

        One that has just started and does not say is assumed to be cold for the usual time.
        """
        if heartbeat.reports_cold or heartbeat.cold_s > 0:
            self.cold_until[heartbeat.instance] = heard_at + heartbeat.cold_s
            return
        has_started = not is_full or heartbeat.sequence <= instances.INITIAL_SEQUENCE_MAX
        service = self.service(heartbeat.service)
        if is_new and has_started and service is not None:
            self.cold_until[heartbeat.instance] = heard_at + service.cold_start_s

    def remove(self, instance: str) -> bool:
        """Remove a back end; return whether it was present."""
        self.index.discard(instance)
        return self.instances.pop(instance, None) is not None

    def mark_gone(self, instance: str) -> None:
        """Remove a back end permanently."""
        self.gone.add(instance)
        self.missing.pop(instance, None)
        self.cold_until.pop(instance, None)
        if self.remove(instance):
            logs.event("instance", instance=instance, state=fleet.GONE)

    def remove_missing(self, now: float) -> None:
        """Remove back ends that have been missing for several heartbeats; they may return."""
        grace_s = MISSING_GRACE_HEARTBEATS * self.settings.heartbeat_s
        for instance, since in list(self.missing.items()):
            if now - since > grace_s:
                del self.missing[instance]
                self.positions = {}
                self.remove(instance)
                logs.event("instance", instance=instance, state="missing", since_s=now - since)


def describe_engines(table: route_table.RouteTable) -> dict[str, dict[str, float]]:
    """Return the figures of each service's engines by which `merlinthread losses` judges a load."""
    return {
        name: {
            "slots": service.engine.slots,
            "step_ms": 1000 * service.engine.step_s,
            "read_per_s": service.engine.read_tokens_per_s,
            "response_tokens": service.engine.usual_response_tokens,
        }
        for name, service in table.services.items()
        if service.engine is not None
    }
