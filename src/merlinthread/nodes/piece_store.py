"""Storage of pieces: staged at the engine, or buffered in memory while the engine does not respond.

On a new VM the agent is ready before the engine; the buffer lets it start the download at once.
"""

import asyncio
from collections.abc import Iterator

from merlinthread import errors
from merlinthread.coordination import fleet
from merlinthread.nodes import engine_client

# More than an agent can download while an engine starts.
BUFFER_BYTES_MAX = 8 * 1024 * 1024
# Uploads of buffered pieces at once: a slow engine that is to load them serves nothing meanwhile.
UPLOADS_MAX = 8
# How long after the start of an agent uploads of the process before it may still arrive.
EARLIER_UPLOADS_S = 10.0


class PieceStore:
    """Stores the pieces of one version.

    `is_engine_seen` is set by the owner once the engine has responded for the first time. While
    staging is suspended, pieces are buffered. `staged` are the pieces of this version that may have
    been staged by this process. `unanswered` are those of earlier versions whose upload got no
    response, so that it may still overwrite a piece of this version. The agent started at
    `started_at`.
    """

    def __init__(
        self, engine: engine_client.EngineClient, started_at: float = float("-inf")
    ) -> None:
        self.engine = engine
        # Until when uploads of an earlier process of the agent may arrive.
        self.earlier_uploads_until = started_at + EARLIER_UPLOADS_S
        self.is_engine_seen = False
        self.is_suspended = False
        self.buffered: dict[int, bytes] = {}
        self.staged: set[int] = set()
        self.unanswered: set[int] = set()
        self.unanswered_now: set[int] = set()

    def start_version(self) -> None:
        """Discard the buffered pieces, which are of another version than the one that is wanted."""
        self.buffered.clear()
        self.staged.clear()
        self.unanswered |= self.unanswered_now
        self.unanswered_now.clear()

    def record_engine_end(self) -> None:
        """Record that the engine's process has ended, and with it all uploads to it."""
        self.unanswered.clear()
        self.unanswered_now.clear()
        self.earlier_uploads_until = float("-inf")

    def overwritable(self, piece_count: int, now: float) -> set[int]:
        """Return the pieces that a late upload of another version may have overwritten."""
        pieces = set(range(piece_count))
        return pieces if now < self.earlier_uploads_until else self.unanswered & pieces

    def is_full(self) -> bool:
        """Return whether the buffer has reached its size limit."""
        return sum(map(len, self.buffered.values())) >= BUFFER_BYTES_MAX

    def can_flush(self) -> bool:
        """Return whether there are buffered pieces and staging is allowed."""
        return bool(self.buffered) and not self.is_suspended

    # Staging

    def suspend(self) -> None:
        """Stage no further pieces: the engine may be about to take those that it has."""
        self.is_suspended = True

    def resume(self) -> None:
        """Allow pieces to be staged again."""
        self.is_suspended = False

    async def stage(self, model: str, index: int, data: bytes) -> None:
        """Upload a piece to the engine; raise UnreachableError or ProtocolError if that fails."""
        self.staged.add(index)
        is_answered = False
        try:
            await self.engine.stage_piece(model, index, data)
            is_answered = True
        finally:
            if not is_answered:
                self.unanswered_now.add(index)

    async def put(self, model: str, index: int, data: bytes) -> None:
        """Stage a piece, or buffer it if the engine is silent or can't be used at the moment.

        Raises NotListeningError or ProtocolError if staging fails.
        """
        if not self.is_engine_seen or self.is_suspended:
            self.buffered[index] = data
            return
        try:
            await self.stage(model, index, data)
        except errors.NotListeningError:
            raise
        except errors.UnreachableError:
            self.buffered[index] = data

    async def get(self, manifest: fleet.Manifest, index: int) -> bytes | None:
        """Return a piece from the buffer or the engine, or None if it is missing or corrupt."""
        data = self.buffered.get(index)
        return data if data is not None else await self.engine.read_staged_piece(manifest, index)

    async def flush(self, model: str) -> None:
        """Stage all buffered pieces, unless staging is suspended.

        Raises UnreachableError or ProtocolError if that fails.
        """
        waiting = iter(sorted(self.buffered))
        uploads = [
            asyncio.create_task(self.flush_waiting(model, waiting))
            for _ in range(min(UPLOADS_MAX, len(self.buffered)))
        ]
        try:
            await asyncio.gather(*uploads)
        finally:
            for upload in uploads:
                upload.cancel()

    async def flush_waiting(self, model: str, waiting: Iterator[int]) -> None:
        """Stage the waiting pieces one after the other."""
        for index in waiting:
            data = self.buffered.get(index)
            if data is None:
                continue
            if self.is_suspended:
                return
            await self.stage(model, index, data)
            if self.buffered.get(index) is data:
                del self.buffered[index]
