"""An HTTP client on urllib3 that reports whether a failed request may have been processed."""

import dataclasses
from collections.abc import Iterator

import urllib3

from merlinthread import errors
from merlinthread.protocol import error_responses

CONNECT_TIMEOUT_S = 1.0
READ_CHUNK_BYTES = 65536


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


class StreamingResponse:
    """A response whose body is read incrementally; header names are lower case.

    Call `release` once the body is read, or `close` to abandon the rest.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse, url: str) -> None:
        self.response = response
        self.url = url
        self.status = response.status
        self.headers = {name.lower(): value for name, value in response.headers.items()}

    def iter_chunks(self) -> Iterator[bytes]:
        """Yield chunks of the body as they arrive; raise UnreachableError if it ends early."""
        try:
            while chunk := self.response.read1(READ_CHUNK_BYTES):
                yield chunk
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise errors.UnreachableError(f"{self.url}: response body ended early: {error!r}")

    def iter_lines(self) -> Iterator[bytes]:
        """Yield lines of the body without line endings; raise UnreachableError if it ends early."""
        buffer = b""
        for chunk in self.iter_chunks():
            *lines, buffer = (buffer + chunk).split(b"\n")
            yield from lines
        if buffer:
            yield buffer

    def read(self, limit_bytes: int) -> bytes:
        """Return the rest of the body.

        Raises MerlinthreadError (too_large) if it is longer than `limit_bytes`, and
        UnreachableError if it ends early.
        """
        chunks = []
        size = 0
        for chunk in self.iter_chunks():
            size += len(chunk)
            if size > limit_bytes:
                self.close()
                raise errors.MerlinthreadError(
                    f"{self.url}: response body exceeds {limit_bytes} bytes",
                    kind=errors.ErrorKind.TOO_LARGE,
                )
            chunks.append(chunk)
        return b"".join(chunks)

    def close(self) -> None:
        """Close the connection without reading the rest of the body."""
        self.response.close()

    def release(self) -> None:
        """Drain the body and return the connection to the pool.

        Bytes left unread, such as the last chunk, would be parsed as the start of the next response
        on that connection.
        """
        try:
            self.response.drain_conn()
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            self.close()
            return
        self.response.release_conn()


class Client:
    """An HTTP client with a connection pool; thread-safe."""

    def __init__(self, connections: int = 16) -> None:
        self.pool = urllib3.PoolManager(
            maxsize=connections, num_pools=256, retries=False, block=False
        )

    def open(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> StreamingResponse:
        """Send a request and return its response as soon as the headers are received.

        `timeout_s` applies to the connect and to each read. Raises NotSentError if no connection
        could be established, and UnreachableError if the request may have been sent but no response
        was received.
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
        return StreamingResponse(response, url)

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
    ) -> Response:
        """Like `request`, but raise the error described by a response of status 400 or above."""
        response = self.request(method, url, body, headers, timeout_s)
        if response.status >= 400:
            raise error_responses.parse_error(response.body, response.status)
        return response
