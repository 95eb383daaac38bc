"""The JSON bodies of the platform, validated, and their translation into the product's terms."""

from typing import Annotated

import msgspec

from merlinthread import errors, logs, metrics
from merlinthread.coordination import fleet, incarnations

MS = 1000.0
BYTES_PER_MEGABIT = 125_000.0
Version = Annotated[int, msgspec.Meta(ge=0)]
# The year 2100: no process was started later than that.
BORN_MS_MAX = 4_102_444_800_000
STATES = {"ready": fleet.READY, "draining": fleet.DRAINING}


class SplitBody(msgspec.Struct):
    """A service with its weight in a route."""

    service: str
    weight: float


class RouteBody(msgspec.Struct):
    """A route."""

    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    name: str = ""
    target_latency_ms: float = 1000.0
    priority: int = 5
    service: str | None = None
    traffic_split: list[SplitBody] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: float = 0.0


class ModelBody(msgspec.Struct):
    """A model that an engine may run."""

    name: str


class UsualBody(msgspec.Struct):
    """Mean tokens of a request."""

    prompt: float = 0.0
    answer: float = 0.0


class EngineBody(msgspec.Struct):
    """The figures of a service's engines."""

    slots: int
    models: list[ModelBody] = []
    layers: int = 1
    chunks: int = 0
    chunk_bytes: int = 0
    step_ms: float = 0.0
    stride: int = 1
    read_per_s: float = 0.0
    usual: UsualBody = msgspec.field(default_factory=UsualBody)


class ServiceBody(msgspec.Struct):
    """A service."""

    name: str
    health_check_path: str = ""
    max_connections: int = 0
    engine: EngineBody | None = None
    origin: str = ""
    zone: str = ""
    link_mbps: float = 0.0


class LimitsBody(msgspec.Struct):
    """What clients may send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class TenantBody(msgspec.Struct):
    """A tenant with its keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class ConfigurationBody(msgspec.Struct):
    """A whole configuration."""

    version: Version
    routes: list[RouteBody]
    services: list[ServiceBody]
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)
    tenants: list[TenantBody] = []


class LayersBody(msgspec.Struct):
    """Layers that a worker holds; `target_version` is the first one not held."""

    first: int = msgspec.field(name="from", default=0)
    target_version: int = 0
    version: int = 0


class HeldBody(msgspec.Struct):
    """A model that a worker holds."""

    name: str
    version: int = 0


class HeartbeatBody(msgspec.Struct):
    """What a worker tells of itself."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    sequence: int
    cold_remaining_ms: float = 0.0
    models: list[msgspec.Raw] = []
    layers: LayersBody | None = None
    born: object = None


class ReportBody(msgspec.Struct):
    """What an engine tells of its load."""

    models: list[msgspec.Raw] = []
    busy: bool = False
    sequence: int = 0
    queued: int = 0
    running: int = 0
    kv_used: float = 0.0
    kv_total: float = 0.0
    pace: float = 1.0
    layers: LayersBody | None = None
    born: object = None


class ManifestBody(msgspec.Struct):
    """The digests of a version's pieces."""

    model: str
    version: int
    digests: list[str]
    layers: int = 1


class VersionBody(msgspec.Struct):
    """New weights."""

    model: str
    version: int


CONFIGURATION = msgspec.json.Decoder(ConfigurationBody)
HEARTBEAT = msgspec.json.Decoder(HeartbeatBody)
HELD = msgspec.json.Decoder(HeldBody)
REPORT = msgspec.json.Decoder(ReportBody)
MANIFEST = msgspec.json.Decoder(ManifestBody)
VERSION = msgspec.json.Decoder(VersionBody)


def parse_configuration(body: bytes) -> fleet.Configuration:
    """Translate a configuration; raise ConfigurationError naming the field."""
    try:
        found = CONFIGURATION.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.ConfigurationError(f"the configuration can't be read whole: {error}")
    limits = fleet.ClientLimits(
        found.limits.max_header_bytes,
        found.limits.max_body_bytes,
        found.limits.header_timeout_ms / MS,
        found.limits.idle_timeout_ms / MS,
    )
    return fleet.Configuration(
        found.version,
        [route(item) for item in found.routes],
        [service(item) for item in found.services],
        [fleet.Account(item.name, item.api_keys, item.priority) for item in found.tenants],
        limits,
    )


def route(body: RouteBody) -> fleet.Route:
    """Translate a route."""
    if body.traffic_split is not None:
        shares = [fleet.Share(item.service, item.weight) for item in body.traffic_split]
    else:
        shares = [fleet.Share(body.service)] if body.service is not None else []
    return fleet.Route(
        body.name,
        body.hostname.lower(),
        body.path_prefix,
        body.route_type,
        body.timeout_ms / MS,
        body.target_latency_ms / MS,
        body.priority,
        shares,
        body.max_attempts,
        body.public,
        body.resumable,
        body.target_gap_ms / MS,
    )


def service(body: ServiceBody) -> fleet.Service:
    """Translate a service."""
    engine = None
    if body.engine is not None:
        engine = fleet.Engine(
            body.engine.slots,
            [model.name for model in body.engine.models],
            body.engine.layers,
            body.engine.chunks,
            body.engine.chunk_bytes,
            body.engine.step_ms / MS,
            body.engine.stride,
            body.engine.read_per_s,
            body.engine.usual.prompt,
            body.engine.usual.answer,
        )
    return fleet.Service(
        body.name,
        body.health_check_path,
        body.max_connections,
        engine,
        body.origin,
        body.zone,
        body.link_mbps * BYTES_PER_MEGABIT,
    )


def held_weights(entries: list[msgspec.Raw], layers: LayersBody | None) -> list[fleet.Weights]:
    """Translate the models that a worker holds, with the layers that it tells.

    An entry that can't be read names no model; the others hold.
    """
    models = []
    for entry in entries:
        try:
            models.append(HELD.decode(entry))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            note_unreadable("models", bytes(entry)[:80], str(error))
    if layers is None:
        return [fleet.Weights(model.name, model.version) for model in models]
    count = layers.target_version - layers.first
    return [fleet.Weights(model.name, layers.version, count) for model in models]


def born_ms(value: object) -> int:
    """Return when a worker's life began, 0 if that is not told or is no moment of the past."""
    if value is None:
        return 0
    if isinstance(value, int) and not isinstance(value, bool) and 0 < value <= BORN_MS_MAX:
        return value
    note_unreadable("born", value, "no Unix millisecond; the worker counts as one that tells none")
    return 0


def note_unreadable(field: str, value: object, reason: str) -> None:
    """Log and count a word of a worker that can't be used."""
    metrics.unreadable_words_total.labels(field).inc()
    logs.event("word_unreadable", field=field, value=repr(value), reason=reason)


def parse_heartbeat(id_: str, body: bytes) -> fleet.Heartbeat:
    """Translate a heartbeat; raise ProtocolError."""
    found = decode(HEARTBEAT, body)
    state = STATES.get(found.state)
    if state is None:
        note_unreadable("state", found.state, "not a state that workers have")
        raise errors.ProtocolError(
            f"state: {found.state!r} is neither ready nor draining", field="state"
        )
    return fleet.Heartbeat(
        incarnations.Incarnation(id_, born_ms(found.born)).name(),
        found.service,
        found.address,
        found.zone,
        found.slots,
        state,
        found.sequence,
        found.cold_remaining_ms / MS,
        held_weights(found.models, found.layers),
    )


def parse_report(body: bytes) -> fleet.EngineReport:
    """Translate an engine's report; raise ProtocolError."""
    found = decode(REPORT, body)
    return fleet.EngineReport(
        found.busy,
        found.sequence,
        found.queued,
        found.running,
        found.kv_used,
        found.kv_total,
        found.pace,
        held_weights(found.models, found.layers),
        born_ms=born_ms(found.born),
    )


def parse_manifest(body: bytes) -> fleet.Manifest:
    """Translate a manifest; raise ProtocolError."""
    found = decode(MANIFEST, body)
    return fleet.Manifest(found.model, found.version, found.layers, found.digests)


def decode(decoder: msgspec.json.Decoder, body: bytes) -> msgspec.Struct:
    """Return a decoded body; raise ProtocolError."""
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.ProtocolError(f"a body can't be read: {error}")
