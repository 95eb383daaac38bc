"""A Raft leader's view of what each other member has, and of what is on its way to it."""

import dataclasses


@dataclasses.dataclass(slots=True)
class LongMessage:
    """A long message with the entries up to `end`; it counts as lost at `until`."""

    end: int
    sent_at: float
    until: float


@dataclasses.dataclass(slots=True)
class Progress:
    """The leader's view of one other member; times are on the leader's clock.

    `first` is the lowest entry that this leader has sent. `long_messages` are on their way.
    Messages sent before `rewound_at` say nothing of those sent since. `rejected` counts the
    messages whose preceding entry the member did not have.
    """

    match: int = 0
    next: int = 1
    first: int = 1
    acked_at: float = float("-inf")
    heard_at: float = float("-inf")
    long_messages: list[LongMessage] = dataclasses.field(default_factory=list)
    rewound_at: float = float("-inf")
    identity: str = ""
    rejected: int = 0

    def long_messages_at(self, now: float) -> list[LongMessage]:
        """Return the long messages that are still on their way."""
        return [sent for sent in self.long_messages if sent.end > self.match and now < sent.until]
