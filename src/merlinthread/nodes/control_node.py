"""The control VM node: configuration, weight versions and the registry of back ends of a fleet."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from merlinthread import clocks, errors, logs, metrics
from merlinthread.coordination import (
    fleet,
    fleet_state,
    instances,
    levels,
    raft_messages,
    version_history,
)
from merlinthread.nodes import (
    call_timeouts,
    configured_services,
    control_api,
    crash_registry,
    identity_checker,
    leader_tracker,
    limit_registry,
    log_member,
    memory_limits,
    node_roles,
    node_settings,
    permit_server,
    watch_server,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages, piece_messages
from merlinthread.transport import http_messages, node_bus, stream_server

HEARTBEAT_FORWARD_INTERVAL_S = 0.1
# Instances expire after this many heartbeat intervals without a heartbeat.
EXPIRY_HEARTBEATS = 8
EXPIRE_INTERVAL_S = 1.0
BODY_BYTES_MAX = 8 * 1024 * 1024


class ControlNode:
    """One control VM: a member of the replicated log, the HTTP API and the RPC service for nodes.

    `clock` returns monotonic time in seconds.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        codec: codecs.Codec,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.clock = clock
        # Bounded by the timeout of each call, which follows the round trip.
        self.rpc_client = node_bus.RpcClient(codec, call_timeouts.TIMEOUT_MAX_S)
        self.registry = instances.InstanceRegistry(settings.heartbeat_s)
        self.versions = version_history.VersionHistory(settings.bounds.version_s)
        self.outgoing_heartbeats: list[fleet.Heartbeat] = []
        self.limits = limit_registry.LimitRegistry(clock, self.notify_watchers)
        self.evacuated: set[str] = set()
        self.member = log_member.LogMember(
            settings, codec, self.rpc_client, clock, self.on_applied, self.on_restored
        )
        self.crashes = crash_registry.CrashRegistry(
            settings, clock, self.rpc_client, self.member, self.submit, self.notify_watchers
        )
        self.watches = watch_server.WatchServer(
            clock, self.member, self.registry, self.versions, self.crashes, self.limits
        )
        self.rpc_server = node_bus.RpcServer(codec, self.dispatch_request)
        self.datagrams = node_bus.DatagramEndpoint(codec, self.dispatch_datagram)
        self.permits = permit_server.PermitServer(self.member, clock)
        limits = http_messages.Limits(body_bytes=BODY_BYTES_MAX, idle_timeout_s=60.0)
        self.api = control_api.ControlApi(
            dialect,
            self.member,
            self.registry,
            self.rpc_client,
            self.submit,
            self.record_local_heartbeat,
        )
        self.server = stream_server.Server(self.api.serve, limits)
        memory = memory_limits.derive(settings.memory_bytes)
        self.server.limit_memory(settings.memory_bytes, memory.calls_bytes)
        self.rpc_server.limit_memory(settings.memory_bytes, memory.messages_bytes)
        self.services = configured_services.ConfiguredServices(dialect, self.member)
        self.identities = identity_checker.IdentityChecker(
            dialect, self.services.find, self.apply_identity
        )
        self.pending_commits: dict[bytes, asyncio.Task] = {}
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start the servers and the background tasks."""
        self.on_restored()
        await self.rpc_server.listen(self.settings.ip, self.settings.control_port)
        await self.datagrams.listen(self.settings.ip, self.settings.control_port)
        host, port = node_settings.split_address(self.settings.control_address)
        await self.server.listen(host, port)
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.member.run()),
            loop.create_task(self.forward_heartbeats()),
            loop.create_task(self.expire_instances()),
            loop.create_task(self.crashes.run()),
        ]

    def reload(self, settings: node_settings.NodeSettings) -> None:
        """Apply changed settings: the addresses of the control VMs."""
        self.settings.control_ips = settings.control_ips

    async def stop(self) -> None:
        """Shut down gracefully: wait for active requests, then resign from the replicated log."""
        self.server.stop_accepting()
        self.identities.stop()
        for _ in range(20):
            if not self.server.count_active_requests():
                break
            await asyncio.sleep(0.05)
        await self.member.member_changes.resign()
        self.member.close()

    # Replicated log

    def on_applied(self, command: fleet_state.Command, age_s: float) -> None:
        """Handle an applied command, which was committed at most `age_s` seconds ago."""
        if isinstance(command, fleet_state.Depart):
            self.apply_departure(command)
        elif isinstance(command, fleet_state.NameVersion):
            self.versions.record(command.model, command.version, self.clock() - age_s)
            self.registry.advance()
        elif isinstance(command, fleet_state.PlaceHold | fleet_state.ReleaseHold):
            self.crashes.apply_holds()
        elif isinstance(command, fleet_state.EvacuateZone | fleet_state.WithdrawEvacuation):
            self.apply_evacuations()
        name = self.member.commands.names[type(command)]
        logs.event("applied", command=name, **log_fields(command))
        self.notify_watchers()

    def on_restored(self) -> None:
        """Update the state that is sent to nodes after a snapshot was restored."""
        for instance, state in self.member.state.departed.items():
            self.mark_departed(instance, state)
        for model, version in self.member.state.named.items():
            self.versions.restore(model, version, self.clock() - leader_tracker.UNKNOWN_AGE_S)
        self.crashes.apply_holds()
        self.apply_evacuations()
        self.notify_watchers()

    def apply_evacuations(self) -> None:
        """Log which zones the replicated state has evacuated or not any more, and count them."""
        zones = set(self.member.state.evacuated)
        revision = self.member.state.evacuation_revision
        for zone in sorted(zones - self.evacuated):
            logs.event("zone_evacuated", zone=zone, revision=revision)
            # Nodes that do not read evacuations get the back ends as draining.
            self.registry.resend_zone(zone)
        for zone in sorted(self.evacuated - zones):
            logs.event("zone_evacuation_withdrawn", zone=zone, revision=revision)
        self.evacuated = zones
        metrics.evacuated_zones.set(len(zones))

    def apply_departure(self, command: fleet_state.Depart) -> None:
        """Mark an incarnation as draining or gone.

        A heartbeat in state `draining` names its sender. A removal names an id, whose incarnation
        the VM that proposed it may not have known.
        """
        names = [command.instance]
        if command.state == fleet.GONE:
            names = self.registry.incarnations_of(command.instance)
        for instance in names:
            self.mark_departed(instance, command.state)

    def mark_departed(self, instance: str, state: str) -> None:
        """Mark an instance as draining or gone in the registry."""
        if state == fleet.GONE:
            self.registry.mark_gone(instance)
        else:
            self.registry.mark_draining(instance)

    def notify_watchers(self) -> None:
        """Wake the pending watch requests."""
        self.watches.notify()

    async def submit(self, command: fleet_state.Command) -> bool:
        """Commit a command here or at the leader; return whether it changed the state.

        Concurrent calls with the same command share one log entry, except those that a later
        command can revert: the entry of an earlier call may precede a withdrawal that was
        acknowledged before this call. Raises NotLeaderError, UnreachableError, ControlError or
        TimeoutError if the command is not known to be committed.
        """
        encoded = self.member.commands.encode(command)
        if isinstance(command, fleet_state.EvacuateZone | fleet_state.WithdrawEvacuation):
            return await self.commit(encoded)
        commit = self.pending_commits.get(encoded)
        if commit is None:
            loop = asyncio.get_running_loop()
            commit = loop.create_task(self.commit(encoded))
            self.pending_commits[encoded] = commit
            commit.add_done_callback(lambda done: self.remove_commit(encoded, done))
        return await asyncio.shield(commit)

    def remove_commit(self, encoded: bytes, done: asyncio.Future) -> None:
        """Remove a finished commit, and retrieve its exception so that asyncio logs none."""
        self.pending_commits.pop(encoded, None)
        if not done.cancelled():
            done.exception()

    async def commit(self, encoded: bytes) -> bool:
        """Commit an encoded command here or at the leader; return whether it changed the state."""
        async with asyncio.timeout(control_api.FORWARD_TIMEOUT_S):
            if self.member.raft.is_leader():
                return await self.member.propose(encoded)
            leader = self.member.leader_address()
            if not leader or leader == self.member.address:
                raise errors.NotLeaderError("no leader is known", "")
            self.member.check_leader_reads(encoded, leader)
            reply = await self.rpc_client.call(
                leader, node_messages.CommandRequest(encoded), control_api.FORWARD_TIMEOUT_S
            )
            return reply.is_applied

    # Requests of nodes

    def dispatch_datagram(self, message: Any) -> None:
        """Reply to an entry's request for a permit."""
        if isinstance(message, node_messages.LoadQuery) and message.permit is not None:
            permit = self.permits.reply_to(message)
            reply = node_messages.LoadReply(message.number, 0, 0, 0.0, permit=permit)
            self.datagrams.send(message.address, reply)

    async def dispatch_request(self, message: Any) -> Any:
        """Handle one RPC of another node; raise ProtocolError for an unsupported message."""
        if isinstance(message, node_messages.RaftFrames):
            self.member.receive(message.frames)
            return node_messages.Acknowledgement(levels.NEWEST)
        if isinstance(message, node_messages.WatchRequest):
            return await self.watches.reply_to(message)
        if isinstance(message, node_messages.HeartbeatBatch):
            for heartbeat in message.heartbeats:
                self.record_heartbeat(heartbeat)
            self.limits.merge(message.limits)
            return node_messages.Acknowledgement(levels.NEWEST)
        if isinstance(message, node_messages.CrashReport):
            self.crashes.merge_report(message)
            self.limits.merge_from_entry(message.limits)
            return node_messages.Acknowledgement(levels.NEWEST)
        if isinstance(message, node_messages.CommandRequest):
            return await self.reply_to_command(message)
        if isinstance(message, node_messages.ConfigurationRequest):
            return self.api.read_local_configuration(message.known)
        if isinstance(message, node_messages.JoinRequest):
            return await self.member.member_changes.reply_to_join(message)
        if isinstance(message, node_messages.LeaveRequest):
            return await self.member.member_changes.reply_to_leave(message)
        raise errors.ProtocolError(f"a control VM does not handle {type(message).__name__}")

    async def reply_to_command(
        self, request: node_messages.CommandRequest
    ) -> node_messages.CommandReply:
        """Commit a command that another control VM forwarded.

        Raises ControlError if it is not known to be committed in time.
        """
        try:
            async with asyncio.timeout(control_api.FORWARD_TIMEOUT_S):
                is_changed = await self.member.propose(request.command)
        except TimeoutError:
            raise control_api.not_committed_in_time()
        return node_messages.CommandReply(is_changed, self.member.state.version)

    # Heartbeats

    def record_heartbeat(self, heartbeat: fleet.Heartbeat, is_confirmed: bool = False) -> None:
        """Record a heartbeat; a departed instance stays draining or gone."""
        state = self.member.state.departed.get(heartbeat.instance)
        if state == fleet.GONE:
            return
        is_new = heartbeat.instance not in self.registry.known
        is_changed = self.registry.record_heartbeat(heartbeat, self.clock(), is_confirmed)
        for claimant in self.registry.pop_contested():
            self.identities.check(claimant)
        if is_changed:
            if state == fleet.DRAINING:
                self.registry.mark_draining(heartbeat.instance)
            if is_new:
                logs.event(
                    "instance_new",
                    instance=heartbeat.instance,
                    service=heartbeat.service,
                    address=heartbeat.address,
                )
            self.notify_watchers()

    def apply_identity(self, heartbeat: fleet.Heartbeat, is_sender: bool) -> None:
        """Apply what the process at the address of a claimant has said of itself."""
        if is_sender:
            self.record_heartbeat(heartbeat, is_confirmed=True)
        else:
            self.registry.refute(heartbeat.instance)

    def record_local_heartbeat(self, heartbeat: fleet.Heartbeat) -> None:
        """Record a heartbeat that a back end sent to this VM, and queue it for the other VMs."""
        self.record_heartbeat(heartbeat)
        self.outgoing_heartbeats.append(heartbeat)

    async def forward_heartbeats(self) -> None:
        """Forward heartbeats and rate limits to the other control VMs, in batches."""
        while True:
            await asyncio.sleep(HEARTBEAT_FORWARD_INTERVAL_S)
            if not self.outgoing_heartbeats and not self.limits.outgoing:
                continue
            heartbeats, self.outgoing_heartbeats = self.outgoing_heartbeats, []
            limits = self.limits.pop_outgoing()
            message = node_messages.HeartbeatBatch(self.settings.name, heartbeats, limits)
            for address in self.member.member_addresses():
                if address != self.member.address:
                    asyncio.get_running_loop().create_task(self.send_batch(address, message))

    async def send_batch(self, address: str, message: node_messages.HeartbeatBatch) -> None:
        """Send a batch to one control VM; errors are ignored, since heartbeats are sent again.

        The reply has the format level of the VM. Members that do not lead learn it from no other
        message, and one that begins to lead after the VM was lost would count it as an older build.
        """
        with contextlib.suppress(errors.MerlinthreadError):
            reply = await self.rpc_client.call(address, message, control_api.FORWARD_TIMEOUT_S)
            self.member.sender.record_reply(address, reply)

    async def expire_instances(self) -> None:
        """Remove instances that sent no heartbeat for EXPIRY_HEARTBEATS intervals, periodically."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            silent_s = EXPIRY_HEARTBEATS * self.settings.heartbeat_s
            silent = self.registry.expire(self.clock(), silent_s)
            if silent:
                logs.event("instances_silent", instances=silent, silent_s=silent_s)
                self.notify_watchers()


def log_fields(command: fleet_state.Command) -> dict[str, Any]:
    """Return the fields of a command to log, without its body."""
    if isinstance(command, fleet_state.Configure):
        return {"version": command.version, "bytes": len(command.body)}
    if isinstance(command, fleet_state.NameVersion):
        return {"model": command.model, "version": command.version}
    if isinstance(command, fleet_state.PlaceHold | fleet_state.ReleaseHold):
        return {"fingerprint": command.fingerprint, "times": command.times}
    if isinstance(command, fleet_state.EvacuateZone | fleet_state.WithdrawEvacuation):
        return {"zone": command.zone}
    return {"instance": command.instance, "state": command.state}


@node_roles.NODES.add("control")
def make_control_node(
    settings: node_settings.NodeSettings, dialect: dialects.Dialect
) -> ControlNode:
    """Create a control VM that uses the system clock."""
    codec = codecs.Codec(
        [raft_messages.MESSAGES, node_messages.MESSAGES, piece_messages.MESSAGES], []
    )
    return ControlNode(settings, dialect, codec, clocks.now)
