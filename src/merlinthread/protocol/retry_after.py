"""Parse the Retry-After header of HTTP responses (RFC 9110, section 10.2.3)."""

import dataclasses
import datetime
import email.utils
import re

HEADER = b"retry-after"
DATE_HEADER = b"date"
# One day; a longer delay is treated as a mistake of the server.
DELAY_MAX_S = 86_400.0
# Allows fractions, which are not in the RFC but sent by some servers.
DELAY_SECONDS = re.compile(rb"[0-9]{1,20}(\.[0-9]{1,20})?")


@dataclasses.dataclass(slots=True, frozen=True)
class RetryAfter:
    """A parsed delay in seconds, or None without a valid one.

    `problem` is the reason why a header is not valid; it is empty if there is no header.
    """

    seconds: float | None = None
    problem: str = ""


def parse(value: bytes | None, date: bytes | None = None) -> RetryAfter:
    """Parse the value of the header; `date` is the Date header of the same response.

    An HTTP date is converted to a delay relative to `date`, so that the result does not depend on
    the local clock; without `date` it is rejected.
    """
    if value is None:
        return RetryAfter()
    text = value.strip()
    if DELAY_SECONDS.fullmatch(text):
        return check_delay(float(text))
    retry_at = parse_http_date(text)
    if retry_at is None:
        return RetryAfter(problem="neither a number of seconds nor a date")
    response_date = parse_http_date((date or b"").strip())
    if response_date is None:
        return RetryAfter(problem="an HTTP date in a response without a valid Date header")
    return check_delay(max(0.0, (retry_at - response_date).total_seconds()))


def check_delay(seconds: float) -> RetryAfter:
    """Return the delay, or a problem if it exceeds DELAY_MAX_S."""
    if seconds > DELAY_MAX_S:
        return RetryAfter(problem=f"more than {DELAY_MAX_S:.0f} s")
    return RetryAfter(seconds)


def parse_http_date(text: bytes) -> datetime.datetime | None:
    """Parse an HTTP date; return None if it is malformed."""
    if not text.endswith(b"GMT"):
        return None
    try:
        return email.utils.parsedate_to_datetime(text.decode("latin-1"))
    except (TypeError, ValueError):
        return None
