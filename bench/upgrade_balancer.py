"""A model of the platform's load balancer, which selects entries by their readiness."""

import asyncio
import contextlib
import random

from bench import soak_fleet, soak_nodes
from merlinthread import errors
from merlinthread.transport import connection_pool, http_messages

CHECK_INTERVAL_S = 1.0
# An entry gets no new connections after this many failed checks in a row, until one succeeds.
FAILURES_MAX = 2


class Balancer:
    """Checks the readiness of all entries periodically."""

    def __init__(self, pool: connection_pool.ConnectionPool) -> None:
        self.pool = pool
        # Consecutive failed checks, by the entry's IP.
        self.failures = dict.fromkeys(soak_nodes.ENTRY_IPS, FAILURES_MAX)

    async def run(self) -> None:
        """Check all entries periodically until cancelled."""
        while True:
            await asyncio.gather(*(self.check_entry(ip) for ip in self.failures))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def check_entry(self, ip: str) -> None:
        """Check one entry."""
        request = http_messages.Request(b"GET", b"/readyz", [(b"host", b"c")])
        is_ready = False
        with contextlib.suppress(errors.MerlinthreadError):
            response = await self.pool.request(f"{ip}:{soak_nodes.READY_PORT}", request, 0.5)
            is_ready = response.status == 200
        self.failures[ip] = 0 if is_ready else self.failures[ip] + 1

    async def wait_until_ready(self) -> None:
        """Wait until all entries take new connections."""
        async with asyncio.timeout(soak_fleet.RECOVERY_TIMEOUT_S):
            while any(self.failures.values()):
                await asyncio.sleep(0.05)

    def pick(self, rng: random.Random) -> str:
        """Return the IP of a random entry that takes new connections, or of any if none does."""
        ready = [ip for ip, failures in self.failures.items() if failures < FAILURES_MAX]
        return rng.choice(ready or list(self.failures))
