"""The `entry` role: serves callers and looks after the agents of its availability zone."""

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
CALL_TIMEOUT_S = 0.5
STALE_CONTROL_S = 1.5
PLATFORM_EVERY_S = 0.5
SETTLE_EVERY_S = 0.5
KEEP_ALIVE_S = 1.5


@dataclasses.dataclass(slots=True)
class Known:
    """What request threads may read: replaced whole, never changed."""

    directive: control_state.Directive
    live: list[agents.AgentReport]
    others: list[summaries.Summary] = dataclasses.field(default_factory=list)
    leaving: frozenset[str] = frozenset()


class ZoneTask:
    """Owns what this entry knows of agents and of the bundle in force.

    Its handlers run in the bus's threads under one lock; what request threads read is replaced
    whole, so they take no lock.
    """

    def __init__(self, context: base.RoleContext, config: settings_.Entry) -> None:
        self.context = context
        self.name = context.settings.name
        self.zone = context.settings.availability_zone
        self.lock = threading.Lock()
        self.view = agents.AgentView(config.agent_lost_after_s)
        self.others = summaries.SummaryTable(self.name, config.summary_lost_after_s)
        self.homes: dict[str, bool] = {}
        self.incarnation = int(context.wall_clock() * 1000)
        self.counter = 0
        self.directive = control_state.Directive()
        self.leaving: frozenset[str] = frozenset()
        self.known = Known(self.directive, [])

    def adopt(self, directive: control_state.Directive | None, source: str) -> None:
        """Take over a newer directive; an older one is never taken."""
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

    def take(self, heard: list[summaries.Summary]) -> None:
        """Take in what other entries reach."""
        now = self.context.clock()
        with self.lock:
            for summary in heard:
                if summary.entry != self.name:
                    self.others.add(summary, now)
            self.publish()

    def set_leaving(self, names: frozenset[str]) -> None:
        """Take over the platform's list of VMs that leave."""
        with self.lock:
            self.leaving = names
            self.publish()

    def refresh(self) -> None:
        """Drop agents that were not heard of in time."""
        with self.lock:
            self.publish()

    def publish(self) -> None:
        """Replace what request threads read; the caller holds the lock."""
        now = self.context.clock()
        self.known = Known(self.directive, self.view.live(now), self.others.live(now), self.leaving)

    def homed(self) -> list[agents.AgentReport]:
        """Return the reports of agents that this entry tells the leader of."""
        return [report for report in self.known.live if self.homes.get(report.name)]

    def summaries(self) -> list[summaries.Summary]:
        """Return what this entry reaches, and what it heard of others."""
        with self.lock:
            self.counter += 1
            counter = self.counter
        own = self.context.settings
        known = self.known
        summary = summaries.Summary(
            own.name,
            self.incarnation,
            counter,
            own.availability_zone,
            own.region,
            f"http://{own.http.address}:{own.http.port}",
        )
        if not self.context.in_flight.is_draining:
            live = [report for report in known.live if report.name not in known.leaving]
            summaries.add_reports(summary, live)
        return [summary, *known.others]

    def handle(self, message: Any) -> Any:
        """Answer one call of an agent or of another entry."""
        if isinstance(message, messages.Heartbeat):
            return self.on_heartbeat(message)
        if isinstance(message, messages.LoadHeartbeat):
            return self.on_beat(message)
        if isinstance(message, messages.ExchangeRequest):
            return self.on_exchange(message)
        raise errors.ProtocolError(f"an entry does not answer {type(message).__name__}")

    def on_heartbeat(self, heartbeat: messages.Heartbeat) -> messages.HeartbeatReply:
        """Take an agent's report and tell it what is new."""
        report = heartbeat.report
        with self.lock:
            self.view.check_incarnation(report.name, report.incarnation)
            self.view.update(report, self.context.clock())
            self.homes[report.name] = heartbeat.is_home
            self.publish()
        return self.reply_to(report)

    def on_beat(self, beat: messages.LoadHeartbeat) -> messages.HeartbeatReply:
        """Take an agent's load, if its last full report is known here."""
        order = (beat.incarnation, beat.counter)
        load = (beat.running, beat.queued, beat.queued_tokens)
        with self.lock:
            self.view.check_incarnation(beat.name, beat.incarnation)
            report = self.view.update_load(beat.name, order, load, self.context.clock())
            if report is None:
                return messages.HeartbeatReply(self.name, 0.0, None, wants_full=True)
            self.homes[beat.name] = beat.is_home
            self.publish()
        return self.reply_to(report)

    def reply_to(self, report: agents.AgentReport) -> messages.HeartbeatReply:
        """Return the lease and what is new."""
        directive = self.directive
        return messages.HeartbeatReply(
            self.name,
            LEASE_S,
            directive if directive.revision > report.revision else None,
        )

    def on_exchange(self, exchange: messages.ExchangeRequest) -> messages.ExchangeReply:
        """Swap views with another entry."""
        self.take(exchange.summaries)
        directive = self.directive
        return messages.ExchangeReply(
            directive.revision,
            directive if directive.revision > exchange.revision else None,
            self.summaries(),
        )


class ControlLink:
    """Polls the control VMs for news, and brings commands to the leader."""

    def __init__(self, context: base.RoleContext, config: settings_.Entry, zone: ZoneTask) -> None:
        self.context = context
        self.config = config
        self.zone = zone
        self.callers = bus.RpcClients(context.codec)
        self.position = 0
        self.names: dict[str, str] = {}
        self.leader = ""
        self.joined: dict[str, str] = {}
        self.outgoing = sessions.ReportSender()
        self.listener = ""
        self.leader_address = ""
        self.told_at = float("-inf")
        self.tell_callers = bus.RpcClients(context.codec)

    def poll(self) -> None:
        """Ask one control VM; turn to the next if it does not answer or has lost its leader."""
        known = self.known_addresses()
        address = known[self.position % len(known)]
        directive = self.zone.known.directive
        poll = messages.PollRequest(self.zone.name, directive.revision)
        try:
            reply = self.callers.call(address, poll, CALL_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            self.position += 1
            logs.debug("control_unreached", address=address, reason=error.message)
            return
        self.names[reply.control] = address
        self.leader = reply.leader
        self.joined = reply.controls
        self.zone.adopt(reply.directive, reply.control)
        if reply.leader_age_s > STALE_CONTROL_S:
            self.position += 1

    def tell(self) -> None:
        """Tell the leader what changed among the agents whose home this entry is."""
        changed, gone, is_full = self.outgoing.changes(self.zone.homed(), self.listener)
        now = self.context.clock()
        if not (changed or gone or is_full) and now < self.told_at + KEEP_ALIVE_S:
            return
        told = self.find_leader(messages.AgentChanges(self.zone.name, changed, gone, is_full))
        if told is None:
            self.outgoing.forget()
            return
        if told.wants_full or told.listener != self.listener:
            self.outgoing.forget()
            self.listener = told.listener
            if not is_full:
                return
        self.told_at = now
        self.outgoing.confirm(changed, gone, self.listener)

    def find_leader(self, tell: messages.AgentChanges) -> messages.AgentChangesReply | None:
        """Return the leader's answer, whichever control VM it is, or None."""
        for address in self.addresses():
            try:
                told = self.tell_callers.call(address, tell, CALL_TIMEOUT_S)
            except errors.MerlinthreadError as error:
                logs.debug("not_told", address=address, reason=error.message)
                continue
            self.leader_address = address
            return told
        return None

    def known_addresses(self) -> list[str]:
        """Return the addresses in the settings and of control VMs that joined later."""
        return list(dict.fromkeys([*self.config.controls, *self.joined.values()]))

    def addresses(self) -> list[str]:
        """Return the control VMs' addresses, the leader's first."""
        first = self.names.get(self.leader) or self.joined.get(self.leader) or self.leader_address
        rest = [address for address in self.known_addresses() if address != first]
        return ([first] if first else []) + rest

    def close(self) -> None:
        """Close the sockets."""
        self.callers.close()
        self.tell_callers.close()


class Submitter:
    """Brings commands to the leading control VM; one per request thread."""

    def __init__(self, context: base.RoleContext, link: ControlLink) -> None:
        self.context = context
        self.link = link
        self.local = threading.local()

    def submit(self, command: commands.Command, deadline: float) -> commands.Answer:
        """Return the committed command's answer.

        Raises ControlError (no_majority) if no leader took it before `deadline`, and
        outcome_unknown if one may have.
        """
        name = self.context.codec.names[type(command)]
        message = messages.CommandRequest(msgspec.msgpack.encode((name, command)))
        if not hasattr(self.local, "callers"):
            self.local.callers = bus.RpcClients(self.context.codec)
        may_have_committed = False
        for address in self.link.addresses():
            left = deadline - self.context.clock()
            if left <= 0:
                break
            try:
                return self.local.callers.call(address, message, min(left, 2.0)).answer
            except errors.MerlinthreadError as error:
                if error.kind not in (errors.ErrorKind.NOT_LEADER, errors.ErrorKind.OVERLOADED):
                    may_have_committed = True
        if may_have_committed:
            raise errors.ControlError(
                "no control VM confirmed the claim", kind=errors.ErrorKind.OUTCOME_UNKNOWN
            )
        raise errors.ControlError("no leader among the control VMs is reached")


@base.ROLES.add("entry")
class EntryRole(base.Role):
    """An entry VM: callers' HTTP, the bus for agents and entries, links to the control VMs."""

    def __init__(self, context: base.RoleContext) -> None:
        super().__init__(context)
        config = context.settings.entry
        assert config is not None
        self.config = config
        self.zone = ZoneTask(context, config)
        self.link = ControlLink(context, config, self.zone)
        self.responder = bus.RpcServer(
            context.settings.bus, context.codec, self.zone.handle, workers=4
        )
        self.exchange_callers = bus.RpcClients(context.codec)
        self.rng = random.Random()
        self.client = http_client.Client()
        self.tasks = [
            base.Task("poll", config.poll_every_s, self.link.poll),
            base.Task("tell", config.tell_every_s, self.link.tell),
            base.Task("exchange", config.exchange_every_s, self.exchange),
            base.Task("refresh", 0.25, self.zone.refresh),
        ]
        if config.platform_url:
            self.tasks.append(base.Task("platform", PLATFORM_EVERY_S, self.read_platform))
        self.path = request_handler.RequestHandler(
            context, config, self.zone, Submitter(context, self.link)
        )
        self.path.add_routes(context.http.routes)
        self.forwarder = forwarding.Forwarder(self.path)
        for method in ("GET", "POST"):
            context.http.routes.add(method, forwarding.PREFIX, self.forwarder.on_request)
        self.tasks.append(base.Task("settle", SETTLE_EVERY_S, self.path.settler.work))

    def start(self) -> None:
        """Start the tasks."""
        self.responder.start()
        for task in self.tasks:
            task.start()

    def exchange(self) -> None:
        """Swap views with one other entry, chosen at random, so that the cost does not grow."""
        if not self.config.entries:
            return
        address = self.rng.choice(self.config.entries)
        message = messages.ExchangeRequest(
            self.zone.name, self.zone.known.directive.revision, self.zone.summaries()
        )
        try:
            reply = self.exchange_callers.call(address, message, CALL_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            logs.debug("entry_unreached", address=address, reason=error.message)
            return
        self.zone.adopt(reply.directive, address)
        self.zone.take(reply.summaries)

    def read_platform(self) -> None:
        """Read the platform's list of VMs for those that leave."""
        assert self.config.platform_url is not None
        try:
            reply = self.client.request("GET", f"{self.config.platform_url}/v1/vms", timeout_s=2.0)
            listed = msgspec.json.decode(reply.body, type=PlatformList)
        except (errors.MerlinthreadError, msgspec.DecodeError) as error:
            logs.debug("platform_unreached", reason=str(error))
            return
        leaving = frozenset(vm.name for vm in listed.vms if vm.state == "leaving")
        if leaving != self.zone.leaving:
            logs.event("platform_leaving", names=sorted(leaving))
            self.zone.set_leaving(leaving)

    def not_ready_reason(self) -> str:
        """Return why callers can't be served, or nothing."""
        if self.context.in_flight.is_draining:
            return "leaving"
        if self.zone.known.directive.bundle is None:
            return "no bundle in force is known yet"
        return ""

    def stop(self) -> None:
        """Stop the tasks."""
        for task in self.tasks:
            task.stop()
        self.responder.stop()
        self.link.close()
        self.exchange_callers.close()


@dataclasses.dataclass(slots=True)
class PlatformVm:
    """A VM in the platform's list; `state` is "live" or "leaving"."""

    name: str
    state: str


@dataclasses.dataclass(slots=True)
class PlatformList:
    """The platform's list, which lags."""

    vms: list[PlatformVm]
