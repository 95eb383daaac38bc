"""The `agent` role: the small process beside a target."""

import pathlib
import threading

from merlinthread import errors, logs, metrics
from merlinthread.coordination import (
    agents,
    bundles,
    commands,
    control_state,
    fetch,
    sessions,
    switch,
)
from merlinthread.protocol import messages
from merlinthread.roles import base, chunk_server, target, weights
from merlinthread.state import chunks, manifests
from merlinthread.transport import bus, http_server

CALL_TIMEOUT_S = 0.5
SWITCH_EVERY_S = 0.1
STATUS_EVERY_S = 0.25
REFUSED_WAIT_S = 1.0


@base.ROLES.add("agent")
class AgentRole(base.Role):
    """An agent: heartbeats, weights, orders and requests of one target."""

    def __init__(self, context: base.RoleContext) -> None:
        super().__init__(context)
        config = context.settings.agent
        assert config is not None
        self.config = config
        self.incarnation = int(context.wall_clock() * 1000)
        self.lock = threading.Lock()
        self.counter = 0
        self.directive = control_state.Directive()
        self.floor = 0
        self.lease_until = float("-inf")
        self.orders_from = float("-inf")
        self.is_replaced = False
        self.trouble = ""
        self.tried_at = float("-inf")
        folder = pathlib.Path(config.store_folder) if config.store_folder else None
        self.weights = weights.WeightManager(
            context, config, chunks.ChunkStore(folder, config.store_bytes)
        )
        self.giver = chunk_server.ChunkServer(self.weights)
        self.target = target.Target(context, config, self.incarnation)
        self.responder = bus.RpcServer(
            context.settings.bus,
            context.codec,
            self.giver.handle,
            workers=config.upload_slots + 2,
        )
        self.entries = self.choose_entries()
        self.callers = {address: bus.RpcClients(context.codec) for address in self.entries}
        self.home = self.entries[0]
        self.told: dict[str, tuple[object, ...]] = {}
        self.beats = [self.make_beat(address) for address in self.entries]
        self.tasks = [
            base.Task("status", STATUS_EVERY_S, self.target.refresh),
            base.Task("switch", SWITCH_EVERY_S, self.change),
        ]
        context.http.routes.add("GET", "/weights/", self.give_weights)
        for method in ("GET", "POST"):
            context.http.routes.add(method, "/target/", self.target.on_request)

    def choose_entries(self) -> list[str]:
        """Return the entries to report to: a few of the zone's, others for other agents."""
        ordered = sorted(
            self.config.entries,
            key=lambda address: fetch.rendezvous_weight(address, self.context.settings.name, 0),
        )
        return ordered[: self.config.heartbeat_entries]

    def make_beat(self, address: str) -> base.Task:
        """Return the task that reports to one entry."""
        return base.Task(
            f"heartbeat {address}", self.config.heartbeat_every_s, lambda: self.beat(address)
        )

    def start(self) -> None:
        """Learn what the target has obeyed so far, then start the tasks."""
        self.target.refresh()
        self.floor = self.target.fence.generation
        if self.target.fence.epoch >= self.incarnation:
            self.incarnation = self.target.fence.epoch + 1
            self.target.incarnation = self.incarnation
        self.responder.start()
        self.weights.start()
        for task in self.tasks + self.beats:
            task.start()

    # Heartbeats

    def report(self) -> agents.AgentReport:
        """Return this agent's report."""
        line = self.target.line.queue
        with self.lock:
            self.counter += 1
            counter = self.counter
        own = self.context.settings
        return agents.AgentReport(
            own.name,
            self.incarnation,
            counter,
            own.availability_zone,
            own.region,
            own.bus,
            f"http://{own.http.address}:{own.http.port}",
            self.config.target_kind,
            self.config.service,
            dict(self.target.serving) if self.target.is_reached else {},
            self.weights.progress(),
            len(line.running),
            line.count_waiting(),
            line.waiting_tokens,
            self.config.slots,
            self.directive.revision,
            self.directive.generation,
            self.is_leaving(),
            self.trouble or self.weights.trouble(),
        )

    def is_leaving(self) -> bool:
        """Return whether the target takes no new work."""
        return self.context.in_flight.is_draining or self.target.is_leaving or self.is_replaced

    def beat(self, address: str) -> None:
        """Report to one entry and take over what it says."""
        sent_at = self.context.clock()
        report = self.report()
        try:
            reply = self.tell(address, report)
        except errors.MerlinthreadError as error:
            if error.kind == errors.ErrorKind.FENCED:
                self.note_replaced(error.message)
            logs.debug("entry_unreached", address=address, reason=error.message)
            self.told.pop(address, None)
            self.leave_home(address)
            return
        if self.orders_from == float("-inf"):
            # A target that checks no fences: wait until the agent before has lost its lease.
            wait = 0.0 if self.config.checks_fences else reply.lease_s
            self.orders_from = self.context.clock() + wait
        self.lease_until = max(self.lease_until, sent_at + reply.lease_s)
        self.adopt(reply.directive, reply.entry)
        if self.home == "":
            self.home = address

    def tell(self, address: str, report: agents.AgentReport) -> messages.HeartbeatReply:
        """Send an entry the whole report, or only the load if nothing else has changed for it."""
        is_home = self.home == address
        shape = sessions.reported_state(report)
        callers = self.callers[address]
        if self.told.get(address) == shape:
            beat = messages.LoadHeartbeat(
                report.name,
                report.incarnation,
                report.counter,
                report.running,
                report.queued,
                report.queued_tokens,
                is_home,
            )
            reply = callers.call(address, beat, CALL_TIMEOUT_S)
            if not reply.wants_full:
                return reply
        reply = callers.call(address, messages.Heartbeat(report, is_home), CALL_TIMEOUT_S)
        self.told[address] = shape
        return reply

    def leave_home(self, address: str) -> None:
        """Let the next entry that answers tell the leader of this agent."""
        if self.home == address and len(self.entries) > 1:
            self.home = ""

    def note_replaced(self, reason: str) -> None:
        """Take no more work and give no more orders: a later agent has this target."""
        if not self.is_replaced:
            logs.warning("replaced", reason=reason)
        self.is_replaced = True

    def adopt(self, directive: control_state.Directive | None, source: str) -> None:
        """Take over a newer directive; never one below what the target has obeyed."""
        with self.lock:
            if directive is None or directive.revision <= self.directive.revision:
                return
            if directive.generation < max(self.floor, self.directive.generation):
                logs.warning("directive_too_old", generation=directive.generation, floor=self.floor)
                return
            self.directive = directive
        self.trouble = ""
        self.weights.clear_trouble()
        self.target.apply_shares(directive)
        metrics.revision.set(directive.revision)
        metrics.generation.set(directive.generation)
        self.weights.set_wanted(self.participants(directive))
        logs.event(
            "directive_adopted",
            revision=directive.revision,
            generation=directive.generation,
            source=source,
            assigned=[item.name for item in self.wanted(directive)],
        )
        self.beat_now()

    def beat_now(self) -> None:
        """Report without waiting for the next period."""
        for task in self.beats:
            task.wake.set()

    def wanted(self, directive: control_state.Directive) -> list[switch.WantedModel]:
        """Return what the engine should serve."""
        if self.config.target_kind == bundles.SERVICE:
            return []
        return switch.wanted_models(directive, self.context.settings.name)

    def participants(self, directive: control_state.Directive) -> dict[str, list[fetch.Peer]]:
        """Return the manifests wanted here, each with the other VMs that should hold it."""
        found: dict[str, list[fetch.Peer]] = {item.manifest: [] for item in self.wanted(directive)}
        for name, placed in directive.placement.items():
            if name == self.context.settings.name:
                continue
            peer = fetch.Peer(name, placed.bus, self.distance(placed))
            for item in switch.wanted_models(directive, name):
                if item.manifest in found:
                    found[item.manifest].append(peer)
        return found

    def distance(self, placed: commands.VmPlacement) -> int:
        """Return how far another VM is."""
        if placed.availability_zone == self.context.settings.availability_zone:
            return fetch.SAME_ZONE
        if placed.region == self.context.settings.region:
            return fetch.SAME_REGION
        return fetch.OTHER_REGION

    # Orders

    def change(self) -> None:
        """Give the engine the next order that is due, under the lease."""
        if self.config.target_kind == bundles.SERVICE or not self.target.is_reached:
            return
        now = self.context.clock()
        if now < self.orders_from or now >= self.lease_until or self.is_replaced:
            return
        if self.trouble and now < self.tried_at + REFUSED_WAIT_S:
            return
        directive = self.directive
        wanted = switch.wanted_models(directive, self.context.settings.name)
        step = switch.next_step(
            wanted, self.target.serving, self.weights.complete_manifests(), bool(directive.paused)
        )
        if step is None or directive.bundle is None:
            return
        self.tried_at = now
        self.give(step, directive)

    def give(self, step: switch.Step, directive: control_state.Directive) -> None:
        """Give one order and note what came of it."""
        layout = None
        if isinstance(step, switch.Load):
            layout = manifests.to_dict(self.weights.manifests[step.item.manifest])
        try:
            self.target.order(step, directive.generation, layout)
            self.trouble = ""
        except errors.MerlinthreadError as error:
            logs.warning("order_failed", kind=str(error.kind), reason=error.message)
            if error.kind == errors.ErrorKind.FENCED:
                self.note_replaced(error.message)
            elif not isinstance(error, errors.UnreachableError):
                self.trouble = f"load refused: {error.message}"
        self.target.refresh()
        self.beat_now()

    def give_weights(self, request: http_server.Request) -> http_server.Response:
        """Give a whole manifest's bytes to the engine."""
        pieces = self.giver.read_all(request.subpath)
        return http_server.Response(200, pieces, content_type="application/octet-stream")

    # Life

    def not_ready_reason(self) -> str:
        """Return why no requests come here, or nothing."""
        if self.is_leaving():
            return "leaving"
        if not self.target.is_reached:
            return f"the target at {self.config.target_url} does not answer"
        return "" if self.target.serving else "the target serves nothing yet"

    def start_draining(self) -> None:
        """Tell the entries at once."""
        self.beat_now()

    def stop(self) -> None:
        """Stop the tasks."""
        for task in self.beats + self.tasks:
            task.stop()
        self.weights.stop()
        self.responder.stop()
        for callers in self.callers.values():
            callers.close()
