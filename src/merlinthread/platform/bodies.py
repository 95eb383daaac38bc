"""JSON bodies of the platform's HTTP interface, and their validation and conversion."""

import re
from typing import Annotated

import msgspec

from merlinthread import errors, logs, metrics
from merlinthread.coordination import fleet, incarnations
from merlinthread.nodes import node_settings

MS_PER_S = 1000.0
BYTES_PER_MEGABIT = 125_000.0
# Larger numbers can't be encoded in messages between nodes and in entries of the log.
INT64_MAX = 2**63 - 1
Count = Annotated[int, msgspec.Meta(ge=0, le=INT64_MAX)]
Sha256 = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$", max_length=64)]
# The year 2100 as Unix time; later start times are rejected.
BORN_MS_MAX = 4_102_444_800_000
# The end of a `msgspec` error, which names the field, such as "at `$.routes[0].name`".
FIELD_PATH = re.compile(r"at `\$\.?(.+)`$")
MISSING_FIELD = re.compile(r"missing required field `([^`]+)`")
# `msgspec` raises RecursionError for values that are nested too deeply, also in unknown fields.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
HEARTBEAT_STATES = {"ready": fleet.READY, "draining": fleet.DRAINING}


class SplitBody(msgspec.Struct):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


class RouteBody(msgspec.Struct):
    """A route of requests to services."""

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
    allowed_regions: list[str] | None = None


class ModelBody(msgspec.Struct):
    """A model that the engines of a service may run."""

    name: str


class MeanTokensBody(msgspec.Struct):
    """Mean numbers of prompt and answer tokens per request."""

    prompt: float = 0.0
    answer: float = 0.0


class EngineBody(msgspec.Struct):
    """Properties of the engines of a service."""

    slots: int
    models: list[ModelBody] = []
    layers: int = 1
    chunks: int = 0
    chunk_bytes: int = 0
    step_ms: float = 0.0
    stride: int = 1
    read_per_s: float = 0.0
    usual: MeanTokensBody = msgspec.field(default_factory=MeanTokensBody)


class ServiceBody(msgspec.Struct):
    """A service, or an origin of weights if `origin` is set."""

    name: str
    health_check_path: str = ""
    max_connections: int = 0
    engine: EngineBody | None = None
    origin: str = ""
    zone: str = ""
    link_mbps: float = 0.0
    cold_per_s: float | None = None
    cold_start_s: float | None = None


class ClientLimitsBody(msgspec.Struct):
    """Limits on the size and duration of client requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class TenantBody(msgspec.Struct):
    """A client account and its API keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] | None = None


class ConfigurationBody(msgspec.Struct):
    """A complete configuration."""

    version: Count
    routes: list[RouteBody]
    services: list[ServiceBody]
    limits: ClientLimitsBody = msgspec.field(default_factory=ClientLimitsBody)
    tenants: list[TenantBody] = []


class LayersBody(msgspec.Struct):
    """The loaded layers: `first` up to, but not including, `target_version`."""

    first: Count = msgspec.field(name="from", default=0)
    target_version: Count = 0
    version: Count = 0


class LoadedModelBody(msgspec.Struct):
    """A model that a back end has loaded, and the version of its weights."""

    name: str
    version: Count = 0


class HeartbeatBody(msgspec.Struct):
    """A heartbeat of a back end."""

    service: str
    address: str
    zone: str
    slots: Count
    state: str
    sequence: Count
    cold_remaining_ms: float | None = None
    models: list[msgspec.Raw] = []
    layers: LayersBody | None = None
    born: object = None


class ReportBody(msgspec.Struct):
    """A report of an engine on its load and weights."""

    models: list[msgspec.Raw] = []
    busy: bool = False
    sequence: Count = 0
    queued: Count = 0
    running: Count = 0
    kv_used: float = 0.0
    kv_total: float = 0.0
    pace: float = 1.0
    layers: LayersBody | None = None
    born: object = None


class ManifestBody(msgspec.Struct):
    """The digests of the pieces of one version of weights."""

    model: str
    version: Count
    digests: list[Sha256]
    layers: Count = 1


class VersionBody(msgspec.Struct):
    """The publication of a version of weights."""

    model: str
    version: Count


CONFIGURATION_DECODER = msgspec.json.Decoder(ConfigurationBody)
HEARTBEAT_DECODER = msgspec.json.Decoder(HeartbeatBody)
LOADED_MODEL_DECODER = msgspec.json.Decoder(LoadedModelBody)
REPORT_DECODER = msgspec.json.Decoder(ReportBody)
MANIFEST_DECODER = msgspec.json.Decoder(ManifestBody)
VERSION_DECODER = msgspec.json.Decoder(VersionBody)


def parse_configuration(body: bytes) -> fleet.Configuration:
    """Parse a configuration; raise ConfigurationError, which names the field, if it is invalid."""
    try:
        decoded = CONFIGURATION_DECODER.decode(body)
    except DECODE_ERRORS as error:
        raise errors.ConfigurationError(
            f"invalid configuration: {error}; {remedy_for(error)}", field=field_of(error)
        )
    limits = fleet.ClientLimits(
        decoded.limits.max_header_bytes,
        decoded.limits.max_body_bytes,
        decoded.limits.header_timeout_ms / MS_PER_S,
        decoded.limits.idle_timeout_ms / MS_PER_S,
    )
    return fleet.Configuration(
        decoded.version,
        [convert_route(item) for item in decoded.routes],
        [convert_service(item) for item in decoded.services],
        [convert_tenant(item) for item in decoded.tenants],
        limits,
    )


def field_of(error: Exception) -> str:
    """Return the path of the field that a decoding error names, or an empty string."""
    found = FIELD_PATH.search(str(error)), MISSING_FIELD.search(str(error))
    return ".".join(match[1] for match in found if match is not None)


def remedy_for(error: Exception) -> str:
    """Return what to do about a decoding error."""
    field = field_of(error)
    if not field:
        return "send valid JSON, an object, in UTF-8"
    return f"add {field}" if MISSING_FIELD.search(str(error)) else f"correct {field}"


def convert_route(body: RouteBody) -> fleet.Route:
    """Convert a route to its internal type."""
    if body.traffic_split is not None:
        shares = [fleet.Share(item.service, item.weight) for item in body.traffic_split]
    else:
        shares = [fleet.Share(body.service)] if body.service is not None else []
    return fleet.Route(
        body.name,
        body.hostname.lower(),
        body.path_prefix,
        body.route_type,
        body.timeout_ms / MS_PER_S,
        body.target_latency_ms / MS_PER_S,
        body.priority,
        shares,
        body.max_attempts,
        body.public,
        body.resumable,
        body.target_gap_ms / MS_PER_S,
        frozenset(body.allowed_regions or ()),
    )


def convert_tenant(body: TenantBody) -> fleet.Account:
    """Convert a client account to its internal type."""
    return fleet.Account(
        body.name, body.api_keys, body.priority, frozenset(body.allowed_regions or ())
    )


def convert_service(body: ServiceBody) -> fleet.Service:
    """Convert a service to its internal type."""
    engine = None
    if body.engine is not None:
        engine = fleet.Engine(
            body.engine.slots,
            [model.name for model in body.engine.models],
            body.engine.layers,
            body.engine.chunks,
            body.engine.chunk_bytes,
            body.engine.step_ms / MS_PER_S,
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
        body.cold_per_s or 0.0,
        body.cold_start_s or 0.0,
    )


def parse_weights(entries: list[msgspec.Raw], layers: LayersBody | None) -> list[fleet.Weights]:
    """Parse the models that a back end has loaded, and the layers of each.

    Invalid entries are logged and skipped.
    """
    models = []
    for entry in entries:
        try:
            models.append(LOADED_MODEL_DECODER.decode(entry))
        except DECODE_ERRORS as error:
            record_unreadable("models", bytes(entry)[:80], str(error))
    if layers is None:
        return [fleet.Weights(model.name, model.version) for model in models]
    count = layers.target_version - layers.first
    return [fleet.Weights(model.name, layers.version, count) for model in models]


def parse_born_ms(value: object) -> int:
    """Return the start time of a back end in Unix milliseconds, or 0 if it is missing.

    Raises ProtocolError if it is invalid.
    """
    if value is None:
        return 0
    if isinstance(value, int) and not isinstance(value, bool) and 0 < value <= BORN_MS_MAX:
        return value
    record_unreadable("born", value, "not a Unix time in milliseconds")
    raise errors.ProtocolError(
        f"born: {repr(value)[:80]} is not a Unix time in whole milliseconds, such as 1767000000000;"
        " correct or omit it",
        field="born",
    )


def parse_report_born_ms(value: object) -> int:
    """Return the start time in an engine's report in Unix milliseconds, or 0 if not usable.

    The rest of the report is of the engine that was asked, whatever its start time is.
    """
    try:
        return parse_born_ms(value)
    except errors.ProtocolError:
        return 0


def record_unreadable(field: str, value: object, reason: str) -> None:
    """Log and count an invalid value in a field of a back end, which is ignored."""
    metrics.unreadable_words_total.labels(field).inc()
    logs.event("word_unreadable", field=field, value=repr(value), reason=reason)


def check_address(address: str) -> None:
    """Raise ProtocolError unless an address of a back end is "IP:port"."""
    if node_settings.is_address(address):
        return
    record_unreadable("address", address, "not an IP address and a port")
    raise errors.ProtocolError(
        f"address: {address[:80]!r} is not an IP address and a port, such as '10.128.0.9:8080';"
        " correct it",
        field="address",
    )


def check_instance_id(instance_id: str) -> None:
    """Raise ProtocolError unless a text is the id of a back end.

    An id that looks like the name of an incarnation would be taken for that incarnation.
    """
    is_readable = bool(instance_id) and instance_id.isascii()
    if is_readable and incarnations.parse(instance_id).id == instance_id:
        return
    record_unreadable("instance", instance_id, "not an id")
    separator = incarnations.SEPARATOR
    raise errors.ProtocolError(
        f"instance: {instance_id[:80]!r} is not an id; use ASCII characters that do not end in"
        f" {separator!r} and digits",
        field="instance",
    )


def parse_heartbeat(instance_id: str, body: bytes) -> fleet.Heartbeat:
    """Parse the heartbeat of the back end `instance_id`; raise ProtocolError if it is invalid."""
    decoded = decode(HEARTBEAT_DECODER, body)
    state = HEARTBEAT_STATES.get(decoded.state)
    if state is None:
        record_unreadable("state", decoded.state, "unknown state")
        raise errors.ProtocolError(
            f"state: {decoded.state[:80]!r} is neither 'ready' nor 'draining'; send one of these",
            field="state",
        )
    check_address(decoded.address)
    check_instance_id(instance_id)
    return fleet.Heartbeat(
        incarnations.Incarnation(instance_id, parse_born_ms(decoded.born)).name(),
        decoded.service,
        decoded.address,
        decoded.zone,
        decoded.slots,
        state,
        decoded.sequence,
        max(0.0, decoded.cold_remaining_ms or 0.0) / MS_PER_S,
        parse_weights(decoded.models, decoded.layers),
        decoded.cold_remaining_ms is not None,
    )


def parse_report(body: bytes) -> fleet.EngineReport:
    """Parse an engine's report; raise ProtocolError if it is invalid."""
    decoded = decode(REPORT_DECODER, body)
    return fleet.EngineReport(
        decoded.busy,
        decoded.sequence,
        decoded.queued,
        decoded.running,
        decoded.kv_used,
        decoded.kv_total,
        decoded.pace,
        parse_weights(decoded.models, decoded.layers),
        born_ms=parse_report_born_ms(decoded.born),
    )


def parse_manifest(body: bytes) -> fleet.Manifest:
    """Parse a manifest; raise ProtocolError if it is invalid."""
    decoded = decode(MANIFEST_DECODER, body)
    return fleet.Manifest(decoded.model, decoded.version, decoded.layers, decoded.digests)


def decode(decoder: msgspec.json.Decoder, body: bytes) -> msgspec.Struct:
    """Decode a JSON body; raise ProtocolError, which names the field, if it is invalid."""
    try:
        return decoder.decode(body)
    except DECODE_ERRORS as error:
        raise errors.ProtocolError(
            f"invalid body: {error}; {remedy_for(error)}", field=field_of(error)
        )
