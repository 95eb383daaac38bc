"""What nodes, back ends and operators tell each other, in the product's own terms.

A configuration names routes, services, client accounts and limits. A back end is a process that
runs requests of one service; each of its starts is an instance with an id of its own.
"""

import dataclasses

READY = "ready"
DRAINING = "draining"
GONE = "gone"

SAFE = "safe"
UNSAFE = "unsafe"
STREAMING = "streaming"


@dataclasses.dataclass(slots=True)
class Share:
    """A service with its weight in a route."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(slots=True)
class Route:
    """Where requests of one host and path prefix go, and what may be done with them.

    `objective_s` is when the first byte is due for full credit; `gap_s` the longest pause between
    events; `priority` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    objective_s: float
    priority: int
    shares: list[Share]
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Engine:
    """What the model workers of a service are made of; speeds in seconds and tokens."""

    slots: int
    models: list[str]
    layers: int = 1
    chunks: int = 0
    chunk_bytes: int = 0
    step_s: float = 0.0
    steps_per_pass: int = 1
    read_tokens_per_s: float = 0.0
    usual_prompt: float = 0.0
    usual_answer: float = 0.0


@dataclasses.dataclass(slots=True)
class Service:
    """A set of back ends that run the same requests, or an origin of weights (`origin`).

    `link_bytes_per_s` is what the origin's link carries; 0 if that is not told.
    """

    name: str
    health_path: str = ""
    connections_max: int = 0
    engine: Engine | None = None
    origin: str = ""
    zone: str = ""
    link_bytes_per_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Account:
    """A client account: its name and the keys that its clients present."""

    name: str
    keys: list[str]
    priority: int | None = None


@dataclasses.dataclass(slots=True)
class ClientLimits:
    """What a client may send and how long it may take; bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(slots=True)
class Configuration:
    """One version of what the operator wants in force."""

    version: int
    routes: list[Route]
    services: list[Service]
    accounts: list[Account]
    limits: ClientLimits = dataclasses.field(default_factory=ClientLimits)


@dataclasses.dataclass(slots=True)
class Weights:
    """A model with the version of the weights that a back end holds.

    `layers` is how many of its layers are there; None if that is not told, then all are.
    """

    model: str
    version: int
    layers: int | None = None

    def is_whole(self, layers: int) -> bool:
        """Return whether all of the model's `layers` are there."""
        return self.layers is None or self.layers >= layers


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """What a back end tells of itself; `sequence` grows with every call of one instance.

    `instance` names its incarnation (`coordination.incarnations`).
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    sequence: int
    cold_s: float = 0.0
    weights: list[Weights] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class EngineReport:
    """What an engine tells of its load and its weights.

    `ready_in_s` is added by its agent: when it will hold weights that may be used, as far as that
    can be forecast, None if it serves or if nothing is known. `born_ms` is the Unix millisecond of
    the engine's start, 0 if it is not told.
    """

    is_busy: bool = False
    sequence: int = 0
    queued: int = 0
    running: int = 0
    memory_used: float = 0.0
    memory_total: float = 0.0
    pace: float = 1.0
    weights: list[Weights] = dataclasses.field(default_factory=list)
    ready_in_s: float | None = None
    born_ms: int = 0


@dataclasses.dataclass(slots=True)
class Manifest:
    """The digests of one version's pieces, SHA-256 in hex."""

    model: str
    version: int
    layers: int
    digests: list[str]


@dataclasses.dataclass(slots=True)
class RequestHead:
    """What the head of a client's request says, as far as it decides where it runs.

    `deadline_s` is how long the client waits from the moment at which it was read.
    """

    request_id: str
    method: bytes
    path: bytes
    host: str
    key: str = ""
    deadline_s: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prefix: str = ""
    last_event_id: str = ""


@dataclasses.dataclass(slots=True)
class Target:
    """The instance that one attempt is meant for, and what it is told."""

    instance: str
    account: str
    remaining_s: float | None
    is_account_known: bool
    weights_version: int | None = None
    last_event_id: str = ""
    urgency: int | None = None


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """What the head of a back end's answer says of the attempt, and of the back end itself.

    `is_leaving` tells that it takes no new work for the rest of its life. `rest_s` is how long it
    wants nothing from this VM, None if it asks for no rest; `rest_problem` tells why a rest that
    it asks for can't be obeyed. `is_other` tells that whoever answered is not the one asked.
    `limit_per_s` is how many requests a second it takes from all callers together, None if it names
    no limit; `limit_problem` tells why one that it names can't be obeyed. `unread` are the names of
    headers that nobody here reads.
    """

    request_id: str | None
    is_not_run: bool
    is_signed: bool
    is_encoded: bool
    instance: str = ""
    is_leaving: bool = False
    rest_s: float | None = None
    rest_problem: str = ""
    is_other: bool = False
    limit_per_s: float | None = None
    limit_problem: str = ""
    unread: frozenset[str] = frozenset()
