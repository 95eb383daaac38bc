"""Which versions an agent fetches, in which order, and when its engine changes over to one.

From a version's bound on, requests may begin only on that version or a newer one. A version that is
overtaken by a newer one may still serve between its own bound and that of the newer one, if the
newer one comes too late; so it is fetched on while the origin does not give the newer one.

Pure decisions: the owner tells what is held and when versions were named, and carries out what is
returned.
"""

import dataclasses
import math
from collections.abc import Sequence

# The last engines are ordered this long before the bound: requests may wait that long to begin.
CHANGE_OVER_S = 0.5
# An engine still on an old version is taken off it this long before the bound, so that nothing
# that waits there begins too late. Covers an order's way to the engine and the error in the time
# of naming (a message between regions).
FENCE_S = 0.25
# An engine can be taken off its old version only if some layer of the new one is here. If none is
# after this share of the time until the bound, the pieces of one go first.
LAYER_FIRST_SHARE = 0.5
# Pieces come unevenly: this much faster than would just do.
RATE_SPARE = 1.25
# A rate of late tells something only after a fetch has got going.
RATE_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Standing:
    """How far a version is at one agent.

    From `due_at` on (`inf` if it was never named) older versions may not begin, and from
    `usable_until` on this one may not. `rate_per_s` are the pieces a second of late, `link_per_s`
    those that the agent's link carries. `is_stalled` tells that the origin fails to give pieces
    that nobody has.
    """

    version: int
    due_at: float
    usable_until: float
    missing: int
    began_at: float
    rate_per_s: float
    link_per_s: float
    is_stalled: bool = False

    def is_whole(self) -> bool:
        """Return whether all pieces are here."""
        return self.missing == 0

    def whole_at(self, now: float) -> float:
        """Return when all pieces are expected to be here."""
        if not self.missing:
            return now
        rate = self.rate_per_s if now - self.began_at >= RATE_AFTER_S else self.link_per_s
        return now + self.missing / rate if rate > 0 else math.inf


@dataclasses.dataclass(slots=True)
class Order:
    """Let the engine take `version`: all layers, or those from `first` up to `end`."""

    version: int
    first: int = 0
    end: int | None = None


def share_needed(standing: Standing, target_at: float, now: float) -> float:
    """Return the share of the link's rate that brings a version by `target_at`, with some to spare.

    A version that was never named is wanted at once.
    """
    if math.isinf(target_at):
        return 1.0
    left_s = target_at - now
    if left_s <= 0:
        return 1.0
    return min(1.0, RATE_SPARE * standing.missing / left_s / standing.link_per_s)


def fetch_order(standings: Sequence[Standing], held: int, now: float) -> list[int]:
    """Return the versions to fetch, the most wanted first; `held` is the engine's version.

    That is the newest. While the origin fails to give it, an older one goes first that can be whole
    while it may still serve. Otherwise an older one is left: its pieces would delay the newest, and
    a version that is overtaken serves only until the newer one's bound.
    """
    newest = max(standings, key=lambda standing: standing.version)
    found = [] if newest.is_whole() else [newest.version]
    if not newest.is_stalled:
        return found
    older = [
        standing.version
        for standing in sorted(standings, key=lambda standing: -standing.version)
        if standing is not newest
        and standing.version > held
        and not standing.is_whole()
        and now + standing.missing / standing.link_per_s < standing.usable_until
    ]
    return older + found


def versions_kept(standings: Sequence[Standing], held: int, now: float) -> set[int]:
    """Return the versions whose pieces an agent keeps: at most three.

    They are the newest, the one that the engine serves, and of those between that may still serve
    the one that is nearest to whole.
    """
    newest = max(standings, key=lambda standing: standing.version)
    kept = {newest.version, held}
    between = [s for s in standings if held < s.version < newest.version and now < s.usable_until]
    if between:
        kept.add(min(between, key=lambda s: (s.missing, -s.version)).version)
    return kept


def next_order(
    standings: Sequence[Standing],
    held: int,
    held_until: float,
    is_second: bool,
    layers: tuple[int, int] | None,
    now: float,
) -> Order | None:
    """Return the order that the engine is to get now, or None.

    `held` is the version that it serves (0: none) and `held_until` the bound after which nothing
    may begin on it. Of the engines every other one, `is_second`, goes on serving until shortly
    before the bound. `layers` is the longest run of the newest version's layers that are here.
    """
    newest = max(standings, key=lambda standing: standing.version)
    candidate = best_whole(standings, newest, held, now)
    if candidate is not None and is_turn(candidate, held, is_second, now):
        return Order(candidate.version)
    if not held or now < held_until - FENCE_S:
        return None
    if candidate is not None:
        return Order(candidate.version)
    return Order(newest.version, *layers) if layers is not None else None


def best_whole(
    standings: Sequence[Standing], newest: Standing, held: int, now: float
) -> Standing | None:
    """Return the version to change over to among those that are whole, or None.

    An older one than the newest is taken only while it may serve, and only if the newest is
    expected after the older one's bound.
    """
    if newest.is_whole():
        return newest if newest.version > held else None
    for standing in sorted(standings, key=lambda standing: -standing.version):
        if standing.version <= held or not standing.is_whole() or now >= standing.usable_until:
            continue
        if not held or newest.is_stalled or newest.whole_at(now) > standing.due_at:
            return standing
    return None


def is_turn(standing: Standing, held: int, is_second: bool, now: float) -> bool:
    """Return whether an engine may change over now: at once, or as one of the second half.

    Those that serve nothing yet do not wait.
    """
    return not held or not is_second or now >= standing.due_at - CHANGE_OVER_S


def whole_layers(held: int, chunks: int, layers: int) -> tuple[int, int] | None:
    """Return the longest run of layers, as first and end, whose pieces are all in `held`.

    Layer L needs the pieces from L x chunks / layers, rounded down, to (L + 1) x chunks / layers,
    rounded up.
    """
    best: tuple[int, int] | None = None
    first = 0
    for layer in range(layers + 1):
        if layer < layers and needs(layer, chunks, layers) & ~held == 0:
            continue
        if layer > first and (best is None or layer - first > best[1] - best[0]):
            best = (first, layer)
        first = layer + 1
    return best


def nearest_layer(held: int, chunks: int, layers: int) -> int:
    """Return the pieces that the layer lacks which is nearest to complete; 0 if one is."""
    lacks = [needs(layer, chunks, layers) & ~held for layer in range(layers)]
    return min(lacks, key=int.bit_count)


def needs(layer: int, chunks: int, layers: int) -> int:
    """Return the bit set of the pieces that one layer needs."""
    start = layer * chunks // layers
    end = -(-(layer + 1) * chunks // layers)
    return (1 << end) - (1 << start)
