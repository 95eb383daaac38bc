"""The operator of the soak of shared links: changes and reads of the configuration, checked."""

import asyncio
import base64
import dataclasses
import json
import random

from bench import soak_links_fleet, soak_nodes

CHANGE_INTERVAL_S = (0.05, 0.15)
BODY_BYTES = (1024, 8192)
KEY_BYTES = 96
ATTEMPTS_MAX = 12
RETRY_DELAY_S = 0.1
READ_INTERVAL_S = (0.05, 0.2)


@dataclasses.dataclass(slots=True)
class Read:
    """A read of the configuration that succeeded, with loop times."""

    began_at: float
    ended_at: float
    version: int


class Operator:
    """Changes the configuration at a steady rate and reads it back."""

    def __init__(self, fleet: soak_links_fleet.LinkFleet, seed: int) -> None:
        self.fleet = fleet
        self.seed = seed
        self.rng = random.Random(f"operator {seed}")
        self.version = 0
        self.acknowledged_version = 0
        self.acknowledged_count = 0
        self.reads: list[Read] = []
        self.longest_gap_s = 0.0
        self.violations: list[str] = []
        self.changes: set[asyncio.Task] = set()

    def make_configuration(self, version: int) -> dict:
        """Return a configuration whose size after compression is in BODY_BYTES."""
        rng = random.Random(f"configuration {self.seed} {version}")
        size = rng.randrange(*BODY_BYTES)
        keys = [
            base64.b64encode(rng.randbytes(KEY_BYTES)).decode() for _ in range(size // KEY_BYTES)
        ]
        return soak_nodes.make_configuration(version, tuple(keys))

    async def run_changes(self) -> None:
        """Send one change after another, without waiting for their results, until cancelled."""
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            self.version += 1
            change = loop.create_task(self.apply(self.version))
            self.changes.add(change)
            change.add_done_callback(self.changes.discard)
            next_at += self.rng.uniform(*CHANGE_INTERVAL_S)
            await asyncio.sleep(next_at - loop.time())

    async def apply(self, version: int) -> None:
        """Send a change until it is acknowledged or a newer one is."""
        body = self.make_configuration(version)
        for _ in range(ATTEMPTS_MAX):
            ip = self.rng.choice(self.fleet.control_ips)
            status, _ = await self.fleet.call(ip, "PUT", "/config", body)
            if 400 <= status < 500:
                self.violations.append(f"version {version} was rejected with status {status}")
            if status == 200:
                self.acknowledged_count += 1
                self.acknowledged_version = max(self.acknowledged_version, version)
            if self.acknowledged_version >= version:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def run_reads(self) -> None:
        """Read the configuration all the time; return if it does not come back in time."""
        loop = asyncio.get_running_loop()
        read_at = loop.time()
        while loop.time() - read_at < soak_links_fleet.RECOVERY_TIMEOUT_S:
            if await self.read():
                self.longest_gap_s = max(self.longest_gap_s, loop.time() - read_at)
                read_at = loop.time()
            await asyncio.sleep(self.rng.uniform(*READ_INTERVAL_S))
        self.longest_gap_s = max(self.longest_gap_s, loop.time() - read_at)
        self.violations.append(
            f"no configuration was read for {soak_links_fleet.RECOVERY_TIMEOUT_S} s"
        )

    async def read(self) -> bool:
        """Read and check the configuration; return whether the read succeeded.

        It must be as new as any version acknowledged before the read.
        """
        due, began_at = self.acknowledged_version, asyncio.get_running_loop().time()
        ip = self.rng.choice(self.fleet.control_ips)
        status, body = await self.fleet.call(ip, "GET", "/config")
        if status != 200:
            return False
        found = json.loads(body)
        version = found["version"]
        self.reads.append(Read(began_at, asyncio.get_running_loop().time(), version))
        if version < due:
            self.violations.append(f"read version {version} after {due} was acknowledged")
        if found != self.make_configuration(version):
            self.violations.append(f"version {version} differs from what was sent")
        return True

    async def wait_for_read(self, since: float) -> None:
        """Wait until a read that began after `since` has succeeded."""
        while not self.reads or self.reads[-1].began_at < since:
            await asyncio.sleep(soak_links_fleet.POLL_S)
