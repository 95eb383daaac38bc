"""An agent's weights: it brings its engine to the version named, and gives pieces to its peers.

Pieces are kept where the engine stages them, never twice. Each is checked against the manifest
before it is staged, before it is given on, and once more before the engine is ordered to take them.
"""

import asyncio
import math
import random
from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import change_over, fetch, fetch_policies, fleet, pacing
from merlinthread.nodes import engine_client, manifest_finder, news_watcher, node_settings
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

LOOK_EVERY_S = 0.1
PARALLEL = 8
# A transfer that takes longer shows a link that carries less than it should: one piece takes 0.06 s
# of a link of 3.65 Mbit/s and waits up to 0.15 s at its sender.
TRANSFER_TARGET_S = 0.4
ASKS_PER_PEER = 2
ORIGIN_SLOTS = 1
# Share of the link that pieces may take each way: the engine's requests and answers share it.
IN_SHARE = 0.93
# An engine that serves nothing has no requests that pieces could hold up.
IN_SHARE_ALONE = 1.0
OUT_SHARE = 0.85
AHEAD_S = 0.03
UPLOAD_WAIT_S_MAX = 0.15
ORIGIN_WAIT_S = 0.3
ORIGIN_GRACE_S = 0.8
PEER_TIMEOUT_S = 1.5
IDLE_WAIT_S = 0.02
ORDER_WAIT_S = 0.2
PROGRESS_EVERY_S = 1.0
# Whether a fetch will be late is judged by its rate of late, once it has got going.
RATE_AFTER_S = 2.0
RATE_WINDOW_S = 1.0


class WeightsTask:
    """The weights of one engine."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        watcher: news_watcher.NewsWatcher,
        engine: engine_client.EngineClient,
        caller: node_bus.Caller,
        clock: Callable[[], float],
        rng: random.Random,
        on_change: Callable[[fleet.EngineReport], None],
        send: Callable[[str, node_messages.PieceNote], None],
    ) -> None:
        self.settings = settings
        self.on_change = on_change
        self.send = send
        self.watcher = watcher
        self.engine = engine
        self.caller = caller
        self.clock = clock
        self.rng = rng
        self.me = f"{settings.ip}:{settings.agent_port}"
        self.manifests = manifest_finder.ManifestFinder(self.me, engine, caller, clock, rng)
        self.manifest: fleet.Manifest | None = None
        self.plan: fetch_policies.Zoned | None = None
        self.report: fleet.EngineReport | None = None
        self.rate = pacing.RecentRate(RATE_WINDOW_S)
        self.window = pacing.TransferWindow(PARALLEL, TRANSFER_TARGET_S)
        rate = settings.link_bytes_per_s
        self.incoming = pacing.Pacer(IN_SHARE * rate, AHEAD_S)
        self.outgoing = pacing.Pacer(OUT_SHARE * rate, 0.0)

    # What is wanted

    def service(self) -> fleet.Service | None:
        """Return the service of the engine beside this agent."""
        table = self.watcher.table
        return table.services.get(self.settings.engine_service) if table else None

    def origin(self) -> str:
        """Return the origin's address, or nothing."""
        table = self.watcher.table
        service = table.origin() if table else None
        return service.origin if service else ""

    def model(self) -> str:
        """Return the model that this engine runs, or nothing."""
        service = self.service()
        if service is None or service.engine is None or not service.engine.chunks:
            return ""
        return service.engine.models[0] if service.engine.models else ""

    def holds(self, model: str, version: int) -> bool:
        """Return whether the engine holds a version whole."""
        service = self.service()
        if self.report is None or service is None or service.engine is None:
            return False
        layers = service.engine.layers
        return any(
            held.model == model and held.version == version and held.is_whole(layers)
            for held in self.report.weights
        )

    async def run(self) -> None:
        """Bring the engine to the version named, for ever."""
        while True:
            try:
                await self.step()
            except errors.MerlinthreadError as error:
                logs.event("weights_delayed", reason=error.message)
                await asyncio.sleep(ORIGIN_WAIT_S)
            await asyncio.sleep(LOOK_EVERY_S)

    async def step(self) -> None:
        """Do what is due: read the manifest, fetch, order."""
        model = self.model()
        if not model or self.report is None or not self.origin():
            return
        named = self.watcher.named.get(model, 0)
        wanted = named or (self.manifest.version if self.manifest else 0)
        if self.manifest is None or (wanted and self.manifest.version != wanted):
            await self.begin(model, wanted)
        assert self.manifest is not None
        if self.holds(model, self.manifest.version):
            return
        await self.fetch_pieces()
        await self.order_load()

    async def begin(self, model: str, version: int) -> None:
        """Read a version's manifest and find out which of its pieces lie here."""
        is_first = self.manifest is None
        manifest = await self.manifests.find(self.origin(), model, version, self.peers())
        plan = fetch_policies.Zoned(
            self.me,
            f"{model}@{manifest.version}",
            len(manifest.digests),
            0,
            ORIGIN_SLOTS,
            self.clock(),
            self.rng,
        )
        plan.origin_grace_s = ORIGIN_GRACE_S
        plan.asks_per_peer = ASKS_PER_PEER
        link = self.settings.link_bytes_per_s
        plan.readers_max = fetch.readers_for(self.origin_bytes_per_s(), link)
        # What lies there after a restart may be of this version; later it is of the one before.
        plan.held = await self.find_staged(manifest) if is_first else 0
        self.manifest = manifest
        self.plan = plan
        logs.event(
            "weights_wanted",
            model=model,
            version=manifest.version,
            pieces=len(manifest.digests),
            held=plan.held.bit_count(),
        )

    def give_manifest(self, request: node_messages.ManifestRequest) -> node_messages.ManifestReply:
        """Answer a peer that asks for a manifest."""
        found = self.manifest
        if found is None or found.model != request.model:
            return node_messages.ManifestReply(None)
        if request.version not in (0, found.version):
            return node_messages.ManifestReply(None)
        return node_messages.ManifestReply(found)

    async def find_staged(self, manifest: fleet.Manifest) -> int:
        """Return the bit set of the pieces that lie sound at the engine."""
        held = 0
        for index in range(len(manifest.digests)):
            if await self.engine.staged(manifest, index) is not None:
                held |= 1 << index
        return held

    # Fetching

    def peers(self) -> list[fetch.Peer]:
        """Return the other agents whose engines run the same service."""
        found = []
        for heartbeat in self.watcher.instances.values():
            if heartbeat.service != self.settings.engine_service:
                continue
            host, _ = node_settings.split_address(heartbeat.address)
            bus = f"{host}:{self.settings.agent_port}"
            if bus != self.me:
                distance = self.settings.distance(heartbeat.zone)
                found.append(fetch.Peer(bus, bus, distance, heartbeat.zone))
        return found

    async def fetch_pieces(self) -> None:
        """Fetch what is missing, some pieces at a time, until all are here or others are named."""
        assert self.plan is not None and self.manifest is not None
        plan, manifest = self.plan, self.manifest
        started = self.clock()
        told_at = started
        self.rate = pacing.RecentRate(RATE_WINDOW_S)
        running: set[asyncio.Task] = set()
        loop = asyncio.get_running_loop()
        try:
            while not plan.is_complete() and not self.is_overtaken(manifest):
                plan.set_peers(self.peers())
                self.incoming.bytes_per_s = self.in_share() * self.settings.link_bytes_per_s
                plan.spare_every_s = self.spare_every_s(plan)
                self.rate.note(plan.held.bit_count(), self.clock())
                plan.is_late = self.is_late(plan, manifest, started)
                if self.clock() >= told_at + PROGRESS_EVERY_S:
                    told_at = self.clock()
                    self.log_progress("weights_progress", plan, manifest, started)
                while self.window.has_room(len(running)):
                    if self.incoming.wait_s(self.clock()):
                        break
                    action = plan.next_action(self.clock())
                    if action is None:
                        break
                    plan.began(action)
                    running.add(loop.create_task(self.carry_out(plan, manifest, action)))
                if not running:
                    await asyncio.sleep(IDLE_WAIT_S)
                    continue
                done, running = await asyncio.wait(
                    running, timeout=IDLE_WAIT_S, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
        finally:
            for task in running:
                task.cancel()
            self.engine.leave_origin(self.origin())
        self.log_progress("weights_fetched", plan, manifest, started)

    def log_progress(
        self, name: str, plan: fetch.FetchPlan, manifest: fleet.Manifest, started: float
    ) -> None:
        """Log how far a fetch is and where its pieces came from."""
        logs.event(
            name,
            version=manifest.version,
            held=plan.held.bit_count(),
            pieces=plan.chunk_count,
            seconds=round(self.clock() - started, 3),
            origin=plan.tally.from_origin,
            peers=plan.tally.from_peers,
            corrupt=plan.tally.corrupt,
            failed=plan.tally.failed,
            busy=plan.tally.busy,
            empty=plan.tally.empty,
            doubled=plan.tally.doubled,
        )

    def spare_every_s(self, plan: fetch_policies.Zoned) -> float:
        """Return how long the origin's link takes for one piece to each VM that reads it."""
        link = self.origin_bytes_per_s()
        readers = min(len(plan.participants), plan.readers_max)
        return readers * self.piece_bytes() / link if link else math.inf

    def origin_bytes_per_s(self) -> float:
        """Return what the origin's link carries, 0 if that is not told."""
        table = self.watcher.table
        origin = table.origin() if table else None
        return origin.link_bytes_per_s if origin is not None else 0.0

    def is_late(self, plan: fetch.FetchPlan, manifest: fleet.Manifest, started: float) -> bool:
        """Return whether the pieces would come too late at the rate seen so far."""
        now = self.clock()
        if not self.watcher.named.get(manifest.model) or now - started < RATE_AFTER_S:
            return False
        missing = plan.chunk_count - plan.held.bit_count()
        leave_at = self.due_at(manifest.model, manifest.version) - change_over.LEAVE_S
        return now + missing / max(self.rate.per_s(), 1.0) > leave_at

    def is_overtaken(self, manifest: fleet.Manifest) -> bool:
        """Return whether a newer version was named meanwhile."""
        return self.watcher.named.get(manifest.model, 0) > manifest.version

    def due_at(self, model: str, version: int) -> float:
        """Return until when older versions may be used."""
        named_at = self.watcher.named_at.get(model, {}).get(version, self.clock())
        return named_at + self.settings.bounds.version_s

    async def carry_out(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.Action
    ) -> None:
        """Get one piece, check it and stage it; tell the plan what came of it."""
        size = self.piece_bytes()
        began = self.clock()
        self.incoming.reserve(size, began)
        held = plan.held
        try:
            if isinstance(action, fetch.FromOrigin):
                await self.from_origin(plan, manifest, action)
            else:
                await self.from_peer(plan, manifest, action)
        finally:
            plan.ended(action)
            if plan.held == held:
                self.incoming.give_back(size)
            elif isinstance(action, fetch.FromPeer):
                self.window.note(self.clock() - began, self.clock())

    def piece_bytes(self) -> int:
        """Return the size of a piece."""
        service = self.service()
        return service.engine.chunk_bytes if service is not None and service.engine else 0

    async def from_origin(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.FromOrigin
    ) -> None:
        """Get a piece from the origin."""
        try:
            data = await self.engine.piece(self.origin(), manifest, action.index)
            await self.engine.stage(manifest.model, action.index, data)
        except errors.MerlinthreadError as error:
            plan.origin_failed(self.clock(), ORIGIN_WAIT_S, action.index)
            logs.detail("piece_failed", index=action.index, source="origin", reason=error.message)
            return
        plan.got(action.index, True, self.clock())
        metrics.pieces_total.labels("origin").inc()
        self.announce(plan, manifest, action, action.index)

    async def from_peer(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.FromPeer
    ) -> None:
        """Get one of the wanted pieces from a peer."""
        count = len(manifest.digests)
        request = node_messages.PieceRequest(
            manifest.model,
            manifest.version,
            fetch.to_bytes(action.wanted, count),
            self.me,
            fetch.to_bytes(plan.held, count),
        )
        try:
            reply = await self.caller.call(action.peer, request, PEER_TIMEOUT_S)
        except errors.MerlinthreadError:
            plan.peer_failed(action.peer, self.clock())
            return
        now = self.clock()
        plan.heard(action.peer, fetch.from_bytes(reply.held, count), now)
        if reply.is_busy:
            plan.peer_busy(action.peer, now, reply.free_in_s)
            return
        if reply.index < 0:
            plan.peer_empty(action.peer, now)
            return
        if engine_client.digest_of(reply.data) != manifest.digests[reply.index]:
            plan.peer_corrupt(action.peer, now)
            return
        try:
            await self.engine.stage(manifest.model, reply.index, reply.data)
        except errors.MerlinthreadError:
            return
        plan.got(reply.index, False, self.clock())
        metrics.pieces_total.labels("peer").inc()
        self.announce(plan, manifest, action, reply.index)

    def announce(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.Action, index: int
    ) -> None:
        """Tell those whom it concerns that a piece is here."""
        note = node_messages.PieceNote(manifest.model, manifest.version, self.me, index)
        for peer in plan.audience(action):
            self.send(peer, note)

    def on_note(self, note: node_messages.PieceNote) -> None:
        """Take a peer's word of a piece that it has just got."""
        manifest = self.manifest
        if manifest is None or self.plan is None:
            return
        if (manifest.model, manifest.version) == (note.model, note.version):
            self.plan.announced(note.sender, note.index)

    # Ordering

    async def order_load(self) -> None:
        """Check all pieces once more, then order the engine to take them."""
        assert self.plan is not None and self.manifest is not None
        plan, manifest = self.plan, self.manifest
        if not plan.is_complete() or self.is_overtaken(manifest):
            return
        held = await self.find_staged(manifest)
        if held != plan.all:
            logs.event("pieces_rotten", count=(plan.all & ~held).bit_count())
            plan.held = held
            return
        await self.await_turn(manifest)
        if self.is_overtaken(manifest):
            return
        status = await self.engine.load(manifest.model, manifest.version, False)
        logs.event("engine_ordered", version=manifest.version, status=status)
        if self.report is not None and status == engine_client.STATUS_ACCEPTED:
            self.report.is_busy = True
            self.on_change(self.report)
        await self.await_loaded(manifest)

    def in_share(self) -> float:
        """Return the share of the link that pieces may take on their way in."""
        return IN_SHARE if self.serves_older() else IN_SHARE_ALONE

    def serves_older(self) -> bool:
        """Return whether the engine serves an older version meanwhile."""
        service = self.service()
        if self.report is None or service is None or service.engine is None:
            return False
        layers = service.engine.layers
        return any(held.version and held.is_whole(layers) for held in self.report.weights)

    def group(self) -> int:
        """Return the group in which this engine changes over."""
        engines = [(peer.zone, peer.name) for peer in self.peers()]
        return change_over.group_of(self.me, [*engines, (self.settings.zone, self.me)])

    async def await_turn(self, manifest: fleet.Manifest) -> None:
        """Wait until this engine may change over; one that serves nothing yet does not wait."""
        if not self.serves_older():
            return
        bound_at = self.due_at(manifest.model, manifest.version)
        turn_at = change_over.turn_at(self.group(), self.clock(), bound_at)
        await asyncio.sleep(max(0.0, turn_at - self.clock()))

    async def await_loaded(self, manifest: fleet.Manifest) -> None:
        """Wait until the engine tells that it holds the version, or is not at it any more."""
        deadline = self.clock() + ORDER_WAIT_S
        while not self.holds(manifest.model, manifest.version):
            if self.report is not None and self.report.is_busy:
                deadline = self.clock() + ORDER_WAIT_S
            if self.clock() >= deadline:
                return
            await asyncio.sleep(IDLE_WAIT_S)

    # Giving

    async def give(self, request: node_messages.PieceRequest) -> node_messages.PieceReply:
        """Answer a peer that asks for a piece."""
        plan, manifest = self.plan, self.manifest
        if (
            plan is None
            or manifest is None
            or (manifest.model, manifest.version) != (request.model, request.version)
        ):
            return node_messages.PieceReply(-1, b"", b"")
        count = len(manifest.digests)
        held = fetch.to_bytes(plan.held, count)
        if request.sender:
            plan.heard(request.sender, fetch.from_bytes(request.held, count), self.clock())
        wanted = fetch.bits(fetch.from_bytes(request.wanted, count) & plan.held)
        if not wanted:
            return node_messages.PieceReply(-1, b"", held)
        now = self.clock()
        free_in_s = self.outgoing.wait_s(now)
        if free_in_s > UPLOAD_WAIT_S_MAX:
            return node_messages.PieceReply(-1, b"", held, True, round(free_in_s, 3))
        index = self.rng.choice(wanted)
        data = await self.engine.staged(manifest, index)
        if data is None:
            plan.held &= ~(1 << index)
            return node_messages.PieceReply(-1, b"", held)
        await asyncio.sleep(self.outgoing.reserve(len(data), now))
        return node_messages.PieceReply(index, data, held)
