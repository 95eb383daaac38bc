"""The headers of a request on its way from entry to agent, and their authentication."""

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
KEY_NAME = "x-mesh-key"
TAG = "x-mesh-tag"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try of one request on one target; `deadline_ms` is what is left when it is sent."""

    id: str
    incarnation: int
    account: str
    priority: int
    deadline_ms: int
    digest: str = ""
    service: str = ""

    def headers(self) -> dict[str, str]:
        """Return the attempt as HTTP headers."""
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
    """Return the attempt in HTTP headers; raise RequestError naming the header that is wrong."""
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
            f"agents take requests from entries only: header {error} is missing or no number"
        )


def signed_bytes(attempt: Attempt, path: str, body: bytes) -> bytes:
    """Return what a tag covers: the attempt, the path and the body's digest."""
    parts = [attempt.id, str(attempt.incarnation), attempt.account, str(attempt.priority), path]
    return "\n".join(parts).encode() + blake3.blake3(body).digest()


def authentication_headers(
    mesh: codec.Codec, attempt: Attempt, path: str, body: bytes
) -> dict[str, str]:
    """Return the headers that show the attempt comes from one of our entries."""
    if mesh.signer is None:
        return {}
    return {
        KEY_NAME: mesh.signer.name().hex(),
        TAG: mesh.signer.tag(signed_bytes(attempt, path, body)).hex(),
    }


def verify_tag(
    mesh: codec.Codec, attempt: Attempt, path: str, body: bytes, headers: dict[str, str]
) -> None:
    """Raise RequestError (unauthorised) unless one of our keys made the tag."""
    if not mesh.keys:
        return
    try:
        key = mesh.keys.get(bytes.fromhex(headers.get(KEY_NAME, "")))
        tag = bytes.fromhex(headers.get(TAG, ""))
    except ValueError:
        key, tag = None, b""
    if key is None or not hmac.compare_digest(tag, key.tag(signed_bytes(attempt, path, body))):
        raise errors.RequestError(
            "the request does not come from an entry of this system",
            kind=errors.ErrorKind.UNAUTHORISED,
        )
