"""A stand-in for a worker that crashes on a certain request and is restarted."""

import asyncio
import socket

from merlinthread.transport import stream_server
from stand_ins import fleet_worker

FIRST_START_MS = 1_767_000_000_000


class CrashingWorker(fleet_worker.Worker):
    """A worker that crashes `crash_after_s` after it starts a request with `crash_body`.

    It also crashes on requests with a part of `crash_parts` in their prompts, unless it is the
    last part.

    A crash resets all connections. After `downtime_s` a new incarnation listens at the same
    address, with a new instance id unless `keeps_id` is set. `crash_times` and
    `crash_request_times` hold the event loop times of the crashes and of the requests that cause
    them. `sequence` counts the heartbeats of one incarnation; `born_ms` is its start time, which
    heartbeats include if `sends_born_ms` is set.
    """

    def __init__(
        self,
        instance: str,
        model: str = "",
        crash_body: bytes = b"deadly",
        crash_after_s: float = 0.05,
        downtime_s: float = 0.4,
        keeps_id: bool = False,
        sends_born_ms: bool = False,
        crash_parts: frozenset[str] = frozenset(),
    ) -> None:
        super().__init__(instance, model)
        self.name = instance
        self.crash_body = crash_body
        self.crash_parts = crash_parts
        self.crash_after_s = crash_after_s
        self.downtime_s = downtime_s
        self.keeps_id = keeps_id
        self.sends_born_ms = sends_born_ms
        self.born_ms = FIRST_START_MS
        self.crash_times: list[float] = []
        self.crash_request_times: list[float] = []
        self.is_down = False
        self.sequence = 0
        self.crash_task: asyncio.Task[None] | None = None
        # Keeps the address from other processes while nothing listens there.
        self.reservation = socket.socket()

    async def start(self, ip: str = "127.0.0.1") -> str:
        """Reserve and listen on a free port of `ip`; return the address as host:port."""
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind((ip, 0))
        port = self.reservation.getsockname()[1]
        await self.server.listen(ip, port)
        self.address = f"{ip}:{port}"
        return self.address

    async def respond(
        self, exchange: stream_server.Exchange, headers: dict[str, str], request_id: str
    ) -> None:
        """Send a response, or crash before one is sent."""
        if exchange.request.body == self.crash_body or self.has_crash_part(headers):
            self.crash_request_times.append(asyncio.get_running_loop().time())
            self.schedule_crash()
            await asyncio.Event().wait()
        await super().respond(exchange, headers, request_id)

    def has_crash_part(self, headers: dict[str, str]) -> bool:
        """Return whether a part of `crash_parts` is in the prompt, but not its last."""
        parts = headers.get("x-merlinthread-prompt-prefix", "").split(",")
        return not self.crash_parts.isdisjoint(part.partition(":")[0] for part in parts[:-1])

    def schedule_crash(self) -> None:
        """Schedule a crash unless one is already pending."""
        if self.crash_task is None or self.crash_task.done():
            self.crash_task = asyncio.get_running_loop().create_task(self.crash_and_restart())

    async def crash_and_restart(self) -> None:
        """Crash after `crash_after_s` and restart after `downtime_s`."""
        await asyncio.sleep(self.crash_after_s)
        self.crash_now()
        await asyncio.sleep(self.downtime_s)
        await self.restart()

    def crash_now(self) -> None:
        """Record the crash time, close the listener and reset all connections."""
        self.crash_times.append(asyncio.get_running_loop().time())
        self.is_down = True
        self.stop()

    async def restart(self) -> None:
        """Start a new incarnation at the same address with a reset heartbeat sequence."""
        if not self.keeps_id:
            self.instance = f"{self.name}-{len(self.crash_times)}"
        self.sequence = 0
        self.born_ms += 1
        self.server = stream_server.Server(self.serve)
        host, _, port = self.address.rpartition(":")
        await self.server.listen(host, int(port))
        self.is_down = False
