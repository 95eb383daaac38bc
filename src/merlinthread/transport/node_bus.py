"""Messaging between nodes: calls over HTTP POST and one-way messages over UDP.

A call may be repeated after its reply is lost, so every message must be idempotent. A call across
a network partition fails after its timeout.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any

from merlinthread import errors, logs
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages
from merlinthread.transport import connection_pool, http_messages, stream_server

PATH = b"/node"
MEDIA_TYPE = b"application/msgpack"
MESSAGE_BYTES_MAX = 16 * 1024 * 1024
KEEP_ALIVE_S = 10.0
# Long replies are sent in chunks, so that other traffic on the link waits for one chunk at most.
SEND_CHUNK_BYTES = 4096
CONNECT_TIMEOUT_S = 0.5
TCP_USER_TIMEOUT_S = 1.5

Handler = Callable[[Any], Awaitable[Any]]


class RpcClient:
    """A client for calls to other nodes over pooled connections.

    A connection is given up if it is not established within `connect_timeout_s`.
    """

    def __init__(self, codec: codecs.Codec, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self.codec = codec
        self.pool = connection_pool.ConnectionPool(
            KEEP_ALIVE_S, connect_timeout_s, TCP_USER_TIMEOUT_S
        )

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a message to the node at `address` ("IP:port") and return its reply.

        Raises UnreachableError if there is no complete reply within `timeout_s`, and
        MerlinthreadError, with the node's error kind, if the node reports an error.
        """
        body = self.codec.encode(message)
        headers = [
            (b"host", address.encode("ascii")),
            (b"content-type", MEDIA_TYPE),
            (b"content-length", b"%d" % len(body)),
        ]
        request = http_messages.Request(b"POST", PATH, headers, body)
        try:
            response = await self.pool.request(address, request, timeout_s, MESSAGE_BYTES_MAX)
        except errors.ProtocolError as error:
            # The node was terminated while it replied; the request itself is valid.
            raise errors.UnreachableError(f"{address}: {error.message}")
        if response.status != 200:
            raise errors.UnreachableError(f"{address}: HTTP status {response.status}")
        reply = self.codec.decode(response.body)
        if isinstance(reply, node_messages.ErrorReply):
            raise errors.MerlinthreadError(reply.message, kind=parse_error_kind(reply.kind))
        return reply


def parse_error_kind(name: str) -> errors.ErrorKind:
    """Return the error kind `name`, or INTERNAL if this version does not know it."""
    try:
        return errors.ErrorKind(name)
    except ValueError:
        return errors.ErrorKind.INTERNAL


class RpcServer:
    """A server that replies to calls of other nodes with the results of `handler`.

    `pacing_bytes_per_s` returns the rate at which long replies are sent, infinity for no pacing.
    """

    def __init__(
        self,
        codec: codecs.Codec,
        handler: Handler,
        pacing_bytes_per_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.codec = codec
        self.handler = handler
        self.pacing_bytes_per_s = pacing_bytes_per_s
        limits = http_messages.Limits(body_bytes=MESSAGE_BYTES_MAX, idle_timeout_s=2 * KEEP_ALIVE_S)
        self.server = stream_server.Server(self.serve, limits)

    def limit_memory(self, memory_bytes: int, held_bytes_max: int) -> None:
        """Bound the bytes of calls in progress, in a process that has `memory_bytes` of memory."""
        self.server.limit_memory(memory_bytes, held_bytes_max)

    async def listen(self, host: str, port: int) -> None:
        """Start listening on `host`:`port`."""
        await self.server.listen(host, port)

    async def serve(self, exchange: stream_server.Exchange) -> None:
        """Handle one call."""
        reply = await self.run_handler(exchange.request.body)
        headers = [(b"content-type", MEDIA_TYPE)]
        frame = self.codec.encode(reply)
        bytes_per_s = self.pacing_bytes_per_s()
        if len(frame) <= SEND_CHUNK_BYTES or bytes_per_s == math.inf:
            await exchange.respond(http_messages.Response(200, headers, frame))
        else:
            await self.send_paced(exchange, headers, frame, bytes_per_s)

    async def send_paced(
        self,
        exchange: stream_server.Exchange,
        headers: http_messages.Headers,
        frame: bytes,
        bytes_per_s: float,
    ) -> None:
        """Send a response in chunks at the given rate."""
        loop = asyncio.get_running_loop()
        exchange.start_response(200, [*headers, (b"content-length", b"%d" % len(frame))])
        started_at = loop.time()
        for offset in range(0, len(frame), SEND_CHUNK_BYTES):
            await asyncio.sleep(started_at + offset / bytes_per_s - loop.time())
            await exchange.send(frame[offset : offset + SEND_CHUNK_BYTES])
        await exchange.finish()

    async def run_handler(self, body: bytes) -> Any:
        """Decode a call, run the handler and return the reply.

        An exception of the handler is returned as `ErrorReply`.
        """
        try:
            return await self.handler(self.codec.decode(body))
        except errors.MerlinthreadError as error:
            return node_messages.ErrorReply(str(error.kind), error.message)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            logs.exception("node_call_failed")
            return node_messages.ErrorReply(str(errors.ErrorKind.INTERNAL), repr(error))


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives one-way messages over UDP; they may be lost."""

    def __init__(self, codec: codecs.Codec, handler: Callable[[Any], None]) -> None:
        self.codec = codec
        self.handler = handler
        self.transport: asyncio.DatagramTransport | None = None

    async def listen(self, host: str, port: int) -> None:
        """Bind to `host`:`port` and start receiving."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, address: object) -> None:
        """Pass a message to `handler`; drop it if it can't be decoded."""
        try:
            message = self.codec.decode(data)
        except errors.ProtocolError as error:
            logs.debug("datagram_refused", reason=error.message)
            return
        self.handler(message)

    def send(self, address: str, message: Any) -> None:
        """Send one message to `address` ("IP:port"); do nothing before `listen`."""
        host, _, port = address.rpartition(":")
        if self.transport is not None:
            self.transport.sendto(self.codec.encode(message), (host, int(port)))
