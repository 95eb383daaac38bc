"""The commands of the control VMs' replicated log, and the answer to a command."""

import dataclasses

from merlinthread import registry
from merlinthread.coordination import bundles

COMMANDS: registry.Registry[type] = registry.Registry("control command")


@COMMANDS.add("propose")
@dataclasses.dataclass(slots=True)
class Propose:
    """Propose a bundle for signing."""

    request_id: str
    operator: str
    at: float
    bundle: bundles.Bundle


@COMMANDS.add("sign")
@dataclasses.dataclass(slots=True)
class Sign:
    """Add an operator's signature; the leader verifies it before it appends the command."""

    request_id: str
    operator: str
    at: float
    version: int
    digest: str
    signature: str


@COMMANDS.add("roll")
@dataclasses.dataclass(slots=True)
class Roll:
    """Put a signed version in force under a new generation.

    `is_back` marks a rollback, which only accepts a version that was in force before.
    """

    request_id: str
    operator: str
    at: float
    version: int
    signatures_required: int
    is_back: bool = False


@COMMANDS.add("pause")
@dataclasses.dataclass(slots=True)
class Pause:
    """Pause a roll, or resume it if `reason` is empty."""

    generation: int
    reason: str


@dataclasses.dataclass(slots=True)
class VmPlacement:
    """The models assigned to one VM, its location, and its agent's bus address ("IP:port")."""

    models: list[str]
    availability_zone: str
    region: str
    bus: str


@COMMANDS.add("place")
@dataclasses.dataclass(slots=True)
class Place:
    """Change the models assigned to VMs; an empty list of models removes a VM."""

    generation: int
    changes: dict[str, VmPlacement]
    reason: str


@COMMANDS.add("claim")
@dataclasses.dataclass(slots=True)
class Claim:
    """Claim an idempotency key for one attempt.

    `issued_at` is the timestamp in the key (a UUIDv7, RFC 9562), in Unix seconds.
    """

    key: str
    body_digest: str
    attempt: str
    issued_at: float


@COMMANDS.add("complete")
@dataclasses.dataclass(slots=True)
class Complete:
    """Store the response to a claimed request, or release its key if `not_run` is set."""

    key: str
    attempt: str
    status: int
    body: bytes
    not_run: bool = False


@COMMANDS.add("expire")
@dataclasses.dataclass(slots=True)
class Expire:
    """Remove claims whose keys were issued before `before`; such keys are refused from then on."""

    before: float


Command = Propose | Sign | Roll | Pause | Place | Claim | Complete | Expire


@dataclasses.dataclass(slots=True)
class Answer:
    """The result of a command; `error` is empty or the value of an error kind."""

    error: str = ""
    message: str = ""
    version: int = 0
    digest: str = ""
    generation: int = 0
    status: str = ""
    body: bytes = b""
    http_status: int = 0
