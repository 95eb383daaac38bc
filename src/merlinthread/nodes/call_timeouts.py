"""Timeouts of calls to another member, from their size and from how long its replies take."""

# Timeout while replies are quick, and the longest one without a long message.
TIMEOUT_MIN_S = 0.6
TIMEOUT_MAX_S = 2.4
# A reply may take this many times as long as the last one.
VARIATION = 4.0
# The slowest rate at which a long message still makes progress.
BYTES_PER_S_MIN = 100_000.0


class CallTimeouts:
    """The timeout of the next call to a member.

    A call that times out doubles the next timeout, as replies that always take longer than it would
    never be seen otherwise.
    """

    def __init__(self) -> None:
        self.base_s = TIMEOUT_MIN_S

    def timeout_s(self, size_bytes: int) -> float:
        """Return the timeout of a call that sends `size_bytes`, in seconds."""
        return self.base_s + size_bytes / BYTES_PER_S_MIN

    def record_reply(self, took_s: float) -> None:
        """Record the duration of a call that was answered."""
        self.base_s = min(max(VARIATION * took_s, TIMEOUT_MIN_S), TIMEOUT_MAX_S)

    def record_failure(self, took_s: float) -> None:
        """Record a call without a reply; one that was refused at once says nothing of the time."""
        if took_s >= self.base_s:
            self.base_s = min(2 * self.base_s, TIMEOUT_MAX_S)
