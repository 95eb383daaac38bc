"""The entry node: serves client requests by forwarding them to back ends."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from merlinthread import clocks, logs, metrics
from merlinthread.coordination import backend_availability, crash_tracker
from merlinthread.nodes import (
    backend_chooser,
    backend_pool,
    crash_detector,
    fleet_watcher,
    limit_reporter,
    load_prober,
    node_roles,
    node_settings,
    permits,
    request_task,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages, piece_messages
from merlinthread.transport import http_messages, node_bus, process_memory, stream_server

SUBSCRIBE_INTERVAL_S = 1.0
# Time for the platform to notice failed readiness checks before the server stops accepting.
UNREADY_PERIOD_S = 2.6
SHUTDOWN_MARGIN_S = 0.6
# More than the reads and copies of one step of the event loop.
KEPT_MEMORY_BYTES = 4 * 1024 * 1024


class EntryNode:
    """One entry: its servers, tasks and connections to the other nodes."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        codec: codecs.Codec,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.clock = clock
        self.rpc_client = node_bus.RpcClient(codec)
        suspect_tracker = crash_tracker.CrashTracker()
        signals = backend_availability.AvailabilityTable()
        self.watcher = fleet_watcher.FleetWatcher(
            settings,
            dialect,
            self.rpc_client,
            clock,
            self.apply_fleet_update,
            suspect_tracker,
            signals,
        )
        self.crashes = crash_detector.CrashDetector(
            settings.name, self.watcher, suspect_tracker, self.rpc_client, clock
        )
        self.address = f"{settings.ip}:{settings.entry_port}"
        self.datagrams = node_bus.DatagramEndpoint(codec, self.dispatch_datagram)
        self.prober = load_prober.LoadProber(self.address, self.datagrams.send)
        self.permits = permits.PermitClient(
            self.address, self.watcher, self.datagrams.send, clock, rng
        )
        self.reporter = limit_reporter.LimitReporter(settings.name, self.watcher, self.rpc_client)
        self.pool = backend_pool.BackendPool(
            settings,
            self.watcher,
            clock,
            rng,
            self.prober,
            self.crashes,
            self.permits,
            signals,
            self.reporter,
        )
        self.chooser = backend_chooser.BackendChooser(self.pool)
        self.server = stream_server.Server(self.serve, joins_bodies=False)
        limits = self.pool.memory_limits
        self.server.limit_memory(settings.memory_bytes, limits.total_bytes, limits.response_bytes)
        process_memory.keep_freed_memory(KEPT_MEMORY_BYTES)
        metrics.held_bytes.set_function(lambda: self.server.held.byte_count)
        self.ready_server = stream_server.Server(self.serve_ready)
        self.is_leaving = False
        self.was_ready = False
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Open the listening sockets and start the background tasks."""
        await self.datagrams.listen(self.settings.ip, self.settings.entry_port)
        await self.server.listen(*node_settings.split_address(self.settings.client_address))
        await self.ready_server.listen(*node_settings.split_address(self.settings.ready_address))
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.watcher.run()),
            loop.create_task(self.crashes.run()),
            loop.create_task(self.pool.subscribe(self.subscribe, SUBSCRIBE_INTERVAL_S)),
        ]

    def reload(self, settings: node_settings.NodeSettings) -> None:
        """Apply a changed list of control VMs; other settings need a restart."""
        self.settings.control_ips = settings.control_ips

    def subscribe(self, agent: str) -> None:
        """Subscribe to the load reports of one agent."""
        self.datagrams.send(agent, node_messages.LoadSubscription(self.address))

    def dispatch_datagram(self, message: Any) -> None:
        """Dispatch a load report, or a reply to a query of this entry."""
        if isinstance(message, node_messages.LoadUpdate):
            self.pool.apply_load_update(message)
        elif isinstance(message, node_messages.LoadReply):
            if message.permit is not None and message.number < load_prober.FIRST_QUERY_NUMBER:
                self.permits.receive(message.number, message.permit)
            else:
                self.prober.receive(message)

    def apply_fleet_update(self) -> None:
        """Apply an update of the fleet state."""
        self.pool.update()
        self.crashes.apply_fleet_update()
        table = self.watcher.table
        if table is not None:
            limits = table.limits
            self.server.limits = http_messages.Limits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )

    def is_ready(self) -> bool:
        """Return whether this entry can serve requests, and log changes."""
        is_ready = not self.is_leaving and self.watcher.table is not None
        if is_ready != self.was_ready:
            self.was_ready = is_ready
            logs.event("ready" if is_ready else "not_ready", configuration=self.watcher.version)
        return is_ready

    async def serve_ready(self, exchange: stream_server.Exchange) -> None:
        """Answer a readiness check: 200 if ready, otherwise 503."""
        is_check = self.dialect.is_readiness_check(exchange.request)
        status = 404 if not is_check else 200 if self.is_ready() else 503
        await exchange.respond(http_messages.Response(status, []))

    async def serve(self, exchange: stream_server.Exchange) -> None:
        """Serve one client request."""
        task = request_task.RequestTask(
            exchange, self.dialect, self.pool, self.chooser, self.watcher.table, self.clock()
        )
        await task.run()

    async def stop(self) -> None:
        """Report this entry as not ready, finish the requests in progress, and stop."""
        deadline = self.clock() + self.settings.bounds.grace_s - SHUTDOWN_MARGIN_S
        self.is_leaving = True
        self.is_ready()
        self.server.begin_draining()
        await asyncio.sleep(UNREADY_PERIOD_S)
        self.server.stop_accepting()
        # Connections are counted instead of requests, since a last response may still be unsent.
        while self.server.connections and self.clock() < deadline:
            await asyncio.sleep(0.05)
        if self.server.count_active_requests():
            logs.warning("cut_off", requests=self.server.count_active_requests())


@node_roles.NODES.add("entry")
def make_entry_node(settings: node_settings.NodeSettings, dialect: dialects.Dialect) -> EntryNode:
    """Create an entry node that uses the clock of this process."""
    codec = codecs.Codec([node_messages.MESSAGES, piece_messages.MESSAGES], [])
    return EntryNode(settings, dialect, codec, clocks.now, random.Random())
