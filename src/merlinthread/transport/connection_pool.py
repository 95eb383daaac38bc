"""A pool of idle HTTP/1.1 client connections, by server."""

import asyncio

from merlinthread import clocks, errors
from merlinthread.transport import http_messages, stream_client, timeouts

# Body of a response that is read as a whole; a call may set a lower bound.
WHOLE_BODY_BYTES_MAX = 16 * 1024 * 1024


class ConnectionPool:
    """A pool of idle connections, by server.

    A connection that has been idle for `keep_alive_s` is not used again.
    """

    def __init__(
        self, keep_alive_s: float, connect_timeout_s: float, user_timeout_s: float
    ) -> None:
        self.keep_alive_s = keep_alive_s
        self.connect_timeout_s = connect_timeout_s
        self.user_timeout_s = user_timeout_s
        self.idle: dict[str, list[stream_client.ClientConnection]] = {}

    def acquire(
        self, key: str, now: float, max_idle_s: float
    ) -> stream_client.ClientConnection | None:
        """Return a connection that has been idle for at most `max_idle_s`, or None."""
        idle_connections = self.idle.get(key, [])
        while idle_connections:
            connection = idle_connections.pop()
            if connection.is_usable(now) and now - connection.idle_since <= max_idle_s:
                connection.is_reused = True
                return connection
            connection.close()
        return None

    def release(
        self, key: str, connection: stream_client.ClientConnection, now: float, keep_alive_s: float
    ) -> None:
        """Return a connection to the pool after a complete response, or close it."""
        if connection.prepare_reuse(now, min(keep_alive_s, self.keep_alive_s)):
            self.idle.setdefault(key, []).append(connection)

    def handle_timeout(self, key: str, connection: stream_client.ClientConnection) -> None:
        """Handle a response timeout on a connection.

        If the connection came from the pool, close the idle connections to the same server: a
        network fault may have broken them all without a reset, although new connections work.
        """
        if connection.is_reused:
            self.close_idle(key)

    def close_idle(self, key: str) -> None:
        """Close the idle connections to one server."""
        for connection in self.idle.pop(key, []):
            connection.close()

    async def request(
        self,
        address: str,
        request: http_messages.Request,
        timeout_s: float,
        body_bytes_max: int = WHOLE_BODY_BYTES_MAX,
    ) -> http_messages.Response:
        """Send an idempotent request and return its response.

        Raises UnreachableError if there is no response within `timeout_s`, and ProtocolError if the
        response is malformed, incomplete or has a body of more than `body_bytes_max` bytes.
        """
        connection = self.acquire(address, clocks.now(), self.keep_alive_s)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        try:
            if connection is None:
                connect_timeout_s = min(self.connect_timeout_s, timeout_s)
                connection = await stream_client.connect(
                    address, connect_timeout_s, self.user_timeout_s
                )
            connection.send(request, body_bytes_max)
            response = await timeouts.wait_for(connection.receive, deadline - loop.time())
        except TimeoutError:
            if connection is not None:
                self.handle_timeout(address, connection)
            self.discard(connection)
            raise errors.UnreachableError(f"{address}: no response within {timeout_s:.2f} s")
        except BaseException:
            self.discard(connection)
            raise
        self.release(
            address,
            connection,
            clocks.now(),
            keep_alive_timeout_s(response.headers, self.keep_alive_s),
        )
        return response

    def discard(self, connection: stream_client.ClientConnection | None) -> None:
        """Close a connection that can't be used again."""
        if connection is not None:
            connection.close()


def keep_alive_timeout_s(headers: http_messages.Headers, default_s: float) -> float:
    """Return the timeout of a Keep-Alive header less one second, or `default_s` without one.

    The margin avoids reusing a connection that the server is about to close.
    """
    value = http_messages.get_header(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return max(0.0, int(number) - 1.0)
    return default_s
