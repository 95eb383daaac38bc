"""Connection reuse by the HTTP client."""

import socket
import threading

from merlinthread.transport import http_client

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
