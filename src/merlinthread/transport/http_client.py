"""An HTTP client on urllib3 that reports whether a failed request may have been processed."""

import dataclasses
from collections.abc import Iterator

import urllib3

from merlinthread import clocks, errors
from merlinthread.protocol import error_responses
from merlinthread.transport import bounded_responses

CONNECT_TIMEOUT_S = 1.0
READ_CHUNK_BYTES = 65536
# Bounds of a response; bytes include chunk headers. The head must arrive within the timeout of one
# read. The whole may take longer, since a stream goes on while its client reads.
STREAM_BYTES_MAX = 64 * 1024 * 1024
FRAMING_BYTES_MAX = 64 * 1024
LINE_BYTES_MAX = 1024 * 1024
BODY_TIMEOUT_FACTOR = 4.0
BODY_TIMEOUT_MIN_S = 10.0
# What is read of a response after the part that its caller needed, to use the connection again.
DRAIN_BYTES_MAX = 64 * 1024
DRAIN_TIMEOUT_S = 1.0


class NotSentError(errors.UnreachableError):
    """No connection could be established, so the request was not processed."""


class ClosedByCallerError(errors.MerlinthreadError):
    """The caller closed the response before its end."""


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ResponseBoundError(errors.UnreachableError):
    """The response is over its bound in bytes or time; the request may have been processed."""

    kind = errors.ErrorKind.OUTCOME_UNKNOWN


class StreamingResponse:
    """A response whose body is read incrementally; header names are lower case.

    Call `release` once the body is read, or `close` to abandon the rest.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse, url: str, timeout_s: float) -> None:
        self.response = response
        original = bounded_responses.original_of(response)
        self.reader = original.reader if original is not None else None
        self.ends_with_connection = original is not None and original.ends_with_connection
        self.deadline = clocks.now() + max(BODY_TIMEOUT_MIN_S, BODY_TIMEOUT_FACTOR * timeout_s)
        self.allow(STREAM_BYTES_MAX)
        self.url = url
        self.status = response.status
        self.headers = {name.lower(): value for name, value in response.headers.items()}

    def allow(self, byte_count: int) -> None:
        """Set the number of bytes of the connection that may still be read."""
        if self.reader is not None:
            self.reader.allow(byte_count, self.deadline)

    def iter_chunks(self) -> Iterator[bytes]:
        """Yield chunks of the body as they arrive.

        Raises UnreachableError if it ends early or may have, and ResponseBoundError if it is over
        its bound.
        """
        try:
            while chunk := self.response.read1(READ_CHUNK_BYTES):
                yield chunk
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            self.close()
            if self.reader is not None and self.reader.is_exceeded:
                raise ResponseBoundError(f"{self.url}: response without end: {error!r}")
            raise errors.UnreachableError(f"{self.url}: response body ended early: {error!r}")
        if self.ends_with_connection:
            self.close()
            raise errors.UnreachableError(
                f"{self.url}: a response without a length or chunks may have ended early"
            )

    def iter_lines(self) -> Iterator[bytes]:
        """Yield lines of the body without line endings.

        Raises the errors of `iter_chunks`, and ResponseBoundError if a line is longer than
        LINE_BYTES_MAX.
        """
        parts: list[bytes] = []
        size = 0
        for chunk in self.iter_chunks():
            parts.append(chunk)
            size += len(chunk)
            if b"\n" in chunk:
                *lines, rest = b"".join(parts).split(b"\n")
                yield from lines
                parts, size = [rest], len(rest)
            if size > LINE_BYTES_MAX:
                self.close()
                raise ResponseBoundError(
                    f"{self.url}: a line of the response exceeds {LINE_BYTES_MAX} bytes"
                )
        if size:
            yield b"".join(parts)

    def read(self, limit_bytes: int) -> bytes:
        """Return the rest of the body.

        Raises ResponseBoundError if it is longer than `limit_bytes`, and the errors of
        `iter_chunks`.
        """
        self.allow(FRAMING_BYTES_MAX + 2 * limit_bytes)
        chunks = []
        size = 0
        for chunk in self.iter_chunks():
            size += len(chunk)
            if size > limit_bytes:
                self.close()
                raise ResponseBoundError(f"{self.url}: response body exceeds {limit_bytes} bytes")
            chunks.append(chunk)
        return b"".join(chunks)

    def close(self) -> None:
        """Close the connection without reading the rest of the body."""
        self.response.close()

    def release(self) -> None:
        """Drain the body and return the connection to the pool.

        Bytes left unread, such as the last chunk, would be parsed as the start of the next response
        on that connection. A response that goes on is closed instead.
        """
        self.deadline = min(self.deadline, clocks.now() + DRAIN_TIMEOUT_S)
        self.allow(DRAIN_BYTES_MAX)
        try:
            self.response.drain_conn()
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            self.close()
            return
        if self.reader is not None and self.reader.is_exceeded:
            # `drain_conn` ignores errors.
            self.close()
            return
        self.response.release_conn()


class Client:
    """An HTTP client with a connection pool; thread-safe."""

    def __init__(self, connections: int = 16) -> None:
        self.pool = urllib3.PoolManager(
            maxsize=connections, num_pools=256, retries=False, block=False
        )
        self.pool.pool_classes_by_scheme = bounded_responses.POOL_CLASSES

    def open(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> StreamingResponse:
        """Send a request and return its response as soon as the headers are received.

        `timeout_s` applies to the connect, the headers and each read of the body. Raises
        NotSentError if no connection could be established, and UnreachableError if the request may
        have been sent but no response was received.
        """
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)
        try:
            response = self.pool.request(
                method,
                url,
                body=body or None,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
                decode_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise NotSentError(f"{url}: {error}")
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.UnreachableError(f"{url}: {error!r}")
        return StreamingResponse(response, url, timeout_s)

    def request(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
        limit_bytes: int = 64 * 1024 * 1024,
    ) -> Response:
        """Send a request and return the complete response, whatever its status.

        Raises the same errors as `open` and `StreamingResponse.read`.
        """
        stream = self.open(method, url, body, headers, timeout_s)
        data = stream.read(limit_bytes)
        stream.release()
        return Response(stream.status, stream.headers, data)

    def request_ok(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
        limit_bytes: int = 64 * 1024 * 1024,
    ) -> Response:
        """Like `request`, but raise the error described by a response of status 400 or above."""
        response = self.request(method, url, body, headers, timeout_s, limit_bytes)
        if response.status >= 400:
            raise error_responses.parse_error(response.body, response.status)
        return response
