"""What can be put into the control VMs' log, and the answer that a command leads to. Plain data."""

import dataclasses

from merlinthread import registry
from merlinthread.coordination import bundles

COMMANDS: registry.Registry[type] = registry.Registry("control command")


@COMMANDS.add("propose")
@dataclasses.dataclass(slots=True)
class Propose:
    """Put a bundle forward for signing."""

    request_id: str
    operator: str
    at: float
    bundle: bundles.Bundle


@COMMANDS.add("sign")
@dataclasses.dataclass(slots=True)
class Sign:
    """Add an operator's signature, which the leader has verified."""

    request_id: str
    operator: str
    at: float
    version: int
    digest: str
    signature: str


@COMMANDS.add("roll")
@dataclasses.dataclass(slots=True)
class Roll:
    """Put a signed version in force under a new generation; `is_back` only names an earlier one."""

    request_id: str
    operator: str
    at: float
    version: int
    signatures_required: int
    is_back: bool = False


@COMMANDS.add("pause")
@dataclasses.dataclass(slots=True)
class Pause:
    """Stop a roll from going further, or with an empty reason let it go on."""

    generation: int
    reason: str


@dataclasses.dataclass(slots=True)
class VmPlacement:
    """What one VM should hold, and where its agent is reached by others ("IP:port")."""

    models: list[str]
    availability_zone: str
    region: str
    bus: str


@COMMANDS.add("place")
@dataclasses.dataclass(slots=True)
class Place:
    """Change which models some VMs hold; an empty list of models takes a VM out."""

    generation: int
    changes: dict[str, VmPlacement]
    reason: str


@COMMANDS.add("claim")
@dataclasses.dataclass(slots=True)
class Claim:
    """Claim an idempotency key for one attempt.

    `issued_at` is the time in the key (a UUIDv7, RFC 9562), in seconds since 1970.
    """

    key: str
    body_digest: str
    attempt: str
    issued_at: float


@COMMANDS.add("complete")
@dataclasses.dataclass(slots=True)
class Complete:
    """Keep the answer of a claimed request, or with `not_run` free its key."""

    key: str
    attempt: str
    status: int
    body: bytes
    not_run: bool = False


@COMMANDS.add("expire")
@dataclasses.dataclass(slots=True)
class Expire:
    """Drop claims whose keys were issued before `before`; such keys are refused from then on."""

    before: float


Command = Propose | Sign | Roll | Pause | Place | Claim | Complete | Expire


@dataclasses.dataclass(slots=True)
class Answer:
    """What a command led to; `error` is empty or the name of an error kind."""

    error: str = ""
    message: str = ""
    version: int = 0
    digest: str = ""
    generation: int = 0
    status: str = ""
    body: bytes = b""
    http_status: int = 0
