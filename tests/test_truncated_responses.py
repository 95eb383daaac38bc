"""A response that is cut off at any byte is never taken for a whole one.

Guards against a 200 with an empty or short body, framed as whole, after a back end that stopped
inside the head of its response and closed the connection.
"""

import asyncio
import socket
import threading

import pytest

from merlinthread import errors
from merlinthread.transport import http_client, http_messages, stream_client
from tests import fleet_nodes

HEADERS = b"X-Merlinthread-Request-Id: id-1\r\nX-Merlinthread-Response-Stamp: s\r\n"
RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\nServer: w\r\nContent-Length: 5\r\n" + HEADERS + b"\r\nhello",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + HEADERS + b"\r\nhello",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    + HEADERS
    + b"\r\n5\r\nhello\r\n0\r\n\r\n",
    "trailer": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    + HEADERS
    + b"\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
    "empty": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + HEADERS + b"\r\n",
    "informational": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
    + HEADERS
    + b"\r\nhello",
}
BODIES = {name: b"" if name == "empty" else b"hello" for name in RESPONSES}


class ScriptedServer:
    """Answers each connection with the next of some byte strings, and closes it."""

    def __init__(self, responses: list[bytes]) -> None:
        self.responses = responses
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}/"
        self.thread = threading.Thread(target=self.serve)
        self.thread.start()

    def serve(self) -> None:
        for response in self.responses:
            connection, _ = self.listener.accept()
            with connection:
                connection.settimeout(5.0)
                connection.recv(65536)
                connection.sendall(response)
                connection.shutdown(socket.SHUT_WR)
                while connection.recv(65536):
                    pass
        self.listener.close()


def read_all(responses: list[bytes]) -> list[tuple[int, bytes] | None]:
    """Return status and body of each response as `http_client` reads it, or None for an error."""
    server = ScriptedServer(responses)
    found: list[tuple[int, bytes] | None] = []
    for _ in responses:
        client = http_client.Client()
        try:
            response = client.request("GET", server.url, timeout_s=5.0)
            found.append((response.status, response.body))
        except errors.UnreachableError:
            found.append(None)
        client.pool.clear()
    server.thread.join(10)
    return found


@pytest.mark.parametrize("name", RESPONSES)
def test_client_of_the_product_takes_no_cut_off_response(name):
    whole = RESPONSES[name]
    cuts = [whole[:length] for length in range(len(whole))]
    assert read_all([*cuts, whole]) == [None] * len(cuts) + [(200, BODIES[name])]


@pytest.mark.parametrize("name", RESPONSES)
def test_client_of_the_nodes_takes_no_cut_off_response(name):
    whole = RESPONSES[name]

    async def scenario():
        cuts = iter(range(len(whole) + 1))

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(whole[: next(cuts)])
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        found = []
        for _ in range(len(whole) + 1):
            connection = await stream_client.connect(address, 1.0, 2.0)
            connection.send(http_messages.Request(b"GET", b"/", [(b"host", b"h")]))
            try:
                response = await connection.receive()
                found.append((response.status, response.body))
            except errors.MerlinthreadError:
                found.append(None)
            connection.close()
        server.close()
        assert found == [None] * len(whole) + [(200, BODIES[name])]

    asyncio.run(scenario())


# Guards against the same through an entry, which would give the short body a length of its own.
@pytest.mark.parametrize("name", ["length", "chunks"])
def test_entry_passes_on_no_cut_off_response(name):
    whole = RESPONSES[name]

    async def scenario():
        cut = [0]

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(whole[: cut[0]])
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        entry = fleet_nodes.Entry()
        await entry.start()

        class Worker:
            instance, model, version = "i-1", "", 1
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

        entry.apply_update(fleet_nodes.configuration(1, ["unsafe"]), {Worker: "unsafe"})
        pool = entry.node.pool
        for length in range(len(whole) + 1):
            cut[0] = length
            # Failures of the only back end are not held against it.
            for backend in pool.backends.values():
                backend.ejected_until = float("-inf")
            response = await entry.request("/unsafe/x", "id-1")
            is_whole = length == len(whole)
            assert (response.status == 200) is is_whole, (length, response)
        assert response.body == b"hello"
        server.close()

    asyncio.run(scenario())


UNCLEAR = {
    "no length": b"HTTP/1.1 200 OK\r\n\r\nhel",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\nhel",
    "length and chunks": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n0\r\n\r\n",
    "unknown encoding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhel",
    "two encodings": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
    b"3\r\nhel\r\n0\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello",
    "negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhel",
    "no number": b"HTTP/1.1 200 OK\r\nContent-Length: 0x3\r\n\r\nhel",
}


# Guards against a body that ends with the connection, or where two readers disagree on its end.
@pytest.mark.parametrize("name", UNCLEAR)
def test_response_whose_end_is_not_clear_is_an_error(name):
    assert read_all([UNCLEAR[name]]) == [None]


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_response_that_can_have_no_body_needs_no_length(status):
    response = b"HTTP/1.1 " + status + b"\r\nServer: w\r\n\r\n"
    assert read_all([response]) == [(int(status[:3]), b"")]
