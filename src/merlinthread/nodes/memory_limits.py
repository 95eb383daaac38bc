"""Bounds on the bytes that an entry holds for clients and back ends, from the memory of its VM."""

import dataclasses

# Shares of the VM's memory: for all clients together, for a response that is read as a whole, and
# for data of one back end that waits to be sent. The last one is a few hundred times an event, and
# the sum has room for 32 such connections.
TOTAL_SHARE = 1 / 4
RESPONSE_SHARE = 1 / 16
CONNECTION_SHARE = 1 / 128
# Least bounds for a response and a connection: a request's body and one read of the socket.
RESPONSE_BYTES_MIN = 4 * 1024 * 1024
CONNECTION_BYTES_MIN = 256 * 1024


@dataclasses.dataclass(slots=True, frozen=True)
class MemoryLimits:
    """Bounds in bytes.

    `total_bytes` is that of all bytes held for clients, `response_bytes` that of a response which
    is read as a whole, and `connection_bytes` that of data from one back end which waits to be sent
    to its client.
    """

    total_bytes: int
    response_bytes: int
    connection_bytes: int


def derive(memory_bytes: int) -> MemoryLimits:
    """Return the bounds for a VM with `memory_bytes` of memory."""
    return MemoryLimits(
        int(memory_bytes * TOTAL_SHARE),
        max(RESPONSE_BYTES_MIN, int(memory_bytes * RESPONSE_SHARE)),
        max(CONNECTION_BYTES_MIN, int(memory_bytes * CONNECTION_SHARE)),
    )
