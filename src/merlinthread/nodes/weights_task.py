"""An agent's weights: it brings its engine to the version named, and gives pieces to its peers.

Pieces are kept where the engine stages them, never twice. Each is checked against the manifest
before it is staged, before it is given on, and once more before the engine is ordered to take them.
"""

import asyncio
import random
from collections.abc import Callable

from merlinthread import errors, logs
from merlinthread.coordination import change_over, fetch, fetch_policies, fleet
from merlinthread.nodes import (
    engine_client,
    fleet_watcher,
    manifest_finder,
    node_settings,
    piece_fetcher,
    piece_giver,
    piece_store,
    weights_facts,
)
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

LOOK_EVERY_S = 0.1
FAILED_WAIT_S = 0.3
ORDER_WAIT_S = 0.2
LOADED_LOOK_EVERY_S = 0.02
# Pieces that were all read and checked so short a time ago are not read again before the order: it
# takes 0.11 to 0.16 s (96 pieces, log of a start after a loss of power), while nothing is served.
FOUND_FOR_S = 0.2


class WeightsTask:
    """The weights of one engine."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        watcher: fleet_watcher.FleetWatcher,
        engine: engine_client.EngineClient,
        caller: node_bus.RpcClient,
        clock: Callable[[], float],
        rng: random.Random,
        on_change: Callable[[fleet.EngineReport], None],
        send: piece_fetcher.Send,
    ) -> None:
        self.make_plan_by = fetch.POLICIES.get(settings.policy.fetch)
        self.on_change = on_change
        self.engine = engine
        self.clock = clock
        self.rng = rng
        self.facts = weights_facts.WeightsFacts(settings, watcher, clock)
        self.manifests = manifest_finder.ManifestFinder(self.facts.me, engine, caller, clock, rng)
        self.store = piece_store.PieceStore(engine)
        self.fetcher = piece_fetcher.PieceFetcher(
            self.facts, engine, self.store, caller, clock, send
        )
        self.giver = piece_giver.PieceGiver(self.store, clock, rng, settings.link_bytes_per_s)
        self.manifest: fleet.Manifest | None = None
        self.plan: fetch_policies.Zoned | None = None
        self.report: fleet.EngineReport | None = None
        self.found_at = float("-inf")
        self.settling: asyncio.Task | None = None
        # How often the engine ended during the load of the present manifest.
        self.ends_in_load = 0

    # What the engine holds

    def holds(self, manifest: fleet.Manifest) -> bool:
        """Return whether the engine holds the manifest's version whole."""
        return self.report is not None and any(
            held.model == manifest.model
            and held.version == manifest.version
            and held.is_whole(self.facts.layers())
            for held in self.report.weights
        )

    def is_serving(self) -> bool:
        """Return whether the engine holds a version whole that may still be used."""
        return self.report is not None and any(
            held.version
            and held.is_whole(self.facts.layers())
            and self.facts.is_usable(held.model, held.version)
            for held in self.report.weights
        )

    def ready_in_s(self) -> float | None:
        """Return when the engine will serve again as far as known, None if it does now."""
        if self.report is None or self.plan is None or self.is_serving():
            return None
        missing = self.plan.chunk_count - self.plan.held.bit_count()
        return change_over.ready_in_s(missing, self.fetcher.rate.per_s(), self.report.is_busy)

    # What is wanted

    async def run(self) -> None:
        """Bring the engine to the version named, for ever."""
        while True:
            try:
                await self.step()
            except errors.MerlinthreadError as error:
                logs.event("weights_delayed", reason=error.message)
                await asyncio.sleep(FAILED_WAIT_S)
            await asyncio.sleep(LOOK_EVERY_S)

    async def step(self) -> None:
        """Do what is due: read the manifest, fetch, order."""
        model = self.facts.model()
        if not model or not self.facts.origin():
            return
        if self.report is None and self.store.is_engine_seen:
            return
        wanted = self.facts.named(model) or (self.manifest.version if self.manifest else 0)
        if self.manifest is None or (wanted and self.manifest.version != wanted):
            await self.begin(model, wanted)
        assert self.manifest is not None and self.plan is not None
        if self.holds(self.manifest):
            return
        await self.fetcher.run(self.plan, self.manifest, self.is_serving)
        if self.report is not None:
            await self.order_load(self.plan, self.manifest)

    async def begin(self, model: str, version: int) -> None:
        """Read a version's manifest and find out which of its pieces lie here."""
        is_first = self.manifest is None
        origin, peers = self.facts.origin(), self.facts.peers()
        manifest = await self.manifests.find(
            origin, model, version, peers, lambda: self.facts.named(model) in (0, version)
        )
        plan = self.make_plan(manifest)
        self.store.clear()
        # What lies there after a restart may be of this version; later it is of the one before.
        if is_first and self.store.is_engine_seen:
            plan.held = await self.find_staged(manifest)
            self.found_at = self.clock() if plan.is_complete() else float("-inf")
        self.manifest = manifest
        self.plan = plan
        self.ends_in_load = 0
        logs.event(
            "weights_wanted",
            model=model,
            version=manifest.version,
            pieces=len(manifest.digests),
            held=plan.held.bit_count(),
        )

    def make_plan(self, manifest: fleet.Manifest) -> fetch_policies.Zoned:
        """Return the plan of a fetch that has nothing yet."""
        plan = self.make_plan_by(
            self.facts.me,
            f"{manifest.model}@{manifest.version}",
            len(manifest.digests),
            0,
            piece_fetcher.ORIGIN_SLOTS,
            self.clock(),
            self.rng,
        )
        plan.origin_grace_s = piece_fetcher.ORIGIN_GRACE_S
        plan.requests_per_peer = piece_fetcher.ASKS_PER_PEER
        plan.readers_max = fetch.origin_reader_count(
            self.facts.origin_bytes_per_s(), self.fetcher.link_bytes_per_s
        )
        return plan

    def note_report(self, report: fleet.EngineReport | None) -> None:
        """Take the engine's report, None if it gave none."""
        self.report = report
        if report is not None and not self.store.is_engine_seen:
            self.store.is_engine_seen = True
            self.settling = asyncio.get_running_loop().create_task(self.settle())

    async def settle(self) -> None:
        """Stage what came before the engine answered, and find out what lay there already."""
        plan, manifest = self.plan, self.manifest
        if plan is None or manifest is None:
            return
        try:
            await self.store.flush(manifest.model)
            found = await self.find_staged(manifest)
        except errors.MerlinthreadError as error:
            logs.event("pieces_not_settled", reason=error.message)
            return
        plan.held |= found
        logs.event("pieces_settled", version=manifest.version, found=found.bit_count())

    async def find_staged(self, manifest: fleet.Manifest) -> int:
        """Return the bit set of the pieces that lie sound at the engine."""
        held = 0
        for index in range(len(manifest.digests)):
            if await self.engine.staged(manifest, index) is not None:
                held |= 1 << index
        return held

    # Ordering

    async def order_load(self, plan: fetch_policies.Zoned, manifest: fleet.Manifest) -> None:
        """Check all pieces once more, then order the engine to take them."""
        if not plan.is_complete() or self.facts.is_overtaken(manifest):
            return
        await self.store.flush(manifest.model)
        if self.clock() - self.found_at > FOUND_FOR_S:
            held = await self.find_staged(manifest)
            if held != plan.all_chunks:
                logs.event("pieces_rotten", count=(plan.all_chunks & ~held).bit_count())
                plan.held = held
                return
        await self.await_turn(manifest)
        await self.await_next_try(manifest)
        if self.facts.is_overtaken(manifest) or self.report is None:
            return
        status = await self.engine.load(manifest.model, manifest.version, False)
        logs.event("engine_ordered", version=manifest.version, status=status)
        if self.report is not None and status == engine_client.STATUS_ACCEPTED:
            self.report.is_busy = True
            self.on_change(self.report)
        await self.await_loaded(manifest)

    async def await_turn(self, manifest: fleet.Manifest) -> None:
        """Wait until this engine may change over; one that serves nothing yet does not wait."""
        if not self.is_serving():
            return
        group, bound_at = self.facts.group(), self.facts.bound_at(manifest)
        turn_at = change_over.reload_time(group, self.clock(), bound_at)
        await asyncio.sleep(max(0.0, turn_at - self.clock()))

    async def await_next_try(self, manifest: fleet.Manifest) -> None:
        """Wait before weights are ordered again under which the engine ended several times."""
        wait_s = change_over.load_retry_delay_s(self.ends_in_load)
        if wait_s:
            logs.warning(
                "load_put_off", version=manifest.version, ends=self.ends_in_load, wait_s=wait_s
            )
        until = self.clock() + wait_s
        while self.clock() < until and not self.facts.is_overtaken(manifest):
            await asyncio.sleep(LOOK_EVERY_S)

    async def await_loaded(self, manifest: fleet.Manifest) -> None:
        """Wait until the engine tells that it holds the version, or is not at it any more."""
        deadline = self.clock() + ORDER_WAIT_S
        while not self.holds(manifest):
            if self.report is None:
                self.ends_in_load += 1
                logs.event("engine_lost_in_load", version=manifest.version, ends=self.ends_in_load)
                return
            if self.report is not None and self.report.is_busy:
                deadline = self.clock() + ORDER_WAIT_S
            if self.clock() >= deadline:
                return
            await asyncio.sleep(LOADED_LOOK_EVERY_S)

    # Peers

    async def give(self, request: node_messages.PieceRequest) -> node_messages.PieceReply:
        """Answer a peer that asks for a piece."""
        if self.plan is None or self.manifest is None:
            return piece_giver.NOTHING
        self.giver.note_serving(self.is_serving())
        return await self.giver.give(self.plan, self.manifest, request)

    def give_manifest(self, request: node_messages.ManifestRequest) -> node_messages.ManifestReply:
        """Answer a peer that asks for a manifest."""
        return piece_giver.give_manifest(self.manifest, request)

    def on_note(self, note: node_messages.PieceNotice | node_messages.PieceClaim) -> None:
        """Take a peer's word of a piece that it has just got, or begins to read."""
        manifest = self.manifest
        if manifest is None or self.plan is None:
            return
        if (manifest.model, manifest.version) != (note.model, note.version):
            return
        if isinstance(note, node_messages.PieceClaim):
            self.plan.on_claim(note.index, self.clock())
        else:
            self.plan.on_announcement(note.sender, note.index)
