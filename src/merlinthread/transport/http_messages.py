"""HTTP requests and answers as values, and what their headers say of connections."""

import dataclasses

Headers = list[tuple[bytes, bytes]]

HEADER_BYTES_DEFAULT = 16 * 1024
BODY_BYTES_DEFAULT = 4 * 1024 * 1024
CONNECTION_HEADERS = frozenset(
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
    """What a client may send and how long it may take; bytes and seconds."""

    header_bytes: int = HEADER_BYTES_DEFAULT
    body_bytes: int = BODY_BYTES_DEFAULT
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request; `target` is the path with its query as it was sent."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Response:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes = b""


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of `name` (lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection (RFC 9110, section 7.6.1)."""
    named = get_header(headers, b"connection") or b""
    dropped = CONNECTION_HEADERS | {part.strip().lower() for part in named.split(b",")}
    return [(key, value) for key, value in headers if key.lower() not in dropped]
