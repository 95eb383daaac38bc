"""An agent: it stands beside one engine, tells entries its load and brings weights to it."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from merlinthread import clocks, errors, logs
from merlinthread.coordination import fleet, load_feed, load_ledger
from merlinthread.nodes import dialect as dialects
from merlinthread.nodes import engine_client, fleet_watcher, node_roles, node_settings, weights_task
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

REPORT_EVERY_S = 0.2
# A load that has not changed is told this often all the same: it shows that the agent lives.
REPEAT_EVERY_S = 0.4
SUBSCRIBED_S = 3.5


class AgentNode:
    """One agent."""

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
        self.caller = node_bus.RpcClient(codec)
        self.watcher = fleet_watcher.FleetWatcher(
            settings, dialect, self.caller, clock, lambda: None
        )
        self.engine = engine_client.EngineClient(dialect, settings.engine)
        self.datagrams = node_bus.DatagramEndpoint(codec, self.on_datagram)
        self.weights = weights_task.WeightsTask(
            settings,
            self.watcher,
            self.engine,
            self.caller,
            clock,
            rng,
            self.tell,
            self.datagrams.send,
        )
        self.listener = node_bus.RpcServer(
            codec, self.on_message, lambda: self.weights.giver.outgoing.bytes_per_s
        )
        self.ledger = load_ledger.LoadLedger()
        self.subscribers: dict[str, float] = {}
        self.told: fleet.EngineReport | None = None
        self.told_at = float("-inf")
        self.sequence = 0
        self.is_engine_lost = False
        self.born_ms = 0
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen and start the tasks."""
        await self.datagrams.listen(self.settings.ip, self.settings.agent_port)
        await self.listener.listen(self.settings.ip, self.settings.agent_port)
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.watcher.run()),
            loop.create_task(self.report()),
            loop.create_task(self.weights.run()),
        ]

    def reload(self, settings: node_settings.NodeSettings) -> None:
        """Take other control VMs to start from."""
        self.settings.control_ips = settings.control_ips

    async def leave(self) -> None:
        """Stop to answer peers."""
        self.listener.server.stop_accepting()

    def on_datagram(self, message: Any) -> None:
        """Take a note of an entry or another agent, or answer an entry's question."""
        if isinstance(message, node_messages.LoadSubscription):
            self.subscribers[message.address] = self.clock() + SUBSCRIBED_S
        elif isinstance(message, node_messages.AttemptNotice):
            self.on_attempt(message)
        elif isinstance(message, node_messages.PieceNotice | node_messages.PieceClaim):
            self.weights.on_note(message)
        elif isinstance(message, node_messages.LoadQuery) and self.told is not None:
            others = self.ledger.outstanding(message.address, self.clock())
            answer = node_messages.LoadReply(
                message.number,
                others.attempts,
                others.unread,
                others.unread_tokens,
                self.told.is_busy,
                self.told.pace,
            )
            self.datagrams.send(message.address, answer)

    def on_attempt(self, note: node_messages.AttemptNotice) -> None:
        """Keep account of an attempt on the engine."""
        if note.stage is node_messages.AttemptStage.SENT:
            self.ledger.record_start(note.entry, note.number, note.tokens, self.clock())
        elif note.stage is node_messages.AttemptStage.READ:
            self.ledger.record_first_byte(note.entry, note.number)
        else:
            self.ledger.record_end(note.entry, note.number)

    def load(self, report: fleet.EngineReport, entry: str) -> node_messages.LoadUpdate:
        """Return the load as an entry is told it."""
        self.sequence += 1
        others = self.ledger.outstanding(entry, self.clock())
        return node_messages.LoadUpdate(self.settings.engine, self.sequence, report, others)

    async def on_message(self, message: Any) -> Any:
        """Answer another agent."""
        if isinstance(message, node_messages.PieceRequest):
            return await self.weights.give(message)
        if isinstance(message, node_messages.ManifestRequest):
            return self.weights.give_manifest(message)
        raise errors.ProtocolError(f"an agent does not answer {type(message).__name__}")

    async def report(self) -> None:
        """Read the engine's report again and again, and tell it."""
        while True:
            try:
                report = await self.engine.report()
                self.note_life(report)
                self.note_engine(True, "")
                self.weights.note_report(report)
                report.ready_in_s = self.weights.ready_in_s()
                self.ledger.apply_report(report.running + report.queued, self.clock())
                self.tell(report)
            except errors.MerlinthreadError as error:
                self.note_engine(False, error.message)
                self.weights.note_report(None)
                self.told = None
            await asyncio.sleep(REPORT_EVERY_S)

    def note_life(self, report: fleet.EngineReport) -> None:
        """Forget what was known of the engine's former life, if this is another one."""
        before, self.born_ms = self.born_ms, report.born_ms
        if before in (0, report.born_ms):
            return
        logs.event("engine_reborn", born_ms=report.born_ms, before_ms=before)
        self.ledger = load_ledger.LoadLedger()
        self.told = None
        self.weights.note_report(None)

    def note_engine(self, is_there: bool, reason: str) -> None:
        """Log that the engine was lost or is back."""
        if self.is_engine_lost == (not is_there):
            return
        self.is_engine_lost = not is_there
        logs.event("engine_back" if is_there else "engine_lost", reason=reason)

    def is_due(self, report: fleet.EngineReport, now: float) -> bool:
        """Return whether a report is to be told now."""
        if load_feed.is_urgent(report, self.told):
            return True
        link = self.settings.link_bytes_per_s
        every_s = load_feed.report_interval_s(len(self.subscribers), link)
        if report == self.told:
            every_s = max(every_s, REPEAT_EVERY_S)
        # A report is read each REPORT_EVERY_S: half of it is borne, or every second one is skipped.
        return now - self.told_at >= every_s - REPORT_EVERY_S / 2

    def tell(self, report: fleet.EngineReport) -> None:
        """Tell entries the load if it has changed or was told long ago."""
        now = self.clock()
        if not self.is_due(report, now):
            return
        self.told = report
        self.told_at = now
        for address, until in list(self.subscribers.items()):
            if until < now:
                del self.subscribers[address]
                continue
            self.datagrams.send(address, self.load(report, address))


@node_roles.NODES.add("agent")
def make(settings: node_settings.NodeSettings, dialect: dialects.Dialect) -> AgentNode:
    """Return an agent on this process's clock."""
    codec = codecs.Codec([node_messages.MESSAGES], [])
    return AgentNode(settings, dialect, codec, clocks.now, random.Random())
