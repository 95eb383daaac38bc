"""Encode and decode server-sent events of streamed responses (WHATWG HTML, section 9.2)."""

import dataclasses
from collections.abc import Iterable, Iterator

import msgspec

from merlinthread import errors
from merlinthread.protocol import error_responses

TOKEN = "token"
DONE = "done"
ERROR = "error"


@dataclasses.dataclass(slots=True)
class Event:
    """One event: its type and its data, which is one line of JSON."""

    kind: str
    data: bytes


@dataclasses.dataclass(slots=True)
class Token:
    """One generated token; `index` is its position in the whole response, from 0."""

    index: int
    text: str


@dataclasses.dataclass(slots=True)
class Done:
    """The end of a complete response.

    `tokens` is the number of tokens, `digest` that of the manifest of the weights used.
    """

    tokens: int
    digest: str
    finish_reason: str = "length"


def encode(kind: str, data: bytes) -> bytes:
    """Return the bytes of an event."""
    return b"event: " + kind.encode() + b"\ndata: " + data + b"\n\n"


def encode_error(error: errors.MerlinthreadError) -> bytes:
    """Return the event that ends a response which failed."""
    return encode(ERROR, msgspec.json.encode(error_responses.error_body(error)))


def decode(lines: Iterable[bytes]) -> Iterator[Event]:
    """Yield the events in `lines`; an incomplete last event is dropped."""
    kind = ""
    data = b""
    for line in lines:
        if line.startswith(b"event: "):
            kind = line[7:].decode("ascii", "replace")
        elif line.startswith(b"data: "):
            data = line[6:]
        elif not line and kind:
            yield Event(kind, data)
            kind, data = "", b""
