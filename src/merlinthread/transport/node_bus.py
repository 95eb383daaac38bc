"""Calls between nodes: one message and its answer by HTTP POST, encoded by the product's codec.

A call may reach the receiver twice when its answer was lost, so every message must be safe to
repeat. Calls to a node that is cut off without a reset end by their own time limit.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any

from merlinthread import errors, logs
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages
from merlinthread.transport import http_messages, stream_client, stream_server

PATH = b"/node"
MEDIA_TYPE = b"application/msgpack"
MESSAGE_BYTES_MAX = 16 * 1024 * 1024
KEEP_S = 10.0
# A long answer leaves in parts of this size: what else is sent over the link waits for one part at
# most (9 ms at 3.65 Mbit/s), not for a whole piece of weights (54 ms for 24 KB).
PART_BYTES = 4096
CONNECT_TIMEOUT_S = 0.5
USER_TIMEOUT_S = 1.5

Handler = Callable[[Any], Awaitable[Any]]


class Caller:
    """Calls to other nodes over pooled connections."""

    def __init__(self, codec: codecs.Codec) -> None:
        self.codec = codec
        self.pool = stream_client.Pool(KEEP_S, CONNECT_TIMEOUT_S, USER_TIMEOUT_S)

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Return the answer of the node at `address`.

        Raises UnreachableError, and what the node refused the call with.
        """
        body = self.codec.encode(message)
        headers = [
            (b"host", address.encode("ascii")),
            (b"content-type", MEDIA_TYPE),
            (b"content-length", b"%d" % len(body)),
        ]
        request = http_messages.Request(b"POST", PATH, headers, body)
        try:
            answer = await self.pool.call(address, request, timeout_s)
        except errors.ProtocolError as error:
            # A node that ends while it answers; nothing is wrong with what was asked.
            raise errors.UnreachableError(f"{address}: {error.message}")
        if answer.status != 200:
            raise errors.UnreachableError(f"{address}: HTTP status {answer.status}")
        reply = self.codec.decode(answer.body)
        if isinstance(reply, node_messages.ErrorReply):
            raise errors.MerlinthreadError(reply.message, kind=kind_of(reply.kind))
        return reply


def kind_of(name: str) -> errors.ErrorKind:
    """Return the kind of error of that name, or that of no known cause: newer builds have more."""
    try:
        return errors.ErrorKind(name)
    except ValueError:
        return errors.ErrorKind.INTERNAL


class Listener:
    """Answers calls of other nodes with what `handler` returns.

    The parts of a long answer leave evenly at the rate that `bulk_bytes_per_s` returns.
    """

    def __init__(
        self,
        codec: codecs.Codec,
        handler: Handler,
        bulk_bytes_per_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.codec = codec
        self.handler = handler
        self.bulk_bytes_per_s = bulk_bytes_per_s
        limits = http_messages.Limits(body_bytes=MESSAGE_BYTES_MAX, idle_timeout_s=2 * KEEP_S)
        self.server = stream_server.Server(self.serve, limits)

    async def listen(self, host: str, port: int) -> None:
        """Start to answer."""
        await self.server.listen(host, port)

    async def serve(self, exchange: stream_server.Exchange) -> None:
        """Answer one call."""
        reply = await self.answer(exchange.request.body)
        headers = [(b"content-type", MEDIA_TYPE)]
        frame = self.codec.encode(reply)
        rate = self.bulk_bytes_per_s()
        if len(frame) <= PART_BYTES or rate == math.inf:
            await exchange.respond(http_messages.Answer(200, headers, frame))
        else:
            await self.send_in_parts(exchange, headers, frame, rate)

    async def send_in_parts(
        self,
        exchange: stream_server.Exchange,
        headers: http_messages.Headers,
        frame: bytes,
        rate: float,
    ) -> None:
        """Send a long answer in parts, each when the link is through with the one before."""
        loop = asyncio.get_running_loop()
        exchange.start(200, [*headers, (b"content-length", b"%d" % len(frame))])
        began = loop.time()
        for offset in range(0, len(frame), PART_BYTES):
            await asyncio.sleep(began + offset / rate - loop.time())
            await exchange.send(frame[offset : offset + PART_BYTES])
        await exchange.finish()

    async def answer(self, body: bytes) -> Any:
        """Return the answer; an error becomes a refusal."""
        try:
            return await self.handler(self.codec.decode(body))
        except errors.MerlinthreadError as error:
            return node_messages.ErrorReply(str(error.kind), error.message)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            logs.exception("node_call_failed")
            return node_messages.ErrorReply(str(errors.ErrorKind.INTERNAL), repr(error))


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives single messages that may be lost."""

    def __init__(self, codec: codecs.Codec, deliver: Callable[[Any], None]) -> None:
        self.codec = codec
        self.deliver = deliver
        self.transport: asyncio.DatagramTransport | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to receive."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, address: object) -> None:
        """Deliver one message; what does not decode is dropped."""
        try:
            message = self.codec.decode(data)
        except errors.ProtocolError as error:
            logs.debug("datagram_refused", reason=error.message)
            return
        self.deliver(message)

    def send(self, address: str, message: Any) -> None:
        """Send one message to "IP:port"."""
        host, _, port = address.rpartition(":")
        if self.transport is not None:
            self.transport.sendto(self.codec.encode(message), (host, int(port)))
