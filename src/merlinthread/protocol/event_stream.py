"""Split the bytes of an event stream into events, unmodified (WHATWG HTML, section 9.2)."""

import dataclasses

from merlinthread import errors

EVENT_BYTES_MAX = 1024 * 1024


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

        Raises ProtocolError if the incomplete event exceeds EVENT_BYTES_MAX.
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
    """Return the id of an event, or an empty string if it has none."""
    for line in text.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return ""


def is_after(event_id: str, last: str) -> bool:
    """Return whether an event follows the one with id `last`.

    Ids that are not numbers always do.
    """
    if not last.isdigit() or not event_id.isdigit():
        return True
    return int(event_id) > int(last)
