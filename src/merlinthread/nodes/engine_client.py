"""Calls of an agent to the engine beside it and to the origin of weights."""

import hashlib

from merlinthread import errors
from merlinthread.coordination import fleet
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import retry_after
from merlinthread.transport import http_messages, stream_client

KEEP_S = 2.0
CONNECT_TIMEOUT_S = 0.5
USER_TIMEOUT_S = 2.0
LOCAL_TIMEOUT_S = 1.0
MANIFEST_TIMEOUT_S = 2.0
PIECE_TIMEOUT_S = 3.0
# The longest rest that an origin is given, in seconds: all weights come from there, so it is asked
# again by each agent that often, whatever it said.
ORIGIN_REST_S_MAX = 30.0

STATUS_ACCEPTED = 202
STATUS_GONE = 410


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 of a piece in hex."""
    return hashlib.sha256(data).hexdigest()


class EngineClient:
    """The calls; each raises UnreachableError or ProtocolError if it fails."""

    def __init__(self, dialect: dialects.Dialect, engine: str) -> None:
        self.dialect = dialect
        self.engine = engine
        self.pool = stream_client.ConnectionPool(KEEP_S, CONNECT_TIMEOUT_S, USER_TIMEOUT_S)

    async def report(self) -> fleet.EngineReport:
        """Return the engine's report."""
        request = self.dialect.report_request(self.engine)
        answer = await self.pool.request(self.engine, request, LOCAL_TIMEOUT_S)
        return self.dialect.report(whole(answer).body)

    async def manifest(self, origin: str, model: str, version: int) -> fleet.Manifest:
        """Return a version's manifest; version 0 is the newest named."""
        request = self.dialect.manifest_request(origin, model, version)
        answer = await self.pool.request(origin, request, MANIFEST_TIMEOUT_S)
        if answer.status == STATUS_GONE:
            raise errors.WeightsError(
                f"{model} version {version} is no longer at the origin",
                kind=errors.ErrorKind.ORIGIN_CHANGED,
            )
        return self.dialect.manifest(whole(answer).body)

    def close_idle_origin_connections(self, origin: str) -> None:
        """Close idle connections to the origin: it bears few, and counts those of lost machines."""
        self.pool.close_idle(origin)

    async def piece(self, origin: str, manifest: fleet.Manifest, index: int) -> bytes:
        """Return a piece from the origin, checked."""
        request = self.dialect.piece_request(origin, manifest.model, manifest.version, index)
        answer = await self.pool.request(origin, request, PIECE_TIMEOUT_S)
        if answer.status == STATUS_GONE:
            raise errors.WeightsError(
                f"{manifest.model} version {manifest.version} is no longer at the origin",
                kind=errors.ErrorKind.ORIGIN_CHANGED,
            )
        body = whole(answer).body
        if sha256_hex(body) != manifest.digests[index]:
            raise errors.WeightsError(f"piece {index} from the origin is corrupt")
        return body

    async def stage(self, model: str, index: int, data: bytes) -> None:
        """Lay a piece at the engine."""
        request = self.dialect.stage_request(self.engine, model, index, data)
        whole(await self.pool.request(self.engine, request, LOCAL_TIMEOUT_S))

    async def staged(self, manifest: fleet.Manifest, index: int) -> bytes | None:
        """Return a piece that lies at the engine, or None if it is missing or not sound."""
        request = self.dialect.staged_request(self.engine, manifest.model, index)
        answer = await self.pool.request(self.engine, request, LOCAL_TIMEOUT_S)
        if answer.status != 200 or sha256_hex(answer.body) != manifest.digests[index]:
            return None
        return answer.body

    async def load(self, model: str, version: int, cuts_streams: bool) -> int:
        """Order the engine to take the staged weights; return the status of its answer."""
        request = self.dialect.load_request(self.engine, model, version, cuts_streams)
        answer = await self.pool.request(self.engine, request, LOCAL_TIMEOUT_S)
        return answer.status


def whole(answer: http_messages.Response) -> http_messages.Response:
    """Return an answer that is a success; raise ProtocolError otherwise.

    The error says when the server wants to be asked again, if the answer does.
    """
    if 200 <= answer.status < 300:
        return answer
    value = http_messages.get_header(answer.headers, retry_after.HEADER)
    date = http_messages.get_header(answer.headers, retry_after.DATE_HEADER)
    rest_s = retry_after.parse(value, date).seconds
    raise errors.ProtocolError(f"HTTP status {answer.status}", retry_after_s=rest_s)


def origin_retry_delay_s(error: errors.MerlinthreadError) -> float:
    """Return how long the origin wants to be left alone, by the error of a call to it."""
    return min(ORIGIN_REST_S_MAX, error.retry_after_s or 0.0)
