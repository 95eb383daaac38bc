"""The `entry` role: serves clients, and monitors the agents of its availability zone."""

import dataclasses
import random
import threading
from typing import Any

import msgspec

from merlinthread import errors, logs, metrics
from merlinthread import settings as settings_
from merlinthread.coordination import agents, commands, control_state, sessions, summaries
from merlinthread.protocol import messages
from merlinthread.roles import base, forwarding, request_handler
from merlinthread.transport import bus, http_client

LEASE_S = 3.0
RPC_TIMEOUT_S = 0.5
LEADER_STALE_S = 1.5
PLATFORM_BYTES_MAX = 4 * 1024 * 1024
PLATFORM_POLL_INTERVAL_S = 0.5
OUTCOME_RETRY_INTERVAL_S = 0.5
KEEPALIVE_INTERVAL_S = 1.5


@dataclasses.dataclass(slots=True)
class ZoneSnapshot:
    """A view of the zone's state for request threads; replaced as a whole, never modified."""

    directive: control_state.Directive
    live: list[agents.AgentReport]
    other_summaries: list[summaries.Summary] = dataclasses.field(default_factory=list)
    leaving: frozenset[str] = frozenset()


class ZoneState:
    """The directive, the agents of the zone and the summaries of other entries.

    Shared between threads: changes are made under `lock` and then published as a new `snapshot`,
    which request threads read without locking.
    """

    def __init__(self, context: base.RoleContext, config: settings_.Entry) -> None:
        self.context = context
        self.name = context.settings.name
        self.zone = context.settings.availability_zone
        self.lock = threading.Lock()
        self.agent_view = agents.AgentView(config.agent_lost_after_s)
        self.other_entries = summaries.SummaryTable(self.name, config.summary_lost_after_s)
        self.is_home_by_agent: dict[str, bool] = {}
        self.incarnation = int(context.wall_clock() * 1000)
        self.counter = 0
        self.directive = control_state.Directive()
        self.leaving: frozenset[str] = frozenset()
        self.snapshot = ZoneSnapshot(self.directive, [])

    def adopt_directive(self, directive: control_state.Directive | None, source: str) -> None:
        """Apply a directive if its revision is newer."""
        if directive is None:
            return
        with self.lock:
            if directive.revision <= self.directive.revision:
                return
            self.directive = directive
            metrics.revision.set(directive.revision)
            metrics.generation.set(directive.generation)
            self.publish()
        logs.event(
            "directive_adopted",
            revision=directive.revision,
            generation=directive.generation,
            source=source,
        )

    def merge_summaries(self, received: list[summaries.Summary]) -> None:
        """Store the summaries received from another entry."""
        now = self.context.clock()
        with self.lock:
            for summary in received:
                if summary.entry != self.name:
                    self.other_entries.add(summary, now)
            self.publish()

    def set_leaving(self, names: frozenset[str]) -> None:
        """Set the names of VMs that the platform reports as leaving."""
        with self.lock:
            self.leaving = names
            self.publish()

    def refresh(self) -> None:
        """Publish a snapshot without agents and entries that have timed out."""
        with self.lock:
            self.publish()

    def publish(self) -> None:
        """Replace the snapshot; the caller holds the lock."""
        now = self.context.clock()
        self.snapshot = ZoneSnapshot(
            self.directive, self.agent_view.live(now), self.other_entries.live(now), self.leaving
        )

    def home_reports(self) -> list[agents.AgentReport]:
        """Return the reports of agents for which this entry is the home entry."""
        return [report for report in self.snapshot.live if self.is_home_by_agent.get(report.name)]

    def summaries(self) -> list[summaries.Summary]:
        """Return a new summary of this entry and those received from others.

        While the process drains, its own summary has no targets.
        """
        with self.lock:
            self.counter += 1
            counter = self.counter
        settings = self.context.settings
        snapshot = self.snapshot
        summary = summaries.Summary(
            settings.name,
            self.incarnation,
            counter,
            settings.availability_zone,
            settings.region,
            f"http://{settings.http.address}:{settings.http.port}",
        )
        if not self.context.in_flight.is_draining:
            live = [report for report in snapshot.live if report.name not in snapshot.leaving]
            summaries.add_reports(summary, live)
        return [summary, *snapshot.other_summaries]

    def handle_message(self, message: Any) -> Any:
        """Return the reply to a request of an agent or another entry."""
        if isinstance(message, messages.Heartbeat):
            return self.handle_heartbeat(message)
        if isinstance(message, messages.LoadHeartbeat):
            return self.handle_load_heartbeat(message)
        if isinstance(message, messages.ExchangeRequest):
            return self.handle_exchange(message)
        raise errors.ProtocolError(f"entries don't handle {type(message).__name__} messages")

    def handle_heartbeat(self, heartbeat: messages.Heartbeat) -> messages.HeartbeatReply:
        """Store an agent's report; raise MerlinthreadError (fenced) if the agent was replaced."""
        report = heartbeat.report
        with self.lock:
            self.agent_view.check_incarnation(report.name, report.incarnation)
            self.agent_view.update(report, self.context.clock())
            self.is_home_by_agent[report.name] = heartbeat.is_home
            self.publish()
        return self.reply_to(report)

    def handle_load_heartbeat(self, heartbeat: messages.LoadHeartbeat) -> messages.HeartbeatReply:
        """Update an agent's load; ask for a full report if none of this incarnation is known."""
        order = (heartbeat.incarnation, heartbeat.counter)
        load = (heartbeat.running, heartbeat.queued, heartbeat.queued_tokens)
        with self.lock:
            self.agent_view.check_incarnation(heartbeat.name, heartbeat.incarnation)
            report = self.agent_view.update_load(heartbeat.name, order, load, self.context.clock())
            if report is None:
                return messages.HeartbeatReply(self.name, 0.0, None, wants_full=True)
            self.is_home_by_agent[heartbeat.name] = heartbeat.is_home
            self.publish()
        return self.reply_to(report)

    def reply_to(self, report: agents.AgentReport) -> messages.HeartbeatReply:
        """Return the reply to a heartbeat, with the directive if it is newer than the agent's."""
        directive = self.directive
        return messages.HeartbeatReply(
            self.name,
            LEASE_S,
            directive if directive.revision > report.revision else None,
        )

    def handle_exchange(self, exchange: messages.ExchangeRequest) -> messages.ExchangeReply:
        """Store the summaries of another entry and return this entry's."""
        self.merge_summaries(exchange.summaries)
        directive = self.directive
        return messages.ExchangeReply(
            directive.revision,
            directive if directive.revision > exchange.revision else None,
            self.summaries(),
        )


class ControlClient:
    """Polls the control VMs for directives, and reports changed agents to the leader."""

    def __init__(self, context: base.RoleContext, config: settings_.Entry, zone: ZoneState) -> None:
        self.context = context
        self.config = config
        self.zone = zone
        self.rpc_clients = bus.RpcClients(context.codec)
        self.control_index = 0
        self.control_addresses: dict[str, str] = {}
        self.leader = ""
        self.joined_controls: dict[str, str] = {}
        self.report_sender = sessions.ReportSender()
        self.listener = ""
        self.leader_address = ""
        self.sent_at = float("-inf")
        self.report_clients = bus.RpcClients(context.codec)

    def poll(self) -> None:
        """Poll the current control VM, and switch to the next on an error or a stale leader."""
        known = self.known_addresses()
        address = known[self.control_index % len(known)]
        directive = self.zone.snapshot.directive
        poll = messages.PollRequest(self.zone.name, directive.revision)
        try:
            reply = self.rpc_clients.call(address, poll, RPC_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            self.control_index += 1
            logs.debug("control_unreached", address=address, reason=error.message)
            return
        self.control_addresses[reply.control] = address
        self.leader = reply.leader
        self.joined_controls = reply.controls
        self.zone.adopt_directive(reply.directive, reply.control)
        if reply.leader_age_s > LEADER_STALE_S:
            self.control_index += 1

    def send_changes(self) -> None:
        """Report changes among this entry's home agents to the leader.

        Without changes, an empty report is sent every `KEEPALIVE_INTERVAL_S` to keep the session.
        """
        changed, gone, is_full = self.report_sender.changes(self.zone.home_reports(), self.listener)
        now = self.context.clock()
        if not (changed or gone or is_full) and now < self.sent_at + KEEPALIVE_INTERVAL_S:
            return
        reply = self.send_to_leader(messages.AgentChanges(self.zone.name, changed, gone, is_full))
        if reply is None:
            self.report_sender.forget()
            return
        if reply.wants_full or reply.listener != self.listener:
            self.report_sender.forget()
            self.listener = reply.listener
            if not is_full:
                return
        self.sent_at = now
        self.report_sender.confirm(changed, gone, self.listener)

    def send_to_leader(self, changes: messages.AgentChanges) -> messages.AgentChangesReply | None:
        """Try the control VMs until one accepts the changes; return its reply, or None."""
        for address in self.leader_first_addresses():
            try:
                reply = self.report_clients.call(address, changes, RPC_TIMEOUT_S)
            except errors.MerlinthreadError as error:
                logs.debug("not_told", address=address, reason=error.message)
                continue
            self.leader_address = address
            return reply
        return None

    def known_addresses(self) -> list[str]:
        """Return the addresses of control VMs: configured ones, then those that joined later."""
        return list(dict.fromkeys([*self.config.controls, *self.joined_controls.values()]))

    def leader_first_addresses(self) -> list[str]:
        """Return the control VMs' addresses, that of the presumed leader first."""
        first = (
            self.control_addresses.get(self.leader)
            or self.joined_controls.get(self.leader)
            or self.leader_address
        )
        rest = [address for address in self.known_addresses() if address != first]
        return ([first] if first else []) + rest

    def close(self) -> None:
        """Close the sockets."""
        self.rpc_clients.close()
        self.report_clients.close()


class Submitter:
    """Submits commands to the leader; thread-safe, with separate connections per thread."""

    def __init__(self, context: base.RoleContext, control_client: ControlClient) -> None:
        self.context = context
        self.control_client = control_client
        self.local = threading.local()

    def submit(self, command: commands.Command, deadline: float) -> commands.Answer:
        """Commit a command and return its result.

        Raises ControlError: no_majority if no leader accepted it before `deadline`,
        outcome_unknown if one may have committed it.
        """
        name = self.context.codec.names[type(command)]
        message = messages.CommandRequest(msgspec.msgpack.encode((name, command)))
        if not hasattr(self.local, "rpc_clients"):
            self.local.rpc_clients = bus.RpcClients(self.context.codec)
        may_have_committed = False
        for address in self.control_client.leader_first_addresses():
            remaining = deadline - self.context.clock()
            if remaining <= 0:
                break
            try:
                return self.local.rpc_clients.call(address, message, min(remaining, 2.0)).answer
            except errors.MerlinthreadError as error:
                if error.kind not in (errors.ErrorKind.NOT_LEADER, errors.ErrorKind.OVERLOADED):
                    may_have_committed = True
        if may_have_committed:
            raise errors.ControlError(
                "no control VM confirmed the command", kind=errors.ErrorKind.OUTCOME_UNKNOWN
            )
        raise errors.ControlError("no leader among the control VMs could be reached")


@base.ROLES.add("entry")
class EntryRole(base.Role):
    """An entry VM: the clients' HTTP API, the server for agents and entries, and their tasks."""

    def __init__(self, context: base.RoleContext) -> None:
        super().__init__(context)
        config = context.settings.entry
        assert config is not None
        self.config = config
        self.zone = ZoneState(context, config)
        self.control_client = ControlClient(context, config, self.zone)
        self.rpc_server = bus.RpcServer(
            context.settings.bus, context.codec, self.zone.handle_message, workers=4
        )
        self.exchange_clients = bus.RpcClients(context.codec)
        self.rng = random.Random()
        self.client = http_client.Client()
        self.tasks = [
            base.PeriodicTask("poll", config.poll_every_s, self.control_client.poll),
            base.PeriodicTask("tell", config.tell_every_s, self.control_client.send_changes),
            base.PeriodicTask("exchange", config.exchange_every_s, self.exchange_summaries),
            base.PeriodicTask("refresh", 0.25, self.zone.refresh),
        ]
        if config.platform_url:
            self.tasks.append(
                base.PeriodicTask("platform", PLATFORM_POLL_INTERVAL_S, self.poll_platform)
            )
        self.handler = request_handler.RequestHandler(
            context, config, self.zone, Submitter(context, self.control_client)
        )
        self.handler.add_routes(context.http.routes)
        self.forwarder = forwarding.Forwarder(self.handler)
        for method in ("GET", "POST"):
            context.http.routes.add(method, forwarding.PATH_PREFIX, self.forwarder.handle_request)
        self.tasks.append(
            base.PeriodicTask(
                "settle", OUTCOME_RETRY_INTERVAL_S, self.handler.outcome_retrier.retry_pending
            )
        )

    def start(self) -> None:
        """Start the server and the tasks."""
        self.rpc_server.start()
        for task in self.tasks:
            task.start()

    def exchange_summaries(self) -> None:
        """Exchange summaries with one random entry, which keeps the cost per entry constant."""
        if not self.config.entries:
            return
        address = self.rng.choice(self.config.entries)
        message = messages.ExchangeRequest(
            self.zone.name, self.zone.snapshot.directive.revision, self.zone.summaries()
        )
        try:
            reply = self.exchange_clients.call(address, message, RPC_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            logs.debug("entry_unreached", address=address, reason=error.message)
            return
        self.zone.adopt_directive(reply.directive, address)
        self.zone.merge_summaries(reply.summaries)

    def poll_platform(self) -> None:
        """Update the set of leaving VMs from the platform's list."""
        assert self.config.platform_url is not None
        try:
            response = self.client.request(
                "GET",
                f"{self.config.platform_url}/v1/vms",
                timeout_s=2.0,
                limit_bytes=PLATFORM_BYTES_MAX,
            )
            vm_list = msgspec.json.decode(response.body, type=PlatformVmList)
        except (errors.MerlinthreadError, msgspec.DecodeError) as error:
            logs.debug("platform_unreached", reason=str(error))
            return
        leaving = frozenset(vm.name for vm in vm_list.vms if vm.state == "leaving")
        if leaving != self.zone.leaving:
            logs.event("platform_leaving", names=sorted(leaving))
            self.zone.set_leaving(leaving)

    def not_ready_reason(self) -> str:
        """Return why clients can't be served, or an empty string."""
        if self.context.in_flight.is_draining:
            return "leaving"
        if self.zone.snapshot.directive.bundle is None:
            return "no bundle in force is known yet"
        return ""

    def stop(self) -> None:
        """Stop the tasks and the server, and close the connections."""
        for task in self.tasks:
            task.stop()
        self.rpc_server.stop()
        self.control_client.close()
        self.exchange_clients.close()


@dataclasses.dataclass(slots=True)
class PlatformVm:
    """A VM in the platform's list; `state` is "live" or "leaving"."""

    name: str
    state: str


@dataclasses.dataclass(slots=True)
class PlatformVmList:
    """The platform's list of VMs, which may be out of date."""

    vms: list[PlatformVm]
