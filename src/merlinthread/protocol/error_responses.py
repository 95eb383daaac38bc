"""Map each error kind to its HTTP status, outcome, retry delay and exit code."""

import dataclasses
import math

import msgspec

from merlinthread import errors

# Values of the `ran` field.
NO = "no"
YES = "yes"
UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class ErrorResponse:
    """How one kind of error is reported to clients.

    `ran` says whether the request or command took effect. `retry_after_s` is the suggested delay
    before a retry, or None if retrying the same call can't succeed. `exit_code` is the exit code
    of the command-line tool.
    """

    status: int
    ran: str
    retry_after_s: float | None
    exit_code: int


Kind = errors.ErrorKind
RESPONSES: dict[errors.ErrorKind, ErrorResponse] = {
    Kind.BAD_SETTINGS: ErrorResponse(500, NO, None, 2),
    Kind.BAD_BUNDLE: ErrorResponse(400, NO, None, 3),
    Kind.BAD_CONFIGURATION: ErrorResponse(400, NO, None, 3),
    Kind.BAD_REQUEST: ErrorResponse(400, NO, None, 2),
    Kind.BAD_SIGNATURE: ErrorResponse(403, NO, None, 4),
    Kind.UNAUTHORISED: ErrorResponse(401, NO, None, 4),
    Kind.TOO_LARGE: ErrorResponse(413, NO, None, 2),
    Kind.UNKNOWN_VERSION: ErrorResponse(404, NO, None, 5),
    Kind.UNKNOWN_ROUTE: ErrorResponse(404, NO, None, 5),
    Kind.UNKNOWN_MODEL: ErrorResponse(404, NO, None, 5),
    Kind.UNKNOWN_ACCOUNT: ErrorResponse(403, NO, None, 4),
    Kind.VERSION_CONFLICT: ErrorResponse(409, NO, None, 6),
    Kind.NOT_SIGNED: ErrorResponse(409, NO, None, 7),
    Kind.NOT_LEADER: ErrorResponse(503, NO, 0.5, 8),
    Kind.NO_MAJORITY: ErrorResponse(503, NO, 2.0, 8),
    Kind.MEMBERSHIP_CHANGE_REFUSED: ErrorResponse(409, NO, 1.0, 9),
    Kind.NOT_RUN: ErrorResponse(503, NO, 1.0, 8),
    Kind.OVERLOADED: ErrorResponse(429, NO, 1.0, 8),
    Kind.NO_TARGET: ErrorResponse(503, NO, 1.0, 8),
    Kind.HELD_BACK: ErrorResponse(503, NO, 600.0, 8),
    Kind.LEAVING: ErrorResponse(503, NO, 1.0, 8),
    Kind.DEADLINE_EXCEEDED: ErrorResponse(504, UNKNOWN, None, 10),
    Kind.OUTCOME_UNKNOWN: ErrorResponse(502, UNKNOWN, None, 10),
    Kind.KEY_REQUIRED: ErrorResponse(400, NO, None, 2),
    Kind.KEY_CONFLICT: ErrorResponse(409, NO, None, 6),
    Kind.KEY_EXPIRED: ErrorResponse(410, UNKNOWN, None, 10),
    Kind.STREAM_BROKEN: ErrorResponse(502, YES, 1.0, 10),
    Kind.ORIGIN_CHANGED: ErrorResponse(409, NO, None, 11),
    Kind.CHUNK_CORRUPT: ErrorResponse(502, NO, 1.0, 11),
    Kind.UNREACHABLE: ErrorResponse(503, UNKNOWN, 1.0, 8),
    Kind.FENCED: ErrorResponse(409, NO, None, 12),
    Kind.LOG_DAMAGED: ErrorResponse(500, NO, None, 13),
    Kind.FOLDER_IN_USE: ErrorResponse(500, NO, None, 13),
    Kind.DISK_FULL: ErrorResponse(507, NO, 10.0, 13),
    Kind.INTERNAL: ErrorResponse(500, UNKNOWN, None, 1),
}


@dataclasses.dataclass(slots=True)
class ErrorBody:
    """The JSON body of an error response."""

    error: str
    message: str
    ran: str
    field: str = ""
    retry_after_s: float | None = None
    detail: str = ""


def error_body(error: errors.MerlinthreadError) -> ErrorBody:
    """Return the response body for `error`; its own `retry_after_s` overrides the table."""
    response = RESPONSES[error.kind]
    delay_s = error.retry_after_s if error.retry_after_s is not None else response.retry_after_s
    return ErrorBody(str(error.kind), error.message, response.ran, error.field, delay_s)


def error_headers(body: ErrorBody) -> dict[str, str]:
    """Return the HTTP headers for an error body; Retry-After is in whole seconds (RFC 9110)."""
    if body.retry_after_s is None:
        return {}
    return {"Retry-After": str(max(1, math.ceil(body.retry_after_s)))}


def parse_error(data: bytes, status: int) -> errors.MerlinthreadError:
    """Parse the body of an error response.

    If it can't be parsed, return an error of kind OUTCOME_UNKNOWN.
    """
    try:
        body = msgspec.json.decode(data, type=ErrorBody)
        kind = errors.ErrorKind(body.error)
    except (msgspec.DecodeError, ValueError):
        return errors.MerlinthreadError(
            f"HTTP {status} with an unreadable error body", kind=errors.ErrorKind.OUTCOME_UNKNOWN
        )
    return errors.MerlinthreadError(
        body.message, kind=kind, field=body.field, retry_after_s=body.retry_after_s
    )
