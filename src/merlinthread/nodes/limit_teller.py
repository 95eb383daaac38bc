"""An entry tells the control VMs of limits that it has heard from back ends, and of their end."""

import asyncio

from merlinthread import errors, logs
from merlinthread.coordination import limit_table
from merlinthread.nodes import news_watcher
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

TIMEOUT_S = 0.9


class LimitTeller:
    """One entry's reports; `name` is the entry's."""

    def __init__(
        self, name: str, watcher: news_watcher.NewsWatcher, caller: node_bus.RpcClient
    ) -> None:
        self.name = name
        self.watcher = watcher
        self.caller = caller
        self.telling: set[asyncio.Task[None]] = set()

    def tell(self, told: limit_table.LimitReport) -> None:
        """Tell a control VM of what was heard just now, beside other work."""
        if not self.watcher.current:
            return
        task = asyncio.get_running_loop().create_task(self.report(told))
        self.telling.add(task)
        task.add_done_callback(self.telling.discard)

    async def report(self, told: limit_table.LimitReport) -> None:
        """Tell a control VM; who is not told hears it with a first answer of its own."""
        report = node_messages.CrashReport(self.name, [], limits=[told])
        try:
            await self.caller.call(self.watcher.current, report, TIMEOUT_S)
        except errors.MerlinthreadError as error:
            logs.debug("limit_not_told", instance=told.instance, reason=error.message)
