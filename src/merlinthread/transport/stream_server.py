"""An HTTP/1.1 server on one event loop, around the `h11` library.

`h11` parses and frames; this module moves its bytes. One connection answers one request at a time.
A client that leaves cancels the task that answers it, so that nothing works for nobody.
"""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from merlinthread import logs
from merlinthread.transport import http_messages, sockets

READ_AHEAD_BYTES_MAX = 256 * 1024
BACKLOG = 1024


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

    def __init__(self, connection: "ServerConnection", request: http_messages.Request) -> None:
        self.connection = connection
        self.request = request
        self.is_started = False
        self.is_finished = False

    async def respond(self, answer: http_messages.Answer) -> None:
        """Send a whole answer with its length."""
        headers = [*answer.headers, (b"content-length", b"%d" % len(answer.body))]
        self.start(answer.status, headers)
        if answer.body and self.request.method != b"HEAD":
            self.connection.write(h11.Data(data=answer.body))
        await self.finish()

    def start(self, status: int, headers: http_messages.Headers) -> None:
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

    def __init__(self, handler: Handler, limits: http_messages.Limits | None = None) -> None:
        self.handler = handler
        self.limits = limits or http_messages.Limits()
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
        self.request: http_messages.Request | None = None
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
        sockets.set_socket_options(transport, self.server.limits.idle_timeout_s)
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
        """Treat a client that ends its side as one that has left.

        What it does not read any more must not hold up that the work for it ends; an answer that is
        whole is still written.
        """
        is_answering = self.parser.our_state in (h11.SEND_RESPONSE, h11.SEND_BODY)
        if self.task is not None and is_answering:
            self.abort()
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
        self.request = http_messages.Request(
            event.method, event.target, list(event.headers.raw_items())
        )
        self.parts = []
        self.size = 0
        length = http_messages.header(self.request.headers, b"content-length")
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
            logs.exception("handler_failed")
            if exchange.is_started:
                self.abort()
                return
            await exchange.respond(http_messages.Answer(500, []))
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
