"""The settings file: JSON with comments, validated, with a clear word on what is wrong."""

import ipaddress
import pathlib
from typing import Annotated, Any, Literal

import json5
import pydantic

from merlinthread import errors
from merlinthread.protocol import bundle_file


def check_address(value: str) -> str:
    """Return an IP number; raise ValueError for a host name."""
    ipaddress.ip_address(value)
    return value


def check_endpoint(value: str) -> str:
    """Return "IP:port"; raise ValueError for anything else."""
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"port {port!r} is not between 1 and 65535")
    return value


def check_url(value: str) -> str:
    """Return "http://IP:port"; raise ValueError for anything else."""
    if not value.startswith("http://"):
        raise ValueError("write it as http://IP:port")
    check_endpoint(value.removeprefix("http://").rstrip("/"))
    return value.rstrip("/")


def check_mesh_key(value: str) -> str:
    """Return 64 hex digits; raise ValueError for anything else."""
    if len(bytes.fromhex(value)) != 32:
        raise ValueError("a key has 64 hex digits; make one with `merlinthread keys new --mesh`")
    return value


Name = bundle_file.Name
Address = Annotated[str, pydantic.AfterValidator(check_address)]
Endpoint = Annotated[str, pydantic.AfterValidator(check_endpoint)]
Url = Annotated[str, pydantic.AfterValidator(check_url)]
MeshKey = Annotated[str, pydantic.AfterValidator(check_mesh_key)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86400 * 365)]
Count = Annotated[int, pydantic.Field(ge=1, le=100_000)]
Bytes = Annotated[int, pydantic.Field(ge=1)]


class Section(pydantic.BaseModel):
    """Base of the settings' parts: unknown keys are refused, types are not guessed."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, use_attribute_docstrings=True)


class Http(Section):
    """The HTTP listener of this process."""

    address: Address
    """IP number to listen on."""
    port: Port
    """TCP port."""
    threads: Annotated[int, pydantic.Field(ge=2, le=512)] = 32
    """Requests served at once; a streamed answer holds one."""
    body_bytes_max: Bytes = 8 * 1024 * 1024
    """Longest request body."""


class Log(Section):
    """Logs go to standard error as JSON lines."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    """Lowest level that is logged."""


class ControlPeer(Section):
    """Where a control VM is reached: by its peers' log (`log_bus`) and by entries (`bus`)."""

    name: Name
    """Name of the control VM."""
    log_bus: Endpoint
    """Where members of the log reach it."""
    bus: Endpoint
    """Where entries reach it."""


class Operator(Section):
    """Who may sign bundles, with an Ed25519 public key of 64 hex digits."""

    name: Name
    """Name that signs."""
    public_key: bundle_file.Digest
    """Ed25519 public key from `merlinthread keys new`, 64 hex digits."""


class Control(Section):
    """A member of the replicated log."""

    data_folder: str
    """Folder for the log and its snapshots; held by one process."""
    members: Annotated[list[ControlPeer], pydantic.Field(min_length=1, max_length=32)]
    """The first members, and this VM itself."""
    replaces: str = ""
    """Name of the lost member whose place this new VM takes; empty for a first member."""
    operators: list[Operator]
    """Who may sign bundles."""
    signatures_required: Annotated[int, pydantic.Field(ge=1, le=16)] = 1
    """How many operators must sign before a roll."""
    heartbeat_s: Seconds = 0.1
    """Time between a leader's heartbeats."""
    election_min_s: Seconds = 0.6
    """Shortest silence before an election."""
    election_max_s: Seconds = 1.2
    """Longest silence before an election."""
    commit_timeout_s: Seconds = 5.0
    """How long a command waits for a majority before its outcome is called unknown."""
    compact_after_entries: Count = 500
    """Entries after which the log is replaced by a snapshot."""
    place_every_s: Seconds = 0.5
    """Time between looks at the placement."""
    agent_lost_after_s: Seconds = 5.0
    """Silence of an entry after which the agents it alone vouches for are lost."""
    claims_kept_s: Seconds = 86400.0
    """How long answers of calls that must not be repeated are kept."""


class Entry(Section):
    """Serves callers and looks after the agents of its availability zone."""

    controls: Annotated[list[Endpoint], pydantic.Field(min_length=1)]
    """The control VMs' `bus`, nearest first."""
    entries: list[Endpoint] = []
    """The `bus` of other entries, in all zones."""
    platform_url: Url | None = None
    """The platform's list of VMs."""
    policy: str = "least_loaded"
    """Routing policy: least_loaded, two_choices or random."""
    poll_every_s: Seconds = 0.25
    """Time between questions to a control VM."""
    tell_every_s: Seconds = 0.5
    """Time between reports of changes to the leader."""
    exchange_every_s: Seconds = 2.0
    """Time between exchanges with another entry."""
    summary_lost_after_s: Seconds = 10.0
    """Age after which another entry's word does not count."""
    agent_lost_after_s: Seconds = 2.0
    """Silence after which an agent gets no more work."""
    default_deadline_s: Seconds = 30.0
    """Deadline of requests that name none."""
    attempts_max: Annotated[int, pydantic.Field(ge=1, le=10)] = 3
    """Targets tried for one request."""
    answer_bytes_max: Bytes = 8 * 1024 * 1024
    """Longest answer that is held in memory."""
    drain_timeout_s: Seconds = 60.0
    """How long a planned stop waits for requests in progress."""


class Agent(Section):
    """The small process beside a target."""

    entries: Annotated[list[Endpoint], pydantic.Field(min_length=1)]
    """The `bus` of the zone's entries."""
    target_url: Url
    """The engine or service."""
    target_kind: Literal["generate", "service"]
    """generate for an engine, service for a plain service."""
    service: str = ""
    """Name of the service in the bundle."""
    origin_url: Url | None = None
    """The origin of weights."""
    weight_store_url: Url | None = None
    """Where manifests are."""
    store_folder: str | None = None
    """Folder for chunks; in memory if it is left out."""
    store_bytes: Bytes = 4 * 1024**3
    """Most bytes of chunks kept."""
    slots: Annotated[int, pydantic.Field(ge=1, le=4096)] = 16
    """Requests on the target at once."""
    queue_max: Count = 1024
    """Requests that may wait."""
    heartbeat_every_s: Seconds = 0.5
    """Time between reports to an entry."""
    heartbeat_entries: Annotated[int, pydantic.Field(ge=1, le=8)] = 2
    """How many of the zone's entries get reports."""
    link_bytes_per_s: Bytes = 1024**3
    """Share of this VM's link for weights, each way."""
    origin_bytes_per_s: Bytes = 1024**3
    """Share of the origin's link for this VM."""
    upload_slots: Annotated[int, pydantic.Field(ge=1, le=64)] = 4
    """Chunks given at once."""
    download_slots: Annotated[int, pydantic.Field(ge=1, le=64)] = 4
    """Chunks asked for at once."""
    fetch_policy: str = "spread"
    """Fetch policy: spread, tree or origin_only."""
    checks_fences: bool = True
    """Whether the target refuses orders that are lower than one it obeyed."""
    drain_timeout_s: Seconds = 60.0
    """How long a planned stop waits for requests in progress."""


class Settings(Section):
    """A whole settings file."""

    name: Name
    """Name of this VM, unique."""
    availability_zone: Name
    """Its availability zone."""
    region: Name
    """Its zone's region."""
    roles: Annotated[list[Literal["entry", "control", "agent"]], pydantic.Field(min_length=1)]
    """What this process is."""
    http: Http
    """The HTTP listener."""
    bus: Endpoint
    """Where our other processes reach this one."""
    mesh_keys: list[MeshKey] = []
    """Shared keys of all processes: the first signs, all verify; changed by SIGHUP."""
    log: Log = Log()
    """Logs."""
    control: Control | None = None
    """Settings of the role control."""
    entry: Entry | None = None
    """Settings of the role entry."""
    agent: Agent | None = None
    """Settings of the role agent."""

    @pydantic.model_validator(mode="after")
    def sections_match_roles(self) -> "Settings":
        """Require a section for each role."""
        for role in self.roles:
            if getattr(self, role) is None:
                raise ValueError(f"role {role!r} needs a section {role!r}; add it")
        if len(set(self.roles)) < len(self.roles):
            raise ValueError("a role stands twice in roles; take one out")
        return self


def load(path: pathlib.Path) -> Settings:
    """Return the settings in `path`; raise SettingsError with file, key path, value and remedy."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: can't be read: {error}; pass --config FILE")
    return parse(text, str(path))


def parse(text: str, source: str) -> Settings:
    """Return the settings in `text`; raise SettingsError naming `source`."""
    try:
        data: Any = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(f"{source}: is not JSON with comments: {error}")
    try:
        return Settings.model_validate(data)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            f"{source}: {bundle_file.first_problem(error)}", field=bundle_file.first_field(error)
        )


def explain(settings: Settings) -> list[str]:
    """Return one line for each setting in force, with its key path."""
    lines: list[str] = []
    collect(lines, "", settings.model_dump())
    return lines


def collect(lines: list[str], prefix: str, value: Any) -> None:
    """Add the lines of `value`; secrets are not shown."""
    if isinstance(value, dict):
        for key, part in value.items():
            if part is not None:
                collect(lines, f"{prefix}.{key}" if prefix else key, part)
        return
    shown = f"{len(value)} key(s), not shown" if prefix == "mesh_keys" else value
    lines.append(f"{prefix} = {shown}")
