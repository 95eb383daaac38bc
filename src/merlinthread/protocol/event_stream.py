"""Whole events out of the bytes of an event stream (WHATWG HTML, section 9.2), unchanged."""

import dataclasses

from merlinthread import errors

EVENT_BYTES_MAX = 1024 * 1024


@dataclasses.dataclass(slots=True)
class RawEvent:
    """One event as it came, with its id or an empty string."""

    data: bytes
    event_id: str


class EventSplitter:
    """Collects bytes and gives out events that are whole."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that `data` completes; raise ProtocolError for an endless one."""
        *whole, self.rest = (self.rest + data).split(b"\n\n")
        if len(self.rest) > EVENT_BYTES_MAX:
            raise errors.ProtocolError(f"an event is longer than {EVENT_BYTES_MAX} bytes")
        return [RawEvent(text + b"\n\n", event_id(text)) for text in whole]


def event_id(text: bytes) -> str:
    """Return the id in an event's lines, or an empty string."""
    for line in text.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return ""


def is_after(event_id_text: str, last: str) -> bool:
    """Return whether an event follows the one with id `last`; ids that are no numbers do."""
    if not last.isdigit() or not event_id_text.isdigit():
        return True
    return int(event_id_text) > int(last)
