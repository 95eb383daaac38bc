"""What the log says of an attempt: what was believed of its back end, what that said of itself."""

from merlinthread.coordination import backend_record, dispatch, fleet
from merlinthread.nodes import permits


def belief(
    choice: dispatch.Choice, permit: permits.Permit | None, arrived: float, now: float
) -> str:
    """Return what is believed of a back end for a request that arrived at `arrived`."""
    backend = choice.backend
    age_ms = round(1000 * (now - backend.load_updated_at())) if backend.has_fresh_load(now) else -1
    waited_ms = round(1000 * (now - arrived))
    expected_ms = round(1000 * choice.first_byte_s)
    unread = round(backend.unread_tokens + (backend.others_unread_tokens or 0.0))
    return (
        f"{backend.instance} after {waited_ms} ms, load {backend.load(now)}, "
        f"unread {unread}, pace {backend.pace:.2g}, age {age_ms} ms, "
        f"first byte expected in {expected_ms} ms{belief_of_limit(backend, permit, now)}"
    )


def belief_of_limit(
    backend: backend_record.Backend, permit: permits.Permit | None, now: float
) -> str:
    """Return what is believed of a back end's limit, empty if it named none."""
    availability = backend.availability
    if availability.limit_per_s is None:
        return ""
    told_by = permit.told_by if permit is not None else "nobody"
    heard_ms = round(1000 * (now - availability.limit_heard_at))
    return (
        f", limit {availability.limit_per_s:g} a second heard {heard_ms} ms ago, "
        f"permit by {told_by}"
    )


def told_of_itself(facts: fleet.ResponseHead) -> str:
    """Return what an answer says of the back end that gave it."""
    parts = []
    if facts.is_leaving:
        parts.append("says that it leaves")
    if facts.rest_s is not None:
        parts.append(f"asks for {facts.rest_s:g} s of rest")
    if facts.rest_problem:
        parts.append(f"asks for a rest that can't be obeyed: {facts.rest_problem}")
    if facts.limit_per_s is not None:
        parts.append(f"takes {facts.limit_per_s:g} requests a second")
    if facts.limit_problem:
        parts.append(f"names a limit that can't be obeyed: {facts.limit_problem}")
    if parts and facts.request_id is None:
        parts.append("without the request's id")
    return ", ".join(parts)
