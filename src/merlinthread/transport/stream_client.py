"""HTTP/1.1 client connections on one event loop, around the `h11` library, and a pool of them."""

import asyncio
import collections

import h11

from merlinthread import clocks, errors
from merlinthread.transport import http_messages, sockets


class ClientConnection(asyncio.Protocol):
    """A connection to one server; it carries one request at a time."""

    def __init__(self) -> None:
        self.parser = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future | None = None
        self.is_lost = False
        self.error: Exception | None = None
        self.is_ended = False
        self.idle_since = 0.0
        self.keep_until = 0.0
        self.has_stray_bytes = False
        self.is_idle = True
        self.was_kept = False
        self.pending: collections.deque[bytes] = collections.deque()

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Take bytes in; bytes that nobody asked for spoil the connection."""
        if self.is_idle:
            self.has_stray_bytes = True
            self.close()
            return
        self.pending.append(data)
        self.wake()

    def eof_received(self) -> bool:
        """Note that the server has ended its side."""
        self.is_ended = True
        self.wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone."""
        self.is_lost = True
        self.error = error
        self.wake()

    def wake(self) -> None:
        """Let a reader look again."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    # Use

    def send(self, request: http_messages.Request) -> None:
        """Send a whole request."""
        self.is_idle = False
        head = h11.Request(method=request.method, target=request.target, headers=request.headers)
        data = self.parser.send(head)
        if request.body:
            data += self.parser.send(h11.Data(data=request.body)) or b""
        data += self.parser.send(h11.EndOfMessage()) or b""
        if self.transport is not None:
            self.transport.write(data)

    async def next_event(self) -> h11.Event:
        """Return the next event of the answer.

        Raises UnreachableError if the connection was lost first, and ProtocolError if what came is
        no answer or ended early.
        """
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                raise errors.ProtocolError(f"no whole answer: {error}")
            if event is h11.PAUSED:
                raise errors.ProtocolError("the answer is over")
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            await self.read()

    async def read(self) -> None:
        """Feed the parser; wait if there is nothing to feed."""
        if self.pending:
            self.parser.receive_data(self.pending.popleft())
            return
        if self.is_lost and (self.error is not None or not self.is_ended):
            raise errors.UnreachableError(f"the connection was lost: {self.error}")
        if self.is_ended:
            self.parser.receive_data(b"")
            return
        self.waiter = asyncio.get_running_loop().create_future()
        await self.waiter

    async def receive(self) -> http_messages.Answer:
        """Return the whole answer; raises as `next_event` does."""
        head = await self.next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self.next_event()
        if not isinstance(head, h11.Response):
            raise errors.ProtocolError(f"{type(head).__name__} came before an answer's head")
        parts = []
        while isinstance(event := await self.next_event(), h11.Data):
            parts.append(bytes(event.data))
        return http_messages.Answer(
            head.status_code, list(head.headers.raw_items()), b"".join(parts)
        )

    def finish(self, now: float, keep_s: float) -> bool:
        """Make ready for another request; return whether the connection can take one."""
        is_clean = (
            not self.is_lost
            and not self.is_ended
            and not self.pending
            and not self.parser.trailing_data[0]
            and self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
        )
        if not is_clean:
            self.close()
            return False
        self.parser.start_next_cycle()
        self.is_idle = True
        self.idle_since = now
        self.keep_until = now + keep_s
        return True

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may take another request."""
        return not (self.is_lost or self.is_ended or self.has_stray_bytes) and now < self.keep_until

    def close(self) -> None:
        """Close at once; the server drops what it still does for it.

        A request that has not arrived yet never does, unless the connection is idle.
        """
        if self.transport is None:
            return
        if not self.is_idle:
            sockets.reset_on_close(self.transport)
        self.transport.abort()


async def connect(address: str, timeout_s: float, user_timeout_s: float) -> ClientConnection:
    """Return a new connection to "IP:port"; raise UnreachableError."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(ClientConnection, host, int(port))
    except ConnectionRefusedError as error:
        raise errors.NotListeningError(f"{address}: {error!r}")
    except (OSError, TimeoutError) as error:
        raise errors.UnreachableError(f"{address}: {error!r}")
    sockets.set_socket_options(transport, user_timeout_s)
    return connection


async def connect_twice(
    address: str, again_after_s: float, timeout_s: float, user_timeout_s: float
) -> ClientConnection:
    """Return the first of two connections, the second begun `again_after_s` after the first.

    The kernel repeats a lost opening packet only after a second. Raises UnreachableError.
    """
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(connect(address, timeout_s, user_timeout_s))]
    taken: ClientConnection | None = None
    try:
        await asyncio.wait(tasks, timeout=again_after_s)
        if not tasks[0].done():
            rest_s = timeout_s - again_after_s
            tasks.append(loop.create_task(connect(address, rest_s, user_timeout_s)))
        taken = await first_connected(tasks)
        return taken
    finally:
        for task in tasks:
            abandon(task, taken)


async def first_connected(tasks: list[asyncio.Task[ClientConnection]]) -> ClientConnection:
    """Return the first connection that a task makes; raise UnreachableError if none does."""
    reason = errors.UnreachableError("no connection was tried")
    for task in asyncio.as_completed(tasks):
        try:
            return await task
        except errors.UnreachableError as error:
            reason = error
    raise reason


def abandon(task: asyncio.Task[ClientConnection], taken: ClientConnection | None) -> None:
    """End what a task does or has made, unless its connection was taken."""
    if not task.done():
        task.cancel()
    elif not task.cancelled() and task.exception() is None and task.result() is not taken:
        task.result().close()


class Pool:
    """Idle connections to servers, by address."""

    def __init__(self, keep_s: float, connect_timeout_s: float, user_timeout_s: float) -> None:
        self.keep_s = keep_s
        self.connect_timeout_s = connect_timeout_s
        self.user_timeout_s = user_timeout_s
        self.idle: dict[str, list[ClientConnection]] = {}

    def take(self, key: str, now: float, idle_s_max: float) -> ClientConnection | None:
        """Return an idle connection that was used within `idle_s_max`, or None."""
        kept = self.idle.get(key, [])
        while kept:
            connection = kept.pop()
            if connection.is_usable(now) and now - connection.idle_since <= idle_s_max:
                connection.was_kept = True
                return connection
            connection.close()
        return None

    def give_back(self, key: str, connection: ClientConnection, now: float, keep_s: float) -> None:
        """Keep a connection whose answer was taken whole, or close it."""
        if connection.finish(now, min(keep_s, self.keep_s)):
            self.idle.setdefault(key, []).append(connection)

    def note_silence(self, key: str, connection: ClientConnection) -> None:
        """Note that nothing came over a connection in time.

        Connections may fall silent for good, all those to a server at the same moment, while new
        ones work: if this one had been kept, the others that were kept are not trusted either.
        """
        if connection.was_kept:
            self.drop(key)

    def drop(self, key: str) -> None:
        """Close the idle connections of one server."""
        for connection in self.idle.pop(key, []):
            connection.close()

    async def call(
        self, address: str, request: http_messages.Request, timeout_s: float
    ) -> http_messages.Answer:
        """Send a request that may be repeated and return its answer.

        Raises UnreachableError (nothing came in time) or ProtocolError (no whole answer).
        """
        connection = self.take(address, clocks.now(), self.keep_s)
        try:
            async with asyncio.timeout(timeout_s):
                if connection is None:
                    connection = await connect(address, self.connect_timeout_s, self.user_timeout_s)
                connection.send(request)
                answer = await connection.receive()
        except TimeoutError:
            if connection is not None:
                self.note_silence(address, connection)
            self.discard(connection)
            raise errors.UnreachableError(f"{address}: no answer within {timeout_s:.2f} s")
        except BaseException:
            self.discard(connection)
            raise
        self.give_back(address, connection, clocks.now(), kept_for(answer.headers, self.keep_s))
        return answer

    def discard(self, connection: ClientConnection | None) -> None:
        """Close a connection that can't be used again."""
        if connection is not None:
            connection.close()


def kept_for(headers: http_messages.Headers, default_s: float) -> float:
    """Return how long a server keeps an idle connection, with a second to spare."""
    value = http_messages.header(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return max(0.0, int(number) - 1.0)
    return default_s
