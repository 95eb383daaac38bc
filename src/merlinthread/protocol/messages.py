"""Messages between processes, apart from those of the replicated log."""

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
    """The reply to a request that failed; `kind` is the value of an error kind."""

    kind: str
    message: str


@MESSAGES.add("heartbeat")
@dataclasses.dataclass(slots=True)
class Heartbeat:
    """An agent's report to an entry.

    `is_home` is true for the one entry that forwards the report to the leader.
    """

    report: agents_.AgentReport
    is_home: bool


@MESSAGES.add("beat")
@dataclasses.dataclass(slots=True)
class LoadHeartbeat:
    """A heartbeat of an agent whose load alone has changed since its last Heartbeat."""

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
    """An entry's reply to a heartbeat; `directive` is set only if the agent's is older.

    `wants_full` is true if the entry lacks the report that a LoadHeartbeat refers to.

    For `lease_s` seconds after the heartbeat was sent, no later incarnation of the agent sends
    orders to its target.
    """

    entry: str
    lease_s: float
    directive: control_state.Directive | None
    wants_full: bool = False


@MESSAGES.add("poll")
@dataclasses.dataclass(slots=True)
class PollRequest:
    """An entry's request to a control VM for a directive newer than `revision`."""

    entry: str
    revision: int


@MESSAGES.add("poll_reply")
@dataclasses.dataclass(slots=True)
class PollReply:
    """A control VM's reply to a poll.

    `leader_age_s` is the time since it last heard from the leader; `controls` are the addresses of
    control VMs that joined after the initial ones.
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
    """An entry's summaries of what it and others can reach, and a request for the receiver's."""

    entry: str
    revision: int
    summaries: list[summaries_.Summary]


@MESSAGES.add("exchange_reply")
@dataclasses.dataclass(slots=True)
class ExchangeReply:
    """The reply to an ExchangeRequest, with the receiver's own summaries."""

    revision: int
    directive: control_state.Directive | None
    summaries: list[summaries_.Summary]


@MESSAGES.add("tell")
@dataclasses.dataclass(slots=True)
class AgentChanges:
    """An entry's report to the leader of changes among the agents it is responsible for.

    With `is_full`, `changed` lists all of them.
    """

    entry: str
    changed: list[agents_.AgentReport]
    gone: list[str]
    is_full: bool


@MESSAGES.add("told")
@dataclasses.dataclass(slots=True)
class AgentChangesReply:
    """The leader's reply; `listener` changes when the leader has lost the earlier changes."""

    listener: str
    wants_full: bool


@MESSAGES.add("join")
@dataclasses.dataclass(slots=True)
class JoinRequest:
    """A request of a new control VM to replace a lost one."""

    name: str
    identity: str
    log_bus: str
    bus: str
    replaces: str


@MESSAGES.add("command")
@dataclasses.dataclass(slots=True)
class CommandRequest:
    """An entry's request to the leader to commit a claim or the completion of one."""

    command: bytes


@MESSAGES.add("command_answer")
@dataclasses.dataclass(slots=True)
class CommandReply:
    """The result of the committed command."""

    answer: commands.Answer


@MESSAGES.add("manifest_wanted")
@dataclasses.dataclass(slots=True)
class ManifestRequest:
    """An agent's request to another for a manifest."""

    digest: str


@MESSAGES.add("manifest")
@dataclasses.dataclass(slots=True)
class ManifestReply:
    """The bytes of the manifest; empty if the receiver does not have it."""

    data: bytes


@MESSAGES.add("chunk_wanted")
@dataclasses.dataclass(slots=True)
class ChunkRequest:
    """An agent's request to another for any one chunk of `wanted`.

    `wanted` and `held`, the chunks that the sender has, are bit sets over the chunks of the
    manifest, lowest bit first.
    """

    agent: str
    manifest: str
    wanted: bytes
    held: bytes


@MESSAGES.add("chunk")
@dataclasses.dataclass(slots=True)
class ChunkReply:
    """One chunk, or NO_CHUNK or NO_UPLOAD_SLOT as its `index`.

    `held` is the bit set of the chunks that the sender has.
    """

    index: int
    data: bytes
    held: bytes


# Values of ChunkReply.index if none of the wanted chunks is available, or no upload slot is free.
NO_CHUNK = -1
NO_UPLOAD_SLOT = -2


def make_codec(keys: list[codec.Key]) -> codec.Codec:
    """Return the codec for these messages, Raft messages and commands."""
    return codec.Codec([MESSAGES, raft_messages.MESSAGES, commands.COMMANDS], keys)
