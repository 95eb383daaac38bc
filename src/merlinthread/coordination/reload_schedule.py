"""Schedule of the reloads by which engines replace their weights.

An engine accepts no requests while it drains and loads. To keep part of the fleet serving, engines
reload in groups, spread from the time when the new weights are complete to the time when the old
ones expire.
"""

from collections.abc import Sequence

from merlinthread.coordination import backend_record

# With more groups, several are out of service at once if the new weights are complete late.
GROUP_COUNT = 2
# A request starts within this time of being sent, unless its engine is slow or silent.
START_TIME_S = 0.3
# Old weights get no requests this long before they expire: an engine that falls silent before it
# starts a request starts it afterwards, even if the connection has been closed meanwhile.
EXPIRY_MARGIN_S = backend_record.SOUND_SILENCE_S + START_TIME_S
# For this long before that, only back ends that are expected to start requests at once get any.
EXPIRES_SOON_S = 1.5
# Time to drain the engine (about a second) and load the new weights (0.3 s).
RELOAD_S = 1.25
READY_ROUNDING_S = 0.25


def group_of(own_name: str, engines: Sequence[tuple[str, str]]) -> int:
    """Return the reload group of the engine `own_name`.

    `engines` are pairs of availability zone and name. Engines are assigned to groups round-robin in
    sorted order, so that the groups are spread over each zone.
    """
    names = [name for _, name in sorted(engines)]
    return names.index(own_name) % GROUP_COUNT


def ready_in_s(missing: int, per_s: float, is_reloading: bool) -> float | None:
    """Estimate the seconds until an engine without usable weights serves; None if unknown.

    `missing` is the number of pieces left to fetch, `per_s` the recent rate in pieces per second.
    The estimate is rounded to a multiple of READY_ROUNDING_S, so that it changes rarely.
    """
    if is_reloading:
        return RELOAD_S
    if not per_s and missing:
        return None
    fetched_in_s = missing / per_s if missing else 0.0
    return round((fetched_in_s + RELOAD_S) / READY_ROUNDING_S) * READY_ROUNDING_S


def is_too_slow_to_start(expires_at: float, transfer_s: float, now: float) -> bool:
    """Return whether a request sent now might start after the engine's old weights have expired.

    `transfer_s` is how long the last piece took to arrive: pieces and requests share the link of
    the engine's VM, and several pieces may be on their way ahead of a request.
    """
    return now >= expires_at - EXPIRY_MARGIN_S - EXPIRES_SOON_S and transfer_s > START_TIME_S


def reload_time(group: int, complete_at: float, expires_at: float) -> float:
    """Return when an engine of `group` starts to reload.

    `complete_at` is when its new weights were complete, `expires_at` when the old ones expire.
    """
    window_s = max(0.0, expires_at - EXPIRY_MARGIN_S - complete_at)
    return complete_at + window_s * group / (GROUP_COUNT - 1)


# Crashes during a load that are attributed to other causes than the weights. Engines crash for many
# reasons, and each postponed load is time in which an engine serves nothing.
LOAD_CRASHES_BEFORE_BACKOFF = 2
LOAD_RETRY_S = 2.0
LOAD_RETRY_MAX_S = 60.0


def load_retry_delay_s(crashes: int) -> float:
    """Return the delay before the next attempt to load weights, after `crashes` failed ones.

    Exponential backoff, starting after LOAD_CRASHES_BEFORE_BACKOFF crashes.
    """
    if crashes <= LOAD_CRASHES_BEFORE_BACKOFF:
        return 0.0
    return min(LOAD_RETRY_MAX_S, LOAD_RETRY_S * 2 ** (crashes - LOAD_CRASHES_BEFORE_BACKOFF - 1))
