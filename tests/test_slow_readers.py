"""Clients that take their responses slowly or not at all, or send large requests slowly.

Guards against an entry whose memory grows with what back ends send, and against streams that are
broken off although their clients read them.
"""

import asyncio
import contextlib
import socket

import pytest

from merlinthread import logs
from merlinthread.coordination import held_bytes
from merlinthread.nodes import memory_limits
from merlinthread.transport import http_messages, slow_clients, stream_client, stream_server
from tests import fleet_nodes, single_entry_fleet

KIB = 1024
MIB = 1024 * KIB
# Events without end; those without an id are always new.
ENDLESS = (b"\r\n\r\n", b"data: " + b"x" * 1000 + b"\n\n")
DEADLINE_S = 1.5


class Holders:
    """Holders of a budget on a clock that the test sets."""

    def __init__(self, bytes_max: int) -> None:
        self.now = 0.0
        self.closed: list[str] = []
        self.budget = held_bytes.Budget(lambda: self.now, bytes_max)

    def open(self, name: str, progress_at: float = 0.0) -> held_bytes.Holder:
        """Return a holder whose close is recorded under `name`."""
        holder = self.budget.open(lambda now: self.closed.append(name), lambda now: None)
        holder.progress_at = progress_at
        return holder


def test_connection_with_most_bytes_for_the_longest_time_is_closed_first():
    holders = Holders(100)
    holders.now = 10.0
    small_and_old, large_and_old = holders.open("small and old"), holders.open("large and old")
    reading = holders.open("reading", progress_at=10.0)
    small_and_old.add(5)
    large_and_old.add(30)
    reading.add(65)
    assert not holders.closed
    small_and_old.add(1)
    assert holders.closed == ["large and old"]
    assert holders.budget.byte_count == 71


# Guards against a bound that closes further connections while the memory of one is being freed.
def test_bytes_of_a_closed_connection_do_not_count():
    holders = Holders(100)
    holders.now = 1.0
    first, second = holders.open("first"), holders.open("second")
    second.add(40)
    first.add(61)
    assert holders.closed == ["first"] and holders.budget.byte_count == 40
    first.add(1000)
    first.add(-1061)
    first.release()
    assert holders.budget.byte_count == 40 and holders.closed == ["first"]


def test_largest_connection_is_closed_if_all_clients_read():
    holders = Holders(100)
    first, second = holders.open("first"), holders.open("second")
    first.add(60)
    second.add(50)
    assert holders.closed == ["first"]


@pytest.mark.parametrize("memory_mb", [64, 152, 200, 4096])
def test_bounds_derive_from_the_memory(memory_mb):
    limits = memory_limits.derive(memory_mb * MIB)
    assert limits.total_bytes <= memory_mb * MIB / 4
    assert limits.connection_bytes < limits.response_bytes < limits.total_bytes


class Client:
    """A client that reads only when it is told to, through a small socket buffer."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * KIB)
        self.socket.setblocking(False)

    async def send(
        self, service: str, request_id: str, deadline_s: float, body: bytes = b"", length=None
    ) -> "Client":
        """Send a request; its body may be shorter than its length."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, (host, int(port)))
        fields = {
            "Host": "h.example",
            "X-Merlinthread-Request-Id": request_id,
            "X-Merlinthread-Deadline-Ms": str(int(deadline_s * 1000)),
            "Api-Key": "key-1",
            "Content-Length": str(len(body) if length is None else length),
        }
        if service == "model":
            fields |= {"X-Merlinthread-Model": "m", "X-Merlinthread-Token-Usage": "100,20"}
        head = f"POST /{service}/x HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        await loop.sock_sendall(self.socket, head.encode() + b"\r\n" + body)
        return self

    async def read(self, size: int = 64 * KIB) -> bytes:
        """Read once; return b"" after the end or a reset."""
        with contextlib.suppress(ConnectionError):
            return await asyncio.get_running_loop().sock_recv(self.socket, size)
        return b""

    def is_closed(self) -> bool:
        """Return whether the entry has closed the connection; discards data that arrived."""
        try:
            while data := self.socket.recv(MIB):
                del data
        except BlockingIOError:
            return False
        except ConnectionError:
            return True
        return True


class SlowFleet(single_entry_fleet.SingleEntryFleet):
    """A fleet with an entry of a given memory, and its clients."""

    def __init__(self, service: str, memory_bytes: int = 256 * MIB) -> None:
        super().__init__(service, 2)
        self.entry = fleet_nodes.Entry(
            fleet_nodes.make_settings("entry", memory_bytes=memory_bytes)
        )
        self.clients: list[Client] = []

    async def __aexit__(self, *error) -> None:
        """Close the clients' connections and stop the workers."""
        for client in self.clients:
            client.socket.close()
        await super().__aexit__(*error)

    @property
    def server(self) -> stream_server.Server:
        """Return the entry's server for clients."""
        return self.entry.node.server

    async def client(self, deadline_s: float = DEADLINE_S, **options) -> Client:
        """Send a request whose client reads nothing yet."""
        client = Client(self.entry.address)
        self.clients.append(client)
        return await client.send(self.service, f"s-{len(self.clients)}", deadline_s, **options)

    def held_by_largest(self) -> int:
        """Return the bytes held for the client for whom most are held."""
        return max((c.holder.byte_count for c in self.server.connections), default=0)


@pytest.fixture
def shed(monkeypatch):
    """Return the list of the logged reasons for which the entry closed connections."""
    reasons = []

    def record(name, **fields):
        if name == "connection_shed":
            reasons.append(fields["reason"])

    monkeypatch.setattr(logs, "warning", record)
    return reasons


# Guards against data of a back end that is kept without a bound while its client does not read.
async def test_stream_of_a_client_that_does_not_read_is_bounded_and_ends_at_its_deadline():
    async with SlowFleet("model") as fleet:
        fleet.set_behaviour(flood=ENDLESS)
        client = await fleet.client()
        limits = fleet.entry.node.pool.memory_limits
        await fleet_nodes.until(lambda: fleet.held_by_largest() > limits.connection_bytes / 2)
        largest = 0
        began = fleet.now()
        while fleet.server.connections and fleet.now() - began < DEADLINE_S + 1.5:
            largest = max(largest, fleet.held_by_largest())
            await asyncio.sleep(0.01)
        # The bound, one read of the socket, and the buffer for writing.
        assert largest < limits.connection_bytes + 256 * KIB + 128 * KIB
        assert not fleet.server.connections and client.is_closed()
        assert fleet.server.held.byte_count == 0
        assert not any(b.failures for b in fleet.entry.node.pool.backends.values())
        assert sum(len(worker.runs) for worker in fleet.workers) == 1


# Guards against a back end that aborts its response because the entry does not read it.
async def test_what_fits_the_bound_is_read_from_the_back_end_at_once():
    async with SlowFleet("model") as fleet:
        fleet.set_behaviour(events=20, event_padding=32 * KIB)
        client = await fleet.client(2.5)
        async with asyncio.timeout(2):
            while sum(worker.events_sent for worker in fleet.workers) < 20:
                await asyncio.sleep(0.01)
            await fleet_nodes.until(lambda: not any(worker.running for worker in fleet.workers))
        assert (await asyncio.wait_for(read_events(client), 3.0)) == 20


async def read_events(client: Client, pause_s: float = 0.0) -> int:
    """Read until the end of a stream in chunks; return the number of events."""
    found = 0
    tail = b""
    while b"\r\n0\r\n\r\n" not in tail:
        data = await client.read()
        if not data:
            break
        found += (tail[-3:] + data).count(b"id: ") - tail[-3:].count(b"id: ")
        tail = (tail + data)[-64:]
        await asyncio.sleep(pause_s)
    return found


# Guards against a bound that breaks off a stream which its client reads slowly.
async def test_stream_over_the_bound_is_delivered_to_a_client_that_reads_slowly(monkeypatch):
    pauses = []
    pause_reading = stream_client.ClientConnection.pause_reading

    def record_pause(connection):
        pauses.append(connection.unread_bytes)
        pause_reading(connection)

    monkeypatch.setattr(stream_client.ClientConnection, "pause_reading", record_pause)

    async with SlowFleet("model", 64 * MIB) as fleet:
        fleet.set_behaviour(events=256, event_padding=32 * KIB)
        client = await fleet.client(2.8)
        await fleet_nodes.until(lambda: pauses)
        assert await read_events(client, pause_s=0.001) == 256
        assert sum(len(worker.runs) for worker in fleet.workers) == 1


# Guards against an entry that ends, or serves nobody, since some clients do not read. Marked, since
# 8 MiB must be read within the deadline of 2.8 s.
@pytest.mark.timed
async def test_clients_that_do_not_read_are_closed_above_the_sum_and_others_are_served(shed):
    async with SlowFleet("model") as fleet:
        fleet.server.held.bytes_max = 3 * MIB
        fleet.set_behaviour(events=1024, event_padding=8 * KIB)
        slow = [await fleet.client(2.8) for _ in range(8)]
        largest = 0

        async def observe():
            nonlocal largest
            while True:
                largest = max(largest, fleet.server.held.byte_count)
                await asyncio.sleep(0.005)

        observer = asyncio.ensure_future(observe())
        await fleet_nodes.until(lambda: shed, 2.0)
        reading = await fleet.client(2.8)
        assert await read_events(reading) == 1024
        observer.cancel()
        assert largest <= 3 * MIB
        assert set(shed) == {"memory"}
        assert 0 < len(shed) < len(slow)


async def test_response_of_a_client_that_does_not_read_is_given_up_after_its_deadline(
    shed, monkeypatch
):
    monkeypatch.setattr(slow_clients, "STALL_TIMEOUT_S", 0.5)

    async with SlowFleet("safe") as fleet:
        fleet.set_behaviour(body_padding=12 * MIB)
        client = await fleet.client(1.0)
        began = fleet.now()
        await fleet_nodes.until(lambda: fleet.held_by_largest() > MIB)
        await fleet_nodes.until(lambda: not fleet.server.connections, 6.0)
        assert 0.9 < fleet.now() - began < 4.0
        assert client.is_closed() and fleet.server.held.byte_count == 0
        assert shed == ["stalled"]
        assert not any(b.failures for b in fleet.entry.node.pool.backends.values())


# Guards against a response that is ready and is cut off at the deadline while its client reads.
async def test_ready_response_is_delivered_after_the_deadline_to_a_client_that_reads():
    async with SlowFleet("safe") as fleet:
        fleet.set_behaviour(body_padding=12 * MIB)
        client = await fleet.client(1.0)
        began = fleet.now()
        received = 0
        while received < 12 * MIB:
            data = await client.read(128 * KIB)
            assert data, "the response was cut off"
            received += len(data)
            await asyncio.sleep(0.02)
        assert fleet.now() - began > 1.2


async def test_requests_that_are_being_received_count(shed):
    async with SlowFleet("safe") as fleet:
        fleet.server.held.bytes_max = 3 * MIB
        first = await fleet.client(body=bytes(MIB), length=2 * MIB)
        await fleet_nodes.until(lambda: fleet.server.held.byte_count > MIB)
        await asyncio.sleep(0.1)
        second = await fleet.client(body=bytes(3 * MIB // 2), length=2 * MIB)
        third = await fleet.client(body=bytes(MIB), length=2 * MIB)
        await fleet_nodes.until(lambda: shed)
        await asyncio.sleep(0.1)
        assert shed == ["memory"]
        assert [client.is_closed() for client in (first, second, third)] == [True, False, False]
        assert (await fleet.request()).status == 200


# Guards against counts that are not returned, which would make the entry close every connection.
@pytest.mark.parametrize("service", ["safe", "unsafe", "model"])
async def test_nothing_is_held_after_requests_have_ended(service):
    async with SlowFleet(service) as fleet:
        fleet.set_behaviour(event_padding=64 * KIB, body_padding=2 * MIB)
        kept = await fleet.entry.send(f"/{service}/x", "id-kept", **single_entry_fleet.STREAM)
        assert (await kept.receive()).status == 200
        await asyncio.sleep(0.05)
        assert fleet.server.connections and fleet.server.held.byte_count == 0
        kept.close()
        left = await fleet.client(body=bytes(64 * KIB))
        await left.read()
        left.socket.close()
        fleet.set_behaviour(closes_without_response=True)
        assert (await fleet.request()).status == 502
        await fleet_nodes.until(lambda: not fleet.server.connections, 4.0)
        assert fleet.server.held.byte_count == 0 and not fleet.server.held.holders


async def connect_to_server(handler=None) -> tuple:
    """Start a server; return it with the reader and the writer of a connection to it."""
    server = stream_server.Server(handler)
    await server.listen("127.0.0.1", 0)
    return server, *await asyncio.open_connection(*server.listener.sockets[0].getsockname())


# Guards against requests of one connection whose bytes stay counted.
async def test_nothing_is_held_between_requests_of_one_connection():
    async def handler(exchange):
        await exchange.respond(http_messages.Response(200, [], exchange.request.body))

    server, reader, writer = await connect_to_server(handler)
    one = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc"
    writer.write(one * 3 + one[:10])
    async with asyncio.timeout(2):
        for _ in range(3):
            await reader.readuntil(b"abc")
    await asyncio.sleep(0.05)
    assert server.held.byte_count == 10
    writer.close()
    await fleet_nodes.until(lambda: not server.connections, 2.0)
    assert server.held.byte_count == 0


# Guards against a body in small chunks that takes many times its size as separate objects.
async def test_body_in_small_chunks_is_kept_in_large_blocks():
    server, _, writer = await connect_to_server()
    writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
    writer.write(b"2\r\nab\r\n" * 50_000)
    await writer.drain()
    await fleet_nodes.until(lambda: any(c.body.size == 100_000 for c in server.connections))
    (connection,) = server.connections
    assert b"".join(connection.body.chunks) == b"ab" * 50_000
    assert len(connection.body.chunks) <= 2
    writer.close()
