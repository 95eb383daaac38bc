"""Messages between the nodes of a deployment: entries, agents and control VMs.

Those about pieces of weights are in `piece_messages`.
"""

import dataclasses
import enum

from merlinthread import registry
from merlinthread.coordination import (
    crash_tracker,
    fleet,
    instances,
    limit_table,
    load_tracker,
    rate_limits,
)

MESSAGES: registry.Registry[type] = registry.Registry("node message")


@MESSAGES.add("node.ok")
@dataclasses.dataclass(slots=True)
class Acknowledgement:
    """Acknowledge a message that needs no other reply.

    `level` is the newest format level that the sender reads (see `coordination.levels`). Older
    builds omit the field and ignore it.
    """

    level: int = 0


@MESSAGES.add("node.failed")
@dataclasses.dataclass(slots=True)
class ErrorReply:
    """Report that a request failed; `kind` is the value of an error kind."""

    kind: str
    message: str


@MESSAGES.add("node.named_version")
@dataclasses.dataclass(slots=True)
class NamedVersion:
    """A published version of a model's weights, confirmed at most `age_s` seconds ago.

    A reply has the newest one of each model, and before it those that are not yet superseded by the
    requirement of a later one (`coordination.version_history`); older builds send only the newest.
    """

    model: str
    version: int
    age_s: float


@MESSAGES.add("node.watch")
@dataclasses.dataclass(slots=True)
class WatchRequest:
    """Request changes from a control VM by long polling, for up to `wait_s` seconds.

    `position` is the last one received, and `feed` identifies the run of the control VM that sent
    it. `suspicions`, `limits` and `evacuations` are the last revisions received of each, or -1 to
    request none; builds without evacuations omit the field.
    """

    node: str
    feed: str
    position: int
    configuration: int
    wait_s: float
    suspicions: int = -1
    limits: int = -1
    evacuations: int = -1


@dataclasses.dataclass(slots=True)
class Evacuations:
    """The evacuated zones after the change `revision`; a higher revision is newer."""

    revision: int
    zones: list[str]


@MESSAGES.add("node.news")
@dataclasses.dataclass(slots=True)
class WatchReply:
    """The changes since the position in a WatchRequest.

    With `is_full`, `instances` is the complete list and replaces the receiver's. `leader_age_s` is
    the time since this control VM was last known to be up to date with a majority.
    `configuration` is empty if the receiver's is up to date. `suspicions` and `limits` are those
    that changed, up to `suspicion_revision` and `limit_revision`. `evacuations` is None if the
    receiver's revision is up to date, or newer. `held_s` is how long the control VM waited for
    changes before it replied, None from builds that do not tell.
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
    suspicions: list[crash_tracker.SuspectReport] = dataclasses.field(default_factory=list)
    suspicion_revision: int = 0
    limits: list[limit_table.LimitReport] = dataclasses.field(default_factory=list)
    limit_revision: int = 0
    evacuations: Evacuations | None = None
    held_s: float | None = None


@MESSAGES.add("node.beats")
@dataclasses.dataclass(slots=True)
class HeartbeatBatch:
    """Heartbeats that a control VM forwards to the others, and rate limits reported by entries."""

    sender: str
    heartbeats: list[fleet.Heartbeat]
    limits: list[limit_table.LimitReport] = dataclasses.field(default_factory=list)


@MESSAGES.add("node.crash_report")
@dataclasses.dataclass(slots=True)
class CrashReport:
    """Report to a control VM which requests were running when processes crashed.

    It also reports requests that were cleared of suspicion. With `is_passed_on`, the report was
    forwarded by a control VM and is not forwarded again. `limits` are rate limits that back ends
    have just advertised or lifted; control VMs forward them with heartbeats.
    """

    sender: str
    suspicions: list[crash_tracker.SuspectReport]
    is_passed_on: bool = False
    limits: list[limit_table.LimitReport] = dataclasses.field(default_factory=list)


@MESSAGES.add("node.submit")
@dataclasses.dataclass(slots=True)
class CommandRequest:
    """Request that the leader commits a command."""

    command: bytes


@MESSAGES.add("node.submitted")
@dataclasses.dataclass(slots=True)
class CommandReply:
    """Whether a command was applied, and the version in force afterwards."""

    is_applied: bool
    version: int


@MESSAGES.add("node.read")
@dataclasses.dataclass(slots=True)
class ConfigurationRequest:
    """Request the newest configuration and the evacuated zones from the leader.

    The body is omitted if the sender's version `known` is the newest.
    """

    known: int = 0


@MESSAGES.add("node.read_reply")
@dataclasses.dataclass(slots=True)
class ConfigurationReply:
    """The newest configuration, unmodified; `version` is 0 if there is none.

    `evacuated` are the evacuated zones, or None from builds without evacuations. `is_settled` is
    set if no change of them is in the leader's log without being applied.
    """

    version: int
    body: bytes
    evacuated: list[str] | None = None
    is_settled: bool = False


@MESSAGES.add("node.join")
@dataclasses.dataclass(slots=True)
class JoinRequest:
    """Request to join the members of the replicated log; `name` contains the address.

    `level` is the newest format level that the sender reads, or 0 from builds without the field.
    """

    name: str
    level: int = 0


@MESSAGES.add("node.joined")
@dataclasses.dataclass(slots=True)
class JoinReply:
    """The reply to a JoinRequest.

    `is_removed` is true if the member was removed permanently and must join under another name.
    """

    is_removed: bool


@MESSAGES.add("node.resign")
@dataclasses.dataclass(slots=True)
class LeaveRequest:
    """Announce to the leader that a member of the replicated log is shutting down."""

    name: str


@MESSAGES.add("node.resigned")
@dataclasses.dataclass(slots=True)
class LeaveReply:
    """The reply to a LeaveRequest; `may_end` is true if the member can safely terminate."""

    may_end: bool


@MESSAGES.add("node.log")
@dataclasses.dataclass(slots=True)
class RaftFrames:
    """Messages of the replicated log, each encoded separately, in sending order."""

    frames: list[bytes]


@MESSAGES.add("node.subscribe")
@dataclasses.dataclass(slots=True)
class LoadSubscription:
    """Subscribe to the load of an agent's engine for a few seconds."""

    address: str


@MESSAGES.add("node.load")
@dataclasses.dataclass(slots=True)
class LoadUpdate:
    """The current load of an agent's engine; `sequence` increases with each update.

    `others` is the outstanding work of entries other than the receiver on the engine.
    """

    address: str
    sequence: int
    report: fleet.EngineReport
    others: load_tracker.Outstanding | None = None


@MESSAGES.add("node.query")
@dataclasses.dataclass(slots=True)
class LoadQuery:
    """Request the current load of an agent's engine; the reply goes to `address`.

    With `permit`, it requests a permit from a control VM instead, or from the agent of a cold
    engine in addition. The same message is used so that builds without permits can read it.

    `account` is the client account of the request that is to be sent, empty if there is none.
    `asked_tokens` is the part of its expected cost that is asked of this engine: the first query of
    a request divides it among the agents, later ones have 0. `urgency` is that of the request, None
    if the requests of the service do not differ in urgency.
    """

    address: str
    number: int
    permit: rate_limits.PermitRequest | None = None
    account: str = ""
    asked_tokens: float = 0.0
    urgency: int | None = None


@dataclasses.dataclass(slots=True)
class PermitReply:
    """A control VM's or an agent's reply to a request for a permit.

    `decision` is None unless the control VM is certain to be the leader; `leader` then names the
    leader, or is empty if unknown. The other fields are for times when the sender does not reply:
    `entries` is the number of entries with recent requests, `rank` the receiver's position among
    them, and `at` the time on the sender's clock, in seconds. From an agent, `entries` counts the
    numbers that it has given to entries and `rank` is the receiver's; `entries` is 0 while it gives
    none (`coordination.entry_numbers`).
    """

    decision: rate_limits.Decision | None
    leader: str = ""
    entries: int = 0
    rank: int = 0
    at: float = 0.0


@MESSAGES.add("node.pulse")
@dataclasses.dataclass(slots=True)
class LoadReply:
    """The reply to the LoadQuery `number`: the outstanding work of other entries on the engine.

    `is_busy` is true while the engine changes its weights, and if a request might start after the
    old ones have expired (`reload_schedule.is_too_slow_to_start`). `pace` is the factor by which
    the engine is slower than it reports. `permit` is set in the reply of a control VM, and in that
    of an agent that decided on a permit. `cold_s` is how long the engine will still be cold, None
    if that is unknown. `unread_by_urgency` is described at `load_tracker.EngineLoad`.
    `is_over_share` is true if requests of other accounts go before those of the account in the
    query.
    """

    number: int
    attempts: int
    unread: int
    tokens: float
    is_busy: bool = False
    pace: float = 1.0
    permit: PermitReply | None = None
    unread_by_urgency: list[load_tracker.UnreadPrompts] = dataclasses.field(default_factory=list)
    is_over_share: bool = False
    cold_s: float | None = None


class AttemptStage(enum.StrEnum):
    """The progress of an attempt on an engine."""

    SENT = "sent"
    READ = "read"
    ENDED = "ended"


@MESSAGES.add("node.attempt")
@dataclasses.dataclass(slots=True)
class AttemptNotice:
    """Notify an agent of an attempt on its engine; `tokens` is the length of the prompt.

    `urgency` is None if the requests of the service do not differ in urgency. `account` is the
    client account, empty if there is none, and `cost_tokens` the expected length of prompt and
    response. With `has_permit`, the agent granted a permit for it, since the engine is cold.
    """

    entry: str
    number: int
    stage: AttemptStage
    tokens: float = 0.0
    urgency: int | None = None
    account: str = ""
    cost_tokens: float = 0.0
    has_permit: bool = False
