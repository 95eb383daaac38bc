"""The HTTP client against a listener that shows what is left on a connection."""

import socket
import threading

from merlinthread.transport import http_client

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def answer_twice(listener: socket.socket, gate: threading.Event) -> None:
    """Answer two requests on one connection; the first one's closing chunk comes late."""
    connection, _ = listener.accept()
    connection.recv(65536)
    connection.sendall(HEAD + b"5\r\nfirst\r\n")
    gate.wait(10)
    connection.sendall(b"0\r\n\r\n")
    connection.recv(65536)
    connection.sendall(HEAD + b"6\r\nsecond\r\n0\r\n\r\n")


def test_a_released_answer_leaves_nothing_for_the_next_one():
    """Found by bench requests: the closing chunk was read as the next answer's status line."""
    listener = socket.create_server(("127.0.0.1", 0))
    gate = threading.Event()
    thread = threading.Thread(target=answer_twice, args=(listener, gate))
    thread.start()
    url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
    client = http_client.Client()
    stream = client.open("GET", url)
    assert next(stream.iter_chunks()) == b"first"
    gate.set()
    stream.release()
    assert client.request("GET", url).body == b"second"
    thread.join(10)
    listener.close()
