"""Reading of a back end's response to one attempt.

A reader notices that a back end is silent, and that the loaded weights version expires before the
response has begun. It counts what is held of the response for the client.
"""

import asyncio
import math
from collections.abc import Callable

import h11

from merlinthread import errors, metrics
from merlinthread.coordination import backend_health, fleet, held_bytes, response_room
from merlinthread.nodes import backend_pool, request_context, reservations
from merlinthread.transport import body_blocks, http_messages, stream_client, timeouts

# Time without data after which a back end counts as silent: before the first event and between
# events, as multiples of the route's values.
FIRST_EVENT_OBJECTIVE_FACTOR = 2.0
FIRST_EVENT_MIN_S = 0.8
GAP_FACTOR = 2.0
GAP_MIN_S = 0.6
# A longer body of unknown length gets room for this one.
UNKNOWN_LENGTH_BYTES = 4 * 1024 * 1024
# How often clients that are stalled are looked for while a response waits for room.
ROOM_CHECK_INTERVAL_S = 0.2


class VersionExpiredError(errors.UnreachableError):
    """The weights version of an attempt expired before the first event of the response."""


def never() -> float:
    """Return infinity, the time until something that does not happen."""
    return math.inf


class ResponseReader:
    """Reads the response to one attempt; `reservation` is the attempt's.

    `on_silence` is called each time the back end has sent nothing for the time after which it
    counts as silent. `holder` counts the bytes that are held for the client; those of a response
    that is read as a whole have their room in `room`.
    """

    def __init__(
        self,
        context: request_context.RequestContext,
        pool: backend_pool.BackendPool,
        reservation: reservations.Reservation,
        holder: held_bytes.Holder,
        room: response_room.ResponseRoom,
    ) -> None:
        self.context = context
        self.pool = pool
        self.clock = pool.clock
        self.reservation = reservation
        self.backend = reservation.backend
        self.holder = holder
        self.room = room
        self.on_silence: Callable[[], None] = lambda: None
        # The time of the last data before the current silence, or None.
        self.silent_since: float | None = None
        self.longest_silence_s = 0.0
        # The bytes of the response that are kept until it continues or is complete.
        self.held_bytes = 0
        # The room reserved for the whole response, and whether it is waited for.
        self.room_bytes = 0
        self.is_waiting_for_room = False

    @property
    def is_silent(self) -> bool:
        """Return whether the back end has been silent since its last data."""
        return self.silent_since is not None

    async def read_head(self, connection: stream_client.ClientConnection) -> h11.Response:
        """Return the response head, skipping informational responses."""
        event = await self.first_event(connection)
        while isinstance(event, h11.InformationalResponse):
            event = await self.first_event(connection)
        if not isinstance(event, h11.Response):
            raise errors.ProtocolError(f"{type(event).__name__} received before a response head")
        return event

    async def first_event(self, connection: stream_client.ClientConnection) -> h11.Event:
        """Return the next event before the first data of a response.

        Raises VersionExpiredError if the loaded weights version of a stream expires earlier.
        """
        if self.context.route.kind != fleet.STREAMING:
            return await connection.next_event()
        return await self.next_event(connection, self.first_event_timeout_s(), self.start_in_s)

    def start_in_s(self) -> float:
        """Return the seconds until the loaded weights version expires; infinite if it does not."""
        deadline = self.pool.start_deadline(self.backend, self.context.call.model)
        return max(0.0, deadline - self.clock())

    def first_event_timeout_s(self) -> float:
        """Return when a back end counts as silent; never if the request can't be retried."""
        if not self.context.is_idempotent():
            return math.inf
        return max(FIRST_EVENT_MIN_S, FIRST_EVENT_OBJECTIVE_FACTOR * self.context.route.objective_s)

    def event_gap_timeout_s(self) -> float:
        """Return how long after an event a back end counts as silent."""
        if not self.context.is_idempotent() or not self.context.route.gap_s:
            return self.first_event_timeout_s()
        return max(GAP_MIN_S, GAP_FACTOR * self.context.route.gap_s)

    async def next_event(
        self,
        connection: stream_client.ClientConnection,
        timeout_s: float,
        expires_in_s: Callable[[], float] = never,
    ) -> h11.Event:
        """Return the next event; report silence after each `timeout_s` seconds without one.

        Raises VersionExpiredError after `expires_in_s()` seconds.
        """
        waiting_since = self.clock()
        while True:
            # Asked again after each silence: a newer version may have been named meanwhile.
            expiry_s = expires_in_s()
            wait_s = min(timeout_s, expiry_s)
            if wait_s == math.inf:
                return await connection.next_event()
            try:
                event = await timeouts.wait_for(connection.next_event, wait_s)
            except TimeoutError:
                if expiry_s <= timeout_s:
                    raise VersionExpiredError(
                        "no response before the loaded weights version expired"
                    )
                self.record_silence(connection, waiting_since)
                continue
            if self.is_silent:
                self.end_silence("continued")
                backend_health.record_continued(self.backend, self.clock())
            return event

    def record_silence(
        self, connection: stream_client.ClientConnection, waiting_since: float
    ) -> None:
        """Record that the back end is silent, so that it gets no requests if others can serve."""
        if not self.is_silent:
            self.silent_since = waiting_since
            self.pool.connections.handle_timeout(self.backend.instance, connection)
            backend_health.record_silence(self.backend, self.clock())
        self.on_silence()

    def end_silence(self, outcome: str) -> None:
        """Record how a silence ended, for the log and the metrics."""
        assert self.silent_since is not None
        silence_s = self.clock() - self.silent_since
        self.longest_silence_s = max(self.longest_silence_s, silence_s)
        self.silent_since = None
        metrics.silences_total.labels(outcome).inc()

    async def read_body(
        self, connection: stream_client.ClientConnection, headers: http_messages.Headers
    ) -> body_blocks.BodyBlocks:
        """Return the complete body; raise ProtocolError if it is over the bound for one.

        The back end is not read while there is no room for the body.
        """
        body_bytes_max = self.pool.memory_limits.response_bytes
        connection.body_bytes_max = body_bytes_max
        value = http_messages.get_header(headers, b"content-length")
        length = None if value is None else min(int(value), body_bytes_max)
        body = body_blocks.BodyBlocks(length)
        if length is not None and length > body_blocks.BLOCK_BYTES:
            await self.reserve_room(connection, length)
        while isinstance(event := await connection.next_event(), h11.Data):
            body.add(event.data)
            if not self.room_bytes and body.size > body_blocks.BLOCK_BYTES:
                await self.reserve_room(connection, min(UNKNOWN_LENGTH_BYTES, body_bytes_max))
            self.hold(max(0, body.size - self.room_bytes))
        body.finish()
        self.return_room(max(0, self.room_bytes - body.size))
        return body

    async def reserve_room(
        self, connection: stream_client.ClientConnection, byte_count: int
    ) -> None:
        """Wait until there is room for `byte_count` bytes of the response."""
        loop = asyncio.get_running_loop()
        has_room: asyncio.Future[None] = loop.create_future()
        waiter = self.room.request(
            self.holder, byte_count, lambda: has_room.done() or has_room.set_result(None)
        )
        self.is_waiting_for_room = True
        try:
            if not has_room.done():
                connection.pause_reading()
            while not has_room.done():
                self.room.close_stalled(self.room.budget.clock())
                await asyncio.wait([has_room], timeout=ROOM_CHECK_INTERVAL_S)
            self.is_waiting_for_room = False
        finally:
            self.room.cancel(waiter)
            if has_room.done():
                self.room_bytes = byte_count
        connection.read_into_room()

    def return_room(self, byte_count: int) -> None:
        """Return some of the reserved room."""
        self.room_bytes -= byte_count
        self.holder.return_reserved(byte_count)

    def hold(self, byte_count: int) -> None:
        """Count `byte_count` bytes of the response as held for the client."""
        if byte_count != self.held_bytes:
            added, self.held_bytes = byte_count - self.held_bytes, byte_count
            self.holder.add(added)

    async def stream_event(self, connection: stream_client.ClientConnection) -> h11.Event:
        """Return the next event of a stream."""
        if not self.reservation.is_read:
            return await self.first_event(connection)
        return await self.next_event(connection, self.event_gap_timeout_s())
