"""Socket options that every connection on an event loop gets."""

import asyncio
import contextlib
import socket
import struct

# `struct linger`: on, and no time for what was not sent yet.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def set_socket_options(transport: asyncio.BaseTransport, user_timeout_s: float) -> None:
    """Send small writes at once, and end a connection whose peer acknowledges nothing."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        milliseconds = int(user_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Let the connection be reset when it is closed; what the peer has not got yet is dropped.

    Without it the kernel goes on to deliver what was written, seconds later on a bad path.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
