"""The check whether a request is held because back ends crashed while running it."""

from merlinthread import errors
from merlinthread.nodes import attempt_history, crash_detector, request_context


class HoldCheck:
    """Checks whether one request may make further attempts in view of crashes."""

    def __init__(
        self,
        context: request_context.RequestContext,
        crashes: crash_detector.CrashDetector,
        history: attempt_history.AttemptHistory,
    ) -> None:
        self.context = context
        self.crashes = crashes
        self.history = history

    def check(self) -> None:
        """Raise RequestError if this request is held, or a part of its prompt.

        Another attempt might crash another back end, with all other requests that it runs.
        """
        held = self.held_suspect()
        if not held:
            return
        reason = f"request is held: back ends crashed while running {held}"
        if self.history.may_have_run:
            raise errors.RequestError(reason, kind=errors.ErrorKind.OUTCOME_UNKNOWN)
        raise errors.RequestError(reason, kind=errors.ErrorKind.HELD_BACK)

    def is_held(self) -> bool:
        """Return whether this request is held because back ends crashed while running it."""
        return bool(self.held_suspect())

    def held_suspect(self) -> str:
        """Return the fingerprint of this request or of a part of its prompt if it is held."""
        tracker = self.crashes.tracker
        if not tracker.candidates:
            return ""
        return next(filter(tracker.is_held, self.context.suspects()), "")

    async def wait_for_crash_checks(self) -> None:
        """Wait until it is known whether back ends crashed, if a crash may hold the request.

        Otherwise the next attempt might crash another back end.
        """
        crashes = self.crashes
        if not crashes.tracker.records:
            return
        account = self.context.account.name if self.context.account is not None else ""
        if crashes.tracker.is_next_crash_decisive(self.context.suspects(), account):
            for attempt in self.history.started:
                await crashes.wait_for_check(attempt.backend)
