"""Whether the pieces that an engine took in its last load of weights are known to have been right.

A load is proven if each piece was found right shortly before the engine took it, or after the load:
a bad piece stays bad until it is staged again. Until then, no entry may use the new weights.
"""

import dataclasses
from collections.abc import Collection, Sequence

from merlinthread.coordination import fleet, layer_ranges

# A load is proven by pieces that were found right at most this long before the engine's response.
# Weights that turned bad within 3 s before they are taken are tolerated; the rest is a margin.
PROOF_AGE_MAX_S = 2.0


@dataclasses.dataclass(slots=True)
class UnprovenLoad:
    """A load in which the engine may have taken bad pieces.

    `pieces` are to be read back after the load; `bad_layers` must be loaded again.
    """

    model: str
    version: int
    pieces: Sequence[int]
    bad_layers: set[int]

    def is_of(self, version: fleet.Weights | fleet.Manifest) -> bool:
        """Return whether the load is one of the same version."""
        return (version.model, version.version) == (self.model, self.version)


class LoadProof:
    """The state of the last load of one engine; `unproven` is None if it is proven."""

    def __init__(self) -> None:
        self.unproven: UnprovenLoad | None = None
        self.before: UnprovenLoad | None = None

    def proven_weights(self, report: fleet.EngineReport) -> list[fleet.Weights]:
        """Return the weights that an engine reports, without those of an unproven load."""
        unproven = self.unproven
        if unproven is None:
            return report.weights
        return [weights for weights in report.weights if not unproven.is_of(weights)]

    def report_for_entries(self, report: fleet.EngineReport) -> fleet.EngineReport:
        """Return the report to send to entries: an unproven load counts as not finished."""
        proven = self.proven_weights(report)
        if proven == report.weights:
            return report
        return dataclasses.replace(report, weights=proven, is_busy=True)

    # Orders to load

    def begin(self, manifest: fleet.Manifest, held: Collection[fleet.Weights]) -> None:
        """Begin a load by an engine that has loaded `held`.

        It is unproven from now on, as the engine may report the version before its response.
        """
        self.before = self.unproven
        pieces = range(len(manifest.digests))
        bad_layers = self.kept_bad_layers(manifest, held)
        self.unproven = UnprovenLoad(manifest.model, manifest.version, pieces, bad_layers)

    def kept_bad_layers(
        self, manifest: fleet.Manifest, held: Collection[fleet.Weights]
    ) -> set[int]:
        """Return the bad layers that an engine keeps that has loaded `held`."""
        load = self.unproven
        if load is None or not load.is_of(manifest):
            return set()
        keeps_layers = any(load.is_of(weights) and weights.layers != 0 for weights in held)
        return load.bad_layers if keeps_layers else set()

    def cancel(self) -> None:
        """Return to the state before `begin`: the engine has not accepted the load."""
        self.unproven = self.before

    def accept(self, old_pieces: Sequence[int]) -> None:
        """Record that the engine took the pieces; `old_pieces` were not found right just before."""
        if self.unproven is None:
            return
        self.unproven.pieces = old_pieces
        if not old_pieces and not self.unproven.bad_layers:
            self.unproven = None

    # Proof after a load

    def pieces_to_verify(self, manifest: fleet.Manifest) -> Sequence[int]:
        """Return the pieces whose verification now would prove a load of the manifest's version."""
        load = self.unproven
        if load is None or load.bad_layers or not load.is_of(manifest):
            return []
        return load.pieces

    def record_verified(self, manifest: fleet.Manifest, bad: Sequence[int]) -> None:
        """Record a verification of `pieces_to_verify` after the load, which found `bad` pieces."""
        if self.unproven is None:
            return
        self.unproven.bad_layers = layer_ranges.layers_of(
            bad, len(manifest.digests), manifest.layers
        )
        if not bad:
            self.unproven = None

    def layers_to_keep(self, manifest: fleet.Manifest) -> range | None:
        """Return the layers that remain when bad ones are given up, or None if none is bad."""
        load = self.unproven
        if load is None or not load.bad_layers or not load.is_of(manifest):
            return None
        return layer_ranges.layers_to_keep(load.bad_layers, manifest.layers)

    def discard(self, kept: range) -> None:
        """Record that the engine has given up all layers but `kept`."""
        if self.unproven is not None:
            self.unproven.bad_layers &= set(kept)
