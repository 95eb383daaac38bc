"""HTTP/1.1 on one event loop: a server and a client connection around the `h11` library.

`h11` parses and frames; this module moves its bytes. One server connection answers one request at
a time. A client that leaves cancels the task that answers it, so that nothing works for nobody.
"""

import asyncio
import collections
import contextlib
import dataclasses
import socket
from collections.abc import Awaitable, Callable

import h11

from merlinthread import errors, logs

Headers = list[tuple[bytes, bytes]]

READ_AHEAD_BYTES_MAX = 256 * 1024
HEADER_BYTES_DEFAULT = 16 * 1024
BODY_BYTES_DEFAULT = 4 * 1024 * 1024
BACKLOG = 1024
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


@dataclasses.dataclass(slots=True)
class Limits:
    """What a client may send and how long it may take; bytes and seconds."""

    header_bytes: int = HEADER_BYTES_DEFAULT
    body_bytes: int = BODY_BYTES_DEFAULT
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request; `target` is the path with its query as it was sent."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Answer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes = b""


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of `name` (lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection (RFC 9110, section 7.6.1)."""
    named = header(headers, b"connection") or b""
    dropped = CONNECTION_HEADERS | {part.strip().lower() for part in named.split(b",")}
    return [(key, value) for key, value in headers if key.lower() not in dropped]


def set_socket_options(transport: asyncio.BaseTransport, user_timeout_s: float) -> None:
    """Send small writes at once, and end a connection whose peer acknowledges nothing."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        milliseconds = int(user_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


class FlowControl:
    """Lets a writer wait until the transport has room again."""

    def __init__(self) -> None:
        self.waiter: asyncio.Future | None = None
        self.is_paused = False

    def pause(self) -> None:
        """Note that the transport is full."""
        self.is_paused = True

    def resume(self) -> None:
        """Note that the transport has room, or is gone."""
        self.is_paused = False
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def drained(self) -> None:
        """Return once there is room."""
        while self.is_paused:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter


class Exchange:
    """One request on a server connection, and the means to answer it."""

    def __init__(self, connection: "ServerConnection", request: Request) -> None:
        self.connection = connection
        self.request = request
        self.is_started = False
        self.is_finished = False

    async def respond(self, answer: Answer) -> None:
        """Send a whole answer with its length."""
        headers = [*answer.headers, (b"content-length", b"%d" % len(answer.body))]
        self.start(answer.status, headers)
        if answer.body and self.request.method != b"HEAD":
            self.connection.write(h11.Data(data=answer.body))
        await self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head; without a content length the body goes out in chunks."""
        if self.connection.is_leaving:
            headers = [*headers, (b"connection", b"close")]
        self.is_started = True
        self.connection.write(h11.Response(status_code=status, headers=headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the body once the client has room for it."""
        self.connection.write(h11.Data(data=data))
        await self.connection.flow.drained()

    async def finish(self) -> None:
        """End the answer as complete."""
        self.connection.write(h11.EndOfMessage())
        self.is_finished = True
        await self.connection.flow.drained()

    def abort(self) -> None:
        """Break the connection off, so that the answer can't look complete."""
        self.is_finished = True
        self.connection.abort()


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Listens on one address and hands whole requests to `handler`."""

    def __init__(self, handler: Handler, limits: Limits | None = None) -> None:
        self.handler = handler
        self.limits = limits or Limits()
        self.connections: set[ServerConnection] = set()
        self.is_leaving = False
        self.has_stopped = False
        self.listener: asyncio.Server | None = None
        self.buffered_bytes = 0

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=BACKLOG, reuse_address=True
        )

    def begin_leaving(self) -> None:
        """Ask clients, with every answer from now on, to use another connection."""
        self.is_leaving = True

    def stop_accepting(self) -> None:
        """Accept no more connections, close the idle ones, and the others after their answer."""
        self.begin_leaving()
        self.has_stopped = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.is_between_requests():
                connection.close()

    def count_busy(self) -> int:
        """Return how many requests are in progress."""
        return sum(1 for connection in self.connections if connection.task is not None)


class ServerConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        self.transport: asyncio.Transport | None = None
        self.flow = FlowControl()
        self.task: asyncio.Task | None = None
        self.request: Request | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.timer: asyncio.TimerHandle | None = None
        self.is_head_due = False
        self.is_reading = True
        self.unread_bytes = 0

    @property
    def is_leaving(self) -> bool:
        """Return whether the server asks its clients to leave."""
        return self.server.is_leaving

    def is_between_requests(self) -> bool:
        """Return whether nothing of a request has come that is not answered."""
        return self.task is None and self.request is None and not self.is_head_due

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read."""
        self.transport = transport  # type: ignore[assignment]
        set_socket_options(transport, self.server.limits.idle_timeout_s)
        self.server.connections.add(self)
        self.set_timer(self.server.limits.idle_timeout_s, self.close)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel what works for this client."""
        self.server.connections.discard(self)
        self.set_timer(None, None)
        self.flow.resume()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Note that the client reads slowly."""
        self.flow.pause()

    def resume_writing(self) -> None:
        """Note that the client has caught up."""
        self.flow.resume()

    def eof_received(self) -> bool:
        """Treat a client that ends its side as one that has left."""
        return False

    def data_received(self, data: bytes) -> None:
        """Take bytes in; what comes before an answer is due waits, within bounds."""
        self.parser.receive_data(data)
        if self.task is not None:
            self.unread_bytes += len(data)
            if self.unread_bytes > READ_AHEAD_BYTES_MAX and self.transport is not None:
                self.transport.pause_reading()
                self.is_reading = False
            return
        self.advance()

    # Requests

    def advance(self) -> None:
        """Take what the parser has until a request is whole or bytes are missing."""
        try:
            while self.task is None and self.take(self.parser.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint or 400)

    def take(self, event: object) -> bool:
        """Take one event; return whether to ask for the next."""
        if event is h11.NEED_DATA:
            self.await_more()
            return False
        if isinstance(event, h11.Request):
            return self.take_head(event)
        if isinstance(event, h11.Data):
            return self.take_body(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self.begin_answer()
        return False

    def await_more(self) -> None:
        """Bound how long the rest of a request may take to come."""
        if self.request is not None or self.is_head_due:
            return
        if self.parser.trailing_data[0]:
            # One timer for the whole head: a client that sends byte by byte does not renew it.
            self.is_head_due = True
            self.set_timer(self.server.limits.header_timeout_s, lambda: self.refuse(408))
            return
        self.set_timer(self.server.limits.idle_timeout_s, self.close)

    def take_head(self, event: h11.Request) -> bool:
        """Take a request's head."""
        self.is_head_due = False
        self.request = Request(event.method, event.target, list(event.headers.raw_items()))
        self.parts = []
        self.size = 0
        length = header(self.request.headers, b"content-length")
        if length is not None and int(length) > self.server.limits.body_bytes:
            self.refuse(413)
            return False
        self.set_timer(self.server.limits.idle_timeout_s, lambda: self.refuse(408))
        if self.parser.they_are_waiting_for_100_continue:
            self.write(h11.InformationalResponse(status_code=100, headers=[]))
        return True

    def take_body(self, data: bytes) -> bool:
        """Take a part of a request's body."""
        self.size += len(data)
        if self.size > self.server.limits.body_bytes:
            self.refuse(413)
            return False
        self.parts.append(data)
        return True

    def begin_answer(self) -> None:
        """Hand the whole request to the handler."""
        self.set_timer(None, None)
        assert self.request is not None
        self.request.body = b"".join(self.parts)
        exchange = Exchange(self, self.request)
        self.request = None
        self.parts = []
        self.task = asyncio.get_running_loop().create_task(self.answer(exchange))

    async def answer(self, exchange: Exchange) -> None:
        """Run the handler, then go on to the next request or close."""
        try:
            await self.server.handler(exchange)
        except asyncio.CancelledError:
            self.abort()
            return
        except h11.LocalProtocolError:
            self.abort()
            return
        except Exception:
            logs.failure("handler_failed")
            if exchange.is_started:
                self.abort()
                return
            await exchange.respond(Answer(500, []))
        self.next_request(exchange)

    def next_request(self, exchange: Exchange) -> None:
        """Make ready for the next request on this connection."""
        self.task = None
        if not exchange.is_finished:
            self.abort()
            return
        if self.transport is None or self.transport.is_closing():
            return
        is_over = self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE
        if is_over or self.server.has_stopped:
            self.close()
            return
        self.parser.start_next_cycle()
        self.unread_bytes = 0
        if not self.is_reading:
            self.is_reading = True
            self.transport.resume_reading()
        self.advance()

    def refuse(self, status: int) -> None:
        """Answer a request that can't be taken, and close."""
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            self.write(h11.Response(status_code=status, headers=headers))
            self.write(h11.EndOfMessage())
        self.close()

    # Output

    def write(self, event: h11.Event) -> None:
        """Send one event of the answer."""
        data = self.parser.send(event)
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def write_raw(self, data: bytes) -> None:
        """Send bytes that are no event of the protocol; stand-ins misbehave with it."""
        if self.transport is not None:
            self.transport.write(data)

    def set_timer(self, delay_s: float | None, action: Callable[[], None] | None) -> None:
        """Replace the timer of this connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if delay_s is not None and action is not None:
            self.timer = asyncio.get_running_loop().call_later(delay_s, action)

    def close(self) -> None:
        """Close once what was written has left."""
        self.set_timer(None, None)
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        self.set_timer(None, None)
        if self.transport is not None:
            self.transport.abort()


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

    def send(self, request: Request) -> None:
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

    async def receive(self) -> Answer:
        """Return the whole answer; raises as `next_event` does."""
        head = await self.next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self.next_event()
        if not isinstance(head, h11.Response):
            raise errors.ProtocolError(f"{type(head).__name__} came before an answer's head")
        parts = []
        while isinstance(event := await self.next_event(), h11.Data):
            parts.append(bytes(event.data))
        return Answer(head.status_code, list(head.headers.raw_items()), b"".join(parts))

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
        """Close at once; the server drops what it still does for it."""
        if self.transport is not None:
            self.transport.abort()


async def connect(address: str, timeout_s: float, user_timeout_s: float) -> ClientConnection:
    """Return a new connection to "IP:port"; raise UnreachableError."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(ClientConnection, host, int(port))
    except (OSError, TimeoutError) as error:
        raise errors.UnreachableError(f"{address}: {error!r}")
    set_socket_options(transport, user_timeout_s)
    return connection


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
                return connection
            connection.close()
        return None

    def give_back(self, key: str, connection: ClientConnection, now: float, keep_s: float) -> None:
        """Keep a connection whose answer was taken whole, or close it."""
        if connection.finish(now, min(keep_s, self.keep_s)):
            self.idle.setdefault(key, []).append(connection)

    def drop(self, key: str) -> None:
        """Close the idle connections of one server."""
        for connection in self.idle.pop(key, []):
            connection.close()

    async def call(self, address: str, request: Request, timeout_s: float) -> Answer:
        """Send a request that may be repeated and return its answer.

        Raises UnreachableError (nothing came in time) or ProtocolError (no whole answer).
        """
        loop = asyncio.get_running_loop()
        connection = self.take(address, loop.time(), self.keep_s)
        try:
            async with asyncio.timeout(timeout_s):
                if connection is None:
                    connection = await connect(address, self.connect_timeout_s, self.user_timeout_s)
                connection.send(request)
                answer = await connection.receive()
        except TimeoutError:
            self.discard(connection)
            raise errors.UnreachableError(f"{address}: no answer within {timeout_s:.2f} s")
        except BaseException:
            self.discard(connection)
            raise
        self.give_back(address, connection, loop.time(), kept_for(answer.headers, self.keep_s))
        return answer

    def discard(self, connection: ClientConnection | None) -> None:
        """Close a connection that can't be used again."""
        if connection is not None:
            connection.close()


def kept_for(headers: Headers, default_s: float) -> float:
    """Return how long a server keeps an idle connection, with a second to spare."""
    value = header(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return max(0.0, int(number) - 1.0)
    return default_s
