"""The fleet of the soak of shared links: control VMs as processes, each in a region of its own."""

import asyncio
import contextlib
import json
import pathlib
import random
import re
import shutil
import signal
import time

from bench import link_relay, linked_node, shared_links, soak_nodes
from merlinthread import errors
from merlinthread.transport import connection_pool, http_messages

REGIONS = [f"region-{number}" for number in range(1, 1 + len(soak_nodes.CONTROL_IPS))]
RELAY_ADDRESS = f"{soak_nodes.NETWORK}.250:8100"
METRICS_PORT = 8010
# The default of the settings file.
CATCH_UP_S = 4.0
DOWN_S = 1.0
RECOVERY_TIMEOUT_S = 12.0
CALL_TIMEOUT_S = 1.0
POLL_S = 0.05
LOG_INDEX = re.compile(rb"^merlinthread_log_index (\S+)$", re.MULTILINE)


class LinkFleet:
    """Control VMs whose connections to each other pass the links between their regions.

    `control_ips` are those of the VMs that run; `replaced` are former nodes.
    """

    def __init__(
        self, folder: pathlib.Path, profile: shared_links.LinkProfile, rng: random.Random
    ) -> None:
        self.folder = folder
        self.relay = link_relay.LinkRelay(profile, rng)
        self.control_ips = list(soak_nodes.CONTROL_IPS)
        self.nodes = [
            self.make_node(ip, region)
            for ip, region in zip(soak_nodes.CONTROL_IPS, REGIONS, strict=True)
        ]
        self.replaced: list[soak_nodes.Node] = []
        self.pool = connection_pool.ConnectionPool(0.0, 0.5, 1.0)

    def make_node(self, ip: str, region: str) -> soak_nodes.Node:
        """Return a new control VM that is not started."""
        self.relay.regions[ip] = region
        return soak_nodes.Node(
            self.folder,
            f"control-{ip}",
            "control",
            ip,
            self.control_ips,
            starter=linked_node.STARTER.format(
                ip=ip, relay=RELAY_ADDRESS, metrics_port=METRICS_PORT
            ),
            extra_settings={
                "zone": f"zone-{region}",
                "zones": {f"zone-{name}": name for name in REGIONS},
                "bounds": {"catch_up_s": CATCH_UP_S},
            },
        )

    async def start(self) -> None:
        """Start the relay and all control VMs, without waiting for the latter."""
        host, _, port = RELAY_ADDRESS.rpartition(":")
        await self.relay.listen(host, int(port), REGIONS)
        for node in self.nodes:
            node.start()

    def close(self) -> None:
        """Kill all processes and close the relay."""
        for node in [*self.nodes, *self.replaced]:
            node.signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
        self.relay.close()

    def ended_nodes(self) -> list[str]:
        """Return the names of the control VMs whose processes ended by themselves."""
        return [
            node.name
            for node in self.nodes
            if node.process is not None
            and node.process.poll() is not None
            and node.process.pid not in node.ended_pids
        ]

    # Losses

    async def lose(self, node: soak_nodes.Node) -> None:
        """Kill a control VM for good."""
        self.nodes.remove(node)
        self.control_ips.remove(node.ip)
        self.replaced.append(node)
        self.relay.lose(node.ip)
        await self.kill(node)

    async def replace(self, lost: soak_nodes.Node) -> soak_nodes.Node:
        """Start an empty control VM at another address in place of a lost one.

        Returns once it responds.
        """
        ip = f"{soak_nodes.NETWORK}.{100 + len(self.replaced)}"
        new = self.make_node(ip, self.relay.regions[lost.ip])
        new.is_first_start = False
        self.control_ips.append(ip)
        self.nodes.append(new)
        new.start()
        for node in self.nodes:
            node.write_settings()
        await self.wait_until_responding(new)
        return new

    async def lose_power(self, wiped: soak_nodes.Node) -> None:
        """Kill all control VMs at once, delete the data of one, and start them again."""
        self.relay.reset({node.ip for node in self.nodes})
        for node in self.nodes:
            node.signal(signal.SIGKILL)
        await asyncio.gather(*(self.kill(node) for node in self.nodes))
        shutil.rmtree(wiped.folder / wiped.name)
        await asyncio.sleep(DOWN_S)
        for node in self.nodes:
            node.start()

    async def kill(self, node: soak_nodes.Node) -> None:
        """Kill a process and wait until it has exited."""
        node.signal(signal.SIGKILL)
        if node.process is not None:
            await asyncio.to_thread(node.process.wait)

    # Calls

    async def call(
        self, ip: str, method: str, path: str, body: dict | None = None
    ) -> tuple[int, bytes]:
        """Call a control VM; return the status and body, or status 0 if the call fails."""
        data = json.dumps(body).encode() if body is not None else b""
        headers = [(b"host", b"c"), (b"content-length", b"%d" % len(data))]
        return await self.request(
            f"{ip}:{soak_nodes.CONTROL_PORT}",
            http_messages.Request(method.encode(), path.encode(), headers, data),
        )

    async def request(self, address: str, request: http_messages.Request) -> tuple[int, bytes]:
        """Send a request; return the status and body, or status 0 if it fails."""
        with contextlib.suppress(errors.MerlinthreadError):
            response = await self.pool.request(address, request, CALL_TIMEOUT_S)
            return response.status, response.body
        return 0, b""

    async def wait_until_responding(self, node: soak_nodes.Node) -> None:
        """Wait until a control VM responds, for at most RECOVERY_TIMEOUT_S."""
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        while time.monotonic() < deadline:
            if (await self.call(node.ip, "GET", "/config"))[0]:
                return
            await asyncio.sleep(POLL_S)

    async def log_index(self, ip: str) -> int:
        """Return the index of the last entry that a control VM has applied, 0 if unknown."""
        request = http_messages.Request(b"GET", b"/metrics", [(b"host", b"c")])
        _, body = await self.request(f"{ip}:{METRICS_PORT}", request)
        found = LOG_INDEX.search(body)
        return int(float(found[1])) if found else 0

    async def log_indexes(self) -> dict[str, int]:
        """Return the log index of each control VM that runs, by IP."""
        ips = list(self.control_ips)
        return dict(zip(ips, await asyncio.gather(*map(self.log_index, ips)), strict=True))
