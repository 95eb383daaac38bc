"""Loads of staged weights by the local engine: when it loads them, and whether that is proven.

Entries are told of a load once it is proven that its pieces were right (`coordination.load_proof`).
"""

import asyncio
from collections.abc import Callable, Sequence

from merlinthread import errors, logs, metrics
from merlinthread.coordination import fetch_policies, fleet, load_proof, reload_schedule
from merlinthread.nodes import engine_client, piece_store, piece_verifier, weights_view

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
        # Crashes of the engine while it loaded the current manifest's version, and loads of it in
        # which it took a bad piece.
        self.load_crashes = 0
        self.spoilt_loads = 0
        # How often the engine was lost.
        self.loss_count = 0

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

        An order without a response may have been accepted, so that it counts as accepted until the
        engine's next report. Raises NotListeningError if the engine can't have received it.
        """
        self.proof.begin(manifest, self.report.weights if self.report is not None else [])
        is_answered = True
        try:
            status = await self.engine.load_staged_weights(manifest.model, manifest.version, False)
        except errors.NotListeningError:
            self.proof.cancel()
            raise
        except errors.UnreachableError as error:
            logs.event("order_unanswered", version=manifest.version, reason=error.message)
            status = engine_client.STATUS_ACCEPTED
            is_answered = False
        logs.event("engine_ordered", version=manifest.version, status=status)
        if status != engine_client.STATUS_ACCEPTED:
            self.proof.cancel()
            return
        self.record_accepted_load(manifest, is_answered)
        if self.report is not None:
            self.report.is_busy = True
            self.send_report(self.report)

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

    def record_accepted_load(self, manifest: fleet.Manifest, is_answered: bool) -> None:
        """Record an accepted load; without a response, the engine may take the pieces later."""
        old: Sequence[int] = range(len(manifest.digests))
        if is_answered:
            old = self.verifier.readings.older_than(load_proof.PROOF_AGE_MAX_S, self.clock())
        self.proof.accept(old)
        if self.proof.unproven is None:
            metrics.loads_total.labels("before").inc()
            return
        logs.event(
            "load_unproven", version=manifest.version, is_answered=is_answered, pieces=len(old)
        )

    async def prove_load(self, plan: fetch_policies.Zoned, manifest: fleet.Manifest) -> None:
        """Read pieces back once an unproven load has finished, and tell entries if it is proven.

        They are as they were when the engine took them, unless they are bad now: only this agent
        stages pieces, and it stages none of this version after it ordered the load.
        """
        if not self.holds(manifest):
            return
        pieces = self.proof.pieces_to_verify(manifest)
        if not pieces:
            return
        await self.verify_pieces(plan, manifest, pieces)
        bad = [index for index in pieces if not plan.held >> index & 1]
        self.proof.record_verified(manifest, bad)
        if bad:
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
        if kept is None:
            return False
        status = await self.engine.load_staged_weights(
            manifest.model, manifest.version, False, kept
        )
        logs.event(
            "layers_discarded",
            version=manifest.version,
            kept=[kept.start, kept.stop],
            status=status,
        )
        if status != engine_client.STATUS_ACCEPTED:
            self.spoilt_loads += 1
            return False
        self.proof.discard(kept)
        deadline = self.clock() + DISCARD_TIMEOUT_S
        while self.holds(manifest) and self.clock() < deadline:
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)
        return not self.holds(manifest)

    def send_report(self, report: fleet.EngineReport) -> None:
        """Send a report to entries."""
        self.on_report_changed(self.proof.report_for_entries(report))
