"""Descriptions of attempts for the request log.

They show the known state of the back end when it was chosen, and the availability signals in its
response.
"""

from merlinthread.coordination import backend_record, dispatch, fleet
from merlinthread.nodes import permits


def describe_choice(
    choice: dispatch.Choice, permit: permits.Permit | None, arrived_at: float, now: float
) -> str:
    """Describe the known state of the back end that was chosen for a request."""
    backend = choice.backend
    age_ms = round(1000 * (now - backend.load_updated_at())) if backend.has_fresh_load(now) else -1
    waited_ms = round(1000 * (now - arrived_at))
    expected_ms = round(1000 * choice.first_byte_s)
    doubt = ", refused or failed its last request" if backend.is_doubtful() else ""
    doubt += ", account over its share" if choice.is_over_share else ""
    unread = round(backend.unread_tokens + (backend.others_unread_tokens or 0.0))
    return (
        f"{backend.instance} after {waited_ms} ms, load {backend.load(now):.3g}, "
        f"unread {unread}, pace {backend.pace:.2g}, age {age_ms} ms, "
        f"first byte expected in {expected_ms} ms{doubt}{describe_limit(backend, permit, now)}"
    )


def describe_limit(
    backend: backend_record.Backend, permit: permits.Permit | None, now: float
) -> str:
    """Describe a back end's rate limit and the permit used; return "" if it has no limit."""
    availability = backend.availability
    if availability.is_cold_limited(now):
        return describe_cold_limit(backend, permit, now)
    if availability.limit_per_s is None:
        return ""
    source = permit.source if permit is not None else "none"
    age_ms = round(1000 * (now - availability.limit_received_at))
    return (
        f", limit {availability.limit_per_s:g} per second received {age_ms} ms ago, "
        f"permit from {source}"
    )


def describe_cold_limit(
    backend: backend_record.Backend, permit: permits.Permit | None, now: float
) -> str:
    """Describe for how long a back end is still cold, and the permit used."""
    source = permit.source if permit is not None else "none"
    cold_s = backend.availability.cold.until - now
    return f", cold for {cold_s:.2f} s, permit from {source}"


def describe_signals(head: fleet.ResponseHead) -> str:
    """Describe the availability signals in a response."""
    parts = []
    if head.is_leaving:
        parts.append("says that it is leaving")
    if head.rest_s is not None:
        parts.append(f"asks for {head.rest_s:g} s of rest")
    if head.rest_problem:
        parts.append(f"asks for a rest with an invalid duration: {head.rest_problem}")
    if head.limit_per_s is not None:
        parts.append(f"accepts {head.limit_per_s:g} requests per second")
    if head.limit_problem:
        parts.append(f"advertises an invalid limit: {head.limit_problem}")
    if head.cold_s is not None:
        parts.append(f"says that it is cold for {head.cold_s:g} s")
    if head.cold_problem:
        parts.append(f"sends an invalid cold time: {head.cold_problem}")
    if parts and head.request_id is None:
        parts.append("without the request id")
    return ", ".join(parts)
