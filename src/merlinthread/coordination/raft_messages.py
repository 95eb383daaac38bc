"""The messages of the replicated log, its members, and its settings. Plain data."""

import dataclasses

from merlinthread import registry
from merlinthread.state import journal

MESSAGES: registry.Registry[type] = registry.Registry("replicated log message")


@dataclasses.dataclass(slots=True)
class Address:
    """Where a member is reached: by other members, and by entries; "IP:port" each."""

    log_bus: str
    bus: str


@dataclasses.dataclass(slots=True)
class Voters:
    """The members of the group.

    `retired` names may never come back. `identities` are those of the members' data folders: a
    member that comes back with another one has lost what it promised and does not count.
    `addresses` are of members that joined later; the first ones are in the settings.
    """

    voters: list[str] = dataclasses.field(default_factory=list)
    learners: list[str] = dataclasses.field(default_factory=list)
    retired: list[str] = dataclasses.field(default_factory=list)
    identities: dict[str, str] = dataclasses.field(default_factory=dict)
    addresses: dict[str, Address] = dataclasses.field(default_factory=dict)

    def copy(self) -> "Voters":
        """Return a copy that can be changed apart."""
        return Voters(
            list(self.voters),
            list(self.learners),
            list(self.retired),
            dict(self.identities),
            dict(self.addresses),
        )

    def is_stranger(self, name: str, identity: str) -> bool:
        """Return whether `name` came back with another data folder than it had."""
        return self.identities.get(name, identity) != identity

    def majority(self) -> int:
        """Return how many voters decide."""
        return len(self.voters) // 2 + 1

    def members(self) -> list[str]:
        """Return voters and learners."""
        return self.voters + self.learners


@MESSAGES.add("log.vote")
@dataclasses.dataclass(slots=True)
class VoteRequest:
    """Ask for a vote, or with `is_trial` whether a vote would be given (pre-vote)."""

    sender: str
    term: int
    last_index: int
    last_term: int
    is_trial: bool
    identity: str = ""


@MESSAGES.add("log.vote_reply")
@dataclasses.dataclass(slots=True)
class VoteReply:
    """Answer a vote request of `term`."""

    sender: str
    term: int
    is_granted: bool
    is_trial: bool
    identity: str = ""


@MESSAGES.add("log.append")
@dataclasses.dataclass(slots=True)
class AppendEntries:
    """Carry entries from the leader, or none as a heartbeat; `sent_at` is its clock."""

    sender: str
    term: int
    previous_index: int
    previous_term: int
    commit: int
    sent_at: float
    entries: list[journal.Entry]


@MESSAGES.add("log.append_reply")
@dataclasses.dataclass(slots=True)
class AppendReply:
    """Answer an append; `match` is the last index known equal, or a hint where to go back to."""

    sender: str
    term: int
    is_accepted: bool
    match: int
    sent_at: float
    identity: str = ""


@MESSAGES.add("log.install")
@dataclasses.dataclass(slots=True)
class InstallSnapshot:
    """Carry a snapshot to a member whose entries the leader no longer has."""

    sender: str
    term: int
    sent_at: float
    snapshot: journal.Snapshot


@MESSAGES.add("log.stranger")
@dataclasses.dataclass(slots=True)
class IdentityMismatch:
    """Tell a member that its name belongs to another data folder."""

    sender: str
    name: str
    identity: str


Message = VoteRequest | VoteReply | AppendEntries | AppendReply | InstallSnapshot | IdentityMismatch


@dataclasses.dataclass(slots=True)
class Timing:
    """Timing of the group, in seconds; a lease lasts `lease_share` of `election_min_s`."""

    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    lease_fraction: float = 0.8
    resend_s: float = 0.5


@dataclasses.dataclass(slots=True)
class Limits:
    """Bounds on what one append carries and on how much waits uncommitted."""

    entries_per_append: int = 256
    bytes_per_append: int = 512 * 1024
    uncommitted_max: int = 4096


@dataclasses.dataclass(slots=True)
class Ready:
    """What the owner must do now, in this order."""

    hard_state: journal.HardState | None
    snapshot: journal.Snapshot | None
    entries: list[journal.Entry]
    messages: list[tuple[str, Message]]
    committed: list[journal.Entry]

    def is_empty(self) -> bool:
        """Return whether there is nothing to do."""
        return not (self.hard_state or self.snapshot or self.messages or self.committed) and not (
            self.entries
        )


@dataclasses.dataclass(slots=True)
class Progress:
    """What the leader knows of one member."""

    match: int = 0
    next: int = 1
    acked_at: float = float("-inf")
    heard_at: float = float("-inf")
    sent_at: float = float("-inf")
    identity: str = ""
