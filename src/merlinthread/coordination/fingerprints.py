"""Fingerprints that identify repeated requests by content, and the parts that prompts share.

Clients use a new request id for each retry. The method, host, path with query, client account and
body therefore identify a request.
"""

import blake3

from merlinthread.coordination import fleet

# 96 bits: two of 4,096 requests collide with a probability of 1e-22.
DIGEST_BYTES = 12
# Distinguishes the fingerprints of parts from those of requests, which are hex digests.
PART_PREFIX = "part-"


def fingerprint(head: fleet.RequestHead, account: str, *body: bytes | memoryview) -> str:
    """Return the hex digest of a request's identifying parts; `body` may be in several parts.

    Each part but those of the body is prefixed with its length, and so is the body, so that
    different splits of the same bytes differ.
    """
    digest = blake3.blake3()
    for part in (head.method, head.host.encode(), head.path, account.encode()):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(b"%d:" % sum(map(len, body)))
    for body_part in body:
        digest.update(body_part)
    return digest.digest(DIGEST_BYTES).hex()


def part_fingerprint(model: str, part_id: str) -> str:
    """Return the fingerprint of one part of the prompts for a model."""
    encoded = model.encode()
    digest = blake3.blake3(b"%d:" % len(encoded) + encoded + part_id.encode())
    return PART_PREFIX + digest.digest(DIGEST_BYTES).hex()


def is_part(fingerprint_text: str) -> bool:
    """Return whether a fingerprint is that of a part of prompts."""
    return fingerprint_text.startswith(PART_PREFIX)
