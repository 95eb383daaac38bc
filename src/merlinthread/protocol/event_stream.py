"""Split the bytes of an event stream into events, unmodified (WHATWG HTML, section 9.2)."""

import dataclasses
import re

from merlinthread import errors

EVENT_BYTES_MAX = 1024 * 1024
# A longer id cannot be sent back in Last-Event-ID: servers accept heads of 8 or 16 KiB.
EVENT_ID_BYTES_MAX = 8 * 1024
# Bytes that no header may contain (RFC 9110, section 5.5).
CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


@dataclasses.dataclass(slots=True)
class RawEvent:
    """The bytes of one event and its id, which is empty if there is none."""

    data: bytes
    event_id: str


class EventSplitter:
    """Buffers bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that `data` completes; blank lines alone are no event.

        Raises ProtocolError if the incomplete event exceeds EVENT_BYTES_MAX, or if the id of a
        complete one cannot be sent back.
        """
        if self.buffer:
            # Only the new bytes are searched, so that an event in many parts takes linear time.
            search_from = len(self.buffer) - 1
            self.buffer += data
            if self.buffer.find(b"\n\n", search_from) < 0:
                self.check_size()
                return []
            data = bytes(self.buffer)
        *complete, rest = data.split(b"\n\n")
        if rest or self.buffer:
            self.buffer = bytearray(rest)
            self.check_size()
        return [RawEvent(text + b"\n\n", parse_event_id(text)) for text in complete if text]

    def check_size(self) -> None:
        """Raise ProtocolError if the incomplete event is too long."""
        if len(self.buffer) > EVENT_BYTES_MAX:
            raise errors.ProtocolError(f"an event is longer than {EVENT_BYTES_MAX} bytes")


def parse_event_id(text: bytes) -> str:
    """Return the id of an event, or an empty string if it has none.

    It is decoded as Latin-1, as headers are, so that the back end gets the same bytes in
    Last-Event-ID. Raises ProtocolError if no header can contain it.
    """
    for line in text.split(b"\n"):
        if line.startswith(b"id:"):
            event_id = line[3:].strip()
            check_event_id(event_id)
            return event_id.decode("latin-1")
    return ""


def check_event_id(event_id: bytes) -> None:
    """Raise ProtocolError if a stream cannot be resumed after an id.

    Such an event is not relayed: the stream is resumed after the one before it instead.
    """
    if len(event_id) > EVENT_ID_BYTES_MAX:
        raise errors.ProtocolError(
            f"the id of an event is longer than {EVENT_ID_BYTES_MAX} bytes", field="id"
        )
    if CONTROL_BYTES.search(event_id):
        raise errors.ProtocolError(
            f"the id of an event contains control characters: {event_id[:80]!r}", field="id"
        )


def is_after(event_id: str, last: str) -> bool:
    """Return whether an event follows the one with id `last`.

    Ids that are not decimal numbers always do.
    """
    if not is_number(last) or not is_number(event_id):
        return True
    return number_key(event_id) > number_key(last)


def is_number(event_id: str) -> bool:
    """Return whether an id is a decimal number; digits of other scripts, such as "²", are not."""
    return event_id.isascii() and event_id.isdecimal()


def number_key(event_id: str) -> tuple[int, str]:
    """Return a key that sorts ids as numbers.

    `int` raises an error for more than 4,300 digits, and takes quadratic time.
    """
    digits = event_id.lstrip("0")
    return len(digits), digits
