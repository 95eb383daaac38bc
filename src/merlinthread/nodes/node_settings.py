"""The settings of a node, and the bounds from which its timers derive."""

import dataclasses
import ipaddress

from merlinthread.nodes import node_policy

PORT_MAX = 65535


@dataclasses.dataclass(slots=True)
class Bounds:
    """The guarantees of the deployment, from which the timers of nodes derive.

    Fields ending in `_s` are seconds. `retry_ratio` bounds the retries within `retry_window_s`,
    relative to the first attempts. In any second, a cold back end gets at most its `cold_per_s`
    times `cold_overage` plus `cold_slack` requests; there is no bound if `cold_overage` is None.
    """

    contact_s: float = 3.0
    acknowledge_s: float = 4.0
    catch_up_s: float = 4.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    apply_s: float = 2.0
    version_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 100.0
    pass_s: float = 0.12
    evacuate_s: float = 5.0
    cold_overage: float | None = None
    cold_slack: float = 0.0


@dataclasses.dataclass(slots=True)
class NodeSettings:
    """The settings of one node; addresses have the form "IP:port".

    `regions` maps each zone to its region. `control_port`, `agent_port` and `entry_port` are the
    ports for messages between nodes, the same on all VMs. `control_ips` are the control VMs to
    contact first. `engine` is the address of the engine on an agent's VM.
    """

    name: str
    ip: str
    zone: str
    region: str
    regions: dict[str, str]
    control_port: int
    agent_port: int
    entry_port: int
    control_ips: list[str]
    client_address: str = ""
    ready_address: str = ""
    control_address: str = ""
    engine: str = ""
    engine_service: str = ""
    data_folder: str = ""
    is_first_start: bool = False
    members_lost_max: int = 1
    heartbeat_s: float = 1.2
    memory_bytes: int = 256 * 1024 * 1024
    link_bytes_per_s: float = 125e6
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    policy: node_policy.NodePolicy = dataclasses.field(default_factory=node_policy.NodePolicy)

    def control_rpc_addresses(self) -> list[str]:
        """Return the RPC addresses of the control VMs in the settings."""
        return [f"{ip}:{self.control_port}" for ip in self.control_ips]

    def zones(self) -> list[str]:
        """Return the availability zones of the deployment, in order of their names."""
        return sorted({self.zone, *self.regions})

    def distance(self, zone: str) -> int:
        """Return 0 for this node's zone, 1 for another in its region, 2 for any other."""
        if zone == self.zone:
            return 0
        return 1 if self.regions.get(zone) == self.region else 2


def is_address(address: str) -> bool:
    """Return whether `address` is "IP:port" with an IPv4 address and a port number."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ipaddress.AddressValueError:
        return False
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(PORT_MAX))
    return is_number and 0 < int(port) <= PORT_MAX


def split_address(address: str) -> tuple[str, int]:
    """Split "IP:port" into the IP address and the port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
