"""Checks of a manifest that independent readings of a piece contradict.

The manifest is corrected in place once another copy of it, from a peer or the origin, agrees with
these readings.
"""

import asyncio
from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import fetch, fleet, manifest_evidence
from merlinthread.nodes import manifest_finder, weights_view


class ManifestChecker:
    """Checks the manifest of the version that is being fetched, in a task of its own."""

    def __init__(
        self,
        view: weights_view.WeightsView,
        finder: manifest_finder.ManifestFinder,
        clock: Callable[[], float],
    ) -> None:
        self.view = view
        self.finder = finder
        self.clock = clock
        self.evidence = manifest_evidence.ManifestEvidence()
        self.task: asyncio.Task | None = None

    def start_version(self) -> None:
        """Discard the evidence against the manifest of another version."""
        self.evidence = manifest_evidence.ManifestEvidence()

    def update(self, plan: fetch.FetchPlan, manifest: fleet.Manifest) -> None:
        """Start a check if one is due, and suspend origin reads of the pieces in question."""
        now = self.clock()
        plan.suspended = self.evidence.suspended_pieces(now)
        if self.task is not None and self.task.done():
            self.task.result()
            self.task = None
        if self.task is None and self.evidence.is_check_due(now):
            self.task = asyncio.get_running_loop().create_task(self.check(plan, manifest))

    def record_failure(self, index: int, error: errors.MerlinthreadError) -> None:
        """Record a failed read of a piece from the origin."""
        if isinstance(error, errors.WrongDigestError):
            self.evidence.record(index, error.digest, "")
        elif error.kind is errors.ErrorKind.ORIGIN_CHANGED:
            self.evidence.refusals += 1

    def is_version_doubtful(self, plan: fetch.FetchPlan, manifest: fleet.Manifest) -> bool:
        """Return whether the manifest may have a wrong version: the origin does not have it.

        A version that has been published was asked for, so that its manifest has it.
        """
        is_published = bool(self.view.newest_version(manifest.model))
        return not is_published and self.evidence.is_version_doubtful(plan.held)

    def cancel(self) -> None:
        """Cancel a check that is running."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    async def check(self, plan: fetch.FetchPlan, manifest: fleet.Manifest) -> None:
        """Correct the manifest if there is a better copy, otherwise keep it."""
        disputed = fetch.bit_positions(self.evidence.disputed_pieces())
        logs.event("manifest_disputed", version=manifest.version, pieces=disputed)
        copy = await self.finder.find_better_copy(
            self.view.origin(),
            manifest,
            self.view.peers(),
            sorted(self.evidence.peers()),
            lambda copy: self.evidence.is_corrected_by(manifest, copy, plan.held),
        )
        if copy is None:
            self.evidence.on_not_corrected(self.clock())
            metrics.manifest_checks_total.labels("kept").inc()
            return
        self.correct(plan, manifest, copy)

    def correct(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, copy: fleet.Manifest
    ) -> None:
        """Take over the digests of a better copy, and resume requests to peers that were right."""
        corrected = [
            index for index, digest in enumerate(copy.digests) if digest != manifest.digests[index]
        ]
        manifest.digests[:] = copy.digests
        for peer in self.evidence.peers_agreeing_with(copy):
            plan.postpone_requests(peer, self.clock())
        self.evidence.on_corrected()
        metrics.manifest_checks_total.labels("corrected").inc()
        logs.warning("manifest_corrected", version=manifest.version, pieces=corrected)
