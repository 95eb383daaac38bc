"""Limits of the expected wait up to which an entry admits a request."""

from merlinthread.coordination import dispatch

# Share of the wait limit that requests of an account over its share may use. The rest is kept for
# the others. In trials with six engines, the share 0.5 cost the other accounts 0.02 of their
# requests beside one account at ten times its rate, and 0.25 less than 0.01.
OVER_SHARE_WAIT_SHARE = 0.25


def wait_limit_s(remaining_s: float, is_over_share: bool) -> float:
    """Return the longest expected wait with which a request is admitted, in seconds.

    `remaining_s` is the time in which its first byte is due. The limit is reduced for an account
    over its share, so that its requests are refused before any others have to be. An expected wait
    includes a latency that is no queueing, of which nothing is deducted.
    """
    queueing_s = remaining_s - dispatch.BASE_LATENCY_S
    if not is_over_share or queueing_s <= 0:
        return remaining_s
    return dispatch.BASE_LATENCY_S + OVER_SHARE_WAIT_SHARE * queueing_s
