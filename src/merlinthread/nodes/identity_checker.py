"""Asks the process at an address which incarnation it is, when two of them claim the place.

A heartbeat may be late, while the answer of the process itself tells who is there now. It is asked
by its health check, with the id that is expected.
"""

import asyncio
from collections.abc import Callable

from merlinthread import errors, logs
from merlinthread.coordination import fleet, incarnations
from merlinthread.nodes import dialect as dialects
from merlinthread.transport import connection_pool

CHECK_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
USER_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 0.0
# Checks at once; further claimants must prove their claims by their heartbeats.
CHECKS_MAX = 16
BODY_BYTES_MAX = 64 * 1024


class IdentityChecker:
    """Checks claimants, one at a time for each address.

    `find_service` returns the configured service of a name, or None. `on_result` gets the heartbeat
    of a claimant, and whether the process at its address is its sender.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        find_service: Callable[[str], fleet.Service | None],
        on_result: Callable[[fleet.Heartbeat, bool], None],
    ) -> None:
        self.dialect = dialect
        self.find_service = find_service
        self.on_result = on_result
        self.pool = connection_pool.ConnectionPool(KEEP_ALIVE_S, CONNECT_TIMEOUT_S, USER_TIMEOUT_S)
        self.tasks: dict[str, asyncio.Task] = {}

    def check(self, heartbeat: fleet.Heartbeat) -> None:
        """Start to check a claimant, unless its address is being asked or can't be."""
        service = self.find_service(heartbeat.service)
        if service is None or not service.health_path:
            return
        if heartbeat.address in self.tasks or len(self.tasks) >= CHECKS_MAX:
            return
        task = asyncio.get_running_loop().create_task(self.run(heartbeat, service.health_path))
        self.tasks[heartbeat.address] = task
        task.add_done_callback(lambda _: self.tasks.pop(heartbeat.address, None))

    def stop(self) -> None:
        """Cancel all checks."""
        for task in list(self.tasks.values()):
            task.cancel()

    async def run(self, heartbeat: fleet.Heartbeat, path: str) -> None:
        """Check one claimant, and pass the result on if there is one."""
        is_sender: bool | None = None
        reason = ""
        try:
            is_sender = await self.ask(heartbeat, path)
        except errors.MerlinthreadError as error:
            reason = error.message
        logs.event(
            "identity_checked",
            instance=heartbeat.instance,
            address=heartbeat.address,
            sequence=heartbeat.sequence,
            is_sender=is_sender,
            reason=reason,
        )
        if is_sender is not None:
            self.on_result(heartbeat, is_sender)

    async def ask(self, heartbeat: fleet.Heartbeat, path: str) -> bool | None:
        """Return whether the process at the address is the sender, None if it doesn't say.

        Raises UnreachableError or ProtocolError without a readable response.
        """
        expected = incarnations.parse(heartbeat.instance).id
        request = self.dialect.identity_request(heartbeat.address, path, expected)
        response = await self.pool.request(
            heartbeat.address, request, CHECK_TIMEOUT_S, BODY_BYTES_MAX
        )
        self.pool.close_idle(heartbeat.address)
        head = self.dialect.parse_response_head(response.status, response.headers)
        if head.is_other_instance:
            return False
        return head.instance == expected if head.instance else None
