"""The attempts of a request so far, on which further attempts and its refusal depend."""

import dataclasses

from merlinthread import errors
from merlinthread.nodes import attempts


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """The attempts of one request that were started, and whether it may have run.

    `tried` has the instances of back ends that are not chosen again until all have been tried.
    """

    started: list[attempts.Attempt] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False

    def sent_count(self) -> int:
        """Return how many attempts have been sent to a back end."""
        return sum(attempt.is_sent for attempt in self.started)

    def unavailable(self, reason: str, retry_delay_s: float) -> errors.RequestError:
        """Return the error for a request that no back end can take, with a retry delay.

        If an earlier attempt may have run the request, the error says that its outcome is unknown.
        """
        if self.may_have_run:
            return errors.RequestError(reason, kind=errors.ErrorKind.OUTCOME_UNKNOWN)
        return errors.RequestError(
            reason, kind=errors.ErrorKind.NO_TARGET, retry_after_s=round(retry_delay_s, 3)
        )
