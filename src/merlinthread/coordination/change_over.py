"""When an engine leaves its old weights for new ones that lie ready beside it.

While it changes over, an engine takes no new work: it ends what runs (about a second) and loads
(0.3 s). If all did so at once, nothing would be served for that long; so they go in groups, spread
over the time from when the new weights are whole to when the old ones may no longer be used.
"""

from collections.abc import Sequence

# In the model of tests/test_change_over.py (weights whole 6.0 to 6.6 s after a naming, 0.77 of the
# engines needed) 2, 3, 4 and 6 groups lack 0.84, 0.68, 0.69 and 0.75 fleet seconds, and 0.50, 0.33,
# 0.45 and 0.38 of the engines serve at the worst moment.
GROUP_COUNT = 4
# How long before the bound of the old weights nothing is sent to them any more: a request may take
# that long on its way and at the engine before it begins (docs/incidents/0002: 0.8 and 1.5 s seen).
EXPIRY_MARGIN_S = 1.0
# From a whole copy until the engine serves with it: what runs ends (about a second), then it loads
# (0.3 s); reckoned.
RELOAD_S = 1.25
READY_STEP_S = 0.25


def group_of(me: str, engines: Sequence[tuple[str, str]]) -> int:
    """Return the group of the engine `me` among all, given as pairs of availability zone and name.

    Neighbours in the order by zone go in different groups, so that each zone keeps some that serve.
    """
    names = [name for _, name in sorted(engines)]
    return names.index(me) % GROUP_COUNT


def ready_in_s(missing: int, per_s: float, is_changing: bool) -> float | None:
    """Return when an engine without usable weights will have them, None if that is not known.

    It lacks `missing` pieces, which have come at `per_s` a second lately. The result is a multiple
    of READY_STEP_S, so that it is not told anew each time.
    """
    if is_changing:
        return RELOAD_S
    if not per_s and missing:
        return None
    fetched_in_s = missing / per_s if missing else 0.0
    return round((fetched_in_s + RELOAD_S) / READY_STEP_S) * READY_STEP_S


def reload_time(group: int, whole_at: float, bound_at: float) -> float:
    """Return when an engine of `group` changes over whose new weights were whole at `whole_at`.

    `bound_at` is when the old weights may be used no more.
    """
    span_s = max(0.0, bound_at - EXPIRY_MARGIN_S - whole_at)
    return whole_at + span_s * group / (GROUP_COUNT - 1)


# Ends of an engine during the same load that are put down to something else: engines end for many
# reasons, and each order put off is seconds in which an engine serves nothing.
LOAD_CRASHES_BEFORE_BACKOFF = 2
LOAD_RETRY_S = 2.0
LOAD_RETRY_MAX_S = 60.0


def load_retry_delay_s(ends: int) -> float:
    """Return how long to wait before weights are ordered under which an engine ended `ends` times.

    The wait doubles (as of restarts in cluster managers), so that weights that end whoever loads
    them cost an engine a restart a minute, and other versions can still come.
    """
    if ends <= LOAD_CRASHES_BEFORE_BACKOFF:
        return 0.0
    return min(LOAD_RETRY_MAX_S, LOAD_RETRY_S * 2 ** (ends - LOAD_CRASHES_BEFORE_BACKOFF - 1))
