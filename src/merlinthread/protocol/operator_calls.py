"""JSON bodies of the HTTP API that control VMs offer to operators."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class ProposeRequest:
    """Propose a bundle; `bundle` is validated separately."""

    request_id: str
    operator: str
    bundle: Any


@dataclasses.dataclass(slots=True)
class SignRequest:
    """Sign the bundle with this version and digest; `signature` is Ed25519, in hex."""

    request_id: str
    operator: str
    version: int
    digest: str
    signature: str


@dataclasses.dataclass(slots=True)
class RollRequest:
    """Roll out a signed version; with `is_back`, only one that was in force before is allowed."""

    request_id: str
    operator: str
    version: int
    is_back: bool = False


@dataclasses.dataclass(slots=True)
class ResumeRequest:
    """Resume the paused roll of `generation`."""

    generation: int


@dataclasses.dataclass(slots=True)
class CommandResult:
    """The result of a command, with the bundle it refers to."""

    status: str
    version: int
    digest: str
    generation: int
    message: str = ""


@dataclasses.dataclass(slots=True)
class MemberStatus:
    """A member of the replicated log.

    `entries_behind` is the number of log entries it lacks, as far as the leader knows.
    """

    name: str
    role: str
    leads: bool
    entries_behind: int


@dataclasses.dataclass(slots=True)
class AgentStatus:
    """A target VM; `revision` and `generation` are those that it enforces.

    `is_done` is true if it serves exactly the models assigned to it.
    """

    name: str
    availability_zone: str
    kind: str
    revision: int
    generation: int
    assigned: list[str]
    serving: dict[str, str]
    is_done: bool
    is_leaving: bool
    trouble: str


@dataclasses.dataclass(slots=True)
class Status:
    """The state of the deployment, as the leader sees it."""

    leader: str
    term: int
    revision: int
    generation: int
    version: int
    digest: str
    paused: str
    members: list[MemberStatus]
    agents: list[AgentStatus]
    data_folder_bytes: int


@dataclasses.dataclass(slots=True)
class BundleSummary:
    """A bundle in the history; `proposed_at` is in seconds since the epoch."""

    version: int
    digest: str
    status: str
    proposed_by: str
    proposed_at: float
    signed_by: list[str]
    note: str


@dataclasses.dataclass(slots=True)
class RollSummary:
    """A roll in the history; `at` is in seconds since the epoch."""

    generation: int
    version: int
    operator: str
    at: float
    is_back: bool


@dataclasses.dataclass(slots=True)
class History:
    """All bundles and the most recent rolls, newest first."""

    bundles: list[BundleSummary]
    rolls: list[RollSummary]


@dataclasses.dataclass(slots=True)
class BundleDetails:
    """A bundle with its full content."""

    line: BundleSummary
    bundle: dict[str, Any]


# The path of the calls on evacuations of zones, which the command line and control VMs share.
EVACUATIONS_PATH = "/evacuations"


@dataclasses.dataclass(slots=True)
class EvacuatedZones:
    """The evacuated zones, the response to GET EVACUATIONS_PATH."""

    zones: list[str]
