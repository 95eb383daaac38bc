"""The commit index of a leader in the recent past."""

import collections


class CommitHistory:
    """Samples of the commit index of the last `kept_s` seconds, and one before that."""

    def __init__(self, kept_s: float) -> None:
        self.kept_s = kept_s
        self.samples: collections.deque[tuple[float, int]] = collections.deque()

    def record(self, commit: int, now: float) -> None:
        """Record the present commit index; drop the samples that are not needed any more."""
        self.samples.append((now, commit))
        while len(self.samples) > 1 and self.samples[1][0] <= now - self.kept_s:
            self.samples.popleft()

    def index_before(self, at: float) -> int:
        """Return the last commit index recorded at `at` or before, or 0."""
        return max((commit for recorded_at, commit in self.samples if recorded_at <= at), default=0)

    def clear(self) -> None:
        """Forget all samples."""
        self.samples.clear()
