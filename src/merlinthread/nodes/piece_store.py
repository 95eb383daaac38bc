"""Storage of pieces: staged at the engine, or buffered in memory while the engine does not respond.

On a new VM the agent is ready before the engine; the buffer lets it start the download at once.
"""

from merlinthread import errors
from merlinthread.coordination import fleet
from merlinthread.nodes import engine_client

# More than an agent can download while an engine starts.
BUFFER_BYTES_MAX = 8 * 1024 * 1024


class PieceStore:
    """Stores the pieces of one version.

    `is_engine_seen` is set by the owner once the engine has responded for the first time.
    """

    def __init__(self, engine: engine_client.EngineClient) -> None:
        self.engine = engine
        self.is_engine_seen = False
        self.buffered: dict[int, bytes] = {}

    def clear(self) -> None:
        """Discard the buffered pieces, for example because another version is wanted."""
        self.buffered.clear()

    def is_full(self) -> bool:
        """Return whether the buffer has reached its size limit."""
        return sum(map(len, self.buffered.values())) >= BUFFER_BYTES_MAX

    async def put(self, model: str, index: int, data: bytes) -> None:
        """Stage a piece, or buffer it if the engine is silent or has not responded yet.

        Raises NotListeningError or ProtocolError if staging fails.
        """
        if not self.is_engine_seen:
            self.buffered[index] = data
            return
        try:
            await self.engine.stage_piece(model, index, data)
        except errors.NotListeningError:
            raise
        except errors.UnreachableError:
            self.buffered[index] = data

    async def get(self, manifest: fleet.Manifest, index: int) -> bytes | None:
        """Return a piece from the buffer or the engine, or None if it is missing or corrupt."""
        data = self.buffered.get(index)
        return data if data is not None else await self.engine.read_staged_piece(manifest, index)

    async def flush(self, model: str) -> None:
        """Stage all buffered pieces; raise UnreachableError or ProtocolError if that fails."""
        for index in sorted(self.buffered):
            data = self.buffered.get(index)
            if data is None:
                continue
            await self.engine.stage_piece(model, index, data)
            self.buffered.pop(index, None)
