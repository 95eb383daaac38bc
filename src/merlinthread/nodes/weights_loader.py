"""Loads of staged weights by the local engine: when it loads them, and whether that is proven.

Entries are told of a load once it is proven that its pieces were right (`coordination.load_proof`).
No piece is staged while the fate of an order is open, nor until the engine has carried it out: it
takes the pieces once it is free, and they may have to be read back.
"""

import asyncio
from collections.abc import Callable, Sequence

from merlinthread import errors, logs, metrics
from merlinthread.coordination import (
    fetch_policies,
    fleet,
    load_orders,
    load_proof,
    reload_schedule,
)
from merlinthread.nodes import (
    engine_client,
    order_sender,
    piece_store,
    piece_verifier,
    weights_view,
)

POLL_INTERVAL_S = 0.1
LOAD_START_TIMEOUT_S = 0.2
LOAD_POLL_INTERVAL_S = 0.02
# An engine gives layers up at once, or after the requests that run.
DISCARD_TIMEOUT_S = 1.0
# Pieces that were found right this recently are not read again before the load: that takes 0.11 to
# 0.16 s for 96 pieces, in which nothing is served after a restart.
VERIFICATION_TTL_S = 1.0
# Verifications before one load. A second one reads what became too old in the first, as in that of
# a paused process; a slow engine must load too, and its load is proven afterwards.
VERIFICATIONS_MAX = 2


class WeightsLoader:
    """Lets one engine load staged weights, and keeps its last report.

    `on_report_changed` gets the reports to send to entries.
    """

    def __init__(
        self,
        view: weights_view.WeightsView,
        engine: engine_client.EngineClient,
        store: piece_store.PieceStore,
        verifier: piece_verifier.PieceVerifier,
        clock: Callable[[], float],
        on_report_changed: Callable[[fleet.EngineReport], None],
    ) -> None:
        self.view = view
        self.engine = engine
        self.store = store
        self.verifier = verifier
        self.clock = clock
        self.on_report_changed = on_report_changed
        self.report: fleet.EngineReport | None = None
        self.proof = load_proof.LoadProof()
        self.orders = order_sender.OrderSender(engine)
        # Finds out the fate of the last order, and whether what the engine took by it was right.
        self.settling: asyncio.Task | None = None
        # Crashes of the engine while it loaded the current manifest's version, and loads of it in
        # which it took a bad piece.
        self.load_crashes = 0
        self.spoilt_loads = 0
        # How often the engine was lost, and how often its process has ended.
        self.loss_count = 0
        self.end_count = 0

    def start_version(self) -> None:
        """Reset the counts of failed loads, which were of another version."""
        self.load_crashes = 0
        self.spoilt_loads = 0

    # State of the engine

    def record_engine_report(self, report: fleet.EngineReport | None) -> None:
        """Record the engine's report; it is None if the engine is lost or has restarted."""
        self.report = report
        self.loss_count += report is None
        if report is None:
            self.verifier.readings.forget()
            return
        self.orders.record_revision(report.sequence)
        for model, version in self.proof.observe(report, self.view.model()):
            logs.warning("load_foreign", model=model, version=version, revision=report.sequence)

    def record_engine_end(self) -> None:
        """Record that the engine's process has ended: it takes no order any more."""
        self.end_count += 1
        self.proof.record_engine_end()
        self.orders.record_engine_end()

    def holds(self, manifest: fleet.Manifest) -> bool:
        """Return whether the engine reports all layers of the manifest's version."""
        return self.report is not None and self.is_among(self.report.weights, manifest)

    def has_loaded(self, manifest: fleet.Manifest) -> bool:
        """Return whether the engine has loaded all layers of the version and that is proven."""
        return self.report is not None and self.is_among(
            self.proof.proven_weights(self.report), manifest
        )

    def is_among(self, loaded: list[fleet.Weights], manifest: fleet.Manifest) -> bool:
        """Return whether all layers of the manifest's version are among the loaded weights."""
        return any(
            weights.model == manifest.model
            and weights.version == manifest.version
            and weights.is_whole(self.view.layers())
            for weights in loaded
        )

    def loaded_version(self, model: str) -> int:
        """Return the newest version of which the engine has loaded all layers, or 0."""
        loaded = self.proof.proven_weights(self.report) if self.report is not None else []
        return max(
            (
                weights.version
                for weights in loaded
                if weights.model == model and weights.is_whole(self.view.layers())
            ),
            default=0,
        )

    def is_serving(self) -> bool:
        """Return whether the engine has loaded all layers of a version that has not expired."""
        return self.report is not None and any(
            weights.version
            and weights.is_whole(self.view.layers())
            and self.view.is_usable(weights.model, weights.version)
            for weights in self.proof.proven_weights(self.report)
        )

    # Loading

    async def load_weights(self, plan: fetch_policies.Zoned, manifest: fleet.Manifest) -> None:
        """Wait for the engine's reload time, and let it load the pieces if they are verified.

        They are verified before the wait, so that bad ones are replaced meanwhile, and after it.
        """
        await self.wait_until_settled()
        if self.has_loaded(manifest):
            return
        if not plan.is_complete() or self.view.is_superseded(manifest):
            return
        await self.store.flush(manifest.model)
        if not await self.are_pieces_verified(plan, manifest):
            return
        await self.await_reload_time(manifest)
        await self.await_load_retry(manifest)
        if self.view.is_superseded(manifest) or self.report is None:
            return
        if not await self.are_pieces_verified(plan, manifest):
            return
        if self.view.is_superseded(manifest) or self.report is None:
            return
        if self.holds(manifest) and not await self.discard_bad_layers(manifest):
            return
        if self.report is not None and not self.report.is_busy:
            await self.order_load(manifest)
        await self.await_loaded(manifest)

    async def are_pieces_verified(
        self, plan: fetch_policies.Zoned, manifest: fleet.Manifest
    ) -> bool:
        """Return whether all staged pieces match; read those back that were not read just now.

        With an engine too slow for that, some were read earlier; the load is proven afterwards.
        """
        for _ in range(VERIFICATIONS_MAX):
            old = self.verifier.readings.older_than(VERIFICATION_TTL_S, self.clock())
            if not old:
                return True
            if not await self.verify_pieces(plan, manifest, old):
                logs.event("pieces_rotten", count=plan.chunk_count - plan.held.bit_count())
                return False
        return True

    async def verify_pieces(
        self, plan: fetch_policies.Zoned, manifest: fleet.Manifest, indexes: Sequence[int]
    ) -> bool:
        """Read staged pieces back; the plan holds those that match. Return whether it has all."""
        right = await self.verifier.verify(manifest, indexes)
        read = sum(1 << index for index in indexes)
        plan.held = plan.held & ~read | right
        return plan.is_complete()

    async def order_load(self, manifest: fleet.Manifest) -> None:
        """Make the engine load the staged weights.

        Raises NotListeningError if the engine can't have received the order.
        """
        if self.report is None:
            return
        self.proof.begin(manifest, self.report.weights)
        order = load_orders.LoadOrder(manifest, self.report.sequence)
        await self.start_order(order)
        if order.is_open():
            self.report_busy()

    # Orders

    async def start_order(self, order: load_orders.LoadOrder) -> None:
        """Send an order, and stage no pieces until it is settled, for which a task goes on.

        Raises NotListeningError if the engine can't have received the order.
        """
        self.store.suspend()
        try:
            await self.orders.send(order)
        except errors.NotListeningError:
            self.record_fate(order)
            self.store.resume()
            raise
        if not order.is_open():
            self.record_fate(order)
        self.settling = asyncio.get_running_loop().create_task(self.settle(order))

    async def settle(self, order: load_orders.LoadOrder) -> None:
        """Wait until an order is refused or carried out, and prove what the engine took by it."""
        end_count = self.end_count
        if order.is_open():
            await self.orders.settle(order)
            self.record_fate(order)
        if order.layers is None and order.fate is load_orders.Fate.TAKEN:
            while not self.is_carried_out(order) and self.end_count == end_count:
                await asyncio.sleep(LOAD_POLL_INTERVAL_S)
            if self.end_count == end_count:
                self.record_load(order)
                await self.read_back(order.manifest)
        self.store.resume()

    def is_carried_out(self, order: load_orders.LoadOrder) -> bool:
        """Return whether the engine has finished what it began by an order."""
        report = self.report
        if report is None or report.is_busy:
            return False
        return report.sequence != order.revision or self.holds(order.manifest)

    def record_fate(self, order: load_orders.LoadOrder) -> None:
        """Record whether the engine has taken an order."""
        is_taken = order.fate is load_orders.Fate.TAKEN
        if order.layers is not None:
            if is_taken:
                self.proof.discard(order.manifest, order.layers)
        elif is_taken:
            self.proof.accept(range(len(order.manifest.digests)))
            self.report_busy()
        else:
            self.proof.cancel()

    def cancel(self) -> None:
        """Stop sending orders, since the task that owns the loader ends."""
        if self.settling is not None:
            self.settling.cancel()

    def report_busy(self) -> None:
        """Tell entries that the engine is changing its weights, ahead of its next report."""
        if self.report is not None:
            self.report.is_busy = True
            self.send_report(self.report)

    def is_settling(self) -> bool:
        """Return whether the fate of an order is open, or what it took is being read back."""
        return self.settling is not None and not self.settling.done()

    async def wait_until_settled(self) -> None:
        """Wait until the fate of the last order is known and what it took has been read back."""
        if self.settling is None:
            return
        settling = self.settling
        await asyncio.shield(settling)
        if self.settling is settling:
            self.settling = None

    async def await_reload_time(self, manifest: fleet.Manifest) -> None:
        """Wait for the reload time of this engine's group, unless the engine does not serve."""
        if not self.is_serving():
            return
        loaded = self.loaded_version(manifest.model)
        expires_at = self.view.loaded_until(manifest.model, loaded)
        reload_at = reload_schedule.reload_time(self.view.reload_group(), self.clock(), expires_at)
        await asyncio.sleep(max(0.0, reload_at - self.clock()))

    async def await_load_retry(self, manifest: fleet.Manifest) -> None:
        """Delay the load of weights whose loads failed repeatedly."""
        wait_s = reload_schedule.load_retry_delay_s(self.load_crashes + self.spoilt_loads)
        if wait_s:
            logs.warning(
                "load_put_off", version=manifest.version, ends=self.load_crashes, wait_s=wait_s
            )
        until = self.clock() + wait_s
        while self.clock() < until and not self.view.is_superseded(manifest):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def await_loaded(self, manifest: fleet.Manifest) -> None:
        """Wait until the engine has loaded the version, or has stopped loading it."""
        deadline = self.clock() + LOAD_START_TIMEOUT_S
        loss_count = self.loss_count
        while not self.holds(manifest):
            if self.report is None or self.loss_count != loss_count:
                self.load_crashes += 1
                logs.event("engine_lost_in_load", version=manifest.version, ends=self.load_crashes)
                return
            if self.report.is_busy:
                deadline = self.clock() + LOAD_START_TIMEOUT_S
            if self.clock() >= deadline:
                return
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)

    # Proof of a load

    def record_load(self, order: load_orders.LoadOrder) -> None:
        """Record that the engine has carried out an order to load, and taken the pieces for it.

        Those that were found right shortly before need not be read back.
        """
        pieces: Sequence[int] = range(len(order.manifest.digests))
        if order.is_answered and self.verifier.is_of(order.manifest):
            now = self.clock()
            overdue = self.verifier.readings.older_than(load_proof.PROOF_AGE_MAX_S, now)
            pieces = sorted(self.store.overwritable(len(pieces), now).union(overdue))
        self.proof.accept(pieces)
        if self.proof.is_proven(order.manifest):
            metrics.loads_total.labels("before").inc()
            if self.report is not None:
                self.send_report(self.report)
            return
        logs.event(
            "load_unproven",
            version=order.manifest.version,
            is_answered=order.is_answered,
            pieces=len(pieces),
        )

    async def prove_load(self, manifest: fleet.Manifest) -> None:
        """Read pieces back if a load that the engine has finished is unproven.

        Raises UnreachableError if the engine does not respond.
        """
        if self.is_settling() or not self.holds(manifest):
            return
        pieces = self.proof.pieces_to_verify(manifest)
        if pieces:
            await self.verify_load(manifest, pieces)

    async def read_back(self, manifest: fleet.Manifest) -> None:
        """Read back what the engine took by an order, before other pieces are staged.

        It is repeated until the engine responds, or has ended and with it what it took.
        """
        end_count = self.end_count
        while self.end_count == end_count and (pieces := self.proof.pieces_to_verify(manifest)):
            try:
                await self.verify_load(manifest, pieces)
            except errors.MerlinthreadError as error:
                logs.event("load_unverified", version=manifest.version, reason=error.message)
                await asyncio.sleep(POLL_INTERVAL_S)

    async def verify_load(self, manifest: fleet.Manifest, pieces: Sequence[int]) -> None:
        """Read `pieces` back after a load, and tell entries if that proves it.

        They are as they were when the engine took them, unless they are bad now: only this agent
        stages pieces, and it stages none between the order and this.
        """
        right = await self.verifier.find_right(manifest, pieces)
        if self.proof.is_foreign(manifest):
            right -= self.store.staged
        bad = [index for index in pieces if index not in right]
        self.proof.record_verified(manifest, bad)
        if bad:
            self.verifier.record_bad(manifest, bad)
            self.spoilt_loads += 1
            metrics.loads_total.labels("never").inc()
            logs.warning("load_spoilt", version=manifest.version, pieces=bad)
            return
        metrics.loads_total.labels("after").inc()
        logs.event("load_proven", version=manifest.version)
        if self.report is not None:
            self.send_report(self.report)

    async def discard_bad_layers(self, manifest: fleet.Manifest) -> bool:
        """Make the engine give up the bad layers that it holds; return whether it does.

        Otherwise it would answer an order to load the version that it has done so.
        """
        kept = self.proof.layers_to_keep(manifest)
        if kept is None or self.report is None:
            return False
        order = load_orders.LoadOrder(manifest, self.report.sequence, kept)
        await self.start_order(order)
        await self.wait_until_settled()
        logs.event(
            "layers_discarded",
            version=manifest.version,
            kept=[kept.start, kept.stop],
            fate=order.fate.value,
        )
        if order.fate is not load_orders.Fate.TAKEN:
            self.spoilt_loads += 1
            return False
        deadline = self.clock() + DISCARD_TIMEOUT_S
        while self.holds(manifest) and self.clock() < deadline:
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)
        return not self.holds(manifest)

    def send_report(self, report: fleet.EngineReport) -> None:
        """Send a report to entries."""
        self.on_report_changed(self.proof.report_for_entries(report))
