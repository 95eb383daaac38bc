"""Read and validate the settings file, which is JSON with comments."""

import ipaddress
import pathlib
from typing import Annotated, Any, Literal

import json5
import pydantic

from merlinthread import errors
from merlinthread.protocol import bundle_file


def validate_address(value: str) -> str:
    """Return `value` if it is an IP address; raise ValueError otherwise."""
    ipaddress.ip_address(value)
    return value


def validate_endpoint(value: str) -> str:
    """Return `value` if it is "IP:port"; raise ValueError otherwise."""
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"port {port!r} is not between 1 and 65535")
    return value


def validate_url(value: str) -> str:
    """Return `value` without a trailing slash; raise ValueError unless it is "http://IP:port"."""
    if not value.startswith("http://"):
        raise ValueError("write it as http://IP:port")
    validate_endpoint(value.removeprefix("http://").rstrip("/"))
    return value.rstrip("/")


def validate_mesh_key(value: str) -> str:
    """Return `value` if it has 64 hex digits; raise ValueError otherwise."""
    if len(bytes.fromhex(value)) != 32:
        raise ValueError(
            "a key has 64 hex digits; generate one with `merlinthread keys new --mesh`"
        )
    return value


Name = bundle_file.Name
Address = Annotated[str, pydantic.AfterValidator(validate_address)]
Endpoint = Annotated[str, pydantic.AfterValidator(validate_endpoint)]
Url = Annotated[str, pydantic.AfterValidator(validate_url)]
MeshKey = Annotated[str, pydantic.AfterValidator(validate_mesh_key)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86400 * 365)]
Count = Annotated[int, pydantic.Field(ge=1, le=100_000)]
Bytes = Annotated[int, pydantic.Field(ge=1)]


class Section(pydantic.BaseModel):
    """Base class of the sections; rejects unknown keys and does not convert types."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, use_attribute_docstrings=True)


class Http(Section):
    """The HTTP server of this process."""

    address: Address
    """IP address to listen on."""
    port: Port
    """TCP port."""
    threads: Annotated[int, pydantic.Field(ge=2, le=512)] = 32
    """Number of requests served concurrently; a streamed response counts until it ends."""
    body_bytes_max: Bytes = 8 * 1024 * 1024
    """Maximum size of a request body."""


class Log(Section):
    """Logging, as JSON lines on standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    """Minimum level of events that are logged."""


class ControlPeer(Section):
    """The name and addresses of a control VM."""

    name: Name
    """Name of the control VM."""
    log_bus: Endpoint
    """Address for the other members of the replicated log."""
    bus: Endpoint
    """Address for entries."""


class Operator(Section):
    """An operator, who may sign bundles."""

    name: Name
    """Name of the operator."""
    public_key: bundle_file.Digest
    """Ed25519 public key from `merlinthread keys new`, 64 hex digits."""


class Control(Section):
    """Settings of a control VM, which is a member of the replicated log."""

    data_folder: str
    """Folder for the log and its snapshots; locked by the process that uses it."""
    members: Annotated[list[ControlPeer], pydantic.Field(min_length=1, max_length=32)]
    """Initial members of the log, and this VM."""
    replaces: str = ""
    """Name of the lost member that this new VM replaces; empty for an initial member."""
    operators: list[Operator]
    """Operators who may sign bundles."""
    signatures_required: Annotated[int, pydantic.Field(ge=1, le=16)] = 1
    """Number of operators who must sign a bundle before it can be rolled out."""
    heartbeat_s: Seconds = 0.1
    """Interval between heartbeats of the leader."""
    election_min_s: Seconds = 0.6
    """Minimum election timeout."""
    election_max_s: Seconds = 1.2
    """Maximum election timeout."""
    commit_timeout_s: Seconds = 5.0
    """Time limit for committing a command, after which its outcome is reported as unknown."""
    compact_after_entries: Count = 500
    """Number of log entries after which the log is compacted into a snapshot."""
    place_every_s: Seconds = 0.5
    """Interval between updates of the placement of models on VMs."""
    agent_lost_after_s: Seconds = 5.0
    """Time without reports from an entry after which agents that only it reports count as lost."""
    claims_kept_s: Seconds = 86400.0
    """Retention time of responses to calls with an idempotency key."""


class Entry(Section):
    """Settings of an entry, which serves clients and monitors agents of its availability zone."""

    controls: Annotated[list[Endpoint], pydantic.Field(min_length=1)]
    """Addresses (`bus`) of the control VMs, nearest first."""
    entries: list[Endpoint] = []
    """Addresses (`bus`) of other entries, in all zones."""
    platform_url: Url | None = None
    """URL of the platform, which lists the VMs."""
    policy: str = "least_loaded"
    """Routing policy: least_loaded, two_choices or random."""
    poll_every_s: Seconds = 0.25
    """Interval between polls of a control VM."""
    tell_every_s: Seconds = 0.5
    """Interval between reports of agent changes to the leader."""
    exchange_every_s: Seconds = 2.0
    """Interval between exchanges of state with another entry."""
    summary_lost_after_s: Seconds = 10.0
    """Age after which the summary of another entry is ignored."""
    agent_lost_after_s: Seconds = 2.0
    """Time without heartbeats after which an agent gets no more requests."""
    default_deadline_s: Seconds = 30.0
    """Deadline of requests that do not specify one."""
    attempts_max: Annotated[int, pydantic.Field(ge=1, le=10)] = 3
    """Maximum number of targets tried for a request."""
    answer_bytes_max: Bytes = 8 * 1024 * 1024
    """Maximum size of a response that is buffered in memory."""
    drain_timeout_s: Seconds = 60.0
    """Maximum time that a shutdown waits for requests in progress."""


class Agent(Section):
    """Settings of an agent, which runs beside a target."""

    entries: Annotated[list[Endpoint], pydantic.Field(min_length=1)]
    """Addresses (`bus`) of the entries in the availability zone."""
    target_url: Url
    """URL of the engine or service."""
    target_kind: Literal["generate", "service"]
    """Kind of the target: generate for an inference engine, service for any other service."""
    service: str = ""
    """Name of the service in the bundle, if the target is a service."""
    origin_url: Url | None = None
    """URL of the origin from which weights are downloaded."""
    weight_store_url: Url | None = None
    """URL of the weight store, which holds the manifests."""
    store_folder: str | None = None
    """Folder for chunks; if it is not set, they are kept in memory."""
    store_bytes: Bytes = 4 * 1024**3
    """Maximum total size of the stored chunks."""
    slots: Annotated[int, pydantic.Field(ge=1, le=4096)] = 16
    """Maximum number of concurrent requests on the target."""
    queue_max: Count = 1024
    """Maximum number of queued requests."""
    heartbeat_every_s: Seconds = 0.5
    """Interval between heartbeats to an entry."""
    heartbeat_entries: Annotated[int, pydantic.Field(ge=1, le=8)] = 2
    """Number of entries in the availability zone to which heartbeats are sent."""
    link_bytes_per_s: Bytes = 1024**3
    """Rate limit for weight transfers of this VM, in each direction."""
    origin_bytes_per_s: Bytes = 1024**3
    """Rate limit for downloads of this VM from the origin."""
    upload_slots: Annotated[int, pydantic.Field(ge=1, le=64)] = 4
    """Maximum number of concurrent chunk uploads."""
    download_slots: Annotated[int, pydantic.Field(ge=1, le=64)] = 4
    """Maximum number of concurrent chunk downloads."""
    fetch_policy: str = "spread"
    """Fetch policy: spread, tree or origin_only."""
    checks_fences: bool = True
    """Whether the target rejects orders with a lower fencing token than one it has accepted."""
    drain_timeout_s: Seconds = 60.0
    """Maximum time that a shutdown waits for requests in progress."""


class Settings(Section):
    """The top level of the settings file."""

    name: Name
    """Unique name of this VM."""
    availability_zone: Name
    """Availability zone of this VM."""
    region: Name
    """Region of the availability zone."""
    roles: Annotated[list[Literal["entry", "control", "agent"]], pydantic.Field(min_length=1)]
    """Roles that this process runs."""
    http: Http
    """Settings of the HTTP server."""
    bus: Endpoint
    """Address at which other processes of the deployment reach this one."""
    mesh_keys: list[MeshKey] = []
    """Keys shared by all processes: the first signs messages, all verify; reloaded on SIGHUP."""
    log: Log = Log()
    """Settings of logging."""
    control: Control | None = None
    """Settings of the control role."""
    entry: Entry | None = None
    """Settings of the entry role."""
    agent: Agent | None = None
    """Settings of the agent role."""

    @pydantic.model_validator(mode="after")
    def sections_match_roles(self) -> "Settings":
        """Require a section for each role, and no duplicate roles."""
        for role in self.roles:
            if getattr(self, role) is None:
                raise ValueError(f"role {role!r} needs a section {role!r}; add it")
        if len(set(self.roles)) < len(self.roles):
            raise ValueError("a role is listed twice in roles; remove one")
        return self


def load(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Raises SettingsError, whose message names the file, the field, its value and the remedy.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: can't be read: {error}; pass --config FILE")
    return parse(text, str(path))


def parse(text: str, source: str) -> Settings:
    """Parse and validate settings; raise SettingsError, whose message names `source`."""
    try:
        data: Any = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(f"{source}: invalid JSON with comments: {error}")
    try:
        return Settings.model_validate(data)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            f"{source}: {bundle_file.first_problem(error)}", field=bundle_file.first_field(error)
        )


def describe(settings: Settings) -> list[str]:
    """Return a line with the dotted key and value of each setting, including defaults."""
    lines: list[str] = []
    append_settings(lines, "", settings.model_dump())
    return lines


def append_settings(lines: list[str], prefix: str, value: Any) -> None:
    """Append the lines for `value`, which is at key `prefix`; mesh keys are not included."""
    if isinstance(value, dict):
        for key, nested in value.items():
            if nested is not None:
                append_settings(lines, f"{prefix}.{key}" if prefix else key, nested)
        return
    text = f"{len(value)} key(s), not shown" if prefix == "mesh_keys" else value
    lines.append(f"{prefix} = {text}")
