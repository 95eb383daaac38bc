"""Whether the pieces that an engine took in its loads of weights are known to have been right.

A load is proven if each piece was found right shortly before the engine took it, or after the load:
a bad piece stays bad until it is staged again. Until then, no entry may use the new weights, also
once newer ones are wanted. Nor may it use weights that the engine took without an order of this
process: those who ordered them may have ended before they proved the load.
"""

import dataclasses
from collections.abc import Collection, Sequence

from merlinthread.coordination import fleet, layer_ranges

# A load is proven by pieces that were found right at most this long before its end. Weights that
# turned bad within 3 s before they are taken are tolerated; the rest is a margin.
PROOF_AGE_MAX_S = 2.0


Key = tuple[str, int]


@dataclasses.dataclass(slots=True)
class UnprovenLoad:
    """A load in which the engine may have taken bad pieces.

    `pieces` are to be read back after the load, all if it is None; `bad_layers` must be loaded
    again. `is_own` is set if this process ordered it.
    """

    model: str
    version: int
    pieces: Sequence[int] | None
    bad_layers: set[int]
    is_own: bool = True

    def is_of(self, version: fleet.Weights | fleet.Manifest) -> bool:
        """Return whether the load is one of the same version."""
        return key_of(version) == (self.model, self.version)


def key_of(version: fleet.Weights | fleet.Manifest) -> Key:
    """Return the model and the version of weights or of their manifest."""
    return version.model, version.version


class LoadProof:
    """The unproven loads of one engine, by version.

    `known` are the versions that the engine held at its first report, or took by an order of this
    process; None before the first report.
    """

    def __init__(self) -> None:
        self.loads: dict[Key, UnprovenLoad] = {}
        self.known: set[Key] | None = None
        # The version of the last order, and its load before that.
        self.last: Key = ("", 0)
        self.before: UnprovenLoad | None = None

    @property
    def unproven(self) -> UnprovenLoad | None:
        """Return the load of the last order, or None if it is proven."""
        return self.loads.get(self.last)

    def proven_weights(self, report: fleet.EngineReport) -> list[fleet.Weights]:
        """Return the weights that an engine reports, without those of unproven loads."""
        return [weights for weights in report.weights if key_of(weights) not in self.loads]

    def report_for_entries(self, report: fleet.EngineReport) -> fleet.EngineReport:
        """Return the report to send to entries: an unproven load counts as not finished."""
        proven = self.proven_weights(report)
        if proven == report.weights:
            return report
        return dataclasses.replace(report, weights=proven, is_busy=True)

    def observe(self, report: fleet.EngineReport, managed_model: str) -> list[Key]:
        """Record a report; return the versions that the engine took without an order.

        Only those of `managed_model` are, as its weights are loaded by orders of its agent alone.
        """
        reported = {key_of(weights) for weights in report.weights}
        if self.known is None:
            self.known = reported
            return []
        foreign = [
            key
            for key in sorted(reported - self.known - self.loads.keys())
            if key[0] == managed_model and key[1]
        ]
        for key in foreign:
            self.loads[key] = UnprovenLoad(*key, None, set(), is_own=False)
        self.known |= reported
        self.discard_replaced(reported)
        return foreign

    def discard_replaced(self, reported: Collection[Key]) -> None:
        """Discard loads of versions that the engine has replaced by newer ones."""
        newest = {model: version for model, version in sorted(reported)}
        for key in [key for key in self.loads if key[1] < newest.get(key[0], 0)]:
            del self.loads[key]

    def record_engine_end(self) -> None:
        """Record that the engine's process has ended; the next one is told apart by its reports."""
        self.known = None

    # Orders to load

    def begin(self, manifest: fleet.Manifest, held: Collection[fleet.Weights]) -> None:
        """Begin a load by an engine that has loaded `held`.

        It is unproven from now on, as the engine may report the version before its response.
        """
        self.last = key_of(manifest)
        self.before = self.loads.get(self.last)
        pieces = range(len(manifest.digests))
        bad_layers = self.kept_bad_layers(manifest, held)
        self.loads[self.last] = UnprovenLoad(*self.last, pieces, bad_layers)

    def kept_bad_layers(
        self, manifest: fleet.Manifest, held: Collection[fleet.Weights]
    ) -> set[int]:
        """Return the bad layers that an engine keeps that has loaded `held`."""
        load = self.loads.get(key_of(manifest))
        if load is None:
            return set()
        keeps_layers = any(load.is_of(weights) and weights.layers != 0 for weights in held)
        return load.bad_layers if keeps_layers else set()

    def cancel(self) -> None:
        """Return to the state before `begin`: the engine has not accepted the load."""
        self.loads.pop(self.last, None)
        if self.before is not None:
            self.loads[self.last] = self.before

    def accept(self, old_pieces: Sequence[int]) -> None:
        """Record that the engine has taken the order; `old_pieces` may have been bad then."""
        if self.known is not None:
            self.known.add(self.last)
        load = self.unproven
        if load is None:
            return
        load.pieces = old_pieces
        if not old_pieces and not load.bad_layers:
            del self.loads[self.last]

    # Proof after a load

    def pieces_to_verify(self, manifest: fleet.Manifest) -> Sequence[int]:
        """Return the pieces whose verification now would prove a load of the manifest's version."""
        load = self.loads.get(key_of(manifest))
        if load is None or load.bad_layers:
            return []
        return load.pieces if load.pieces is not None else range(len(manifest.digests))

    def is_foreign(self, manifest: fleet.Manifest) -> bool:
        """Return whether the manifest's version was loaded without an order of this process."""
        load = self.loads.get(key_of(manifest))
        return load is not None and not load.is_own

    def is_proven(self, manifest: fleet.Manifest) -> bool:
        """Return whether no load of the manifest's version is unproven."""
        return key_of(manifest) not in self.loads

    def record_verified(self, manifest: fleet.Manifest, bad: Sequence[int]) -> None:
        """Record a verification of `pieces_to_verify` after the load, which found `bad` pieces."""
        load = self.loads.get(key_of(manifest))
        if load is None:
            return
        load.bad_layers = layer_ranges.layers_of(bad, len(manifest.digests), manifest.layers)
        if not bad:
            del self.loads[key_of(manifest)]

    def layers_to_keep(self, manifest: fleet.Manifest) -> range | None:
        """Return the layers that remain when bad ones are given up, or None if none is bad."""
        load = self.loads.get(key_of(manifest))
        if load is None or not load.bad_layers:
            return None
        return layer_ranges.layers_to_keep(load.bad_layers, manifest.layers)

    def discard(self, manifest: fleet.Manifest, kept: range) -> None:
        """Record that the engine has given up all layers of a version but `kept`."""
        load = self.loads.get(key_of(manifest))
        if load is not None:
            load.bad_layers &= set(kept)
