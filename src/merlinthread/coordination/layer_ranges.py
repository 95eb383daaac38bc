"""Which layers of a model need which pieces of its weights, and which layers an engine may keep."""

import math
from collections.abc import Collection, Iterable


def layers_of(pieces: Iterable[int], piece_count: int, layer_count: int) -> set[int]:
    """Return the layers that need any of `pieces`.

    The pieces divide the weights evenly, and so do the layers; a piece on the border of two layers
    is needed by both.
    """
    layers: set[int] = set()
    for piece in pieces:
        first = piece * layer_count // piece_count
        end = math.ceil((piece + 1) * layer_count / piece_count)
        layers.update(range(first, end))
    return layers


def layers_to_keep(bad: Collection[int], layer_count: int) -> range:
    """Return the longest range of layers without a bad one.

    An engine holds at least one layer, so that it is the first one if all are bad.
    """
    best = range(0)
    start = 0
    for end in [*sorted(bad), layer_count]:
        if end - start > len(best):
            best = range(start, end)
        start = end + 1
    return best or range(1)
