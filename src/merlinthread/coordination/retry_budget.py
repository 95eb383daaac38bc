"""How many second attempts an entry may make, so that all entries together stay within a ratio."""

import collections


class RetryBudget:
    """A sliding window over first attempts and repeats for one service.

    Each entry keeps to `ratio` of the requests that it has itself seen, plus a few; so the entries
    together keep to it without telling each other, also when some of them are lost.
    """

    def __init__(self, ratio: float, window_s: float, free: int) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self.free = free
        self.firsts: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def record_first_attempt(self, now: float) -> None:
        """Note a request's first attempt."""
        self.firsts.append(now)
        self.trim(now)

    def allows(self, now: float) -> bool:
        """Return whether one more repeat is within the budget."""
        self.trim(now)
        return len(self.repeats) < self.ratio * len(self.firsts) + self.free

    def spend(self, now: float) -> bool:
        """Take one repeat out of the budget; return False if there is none left."""
        if not self.allows(now):
            return False
        self.repeats.append(now)
        return True

    def trim(self, now: float) -> None:
        """Forget what has left the window."""
        for times in (self.firsts, self.repeats):
            while times and times[0] < now - self.window_s:
                times.popleft()
