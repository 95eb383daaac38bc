"""Where the pieces of an agent lie: staged at its engine, or here until the engine answers at all.

The agent of a VM that joins is up a second before its engine is (5.2 and 6.2 s in the logs of a day
with 17 that join), and a copy takes 5.2 s of its link: without waiting for the engine it is whole a
second sooner, while the engines that there are refuse a third of the requests.
"""

from merlinthread.coordination import fleet
from merlinthread.nodes import engine_client

# More than the link of an agent carries in the time that an engine takes to start.
BUFFER_BYTES_MAX = 8 * 1024 * 1024


class PieceStore:
    """The pieces of one version; `is_engine_seen` once the engine has answered."""

    def __init__(self, engine: engine_client.EngineClient) -> None:
        self.engine = engine
        self.is_engine_seen = False
        self.buffered: dict[int, bytes] = {}

    def clear(self) -> None:
        """Forget what is kept: another version is wanted."""
        self.buffered.clear()

    def is_full(self) -> bool:
        """Return whether no more may be kept here."""
        return sum(map(len, self.buffered.values())) >= BUFFER_BYTES_MAX

    async def put(self, model: str, index: int, data: bytes) -> None:
        """Stage a piece, or keep it while the engine has never answered.

        Raises UnreachableError or ProtocolError if the engine does not take it.
        """
        if self.is_engine_seen:
            await self.engine.stage(model, index, data)
        else:
            self.buffered[index] = data

    async def get(self, manifest: fleet.Manifest, index: int) -> bytes | None:
        """Return a sound piece from here or from the engine, None if there is none."""
        kept = self.buffered.get(index)
        return kept if kept is not None else await self.engine.staged(manifest, index)

    async def flush(self, model: str) -> None:
        """Stage all that is kept; raises as `put` does."""
        for index in sorted(self.buffered):
            data = self.buffered.get(index)
            if data is None:
                continue
            await self.engine.stage(model, index, data)
            self.buffered.pop(index, None)
