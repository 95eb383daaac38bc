"""The fleet of the soak test: nodes as processes, workers in this process behind proxy links."""

import asyncio
import contextlib
import pathlib
import signal

from bench import soak_nodes
from merlinthread import errors
from merlinthread.transport import connection_pool, http_messages
from stand_ins import fleet_worker, proxy

RECOVERY_TIMEOUT_S = 12.0
# Bound for the start of the control VMs' processes, which depends on the machine only.
START_TIMEOUT_S = 30.0
EVENT_COUNT = 6
SERVICES = ("safe", "safe", "unsafe", "unsafe", "model", "model")


class SoakFleet:
    """Control VMs, entries and workers.

    `workers` maps each worker to its service; `replaced` are former nodes, killed by `close`.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.control_ips = list(soak_nodes.CONTROL_IPS)
        self.nodes = [self.make_node("control", ip) for ip in soak_nodes.CONTROL_IPS]
        self.nodes += [self.make_node("entry", ip) for ip in soak_nodes.ENTRY_IPS]
        self.replaced: list[soak_nodes.Node] = []
        self.workers = {
            fleet_worker.Worker(f"i-{number}", "m" if service == "model" else ""): service
            for number, service in enumerate(SERVICES)
        }
        self.links: dict[fleet_worker.Worker, proxy.Link] = {}
        self.pool = connection_pool.ConnectionPool(0.0, 0.5, 1.0)

    async def start(self) -> None:
        """Start all workers and control VMs, without waiting for the control VMs."""
        for worker in self.workers:
            await self.start_worker(worker)
        for node in self.nodes:
            if node.role == "control":
                node.start()

    def start_others(self) -> None:
        """Start the nodes that are not control VMs, without waiting for them."""
        for node in self.nodes:
            if node.role != "control":
                node.start()

    def close(self) -> None:
        """Kill all node processes and close the links."""
        for node in [*self.nodes, *self.replaced]:
            node.signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
        for link in self.links.values():
            link.close()

    def make_node(self, role: str, ip: str) -> soak_nodes.Node:
        """Return a new node that is not started."""
        return soak_nodes.Node(self.folder, f"{role}-{ip}", role, ip, self.control_ips)

    async def wait_until_responding(self, node: soak_nodes.Node) -> None:
        """Wait until a control VM responds, up to a timeout; return at once for other roles."""
        if node.role != "control":
            return
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RECOVERY_TIMEOUT_S
        request = http_messages.Request(b"GET", b"/config", [(b"host", b"c")])
        while loop.time() < deadline:
            with contextlib.suppress(errors.MerlinthreadError):
                await self.pool.request(f"{node.ip}:{soak_nodes.CONTROL_PORT}", request, 1.0)
                return
            await asyncio.sleep(0.05)

    async def start_worker(self, worker: fleet_worker.Worker) -> None:
        """Start a worker behind a proxy link, whose address becomes the worker's address."""
        worker.behaviour.events = EVENT_COUNT
        host, port = (await worker.start()).split(":")
        link = proxy.Link((host, 0), (host, int(port)))
        worker.address = f"{host}:{link.listener.getsockname()[1]}"
        self.links[worker] = link

    async def ensure_running(self, node: soak_nodes.Node) -> None:
        """Resume a node that is suspended, and start it if it has exited."""
        node.signal(signal.SIGCONT)
        if node.process is not None and node.process.poll() is None:
            return
        node.start()
