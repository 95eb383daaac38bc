"""The asyncio HTTP client and server, and calls between nodes, on broken or slow connections."""

import asyncio
import random
import socket
import struct

import h11
import pytest

from merlinthread import errors
from merlinthread.protocol import node_messages, piece_messages
from merlinthread.transport import (
    connection_pool,
    http_messages,
    node_bus,
    stream_client,
    stream_server,
)
from tests import fleet_nodes


async def serve(handler, limits=None) -> tuple[stream_server.Server, str]:
    server = stream_server.Server(handler, limits)
    await server.listen("127.0.0.1", 0)
    port = server.listener.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


async def raw_server(reply: bytes, reset: bool = False) -> str:
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        await writer.drain()
        if reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def get(path: bytes = b"/") -> http_messages.Request:
    return http_messages.Request(b"GET", path, [(b"host", b"a")])


async def call(address: str) -> http_messages.Response:
    pool = connection_pool.ConnectionPool(5.0, 1.0, 2.0)
    return await pool.request(address, get(), 2.0)


def test_response_is_complete_and_the_connection_is_reused():
    async def scenario():
        connections = []

        async def handler(exchange):
            connections.append(id(exchange.connection))
            await exchange.respond(http_messages.Response(200, [], b"hello"))

        _, address = await serve(handler)
        pool = connection_pool.ConnectionPool(5.0, 1.0, 2.0)
        bodies = [(await pool.request(address, get(), 2.0)).body for _ in range(3)]
        assert bodies == [b"hello"] * 3
        assert len(set(connections)) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-le",
    ],
)
def test_truncated_response_raises_an_error(reply):
    async def scenario():
        address = await raw_server(reply)
        with pytest.raises((errors.ProtocolError, errors.UnreachableError)):
            await call(address)

    asyncio.run(scenario())


def test_response_until_close_is_complete_only_without_a_reset():
    async def scenario():
        closed = await raw_server(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        assert (await call(closed)).body == b"all of it"
        aborted = await raw_server(b"HTTP/1.1 200 OK\r\n\r\nall of it", reset=True)
        with pytest.raises(errors.UnreachableError):
            await call(aborted)

    asyncio.run(scenario())


def test_connection_with_extra_bytes_is_not_reused():
    async def scenario():
        reply = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n"
        address = await raw_server(reply)
        connection = await stream_client.connect(address, 1.0, 2.0)
        connection.send(get())
        assert (await connection.receive()).body == b"a"
        assert not connection.prepare_reuse(0.0, 5.0)

    asyncio.run(scenario())


def test_client_disconnect_cancels_the_handler():
    async def scenario():
        began, cancelled = asyncio.Event(), asyncio.Event()

        async def handler(exchange):
            began.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.set()
                raise

        _, address = await serve(handler)
        connection = await stream_client.connect(address, 1.0, 2.0)
        connection.send(get())
        await began.wait()
        connection.close()
        async with asyncio.timeout(2):
            await cancelled.wait()

    asyncio.run(scenario())


async def send_raw(address: str, data: bytes) -> bytes:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(3):
        reply = await reader.read()
    writer.close()
    return reply


async def unexpected_call(exchange):
    raise AssertionError("the handler was called")


def test_a_body_over_the_limit_gets_413():
    async def scenario():
        _, address = await serve(unexpected_call, http_messages.Limits(body_bytes=10))
        length = await send_raw(
            address, b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n"
        )
        assert length.startswith(b"HTTP/1.1 413")
        chunked = await send_raw(
            address,
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"b\r\nhello world\r\n0\r\n\r\n",
        )
        assert chunked.startswith(b"HTTP/1.1 413")

    asyncio.run(scenario())


def test_incomplete_request_head_gets_408_after_the_timeout():
    async def scenario():
        _, address = await serve(unexpected_call, http_messages.Limits(header_timeout_s=0.2))
        reply = await send_raw(address, b"GET / HTTP/1.1\r\nho")
        assert reply.startswith(b"HTTP/1.1 408")

    asyncio.run(scenario())


def test_a_head_over_the_limit_gets_431():
    async def scenario():
        _, address = await serve(unexpected_call, http_messages.Limits(header_bytes=512))
        reply = await send_raw(address, b"GET / HTTP/1.1\r\nx: " + b"y" * 2000)
        assert reply.startswith(b"HTTP/1.1 431")

    asyncio.run(scenario())


def test_aborted_response_is_not_taken_as_complete():
    async def scenario():
        async def handler(exchange):
            exchange.start_response(200, [])
            await exchange.send(b"part")
            exchange.abort()

        _, address = await serve(handler)
        with pytest.raises((errors.ProtocolError, errors.UnreachableError)):
            await call(address)

    asyncio.run(scenario())


def test_stopping_server_finishes_responses_and_sends_connection_close():
    async def scenario():
        release = asyncio.Event()

        async def handler(exchange):
            await release.wait()
            await exchange.respond(http_messages.Response(200, [], b"late"))

        server, address = await serve(handler)
        task = asyncio.create_task(call(address))
        while not server.count_active_requests():
            await asyncio.sleep(0)
        server.stop_accepting()
        release.set()
        response = await task
        assert response.body == b"late"
        assert http_messages.get_header(response.headers, b"connection") == b"close"

    asyncio.run(scenario())


def test_stopping_server_answers_a_partially_read_request():
    async def scenario():
        async def handler(exchange):
            await exchange.respond(http_messages.Response(200, [], exchange.request.body))

        server, address = await serve(handler)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nab")
        while not any(connection.body.chunks for connection in server.connections):
            await asyncio.sleep(0)
        server.stop_accepting()
        writer.write(b"cd")
        async with asyncio.timeout(2):
            assert (await reader.read()).endswith(b"abcd")
        writer.close()

    asyncio.run(scenario())


def test_connection_closes_after_a_stream_begun_before_the_stop():
    async def scenario():
        release = asyncio.Event()

        async def handler(exchange):
            exchange.start_response(200, [])
            await exchange.send(b"first")
            await release.wait()
            await exchange.finish()

        server, address = await serve(handler)
        connection = await stream_client.connect(address, 1.0, 2.0)
        connection.send(get())
        await connection.next_event()
        server.stop_accepting()
        release.set()
        async with asyncio.timeout(2):
            while not connection.is_lost:
                await asyncio.sleep(0.01)
        assert server.connections == set()

    asyncio.run(scenario())


def test_node_that_closes_without_a_reply_is_unreachable():
    async def scenario():
        address = await raw_server(b"")
        client = node_bus.RpcClient(fleet_nodes.make_codec())
        with pytest.raises(errors.MerlinthreadError) as raised:
            await client.call(address, node_messages.ConfigurationRequest(), 2.0)
        assert raised.value.kind is errors.ErrorKind.UNREACHABLE

    asyncio.run(scenario())


def test_closing_a_connection_discards_unsent_bytes():
    async def scenario():
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        port = listener.getsockname()[1]
        connection = await stream_client.connect(f"127.0.0.1:{port}", 1.0, 2.0)
        accepted, _ = await loop.sock_accept(listener)
        body = b"x" * (1 << 22)
        headers = [(b"host", b"a"), (b"content-length", b"%d" % len(body))]
        connection.send(http_messages.Request(b"POST", b"/", headers, body))
        connection.close()
        await asyncio.sleep(0)
        with pytest.raises(ConnectionResetError):
            while await loop.sock_recv(accepted, 1 << 16):
                pass
        accepted.close()
        listener.close()

    asyncio.run(scenario())


class StallingServer:
    """A server whose open connections stop responding when `generation` changes."""

    def __init__(self) -> None:
        self.generation = 0
        self.connections = 0

    async def start(self) -> str:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer) -> None:
        generation = self.generation
        self.connections += 1
        while await reader.readuntil(b"\r\n\r\n"):
            if generation != self.generation:
                await asyncio.Event().wait()
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")


def test_one_timeout_discards_all_frozen_idle_connections():
    async def scenario():
        server = StallingServer()
        address = await server.start()
        pool = connection_pool.ConnectionPool(60.0, 1.0, 2.0)
        await asyncio.gather(*(pool.request(address, get(), 5.0) for _ in range(3)))
        assert server.connections == 3
        server.generation += 1
        with pytest.raises(errors.UnreachableError):
            await pool.request(address, get(), 0.05)
        responses = await asyncio.gather(*(pool.request(address, get(), 5.0) for _ in range(3)))
        assert [response.body for response in responses] == [b"ok"] * 3

    asyncio.run(scenario())


def test_half_closed_client_cancels_a_blocked_handler():
    async def scenario():
        cancelled = asyncio.Event()
        sending = asyncio.Event()

        async def handler(exchange):
            exchange.start_response(200, [])
            try:
                while True:
                    sending.set()
                    await exchange.send(bytes(1 << 20))
            except asyncio.CancelledError:
                cancelled.set()
                raise

        _, address = await serve(handler)
        host, port = address.split(":")
        sock = socket.socket()
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        await asyncio.get_running_loop().sock_sendall(sock, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        await sending.wait()
        sock.shutdown(socket.SHUT_WR)
        await asyncio.wait_for(cancelled.wait(), 5.0)
        sock.close()

    asyncio.run(scenario())


def test_long_reply_is_sent_in_paced_chunks(monkeypatch):
    async def scenario():
        # Random bytes, since a compressible payload would fit into one chunk.
        reply = piece_messages.PieceReply(3, random.Random(1).randbytes(24_576), b"")

        async def handler(message):
            return reply

        codec = fleet_nodes.make_codec()
        listener = node_bus.RpcServer(codec, handler, pacing_bytes_per_s=lambda: 200_000.0)
        await listener.listen("127.0.0.1", 0)
        port = listener.server.listener.sockets[0].getsockname()[1]
        sent = []
        write = stream_server.ServerConnection.write

        def record_write(connection, event):
            if isinstance(event, h11.Data):
                sent.append((asyncio.get_running_loop().time(), len(event.data)))
            write(connection, event)

        monkeypatch.setattr(stream_server.ServerConnection, "write", record_write)
        request = piece_messages.PieceRequest("m", 1, b"\xff")
        received = await node_bus.RpcClient(codec).call(f"127.0.0.1:{port}", request, 5.0)
        assert received == reply
        assert max(size for _, size in sent) <= node_bus.SEND_CHUNK_BYTES
        began, total = sent[0][0], 0
        for at, size in sent:
            assert at - began >= total / 200_000.0 - 0.002, "a chunk was sent too early"
            total += size

    asyncio.run(scenario())


class FakeConnector:
    """Replaces `stream_client.connect`; `plan` lists the outcome of each call, in order."""

    def __init__(self, plan: list[str]) -> None:
        self.plan = plan
        self.made: list[stream_client.ClientConnection] = []
        self.cancelled = 0

    async def connect(self, address, timeout_s, user_timeout_s):
        step = self.plan.pop(0)
        if step == "refused":
            raise errors.UnreachableError("refused")
        if step == "lost":
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        connection = stream_client.ClientConnection()
        self.made.append(connection)
        return connection


@pytest.mark.parametrize(
    "plan, made, cancelled",
    [(["lost", "made"], 1, 1), (["made"], 1, 0), (["lost", "refused"], 0, 1)],
)
def test_lost_connection_attempt_is_hedged_by_a_second(monkeypatch, plan, made, cancelled):
    connector = FakeConnector(list(plan))
    monkeypatch.setattr(stream_client, "connect", connector.connect)

    async def scenario():
        async with asyncio.timeout(0.5):
            return await stream_client.connect_hedged("127.0.0.1:1", 0.01, 0.3, 2.0)

    if made:
        assert asyncio.run(scenario()) is connector.made[0]
    else:
        with pytest.raises(TimeoutError):
            asyncio.run(scenario())
    assert not connector.plan
    assert connector.cancelled == cancelled


def test_surplus_hedged_connection_is_closed(monkeypatch):
    closed = []
    monkeypatch.setattr(stream_client.ClientConnection, "close", lambda self: closed.append(self))
    gate = asyncio.Event()

    async def connect(address, timeout_s, user_timeout_s):
        await gate.wait()
        return stream_client.ClientConnection()

    monkeypatch.setattr(stream_client, "connect", connect)

    async def scenario():
        asyncio.get_running_loop().call_later(0.05, gate.set)
        chosen = await stream_client.connect_hedged("127.0.0.1:1", 0.01, 0.3, 2.0)
        await fleet_nodes.until(lambda: len(closed) == 1)
        assert chosen not in closed

    asyncio.run(scenario())
