"""HTTP client of an agent for its local engine and the origin of the weights."""

import hashlib

from merlinthread import errors, metrics
from merlinthread.coordination import fleet
from merlinthread.nodes import dialect as dialects
from merlinthread.protocol import retry_after
from merlinthread.transport import connection_pool, http_messages

KEEP_ALIVE_S = 2.0
CONNECT_TIMEOUT_S = 0.5
USER_TIMEOUT_S = 2.0
LOCAL_TIMEOUT_S = 1.0
MANIFEST_TIMEOUT_S = 2.0
PIECE_TIMEOUT_S = 3.0
# Bounds on the bodies of responses. A manifest has 67 bytes for each piece.
REPORT_BYTES_MAX = 1024 * 1024
MANIFEST_BYTES_MAX = 4 * 1024 * 1024
# A piece may be twice as long as configured, so that a wrong size in the configuration does not
# prevent downloads; a piece with a wrong digest is refused anyway.
PIECE_BYTES_FACTOR = 2
PIECE_BYTES_MIN = 64 * 1024
# Upper bound for Retry-After of the origin, the only source of new weights.
ORIGIN_RETRY_DELAY_MAX_S = 30.0

STATUS_ACCEPTED = 202
STATUS_NOT_FOUND = 404
STATUS_GONE = 410


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 digest of `data` in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


class EngineClient:
    """Sends requests; each method raises UnreachableError or ProtocolError on failure."""

    def __init__(self, dialect: dialects.Dialect, engine: str) -> None:
        self.dialect = dialect
        self.engine = engine
        # How long the engine was still cold at its last report, None if it did not say. It is kept
        # out of `fleet.EngineReport`, which is sent to all entries several times a second.
        self.cold_s: float | None = None
        self.pool = connection_pool.ConnectionPool(KEEP_ALIVE_S, CONNECT_TIMEOUT_S, USER_TIMEOUT_S)
        # The configured size of a piece, or 0 if it is not known.
        self.piece_bytes = 0

    def piece_bytes_max(self) -> int:
        """Return the bound on the length of a piece."""
        if not self.piece_bytes:
            return connection_pool.WHOLE_BODY_BYTES_MAX
        return max(PIECE_BYTES_MIN, PIECE_BYTES_FACTOR * self.piece_bytes)

    async def fetch_report(self) -> fleet.EngineReport:
        """Return the engine's status report."""
        request = self.dialect.report_request(self.engine)
        response = await self.request_engine(request, REPORT_BYTES_MAX)
        report = self.dialect.parse_report(require_success(response).body)
        self.cold_s, problem = self.dialect.parse_cold(response.headers)
        if problem:
            metrics.unreadable_words_total.labels("cold").inc()
        return report

    async def request_engine(
        self, request: http_messages.Request, body_bytes_max: int
    ) -> http_messages.Response:
        """Send a request to the engine and return its response."""
        return await self.pool.request(self.engine, request, LOCAL_TIMEOUT_S, body_bytes_max)

    async def fetch_manifest(self, origin: str, model: str, version: int) -> fleet.Manifest:
        """Return the manifest of a version; version 0 is the newest published one.

        Raises WeightsError if the origin no longer has the version.
        """
        request = self.dialect.manifest_request(origin, model, version)
        response = await self.pool.request(origin, request, MANIFEST_TIMEOUT_S, MANIFEST_BYTES_MAX)
        if response.status == STATUS_GONE:
            raise errors.WeightsError(
                f"{model} version {version} is no longer at the origin",
                kind=errors.ErrorKind.ORIGIN_CHANGED,
            )
        return self.dialect.parse_manifest(require_success(response).body)

    def close_idle_origin_connections(self, origin: str) -> None:
        """Close idle connections to the origin, which limits the number of its connections.

        Connections of VMs that have failed count as well.
        """
        self.pool.close_idle(origin)

    async def fetch_piece(self, origin: str, manifest: fleet.Manifest, index: int) -> bytes:
        """Return a piece from the origin.

        Raises WrongDigestError if it differs from the manifest, and WeightsError if the origin does
        not have the version.
        """
        request = self.dialect.piece_request(origin, manifest.model, manifest.version, index)
        response = await self.pool.request(origin, request, PIECE_TIMEOUT_S, self.piece_bytes_max())
        if response.status in (STATUS_NOT_FOUND, STATUS_GONE):
            raise errors.WeightsError(
                f"{manifest.model} version {manifest.version} is not at the origin",
                kind=errors.ErrorKind.ORIGIN_CHANGED,
            )
        body = require_success(response).body
        digest = sha256_hex(body)
        if digest != manifest.digests[index]:
            raise errors.WrongDigestError(
                f"piece {index} from the origin has a wrong digest", digest
            )
        return body

    async def stage_piece(self, model: str, index: int, data: bytes) -> None:
        """Upload a piece to the engine's staging area."""
        request = self.dialect.stage_request(self.engine, model, index, data)
        require_success(await self.request_engine(request, REPORT_BYTES_MAX))

    async def read_staged_piece(self, manifest: fleet.Manifest, index: int) -> bytes | None:
        """Return a piece from the engine's staging area, or None if it is missing or corrupt."""
        request = self.dialect.staged_request(self.engine, manifest.model, index)
        response = await self.request_engine(request, self.piece_bytes_max())
        if response.status != 200 or sha256_hex(response.body) != manifest.digests[index]:
            return None
        return response.body

    async def load_staged_weights(
        self,
        model: str,
        version: int,
        truncates_streams: bool,
        layers: range | None = None,
        revision: int | None = None,
    ) -> int:
        """Make the engine hold `layers` of the staged weights, or all; return the HTTP status.

        It loads the layers of this version that it does not hold, and gives up the others. It
        refuses if it has not taken exactly `revision` orders.
        """
        request = self.dialect.load_request(
            self.engine, model, version, truncates_streams, layers, revision
        )
        response = await self.request_engine(request, REPORT_BYTES_MAX)
        return response.status


def require_success(response: http_messages.Response) -> http_messages.Response:
    """Return `response` if it is a success; raise ProtocolError otherwise.

    The error has the retry delay from the response, if any.
    """
    if 200 <= response.status < 300:
        return response
    value = http_messages.get_header(response.headers, retry_after.HEADER)
    date = http_messages.get_header(response.headers, retry_after.DATE_HEADER)
    retry_after_s = retry_after.parse(value, date).seconds
    raise errors.ProtocolError(f"HTTP status {response.status}", retry_after_s=retry_after_s)


def origin_retry_delay_s(error: errors.MerlinthreadError) -> float:
    """Return the retry delay that the origin asked for, from the error of a call to it."""
    return min(ORIGIN_RETRY_DELAY_MAX_S, error.retry_after_s or 0.0)
