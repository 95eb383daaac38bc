"""Reports of the rate limits that back ends advertise to an entry, sent to the control VMs."""

import asyncio

from merlinthread import errors, logs
from merlinthread.coordination import limit_table
from merlinthread.nodes import fleet_watcher
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

REPORT_TIMEOUT_S = 0.9


class LimitReporter:
    """Reports changed limits on behalf of the entry called `name`."""

    def __init__(
        self, name: str, watcher: fleet_watcher.FleetWatcher, rpc_client: node_bus.RpcClient
    ) -> None:
        self.name = name
        self.watcher = watcher
        self.rpc_client = rpc_client
        self.tasks: set[asyncio.Task[None]] = set()

    def report(self, limit: limit_table.LimitReport) -> None:
        """Start a task that reports a limit, unless no control VM is known."""
        if not self.watcher.current_control_vm:
            return
        task = asyncio.get_running_loop().create_task(self.send(limit))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, limit: limit_table.LimitReport) -> None:
        """Send a limit to a control VM, without retries.

        If the report is lost, each entry learns the limit from its own first response.
        """
        report = node_messages.CrashReport(self.name, [], limits=[limit])
        try:
            await self.rpc_client.call(self.watcher.current_control_vm, report, REPORT_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            logs.debug("limit_not_told", instance=limit.instance, reason=error.message)
