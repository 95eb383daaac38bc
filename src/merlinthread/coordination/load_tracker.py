"""An agent's record of the attempts that entries have open on its engine.

An engine's reports are delayed and do not show which prompts are unread, although these determine
the time to the next request's first byte. Entries therefore notify the agent of each attempt; it
combines the notifications with the last report to tell an entry the current load of all others.
"""

import collections
import dataclasses

# Time after a query in which its attempt arrives, if one follows: the entry waits for its other
# probes, which time out after 15 ms, and connects.
QUERY_EXPIRY_S = 0.03
# Share of the queries that attempts follow until it is known: entries query two engines for each.
QUERY_SHARE_PRIOR = 0.5
# Weight of one query or attempt in the means.
MEAN_SMOOTHING = 0.05
# Timeouts for attempts whose notification of the first byte, or of the end, was lost.
UNREAD_EXPIRY_S = 3.0
ATTEMPT_EXPIRY_S = 60.0


# The urgency assumed for attempts of builds that do not report it, so that all others wait for
# them.
UNKNOWN_URGENCY = 0


@dataclasses.dataclass(slots=True)
class OpenAttempt:
    """One open attempt of an entry; `tokens` are those of its prompt.

    `urgency` is None if the requests of its service do not differ in urgency.
    """

    entry: str
    began_at: float
    tokens: float
    is_read: bool = False
    urgency: int | None = None

    def is_unread(self, now: float) -> bool:
        """Return whether its prompt is not known to have been read and it is not out of date."""
        return not self.is_read and now - self.began_at <= UNREAD_EXPIRY_S


@dataclasses.dataclass(slots=True)
class UnreadPrompts:
    """The number and the tokens of unread prompts of one urgency; 0 is the most urgent."""

    urgency: int
    attempts: int = 0
    tokens: float = 0.0


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
    than configured. `unread_by_urgency` divides the unread prompts of other entries by urgency. It
    is empty if requests do not differ in urgency, or if the agent's build does not report it.
    `is_over_share` is set if requests of other accounts go before those of the account for which it
    was asked. `cold_s` is how long it will still be cold, None if that is unknown.
    """

    others: Outstanding
    is_busy: bool = False
    pace: float = 1.0
    unread_by_urgency: list[UnreadPrompts] = dataclasses.field(default_factory=list)
    is_over_share: bool = False
    cold_s: float | None = None


class ExpectedAttempts:
    """The attempts that queries of entries announce, which have not been sent yet.

    Entries that query an engine within the same few milliseconds would otherwise all see the same
    room and send to it at once. A query is followed by an attempt with the mean frequency of the
    past ones.
    """

    def __init__(self) -> None:
        self.queries: collections.deque[tuple[float, str]] = collections.deque()
        self.share = QUERY_SHARE_PRIOR
        self.mean_tokens = 0.0
        self.attempts = 0

    def record_query(self, entry: str, now: float) -> None:
        """Record that an entry queries the engine's load."""
        self.expire(now)
        self.queries.append((now, entry))

    def record_attempt(self, entry: str, tokens: float, now: float) -> None:
        """Record that an entry sent an attempt, which one of its queries has announced."""
        self.expire(now)
        self.attempts += 1
        weight = max(MEAN_SMOOTHING, 1.0 / self.attempts)
        self.mean_tokens += weight * (tokens - self.mean_tokens)
        announced = next((query for query in self.queries if query[1] == entry), None)
        if announced is not None:
            self.queries.remove(announced)
            self.share += MEAN_SMOOTHING * (1.0 - self.share)

    def expire(self, now: float) -> None:
        """Drop the queries that no attempt has followed in time."""
        while self.queries and now - self.queries[0][0] > QUERY_EXPIRY_S:
            self.queries.popleft()
            self.share -= MEAN_SMOOTHING * self.share

    def count_from_others(self, entry: str, now: float) -> int:
        """Return the number of attempts that entries other than `entry` are expected to send."""
        self.expire(now)
        return round(self.share * sum(asker != entry for _, asker in self.queries))


class LoadTracker:
    """The open attempts on one engine, by entry and attempt number."""

    def __init__(self) -> None:
        self.open: dict[tuple[str, int], OpenAttempt] = {}
        self.unattributed = 0
        self.expected = ExpectedAttempts()

    def record_start(
        self, entry: str, number: int, tokens: float, now: float, urgency: int | None = None
    ) -> None:
        """Record that an entry sent an attempt."""
        self.open[entry, number] = OpenAttempt(entry, now, tokens, urgency=urgency)
        self.expected.record_attempt(entry, tokens, now)

    def record_query(self, entry: str, now: float) -> None:
        """Record that an entry queries the load, which it does just before an attempt."""
        self.expected.record_query(entry, now)

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

    def count(self) -> int:
        """Return the current number of attempts of all entries, including those not notified."""
        return max(0, len(self.open) + self.unattributed)

    def outstanding(self, entry: str, now: float) -> Outstanding:
        """Return the load of all entries but `entry`, with the attempts expected of them."""
        found = Outstanding()
        for attempt in self.open.values():
            if attempt.entry == entry:
                continue
            found.attempts += 1
            if attempt.is_unread(now):
                found.unread += 1
                found.unread_tokens += attempt.tokens
        found.attempts = max(found.unread, found.attempts + self.unattributed)
        expected = self.expected.count_from_others(entry, now)
        found.attempts += expected
        found.unread += expected
        found.unread_tokens += expected * self.expected.mean_tokens
        return found

    def unread_by_urgency(self, entry: str, now: float) -> list[UnreadPrompts]:
        """Return the unread prompts of all entries but `entry` by urgency, the most urgent first.

        The list is empty if no attempt has a known urgency.
        """
        unread = [
            attempt
            for attempt in self.open.values()
            if attempt.entry != entry and attempt.is_unread(now)
        ]
        if all(attempt.urgency is None for attempt in unread):
            return []
        found: dict[int, UnreadPrompts] = {}
        for attempt in unread:
            urgency = UNKNOWN_URGENCY if attempt.urgency is None else attempt.urgency
            of_urgency = found.setdefault(urgency, UnreadPrompts(urgency))
            of_urgency.attempts += 1
            of_urgency.tokens += attempt.tokens
        return [found[urgency] for urgency in sorted(found)]
