"""Installation of published weights on the local engine, and their distribution to peers.

Pieces are kept in the engine's staging area, without a second copy. Each is verified against the
manifest before it is staged, before it is sent to a peer, and before the engine loads the weights
(`weights_loader`).
"""

import asyncio
import random
from collections.abc import Callable

from merlinthread import errors, logs
from merlinthread.coordination import (
    fetch,
    fetch_policies,
    fleet,
    reload_schedule,
)
from merlinthread.nodes import (
    engine_client,
    fleet_watcher,
    manifest_checker,
    manifest_finder,
    node_settings,
    piece_fetcher,
    piece_server,
    piece_store,
    piece_verifier,
    weights_loader,
    weights_view,
)
from merlinthread.protocol import piece_messages
from merlinthread.transport import node_bus

POLL_INTERVAL_S = 0.1
RETRY_DELAY_S = 0.3


class WeightsTask:
    """Keeps the weights of one engine up to date."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        watcher: fleet_watcher.FleetWatcher,
        engine: engine_client.EngineClient,
        rpc_client: node_bus.RpcClient,
        clock: Callable[[], float],
        rng: random.Random,
        on_report_changed: Callable[[fleet.EngineReport], None],
        send: piece_fetcher.SendNotice,
    ) -> None:
        self.plan_class = fetch.POLICIES.get(settings.policy.fetch)
        self.clock = clock
        self.rng = rng
        self.view = weights_view.WeightsView(settings, watcher, clock)
        self.finder = manifest_finder.ManifestFinder(
            self.view.own_address, engine, rpc_client, clock, rng, self.view.piece_count
        )
        self.store = piece_store.PieceStore(engine, clock())
        self.checker = manifest_checker.ManifestChecker(self.view, self.finder, clock)
        self.fetcher = piece_fetcher.PieceFetcher(
            self.view, engine, self.store, self.checker, rpc_client, clock, send
        )
        self.server = piece_server.PieceServer(self.store, clock, rng, settings.link_bytes_per_s)
        self.manifest: fleet.Manifest | None = None
        self.plan: fetch_policies.Zoned | None = None
        self.verifier = piece_verifier.PieceVerifier(engine, clock)
        self.loader = weights_loader.WeightsLoader(
            self.view, engine, self.store, self.verifier, clock, on_report_changed
        )
        self.sync_task: asyncio.Task | None = None

    # Forecasts

    def ready_in_s(self) -> float | None:
        """Estimate the seconds until the engine serves; None if it does now or it is unknown."""
        report = self.loader.report
        if report is None or self.plan is None or self.loader.is_serving():
            return None
        missing = self.plan.chunk_count - self.plan.held.bit_count()
        return reload_schedule.ready_in_s(missing, self.fetcher.rate.per_s(), report.is_busy)

    def is_too_slow_to_start(self) -> bool:
        """Return whether a request might start after the old weights of the engine have expired.

        That is while pieces of newer weights arrive slowly, shortly before the old ones expire.
        """
        if self.plan is None or self.manifest is None or self.plan.is_complete():
            return False
        transfer_s = self.fetcher.window.last_duration_s
        model = self.manifest.model
        expires_at = self.view.loaded_until(model, self.loader.loaded_version(model))
        return reload_schedule.is_too_slow_to_start(expires_at, transfer_s, self.clock())

    # Update loop

    async def run(self) -> None:
        """Keep the engine on the newest published version, until cancelled."""
        try:
            while True:
                await self.run_step()
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            self.loader.cancel()

    async def run_step(self) -> None:
        """Run one step of the loop; wait after an error, which is logged."""
        try:
            await self.run_once()
        except errors.MerlinthreadError as error:
            logs.event("weights_delayed", reason=error.message)
            await asyncio.sleep(RETRY_DELAY_S)

    async def run_once(self) -> None:
        """Fetch and load the newest version unless the engine has already loaded it."""
        model = self.view.model()
        if not model or not self.view.origin():
            return
        if self.loader.report is None and self.store.is_engine_seen:
            return
        if self.manifest is not None:
            await self.loader.prove_load(self.manifest)
        wanted = self.view.newest_version(model) or (self.manifest.version if self.manifest else 0)
        if self.manifest is None or not self.is_current(self.manifest, wanted):
            await self.start_version(model, wanted)
        assert self.manifest is not None and self.plan is not None
        if self.loader.has_loaded(self.manifest):
            return
        await self.fetcher.run(self.plan, self.manifest, self.loader.is_serving)
        if self.checker.is_version_doubtful(self.plan, self.manifest):
            self.discard_manifest(self.manifest)
            return
        if self.loader.report is not None:
            await self.loader.load_weights(self.plan, self.manifest)

    def is_current(self, manifest: fleet.Manifest, wanted: int) -> bool:
        """Return whether a manifest is of the wanted version, 0 being any, and as configured."""
        return wanted in (0, manifest.version) and self.finder.has_piece_count(manifest)

    def discard_manifest(self, manifest: fleet.Manifest) -> None:
        """Discard a manifest whose version the origin does not have, to look for another one."""
        logs.warning("manifest_discarded", model=manifest.model, version=manifest.version)
        self.finder.distrust(manifest)
        self.manifest = self.plan = None

    async def start_version(self, model: str, version: int) -> None:
        """Get the manifest of a version and create the plan for its pieces."""
        is_first = self.manifest is None
        origin, peers = self.view.origin(), self.view.peers()
        manifest = await self.finder.find(
            origin, model, version, peers, lambda: self.view.newest_version(model) in (0, version)
        )
        manifest.layers = self.view.layers() or manifest.layers
        plan = self.make_plan(manifest)
        self.store.start_version()
        self.verifier.start_version(manifest)
        self.checker.start_version()
        # After a restart of the agent, staged pieces may be of this version; later they are not.
        if is_first and self.store.is_engine_seen:
            await self.loader.verify_pieces(plan, manifest, range(plan.chunk_count))
        self.manifest = manifest
        self.plan = plan
        self.loader.start_version()
        logs.event(
            "weights_wanted",
            model=model,
            version=manifest.version,
            pieces=len(manifest.digests),
            held=plan.held.bit_count(),
        )

    def make_plan(self, manifest: fleet.Manifest) -> fetch_policies.Zoned:
        """Return a fetch plan without any held pieces."""
        plan = self.plan_class(
            self.view.own_address,
            f"{manifest.model}@{manifest.version}",
            len(manifest.digests),
            0,
            piece_fetcher.ORIGIN_SLOTS,
            self.clock(),
            self.rng,
        )
        plan.origin_grace_s = piece_fetcher.ORIGIN_GRACE_S
        plan.requests_per_peer = piece_fetcher.REQUESTS_PER_PEER
        plan.readers_max = fetch.origin_reader_count(
            self.view.origin_bytes_per_s(), self.fetcher.link_bytes_per_s
        )
        return plan

    def record_engine_report(self, report: fleet.EngineReport | None) -> None:
        """Record the engine's report; it is None if the engine is lost or has restarted."""
        self.loader.record_engine_report(report)
        if report is None:
            return
        loop = asyncio.get_running_loop()
        if not self.store.is_engine_seen:
            self.store.is_engine_seen = True
            self.sync_task = loop.create_task(self.sync_with_engine())
        elif self.store.can_flush() and (self.sync_task is None or self.sync_task.done()):
            self.sync_task = loop.create_task(self.flush_pieces())

    def record_engine_end(self) -> None:
        """Record that the engine's process has ended; another one may be at its address."""
        self.loader.record_engine_end()
        self.store.record_engine_end()

    async def flush_pieces(self) -> None:
        """Stage the pieces that were buffered while the engine was silent."""
        if self.manifest is None:
            return
        try:
            await self.store.flush(self.manifest.model)
        except errors.MerlinthreadError as error:
            logs.debug("pieces_not_settled", reason=error.message)

    async def sync_with_engine(self) -> None:
        """Stage the buffered pieces, and add those that were staged already to the plan."""
        plan, manifest = self.plan, self.manifest
        if plan is None or manifest is None:
            return
        try:
            await self.store.flush(manifest.model)
            found = await self.verifier.verify(manifest, range(plan.chunk_count))
        except errors.MerlinthreadError as error:
            logs.event("pieces_not_settled", reason=error.message)
            return
        plan.held |= found
        logs.event("pieces_settled", version=manifest.version, found=found.bit_count())

    # Messages from peers

    async def serve_piece(self, request: piece_messages.PieceRequest) -> piece_messages.PieceReply:
        """Return the reply to a peer's request for a piece."""
        if self.plan is None or self.manifest is None:
            return piece_server.EMPTY_REPLY
        self.server.set_serving(self.loader.is_serving())
        return await self.server.serve(self.plan, self.manifest, request)

    def serve_manifest(
        self, request: piece_messages.ManifestRequest
    ) -> piece_messages.ManifestReply:
        """Return the reply to a peer's request for a manifest."""
        is_reading = self.finder.is_reading(request.model, request.version)
        return piece_server.serve_manifest(self.manifest, is_reading, request)

    def record_notice(self, notice: piece_messages.PieceNotice | piece_messages.PieceClaim) -> None:
        """Record a peer's notice that it has received a piece or is reading it from the origin."""
        manifest = self.manifest
        if manifest is None or self.plan is None:
            return
        if (manifest.model, manifest.version) != (notice.model, notice.version):
            return
        if isinstance(notice, piece_messages.PieceClaim):
            self.plan.on_claim(notice.index, self.clock())
        else:
            self.plan.on_announcement(notice.sender, notice.index)
