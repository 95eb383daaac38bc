"""Socket options of connections on an event loop."""

import asyncio
import contextlib
import socket
import struct

# `struct linger` with l_onoff=1, l_linger=0: close() sends RST and discards unsent data.
LINGER_ZERO = struct.pack("ii", 1, 0)


def set_socket_options(transport: asyncio.BaseTransport, user_timeout_s: float) -> None:
    """Disable Nagle's algorithm and set `TCP_USER_TIMEOUT` to `user_timeout_s` seconds.

    The kernel closes the connection if sent data stays unacknowledged for that long.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        timeout_ms = int(user_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the connection send a reset when it is closed, and discard unsent data.

    By default, the kernel keeps retransmitting buffered data after the close.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
