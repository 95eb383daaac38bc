"""The resident memory of this process, and a log of it beside the bytes that are counted."""

import dataclasses
from collections.abc import Callable

from merlinthread import logs
from merlinthread.coordination import held_bytes

STATUS_PATH = "/proc/self/status"
KIB = 1024
# A node may refuse hundreds of requests a second; each line reads a file of the kernel.
LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class ResidentMemory:
    """Bytes: `anonymous` without mapped files at present, `peak` with them since the start."""

    anonymous: int
    peak: int


def parse_status(text: str) -> ResidentMemory:
    """Parse the status file of a process (proc(5)); a missing field is 0."""
    kib_by_name = {}
    for line in text.splitlines():
        name, _, value = line.partition(":")
        if name in ("RssAnon", "VmHWM"):
            kib_by_name[name] = int(value.split()[0])
    return ResidentMemory(
        kib_by_name.get("RssAnon", 0) * KIB,
        kib_by_name.get("VmHWM", 0) * KIB,
    )


def read_resident_memory() -> ResidentMemory:
    """Return the memory of this process; raise OSError or ValueError if it can't be read."""
    with open(STATUS_PATH, encoding="ascii", errors="replace") as file:
        return parse_status(file.read())


def keep_freed_memory(byte_count: int) -> None:
    """Let the C library keep freed memory, up to twice `byte_count`, for further objects.

    Otherwise each read of a socket is a mapping, whose pages the kernel clears. glibc raises its
    thresholds to the largest mapping freed so far (mallopt(3)).
    """
    bytes(byte_count)


class MemoryLog:
    """Logs the bytes that a budget counts beside the resident memory of the process.

    If the two differ by much, bytes are held that are not counted. `memory_bytes` is the memory of
    the process.
    """

    def __init__(
        self, budget: held_bytes.Budget, memory_bytes: int, clock: Callable[[], float]
    ) -> None:
        self.budget = budget
        self.memory_bytes = memory_bytes
        self.clock = clock
        self.refusal_logged_at = -LOG_INTERVAL_S
        self.refusals_left_out = 0

    def record_peak(self) -> None:
        """Log that the counted bytes have reached a new peak."""
        self.log("memory_peak")

    def record_fall(self) -> None:
        """Log that a new peak is over; the resident peak may have come after the counted one."""
        self.log("memory_peak_over")

    def record_refusal(self, byte_count: int) -> None:
        """Log that `byte_count` bytes more have no room, at most once in `LOG_INTERVAL_S`."""
        now = self.clock()
        if now - self.refusal_logged_at < LOG_INTERVAL_S:
            self.refusals_left_out += 1
            return
        left_out, self.refusals_left_out = self.refusals_left_out, 0
        self.refusal_logged_at = now
        self.log("memory_refused", refused_bytes=byte_count, left_out=left_out)

    def log(self, event: str, **fields: int) -> None:
        """Log an event with the counted and the resident bytes."""
        try:
            memory = read_resident_memory()
        except (OSError, ValueError) as error:
            fields_of_memory: dict[str, object] = {"resident_unknown": str(error)}
        else:
            fields_of_memory = {
                "resident_bytes": memory.anonymous,
                "resident_peak_bytes": memory.peak,
            }
        logs.event(
            event,
            counted_bytes=self.budget.byte_count,
            counted_bytes_max=self.budget.bytes_max,
            memory_bytes=self.memory_bytes,
            clients=len(self.budget.holders),
            **fields,
            **fields_of_memory,
        )
