"""Limit retries to a ratio of the first attempts, over all entries together."""

import collections

# Share of the budget that attempts beside silent back ends may use. The rest is for requests whose
# attempts have failed.
HEDGE_SHARE = 0.5


class RetryBudget:
    """A sliding window over the first attempts and retries of one service.

    Allows `ratio` retries per first attempt within `window_s` seconds, plus `free_retries` from
    `free_from` on. Entries need no coordination, since each applies the ratio to its own requests.
    An entry that has just started does not know what it sent before; without free retries for a
    window, restarts do not multiply them.

    A retry is reserved when it is decided on and used when it is sent, which may be much later if
    it waits for a back end. Both are checked: many reserved retries may be sent at once, when there
    are fewer first attempts than at the time of the decisions.
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        free_retries: int,
        free_from: float = float("-inf"),
    ) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self.free_retries = free_retries
        self.free_from = free_from
        self.first_attempts: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()
        self.reserved_count = 0

    def record_first_attempt(self, now: float) -> None:
        """Record a request's first attempt."""
        self.first_attempts.append(now)
        self.prune(now)

    def allows(self, now: float) -> bool:
        """Return whether one more retry is within the budget."""
        self.prune(now)
        return self.used_count() < self.limit(now)

    def allows_hedge(self, now: float) -> bool:
        """Return whether one more attempt beside silent ones is within its share of the budget."""
        self.prune(now)
        return self.used_count() < HEDGE_SHARE * self.limit(now)

    def used_count(self) -> int:
        """Return how many retries are reserved or were sent within the window."""
        return self.reserved_count + len(self.retries)

    def limit(self, now: float) -> float:
        """Return how many retries are allowed within the window that ends now."""
        free_retries = self.free_retries if now >= self.free_from else 0
        return self.ratio * len(self.first_attempts) + free_retries

    def reserve(self, now: float) -> bool:
        """Reserve one retry of the budget; return False if it is exhausted.

        The caller ends each reservation with `use` or `cancel`.
        """
        if not self.allows(now):
            return False
        self.reserved_count += 1
        return True

    def use(self, now: float) -> bool:
        """Use a reserved retry that is sent now; return False if too many were sent lately.

        The reservation stays in that case.
        """
        self.prune(now)
        if len(self.retries) >= self.limit(now):
            return False
        self.reserved_count -= 1
        self.retries.append(now)
        return True

    def cancel(self) -> None:
        """Return a reserved retry that will not be sent."""
        self.reserved_count -= 1

    def prune(self, now: float) -> None:
        """Drop attempts older than the window."""
        for times in (self.first_attempts, self.retries):
            while times and times[0] < now - self.window_s:
                times.popleft()
