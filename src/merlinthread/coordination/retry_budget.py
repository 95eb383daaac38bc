"""Limit retries to a ratio of the first attempts, over all entries together."""

import collections


class RetryBudget:
    """A sliding window over the first attempts and retries of one service.

    Allows `ratio` retries per first attempt within `window_s` seconds, plus `free_retries`. Entries
    need no coordination, since each applies the ratio to its own requests.
    """

    def __init__(self, ratio: float, window_s: float, free_retries: int) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self.free_retries = free_retries
        self.first_attempts: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_first_attempt(self, now: float) -> None:
        """Record a request's first attempt."""
        self.first_attempts.append(now)
        self.prune(now)

    def allows(self, now: float, share: float = 1.0) -> bool:
        """Return whether one more retry is within a share of the budget."""
        self.prune(now)
        limit = self.ratio * len(self.first_attempts) + self.free_retries
        return len(self.retries) < share * limit

    def spend(self, now: float, share: float = 1.0) -> bool:
        """Use one retry of the budget; return False if a share of it is exhausted."""
        if not self.allows(now, share):
            return False
        self.retries.append(now)
        return True

    def prune(self, now: float) -> None:
        """Drop attempts older than the window."""
        for times in (self.first_attempts, self.retries):
            while times and times[0] < now - self.window_s:
                times.popleft()
