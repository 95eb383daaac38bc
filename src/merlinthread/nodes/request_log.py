"""The log line of a request."""

import dataclasses

from merlinthread import logs, metrics
from merlinthread.coordination import admission, fleet
from merlinthread.nodes import attempt_history, request_context


@dataclasses.dataclass(slots=True, frozen=True)
class RequestRecord:
    """What is logged of a request besides its outcome.

    `call`, `context` and `terms` are None if the request was refused before they were known.
    """

    call: fleet.RequestHead | None
    context: request_context.RequestContext | None
    terms: admission.Terms | None
    service: str
    zone: str
    configuration: int
    history: attempt_history.AttemptHistory
    retry_waits_s: list[float]
    refusal: str
    arrived_at: float
    first_event_at: float | None


def log_outcome(record: RequestRecord, outcome: str, status: int, now: float) -> None:
    """Log the outcome of a request with a description of each attempt."""
    route = record.context.route if record.context else None
    regions = record.context.allowed_regions() if record.context else None
    metrics.requests_total.labels(route.kind if route else "unknown", outcome).inc()
    logs.event(
        "request",
        request=record.call.request_id if record.call else "",
        outcome=outcome,
        status=status,
        route=route.name if route else "",
        configuration=record.configuration,
        service=record.service,
        allowed_regions=None if regions is None else sorted(regions),
        **describe_load(record),
        sent=record.history.sent_count(),
        ms=round(1000 * (now - record.arrived_at)),
        first_ms=(
            round(1000 * (record.first_event_at - record.arrived_at))
            if record.first_event_at
            else None
        ),
        retry_waits_ms=[round(1000 * wait_s) for wait_s in record.retry_waits_s],
        attempts=describe_attempts(record),
    )


def describe_load(record: RequestRecord) -> dict[str, object]:
    """Return the log fields by which `merlinthread losses` reports overloaded seconds."""
    fields: dict[str, object] = {"zone": record.zone}
    if record.context is not None:
        account = record.context.account
        fields |= {
            "account": account.name if account is not None else "",
            "urgency": record.context.urgency,
            "objective_ms": round(1000 * record.context.route.objective_s),
            "prompt_tokens": record.context.call.prompt_tokens,
            "response_tokens_max": record.context.call.response_tokens,
            "is_client_retry": record.terms is not None and record.terms.is_last_try,
        }
    return fields


def describe_attempts(record: RequestRecord) -> list[str]:
    """Return a description of each attempt, and the reason if the request was refused."""
    described = [attempt.describe() for attempt in record.history.started]
    return [*described, record.refusal] if record.refusal else described
