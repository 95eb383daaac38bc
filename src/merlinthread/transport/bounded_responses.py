"""Responses of `http.client` with a bound on the bytes and the time in which they are read.

The bounds apply to all that is read from the socket: `http.client` itself bounds neither
informational responses, which it skips, nor the time of a response whose bytes arrive one by one.
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
    """A response that is read through a `BoundedReader`."""

    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self.reader = BoundedReader(self.fp.detach(), sock)  # type: ignore[attr-defined]
        self.fp = io.BufferedReader(self.reader)

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


POOL_CLASSES = {"http": BoundedConnectionPool, "https": BoundedTlsConnectionPool}


def reader_of(response: urllib3.BaseHTTPResponse) -> BoundedReader | None:
    """Return the reader of a response, or None if it was received without one."""
    original = getattr(response, "_original_response", None)
    return original.reader if isinstance(original, BoundedResponse) else None
