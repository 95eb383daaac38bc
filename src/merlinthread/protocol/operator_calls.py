"""The JSON bodies between the command line and the control VMs."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class ProposeRequest:
    """Put a bundle forward; `bundle` is validated apart."""

    request_id: str
    operator: str
    bundle: Any


@dataclasses.dataclass(slots=True)
class SignRequest:
    """Sign a version with a digest; the signature is Ed25519, hex."""

    request_id: str
    operator: str
    version: int
    digest: str
    signature: str


@dataclasses.dataclass(slots=True)
class RollRequest:
    """Put a signed version in force; `is_back` allows only one that was in force before."""

    request_id: str
    operator: str
    version: int
    is_back: bool = False


@dataclasses.dataclass(slots=True)
class ResumeRequest:
    """Let the paused roll of `generation` go on."""

    generation: int


@dataclasses.dataclass(slots=True)
class CommandResult:
    """What a command led to."""

    status: str
    version: int
    digest: str
    generation: int
    message: str = ""


@dataclasses.dataclass(slots=True)
class MemberStatus:
    """One member of the log; `entries_behind` is as the leader knows it."""

    name: str
    role: str
    leads: bool
    entries_behind: int


@dataclasses.dataclass(slots=True)
class AgentStatus:
    """One target VM; `revision` and `generation` are what it enforces.

    `is_done` says whether it serves exactly what it should.
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
    """The leader's view of the whole system."""

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
    """A bundle in the history; `proposed_at` is in seconds since 1970."""

    version: int
    digest: str
    status: str
    proposed_by: str
    proposed_at: float
    signed_by: list[str]
    note: str


@dataclasses.dataclass(slots=True)
class RollSummary:
    """A roll in the history; `at` is in seconds since 1970."""

    generation: int
    version: int
    operator: str
    at: float
    is_back: bool


@dataclasses.dataclass(slots=True)
class History:
    """All bundles and the last rolls, newest first."""

    bundles: list[BundleSummary]
    rolls: list[RollSummary]


@dataclasses.dataclass(slots=True)
class BundleDetails:
    """One bundle whole."""

    line: BundleSummary
    bundle: dict[str, Any]
