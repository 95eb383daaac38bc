"""How long a server asks to be left alone: the field `Retry-After` (RFC 9110, section 10.2.3)."""

import dataclasses
import datetime
import email.utils
import re

HEADER = b"retry-after"
DATE_HEADER = b"date"
# A server that means more is put out of use by its operator, not by this field: what is longer is
# taken for a fault of whoever wrote it. One day, in seconds.
MAX_DELAY_S = 86_400.0
# The RFC's digits, with fractions, which some servers send.
SECONDS = re.compile(rb"[0-9]{1,20}(\.[0-9]{1,20})?")


@dataclasses.dataclass(slots=True, frozen=True)
class RetryAfter:
    """What the field says: `seconds` to wait, None if it says nothing that can be obeyed.

    `problem` tells why not; it is empty where there is no such field.
    """

    seconds: float | None = None
    problem: str = ""


def parse(value: bytes | None, date: bytes | None = None) -> RetryAfter:
    """Read the field; `date` is the answer's own field `Date`.

    A time of day is measured from the answer's own date, so that no clock but the server's counts;
    without one it is not obeyed.
    """
    if value is None:
        return RetryAfter()
    text = value.strip()
    if SECONDS.fullmatch(text):
        return checked(float(text))
    at = time_of_day(text)
    if at is None:
        return RetryAfter(problem="neither a number of seconds nor a date")
    written_at = time_of_day((date or b"").strip())
    if written_at is None:
        return RetryAfter(problem="a date in an answer that has no date itself")
    return checked(max(0.0, (at - written_at).total_seconds()))


def checked(seconds: float) -> RetryAfter:
    """Return a time that is meant, or none."""
    if seconds > MAX_DELAY_S:
        return RetryAfter(problem=f"more than {MAX_DELAY_S:.0f} s")
    return RetryAfter(seconds)


def time_of_day(text: bytes) -> datetime.datetime | None:
    """Return a date as HTTP writes it, None if it is none."""
    if not text.endswith(b"GMT"):
        return None
    try:
        return email.utils.parsedate_to_datetime(text.decode("latin-1"))
    except (TypeError, ValueError):
        return None
