"""Responses that go on until their reader closes the connection.

Guards against an entry or agent that fills its memory, or waits for ever, with bytes that are no
response.
"""

import asyncio
import time

import pytest

from merlinthread import errors
from merlinthread.nodes import attempts, engine_client, response_relay
from merlinthread.platform import dialect
from merlinthread.protocol import event_stream
from merlinthread.transport import connection_pool, http_messages, stream_client
from tests import floods, single_entry_fleet

FLOOD_BYTES_MAX = 96 * 1024 * 1024
KIB = 1024


async def listen(respond) -> str:
    """Call `respond` with the writer of each connection that sent a request; return the address."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await respond(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


class FloodServer:
    """Sends a response without end to each request, and counts what it could send."""

    def __init__(self, first: bytes, repeated: bytes) -> None:
        self.first = first
        self.block = repeated * (1 + 16 * KIB // len(repeated))
        self.sent = 0
        self.closed = asyncio.Event()

    async def start(self) -> str:
        """Listen on a free port; return the address."""
        return await listen(self.respond)

    async def respond(self, writer) -> None:
        """Send until the client closes the connection."""
        try:
            writer.write(self.first)
            while self.sent < FLOOD_BYTES_MAX:
                writer.write(self.block)
                self.sent += len(self.block)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed.set()
        finally:
            writer.close()


def get() -> http_messages.Request:
    return http_messages.Request(b"GET", b"/", [(b"host", b"a")])


@pytest.mark.parametrize("name", floods.FLOODS)
async def test_call_ends_with_an_error_and_closes_the_connection(name):
    server = FloodServer(*floods.FLOODS[name])
    address = await server.start()
    pool = connection_pool.ConnectionPool(5.0, 1.0, 2.0)
    began = time.monotonic()
    with pytest.raises(errors.ProtocolError):
        await pool.request(address, get(), 5.0, 256 * KIB)
    assert time.monotonic() - began < 3.0
    async with asyncio.timeout(2):
        await server.closed.wait()
    # What the kernel buffers on both sides is beyond the reader's control.
    assert server.sent < 16 * 1024 * KIB
    assert not pool.idle


# Guards against a time limit that starts again with each byte.
@pytest.mark.parametrize("first", [b"HTTP/1.1 200 OK\r\nx-a: ", b"HTTP/1.1 200 OK\r\n\r\n"])
async def test_call_ends_in_time_if_bytes_arrive_one_by_one(first):
    async def respond(writer):
        writer.write(first)
        for _ in range(200):
            writer.write(b"x")
            await asyncio.sleep(0.02)
        writer.close()

    address = await listen(respond)
    pool = connection_pool.ConnectionPool(5.0, 1.0, 2.0)
    began = time.monotonic()
    with pytest.raises(errors.UnreachableError):
        await pool.request(address, get(), 0.3)
    assert time.monotonic() - began < 2.0


# Guards against bounds that refuse bodies which a node may send.
@pytest.mark.parametrize("chunk_bytes", [16, 1024, 256 * KIB])
async def test_body_within_its_bound_is_read(chunk_bytes):
    body = b"x" * (256 * KIB)
    count = len(body) // chunk_bytes
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"

    async def respond(writer):
        writer.write(floods.CHUNKED + chunk * count + b"0\r\n\r\n")
        await writer.drain()
        writer.close()

    pool = connection_pool.ConnectionPool(5.0, 1.0, 2.0)
    response = await pool.request(await listen(respond), get(), 5.0, len(body))
    assert response.body == body


# Guards against bytes after a complete response that are kept for as long as it is processed.
async def test_surplus_after_a_response_is_not_read_without_end():
    first = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na"
    server = FloodServer(first, b"x" * KIB)
    connection = await stream_client.connect(await server.start(), 1.0, 2.0)
    connection.send(get())
    assert (await connection.receive()).body == b"a"
    await asyncio.sleep(0.3)
    assert connection.unread_bytes <= stream_client.UNREAD_BYTES_MAX + 256 * KIB
    assert not connection.prepare_reuse(0.0, 5.0)
    async with asyncio.timeout(2):
        await server.closed.wait()


async def test_data_that_waited_for_its_reader_arrives_complete():
    body = bytes(range(256)) * (32 * KIB)

    async def respond(writer):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()

    connection = await stream_client.connect(await listen(respond), 1.0, 2.0)
    connection.unread_bytes_max = 512 * KIB
    connection.send(get())
    await asyncio.sleep(0.2)
    assert 0 < connection.unread_bytes <= 768 * KIB
    async with asyncio.timeout(5):
        assert (await connection.receive()).body == body
    assert connection.unread_bytes == 0
    connection.close()


@pytest.mark.parametrize("call", ["report", "manifest", "piece", "staged piece"])
async def test_agent_ends_responses_of_engine_and_origin(call):
    server = FloodServer(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * KIB)
    address = await server.start()
    client = engine_client.EngineClient(dialect.PlatformDialect(), address)
    client.piece_bytes = 24 * KIB
    manifest = engine_client.fleet.Manifest("m", 1, 1, ["0" * 64])
    calls = {
        "report": lambda: client.fetch_report(),
        "manifest": lambda: client.fetch_manifest(address, "m", 1),
        "piece": lambda: client.fetch_piece(address, manifest, 0),
        "staged piece": lambda: client.read_staged_piece(manifest, 0),
    }
    with pytest.raises(errors.ProtocolError, match="exceeds"):
        await calls[call]()
    async with asyncio.timeout(2):
        await server.closed.wait()
    assert server.sent < 24 * 1024 * KIB


# Guards against quadratic time: each part used to copy all earlier parts of its event.
def test_event_without_end_is_refused_in_linear_time():
    splitter = event_stream.EventSplitter()
    began = time.process_time()
    with pytest.raises(errors.ProtocolError):
        for _ in range(event_stream.EVENT_BYTES_MAX):
            splitter.feed(b"data: x" + b"y" * 9)
    assert time.process_time() - began < 2.0


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_events_are_split_alike_whatever_the_parts(size):
    data = b"id: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n\n: c\n\nid: 3\n"
    splitter = event_stream.EventSplitter()
    items = [
        item for at in range(0, len(data), size) for item in splitter.feed(data[at : at + size])
    ]
    assert [item.event_id for item in items] == ["1", "2", ""]
    assert bytes(splitter.buffer) == b"id: 3\n"


# Bytes after the head of a worker's response, or the whole beginning, and what is repeated.
WORKER_FLOODS = {
    "head": (b"\r\n", b"x-a: b\r\n"),
    "interim responses": (b"HTTP/1.1 103 Early Hints\r\n\r\n", b"HTTP/1.1 102 Wait\r\n\r\n"),
    "chunk extensions": (
        b"\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1;" + b"x" * 1000 + b"\r\na\r\n",
    ),
    "body": (b"\r\n\r\n", b"x" * KIB),
}
STREAM_FLOODS = {
    "event that never ends": (b"\r\n\r\nid: 1\ndata: ", b"x" * KIB),
    "blank lines": (b"\r\n\r\n", b"\n" * KIB),
    "same event": (b"\r\n\r\n", b"id: 0\ndata: 0\n\n"),
}


async def request_from_flooding(fleet, flood):
    """Send a request whose first attempt is at a worker that floods; return both workers."""
    first, second = fleet.workers
    backends = fleet.entry.node.pool.backends
    first.behaviour.flood = flood
    backends[second.instance].is_draining = True
    task = asyncio.ensure_future(fleet.request())
    while not first.runs:
        await asyncio.sleep(0)
    backends[second.instance].is_draining = False
    async with asyncio.timeout(4):
        return await task, backends[first.instance], second


@pytest.mark.parametrize(
    ("service", "name"),
    [("safe", name) for name in WORKER_FLOODS]
    + [("model", name) for name in [*WORKER_FLOODS, *STREAM_FLOODS]],
)
async def test_request_is_repeated_elsewhere_and_the_back_end_failed_once(service, name):
    async with single_entry_fleet.SingleEntryFleet(service) as fleet:
        flood = (WORKER_FLOODS | STREAM_FLOODS)[name]
        began = fleet.now()
        response, flooding, second = await request_from_flooding(fleet, flood)
        assert response.status == 200 and len(second.runs) == 1
        assert flooding.failures == 1
        assert fleet.now() - began < 2.5, "the bound was not reached before the deadline"
        assert fleet.workers[0].flood_bytes < 64 * 1024 * KIB


# Guards against an entry that reads hundreds of thousands of small events which the client has, so
# that a busy entry reaches the request's deadline before the bound and can't repeat the request.
async def test_events_that_the_client_has_are_bounded_in_number(monkeypatch):
    is_new = response_relay.ResponseRelay.is_new
    old_events = 0

    def count_old_events(relay, item):
        nonlocal old_events
        found = is_new(relay, item)
        old_events += not found
        return found

    monkeypatch.setattr(response_relay.ResponseRelay, "is_new", count_old_events)
    async with single_entry_fleet.SingleEntryFleet("model") as fleet:
        first, repeated = STREAM_FLOODS["same event"]
        _, flooding, _ = await request_from_flooding(fleet, (first, repeated))
        assert flooding.failures == 1
        # The bound, and one read of the socket.
        one_read = 256 * KIB // len(repeated)
        assert attempts.SKIPPED_EVENTS_MAX < old_events <= attempts.SKIPPED_EVENTS_MAX + one_read


@pytest.mark.parametrize("name", WORKER_FLOODS)
async def test_request_that_may_run_only_once_has_an_unknown_outcome(name):
    async with single_entry_fleet.SingleEntryFleet("unsafe") as fleet:
        response, flooding, second = await request_from_flooding(fleet, WORKER_FLOODS[name])
        assert response.status == 502 and not second.runs
        assert flooding.failures == 1
