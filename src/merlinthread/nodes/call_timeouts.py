"""Timeouts of calls to another member, from their size and from how long its replies take."""

# Timeout of a short message while replies are quick, and the longest one.
TIMEOUT_MIN_S = 0.6
TIMEOUT_MAX_S = 2.4
# A reply may take this many times as long as the last one.
VARIATION = 4.0
# The rate at which long messages are expected to be sent, and the lowest one that is tried.
BYTES_PER_S = 100_000.0
BYTES_PER_S_MIN = 10_000.0


class CallTimeouts:
    """The timeout of the next call to a member.

    A call that times out doubles the next timeout, as replies that always take longer than it would
    never be seen otherwise, and a message that is long for its link would never arrive.
    """

    def __init__(self) -> None:
        self.base_s = TIMEOUT_MIN_S
        self.bytes_per_s = BYTES_PER_S

    def timeout_s(self, size_bytes: int) -> float:
        """Return the timeout of a call that sends `size_bytes`, in seconds."""
        return self.base_s + size_bytes / self.bytes_per_s

    def record_reply(self, took_s: float) -> None:
        """Record the duration of a call that was answered."""
        self.base_s = min(max(VARIATION * took_s, TIMEOUT_MIN_S), TIMEOUT_MAX_S)
        if self.base_s < TIMEOUT_MAX_S:
            self.bytes_per_s = BYTES_PER_S

    def record_failure(self, took_s: float) -> None:
        """Record a call without a reply; one that was refused at once says nothing of the time."""
        if took_s >= self.base_s:
            self.base_s = min(2 * self.base_s, TIMEOUT_MAX_S)
            self.bytes_per_s = max(self.bytes_per_s / 2, BYTES_PER_S_MIN)
