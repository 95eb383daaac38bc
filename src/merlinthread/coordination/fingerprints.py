"""Which requests are the same one: what they ask, for whom, not under which id.

A client gives each of its tries an id of its own, so an id can't tell that a request was here
before. Its method, host, path with query, client account and body can.
"""

import blake3

from merlinthread.coordination import fleet

# 96 bits: of 4,096 requests kept, two others share a digest with a probability of 1e-22.
DIGEST_BYTES = 12


def fingerprint(call: fleet.RequestHead, account: str, body: bytes) -> str:
    """Return the digest, in hex, of what makes a request the same as another.

    Each part goes in with its length, so that no two splits of the same bytes are alike.
    """
    digest = blake3.blake3()
    for part in (call.method, call.host.encode(), call.path, account.encode(), body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest(DIGEST_BYTES).hex()
