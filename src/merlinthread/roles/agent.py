"""The `agent` role: connects one target, an engine or a plain service, to the entries."""

import pathlib
import threading

from merlinthread import errors, logs, metrics
from merlinthread.coordination import (
    agents,
    bundles,
    commands,
    control_state,
    fetch,
    reconciliation,
    sessions,
)
from merlinthread.protocol import messages
from merlinthread.roles import base, chunk_server, target, weights
from merlinthread.state import chunks, manifests
from merlinthread.transport import bus, http_server

RPC_TIMEOUT_S = 0.5
RECONCILE_INTERVAL_S = 0.1
STATUS_INTERVAL_S = 0.25
FAILED_STEP_RETRY_S = 1.0


@base.ROLES.add("agent")
class AgentRole(base.Role):
    """The agent of one target.

    Sends heartbeats to the entries, fetches weights, sends orders to the engine and forwards
    requests to the target.
    """

    def __init__(self, context: base.RoleContext) -> None:
        super().__init__(context)
        config = context.settings.agent
        assert config is not None
        self.config = config
        self.incarnation = int(context.wall_clock() * 1000)
        self.lock = threading.Lock()
        self.counter = 0
        self.directive = control_state.Directive()
        self.min_generation = 0
        self.lease_expires_at = float("-inf")
        self.orders_allowed_at = float("-inf")
        self.is_replaced = False
        self.trouble = ""
        self.last_order_at = float("-inf")
        folder = pathlib.Path(config.store_folder) if config.store_folder else None
        self.weights = weights.WeightManager(
            context, config, chunks.ChunkStore(folder, config.store_bytes)
        )
        self.chunk_server = chunk_server.ChunkServer(self.weights)
        self.target = target.Target(context, config, self.incarnation)
        self.rpc_server = bus.RpcServer(
            context.settings.bus,
            context.codec,
            self.chunk_server.handle_message,
            workers=config.upload_slots + 2,
        )
        self.entries = self.select_entries()
        self.rpc_clients = {address: bus.RpcClients(context.codec) for address in self.entries}
        self.home_entry = self.entries[0]
        self.sent_states: dict[str, tuple[object, ...]] = {}
        self.heartbeat_tasks = [self.make_heartbeat_task(address) for address in self.entries]
        self.tasks = [
            base.PeriodicTask("status", STATUS_INTERVAL_S, self.target.refresh_status),
            base.PeriodicTask("switch", RECONCILE_INTERVAL_S, self.run_next_step),
        ]
        context.http.routes.add("GET", "/weights/", self.serve_weights)
        for method in ("GET", "POST"):
            context.http.routes.add(method, "/target/", self.target.handle_request)

    def select_entries(self) -> list[str]:
        """Return the `heartbeat_entries` entries to report to, selected by rendezvous hash.

        This spreads the agents over the entries of the zone.
        """
        ordered = sorted(
            self.config.entries,
            key=lambda address: fetch.rendezvous_weight(address, self.context.settings.name, 0),
        )
        return ordered[: self.config.heartbeat_entries]

    def make_heartbeat_task(self, address: str) -> base.PeriodicTask:
        """Return the task that sends heartbeats to one entry."""
        return base.PeriodicTask(
            f"heartbeat {address}",
            self.config.heartbeat_every_s,
            lambda: self.send_heartbeat(address),
        )

    def start(self) -> None:
        """Start the tasks, with an incarnation above the epoch of the target's last order."""
        self.target.refresh_status()
        self.min_generation = self.target.fence.generation
        if self.target.fence.epoch >= self.incarnation:
            self.incarnation = self.target.fence.epoch + 1
            self.target.incarnation = self.incarnation
        self.rpc_server.start()
        self.weights.start()
        for task in self.tasks + self.heartbeat_tasks:
            task.start()

    # Heartbeats

    def make_report(self) -> agents.AgentReport:
        """Return a new report with the next counter value."""
        queue = self.target.request_queue.queue
        with self.lock:
            self.counter += 1
            counter = self.counter
        settings = self.context.settings
        return agents.AgentReport(
            settings.name,
            self.incarnation,
            counter,
            settings.availability_zone,
            settings.region,
            settings.bus,
            f"http://{settings.http.address}:{settings.http.port}",
            self.config.target_kind,
            self.config.service,
            dict(self.target.serving) if self.target.is_reachable else {},
            self.weights.progress(),
            len(queue.running),
            queue.count_waiting(),
            queue.waiting_tokens,
            self.config.slots,
            self.directive.revision,
            self.directive.generation,
            self.is_leaving(),
            self.trouble or self.weights.trouble(),
        )

    def is_leaving(self) -> bool:
        """Return whether the target accepts no new requests."""
        return self.context.in_flight.is_draining or self.target.is_leaving or self.is_replaced

    def send_heartbeat(self, address: str) -> None:
        """Send a heartbeat to one entry and apply its reply."""
        sent_at = self.context.clock()
        report = self.make_report()
        try:
            reply = self.send_report(address, report)
        except errors.MerlinthreadError as error:
            if error.kind == errors.ErrorKind.FENCED:
                self.mark_replaced(error.message)
            logs.debug("entry_unreached", address=address, reason=error.message)
            self.sent_states.pop(address, None)
            self.clear_home_entry(address)
            return
        if self.orders_allowed_at == float("-inf"):
            # A target without fencing relies on the lease of the previous agent having expired.
            wait = 0.0 if self.config.checks_fences else reply.lease_s
            self.orders_allowed_at = self.context.clock() + wait
        self.lease_expires_at = max(self.lease_expires_at, sent_at + reply.lease_s)
        self.adopt_directive(reply.directive, reply.entry)
        if self.home_entry == "":
            self.home_entry = address

    def send_report(self, address: str, report: agents.AgentReport) -> messages.HeartbeatReply:
        """Send a report to an entry and return its reply.

        Only the load is sent if nothing else has changed since the last report to this entry.
        """
        is_home = self.home_entry == address
        state = sessions.reported_state(report)
        rpc_clients = self.rpc_clients[address]
        if self.sent_states.get(address) == state:
            heartbeat = messages.LoadHeartbeat(
                report.name,
                report.incarnation,
                report.counter,
                report.running,
                report.queued,
                report.queued_tokens,
                is_home,
            )
            reply = rpc_clients.call(address, heartbeat, RPC_TIMEOUT_S)
            if not reply.wants_full:
                return reply
        reply = rpc_clients.call(address, messages.Heartbeat(report, is_home), RPC_TIMEOUT_S)
        self.sent_states[address] = state
        return reply

    def clear_home_entry(self, address: str) -> None:
        """Unset the home entry if it is `address`, so that the next entry to reply replaces it.

        The home entry is the one that reports this agent to the leader.
        """
        if self.home_entry == address and len(self.entries) > 1:
            self.home_entry = ""

    def mark_replaced(self, reason: str) -> None:
        """Stop accepting requests and sending orders: a newer agent controls the target."""
        if not self.is_replaced:
            logs.warning("replaced", reason=reason)
        self.is_replaced = True

    def adopt_directive(self, directive: control_state.Directive | None, source: str) -> None:
        """Apply a directive if its revision is newer.

        A directive is rejected if its generation is lower than that of the current directive, or
        than that of the last order that the target accepted before this agent started.
        """
        with self.lock:
            if directive is None or directive.revision <= self.directive.revision:
                return
            if directive.generation < max(self.min_generation, self.directive.generation):
                logs.warning(
                    "directive_too_old", generation=directive.generation, floor=self.min_generation
                )
                return
            self.directive = directive
        self.trouble = ""
        self.weights.clear_trouble()
        self.target.apply_group_shares(directive)
        metrics.revision.set(directive.revision)
        metrics.generation.set(directive.generation)
        self.weights.set_wanted(self.peers_by_manifest(directive))
        logs.event(
            "directive_adopted",
            revision=directive.revision,
            generation=directive.generation,
            source=source,
            assigned=[item.name for item in self.wanted_models(directive)],
        )
        self.send_heartbeats_now()

    def send_heartbeats_now(self) -> None:
        """Send the next heartbeats without waiting for the interval."""
        for task in self.heartbeat_tasks:
            task.wake_event.set()

    def wanted_models(self, directive: control_state.Directive) -> list[reconciliation.WantedModel]:
        """Return the models and adapters that the engine should serve."""
        if self.config.target_kind == bundles.SERVICE:
            return []
        return reconciliation.wanted_models(directive, self.context.settings.name)

    def peers_by_manifest(self, directive: control_state.Directive) -> dict[str, list[fetch.Peer]]:
        """Return the wanted manifests, each with the other VMs that should hold its chunks."""
        peers: dict[str, list[fetch.Peer]] = {
            item.manifest: [] for item in self.wanted_models(directive)
        }
        for name, placement in directive.placement.items():
            if name == self.context.settings.name:
                continue
            peer = fetch.Peer(name, placement.bus, self.distance(placement))
            for item in reconciliation.wanted_models(directive, name):
                if item.manifest in peers:
                    peers[item.manifest].append(peer)
        return peers

    def distance(self, placement: commands.VmPlacement) -> int:
        """Return the distance class of another VM."""
        if placement.availability_zone == self.context.settings.availability_zone:
            return fetch.SAME_ZONE
        if placement.region == self.context.settings.region:
            return fetch.SAME_REGION
        return fetch.OTHER_REGION

    # Orders

    def run_next_step(self) -> None:
        """Send the engine the next order, if there is one and the lease is valid.

        After a failure, no order is sent for `FAILED_STEP_RETRY_S`.
        """
        if self.config.target_kind == bundles.SERVICE or not self.target.is_reachable:
            return
        now = self.context.clock()
        if now < self.orders_allowed_at or now >= self.lease_expires_at or self.is_replaced:
            return
        if self.trouble and now < self.last_order_at + FAILED_STEP_RETRY_S:
            return
        directive = self.directive
        wanted = reconciliation.wanted_models(directive, self.context.settings.name)
        step = reconciliation.next_step(
            wanted, self.target.serving, self.weights.complete_manifests(), bool(directive.paused)
        )
        if step is None or directive.bundle is None:
            return
        self.last_order_at = now
        self.execute_step(step, directive)

    def execute_step(self, step: reconciliation.Step, directive: control_state.Directive) -> None:
        """Send the order for a step, and record a failure in `trouble`."""
        layout = None
        if isinstance(step, reconciliation.Load):
            layout = manifests.to_dict(self.weights.manifests[step.item.manifest])
        try:
            self.target.send_order(step, directive.generation, layout)
            self.trouble = ""
        except errors.MerlinthreadError as error:
            logs.warning("order_failed", kind=str(error.kind), reason=error.message)
            if error.kind == errors.ErrorKind.FENCED:
                self.mark_replaced(error.message)
            elif not isinstance(error, errors.UnreachableError):
                self.trouble = f"load refused: {error.message}"
        self.target.refresh_status()
        self.send_heartbeats_now()

    def serve_weights(self, request: http_server.Request) -> http_server.Response:
        """Handle an engine's request for all bytes of a manifest."""
        data = self.chunk_server.stream_manifest(request.subpath)
        return http_server.Response(200, data, content_type="application/octet-stream")

    # Lifecycle

    def not_ready_reason(self) -> str:
        """Return why the target gets no requests, or an empty string."""
        if self.is_leaving():
            return "leaving"
        if not self.target.is_reachable:
            return f"the target at {self.config.target_url} is unreachable"
        return "" if self.target.serving else "the target serves no models yet"

    def start_draining(self) -> None:
        """Announce the shutdown to the entries at once."""
        self.send_heartbeats_now()

    def stop(self) -> None:
        """Stop the tasks and close the connections."""
        for task in self.heartbeat_tasks + self.tasks:
            task.stop()
        self.weights.stop()
        self.rpc_server.stop()
        for rpc_clients in self.rpc_clients.values():
            rpc_clients.close()
