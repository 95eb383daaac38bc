"""An entry's connections to back ends: which one an attempt takes, and how long one is kept."""

from collections.abc import Callable

from merlinthread.coordination import backend_record
from merlinthread.transport import http_messages, stream_client

KEEP_S = 20.0
CONNECT_TIMEOUT_S = 0.3
# A second opening packet follows when there is no answer for so long: more than ten times the way
# there and back between regions (1 to 6 ms), a fifth of the shortest objective on the sheets known
# (0.2 s). Of 2,428 requests of a busy day about 30 met no connection
# within 0.3 s (its twin, from entries' logs; why was not traced).
CONNECT_AGAIN_S = 0.06
USER_TIMEOUT_S = 2.0
UNSAFE_IDLE_S_MAX = 1.0
SAFE_IDLE_S_MAX = 20.0


class BackendConnections:
    """Opens connections to back ends and keeps those that rest."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.pool = stream_client.ConnectionPool(KEEP_S, CONNECT_TIMEOUT_S, USER_TIMEOUT_S)

    async def connect(
        self, backend: backend_record.Backend, may_repeat: bool
    ) -> stream_client.ClientConnection:
        """Return a connection to a back end; raise UnreachableError, nothing was sent then.

        A request that may run only once does not use a connection that rested for long: its server
        may be closing it just now.
        """
        idle_s = SAFE_IDLE_S_MAX if may_repeat else UNSAFE_IDLE_S_MAX
        pool = self.pool.acquire(backend.instance, self.clock(), idle_s)
        if pool is not None:
            return pool
        return await stream_client.connect_hedged(
            backend.address, CONNECT_AGAIN_S, CONNECT_TIMEOUT_S, USER_TIMEOUT_S
        )

    def give_back(
        self,
        backend: backend_record.Backend,
        connection: stream_client.ClientConnection,
        headers: http_messages.Headers,
    ) -> None:
        """Keep a connection for the next request."""
        keep_s = stream_client.keep_alive_timeout_s(headers, KEEP_S)
        self.pool.release(backend.instance, connection, self.clock(), keep_s)

    def note_silence(self, instance: str, connection: stream_client.ClientConnection) -> None:
        """Note that nothing came over a connection in time."""
        self.pool.handle_timeout(instance, connection)

    def drop(self, instance: str) -> None:
        """Close the connections to a back end that rest."""
        self.pool.close_idle(instance)
