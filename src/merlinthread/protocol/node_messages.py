"""Messages between the nodes of one deployment: entries, agents and control VMs."""

import dataclasses
import enum

from merlinthread import registry
from merlinthread.coordination import (
    crash_ledger,
    fleet,
    instances,
    limit_ledger,
    load_ledger,
    rate_limits,
)

MESSAGES: registry.Registry[type] = registry.Registry("node message")


@MESSAGES.add("node.ok")
@dataclasses.dataclass(slots=True)
class Ok:
    """Acknowledge a message that needs no other answer.

    `level` is the newest one that the sender reads (`coordination.levels`); builds that tell none
    are older, and pass over it.
    """

    level: int = 0


@MESSAGES.add("node.failed")
@dataclasses.dataclass(slots=True)
class Failed:
    """Refuse a message: an error kind and its message."""

    kind: str
    message: str


@MESSAGES.add("node.named_version")
@dataclasses.dataclass(slots=True)
class NamedVersion:
    """The newest version named of a model's weights, acknowledged at most `age_s` ago."""

    model: str
    version: int
    age_s: float


@MESSAGES.add("node.watch")
@dataclasses.dataclass(slots=True)
class Watch:
    """Ask a control VM for what is newer than what the asker holds; waits up to `wait_s`.

    `feed` names the run of the control VM whose `position` the asker holds. `suspicions` is the
    revision of the suspicions that it holds, -1 if it wants none; `limits` the same of limits.
    """

    node: str
    feed: str
    position: int
    configuration: int
    wait_s: float
    suspicions: int = -1
    limits: int = -1


@MESSAGES.add("node.news")
@dataclasses.dataclass(slots=True)
class News:
    """What has changed since the asker's position.

    With `is_full`, `instances` replaces all that the asker knew. `leader_age_s` is how long ago
    this control VM surely held what a majority holds. `configuration` is empty if the asker's is
    the newest here. `suspicions` are those that changed, up to `suspicion_revision`; `limits` the
    same, up to `limit_revision`.
    """

    feed: str
    position: int
    is_full: bool
    instances: list[instances.Instance]
    gone: list[str]
    named: list[NamedVersion]
    configuration_version: int
    configuration: bytes
    controls: list[str]
    leader_age_s: float
    suspicions: list[crash_ledger.Suspicion] = dataclasses.field(default_factory=list)
    suspicion_revision: int = 0
    limits: list[limit_ledger.LimitReport] = dataclasses.field(default_factory=list)
    limit_revision: int = 0


@MESSAGES.add("node.beats")
@dataclasses.dataclass(slots=True)
class Beats:
    """Heartbeats that a control VM took in, for the others, and limits that entries heard."""

    sender: str
    heartbeats: list[fleet.Heartbeat]
    limits: list[limit_ledger.LimitReport] = dataclasses.field(default_factory=list)


@MESSAGES.add("node.crash_report")
@dataclasses.dataclass(slots=True)
class CrashReport:
    """Tell a control VM which processes ended under which requests, and which were cleared.

    One that another control VM passed on goes no further. `limits` are those of back ends that an
    entry has just heard, or heard to be over; control VMs pass them on with heartbeats.
    """

    sender: str
    suspicions: list[crash_ledger.Suspicion]
    is_passed_on: bool = False
    limits: list[limit_ledger.LimitReport] = dataclasses.field(default_factory=list)


@MESSAGES.add("node.submit")
@dataclasses.dataclass(slots=True)
class Submit:
    """Pass a command on to the leader."""

    command: bytes


@MESSAGES.add("node.submitted")
@dataclasses.dataclass(slots=True)
class Submitted:
    """What became of a command: applied, and the version in force afterwards."""

    is_applied: bool
    version: int


@MESSAGES.add("node.read")
@dataclasses.dataclass(slots=True)
class Read:
    """Ask the leader for the newest configuration."""


@MESSAGES.add("node.read_reply")
@dataclasses.dataclass(slots=True)
class ReadReply:
    """The newest configuration as it was sent; version 0 if there is none."""

    version: int
    body: bytes


@MESSAGES.add("node.join")
@dataclasses.dataclass(slots=True)
class Join:
    """Ask to be taken in as a member of the replicated log; the name holds the address.

    `level` is the newest one that the joiner reads, 0 from builds that tell none.
    """

    name: str
    level: int = 0


@MESSAGES.add("node.joined")
@dataclasses.dataclass(slots=True)
class Joined:
    """Tell a joiner whether it was removed for good and must join under another name."""

    is_removed: bool


@MESSAGES.add("node.resign")
@dataclasses.dataclass(slots=True)
class Resign:
    """Tell the leader that a member of the replicated log is about to end as planned."""

    name: str


@MESSAGES.add("node.resigned")
@dataclasses.dataclass(slots=True)
class Resigned:
    """Tell a member that is about to end whether nothing is left to do for that."""

    may_end: bool


@MESSAGES.add("node.log")
@dataclasses.dataclass(slots=True)
class LogMessages:
    """Messages of the replicated log, encoded one by one, in the order they were sent."""

    frames: list[bytes]


@MESSAGES.add("node.subscribe")
@dataclasses.dataclass(slots=True)
class Subscribe:
    """Ask an agent for its engine's load, for the next few seconds."""

    address: str


@MESSAGES.add("node.load")
@dataclasses.dataclass(slots=True)
class Load:
    """An engine's load, fresh from its agent; `sequence` grows with every one.

    `others` is what entries other than the receiver have there now.
    """

    address: str
    sequence: int
    report: fleet.EngineReport
    others: load_ledger.Outstanding | None = None


@MESSAGES.add("node.query")
@dataclasses.dataclass(slots=True)
class LoadQuery:
    """Ask an agent for its engine's load now; `address` is where to answer.

    With `permit` it asks a control VM for that, in a message that builds which give out none read
    as well.
    """

    address: str
    number: int
    permit: rate_limits.PermitRequest | None = None


@dataclasses.dataclass(slots=True)
class PermitAnswer:
    """What a control VM says to who asks for a permit.

    `decision` is None if it does not surely lead; `leader` is then who does, empty if that is not
    known. For the time when none answers: `entries` is how many entries have asked of late, `rank`
    the asker's place among them, `at` the time of the leader's clock.
    """

    decision: rate_limits.Decision | None
    leader: str = ""
    entries: int = 0
    rank: int = 0
    at: float = 0.0


@MESSAGES.add("node.pulse")
@dataclasses.dataclass(slots=True)
class LoadAnswer:
    """Answer the question `number`: what others than the asker have on the engine now.

    `is_busy` tells that the engine is changing its weights, `pace` how many times slower it works
    than its figures say. It is kept short, since there is one or more for each request. `permit` is
    what a control VM answers.
    """

    number: int
    attempts: int
    unread: int
    tokens: float
    is_busy: bool = False
    pace: float = 1.0
    permit: PermitAnswer | None = None


class Stage(enum.StrEnum):
    """How far an attempt on an engine is."""

    SENT = "sent"
    READ = "read"
    ENDED = "ended"


@MESSAGES.add("node.attempt")
@dataclasses.dataclass(slots=True)
class AttemptNote:
    """Tell an agent of an attempt on its engine; `tokens` are those of the prompt."""

    entry: str
    number: int
    stage: Stage
    tokens: float = 0.0


@MESSAGES.add("node.piece_note")
@dataclasses.dataclass(slots=True)
class PieceNote:
    """Tell another agent, by datagram, of a piece that has just come to `sender`."""

    model: str
    version: int
    sender: str
    index: int


@MESSAGES.add("node.piece_claim")
@dataclasses.dataclass(slots=True)
class PieceClaim:
    """Tell another agent, by datagram, of a piece that `sender` begins to read from the origin."""

    model: str
    version: int
    sender: str
    index: int


@MESSAGES.add("node.manifest_request")
@dataclasses.dataclass(slots=True)
class ManifestRequest:
    """Ask an agent for the manifest of a version of a model's weights; version 0 is any."""

    model: str
    version: int


@MESSAGES.add("node.manifest_reply")
@dataclasses.dataclass(slots=True)
class ManifestReply:
    """The manifest, or None if the agent has another one or none."""

    manifest: fleet.Manifest | None


@MESSAGES.add("node.piece_request")
@dataclasses.dataclass(slots=True)
class PieceRequest:
    """Ask an agent for one piece out of `wanted`; tell it what the asker holds.

    Both are bit sets, lowest first. `took_s` is how long the last piece from there took, 0 if there
    was none.
    """

    model: str
    version: int
    wanted: bytes
    sender: str = ""
    held: bytes = b""
    took_s: float = 0.0


@MESSAGES.add("node.piece_reply")
@dataclasses.dataclass(slots=True)
class PieceReply:
    """A piece, or none (`index` -1): the asked one has none of them, or is busy.

    `held` is the bit set of what it has; `free_in_s` is when it will have sent what it has promised
    to others, if it is busy.
    """

    index: int
    data: bytes
    held: bytes
    is_busy: bool = False
    free_in_s: float = 0.0
