"""An agent's record of the attempts that entries have open on its engine.

An engine's reports are delayed and do not show which prompts are unread, although these determine
the time to the next request's first byte. Entries therefore notify the agent of each attempt; it
combines the notifications with the last report to tell an entry the current load of all others.
"""

import dataclasses

# Timeouts for attempts whose notification of the first byte, or of the end, was lost.
UNREAD_EXPIRY_S = 3.0
ATTEMPT_EXPIRY_S = 60.0


@dataclasses.dataclass(slots=True)
class OpenAttempt:
    """One open attempt of an entry; `tokens` are those of its prompt."""

    entry: str
    began_at: float
    tokens: float
    is_read: bool = False


@dataclasses.dataclass(slots=True)
class Outstanding:
    """The open attempts and unread prompts of all other entries on an engine."""

    attempts: int = 0
    unread: int = 0
    unread_tokens: float = 0.0


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """An agent's reply to a load probe: other entries' load and the engine's state.

    `is_busy` is set while the engine changes its weights; a `pace` above 1 means that it is slower
    than configured. `cold_s` is how long it will still be cold, None if that is unknown.
    """

    others: Outstanding
    is_busy: bool = False
    pace: float = 1.0
    cold_s: float | None = None


class LoadTracker:
    """The open attempts on one engine, by entry and attempt number."""

    def __init__(self) -> None:
        self.open: dict[tuple[str, int], OpenAttempt] = {}
        self.unattributed = 0

    def record_start(self, entry: str, number: int, tokens: float, now: float) -> None:
        """Record that an entry sent an attempt."""
        self.open[entry, number] = OpenAttempt(entry, now, tokens)

    def record_first_byte(self, entry: str, number: int) -> None:
        """Record an attempt's first byte, which means that its prompt was read."""
        attempt = self.open.get((entry, number))
        if attempt is not None:
            attempt.is_read = True

    def record_end(self, entry: str, number: int) -> None:
        """Record that an attempt ended."""
        self.open.pop((entry, number), None)

    def apply_report(self, running: int, now: float) -> None:
        """Compare the open attempts with the number that the engine reports as running."""
        for key, attempt in list(self.open.items()):
            if now - attempt.began_at > ATTEMPT_EXPIRY_S:
                del self.open[key]
        self.unattributed = running - len(self.open)

    def outstanding(self, entry: str, now: float) -> Outstanding:
        """Return the current load of all entries but `entry`."""
        found = Outstanding()
        for attempt in self.open.values():
            if attempt.entry == entry:
                continue
            found.attempts += 1
            if not attempt.is_read and now - attempt.began_at <= UNREAD_EXPIRY_S:
                found.unread += 1
                found.unread_tokens += attempt.tokens
        found.attempts = max(found.unread, found.attempts + self.unattributed)
        return found
