"""Helpers that run control VMs and entries on loopback, in the event loop of the test."""

import asyncio
import collections
import contextlib
import json
import pathlib
import random
import socket
import zlib
from collections.abc import AsyncIterator, Callable

from bench import soak_nodes
from merlinthread import clocks
from merlinthread.coordination import instances as instance_records
from merlinthread.coordination import raft_messages
from merlinthread.nodes import control_node, entry_node, fleet_watcher, node_settings
from merlinthread.platform import dialect
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages, piece_messages
from merlinthread.transport import connection_pool, http_messages, node_bus, stream_client
from stand_ins import fleet_worker

# Parallel test processes use separate loopback addresses.
NETWORK = soak_nodes.NETWORK
# The ports that `free_port` returned last; a test uses far fewer.
recent_ports: collections.deque[int] = collections.deque(maxlen=1000)


class SuspendableClock:
    """The clock of a VM that was suspended for `suspended_s` while its timers were stopped."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return clocks.now() + self.suspended_s


def free_port() -> int:
    """Return a TCP port that is currently free on all addresses, and not one returned recently.

    The system may choose the same port again before the first one is used (8 of 100,000 pairs of
    calls), and a node that listens on two ports of one address would fail to start.
    """
    while True:
        with socket.socket() as sock:
            sock.bind(("", 0))
            port = sock.getsockname()[1]
        if port not in recent_ports:
            recent_ports.append(port)
            return port


def is_udp_port_free(ip: str, port: int) -> bool:
    """Return whether a UDP socket can be bound to an address."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def make_codec() -> codecs.Codec:
    """Return the codec for messages between nodes."""
    return codecs.Codec(
        [raft_messages.MESSAGES, node_messages.MESSAGES, piece_messages.MESSAGES], []
    )


def make_watcher(settings: node_settings.NodeSettings) -> fleet_watcher.FleetWatcher:
    """Return a watcher that is not running."""
    return fleet_watcher.FleetWatcher(
        settings,
        dialect.PlatformDialect(),
        node_bus.RpcClient(make_codec()),
        clocks.now,
        lambda: None,
    )


def make_settings(name: str, ip: str = "127.0.0.1", **changes) -> node_settings.NodeSettings:
    """Return settings of a node on loopback, with `changes` to the defaults."""
    fields = {
        "name": name,
        "ip": ip,
        "zone": "zone-a",
        "region": "region",
        "regions": {"zone-a": "region", "zone-b": "region"},
        "control_port": 0,
        "agent_port": 0,
        "entry_port": 0,
        "control_ips": [],
    }
    return node_settings.NodeSettings(**(fields | changes))


class Controls:
    """A group of control VMs on separate loopback addresses with the same ports."""

    def __init__(
        self, folder: pathlib.Path, count: int = 3, clock: Callable[[], float] = clocks.now
    ) -> None:
        self.folder = folder
        self.clock = clock
        self.port, self.public_port = free_port(), free_port()
        self.ips = [f"{NETWORK}.{11 + number}" for number in range(count)]
        self.nodes: dict[str, control_node.ControlNode] = {}

    async def start(self, ip: str, is_first: bool = False, folder: str = "") -> None:
        """Start one control VM; `folder` is the name of its data folder, by default its IP."""
        settings = make_settings(
            f"control-{ip}",
            ip,
            control_port=self.port,
            control_ips=self.ips[:3],
            control_address=f"{ip}:{self.public_port}",
            data_folder=str(self.folder / (folder or ip)),
            is_first_start=is_first,
        )
        node = control_node.ControlNode(
            settings, dialect.PlatformDialect(), make_codec(), self.clock
        )
        self.nodes[ip] = node
        await node.start()

    async def start_all(self) -> None:
        """Start all control VMs for the first time."""
        for ip in self.ips:
            await self.start(ip, is_first=True)

    def kill(self, ip: str) -> None:
        """Stop a control VM abruptly, as if its process was killed; its files stay."""
        node = self.nodes.pop(ip)
        abort_control_node(node)
        node.member.close()

    def kill_all(self) -> None:
        """Kill all control VMs."""
        for ip in list(self.nodes):
            self.kill(ip)

    async def until_leader(self) -> str:
        """Wait until a VM holds the leader's lease; return its IP."""
        await until(self.leader)
        return self.leader()

    def leader(self) -> str:
        """Return the IP of the VM that holds the leader's lease, or ""."""
        for ip, node in self.nodes.items():
            if node.member.holds_lease():
                return ip
        return ""

    async def call(
        self, ip: str, method: str, path: str, body: dict | None = None
    ) -> http_messages.Response:
        """Send one HTTP request of an operator or worker."""
        data = json.dumps(body).encode() if body is not None else b""
        headers = [(b"host", b"c"), (b"content-length", b"%d" % len(data))]
        request = http_messages.Request(method.encode(), path.encode(), headers, data)
        pool = connection_pool.ConnectionPool(1.0, 1.0, 2.0)
        return await pool.request(f"{ip}:{self.public_port}", request, 3.0)

    async def until_acknowledged(
        self, method: str, path: str, body: dict | None = None
    ) -> http_messages.Response:
        """Repeat a request, to each VM in turn, until one replies with status 200."""
        for attempt in range(400):
            ips = list(self.nodes)
            try:
                response = await self.call(ips[attempt % len(ips)], method, path, body)
            except Exception:
                response = None
            if response is not None and response.status == 200:
                return response
            await asyncio.sleep(0.02)
        raise AssertionError(f"{method} {path} was never acknowledged")


@contextlib.asynccontextmanager
async def running_controls(folder: pathlib.Path, count: int = 3) -> AsyncIterator[Controls]:
    """Start control VMs and wait for a leader; kill them afterwards."""
    controls = Controls(folder, count)
    try:
        await controls.start_all()
        await until(controls.leader)
        yield controls
    finally:
        controls.kill_all()


def abort_control_node(node: control_node.ControlNode) -> None:
    """Cancel the tasks and abort the connections of a control VM, as if its process was killed."""
    for task in node.tasks + node.member.sender.tasks():
        task.cancel()
    for server in (node.server, node.rpc_server.server):
        if server.listener is not None:
            server.listener.close()
        for connection in list(server.connections):
            connection.abort()
    if node.datagrams.transport is not None:
        node.datagrams.transport.abort()


async def until(condition, seconds: float = 10.0) -> None:
    """Wait until `condition()` is true."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


def configuration(
    version: int, services: list[str], model_service: str = "", origin: str = ""
) -> dict:
    """Return a configuration with a route for each service; its name selects "safe" or "unsafe"."""
    routes = []
    for name in services:
        kind = "unsafe" if name.startswith("unsafe") else "safe"
        routes.append(route_body(name, kind))
    bodies = [{"name": name, "health_check_path": "/healthz"} for name in services]
    if model_service:
        route = route_body(model_service, "streaming")
        route |= {"resumable": True, "target_gap_ms": 200}
        routes.append(route)
        engine = {
            "slots": 4,
            "models": [{"name": "m"}],
            "layers": 16,
            "chunks": 24,
            "chunk_bytes": 64,
            "step_ms": 1,
            "stride": 1,
            "read_per_s": 100000,
        }
        bodies.append({"name": model_service, "engine": engine})
    if origin:
        bodies.append({"name": "origin", "origin": origin, "zone": "zone-a"})
    tenants = [{"name": f"account-{number}", "api_keys": [f"key-{number}"]} for number in (1, 2)]
    return {"version": version, "routes": routes, "services": bodies, "tenants": tenants}


def route_body(service: str, kind: str) -> dict:
    """Return a route whose path prefix is the name of its service."""
    return {
        "name": f"r-{service}",
        "hostname": "h.example",
        "path_prefix": f"/{service}/",
        "route_type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


class Entry:
    """An entry that gets its configuration from the test, unless `settings` name control VMs.

    It has the free retries of one that has run for a while.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings | None = None,
        clock: Callable[[], float] = clocks.now,
    ) -> None:
        settings = settings or make_settings("entry")
        self.address = settings.client_address
        self.node = entry_node.EntryNode(
            settings, dialect.PlatformDialect(), make_codec(), clock, random.Random(1)
        )
        self.node.pool.started_at = float("-inf")
        self.sequence = 0

    async def start(self) -> None:
        """Start the server for clients only."""
        await self.node.server.listen("127.0.0.1", 0)
        assert self.node.server.listener is not None
        port = self.node.server.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def apply_update(
        self,
        body: dict,
        workers: dict[fleet_worker.Worker, str],
        gone=(),
        leader_age_s=0.0,
        draining=(),
        zones: dict[fleet_worker.Worker, str] | None = None,
    ) -> None:
        """Send the entry a configuration and its workers, as a control VM would.

        Workers are in zone-a unless `zones` names another one.
        """
        self.sequence += 1
        instances = [
            instance_records.Instance(
                dialect.bodies.parse_heartbeat(
                    worker.instance,
                    json.dumps(
                        {
                            "service": service,
                            "address": worker.address,
                            "zone": (zones or {}).get(worker, "zone-a"),
                            "slots": 4,
                            "state": "draining" if worker in draining else "ready",
                            "sequence": self.sequence,
                            "models": [{"name": worker.model, "version": worker.version}],
                        }
                    ).encode(),
                )
            )
            for worker, service in workers.items()
        ]
        reply = node_messages.WatchReply(
            "feed",
            self.sequence,
            False,
            instances,
            list(gone),
            [],
            body["version"],
            zlib.compress(json.dumps(body).encode()),
            [],
            leader_age_s,
        )
        self.node.watcher.apply(reply)

    async def request(
        self, path: str, request_id: str, body: bytes = b"", **headers
    ) -> http_messages.Response:
        """Send a client request and return its response."""
        connection = await self.send(path, request_id, body, **headers)
        try:
            return await connection.receive()
        finally:
            connection.close()

    async def send(
        self, path: str, request_id: str, body: bytes = b"", **headers
    ) -> stream_client.ClientConnection:
        """Send a client request and return its connection."""
        fields = {
            "Host": "h.example",
            "X-Merlinthread-Request-Id": request_id,
            "X-Merlinthread-Deadline-Ms": "2500",
            "Api-Key": "key-1",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        raw_headers = [(key.encode(), value.encode()) for key, value in fields.items()]
        connection = await stream_client.connect(self.address, 1.0, 2.0)
        raw_headers.append((b"content-length", b"%d" % len(body)))
        connection.send(http_messages.Request(b"POST", path.encode(), raw_headers, body))
        return connection
