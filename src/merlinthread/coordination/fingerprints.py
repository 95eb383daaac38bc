"""Fingerprints that identify repeated requests by content.

Clients use a new request id for each retry. The method, host, path with query, client account and
body therefore identify a request.
"""

import blake3

from merlinthread.coordination import fleet

# 96 bits: two of 4,096 requests collide with a probability of 1e-22.
DIGEST_BYTES = 12


def fingerprint(head: fleet.RequestHead, account: str, body: bytes) -> str:
    """Return the hex digest of a request's identifying parts.

    Each part is prefixed with its length, so that different splits of the same bytes differ.
    """
    digest = blake3.blake3()
    for part in (head.method, head.host.encode(), head.path, account.encode(), body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest(DIGEST_BYTES).hex()
