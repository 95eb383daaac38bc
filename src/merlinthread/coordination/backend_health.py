"""Record failures, silences, full answers and responses of back ends, and eject failing ones.

The functions change only the record of the back end. `dispatch` reads it to choose back ends.
"""

import math

from merlinthread.coordination import backend_record

EJECTION_S = 0.5
EJECTION_MAX_S = 4.0
FULL_BACKOFF_S = 0.08


def record_failure(backend: backend_record.Backend, now: float) -> None:
    """Eject a back end after a failure; the time doubles with each failure in a row."""
    ejection_s = min(EJECTION_MAX_S, EJECTION_S * 2**backend.failures)
    backend.failures += 1
    backend.ejected_until = now + ejection_s
    backend.rejected_at = now


def record_silence(backend: backend_record.Backend, now: float) -> None:
    """Eject a back end that sends nothing, with longer times as for failures in a row.

    All attempts in flight notice the same silence, which counts once.
    """
    backend.silent_at = now
    if now < backend.silent_until:
        return
    backend.silent_until = now + min(EJECTION_MAX_S, EJECTION_S * 2**backend.silences)
    backend.silences += 1


def record_continued(backend: backend_record.Backend, now: float) -> None:
    """Record that a back end sends data again after a silence, which was thus no failure."""
    backend.silences = 0
    backend.silent_at = -math.inf
    backend.silent_until = -math.inf


def record_success(backend: backend_record.Backend, response_s: float) -> None:
    """Record a complete response and its duration, and reset the failure count."""
    backend.failures = 0
    backend.silences = 0
    backend.response_time.record(response_s)
    backend.service_response_time.record(response_s)


def record_full(backend: backend_record.Backend, now: float) -> None:
    """Skip a back end for a short backoff after it reported that it is full."""
    backend.full_until = now + FULL_BACKOFF_S
    backend.rejected_at = now


def record_accepted(backend: backend_record.Backend, sent_at: float) -> None:
    """Record that a back end accepted a request that was sent at `sent_at`.

    This ends an earlier silence. Responses to requests that were sent before it do not: the back
    end may have stopped to serve others.
    """
    backend.accepted_at = max(backend.accepted_at, sent_at)
    if sent_at > backend.silent_at:
        backend.silent_until = -math.inf
