"""HTTP requests and responses as data classes, and helpers for their headers."""

import dataclasses

from merlinthread.transport import body_blocks

Headers = list[tuple[bytes, bytes]]

HEADER_BYTES_DEFAULT = 16 * 1024
BODY_BYTES_DEFAULT = 4 * 1024 * 1024
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


@dataclasses.dataclass(slots=True)
class Limits:
    """Size limits, in bytes, and timeouts, in seconds, that a server enforces on its clients."""

    header_bytes: int = HEADER_BYTES_DEFAULT
    body_bytes: int = BODY_BYTES_DEFAULT
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request; `target` is the request target as sent: path and query string."""

    method: bytes
    target: bytes
    headers: Headers
    body: body_blocks.Body = b""


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: body_blocks.Body = b""


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the header `name`, or None; `name` must be lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return `headers` without the hop-by-hop ones (RFC 9110, section 7.6.1)."""
    connection_options = get_header(headers, b"connection") or b""
    hop_by_hop = HOP_BY_HOP_HEADERS | {
        option.strip().lower() for option in connection_options.split(b",")
    }
    return [(key, value) for key, value in headers if key.lower() not in hop_by_hop]
