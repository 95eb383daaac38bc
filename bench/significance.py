"""Significance test on paired score differences between two policies."""

import dataclasses
import math
import statistics
from collections.abc import Sequence

# Half the width of the confidence interval, in standard errors; about 95 % with ten pairs.
STANDARD_ERRORS = 2.0
# The standard deviation of fewer pairs is too uncertain.
PAIRS_MIN = 3
# A smaller difference of scores is irrelevant even if it is significant.
DIFFERENCE_MIN = 0.002


@dataclasses.dataclass(slots=True, frozen=True)
class SignificanceResult:
    """Result of the test; the fields are keys of the JSON output.

    `spread` is the standard deviation of the differences. `more` is the number of further pairs
    needed to make a difference of this mean significant, 0 if it is significant.
    """

    word: str
    pairs: int
    mean: float
    spread: float
    more: int


def evaluate(differences: Sequence[float]) -> SignificanceResult:
    """Test the differences of a policy's scores and those of the baseline on the same days."""
    pairs = len(differences)
    if pairs < PAIRS_MIN:
        mean = statistics.fmean(differences) if differences else 0.0
        return SignificanceResult("not told apart", pairs, mean, 0.0, PAIRS_MIN - pairs)
    mean = statistics.fmean(differences)
    spread = statistics.stdev(differences)
    standard_error = spread / math.sqrt(pairs)
    if abs(mean) > STANDARD_ERRORS * standard_error and abs(mean) >= DIFFERENCE_MIN:
        return SignificanceResult("better" if mean > 0 else "worse", pairs, mean, spread, 0)
    relevant_difference = max(abs(mean), DIFFERENCE_MIN)
    pairs_needed = math.ceil((STANDARD_ERRORS * spread / relevant_difference) ** 2)
    return SignificanceResult("not told apart", pairs, mean, spread, max(0, pairs_needed - pairs))
