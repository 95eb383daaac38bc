"""Data types shared by nodes, back ends and operators, independent of any wire format.

A configuration names routes, services, client accounts and limits. A back end is a process that
runs requests of one service. Fields called `instance` name one of its incarnations
(`coordination.incarnations`).
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
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(slots=True)
class Route:
    """The route of requests with one host and path prefix, and how they may be handled.

    `objective_s` is the target latency of the first byte, `gap_s` the target for the longest gap
    between events; `priority` 0 is the most urgent. Only back ends in `allowed_regions` may run
    the requests; empty means any.
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
    allowed_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class Engine:
    """The properties of a service's engines; speeds are in seconds and tokens."""

    slots: int
    models: list[str]
    layers: int = 1
    chunks: int = 0
    chunk_bytes: int = 0
    step_s: float = 0.0
    steps_per_pass: int = 1
    read_tokens_per_s: float = 0.0
    usual_prompt_tokens: float = 0.0
    usual_response_tokens: float = 0.0


@dataclasses.dataclass(slots=True)
class Service:
    """A set of back ends that run the same requests, or an origin of weights (`origin`).

    `link_bytes_per_s` is the bandwidth of the origin's link, 0 if it is not known. A back end that
    started during traffic is cold for `cold_start_s`; meanwhile it can handle `cold_per_s` requests
    per second, 0 if that is not limited.
    """

    name: str
    health_path: str = ""
    connections_max: int = 0
    engine: Engine | None = None
    origin: str = ""
    zone: str = ""
    link_bytes_per_s: float = 0.0
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Account:
    """A client account: its name and the API keys of its clients.

    Only back ends in `allowed_regions` may run its requests; empty means any.
    """

    name: str
    keys: list[str]
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class ClientLimits:
    """Limits on the size and duration of client requests, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(slots=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    routes: list[Route]
    services: list[Service]
    accounts: list[Account]
    limits: ClientLimits = dataclasses.field(default_factory=ClientLimits)


@dataclasses.dataclass(slots=True)
class Weights:
    """A model and the version of its weights that a back end has loaded.

    `layers` is the number of loaded layers, None if it is not reported, which means all.
    """

    model: str
    version: int
    layers: int | None = None

    def is_whole(self, layers: int) -> bool:
        """Return whether all of the model's `layers` are loaded."""
        return self.layers is None or self.layers >= layers


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """A back end's report of its own state; `sequence` grows with every report of an instance.

    `instance` names its incarnation (`coordination.incarnations`). `cold_s` is how long it will
    still be cold. Without `reports_cold`, which older builds omit, a `cold_s` of 0 means unknown.
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
    reports_cold: bool = False


@dataclasses.dataclass(slots=True)
class EngineReport:
    """An engine's report of its load and its weights.

    `ready_in_s` is added by its agent: the forecast time until it has usable weights, None if it
    already serves or there is no forecast. `born_ms` is the engine's start time in Unix
    milliseconds, 0 if it is not reported.
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
    """The SHA-256 digests, in hex, of the pieces of one version of a model's weights."""

    model: str
    version: int
    layers: int
    digests: list[str]


@dataclasses.dataclass(slots=True)
class RequestHead:
    """The parts of a client request's head that routing depends on.

    `deadline_s` is the client's timeout, counted from when the head was read. `shared_parts` are
    the ids of the parts of its prompt that other requests may have too, in order. `response_tokens`
    is the most that it allows to generate, 0 if unknown, and `length_hint` the client's estimate.
    """

    request_id: str
    method: bytes
    path: bytes
    host: str
    api_key: str = ""
    deadline_s: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    response_tokens: int = 0
    shared_parts: tuple[str, ...] = ()
    last_event_id: str = ""
    length_hint: int | None = None


@dataclasses.dataclass(slots=True)
class Target:
    """The instance that an attempt is sent to, and the values sent with it."""

    instance: str
    account: str
    remaining_s: float | None
    is_account_known: bool
    weights_version: int | None = None
    last_event_id: str = ""
    urgency: int | None = None


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """What the head of a back end's response says about the attempt and the back end.

    `is_leaving` means that the back end accepts no further requests. `rest_s` is how long it asks
    this VM to send nothing, None if it does not; `rest_problem` is why such a request was invalid.
    `is_other_instance` means that the response is not from the instance that was addressed.
    `limit_per_s` is the number of requests per second that the back end accepts from all callers
    together, None without a limit; `limit_problem` is why a limit was invalid. `unknown_headers`
    holds the names of headers that are not known. `cold_s` is how long the back end will still be
    cold, None if it does not say; `cold_problem` is why such a value was invalid.
    """

    request_id: str | None
    is_not_run: bool
    is_signed: bool
    is_encoded: bool
    instance: str = ""
    is_leaving: bool = False
    rest_s: float | None = None
    rest_problem: str = ""
    is_other_instance: bool = False
    limit_per_s: float | None = None
    limit_problem: str = ""
    unknown_headers: frozenset[str] = frozenset()
    cold_s: float | None = None
    cold_problem: str = ""
