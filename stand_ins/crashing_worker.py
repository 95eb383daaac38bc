"""A stand-in for a worker whose process ends under a certain request and is started again."""

import asyncio

from merlinthread.transport import stream_server
from stand_ins import fleet_worker

BORN_MS = 1_767_000_000_000


class CrashingWorker(fleet_worker.Worker):
    """A worker that ends `crash_after_s` after it has begun a request with `deadly_body`.

    All connections are reset, nothing listens at the address for `away_s`, then another
    incarnation does, under a new id or, with `keeps_id`, under the same one. `ends` and `arrivals`
    are the times, on the event loop's clock, of its ends and of the deadly requests that came;
    `sequence` counts the heartbeats of one incarnation, `born_ms` is told with `tells_birth`.
    """

    def __init__(
        self,
        instance: str,
        model: str = "",
        deadly_body: bytes = b"deadly",
        crash_after_s: float = 0.05,
        away_s: float = 0.4,
        keeps_id: bool = False,
        tells_birth: bool = False,
    ) -> None:
        super().__init__(instance, model)
        self.name = instance
        self.deadly_body = deadly_body
        self.crash_after_s = crash_after_s
        self.away_s = away_s
        self.keeps_id = keeps_id
        self.tells_birth = tells_birth
        self.born_ms = BORN_MS
        self.ends: list[float] = []
        self.arrivals: list[float] = []
        self.is_away = False
        self.sequence = 0
        self.crash: asyncio.Task[None] | None = None

    async def answer(
        self, exchange: stream_server.Exchange, headers: dict[str, str], request_id: str
    ) -> None:
        """Answer, or end before the answer is whole."""
        if exchange.request.body == self.deadly_body:
            self.arrivals.append(asyncio.get_running_loop().time())
            self.crash_soon()
            await asyncio.Event().wait()
        await super().answer(exchange, headers, request_id)

    def crash_soon(self) -> None:
        """End soon, unless that is under way."""
        if self.crash is None or self.crash.done():
            self.crash = asyncio.get_running_loop().create_task(self.end_and_return())

    async def end_and_return(self) -> None:
        """End, stay away, and listen at the same address again."""
        await asyncio.sleep(self.crash_after_s)
        self.end()
        await asyncio.sleep(self.away_s)
        await self.begin_again()

    def end(self) -> None:
        """End as a crashed process does."""
        self.ends.append(asyncio.get_running_loop().time())
        self.is_away = True
        self.stop()

    async def begin_again(self) -> None:
        """Start as another incarnation at the same address, which knows nothing of before."""
        if not self.keeps_id:
            self.instance = f"{self.name}-{len(self.ends)}"
        self.sequence = 0
        self.born_ms += 1
        self.server = stream_server.Server(self.serve)
        host, _, port = self.address.rpartition(":")
        await self.server.listen(host, int(port))
        self.is_away = False
