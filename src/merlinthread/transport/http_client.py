"""HTTP calls with urllib3, with a clear word on whether a failed call may have run."""

import dataclasses
from collections.abc import Iterator

import urllib3

from merlinthread import errors
from merlinthread.protocol import error_responses

CONNECT_TIMEOUT_S = 1.0
READ_PIECE_BYTES = 65536


class NotSentError(errors.UnreachableError):
    """The peer was not reached at all, so the call surely did not run."""


class ClosedByCallerError(errors.MerlinthreadError):
    """The answer was given up by the side that asked for it."""


@dataclasses.dataclass(slots=True)
class Reply:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Stream:
    """An answer whose body is read piece by piece; `close` gives the rest up."""

    def __init__(self, response: urllib3.BaseHTTPResponse, url: str) -> None:
        self.response = response
        self.url = url
        self.status = response.status
        self.headers = {name.lower(): value for name, value in response.headers.items()}

    def pieces(self) -> Iterator[bytes]:
        """Give the body as it comes; raise UnreachableError if it breaks off."""
        try:
            while piece := self.response.read1(READ_PIECE_BYTES):
                yield piece
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise errors.UnreachableError(f"{self.url}: the answer broke off: {error!r}")

    def lines(self) -> Iterator[bytes]:
        """Give the body line by line without line ends; raise UnreachableError if it ends early."""
        rest = b""
        for piece in self.pieces():
            *whole, rest = (rest + piece).split(b"\n")
            yield from whole
        if rest:
            yield rest

    def read(self, limit_bytes: int) -> bytes:
        """Return the rest of the body; raise MerlinthreadError (too_large) over the limit."""
        parts = []
        size = 0
        for piece in self.pieces():
            size += len(piece)
            if size > limit_bytes:
                self.close()
                raise errors.MerlinthreadError(
                    f"{self.url}: the answer is over {limit_bytes} bytes",
                    kind=errors.ErrorKind.TOO_LARGE,
                )
            parts.append(piece)
        return b"".join(parts)

    def close(self) -> None:
        """Close the connection, so that the peer notices."""
        self.response.close()

    def release(self) -> None:
        """Give the connection back for the next call, once what matters of the body is read.

        What is left (the closing chunk at least) is read first: it would be taken for the beginning
        of the next answer.
        """
        try:
            self.response.drain_conn()
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            self.close()
            return
        self.response.release_conn()


class Client:
    """A pool of connections; safe to use from several threads."""

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
    ) -> Stream:
        """Send a request and return once the answer's headers are here.

        `timeout_s` bounds each read. Raises NotSentError if the peer was not reached, and
        UnreachableError if it was but no answer came.
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
        return Stream(response, url)

    def request(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
        limit_bytes: int = 64 * 1024 * 1024,
    ) -> Reply:
        """Send a request and return the whole answer, whatever its status; see `open`."""
        stream = self.open(method, url, body, headers, timeout_s)
        data = stream.read(limit_bytes)
        stream.release()
        return Reply(stream.status, stream.headers, data)

    def request_ok(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> Reply:
        """Like `request`, but raise the error that a refusal's body tells."""
        reply = self.request(method, url, body, headers, timeout_s)
        if reply.status >= 400:
            raise error_responses.parse_error(reply.body, reply.status)
        return reply
