"""A connection that a relay passes through the links between two regions.

A node opens each connection to the relay, names its own IP and the destination in a first line, and
waits for the relay's byte OPENED or REFUSED (see `bench.linked_node`). Both cross the links, as the
handshake of the connection would.
"""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Callable
from typing import Protocol

from bench import shared_links
from merlinthread.transport import sockets

OPENED, REFUSED = b"+", b"-"
# A packet without data.
PACKET_BYTES = 60
SEGMENT_BYTES = 8 * 1024
# Bytes on their way in one direction of a connection, above which its sender is not read.
WINDOW_BYTES = 128 * 1024
# The IPs of the VM that opened a connection and of its destination.
Ends = tuple[str, str]


class Relay(Protocol):
    """What a connection needs of its relay, which passes it on and counts its traffic."""

    connections: set["RelayedConnection"]
    bytes_sent: collections.Counter[Ends]
    given_up: collections.Counter[Ends]

    def link(self, source: str, destination: str) -> shared_links.SharedLink:
        """Return the link from the region of one IP to that of another."""

    def is_lost(self, ends: Ends) -> bool:
        """Return whether one of two VMs is lost."""

    def record_answer(self, connection: "RelayedConnection") -> None:
        """Record that data came back on a connection."""


class RelaySocket(asyncio.Protocol):
    """One of the two sockets of a relayed connection."""

    def __init__(self, connection: "RelayedConnection", is_client: bool) -> None:
        self.connection = connection
        self.is_client = is_client
        self.transport: asyncio.Transport | None = None
        self.is_blocked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]
        self.connection.handle_socket(self)

    def data_received(self, data: bytes) -> None:
        """Pass data on."""
        self.connection.receive(self.is_client, data)

    def eof_received(self) -> bool:
        """Pass the end of the data on; keep the other direction open."""
        self.connection.queue_end(self.is_client, is_reset=False)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Pass the loss of the connection on."""
        self.transport = None
        if error is not None and self.is_client:
            self.connection.relay.given_up[self.connection.ends] += 1
        self.connection.queue_end(self.is_client, is_reset=True)

    def pause_writing(self) -> None:
        """Stop reading the other socket."""
        self.is_blocked = True
        self.connection.update_reading(not self.is_client)

    def resume_writing(self) -> None:
        """Read the other socket again."""
        self.is_blocked = False
        self.connection.update_reading(not self.is_client)

    def reset(self) -> None:
        """Reset the connection of this socket."""
        if self.transport is not None:
            sockets.reset_on_close(self.transport)
            self.transport.abort()


@dataclasses.dataclass(slots=True)
class Direction:
    """What crosses the links from one of the sockets to the other."""

    deliveries: collections.deque[Callable[[], None]] = dataclasses.field(
        default_factory=collections.deque
    )
    bytes_in_flight: int = 0
    is_paused: bool = False
    is_ended: bool = False


class RelayedConnection:
    """A connection from one node to another through the links between their regions."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.loop = asyncio.get_running_loop()
        # By whether the socket, or the sender, is the node that opened the connection.
        self.sockets = {is_client: RelaySocket(self, is_client) for is_client in (True, False)}
        self.directions = {True: Direction(), False: Direction()}
        self.first_line = b""
        self.ends: Ends = ("", "")
        self.opened_at = self.loop.time()
        self.data_at = -math.inf
        self.is_silent = False
        self.opening: asyncio.Task | None = None

    # Opening

    def handle_socket(self, sock: RelaySocket) -> None:
        """Register the connection once its client is there."""
        if sock.is_client:
            self.relay.connections.add(self)

    async def open(self, address: str) -> None:
        """Connect to the destination and report the result to the client."""
        await self.cross(is_from_client=True)
        if self.is_silent or self.relay.is_lost(self.ends):
            return
        host, _, port = address.rpartition(":")
        reply = OPENED
        try:
            await self.loop.create_connection(lambda: self.sockets[False], host, int(port))
        except OSError:
            reply = REFUSED
        await self.cross(is_from_client=False)
        client = self.sockets[True]
        if client.transport is None:
            self.sockets[False].reset()
        elif not self.is_silent:
            client.transport.write(reply)
            if reply == REFUSED:
                client.transport.close()

    async def cross(self, is_from_client: bool) -> None:
        """Wait until a packet without data has crossed the link."""
        now = self.loop.time()
        await asyncio.sleep(self.link(is_from_client).transmit(PACKET_BYTES, now) - now)

    def link(self, is_from_client: bool) -> shared_links.SharedLink:
        """Return the link in one direction of the connection."""
        source, destination = self.ends if is_from_client else reversed(self.ends)
        return self.relay.link(source, destination)

    # Data

    def receive(self, is_from_client: bool, data: bytes) -> None:
        """Send data of one socket across the link."""
        if is_from_client and self.opening is None:
            self.receive_first_line(data)
            return
        if self.is_silent:
            return
        self.data_at = self.loop.time()
        self.relay.bytes_sent[self.ends if is_from_client else self.ends[::-1]] += len(data)
        direction = self.directions[is_from_client]
        for offset in range(0, len(data), SEGMENT_BYTES):
            segment = data[offset : offset + SEGMENT_BYTES]
            direction.bytes_in_flight += len(segment)
            self.queue(is_from_client, len(segment), self.writer(is_from_client, segment))
        self.update_reading(is_from_client)

    def receive_first_line(self, data: bytes) -> None:
        """Start to open the connection once its first line is complete."""
        self.first_line += data
        if not self.first_line.endswith(b"\n"):
            return
        source, address = self.first_line.decode("ascii").split()
        self.ends = (source, address.rpartition(":")[0])
        self.opening = self.loop.create_task(self.open(address))

    def writer(self, is_from_client: bool, segment: bytes) -> Callable[[], None]:
        """Return a function that writes a segment which has arrived."""

        def write() -> None:
            self.directions[is_from_client].bytes_in_flight -= len(segment)
            receiver = self.sockets[not is_from_client]
            if receiver.transport is not None:
                receiver.transport.write(segment)
            if not is_from_client:
                self.relay.record_answer(self)
            self.update_reading(is_from_client)

        return write

    def queue(self, is_from_client: bool, size: int, delivery: Callable[[], None]) -> None:
        """Call `delivery` when `size` bytes have crossed the link, after what was sent before."""
        self.directions[is_from_client].deliveries.append(delivery)
        arrives_at = self.link(is_from_client).transmit(size, self.loop.time())
        self.loop.call_at(arrives_at, self.deliver_next, is_from_client)

    def deliver_next(self, is_from_client: bool) -> None:
        """Deliver what has arrived, unless the connection has become silent."""
        delivery = self.directions[is_from_client].deliveries.popleft()
        if not self.is_silent:
            delivery()

    def update_reading(self, is_from_client: bool) -> None:
        """Read a socket only if there is room for its data."""
        direction = self.directions[is_from_client]
        source = self.sockets[is_from_client].transport
        is_full = direction.bytes_in_flight > WINDOW_BYTES
        is_paused = is_full or self.sockets[not is_from_client].is_blocked
        if source is None or source.is_closing() or is_paused == direction.is_paused:
            return
        direction.is_paused = is_paused
        if is_paused:
            source.pause_reading()
        else:
            source.resume_reading()

    # Ending

    def is_open(self) -> bool:
        """Return whether the connection has been opened and is not silent."""
        return self.sockets[False].transport is not None and not self.is_silent

    def queue_end(self, is_from_client: bool, is_reset: bool) -> None:
        """Send the end of one socket's data, or of the whole connection, across the link."""
        if not any(sock.transport for sock in self.sockets.values()):
            self.relay.connections.discard(self)
        if self.is_silent or self.opening is None:
            return
        self.queue(is_from_client, PACKET_BYTES, lambda: self.deliver_end(is_from_client, is_reset))

    def deliver_end(self, is_from_client: bool, is_reset: bool) -> None:
        """End the data to a socket, or reset it; close both once both directions have ended."""
        receiver = self.sockets[not is_from_client]
        self.directions[is_from_client].is_ended = True
        if is_reset:
            receiver.reset()
        elif self.directions[not is_from_client].is_ended:
            for sock in self.sockets.values():
                if sock.transport is not None:
                    sock.transport.close()
        elif receiver.transport is not None:
            receiver.transport.write_eof()

    def silence(self) -> None:
        """Pass nothing on any more, while both sockets stay open."""
        self.is_silent = True
        for direction, sock in ((self.directions[key], self.sockets[key]) for key in (True, False)):
            # Data that a node still sends is read and dropped.
            if direction.is_paused and sock.transport is not None:
                direction.is_paused = False
                sock.transport.resume_reading()

    def reset(self) -> None:
        """Reset both sockets."""
        for sock in self.sockets.values():
            sock.reset()
