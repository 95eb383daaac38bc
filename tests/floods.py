"""Responses that go on until their reader closes the connection."""

CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
# Bytes that begin a response, and bytes that are repeated after them.
FLOODS = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n"),
    "header line": (b"HTTP/1.1 200 OK\r\nx-a: ", b"b"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "100 responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 1000 + b"\r\na\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\na\r\n"),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", b"x-a: b\r\n"),
    "body until close": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "body with a length": (b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999999\r\n\r\n", b"x"),
    "body in chunks": (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
}
