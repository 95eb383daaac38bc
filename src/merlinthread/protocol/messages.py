"""Messages between our own processes, apart from those of the replicated log."""

import dataclasses

from merlinthread import registry
from merlinthread.coordination import agents as agents_
from merlinthread.coordination import commands, control_state, raft_messages
from merlinthread.coordination import summaries as summaries_
from merlinthread.protocol import codec

MESSAGES: registry.Registry[type] = registry.Registry("message")
MESSAGES.add("agent_report")(agents_.AgentReport)


@MESSAGES.add("refused")
@dataclasses.dataclass(slots=True)
class ErrorReply:
    """The receiver could not do what was asked; `kind` names an error kind."""

    kind: str
    message: str


@MESSAGES.add("heartbeat")
@dataclasses.dataclass(slots=True)
class Heartbeat:
    """An agent's report to an entry; `is_home` for the one entry that tells the leader of it."""

    report: agents_.AgentReport
    is_home: bool


@MESSAGES.add("beat")
@dataclasses.dataclass(slots=True)
class LoadHeartbeat:
    """A heartbeat of an agent that has only its load to tell since its last full one."""

    name: str
    incarnation: int
    counter: int
    running: int
    queued: int
    queued_tokens: int
    is_home: bool


@MESSAGES.add("heartbeat_reply")
@dataclasses.dataclass(slots=True)
class HeartbeatReply:
    """An entry's answer to a heartbeat; `directive` is there only if the agent's is older.

    `wants_full` if the entry lacks the report that a beat builds on.

    For `lease_s` seconds from when the heartbeat was sent, no later incarnation of the agent gives
    its target orders.
    """

    entry: str
    lease_s: float
    directive: control_state.Directive | None
    wants_full: bool = False


@MESSAGES.add("poll")
@dataclasses.dataclass(slots=True)
class PollRequest:
    """An entry asks a control VM for news."""

    entry: str
    revision: int


@MESSAGES.add("poll_reply")
@dataclasses.dataclass(slots=True)
class PollReply:
    """A control VM's answer.

    `leader_age_s` says how long ago it heard from the leader; `controls` are the addresses of
    control VMs that joined after the first ones.
    """

    control: str
    leader: str
    leader_age_s: float
    revision: int
    controls: dict[str, str]
    directive: control_state.Directive | None


@MESSAGES.add("exchange")
@dataclasses.dataclass(slots=True)
class ExchangeRequest:
    """One entry tells another what it and others reach, and asks for the same."""

    entry: str
    revision: int
    summaries: list[summaries_.Summary]


@MESSAGES.add("exchange_reply")
@dataclasses.dataclass(slots=True)
class ExchangeReply:
    """The other entry's view."""

    revision: int
    directive: control_state.Directive | None
    summaries: list[summaries_.Summary]


@MESSAGES.add("tell")
@dataclasses.dataclass(slots=True)
class AgentChanges:
    """An entry tells the leader what changed among the agents whose home it is."""

    entry: str
    changed: list[agents_.AgentReport]
    gone: list[str]
    is_full: bool


@MESSAGES.add("told")
@dataclasses.dataclass(slots=True)
class AgentChangesReply:
    """The leader's answer; `listener` changes when it has forgotten what it was told."""

    listener: str
    wants_full: bool


@MESSAGES.add("join")
@dataclasses.dataclass(slots=True)
class JoinRequest:
    """A new control VM asks to take the place of a lost one."""

    name: str
    identity: str
    log_bus: str
    bus: str
    replaces: str


@MESSAGES.add("command")
@dataclasses.dataclass(slots=True)
class CommandRequest:
    """An entry asks the leading control VM to commit a claim or its completion."""

    command: bytes


@MESSAGES.add("command_answer")
@dataclasses.dataclass(slots=True)
class CommandReply:
    """What the committed command led to."""

    answer: commands.Answer


@MESSAGES.add("manifest_wanted")
@dataclasses.dataclass(slots=True)
class ManifestRequest:
    """An agent asks another for a manifest."""

    digest: str


@MESSAGES.add("manifest")
@dataclasses.dataclass(slots=True)
class ManifestReply:
    """The manifest's bytes; empty if it is not here."""

    data: bytes


@MESSAGES.add("chunk_wanted")
@dataclasses.dataclass(slots=True)
class ChunkRequest:
    """An agent asks another for any one chunk of `wanted` and says what it has itself.

    Both are bit sets over the manifest's chunks, lowest first.
    """

    agent: str
    manifest: str
    wanted: bytes
    held: bytes


@MESSAGES.add("chunk")
@dataclasses.dataclass(slots=True)
class ChunkReply:
    """One chunk; `index` is -1 if none of the wanted ones is here, -2 if all upload slots are busy.

    `held` is a bit set of what the sender has, so that the asker knows whom to ask next.
    """

    index: int
    data: bytes
    held: bytes


NO_CHUNK = -1
NO_UPLOAD_SLOT = -2


def make_codec(keys: list[codec.Key]) -> codec.Codec:
    """Return the codec of all messages between our own processes."""
    return codec.Codec([MESSAGES, raft_messages.MESSAGES, commands.COMMANDS], keys)
