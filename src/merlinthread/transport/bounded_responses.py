"""Responses of `http.client` that are whole, with a bound on the bytes and the time of reading.

The bounds apply to all that is read from the socket: `http.client` itself bounds neither
informational responses, which it skips, nor the time of a response whose bytes arrive one by one.
It also takes the end of the connection for the end of the head or of the last chunk, and accepts
contradictory framing (RFC 9112, section 6.3), so that a response that was cut off looks whole.
"""

import http
import http.client
import io
import math
import socket
from typing import Any

import urllib3

from merlinthread import clocks

HEAD_BYTES_MAX = 256 * 1024
# Reads after the deadline that take only what has already arrived. A process that was suspended
# finds its response ready, but a server that goes on sending must not extend the deadline.
LATE_READS_MAX = 64
LATE_READ_TIMEOUT_S = 0.001


class BoundError(OSError):
    """A response is longer than its bound."""


class IncompleteError(OSError):
    """A response has ended inside a line of its head or of its chunks."""


class FramingError(http.client.HTTPException):
    """The head of a response does not say clearly where its body ends."""


class LineReader(io.BufferedReader):
    """Reads lines that must be complete, but for the first one of a response.

    `http.client` recognises by an empty first line that the server has closed the connection.
    """

    has_read = False

    def readline(self, size: int | None = -1) -> bytes:  # type: ignore[override]
        """Return a line of up to `size` bytes; raise IncompleteError if it is cut off."""
        line = super().readline(size)
        is_first, self.has_read = not self.has_read, True
        is_full = size is not None and 0 <= size <= len(line)
        if line.endswith(b"\n") or is_full or (is_first and not line):
            return line
        raise IncompleteError(f"the response ended inside a line: {line[:80]!r}")


class BoundedReader(io.RawIOBase):
    """Reads from a connection's file, up to `bytes_left` bytes and until `deadline`."""

    def __init__(self, file: io.RawIOBase, sock: socket.socket) -> None:
        self.file = file
        self.sock = sock
        self.read_timeout_s = sock.gettimeout() or math.inf
        self.bytes_left = HEAD_BYTES_MAX
        self.deadline = clocks.now() + self.read_timeout_s
        self.late_reads = 0
        self.is_exceeded = False

    def allow(self, byte_count: int, deadline: float) -> None:
        """Set the bounds for the rest of the response."""
        self.bytes_left = byte_count
        self.deadline = deadline

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read into `buffer`; return the number of bytes read, 0 at the end.

        Raises BoundError over the bound on the bytes, and TimeoutError after the deadline.
        """
        if self.bytes_left <= 0:
            self.is_exceeded = True
            raise BoundError("the response is longer than its bound")
        remaining_s = self.deadline - clocks.now()
        if remaining_s <= 0:
            self.late_reads += 1
            if self.late_reads > LATE_READS_MAX:
                self.is_exceeded = True
                raise TimeoutError("the response did not end in time")
            remaining_s = LATE_READ_TIMEOUT_S
        if remaining_s < self.read_timeout_s:
            self.sock.settimeout(remaining_s)
        try:
            count = self.file.readinto(buffer) or 0  # type: ignore[attr-defined]
        except TimeoutError:
            self.is_exceeded = clocks.now() >= self.deadline
            raise
        self.bytes_left -= count
        return count

    def close(self) -> None:
        """Close the connection's file."""
        if not self.closed:
            self.file.close()
        super().close()


class BoundedResponse(http.client.HTTPResponse):
    """A response that is read through a `BoundedReader`.

    `ends_with_connection` is set if nothing but the end of the connection ends its body, so that
    nobody can tell whether that is whole.
    """

    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self.reader = BoundedReader(self.fp.detach(), sock)  # type: ignore[attr-defined]
        self.fp = LineReader(self.reader)
        self.ends_with_connection = False

    def begin(self) -> None:
        """Read the head; raise FramingError if it contradicts itself."""
        super().begin()
        check_framing(self.headers)
        self.ends_with_connection = self.length is None and not self.chunked

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line; return any informational one as that of a 100 response.

        `http.client` skips 100 responses only, and takes for example a 103 response for the final
        one. 101 stays final, as for a connection that is no longer HTTP.
        """
        version, status, reason = super()._read_status()  # type: ignore[misc]
        if http.HTTPStatus.SWITCHING_PROTOCOLS < status < http.HTTPStatus.OK:
            status = http.HTTPStatus.CONTINUE
        return version, status, reason


class BoundedConnection(urllib3.connection.HTTPConnection):
    """A connection with bounded responses."""

    response_class = BoundedResponse


class BoundedTlsConnection(urllib3.connection.HTTPSConnection):
    """A TLS connection with bounded responses."""

    response_class = BoundedResponse


class BoundedConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of connections with bounded responses."""

    ConnectionCls = BoundedConnection


class BoundedTlsConnectionPool(urllib3.HTTPSConnectionPool):
    """A pool of TLS connections with bounded responses."""

    ConnectionCls = BoundedTlsConnection


def check_framing(headers: http.client.HTTPMessage) -> None:
    """Raise FramingError unless at most one header says where the body ends."""
    encodings = [value.strip().lower() for value in headers.get_all("transfer-encoding", [])]
    lengths = {value.strip() for value in headers.get_all("content-length", [])}
    if encodings not in ([], ["chunked"]):
        raise FramingError(f"unknown transfer encoding: {encodings}")
    if encodings and lengths:
        raise FramingError("the response has chunks and a length")
    if len(lengths) > 1 or not all(value.isascii() and value.isdigit() for value in lengths):
        raise FramingError(f"invalid content length: {sorted(lengths)}")


POOL_CLASSES = {"http": BoundedConnectionPool, "https": BoundedTlsConnectionPool}


def original_of(response: urllib3.BaseHTTPResponse) -> BoundedResponse | None:
    """Return what a response is read from, or None if it was received otherwise."""
    original = getattr(response, "_original_response", None)
    return original if isinstance(original, BoundedResponse) else None
