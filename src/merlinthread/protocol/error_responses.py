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
class Answer:
    """How one kind of error is reported to clients.

    `ran` says whether the request or command took effect. `retry_after_s` is the suggested delay
    before a retry, or None if retrying the same call can't succeed. `exit_code` is the exit code
    of the command-line tool.
    """

    status: int
    ran: str
    retry_after_s: float | None
    exit_code: int


K = errors.ErrorKind
RESPONSES: dict[errors.ErrorKind, Answer] = {
    K.BAD_SETTINGS: Answer(500, NO, None, 2),
    K.BAD_BUNDLE: Answer(400, NO, None, 3),
    K.BAD_CONFIGURATION: Answer(400, NO, None, 3),
    K.BAD_REQUEST: Answer(400, NO, None, 2),
    K.BAD_SIGNATURE: Answer(403, NO, None, 4),
    K.UNAUTHORISED: Answer(401, NO, None, 4),
    K.TOO_LARGE: Answer(413, NO, None, 2),
    K.UNKNOWN_VERSION: Answer(404, NO, None, 5),
    K.UNKNOWN_ROUTE: Answer(404, NO, None, 5),
    K.UNKNOWN_MODEL: Answer(404, NO, None, 5),
    K.UNKNOWN_ACCOUNT: Answer(403, NO, None, 4),
    K.VERSION_CONFLICT: Answer(409, NO, None, 6),
    K.NOT_SIGNED: Answer(409, NO, None, 7),
    K.NOT_LEADER: Answer(503, NO, 0.5, 8),
    K.NO_MAJORITY: Answer(503, NO, 2.0, 8),
    K.MEMBERSHIP_CHANGE_REFUSED: Answer(409, NO, 1.0, 9),
    K.NOT_RUN: Answer(503, NO, 1.0, 8),
    K.OVERLOADED: Answer(429, NO, 1.0, 8),
    K.NO_TARGET: Answer(503, NO, 1.0, 8),
    K.HELD_BACK: Answer(503, NO, 600.0, 8),
    K.LEAVING: Answer(503, NO, 1.0, 8),
    K.DEADLINE_EXCEEDED: Answer(504, UNKNOWN, None, 10),
    K.OUTCOME_UNKNOWN: Answer(502, UNKNOWN, None, 10),
    K.KEY_REQUIRED: Answer(400, NO, None, 2),
    K.KEY_CONFLICT: Answer(409, NO, None, 6),
    K.KEY_EXPIRED: Answer(410, UNKNOWN, None, 10),
    K.STREAM_BROKEN: Answer(502, YES, 1.0, 10),
    K.ORIGIN_CHANGED: Answer(409, NO, None, 11),
    K.CHUNK_CORRUPT: Answer(502, NO, 1.0, 11),
    K.UNREACHABLE: Answer(503, UNKNOWN, 1.0, 8),
    K.FENCED: Answer(409, NO, None, 12),
    K.LOG_DAMAGED: Answer(500, NO, None, 13),
    K.FOLDER_IN_USE: Answer(500, NO, None, 13),
    K.DISK_FULL: Answer(507, NO, 10.0, 13),
    K.INTERNAL: Answer(500, UNKNOWN, None, 1),
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
