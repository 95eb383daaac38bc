"""Commands that a member of the replicated log has proposed and that are not yet applied."""

import asyncio

from merlinthread import errors, logs
from merlinthread.state import journal


class PendingProposals:
    """The futures of proposed commands, by the index of their entry.

    The result of a future is whether the command changed the state.
    """

    def __init__(self) -> None:
        self.pending: dict[int, tuple[int, asyncio.Future]] = {}

    def add(self, index: int, term: int) -> asyncio.Future:
        """Add a command that was proposed in `term`, and return its future."""
        future = asyncio.get_running_loop().create_future()
        self.pending[index] = (term, future)
        return future

    def complete(self, entry: journal.Entry, is_changed: bool) -> None:
        """Complete the proposal that waits for an applied entry.

        It fails if another leader committed an entry of its own at that index.
        """
        term, future = self.pending.pop(entry.index, (0, None))
        if future is None:
            return
        if term == entry.term:
            if not future.done():
                future.set_result(is_changed)
        else:
            fail_future(future, leadership_lost_error())

    def fail_after(self, saved_index: int, error: Exception) -> None:
        """Fail the proposals whose entries could not be saved: those after `saved_index`."""
        for index, (_, future) in list(self.pending.items()):
            if index > saved_index:
                del self.pending[index]
                fail_future(future, error)

    def fail_all(self, reason: str) -> None:
        """Fail all pending proposals with OUTCOME_UNKNOWN."""
        pending, self.pending = self.pending, {}
        for _, future in pending.values():
            fail_future(future, leadership_lost_error())
        if pending:
            logs.event("commands_unknown", count=len(pending), reason=reason)


def fail_future(future: asyncio.Future, error: Exception) -> None:
    """Set an exception on a future that is not done."""
    if not future.done():
        future.set_exception(error)


def leadership_lost_error() -> errors.ControlError:
    """Return the error for a command whose leader stepped down before it was committed."""
    return errors.ControlError(
        "the leader changed before the command was committed; send it again",
        kind=errors.ErrorKind.OUTCOME_UNKNOWN,
    )
