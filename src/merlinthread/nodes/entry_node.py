"""An entry: it answers clients with what back ends give, as the configuration in force says."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from merlinthread import clocks, logs
from merlinthread.coordination import backend_availability, crash_tracker
from merlinthread.nodes import (
    backend_pool,
    crash_watch,
    limit_teller,
    load_prober,
    news_watcher,
    node_roles,
    node_settings,
    permits,
    request_task,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages
from merlinthread.transport import http_messages, node_bus, stream_server

SUBSCRIBE_EVERY_S = 1.0
# The platform asks every second and takes a node out after two misses.
UNREADY_BEFORE_CLOSE_S = 2.6
LEAVE_MARGIN_S = 0.6


class EntryNode:
    """One entry."""

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
        self.caller = node_bus.RpcClient(codec)
        suspects = crash_tracker.CrashTracker()
        signals = backend_availability.AvailabilityTable()
        self.watcher = news_watcher.NewsWatcher(
            settings, dialect, self.caller, clock, self.on_news, suspects, signals
        )
        self.crashes = crash_watch.CrashWatch(
            settings.name, self.watcher, suspects, self.caller, clock
        )
        self.address = f"{settings.ip}:{settings.entry_port}"
        self.datagrams = node_bus.DatagramEndpoint(codec, self.on_datagram)
        self.prober = load_prober.LoadProber(self.address, self.datagrams.send)
        self.permits = permits.Permits(self.address, self.watcher, self.datagrams.send, clock, rng)
        self.teller = limit_teller.LimitTeller(settings.name, self.watcher, self.caller)
        self.pool = backend_pool.BackendPool(
            settings,
            self.watcher,
            clock,
            rng,
            self.prober,
            self.crashes,
            self.permits,
            signals,
            self.teller,
        )
        self.server = stream_server.Server(self.serve)
        self.ready_server = stream_server.Server(self.serve_ready)
        self.is_leaving = False
        self.was_ready = False
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen and start the tasks."""
        await self.datagrams.listen(self.settings.ip, self.settings.entry_port)
        await self.server.listen(*node_settings.split_address(self.settings.client_address))
        await self.ready_server.listen(*node_settings.split_address(self.settings.ready_address))
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.watcher.run()),
            loop.create_task(self.crashes.run()),
            loop.create_task(self.pool.subscribe(self.subscribe, SUBSCRIBE_EVERY_S)),
        ]

    def reload(self, settings: node_settings.NodeSettings) -> None:
        """Take other control VMs to start from."""
        self.settings.control_ips = settings.control_ips

    def subscribe(self, agent: str) -> None:
        """Ask one agent for its engine's load."""
        self.datagrams.send(agent, node_messages.LoadSubscription(self.address))

    def on_datagram(self, message: Any) -> None:
        """Take an agent's report, or an answer to a question of this entry."""
        if isinstance(message, node_messages.LoadUpdate):
            self.pool.take_load(message)
        elif isinstance(message, node_messages.LoadReply) and message.permit is not None:
            self.permits.take(message.number, message.permit)
        elif isinstance(message, node_messages.LoadReply):
            self.prober.take(message)

    def on_news(self) -> None:
        """Take over what the control VMs tell."""
        self.pool.update()
        self.crashes.on_news()
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
        """Return whether this entry can serve anything."""
        is_ready = not self.is_leaving and self.watcher.table is not None
        if is_ready != self.was_ready:
            self.was_ready = is_ready
            logs.event("ready" if is_ready else "not_ready", configuration=self.watcher.version)
        return is_ready

    async def serve_ready(self, exchange: stream_server.Exchange) -> None:
        """Answer whether this entry is ready."""
        is_known = self.dialect.is_ready_call(exchange.request)
        status = 404 if not is_known else 200 if self.is_ready() else 503
        await exchange.respond(http_messages.Response(status, []))

    async def serve(self, exchange: stream_server.Exchange) -> None:
        """Serve one client's request."""
        task = request_task.RequestTask(
            exchange, self.dialect, self.pool, self.watcher.table, self.clock()
        )
        await task.run()

    async def stop(self) -> None:
        """Say that this entry is not ready, finish what is in progress, and stop."""
        deadline = self.clock() + self.settings.bounds.grace_s - LEAVE_MARGIN_S
        self.is_leaving = True
        self.is_ready()
        self.server.begin_draining()
        await asyncio.sleep(UNREADY_BEFORE_CLOSE_S)
        self.server.stop_accepting()
        # Also connections whose last answer has not left yet are waited for.
        while self.server.connections and self.clock() < deadline:
            await asyncio.sleep(0.05)
        if self.server.count_active_requests():
            logs.warning("cut_off", requests=self.server.count_active_requests())


@node_roles.NODES.add("entry")
def make(settings: node_settings.NodeSettings, dialect: dialects.Dialect) -> EntryNode:
    """Return an entry on this process's clock."""
    codec = codecs.Codec([node_messages.MESSAGES], [])
    return EntryNode(settings, dialect, codec, clocks.now, random.Random())
