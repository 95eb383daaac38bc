"""What paired differences between two ways tell: which one is better, or how many more it takes."""

import dataclasses
import math
import statistics
from collections.abc import Sequence

# Two standard errors: about 19 of 20 such intervals hold the true mean where there are ten pairs.
ERRORS = 2.0
# Fewer pairs give no spread worth the name.
LEAST_PAIRS = 3
# A smaller difference is not worth a line of code, however sure it is (worth a day).
LEAST_DIFFERENCE = 0.002


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """The mean of the paired differences, its spread, and what it tells.

    `spread` is the standard deviation of single differences; `more` is how many further pairs it
    would take to tell a difference of this mean, 0 if it is told.
    """

    word: str
    pairs: int
    mean: float
    spread: float
    more: int


def judge(differences: Sequence[float]) -> Verdict:
    """Return the verdict on differences of a way against the standing one, on the same days."""
    pairs = len(differences)
    if pairs < LEAST_PAIRS:
        mean = statistics.fmean(differences) if differences else 0.0
        return Verdict("not told apart", pairs, mean, 0.0, LEAST_PAIRS - pairs)
    mean = statistics.fmean(differences)
    spread = statistics.stdev(differences)
    error = spread / math.sqrt(pairs)
    if abs(mean) > ERRORS * error and abs(mean) >= LEAST_DIFFERENCE:
        return Verdict("better" if mean > 0 else "worse", pairs, mean, spread, 0)
    worth_telling = max(abs(mean), LEAST_DIFFERENCE)
    needed = math.ceil((ERRORS * spread / worth_telling) ** 2)
    return Verdict("not told apart", pairs, mean, spread, max(0, needed - pairs))
