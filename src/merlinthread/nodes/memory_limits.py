"""Bounds on the bytes that an entry holds for clients and back ends, from the memory of its VM."""

import dataclasses

# Share of the VM's memory for one response, and the least bound: that of a request's body.
RESPONSE_SHARE = 1 / 16
RESPONSE_BYTES_MIN = 4 * 1024 * 1024


@dataclasses.dataclass(slots=True, frozen=True)
class MemoryLimits:
    """Bounds in bytes; `response_bytes` is that of a response which is read as a whole."""

    response_bytes: int


def derive(memory_bytes: int) -> MemoryLimits:
    """Return the bounds for a VM with `memory_bytes` of memory."""
    return MemoryLimits(max(RESPONSE_BYTES_MIN, int(memory_bytes * RESPONSE_SHARE)))
