"""Verification of staged pieces: they are read back and compared with the manifest."""

import asyncio
import math
import statistics
from collections.abc import Callable, Iterator, Sequence

from merlinthread.coordination import fleet, piece_readings
from merlinthread.nodes import engine_client

# Pieces are read one after the other if that takes at most this long, else several at once.
SEQUENTIAL_READ_S = 0.5
READERS_MAX = 8


class PieceVerifier:
    """Reads the staged pieces of one version of weights, and records when each was right."""

    def __init__(self, engine: engine_client.EngineClient, clock: Callable[[], float]) -> None:
        self.engine = engine
        self.clock = clock
        self.readings = piece_readings.PieceReadings(0)
        self.manifest: fleet.Manifest | None = None
        # The median duration of a reading in the last verification, 0 if it is not known.
        self.reading_s = 0.0

    def start_version(self, manifest: fleet.Manifest) -> None:
        """Discard the readings of another version, whose pieces may have another size."""
        self.readings = piece_readings.PieceReadings(len(manifest.digests))
        self.manifest = manifest
        self.reading_s = 0.0

    def is_of(self, manifest: fleet.Manifest) -> bool:
        """Return whether the readings are of pieces of this manifest."""
        return manifest is self.manifest

    def record_bad(self, manifest: fleet.Manifest, indexes: Sequence[int]) -> None:
        """Record that staged pieces were found bad, unless they are of another version."""
        if self.is_of(manifest):
            for index in indexes:
                self.readings.record(index, self.clock(), False)

    async def verify(self, manifest: fleet.Manifest, indexes: Sequence[int]) -> int:
        """Read pieces back; return the bit set of those that match the manifest.

        Raises UnreachableError if the engine does not respond.
        """
        reader_count = self.reader_count(len(indexes))
        right = await self.read_all(manifest, indexes, self.readings, reader_count)
        return sum(1 << index for index in right)

    async def find_right(self, manifest: fleet.Manifest, indexes: Sequence[int]) -> set[int]:
        """Read pieces of any version back at once; return those that match its manifest.

        Raises UnreachableError if the engine does not respond.
        """
        readings = piece_readings.PieceReadings(len(manifest.digests))
        return await self.read_all(manifest, indexes, readings, READERS_MAX)

    async def read_all(
        self,
        manifest: fleet.Manifest,
        indexes: Sequence[int],
        readings: piece_readings.PieceReadings,
        reader_count: int,
    ) -> set[int]:
        """Read pieces, `reader_count` at once; return those that are right."""
        waiting = iter(indexes)
        right: set[int] = set()
        durations: list[float] = []
        readers = [
            asyncio.create_task(self.read(manifest, waiting, readings, right, durations))
            for _ in range(reader_count)
        ]
        try:
            await asyncio.gather(*readers)
        finally:
            for reader in readers:
                reader.cancel()
        if durations:
            self.reading_s = statistics.median(durations)
        return right

    async def read(
        self,
        manifest: fleet.Manifest,
        waiting: Iterator[int],
        readings: piece_readings.PieceReadings,
        right: set[int],
        durations: list[float],
    ) -> None:
        """Read the waiting pieces one after the other; add the right ones and the durations."""
        for index in waiting:
            began_at = self.clock()
            is_right = await self.engine.read_staged_piece(manifest, index) is not None
            durations.append(self.clock() - began_at)
            readings.record(index, began_at, is_right)
            if is_right:
                right.add(index)

    def reader_count(self, count: int) -> int:
        """Return how many of `count` pieces to read at once, from the last readings' duration."""
        needed = math.ceil(count * self.reading_s / SEQUENTIAL_READ_S)
        return max(1, min(READERS_MAX, needed))
