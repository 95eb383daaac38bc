"""Socket options that every connection on an event loop gets."""

import asyncio
import contextlib
import socket


def set_socket_options(transport: asyncio.BaseTransport, user_timeout_s: float) -> None:
    """Send small writes at once, and end a connection whose peer acknowledges nothing."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        milliseconds = int(user_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
