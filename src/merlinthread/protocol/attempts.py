"""HTTP headers of requests that entries forward to agents, and their authentication."""

import dataclasses
import hmac

import blake3

from merlinthread import errors
from merlinthread.protocol import codec

ACCOUNT = "x-account"
REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-deadline-ms"
IDEMPOTENCY_KEY = "idempotency-key"
ATTEMPT = "x-attempt"
INCARNATION = "x-incarnation"
PRIORITY = "x-priority"
DIGEST = "x-weights-digest"
SERVICE = "x-service"
KEY_ID = "x-mesh-key"
AUTH_TAG = "x-mesh-tag"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to run a request on a target.

    `deadline_ms` is the time left until the request's deadline when the attempt is sent.
    """

    id: str
    incarnation: int
    account: str
    priority: int
    deadline_ms: int
    digest: str = ""
    service: str = ""

    def headers(self) -> dict[str, str]:
        """Return the HTTP headers that describe the attempt."""
        return {
            ATTEMPT: self.id,
            INCARNATION: str(self.incarnation),
            ACCOUNT: self.account,
            PRIORITY: str(self.priority),
            DEADLINE_MS: str(self.deadline_ms),
            DIGEST: self.digest,
            SERVICE: self.service,
            "Content-Type": "application/json",
        }


def parse_attempt(headers: dict[str, str]) -> Attempt:
    """Parse an attempt from HTTP headers; raise RequestError if one is missing or invalid."""
    try:
        return Attempt(
            headers[ATTEMPT],
            int(headers[INCARNATION]),
            headers[ACCOUNT],
            int(headers[PRIORITY]),
            int(headers[DEADLINE_MS]),
            headers.get(DIGEST, ""),
            headers.get(SERVICE, ""),
        )
    except (KeyError, ValueError) as error:
        raise errors.RequestError(
            f"agents accept requests from entries only; missing or invalid header: {error}"
        )


def authenticated_bytes(attempt: Attempt, path: str, body: bytes) -> bytes:
    """Return the bytes that the tag authenticates: attempt, path and digest of the body."""
    fields = [attempt.id, str(attempt.incarnation), attempt.account, str(attempt.priority), path]
    return "\n".join(fields).encode() + blake3.blake3(body).digest()


def authentication_headers(
    auth_codec: codec.Codec, attempt: Attempt, path: str, body: bytes
) -> dict[str, str]:
    """Return headers that authenticate the sender as an entry; none if no key is configured."""
    if auth_codec.signing_key is None:
        return {}
    return {
        KEY_ID: auth_codec.signing_key.key_id().hex(),
        AUTH_TAG: auth_codec.signing_key.tag(authenticated_bytes(attempt, path, body)).hex(),
    }


def verify_tag(
    auth_codec: codec.Codec, attempt: Attempt, path: str, body: bytes, headers: dict[str, str]
) -> None:
    """Raise RequestError (unauthorised) unless the tag was made with a configured key.

    Without configured keys, every request is accepted.
    """
    if not auth_codec.keys:
        return
    try:
        key = auth_codec.keys.get(bytes.fromhex(headers.get(KEY_ID, "")))
        tag = bytes.fromhex(headers.get(AUTH_TAG, ""))
    except ValueError:
        key, tag = None, b""
    if key is None or not hmac.compare_digest(
        tag, key.tag(authenticated_bytes(attempt, path, body))
    ):
        raise errors.RequestError(
            "the request was not authenticated by an entry of this deployment",
            kind=errors.ErrorKind.UNAUTHORISED,
        )
