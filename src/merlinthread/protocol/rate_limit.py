"""Parse the rate limit that a server advertises for all of its callers together."""

import dataclasses
import re

# Signs, exponents and lists are not accepted.
DECIMAL = re.compile(rb"[0-9]{1,20}(\.[0-9]{1,20})?")


@dataclasses.dataclass(slots=True, frozen=True)
class RateLimit:
    """A parsed rate limit in requests per second, or None without a valid one.

    `problem` is the reason why a header is not valid; it is empty if there is no header.
    """

    per_s: float | None = None
    problem: str = ""


def parse(value: bytes | None) -> RateLimit:
    """Parse the value of the header.

    A limit of 0 is rejected: without any request, callers would never learn that it was lifted.
    """
    if value is None:
        return RateLimit()
    text = value.strip()
    if not DECIMAL.fullmatch(text):
        return RateLimit(problem="not a decimal number")
    per_s = float(text)
    if per_s <= 0:
        return RateLimit(problem="a limit of 0")
    return RateLimit(per_s)
