"""Messages, membership and parameters of a Raft group."""

import dataclasses

from merlinthread import registry
from merlinthread.state import journal

MESSAGES: registry.Registry[type] = registry.Registry("replicated log message")


@dataclasses.dataclass(slots=True)
class Address:
    """The addresses of a member, as "IP:port": one for other members, one for entry VMs."""

    log_bus: str
    bus: str


@dataclasses.dataclass(slots=True)
class Voters:
    """The membership of the group.

    Names in `retired` can't be used again. `identities` holds the identity of each member's data
    folder: a member that returns with another one has lost its votes and entries, and is rejected.
    `addresses` holds members that joined later; the settings name the initial ones.
    """

    voters: list[str] = dataclasses.field(default_factory=list)
    learners: list[str] = dataclasses.field(default_factory=list)
    retired: list[str] = dataclasses.field(default_factory=list)
    identities: dict[str, str] = dataclasses.field(default_factory=dict)
    addresses: dict[str, Address] = dataclasses.field(default_factory=dict)

    def copy(self) -> "Voters":
        """Return a copy that shares no lists or dictionaries."""
        return Voters(
            list(self.voters),
            list(self.learners),
            list(self.retired),
            dict(self.identities),
            dict(self.addresses),
        )

    def has_other_identity(self, name: str, identity: str) -> bool:
        """Return whether `identity` differs from the one registered for `name`."""
        return self.identities.get(name, identity) != identity

    def majority(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def members(self) -> list[str]:
        """Return the names of voters and learners."""
        return self.voters + self.learners


@MESSAGES.add("log.vote")
@dataclasses.dataclass(slots=True)
class VoteRequest:
    """Request a vote, or a pre-vote if `is_trial` is set."""

    sender: str
    term: int
    last_index: int
    last_term: int
    is_trial: bool
    identity: str = ""


@MESSAGES.add("log.vote_reply")
@dataclasses.dataclass(slots=True)
class VoteReply:
    """Reply to a vote request of `term`."""

    sender: str
    term: int
    is_granted: bool
    is_trial: bool
    identity: str = ""


@MESSAGES.add("log.append")
@dataclasses.dataclass(slots=True)
class AppendEntries:
    """Send entries to a follower, or none as a heartbeat; `sent_at` is on the leader's clock."""

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
    """Reply to AppendEntries or InstallSnapshot.

    `match` is the last matching index, or a hint for the leader's next attempt after a rejection.
    """

    sender: str
    term: int
    is_accepted: bool
    match: int
    sent_at: float
    identity: str = ""


@MESSAGES.add("log.install")
@dataclasses.dataclass(slots=True)
class InstallSnapshot:
    """Send a snapshot to a member whose next entries the leader has compacted."""

    sender: str
    term: int
    sent_at: float
    snapshot: journal.Snapshot


@MESSAGES.add("log.stranger")
@dataclasses.dataclass(slots=True)
class IdentityMismatch:
    """Tell a member that its name is registered with another data folder."""

    sender: str
    name: str
    identity: str


Message = VoteRequest | VoteReply | AppendEntries | AppendReply | InstallSnapshot | IdentityMismatch


@dataclasses.dataclass(slots=True)
class Timing:
    """Timeouts in seconds; a lease lasts `lease_fraction` of `election_min_s`.

    A long message is sent again after `resend_s`, and as much longer as it takes at
    `bytes_per_s_min`, unless it is known to be lost earlier.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    lease_fraction: float = 0.8
    resend_s: float = 1.0
    bytes_per_s_min: float = 100_000.0


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits of one AppendEntries message and of the number of uncommitted entries.

    A message with more than `long_bytes` of entries is long. While long messages are on their way,
    at most `long_messages`, only further long ones are sent, since short ones would overtake them.
    """

    entries_per_append: int = 256
    bytes_per_append: int = 32 * 1024
    long_bytes: int = 16 * 1024
    long_messages: int = 3
    uncommitted_max: int = 4096


@dataclasses.dataclass(slots=True)
class Ready:
    """The pending work of the owner, to be done in the order of the fields."""

    hard_state: journal.HardState | None
    snapshot: journal.Snapshot | None
    entries: list[journal.Entry]
    messages: list[tuple[str, Message]]
    committed: list[journal.Entry]

    def is_empty(self) -> bool:
        """Return whether no work is pending."""
        return not (self.hard_state or self.snapshot or self.messages or self.committed) and not (
            self.entries
        )


def is_long(message: Message, limits: Limits) -> bool:
    """Return whether a message takes long to send; a snapshot always counts as long."""
    if isinstance(message, AppendEntries):
        return entry_bytes(message.entries) > limits.long_bytes
    return isinstance(message, InstallSnapshot)


def entry_bytes(entries: list[journal.Entry]) -> int:
    """Return the bytes of data in entries."""
    return sum(len(entry.data) for entry in entries)
