"""Room for responses that are read as a whole, and their sending as fast as the client takes them.

Guards against responses that are cut off because all are read at once, against requests that wait
for each other's room, and against the end of a response that is lost while its client reads slowly.
"""

import asyncio
import contextlib

import pytest

from merlinthread.coordination import held_bytes, response_room
from merlinthread.transport import http_messages, stream_server
from tests import entry_process

MIB = 1024 * 1024
BODY = bytes(range(256)) * (4 * MIB // 256)


class Clients:
    """Holders in a budget of 80 bytes, of which an eighth is spare, and 20 more for responses."""

    def __init__(self) -> None:
        self.now = 10.0
        self.budget = held_bytes.Budget(lambda: self.now, 80)
        self.budget.extra_bytes = 20
        self.room = response_room.ResponseRoom(self.budget)
        self.served: list[str] = []
        self.closed: list[str] = []

    def open(self, name: str, byte_count: int = 0, is_stalled: bool = False) -> held_bytes.Holder:
        """Open a holder that waits for its response, or has stalled."""

        def refresh(now: float) -> None:
            holder.progress_at = 1.0 if is_stalled else now

        holder = self.budget.open(lambda now: self.closed.append(name), refresh)
        holder.add(byte_count)
        return holder

    def request(self, holder: held_bytes.Holder, name: str, byte_count: int):
        """Request room for a response."""
        return self.room.request(holder, byte_count, lambda: self.served.append(name))


def test_responses_get_room_in_their_order():
    clients = Clients()
    holders = {name: clients.open(name) for name in "abcd"}
    for name, byte_count in (("a", 50), ("b", 50), ("c", 45), ("d", 1)):
        clients.request(holders[name], name, byte_count)
    assert clients.served == ["a"]
    holders["a"].return_reserved(10)
    assert clients.served == ["a", "b"]
    holders["b"].release()
    assert clients.served == ["a", "b", "c", "d"] and not clients.closed


def test_responses_have_room_while_requests_fill_the_rest():
    clients = Clients()
    holders = [clients.open(str(number), 20) for number in range(4)]
    for number, holder in enumerate(holders):
        clients.request(holder, str(number), 20)
    for number, holder in enumerate(holders):
        assert len(clients.served) > number
        holder.release()
    assert clients.served == ["0", "1", "2", "3"] and not clients.closed


def test_response_that_waits_no_longer_lets_the_next_one_go_on():
    clients = Clients()
    first = clients.open("first", 70)
    waiter = clients.request(clients.open("large"), "large", 60)
    clients.request(clients.open("small"), "small", 20)
    assert not clients.served
    clients.room.cancel(waiter)
    assert clients.served == ["small"]
    first.release()


def test_only_stalled_clients_give_their_room_up_to_waiting_responses():
    clients = Clients()
    clients.open("stalled", 40, is_stalled=True)
    clients.open("waiting", 30)
    clients.request(clients.open("next"), "next", 60)
    clients.room.close_stalled(clients.now)
    assert clients.closed == ["stalled"] and clients.served == ["next"]


# Guards against a request that has run and is given up for the first bytes of another one.
def test_requests_that_are_served_are_kept_at_the_bound():
    clients = Clients()
    for _ in range(2):
        clients.open("served", 40)
    clients.open("head", 5)
    assert not clients.closed
    clients.open("another head", 5)
    assert clients.closed == ["served"]


async def start(handler) -> tuple:
    """Start a server; return it with a connection whose client takes its data slowly."""
    server = stream_server.Server(handler)
    await server.listen("127.0.0.1", 0)
    host, port = server.listener.sockets[0].getsockname()
    return server, *await asyncio.open_connection(host, port, limit=64 * 1024)


async def read_body(reader) -> bytes:
    """Read a response and return its body."""
    await reader.readuntil(b"\r\n\r\n")
    return await reader.readexactly(len(BODY))


REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.mark.parametrize("end", ["next request", "half-close", "shutdown", "connection: close"])
def test_response_is_sent_whole_after_its_handler_has_ended(end):
    async def scenario():
        ended = asyncio.Event()

        async def handler(exchange):
            try:
                async with asyncio.timeout(0.05):
                    await exchange.respond(http_messages.Response(200, [], BODY))
            except TimeoutError:
                ended.set()

        server, reader, writer = await start(handler)
        lines = b"Connection: close\r\n\r\n" if end == "connection: close" else b"\r\n"
        writer.write(REQUEST[:-2] + lines)
        async with asyncio.timeout(10):
            await ended.wait()
            if end == "half-close":
                writer.write_eof()
            elif end == "shutdown":
                server.stop_accepting()
            elif end == "next request":
                writer.write(REQUEST)
            assert await read_body(reader) == BODY
            if end == "next request":
                assert await read_body(reader) == BODY
            else:
                assert await reader.read() == b""
        await entry_process.close(writer)

    asyncio.run(scenario())


def test_response_that_is_not_finished_is_cut_off_when_its_client_leaves():
    async def scenario():
        cancelled = asyncio.Event()

        async def handler(exchange):
            try:
                await exchange.respond(http_messages.Response(200, [], BODY))
            except asyncio.CancelledError:
                cancelled.set()
                raise

        server, reader, writer = await start(handler)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        await entry_process.close(writer)
        async with asyncio.timeout(10):
            await cancelled.wait()
            while server.connections:
                await asyncio.sleep(0.01)
        assert server.held.byte_count == 0

    asyncio.run(scenario())


# Guards against a client that fills the memory with further requests while it reads no response.
def test_requests_sent_ahead_of_a_response_are_not_read_without_bound():
    async def scenario():
        async def handler(exchange):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    await exchange.respond(http_messages.Response(200, [], BODY))

        server, reader, writer = await start(handler)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        (connection,) = server.connections
        writer.write(REQUEST * 100_000)
        async with asyncio.timeout(10):
            while connection.is_reading:
                await asyncio.sleep(0.01)
        received = len(connection.parser.trailing_data[0])
        assert received < 3 * stream_server.READ_AHEAD_BYTES_MAX
        await entry_process.close(writer)

    asyncio.run(scenario())
