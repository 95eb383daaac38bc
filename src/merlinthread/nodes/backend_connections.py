"""An entry's pool of connections to back ends."""

from collections.abc import Callable

from merlinthread.coordination import backend_record
from merlinthread.transport import connection_pool, http_messages, stream_client

KEEP_ALIVE_S = 20.0
CONNECT_TIMEOUT_S = 0.3
# Delay before a second connection attempt: over ten times the round trip between regions (1 to
# 6 ms), and under a third of the shortest objective of a route (0.2 s).
HEDGE_DELAY_S = 0.06
USER_TIMEOUT_S = 2.0
NON_IDEMPOTENT_IDLE_MAX_S = 1.0
IDEMPOTENT_IDLE_MAX_S = 20.0


class BackendConnections:
    """Opens connections to back ends and reuses idle ones."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.pool = connection_pool.ConnectionPool(KEEP_ALIVE_S, CONNECT_TIMEOUT_S, USER_TIMEOUT_S)

    async def connect(
        self, backend: backend_record.Backend, is_idempotent: bool
    ) -> stream_client.ClientConnection:
        """Return an idle or new connection to a back end; raise UnreachableError on failure.

        A request that is not idempotent uses only a recently active connection, since the server
        may be closing one that has been idle for longer.
        """
        max_idle_s = IDEMPOTENT_IDLE_MAX_S if is_idempotent else NON_IDEMPOTENT_IDLE_MAX_S
        idle = self.pool.acquire(backend.instance, self.clock(), max_idle_s)
        if idle is not None:
            return idle
        return await stream_client.connect_hedged(
            backend.address, HEDGE_DELAY_S, CONNECT_TIMEOUT_S, USER_TIMEOUT_S
        )

    def release(
        self,
        backend: backend_record.Backend,
        connection: stream_client.ClientConnection,
        headers: http_messages.Headers,
    ) -> None:
        """Return a connection to the pool, for as long as the response headers allow."""
        keep_alive_s = connection_pool.keep_alive_timeout_s(headers, KEEP_ALIVE_S)
        self.pool.release(backend.instance, connection, self.clock(), keep_alive_s)

    def handle_timeout(self, instance: str, connection: stream_client.ClientConnection) -> None:
        """Report a response timeout to the pool."""
        self.pool.handle_timeout(instance, connection)

    def close_idle(self, instance: str) -> None:
        """Close the idle connections to a back end."""
        self.pool.close_idle(instance)
