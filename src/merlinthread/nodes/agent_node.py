"""The agent node: reports the load of one local engine to entries and installs its weights."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import Any

from merlinthread import clocks, errors, logs
from merlinthread.coordination import fleet, load_feed, load_tracker
from merlinthread.nodes import (
    account_meter,
    cold_grants,
    engine_client,
    fleet_watcher,
    memory_limits,
    node_roles,
    node_settings,
    weights_task,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages, piece_messages
from merlinthread.transport import node_bus

REPORT_INTERVAL_S = 0.2
# An unchanged report is repeated at this interval, to show that the agent is alive.
UNCHANGED_REPORT_INTERVAL_S = 0.4
# An engine that has not answered a poll for this long counts as lost, although its process may
# still run. A silence of a second or two is no failure.
ENGINE_SILENCE_MAX_S = 3.0
# An engine whose answer to a poll takes longer is not responsive.
RESPONSIVE_WITHIN_S = 0.1
SUBSCRIPTION_TTL_S = 3.5


class AgentNode:
    """The agent of the engine at `settings.engine`."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        codec: codecs.Codec,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rpc_client = node_bus.RpcClient(codec)
        self.watcher = fleet_watcher.FleetWatcher(
            settings, dialect, self.rpc_client, clock, self.apply_fleet_update
        )
        self.engine = engine_client.EngineClient(dialect, settings.engine)
        self.datagrams = node_bus.DatagramEndpoint(codec, self.dispatch_datagram)
        self.weights = weights_task.WeightsTask(
            settings,
            self.watcher,
            self.engine,
            self.rpc_client,
            clock,
            rng,
            self.send_load,
            self.datagrams.send,
        )
        self.rpc_server = node_bus.RpcServer(
            codec, self.dispatch_request, lambda: self.weights.server.upload_pacer.bytes_per_s
        )
        memory = memory_limits.derive(settings.memory_bytes)
        self.rpc_server.limit_memory(settings.memory_bytes, memory.messages_bytes)
        self.load_tracker = load_tracker.LoadTracker()
        self.account_meter = account_meter.AccountMeter(clock)
        self.grants = cold_grants.ColdGrants(settings, self.watcher, clock)
        # Until when the engine is cold by its last report, None if it does not report that.
        self.cold_until: float | None = None
        self.subscribers: dict[str, float] = {}
        self.last_report: fleet.EngineReport | None = None
        self.last_sent_at = float("-inf")
        self.sequence = 0
        self.is_engine_lost = False
        # When the engine last answered a poll, and when the unanswered poll began, if there is one.
        self.answered_at = float("-inf")
        self.unanswered_since: float | None = None
        self.born_ms = 0
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start listening for other nodes, and start the background tasks."""
        await self.datagrams.listen(self.settings.ip, self.settings.agent_port)
        await self.rpc_server.listen(self.settings.ip, self.settings.agent_port)
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.watcher.run()),
            loop.create_task(self.poll_engine()),
            loop.create_task(self.weights.run()),
        ]

    def reload(self, settings: node_settings.NodeSettings) -> None:
        """Replace the addresses of the initial control VMs; other settings need a restart."""
        self.settings.control_ips = settings.control_ips

    def apply_fleet_update(self) -> None:
        """Apply an update of the fleet state."""
        self.grants.update()

    async def stop(self) -> None:
        """Stop accepting connections from peers."""
        self.rpc_server.server.stop_accepting()

    def dispatch_datagram(self, message: Any) -> None:
        """Handle a datagram from an entry or another agent."""
        if isinstance(message, node_messages.LoadSubscription):
            self.subscribers[message.address] = self.clock() + SUBSCRIPTION_TTL_S
            self.grants.entries.record(message.address, self.clock())
        elif isinstance(message, node_messages.AttemptNotice):
            self.record_attempt_stage(message)
        elif isinstance(message, piece_messages.PieceNotice | piece_messages.PieceClaim):
            self.weights.record_notice(message)
        elif isinstance(message, node_messages.LoadQuery):
            self.reply_to_query(message)

    def reply_to_query(self, query: node_messages.LoadQuery) -> None:
        """Reply to a load query, unless the engine is lost or silent."""
        if self.last_report is None or not self.is_responsive():
            return
        now = self.clock()
        outstanding = self.load_tracker.outstanding(query.address, now)
        self.load_tracker.record_query(query.address, now)
        reply = node_messages.LoadReply(
            query.number,
            outstanding.attempts,
            outstanding.unread,
            outstanding.unread_tokens,
            self.last_report.is_busy or self.weights.is_too_slow_to_start(),
            self.last_report.pace,
            self.grants.reply_to(query),
            cold_s=self.cold_s(),
            unread_by_urgency=self.load_tracker.unread_by_urgency(query.address, now),
            is_over_share=self.account_meter.record_query(query, self.has_room()),
        )
        self.datagrams.send(query.address, reply)

    def has_room(self) -> bool:
        """Return whether the engine has a free slot, or its number of slots is unknown."""
        service = self.weights.view.service()
        if service is None or service.engine is None:
            return True
        return self.load_tracker.count() < service.engine.slots

    def cold_s(self) -> float | None:
        """Return how long the engine will still be cold, or None if it does not report that."""
        return None if self.cold_until is None else max(0.0, self.cold_until - self.clock())

    def record_attempt_stage(self, notice: node_messages.AttemptNotice) -> None:
        """Record the stage that an attempt has reached."""
        if notice.stage is node_messages.AttemptStage.SENT:
            self.load_tracker.record_start(
                notice.entry, notice.number, notice.tokens, self.clock(), notice.urgency
            )
            self.account_meter.record_sent(notice)
            self.grants.record_attempt(notice)
        elif notice.stage is node_messages.AttemptStage.READ:
            self.load_tracker.record_first_byte(notice.entry, notice.number)
        else:
            self.load_tracker.record_end(notice.entry, notice.number)

    def build_load_update(self, report: fleet.EngineReport, entry: str) -> node_messages.LoadUpdate:
        """Return a load update for `entry`, without the outstanding work of `entry` itself.

        It says as replies to queries do that a request might start late, which it would undo.
        """
        self.sequence += 1
        if self.weights.is_too_slow_to_start():
            report = dataclasses.replace(report, is_busy=True)
        outstanding = self.load_tracker.outstanding(entry, self.clock())
        return node_messages.LoadUpdate(self.settings.engine, self.sequence, report, outstanding)

    async def dispatch_request(self, message: Any) -> Any:
        """Handle a request from another agent; raise ProtocolError for other messages."""
        if isinstance(message, piece_messages.PieceRequest):
            return await self.weights.serve_piece(message)
        if isinstance(message, piece_messages.ManifestRequest):
            return self.weights.serve_manifest(message)
        raise errors.ProtocolError(f"an agent does not handle {type(message).__name__}")

    async def poll_engine(self) -> None:
        """Poll the engine's report and send it to the subscribed entries, until cancelled."""
        while True:
            await self.poll_once()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def poll_once(self) -> None:
        """Poll the engine's report once; a refused connection shows that its process has ended."""
        if self.unanswered_since is None:
            self.unanswered_since = self.clock()
        try:
            report = await self.engine.fetch_report()
        except errors.MerlinthreadError as error:
            is_silent = isinstance(error, errors.UnreachableError) and not isinstance(
                error, errors.NotListeningError
            )
            if isinstance(error, errors.NotListeningError):
                self.weights.record_engine_end()
            if not is_silent or self.clock() - self.answered_at > ENGINE_SILENCE_MAX_S:
                self.record_engine_lost(error.message)
            return
        self.answered_at = self.clock()
        self.unanswered_since = None
        self.detect_restart(report)
        self.set_engine_reachable(True, "")
        cold_s = self.engine.cold_s
        self.cold_until = None if cold_s is None else self.clock() + cold_s
        self.weights.record_engine_report(report)
        report.ready_in_s = self.weights.ready_in_s()
        self.account_meter.update()
        self.load_tracker.apply_report(report.running + report.queued, self.clock())
        self.weights.loader.send_report(report)

    def record_engine_lost(self, reason: str) -> None:
        """Discard the engine's last report."""
        self.set_engine_reachable(False, reason)
        self.weights.record_engine_report(None)
        self.last_report = None

    def is_responsive(self) -> bool:
        """Return whether the engine has answered the latest poll in time so far."""
        since = self.unanswered_since
        return since is None or self.clock() - since <= RESPONSIVE_WITHIN_S

    def detect_restart(self, report: fleet.EngineReport) -> None:
        """Discard the recorded load if the engine has restarted.

        Its start time or the number of orders that it has taken shows that. A report without a
        start time does not show another one.
        """
        previous_ms, self.born_ms = self.born_ms, report.born_ms or self.born_ms
        orders_before = self.last_report.sequence if self.last_report is not None else 0
        if previous_ms in (0, self.born_ms) and report.sequence >= orders_before:
            return
        logs.event(
            "engine_reborn",
            born_ms=report.born_ms,
            before_ms=previous_ms,
            orders=report.sequence,
            orders_before=orders_before,
        )
        self.load_tracker = load_tracker.LoadTracker()
        self.last_report = None
        self.weights.record_engine_end()
        self.weights.record_engine_report(None)

    def set_engine_reachable(self, is_reachable: bool, reason: str) -> None:
        """Record whether the engine responds, and log a change."""
        if self.is_engine_lost == (not is_reachable):
            return
        self.is_engine_lost = not is_reachable
        logs.event("engine_back" if is_reachable else "engine_lost", reason=reason)

    def is_report_due(self, report: fleet.EngineReport, now: float) -> bool:
        """Return whether a report must be sent now."""
        if load_feed.is_urgent(report, self.last_report):
            return True
        link = self.settings.link_bytes_per_s
        interval_s = load_feed.report_interval_s(len(self.subscribers), link)
        if report == self.last_report:
            interval_s = max(interval_s, UNCHANGED_REPORT_INTERVAL_S)
        # Tolerate polls that run early; otherwise every second report would be skipped.
        return now - self.last_sent_at >= interval_s - REPORT_INTERVAL_S / 2

    def send_load(self, report: fleet.EngineReport) -> None:
        """Send the load to all subscribers if it is due, and drop expired subscriptions."""
        now = self.clock()
        if not self.is_report_due(report, now):
            return
        self.last_report = report
        self.last_sent_at = now
        for address, expires_at in list(self.subscribers.items()):
            if expires_at < now:
                del self.subscribers[address]
                continue
            self.datagrams.send(address, self.build_load_update(report, address))


@node_roles.NODES.add("agent")
def make_agent_node(settings: node_settings.NodeSettings, dialect: dialects.Dialect) -> AgentNode:
    """Create an agent that uses the system clock."""
    codec = codecs.Codec([node_messages.MESSAGES, piece_messages.MESSAGES], [])
    return AgentNode(settings, dialect, codec, clocks.now, random.Random())
