"""A control VM: configurations, named weights and the registry of back ends, for all nodes."""

import asyncio
import contextlib
import secrets
from collections.abc import Callable
from typing import Any

from merlinthread import clocks, errors, logs
from merlinthread.coordination import (
    fleet,
    fleet_state,
    instances,
    levels,
    raft_messages,
)
from merlinthread.nodes import (
    control_api,
    crash_registry,
    limit_registry,
    log_member,
    node_roles,
    node_settings,
    permit_server,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages
from merlinthread.transport import http_messages, node_bus, stream_server

BEATS_EVERY_S = 0.1
WATCH_WAIT_MAX_S = 1.0
SILENT_AFTER_BEATS = 8
EXPIRE_EVERY_S = 1.0
BODY_BYTES_MAX = 8 * 1024 * 1024


class ControlNode:
    """One control VM: the log member, the operators' and back ends' calls, the feed of news."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        codec: codecs.Codec,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.caller = node_bus.RpcClient(codec)
        self.registry = instances.InstanceRegistry(settings.heartbeat_s)
        self.named_at: dict[str, float] = {}
        self.feed = secrets.token_hex(8)
        self.changed = asyncio.Event()
        self.outgoing: list[fleet.Heartbeat] = []
        self.limits = limit_registry.LimitRegistry(clock, self.tell)
        self.member = log_member.LogMember(
            settings, codec, self.caller, clock, self.on_applied, self.on_restored
        )
        self.crashes = crash_registry.CrashRegistry(
            settings, clock, self.caller, self.member, self.submit, self.tell
        )
        self.listener = node_bus.RpcServer(codec, self.on_message)
        self.datagrams = node_bus.DatagramEndpoint(codec, self.on_datagram)
        self.permits = permit_server.PermitServer(self.member, clock)
        limits = http_messages.Limits(body_bytes=BODY_BYTES_MAX, idle_timeout_s=60.0)
        self.calls = control_api.ControlApi(
            dialect, self.member, self.registry, self.caller, self.submit, self.take_here
        )
        self.server = stream_server.Server(self.calls.serve, limits)
        self.pending: dict[bytes, asyncio.Task] = {}
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen and start the tasks."""
        self.on_restored()
        await self.listener.listen(self.settings.ip, self.settings.control_port)
        await self.datagrams.listen(self.settings.ip, self.settings.control_port)
        host, port = node_settings.split_address(self.settings.control_address)
        await self.server.listen(host, port)
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.member.run()),
            loop.create_task(self.pass_beats_on()),
            loop.create_task(self.expire()),
            loop.create_task(self.crashes.tend()),
        ]

    def reload(self, settings: node_settings.NodeSettings) -> None:
        """Take other control VMs to start from."""
        self.settings.control_ips = settings.control_ips

    async def stop(self) -> None:
        """Stop to accept calls and wait for those in progress."""
        self.server.stop_accepting()
        for _ in range(20):
            if not self.server.count_active_requests():
                break
            await asyncio.sleep(0.05)
        await self.member.members.resign()
        self.member.close()

    # The log's side

    def on_applied(self, command: fleet_state.Command, age_s: float) -> None:
        """Take a command into what is told to nodes; it was committed `age_s` ago at most."""
        if isinstance(command, fleet_state.Depart):
            # Whoever took the call may not have known which life of the back end it was about.
            for instance in self.registry.incarnations_of(command.instance):
                self.depart(instance, command.state)
        elif isinstance(command, fleet_state.NameVersion):
            self.named_at[command.model] = self.clock() - age_s
            self.registry.advance()
        elif isinstance(command, fleet_state.PlaceHold | fleet_state.ReleaseHold):
            self.crashes.on_applied()
        name = self.member.command_names[type(command)]
        logs.event("applied", command=name, **described(command))
        self.tell()

    def on_restored(self) -> None:
        """Take a snapshot's state into what is told to nodes."""
        for instance, state in self.member.state.departed.items():
            self.depart(instance, state)
        for model in self.member.state.named:
            self.named_at.setdefault(model, self.clock() - log_member.UNKNOWN_AGE_S)
        self.crashes.on_applied()
        self.tell()

    def depart(self, instance: str, state: str) -> None:
        """Take over that an instance leaves."""
        if state == fleet.GONE:
            self.registry.mark_gone(instance)
        else:
            self.registry.mark_draining(instance)

    def tell(self) -> None:
        """Wake those who wait for news."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def submit(self, command: fleet_state.Command) -> bool:
        """Commit a command here or at the leader; return whether it changed anything.

        Calls for the same command share one entry. Raises NotLeaderError, UnreachableError or
        ControlError if it is not known to be committed.
        """
        encoded = self.member.encode_command(command)
        answer = self.pending.get(encoded)
        if answer is None:
            loop = asyncio.get_running_loop()
            answer = loop.create_task(self.commit(encoded))
            self.pending[encoded] = answer
            answer.add_done_callback(lambda done: self.forget(encoded, done))
        return await asyncio.shield(answer)

    def forget(self, encoded: bytes, done: asyncio.Future) -> None:
        """Forget a command that is decided."""
        self.pending.pop(encoded, None)
        if not done.cancelled():
            done.exception()

    async def commit(self, encoded: bytes) -> bool:
        """Commit an encoded command here or at the leader."""
        async with asyncio.timeout(control_api.FORWARD_TIMEOUT_S):
            if self.member.raft.is_leader():
                return await self.member.propose(encoded)
            leader = self.member.leader_address()
            if not leader or leader == self.member.address:
                raise errors.NotLeaderError("no leader is known", "")
            self.member.check_leader_reads(encoded, leader)
            reply = await self.caller.call(
                leader, node_messages.CommandRequest(encoded), control_api.FORWARD_TIMEOUT_S
            )
            return reply.is_applied

    # Nodes

    def on_datagram(self, message: Any) -> None:
        """Answer an entry that asks for a permit."""
        if isinstance(message, node_messages.LoadQuery) and message.permit is not None:
            permit = self.permits.answer(message)
            answer = node_messages.LoadReply(message.number, 0, 0, 0.0, permit=permit)
            self.datagrams.send(message.address, answer)

    async def on_message(self, message: Any) -> Any:
        """Answer one call of another node."""
        if isinstance(message, node_messages.RaftFrames):
            self.member.receive(message.frames)
            return node_messages.Acknowledgement(levels.NEWEST)
        if isinstance(message, node_messages.WatchRequest):
            return await self.on_watch(message)
        if isinstance(message, node_messages.HeartbeatBatch):
            for heartbeat in message.heartbeats:
                self.take(heartbeat)
            self.limits.take(message.limits)
            return node_messages.Acknowledgement(levels.NEWEST)
        if isinstance(message, node_messages.CrashReport):
            self.crashes.take(message)
            self.limits.take_heard(message.limits)
            return node_messages.Acknowledgement(levels.NEWEST)
        if isinstance(message, node_messages.CommandRequest):
            async with asyncio.timeout(control_api.FORWARD_TIMEOUT_S):
                is_changed = await self.member.propose(message.command)
            return node_messages.CommandReply(is_changed, self.member.state.version)
        if isinstance(message, node_messages.ConfigurationRequest):
            return self.calls.read_here()
        if isinstance(message, node_messages.JoinRequest):
            return await self.member.members.on_join(message)
        if isinstance(message, node_messages.LeaveRequest):
            return await self.member.members.on_resign(message)
        raise errors.ProtocolError(f"a control VM does not answer {type(message).__name__}")

    async def on_watch(self, watch: node_messages.WatchRequest) -> node_messages.WatchReply:
        """Answer with what is new, at once or as soon as there is something."""
        deadline = self.clock() + min(watch.wait_s, WATCH_WAIT_MAX_S)
        while not self.has_news(watch):
            left = deadline - self.clock()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()
        return self.changes_for(watch)

    def has_news(self, watch: node_messages.WatchRequest) -> bool:
        """Return whether there is anything that the asker does not know."""
        if watch.feed != self.feed or watch.position < self.registry.position:
            return True
        if 0 <= watch.suspicions < self.crashes.ledger.reported_revision:
            return True
        if 0 <= watch.limits < self.limits.ledger.revision:
            return True
        return watch.configuration < self.member.state.version

    def changes_for(self, watch: node_messages.WatchRequest) -> node_messages.WatchReply:
        """Return what the asker does not know."""
        now = self.clock()
        position = watch.position if watch.feed == self.feed else 0
        is_full, changed, gone = self.registry.changes_since(position, now)
        state = self.member.state
        is_newer = state.version > watch.configuration
        suspicions_from = watch.suspicions if watch.feed == self.feed else min(0, watch.suspicions)
        suspicions = (
            self.crashes.ledger.changes_since(suspicions_from, now) if suspicions_from >= 0 else []
        )
        limits_from = watch.limits if watch.feed == self.feed else min(0, watch.limits)
        return node_messages.WatchReply(
            self.feed,
            self.registry.position,
            is_full,
            changed,
            gone,
            [
                node_messages.NamedVersion(model, version, now - self.named_at.get(model, now))
                for model, version in state.named.items()
            ],
            state.version,
            state.body if is_newer else b"",
            self.member.member_addresses(),
            self.member.staleness_s(now),
            suspicions,
            self.crashes.ledger.reported_revision,
            self.limits.since(limits_from),
            self.limits.ledger.revision,
        )

    # Heartbeats

    def take(self, heartbeat: fleet.Heartbeat) -> None:
        """Take a heartbeat in; what has left stays so."""
        state = self.member.state.departed.get(heartbeat.instance)
        if state == fleet.GONE:
            return
        is_new = heartbeat.instance not in self.registry.known
        if self.registry.record_heartbeat(heartbeat, self.clock()):
            if state == fleet.DRAINING:
                self.registry.mark_draining(heartbeat.instance)
            if is_new:
                logs.event(
                    "instance_new",
                    instance=heartbeat.instance,
                    service=heartbeat.service,
                    address=heartbeat.address,
                )
            self.tell()

    def take_here(self, heartbeat: fleet.Heartbeat) -> None:
        """Take a heartbeat that came to this VM; the other control VMs hear of it."""
        self.take(heartbeat)
        self.outgoing.append(heartbeat)

    async def pass_beats_on(self) -> None:
        """Pass heartbeats and limits on to the other control VMs, many at a time."""
        while True:
            await asyncio.sleep(BEATS_EVERY_S)
            if not self.outgoing and not self.limits.outgoing:
                continue
            heartbeats, self.outgoing = self.outgoing, []
            limits = self.limits.pop_outgoing()
            message = node_messages.HeartbeatBatch(self.settings.name, heartbeats, limits)
            for address in self.member.member_addresses():
                if address != self.member.address:
                    asyncio.get_running_loop().create_task(self.pass_on(address, message))

    async def pass_on(self, address: str, message: node_messages.HeartbeatBatch) -> None:
        """Send heartbeats to one control VM; the next beat makes good for a lost one."""
        with contextlib.suppress(errors.MerlinthreadError):
            await self.caller.call(address, message, control_api.FORWARD_TIMEOUT_S)

    async def expire(self) -> None:
        """Drop back ends that were silent for long."""
        while True:
            await asyncio.sleep(EXPIRE_EVERY_S)
            silent_s = SILENT_AFTER_BEATS * self.settings.heartbeat_s
            silent = self.registry.expire(self.clock(), silent_s)
            if silent:
                logs.event("instances_silent", instances=silent, silent_s=silent_s)
                self.tell()


def described(command: fleet_state.Command) -> dict[str, Any]:
    """Return a command's fields for the log, without its body."""
    if isinstance(command, fleet_state.Configure):
        return {"version": command.version, "bytes": len(command.body)}
    if isinstance(command, fleet_state.NameVersion):
        return {"model": command.model, "version": command.version}
    if isinstance(command, fleet_state.PlaceHold | fleet_state.ReleaseHold):
        return {"fingerprint": command.fingerprint, "times": command.times}
    return {"instance": command.instance, "state": command.state}


@node_roles.NODES.add("control")
def make(settings: node_settings.NodeSettings, dialect: dialects.Dialect) -> ControlNode:
    """Return a control VM on this process's clock."""
    codec = codecs.Codec([raft_messages.MESSAGES, node_messages.MESSAGES], [])
    return ControlNode(settings, dialect, codec, clocks.now)
