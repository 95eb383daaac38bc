"""An HTTP/1.1 server for asyncio, based on `h11`.

A connection handles one request at a time. If the client disconnects, the task that handles its
request is cancelled.
"""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from merlinthread import clocks, logs, metrics
from merlinthread.coordination import held_bytes, response_room
from merlinthread.transport import (
    body_blocks,
    flow_control,
    http_messages,
    process_memory,
    response_sender,
    slow_clients,
    sockets,
)

READ_AHEAD_BYTES_MAX = 256 * 1024
LISTEN_BACKLOG = 1024
# Most bodies that fill the memory have been sent after this time.
NO_ROOM_RETRY_DELAY_S = 0.5
# How long the body of a refused request is read.
DISCARD_TIMEOUT_S = 5.0


class Exchange:
    """A request received on a connection, with methods to send the response.

    `is_started` and `is_finished` say whether the response has been started or finished.
    """

    def __init__(self, connection: "ServerConnection", request: http_messages.Request) -> None:
        self.connection = connection
        self.request = request
        self.is_started = False
        self.is_finished = False

    @property
    def holder(self) -> held_bytes.Holder:
        """Return the count of the bytes held for this client."""
        return self.connection.holder

    @property
    def response_room(self) -> response_room.ResponseRoom:
        """Return the room for responses that are read as a whole before they are sent."""
        return self.connection.server.response_room

    def is_client_reading(self) -> bool:
        """Return whether there is room to write."""
        return not self.connection.flow.is_paused

    async def respond(self, response: http_messages.Response) -> None:
        """Send a complete response with a Content-Length header.

        The body is sent as fast as the client takes it, also after a cancellation.
        """
        headers = [*response.headers, (b"content-length", b"%d" % len(response.body))]
        self.start_response(response.status, headers)
        self.holder.is_answered = True
        if response.body and self.request.method != b"HEAD":
            self.connection.sender.send_body(response.body)
        await self.finish()

    def start_response(self, status: int, headers: http_messages.Headers) -> None:
        """Send the status line and headers.

        Without a Content-Length header, the body is sent with chunked transfer encoding.
        """
        if self.connection.is_draining:
            headers = [*headers, (b"connection", b"close")]
        self.is_started = True
        self.connection.write(h11.Response(status_code=status, headers=headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the body, and wait until the write buffer has room."""
        self.connection.write(h11.Data(data=data))
        await self.connection.flow.wait_writable()

    async def finish(self) -> None:
        """Mark the response as complete."""
        self.connection.sender.end()
        self.is_finished = True
        await self.connection.flow.wait_writable()

    def abort(self) -> None:
        """Abort the connection, so that the client sees an incomplete response."""
        self.is_finished = True
        self.connection.abort()


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """An HTTP server that passes complete requests to `handler`.

    With `joins_bodies`, the body of a request is `bytes`, otherwise `BodyBlocks`.
    """

    def __init__(
        self,
        handler: Handler,
        limits: http_messages.Limits | None = None,
        joins_bodies: bool = True,
    ) -> None:
        self.handler = handler
        self.joins_bodies = joins_bodies
        self.limits = limits or http_messages.Limits()
        self.connections: set[ServerConnection] = set()
        self.is_draining = False
        self.is_shutting_down = False
        self.listener: asyncio.Server | None = None
        self.held = held_bytes.Budget(clocks.now)
        self.response_room = response_room.ResponseRoom(self.held)
        self.memory_log: process_memory.MemoryLog | None = None
        self.slow_clients = slow_clients.SlowClients()

    async def listen(self, host: str, port: int) -> None:
        """Start listening on `host`:`port`."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=LISTEN_BACKLOG, reuse_address=True
        )

    def limit_memory(
        self, memory_bytes: int, held_bytes_max: int, response_bytes_max: int = 0
    ) -> None:
        """Bound the bytes held for clients, in a process that has `memory_bytes` of memory.

        One response of `response_bytes_max` fits beyond `held_bytes_max`.
        """
        self.held.bytes_max = held_bytes_max
        self.held.extra_bytes = response_bytes_max
        self.memory_log = process_memory.MemoryLog(self.held, memory_bytes, clocks.now)
        self.held.observer = self.memory_log

    def begin_draining(self) -> None:
        """Send `Connection: close` with each response from now on."""
        self.is_draining = True

    def stop_accepting(self) -> None:
        """Stop listening, close idle connections, and close the others after their response."""
        self.begin_draining()
        self.is_shutting_down = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close()

    def count_active_requests(self) -> int:
        """Return how many requests are in progress."""
        return sum(1 for connection in self.connections if connection.task is not None)


class ServerConnection(asyncio.Protocol):
    """A connection from a client."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        self.transport: asyncio.Transport | None = None
        self.flow = flow_control.FlowControl()
        self.task: asyncio.Task | None = None
        self.request: http_messages.Request | None = None
        self.body = body_blocks.BodyBlocks()
        self.holder = server.held.open(lambda now: self.shed("memory", now), self.update_progress)
        # The parts of the held bytes: of requests, and allocated for a body that is received.
        self.request_bytes = 0
        self.unused_bytes = 0
        self.sender = response_sender.ResponseSender(
            self.parser, self.holder, self.flow, self.handle_response_end
        )
        # Whether the client has closed its sending side while its response is sent.
        self.closes_when_sent = False
        # Whether a refused body is read without being kept.
        self.is_discarding = False
        self.timer: asyncio.TimerHandle | None = None
        self.is_head_pending = False
        self.is_reading = True
        self.read_ahead_bytes = 0

    @property
    def is_draining(self) -> bool:
        """Return whether the server is draining its connections."""
        return self.server.is_draining

    def is_idle(self) -> bool:
        """Return whether no request is being received or handled."""
        is_receiving = self.request is not None or self.is_head_pending
        return not self.is_responding() and not is_receiving

    def is_responding(self) -> bool:
        """Return whether a request is being handled, or its response sent."""
        return self.task is not None or self.sender.is_end_pending

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timer."""
        self.transport = self.sender.transport = transport  # type: ignore[assignment]
        sockets.set_socket_options(transport, self.server.limits.idle_timeout_s)
        self.server.connections.add(self)
        self.set_timer(self.server.limits.idle_timeout_s, self.close)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection and cancel its handler task."""
        self.server.connections.discard(self)
        self.server.slow_clients.discard(self)
        self.sender.discard()
        self.holder.release()
        self.set_timer(None, None)
        self.flow.resume()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Make tasks that write wait until the transport's buffer has room."""
        self.sender.pause()
        self.holder.progress_at = clocks.now()
        self.server.slow_clients.watch(self)

    def resume_writing(self) -> None:
        """Let tasks that write continue."""
        self.server.slow_clients.discard(self)
        self.holder.progress_at = clocks.now()
        self.sender.resume()

    def update_progress(self, now: float) -> None:
        """Record whether the client has taken data since the last call, or waits for a response."""
        if not self.flow.is_paused or self.transport is None:
            if self.task is not None:
                self.holder.progress_at = now
            return
        if self.sender.has_progressed():
            self.holder.progress_at = now

    def is_stalled(self, now: float) -> bool:
        """Return whether the client takes no data although its request's handler has ended."""
        return self.task is None and now - self.holder.progress_at > slow_clients.STALL_TIMEOUT_S

    def shed(self, reason: str, now: float) -> None:
        """Close the connection of a client that holds too much memory or takes no data.

        A request that has not been received whole is refused.
        """
        metrics.connections_shed_total.labels(reason).inc()
        logs.warning(
            "connection_shed",
            reason=reason,
            held_bytes=self.holder.byte_count,
            all_held_bytes=self.server.held.byte_count,
            stalled_s=round(now - self.holder.progress_at, 3),
        )
        if self.task is None and self.request is not None:
            self.refuse_body()
        else:
            self.abort()

    def eof_received(self) -> bool:
        """Handle the close of the client's sending side like a disconnect.

        An incomplete response is aborted, so that a client that no longer reads can't block its
        handler. A complete response is still sent.
        """
        if self.sender.is_end_pending:
            self.closes_when_sent = True
            return True
        is_responding = self.parser.our_state in (h11.SEND_RESPONSE, h11.SEND_BODY)
        if self.task is not None and is_responding:
            self.abort()
        return False

    def data_received(self, data: bytes) -> None:
        """Pass received data to the parser.

        While a request is being handled, data is only buffered. Reading is paused if there is more
        than `READ_AHEAD_BYTES_MAX`.
        """
        if self.is_discarding:
            return
        self.parser.receive_data(data)
        self.request_bytes += len(data)
        self.holder.progress_at = clocks.now()
        # What fills a block has been counted with it.
        filled_bytes = min(len(data), self.unused_bytes)
        self.unused_bytes -= filled_bytes
        self.holder.add(len(data) - filled_bytes)
        if self.is_discarding:
            return
        if self.is_responding():
            self.read_ahead_bytes += len(data)
            if self.read_ahead_bytes > READ_AHEAD_BYTES_MAX and self.transport is not None:
                self.transport.pause_reading()
                self.is_reading = False
            return
        self.process_events()
        self.count_unused()

    def count_unused(self) -> None:
        """Update the count of the bytes that are allocated for a body and not received yet.

        Those of a body of unknown length may never be, and are not counted.
        """
        unused_bytes = self.body.unused_bytes if self.body.length is not None else 0
        added = unused_bytes - self.unused_bytes
        self.unused_bytes += added
        self.holder.add(added)

    # Requests

    def process_events(self) -> None:
        """Handle parsed events until a request is complete or more data is needed."""
        try:
            while self.task is None and self.handle_event(self.parser.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            # A frame of `h11` in the traceback refers to the error.
            error.__traceback__ = None
            self.send_error(error.error_status_hint or 400)

    def handle_event(self, event: object) -> bool:
        """Handle one event; return whether to continue with the next."""
        if event is h11.NEED_DATA:
            self.set_read_timer()
            return False
        if isinstance(event, h11.Request):
            return self.handle_head(event)
        if isinstance(event, h11.Data):
            self.body.add(event.data)
            if self.body.size > self.server.limits.body_bytes:
                self.send_error(413)
                return False
            return True
        if isinstance(event, h11.EndOfMessage):
            self.start_handler()
        return False

    def set_read_timer(self) -> None:
        """Set the timeout for the next request or the rest of its head."""
        if self.request is not None or self.is_head_pending:
            return
        if self.parser.trailing_data[0]:
            # Set once for the whole head, so that a slow client can't extend it (Slowloris attack).
            self.is_head_pending = True
            self.set_timer(self.server.limits.header_timeout_s, lambda: self.send_error(408))
            return
        self.set_timer(self.server.limits.idle_timeout_s, self.close)

    def handle_head(self, event: h11.Request) -> bool:
        """Handle the head of a request: check the length and prepare to receive the body."""
        self.is_head_pending = False
        self.request = http_messages.Request(
            event.method, event.target, list(event.headers.raw_items())
        )
        value = http_messages.get_header(self.request.headers, b"content-length")
        length = None if value is None else int(value)
        if length is not None and length > self.server.limits.body_bytes:
            self.send_error(413)
            return False
        self.body = body_blocks.BodyBlocks(length)
        if length is not None and not self.server.held.has_room(length):
            metrics.connections_shed_total.labels("no_room").inc()
            if self.server.memory_log is not None:
                self.server.memory_log.record_refusal(length)
            self.refuse_body()
            return False
        self.set_timer(self.server.limits.idle_timeout_s, lambda: self.send_error(408))
        if self.parser.they_are_waiting_for_100_continue:
            self.write(h11.InformationalResponse(status_code=100, headers=[]))
        return True

    def refuse_body(self) -> None:
        """Refuse a request whose body has no room, and discard the body.

        Closing a connection with unread data resets it, so that the client might not get the
        response.
        """
        headers = [
            (b"content-length", b"0"),
            (b"connection", b"close"),
            (b"retry-after", b"%g" % NO_ROOM_RETRY_DELAY_S),
        ]
        self.write(h11.Response(status_code=503, headers=headers))
        self.write(h11.EndOfMessage())
        self.is_discarding = True
        self.request = None
        self.body = body_blocks.BodyBlocks()
        self.holder.release()
        self.set_timer(DISCARD_TIMEOUT_S, self.abort)
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()

    def start_handler(self) -> None:
        """Start a task that runs the handler for the complete request."""
        self.set_timer(None, None)
        assert self.request is not None
        self.body.finish()
        self.request.body = self.body.join() if self.server.joins_bodies else self.body
        exchange = Exchange(self, self.request)
        self.request = None
        self.body = body_blocks.BodyBlocks()
        self.task = asyncio.get_running_loop().create_task(self.run_handler(exchange))

    async def run_handler(self, exchange: Exchange) -> None:
        """Run the handler; send a 500 response or abort the connection if it fails."""
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
            await exchange.respond(http_messages.Response(500, []))
        self.finish_exchange(exchange)

    def finish_exchange(self, exchange: Exchange) -> None:
        """Continue with the next request on this connection, or close it."""
        self.task = None
        unread_bytes = len(self.parser.trailing_data[0])
        self.holder.add(unread_bytes - self.request_bytes)
        self.request_bytes = unread_bytes
        if not exchange.is_finished:
            self.abort()
            return
        if not self.sender.is_end_pending:
            self.begin_next_request()

    def handle_response_end(self) -> None:
        """Continue once the end of a response has been sent, unless its handler still runs."""
        if self.task is None:
            self.begin_next_request()

    def begin_next_request(self) -> None:
        """Continue with the next request once a response has been sent, or close."""
        self.holder.return_reserved(self.holder.reserved_bytes)
        self.holder.is_answered = False
        if self.transport is None or self.transport.is_closing():
            return
        must_close = (
            self.closes_when_sent
            or self.parser.our_state is not h11.DONE
            or self.parser.their_state is not h11.DONE
        )
        if must_close or self.server.is_shutting_down:
            self.close()
            return
        self.parser.start_next_cycle()
        self.read_ahead_bytes = 0
        if not self.is_reading:
            self.is_reading = True
            self.transport.resume_reading()
        self.process_events()

    def send_error(self, status: int) -> None:
        """Reject a request with an empty response of `status`, and close the connection."""
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            self.write(h11.Response(status_code=status, headers=headers))
            self.write(h11.EndOfMessage())
        self.close()

    # Output

    def write(self, event: h11.Event) -> None:
        """Serialise one event of the response and send it."""
        self.sender.write(event)

    def write_raw(self, data: bytes) -> None:
        """Send bytes without `h11`; used by stand-ins to send malformed responses."""
        if self.transport is not None:
            self.transport.write(data)

    def set_timer(self, delay_s: float | None, action: Callable[[], None] | None) -> None:
        """Set the timer of this connection, in place of a previous one; None cancels it."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if delay_s is not None and action is not None:
            self.timer = asyncio.get_running_loop().call_later(delay_s, action)

    def close(self) -> None:
        """Close the connection after the buffered data is sent."""
        self.set_timer(None, None)
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, discarding buffered data."""
        self.set_timer(None, None)
        if self.transport is not None:
            self.transport.abort()
