"""Connection reuse by the HTTP client, and responses that go on without end."""

import socket
import threading
import time

import pytest

from merlinthread import errors
from merlinthread.transport import http_client
from tests import floods

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def respond_twice(listener: socket.socket, release: threading.Event) -> None:
    """Send two responses on one connection, the last chunk of the first with a delay."""
    connection, _ = listener.accept()
    connection.recv(65536)
    connection.sendall(HEAD + b"5\r\nfirst\r\n")
    release.wait(10)
    connection.sendall(b"0\r\n\r\n")
    connection.recv(65536)
    connection.sendall(HEAD + b"6\r\nsecond\r\n0\r\n\r\n")


def test_released_response_leaves_no_bytes_for_the_next_one():
    """Guards against reading the last chunk as the status line of the next response."""
    listener = socket.create_server(("127.0.0.1", 0))
    release = threading.Event()
    thread = threading.Thread(target=respond_twice, args=(listener, release))
    thread.start()
    url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
    client = http_client.Client()
    stream = client.open("GET", url)
    assert next(stream.iter_chunks()) == b"first"
    release.set()
    stream.release()
    assert client.request("GET", url).body == b"second"
    thread.join(10)
    listener.close()


FLOOD_BYTES_MAX = 128 * 1024 * 1024
FLOOD_HEAD = b"HTTP/1.1 200 OK\r\n"
# Chunks of one byte take 0.8 s of processor time.
FLOODS = [
    pytest.param(name, marks=pytest.mark.timed) if name == "chunks of one byte" else name
    for name in floods.FLOODS
]


class FloodServer:
    """Sends one response that goes on until its reader closes the connection."""

    def __init__(self, first: bytes, repeated: bytes, delay_s: float = 0.0) -> None:
        self.first = first
        self.block = repeated if delay_s else repeated * (1 + 16384 // len(repeated))
        self.delay_s = delay_s
        self.sent = 0
        self.is_closed = False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}/"
        self.thread = threading.Thread(target=self.serve)
        self.thread.start()

    def serve(self) -> None:
        """Send until the client closes the connection, or for at most 15 s."""
        connection, _ = self.listener.accept()
        connection.settimeout(5.0)
        connection.recv(65536)
        until = time.monotonic() + 15.0
        try:
            connection.sendall(self.first)
            while self.sent < FLOOD_BYTES_MAX and time.monotonic() < until:
                connection.sendall(self.block)
                self.sent += len(self.block)
                time.sleep(self.delay_s)
        except ConnectionError:
            self.is_closed = True
        finally:
            connection.close()
            self.listener.close()


@pytest.mark.parametrize("name", FLOODS)
def test_response_without_end_is_an_error_and_closes_the_connection(name):
    """Guards against a daemon or command that reads until its memory is full, or for ever."""
    server = FloodServer(*floods.FLOODS[name])
    began = time.monotonic()
    with pytest.raises(errors.UnreachableError):
        http_client.Client().request("GET", server.url, timeout_s=2.0, limit_bytes=256 * 1024)
    assert time.monotonic() - began < 3.0
    server.thread.join(10)
    assert server.is_closed and server.sent < 32 * 1024 * 1024


def test_informational_responses_are_skipped():
    """Guards against a 103 response that is taken for the final one."""
    hints = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
    final = b"HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\nok"
    server = FloodServer(hints + b"HTTP/1.1 100 Continue\r\n\r\n" + hints + final, b" ", 0.01)
    response = http_client.Client().request("GET", server.url)
    assert (response.status, response.body) == (201, b"ok")
    assert "link" not in response.headers


def test_response_over_its_bound_has_an_unknown_outcome():
    """Guards against an error that promises that the request has not run."""
    server = FloodServer(*floods.FLOODS["body until close"])
    with pytest.raises(errors.UnreachableError) as raised:
        http_client.Client().request("POST", server.url, timeout_s=2.0, limit_bytes=1024)
    assert raised.value.kind is errors.ErrorKind.OUTCOME_UNKNOWN
    server.thread.join(10)


@pytest.mark.parametrize("first", [FLOOD_HEAD + b"x-a: ", b""], ids=["header", "status line"])
def test_head_whose_bytes_arrive_one_by_one_ends_in_time(first):
    """Guards against a time limit that starts again with each byte."""
    server = FloodServer(first, b"H", 0.05)
    began = time.monotonic()
    with pytest.raises(errors.UnreachableError):
        http_client.Client().open("GET", server.url, timeout_s=0.5)
    assert time.monotonic() - began < 2.0
    server.thread.join(10)
    assert server.is_closed


def test_body_whose_bytes_arrive_one_by_one_ends_in_time(monkeypatch):
    """Guards against a body that is read for as long as it drips."""
    monkeypatch.setattr(http_client, "BODY_TIMEOUT_MIN_S", 0.5)
    server = FloodServer(FLOOD_HEAD + b"\r\n", b"x", 0.05)
    began = time.monotonic()
    with pytest.raises(http_client.ResponseBoundError):
        http_client.Client().request("GET", server.url, timeout_s=0.2)
    assert time.monotonic() - began < 2.5
    server.thread.join(10)
    assert server.is_closed


def test_line_without_end_is_an_error():
    """Guards against a stream whose unfinished line is kept without a bound."""
    server = FloodServer(*floods.FLOODS["body in chunks"])
    stream = http_client.Client().open("GET", server.url)
    with pytest.raises(http_client.ResponseBoundError):
        list(stream.iter_lines())
    server.thread.join(10)
    assert server.is_closed


def test_released_response_that_goes_on_is_closed():
    """Guards against a release that reads a response without end."""
    server = FloodServer(*floods.FLOODS["body in chunks"])
    stream = http_client.Client().open("GET", server.url)
    next(stream.iter_chunks())
    began = time.monotonic()
    stream.release()
    assert time.monotonic() - began < 2.0
    server.thread.join(10)
    assert server.is_closed and server.sent < 16 * 1024 * 1024


def test_response_that_is_ready_is_read_after_the_deadline(monkeypatch):
    """Guards against the loss of a response that arrived while the process was suspended."""
    body = b"x" * (300 * 1024)
    head = FLOOD_HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
    listener = socket.create_server(("127.0.0.1", 0))
    sent = threading.Event()

    def respond() -> None:
        connection, _ = listener.accept()
        connection.recv(65536)
        connection.sendall(head + body)
        sent.set()

    thread = threading.Thread(target=respond)
    thread.start()
    url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
    stream = http_client.Client().open("GET", url, timeout_s=2.0)
    stream.deadline = float("-inf")
    assert sent.wait(5.0)
    assert stream.read(len(body)) == body
    thread.join(10)
    listener.close()
