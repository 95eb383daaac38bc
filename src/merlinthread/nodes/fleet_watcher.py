"""A local copy of the fleet state for entries and agents: configuration, back ends and versions.

A watcher polls one control VM (long polling), and switches to another one if it does not reply or
has lost contact with a majority. Updates are monotonic: versions only increase, and an instance
that is gone never returns. While no control VM replies, the last known state remains in use.
"""

import asyncio
import dataclasses
import zlib
from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import (
    backend_availability,
    crash_tracker,
    fleet,
    route_table,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.nodes import instance_table, node_settings, published_versions
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
# The longest time after a commit in which a node in contact with the control VMs learns of it: its
# control VM loses contact with the majority just before, its last poll times out, and another one
# is searched for. Elections, which take up to 1.5 s, run at the same time.
PROPAGATION_MAX_S = (
    STALE_AFTER_S + WATCH_TIMEOUT_S + RETRY_DELAY_S + SEARCH_INTERVAL_S + SEARCH_TIMEOUT_S
)


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
        self.instance_table = instance_table.InstanceTable(settings.heartbeat_s, self.service)
        self.published_versions = published_versions.PublishedVersions()
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
        sent_at = self.clock()
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
                self.apply(reply, address, asked[address], sent_at)
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
        sent_at = self.clock()
        reply = await self.request_changes(
            self.current_control_vm, position, wait_s, WATCH_TIMEOUT_S
        )
        if reply is None:
            self.disconnect("no reply")
            return
        self.apply(reply, self.current_control_vm, position, sent_at)
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
        sent_at: float | None = None,
    ) -> None:
        """Apply a reply of the control VM at `address`; outdated parts have no effect.

        `asked_from` is the position in the request, or None if it is the current one. `sent_at` is
        when the request was sent, or None if the reply was not on its way.
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
        self.published_versions.apply(reply.named, earliest_reply_time(reply, sent_at, now))
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
            count = sum(
                1 for known in self.instance_table.instances.values() if known.state == state
            )
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

    def apply_instances(self, reply: node_messages.WatchReply, address: str, now: float) -> None:
        """Apply changes of back ends; a full reply also shows which ones are missing.

        The control VMs send missing back ends again only if their positions are reset.
        """
        if self.instance_table.apply(reply, now):
            # The control VM that does not know them may have just started.
            self.positions = {address: self.position_of(address)}
        if self.instance_table.remove_missing(now):
            self.positions = {}


def earliest_reply_time(
    reply: node_messages.WatchReply, sent_at: float | None, now: float
) -> float:
    """Return the earliest time at which a control VM may have sent a reply that arrived by `now`.

    It sent it `held_s` after the request arrived there. Former builds do not tell that; they send
    a full reply at once, and how long they held another one is not known.
    """
    if sent_at is None:
        return now
    if reply.held_s is not None:
        return min(now, sent_at + max(0.0, reply.held_s))
    return sent_at if reply.is_full else now


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
