"""Bounds on the bytes that a node holds for clients, back ends and nodes, from its VM's memory."""

import dataclasses

# Shares of the VM's memory: for all clients together, for a response that is read as a whole, and
# for data of one back end that waits to be sent. The last one is a few hundred times an event, and
# the sum has room for 32 such connections.
TOTAL_SHARE = 1 / 4
RESPONSE_SHARE = 1 / 16
CONNECTION_SHARE = 1 / 128
# Shares for calls of operators and back ends, whose bodies take several times their size once they
# are parsed, and for messages of other nodes.
CALLS_SHARE = 1 / 16
MESSAGES_SHARE = 1 / 8
# Least bounds for a response and a connection: a request's body and one read of the socket.
RESPONSE_BYTES_MIN = 4 * 1024 * 1024
CONNECTION_BYTES_MIN = 256 * 1024
# Least bounds for calls and messages: more than one of the longest.
CALLS_BYTES_MIN = 9 * 1024 * 1024
MESSAGES_BYTES_MIN = 17 * 1024 * 1024


@dataclasses.dataclass(slots=True, frozen=True)
class MemoryLimits:
    """Bounds in bytes.

    `total_bytes` is that of all bytes held for clients, `response_bytes` that of a response which
    is read as a whole, and `connection_bytes` that of data from one back end which waits to be sent
    to its client. `calls_bytes` is that of calls of operators and back ends which are in progress,
    and `messages_bytes` that of messages from other nodes.
    """

    total_bytes: int
    response_bytes: int
    connection_bytes: int
    calls_bytes: int
    messages_bytes: int


def derive(memory_bytes: int) -> MemoryLimits:
    """Return the bounds for a VM with `memory_bytes` of memory."""
    return MemoryLimits(
        int(memory_bytes * TOTAL_SHARE),
        max(RESPONSE_BYTES_MIN, int(memory_bytes * RESPONSE_SHARE)),
        max(CONNECTION_BYTES_MIN, int(memory_bytes * CONNECTION_SHARE)),
        max(CALLS_BYTES_MIN, int(memory_bytes * CALLS_SHARE)),
        max(MESSAGES_BYTES_MIN, int(memory_bytes * MESSAGES_SHARE)),
    )
