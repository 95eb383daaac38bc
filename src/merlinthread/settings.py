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

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class Http(Section):
    """The HTTP listener of this process."""

    address: Address
    port: Port
    threads: Annotated[int, pydantic.Field(ge=2, le=512)] = 32
    body_bytes_max: Bytes = 8 * 1024 * 1024


class Log(Section):
    """Logs go to standard error as JSON lines."""

    level: Literal["debug", "info", "warning", "error"] = "info"


class ControlPeer(Section):
    """Where a control VM is reached: by its peers' log (`log_bus`) and by entries (`bus`)."""

    name: Name
    log_bus: Endpoint
    bus: Endpoint


class Operator(Section):
    """Who may sign bundles, with an Ed25519 public key of 64 hex digits."""

    name: Name
    public_key: bundle_file.Digest


class Control(Section):
    """A member of the replicated log."""

    data_folder: str
    members: Annotated[list[ControlPeer], pydantic.Field(min_length=1, max_length=32)]
    replaces: str = ""
    operators: list[Operator]
    signatures_required: Annotated[int, pydantic.Field(ge=1, le=16)] = 1
    heartbeat_s: Seconds = 0.1
    election_min_s: Seconds = 0.6
    election_max_s: Seconds = 1.2
    commit_timeout_s: Seconds = 5.0
    compact_after_entries: Count = 500
    place_every_s: Seconds = 0.5
    agent_lost_after_s: Seconds = 5.0
    claims_kept_s: Seconds = 86400.0


class Entry(Section):
    """Serves callers and looks after the agents of its availability zone."""

    controls: Annotated[list[Endpoint], pydantic.Field(min_length=1)]
    entries: list[Endpoint] = []
    platform_url: Url | None = None
    policy: str = "least_loaded"
    poll_every_s: Seconds = 0.25
    tell_every_s: Seconds = 0.5
    exchange_every_s: Seconds = 0.5
    summary_lost_after_s: Seconds = 10.0
    agent_lost_after_s: Seconds = 2.0
    default_deadline_s: Seconds = 30.0
    attempts_max: Annotated[int, pydantic.Field(ge=1, le=10)] = 3
    answer_bytes_max: Bytes = 8 * 1024 * 1024
    drain_timeout_s: Seconds = 60.0


class Agent(Section):
    """The small process beside a target."""

    entries: Annotated[list[Endpoint], pydantic.Field(min_length=1)]
    target_url: Url
    target_kind: Literal["generate", "service"]
    service: str = ""
    origin_url: Url | None = None
    weight_store_url: Url | None = None
    store_folder: str | None = None
    store_bytes: Bytes = 4 * 1024**3
    slots: Annotated[int, pydantic.Field(ge=1, le=4096)] = 16
    queue_max: Count = 1024
    heartbeat_every_s: Seconds = 0.5
    heartbeat_entries: Annotated[int, pydantic.Field(ge=1, le=8)] = 3
    link_bytes_per_s: Bytes = 1024**3
    origin_bytes_per_s: Bytes = 1024**3
    upload_slots: Annotated[int, pydantic.Field(ge=1, le=64)] = 4
    download_slots: Annotated[int, pydantic.Field(ge=1, le=64)] = 4
    fetch_policy: str = "spread"
    checks_fences: bool = True
    drain_timeout_s: Seconds = 60.0


class Settings(Section):
    """A whole settings file."""

    name: Name
    availability_zone: Name
    region: Name
    roles: Annotated[list[Literal["entry", "control", "agent"]], pydantic.Field(min_length=1)]
    http: Http
    bus: Endpoint
    mesh_keys: list[MeshKey] = []
    log: Log = Log()
    control: Control | None = None
    entry: Entry | None = None
    agent: Agent | None = None

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
