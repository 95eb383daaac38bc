"""HTTP/1.1 client connections for asyncio, based on `h11`.

`connection_pool` reuses them.
"""

import asyncio
import collections
import threading

import h11

from merlinthread import errors
from merlinthread.coordination import held_bytes
from merlinthread.transport import body_blocks, http_messages, sockets, timeouts

# Bounds of a response. `h11` bounds only an incomplete head, chunk header or trailer (16 KiB).
BODY_BYTES_MAX = 64 * 1024 * 1024
INTERIM_RESPONSES_MAX = 8
# Bytes other than the body (heads, chunk headers, trailers) that are read beyond as many as the
# body has.
FRAMING_BYTES_MAX = 64 * 1024
# Chunks read regardless of their size; further ones must have CHUNK_BYTES_MIN bytes on average.
# Each chunk takes processor time, and a single read can contain 40,000 chunks of one byte.
SMALL_CHUNKS_MAX = 8192
CHUNK_BYTES_MIN = 8
# Received bytes that wait for their reader, above which the socket is not read.
UNREAD_BYTES_MAX = 1024 * 1024
# The longest read of a socket, and of one whose response is held for a client and has no room yet.
READ_BYTES_MAX = 256 * 1024
HELD_READ_BYTES_MAX = 16 * 1024


class ReadBuffer(threading.local):
    """The buffer of one thread, whose event loop reads one socket at a time."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_BYTES_MAX))


READ_BUFFER = ReadBuffer()


class ClientConnection(asyncio.BufferedProtocol):
    """A connection to a server; handles one request at a time."""

    def __init__(self) -> None:
        self.parser = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future | None = None
        self.is_lost = False
        self.error: Exception | None = None
        self.has_eof = False
        self.idle_since = 0.0
        self.expires_at = 0.0
        self.has_unexpected_data = False
        self.is_idle = True
        self.is_reused = False
        self.received: collections.deque[bytes] = collections.deque()
        # The bytes in `received`, and whether the socket is not read because there are too many.
        self.unread_bytes = 0
        self.unread_bytes_max = UNREAD_BYTES_MAX
        self.read_bytes_max = READ_BYTES_MAX
        self.is_paused = False
        # The parts of a request's body that are not sent, and whether the transport has no room.
        self.unsent: collections.deque[memoryview] = collections.deque()
        self.is_write_paused = False
        self.closes_when_sent = False
        # The count of the bytes held for the client for whom the response is read, if any.
        self.holder: held_bytes.Holder | None = None
        # The head and body of the response that `receive` has read so far.
        self.head: h11.Response | None = None
        self.body = bytearray()
        # Counters of the current response, and the bound on its body.
        self.body_bytes_max = BODY_BYTES_MAX
        self.body_bytes = 0
        self.wire_bytes = 0
        self.chunks = 0
        self.interim_responses = 0

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read of the socket."""
        return READ_BUFFER.view[: self.read_bytes_max]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the data that was read into the buffer."""
        self.data_received(READ_BUFFER.view[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Buffer received data; close the connection if no request is in progress.

        Data goes straight to the parser if the reader waits for it. Above `unread_bytes_max`, the
        socket is not read until the reader has taken some data.
        """
        if self.is_idle:
            self.has_unexpected_data = True
            self.close()
            return
        if self.waiter is not None and not self.waiter.done() and not self.received:
            self.wire_bytes += len(data)
            self.parser.receive_data(data)  # type: ignore[arg-type]
            self.waiter.set_result(None)
            return
        self.received.append(bytes(data))
        self.unread_bytes += len(data)
        if self.holder is not None:
            self.holder.add(len(data))
        if self.unread_bytes > self.unread_bytes_max:
            self.pause_reading()
        self.wake_reader()

    def pause_reading(self) -> None:
        """Stop reading the socket until the reader has taken some data."""
        if self.transport is not None:
            self.is_paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Record that the server has closed its sending side."""
        self.has_eof = True
        self.wake_reader()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record that the connection is closed, and the error that caused it."""
        self.is_lost = True
        self.error = error
        self.unsent.clear()
        self.wake_reader()

    def pause_writing(self) -> None:
        """Send no further part of a body until the transport has room."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Send the next parts of a body."""
        self.is_write_paused = False
        if self.unsent:
            self.send_parts()

    def wake_reader(self) -> None:
        """Wake up the task that waits in `feed_parser`."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    # Requests and responses

    def send(self, request: http_messages.Request, body_bytes_max: int = BODY_BYTES_MAX) -> None:
        """Send a request whose response may have a body of `body_bytes_max` bytes.

        A long body is sent in the background, as fast as the server takes it.
        """
        self.is_idle = False
        self.body_bytes_max = body_bytes_max
        self.body_bytes = self.wire_bytes = self.chunks = self.interim_responses = 0
        head = h11.Request(method=request.method, target=request.target, headers=request.headers)
        data = self.parser.send(head) or b""
        if len(request.body) > body_blocks.BLOCK_BYTES:
            self.write(data)
            self.unsent.extend(body_blocks.frame(self.parser, request.body))
            self.send_parts()
            return
        for part in body_blocks.split(request.body):
            data += self.parser.send(h11.Data(data=part)) or b""
        self.write(data + (self.parser.send(h11.EndOfMessage()) or b""))

    def send_parts(self) -> None:
        """Send the rest of a body while the transport has room."""
        while self.unsent and not self.is_write_paused and not self.is_lost:
            self.write(self.unsent.popleft())
        if self.unsent:
            return
        self.write(self.parser.send(h11.EndOfMessage()))
        if self.closes_when_sent and self.transport is not None:
            self.transport.close()

    def write(self, data: bytes | memoryview | None) -> None:
        """Pass data to the transport."""
        if data and self.transport is not None:
            self.transport.write(data)

    def hold_for(self, holder: held_bytes.Holder, unread_bytes_max: int) -> None:
        """Count unread data as held for a client, and bound it, until the response is complete."""
        self.holder = holder
        self.unread_bytes_max = unread_bytes_max
        self.read_bytes_max = HELD_READ_BYTES_MAX

    def read_into_room(self) -> None:
        """Read the rest of a response for which room is reserved; it counts no more by itself."""
        self.release_holder()
        self.read_bytes_max = READ_BYTES_MAX
        if self.is_paused and self.unread_bytes <= self.unread_bytes_max:
            self.resume_reading()

    async def next_event(self) -> h11.Event:
        """Return the next event of the response.

        Raises UnreachableError if the connection is lost first, and ProtocolError if the response
        is malformed, incomplete or over one of the bounds at the top of this module.
        """
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                # A frame of `h11` in the traceback refers to the error.
                error.__traceback__ = None
                raise errors.ProtocolError(f"malformed or incomplete response: {error}")
            if event is h11.PAUSED:
                raise errors.ProtocolError("read past the end of the response")
            if event is not h11.NEED_DATA:
                if type(event) is not h11.Data:
                    self.check_informational(event)
                    return event  # type: ignore[return-value]
                self.body_bytes += len(event.data)
                self.chunks += event.chunk_start
                if self.body_bytes > self.body_bytes_max or self.chunks > SMALL_CHUNKS_MAX:
                    self.check_body()
                return event  # type: ignore[return-value]
            await self.feed_parser()

    def check_body(self) -> None:
        """Raise ProtocolError if the body is too long or has too many small chunks."""
        if self.body_bytes > self.body_bytes_max:
            raise errors.ProtocolError(
                f"the body of the response exceeds {self.body_bytes_max} bytes"
            )
        if (self.chunks - SMALL_CHUNKS_MAX) * CHUNK_BYTES_MIN > self.body_bytes:
            raise errors.ProtocolError(
                f"the response has {self.chunks} chunks in {self.body_bytes} bytes"
            )

    def check_informational(self, event: object) -> None:
        """Count an informational response; raise ProtocolError if there are too many."""
        if isinstance(event, h11.InformationalResponse):
            self.interim_responses += 1
            if self.interim_responses > INTERIM_RESPONSES_MAX:
                raise errors.ProtocolError(
                    f"more than {INTERIM_RESPONSES_MAX} informational responses"
                )

    async def feed_parser(self) -> None:
        """Pass the next received data to the parser, waiting for some if there is none.

        Raises ProtocolError if the response has too many bytes other than its body.
        """
        # The parser has returned all events of earlier data, so `body_bytes` is up to date.
        if self.wire_bytes > FRAMING_BYTES_MAX + 2 * self.body_bytes:
            raise errors.ProtocolError(
                f"the response has {self.wire_bytes} bytes, of which {self.body_bytes} are body"
            )
        if self.received:
            self.parser.receive_data(self.take_received())
            return
        if self.is_lost and (self.error is not None or not self.has_eof):
            raise errors.UnreachableError(f"connection lost: {self.error}")
        if self.has_eof:
            self.parser.receive_data(b"")
            return
        self.waiter = asyncio.get_running_loop().create_future()
        await self.waiter

    def take_received(self) -> bytes:
        """Return the next received data, and read the socket again if it was paused."""
        data = self.received.popleft()
        self.wire_bytes += len(data)
        self.unread_bytes -= len(data)
        if self.holder is not None:
            self.holder.add(-len(data))
        if self.is_paused and self.unread_bytes <= self.unread_bytes_max:
            self.resume_reading()
        return data

    def resume_reading(self) -> None:
        """Read the socket again."""
        self.is_paused = False
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    async def receive(self) -> http_messages.Response:
        """Return the complete response; raise the same errors as `next_event`.

        A call that was cancelled can be repeated; it goes on where the previous one ended.
        """
        while True:
            event = await self.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if self.head is None:
                if not isinstance(event, h11.Response):
                    raise errors.ProtocolError(
                        f"expected a response head, got {type(event).__name__}"
                    )
                self.head = event
            elif isinstance(event, h11.Data):
                # Many small chunks take far more memory as separate objects.
                self.body += event.data
            else:
                break
        head, body = self.head, bytes(self.body)
        self.head, self.body = None, bytearray()
        return http_messages.Response(head.status_code, list(head.headers.raw_items()), body)

    def prepare_reuse(self, now: float, keep_alive_s: float) -> bool:
        """Prepare the connection for another request after a complete response.

        Return False, and close the connection, if it can't be reused. A server that has responded
        before it has read the whole body still gets the rest of it.
        """
        if self.unsent and not self.is_lost:
            self.closes_when_sent = True
            self.release_holder()
            return False
        is_reusable = (
            not self.is_lost
            and not self.has_eof
            and not self.received
            and not self.parser.trailing_data[0]
            and self.parser.our_state is h11.DONE
            and self.parser.their_state is h11.DONE
        )
        if not is_reusable:
            self.close()
            return False
        self.parser.start_next_cycle()
        self.holder = None
        self.is_idle = True
        self.idle_since = now
        self.expires_at = now + keep_alive_s
        return True

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection can be used for another request."""
        return (
            not (self.is_lost or self.has_eof or self.has_unexpected_data) and now < self.expires_at
        )

    def release_holder(self) -> None:
        """Count unread data no more as held for a client."""
        if self.holder is not None:
            self.holder.add(-self.unread_bytes)
            self.holder = None

    def close(self) -> None:
        """Close the connection without waiting.

        If a request is in progress, the connection is reset, which discards request data that is
        still buffered.
        """
        self.release_holder()
        self.unsent.clear()
        if self.transport is None:
            return
        if not self.is_idle:
            sockets.reset_on_close(self.transport)
        self.transport.abort()


async def connect(address: str, timeout_s: float, user_timeout_s: float) -> ClientConnection:
    """Return a new connection to `address` ("IP:port").

    Raises NotListeningError if the server refuses the connection, and UnreachableError for other
    errors and after `timeout_s`.
    """
    attempt: asyncio.Task[ClientConnection] | None
    attempt = asyncio.get_running_loop().create_task(open_connection(address))
    connection: ClientConnection | None = None
    try:
        connection = await timeouts.wait_for(lambda: asyncio.shield(attempt), timeout_s)
    except ConnectionRefusedError as error:
        raise errors.NotListeningError(f"{address}: {error!r}")
    except (OSError, TimeoutError) as error:
        raise errors.UnreachableError(f"{address}: {error!r}")
    finally:
        cancel_or_close(attempt, connection)
        # An error refers to this frame, and the task to the error.
        attempt = None
    sockets.set_socket_options(connection.transport, user_timeout_s)
    return connection


async def open_connection(address: str) -> ClientConnection:
    """Return a new connection to `address` ("IP:port"); raise OSError if that fails."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(ClientConnection, host, int(port))
    return connection


async def connect_hedged(
    address: str, hedge_delay_s: float, timeout_s: float, user_timeout_s: float
) -> ClientConnection:
    """Return a new connection, starting a second attempt `hedge_delay_s` after the first.

    The kernel retransmits a lost SYN only after a second. Returns the first connection that is
    established; raises UnreachableError if all attempts fail.
    """
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(connect(address, timeout_s, user_timeout_s))]
    chosen: ClientConnection | None = None
    try:
        await asyncio.wait(tasks, timeout=hedge_delay_s)
        if not tasks[0].done():
            remaining_s = timeout_s - hedge_delay_s
            tasks.append(loop.create_task(connect(address, remaining_s, user_timeout_s)))
        chosen = await first_connected(tasks)
        return chosen
    finally:
        for task in tasks:
            cancel_or_close(task, chosen)
        # An error refers to this frame, and the tasks to the error.
        tasks.clear()
        del task


async def first_connected(tasks: list[asyncio.Task[ClientConnection]]) -> ClientConnection:
    """Return the connection of the first task to succeed; raise UnreachableError if all fail."""
    pending: set[asyncio.Task[ClientConnection]] | None = set(tasks)
    done: set[asyncio.Task[ClientConnection]] | None = None
    error: BaseException | None = None
    try:
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                error = task.exception()
                if error is None:
                    return task.result()
        raise error or errors.UnreachableError("no connection attempt was made")
    finally:
        # The error refers to this frame.
        tasks = pending = done = task = error = None  # type: ignore[assignment]


def cancel_or_close(task: asyncio.Task[ClientConnection], chosen: ClientConnection | None) -> None:
    """Cancel a connection attempt, or close its connection unless it is `chosen`."""
    if not task.done():
        task.cancel()
    elif not task.cancelled() and task.exception() is None and task.result() is not chosen:
        task.result().close()
