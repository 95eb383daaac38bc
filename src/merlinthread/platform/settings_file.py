"""The platform's settings file, and its conversion to `nodes.node_settings`."""

import pathlib
from typing import Annotated

import msgspec

from merlinthread import errors
from merlinthread.nodes import node_policy, node_settings
from merlinthread.platform import bodies

MS_PER_S = bodies.MS_PER_S
BYTES_PER_MEGABYTE = 1024 * 1024


class BoundsBody(msgspec.Struct):
    """Time limits and retry budget of the deployment."""

    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    catch_up_s: float = 4.0
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    config_apply_ms: float = 2000.0
    version_ms: float = 8000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 100.0
    pass_ms: float = 120.0
    evacuate_ms: Annotated[float, msgspec.Meta(ge=0)] = 5000.0
    cold_overage: Annotated[float, msgspec.Meta(ge=0)] | None = None
    cold_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class MachineLimitsBody(msgspec.Struct):
    """Memory and link bandwidth of the VM."""

    memory_mb: float = 256.0
    link_mbps: float = 1000.0


class ToleranceBody(msgspec.Struct):
    """Number of VMs that may fail at the same time."""

    machines: int = 1


class SettingsBody(msgspec.Struct):
    """Content of the settings file; unknown fields are ignored."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seeds: list[str]
    region: str = ""
    zones: dict[str, str] = {}
    listen: dict[str, str] = {}
    bootstrap: bool = False
    limits: MachineLimitsBody = msgspec.field(default_factory=MachineLimitsBody)
    data_dir: str | None = None
    heartbeat_ms: float = 1200.0
    fault_tolerance: ToleranceBody = msgspec.field(default_factory=ToleranceBody)
    bounds: BoundsBody = msgspec.field(default_factory=BoundsBody)
    app: str = ""
    service: str = ""


def load(
    path: pathlib.Path, policy: node_policy.NodePolicy | None = None
) -> node_settings.NodeSettings:
    """Read the settings file; raise SettingsError if it is unreadable or invalid.

    `policy` selects the algorithms of the node; None selects the defaults.
    """
    try:
        body = msgspec.json.decode(path.read_bytes(), type=SettingsBody)
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}; set the path of a readable file")
    except bodies.DECODE_ERRORS as error:
        field = bodies.field_of(error)
        raise errors.SettingsError(f"{path}: {error}; correct {field or 'the file'}", field=field)
    settings = translate(body)
    settings.policy = policy or node_policy.NodePolicy()
    return settings


def translate(body: SettingsBody) -> node_settings.NodeSettings:
    """Convert the settings file to node settings; raise SettingsError if it is invalid."""
    first = body.port_range[0]
    if body.port_range[1] < first + 2:
        raise errors.SettingsError(
            "port_range: fewer than three ports; widen the range", field="port_range"
        )
    bounds = body.bounds
    return node_settings.NodeSettings(
        body.node_name,
        body.ip,
        body.zone,
        body.region,
        body.zones,
        first,
        first + 1,
        first + 2,
        [node_settings.split_address(seed)[0] for seed in body.seeds],
        body.listen.get("front", ""),
        body.listen.get("ready", ""),
        body.listen.get("control", ""),
        body.app,
        body.service,
        body.data_dir or "",
        body.bootstrap,
        body.fault_tolerance.machines,
        body.heartbeat_ms / MS_PER_S,
        int(body.limits.memory_mb * BYTES_PER_MEGABYTE),
        body.limits.link_mbps * bodies.BYTES_PER_MEGABIT,
        node_settings.Bounds(
            bounds.contact_ms / MS_PER_S,
            bounds.ack_ms / MS_PER_S,
            bounds.catch_up_s,
            bounds.drain_ms / MS_PER_S,
            bounds.grace_s,
            bounds.config_apply_ms / MS_PER_S,
            bounds.version_ms / MS_PER_S,
            bounds.retry_budget_ratio,
            bounds.budget_window_s,
            bounds.budget_slack,
            bounds.pass_ms / MS_PER_S,
            bounds.evacuate_ms / MS_PER_S,
            bounds.cold_overage,
            bounds.cold_slack,
        ),
    )
