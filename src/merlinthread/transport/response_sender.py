"""The sending of responses on a server's connection, as fast as the client takes them."""

import asyncio
import collections
from collections.abc import Callable

import h11

from merlinthread.coordination import held_bytes
from merlinthread.transport import body_blocks, flow_control


def ignore_end() -> None:
    """Take the place of the callback of a connection that is lost."""


class ResponseSender:
    """Sends responses that `parser` serialises, and counts what is not sent yet for `holder`.

    A whole body is sent in parts, also after the handler of its request has ended. `on_end` is
    called once the end of the response has been sent.
    """

    def __init__(
        self,
        parser: h11.Connection,
        holder: held_bytes.Holder,
        flow: flow_control.FlowControl,
        on_end: Callable[[], None],
    ) -> None:
        self.parser = parser
        self.holder = holder
        self.flow = flow
        self.on_end = on_end
        self.transport: asyncio.Transport | None = None
        # The parts of a body that are not sent, and whether the end of the response follows them.
        self.unsent: collections.deque[memoryview] = collections.deque()
        self.unsent_bytes = 0
        self.is_end_pending = False
        # The bytes counted for the holder, while the transport's buffer is full.
        self.counted_bytes = 0

    def write(self, event: h11.Event) -> None:
        """Serialise one event of the response and send it."""
        self.write_data(self.parser.send(event))
        if self.flow.is_paused:
            self.count()

    def write_data(self, data: bytes | memoryview | None) -> None:
        """Pass data to the transport unless it is closed."""
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def send_body(self, body: body_blocks.Body) -> None:
        """Send a body; its blocks are taken, and each is freed when it is sent."""
        self.unsent.extend(body_blocks.frame(self.parser, body))
        self.unsent_bytes = sum(map(len, self.unsent))
        if isinstance(body, body_blocks.BodyBlocks):
            body.clear()
        self.send_parts()

    def send_parts(self) -> None:
        """Send the rest of a body, and the end of the response, while the transport has room."""
        while self.unsent and not self.flow.is_paused:
            part = self.unsent.popleft()
            self.unsent_bytes -= len(part)
            self.write_data(part)
            self.holder.return_reserved(len(part))
        if self.flow.is_paused:
            self.count()
        if not self.unsent and self.is_end_pending:
            self.is_end_pending = False
            self.write(h11.EndOfMessage())
            self.on_end()

    def end(self) -> None:
        """Send the end of the response once its body is sent."""
        if self.unsent:
            self.is_end_pending = True
        else:
            self.write(h11.EndOfMessage())

    def pause(self) -> None:
        """Send no more until the transport's buffer has room."""
        self.flow.pause()
        self.count()

    def resume(self) -> None:
        """Send the rest, since the transport's buffer has room."""
        self.holder.add(-self.counted_bytes)
        self.counted_bytes = 0
        self.flow.resume()
        if self.unsent:
            self.send_parts()

    def count(self) -> None:
        """Update the count of the bytes that are not sent and have no reserved room."""
        byte_count = self.waiting_bytes()
        added, self.counted_bytes = byte_count - self.counted_bytes, byte_count
        self.holder.add(added)

    def waiting_bytes(self) -> int:
        """Return the bytes that wait to be sent and have no reserved room."""
        unreserved_bytes = max(0, self.unsent_bytes - self.holder.reserved_bytes)
        buffered_bytes = self.transport.get_write_buffer_size() if self.transport else 0
        return buffered_bytes + unreserved_bytes

    def has_progressed(self) -> bool:
        """Return whether the client has taken data since the last count, and update that."""
        if self.waiting_bytes() >= self.counted_bytes:
            return False
        self.count()
        return True

    def discard(self) -> None:
        """Discard what is not sent, since the connection is lost.

        The callback refers to the connection, which would be freed late in a reference cycle.
        """
        self.unsent.clear()
        self.unsent_bytes = 0
        self.on_end = ignore_end
