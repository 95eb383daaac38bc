"""Server-sent events: the lines of a streamed answer (WHATWG HTML, section 9.2)."""

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
    """One event: its kind and its data, which is one line of JSON."""

    kind: str
    data: bytes


@dataclasses.dataclass(slots=True)
class Token:
    """One generated token; `index` counts from 0 over the whole answer."""

    index: int
    text: str


@dataclasses.dataclass(slots=True)
class Done:
    """The end of a whole answer; `digest` is the manifest of the weights that gave it."""

    tokens: int
    digest: str
    finish_reason: str = "length"


def encode(kind: str, data: bytes) -> bytes:
    """Return an event's bytes."""
    return b"event: " + kind.encode() + b"\ndata: " + data + b"\n\n"


def encode_error(error: errors.MerlinthreadError) -> bytes:
    """Return the event that ends a broken answer."""
    return encode(ERROR, msgspec.json.encode(error_responses.error_body(error)))


def decode(lines: Iterable[bytes]) -> Iterator[Event]:
    """Give the events in `lines`; an unfinished last one is left out."""
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
