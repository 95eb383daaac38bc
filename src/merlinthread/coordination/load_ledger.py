"""An agent's account of the attempts that entries have on its engine.

An engine's report is some hundred ms old and does not tell which prompts are still to be read, but
those decide when the next request's first byte comes. Entries note each attempt at the agent; from
the notes and the last report it can tell any entry what the others have there, as of now.
"""

import dataclasses

# A note that an attempt was read or has ended may be lost: then it is dropped after a while.
UNREAD_EXPIRY_S = 3.0
ATTEMPT_EXPIRY_S = 60.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of an entry; `tokens` are those of its prompt, 0 once they were read."""

    entry: str
    began_at: float
    tokens: float
    is_read: bool = False


@dataclasses.dataclass(slots=True)
class Outstanding:
    """What others than the asker have on an engine: attempts, and prompts still to be read."""

    attempts: int = 0
    unread: int = 0
    unread_tokens: float = 0.0


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """An agent's answer to a question: what others have on its engine, and the engine's own state.

    `is_busy` is set while it changes its weights; `pace` over 1 tells that it works slower.
    """

    others: Outstanding
    is_busy: bool = False
    pace: float = 1.0


class LoadLedger:
    """The attempts on one engine, by entry and number."""

    def __init__(self) -> None:
        self.open: dict[tuple[str, int], Attempt] = {}
        self.surplus = 0

    def record_start(self, entry: str, number: int, tokens: float, now: float) -> None:
        """Note that an entry has sent an attempt."""
        self.open[entry, number] = Attempt(entry, now, tokens)

    def record_first_byte(self, entry: str, number: int) -> None:
        """Note that an attempt's first byte came: its prompt was read."""
        attempt = self.open.get((entry, number))
        if attempt is not None:
            attempt.is_read = True

    def record_end(self, entry: str, number: int) -> None:
        """Note that an attempt is over."""
        self.open.pop((entry, number), None)

    def apply_report(self, running: int, now: float) -> None:
        """Compare with what the engine tells: the difference is of unknown origin."""
        for key, attempt in list(self.open.items()):
            if now - attempt.began_at > ATTEMPT_EXPIRY_S:
                del self.open[key]
        self.surplus = running - len(self.open)

    def outstanding(self, entry: str, now: float) -> Outstanding:
        """Return what others than `entry` have on the engine now."""
        found = Outstanding()
        for attempt in self.open.values():
            if attempt.entry == entry:
                continue
            found.attempts += 1
            if not attempt.is_read and now - attempt.began_at <= UNREAD_EXPIRY_S:
                found.unread += 1
                found.unread_tokens += attempt.tokens
        found.attempts = max(found.unread, found.attempts + self.surplus)
        return found
