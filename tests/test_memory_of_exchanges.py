"""Requests and their bodies are freed when their exchange ends, without a garbage collection.

Guards against an entry that is killed over its memory although it holds few requests: what refers
to itself is freed only by a full collection, which may come many requests later.
"""

import asyncio
import collections
import gc
import types

import pytest

from merlinthread import errors
from merlinthread.nodes import attempts, request_context, request_task
from merlinthread.protocol import piece_messages
from merlinthread.transport import (
    connection_pool,
    http_messages,
    node_bus,
    stream_client,
    stream_server,
)
from tests import fleet_nodes, single_entry_fleet

BODY = bytes(200_000)
EXCHANGES = 6
# A connection that is kept for further requests has one object at each end.
KEPT_OBJECTS_MAX = 4
COUNTED = (
    request_task.RequestTask,
    request_context.RequestContext,
    attempts.Attempt,
    stream_server.Exchange,
    stream_server.ServerConnection,
    stream_client.ClientConnection,
    http_messages.Request,
    http_messages.Response,
    asyncio.Task,
    types.TracebackType,
    types.FrameType,
)


def count_objects() -> collections.Counter:
    """Return the number of objects of each counted type."""
    return collections.Counter(
        type(each).__name__ for each in gc.get_objects() if isinstance(each, COUNTED)
    )


async def request(fleet, **headers) -> None:
    """Send a request; its response may be incomplete."""
    try:
        await fleet.request(BODY, **headers)
    except errors.MerlinthreadError:
        pass


async def request_in_time(fleet) -> None:
    await request(fleet, X_Merlinthread_Deadline_Ms="150")


async def leave(fleet) -> None:
    """Send a request and close the connection while a back end works on it."""
    runs = sum(len(worker.runs) for worker in fleet.workers)
    connection = await send(fleet)
    await fleet_nodes.until(lambda: sum(len(worker.runs) for worker in fleet.workers) > runs)
    connection.close()


async def send(fleet) -> stream_client.ClientConnection:
    fleet.request_count += 1
    headers = single_entry_fleet.STREAM if fleet.model else {}
    return await fleet.entry.send(
        f"/{fleet.service}/x", f"id-{fleet.request_count}", BODY, **headers
    )


async def send_raw(fleet, data: bytes) -> None:
    """Send bytes to the entry and read until it closes the connection, or for a moment."""
    host, _, port = fleet.entry.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        await asyncio.wait_for(reader.read(), 0.1)
    except (TimeoutError, OSError):
        pass
    writer.transport.abort()


async def send_malformed(fleet) -> None:
    await send_raw(fleet, b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nbad header\r\n\r\n")


async def leave_inside_body(fleet) -> None:
    head = b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 200000\r\n\r\n"
    await send_raw(fleet, head + BODY[:-1000])


async def shed(fleet) -> None:
    """Send a request and let the entry close the connection, as above its bound."""
    connections = set(fleet.entry.node.server.connections)
    connection = await send(fleet)
    server = fleet.entry.node.server
    await fleet_nodes.until(lambda: server.connections - connections)
    for each in server.connections - connections:
        each.shed("memory", fleet.now())
    connection.close()


ENDS = {
    "answered": (request, "safe", {}),
    "streamed": (request, "model", {}),
    "failed": (request, "safe", {"status": 500}),
    "refused by all back ends": (request, "safe", {"is_full": True}),
    "closed by back ends": (request, "safe", {"closes_without_response": True}),
    "stream cut off": (request_in_time, "model", {"cut_after_events": 2}),
    "without length": (request, "safe", {"lacks_length": True}),
    "deadline": (request_in_time, "safe", {"never_responds": True}),
    "hedged, deadline": (request_in_time, "model", {"never_responds": True}),
    "client left": (leave, "safe", {"work_s": 0.3}),
    "client of a stream left": (leave, "model", {"gap_s": 0.1}),
    "malformed request": (send_malformed, "safe", {}),
    "client left inside its body": (leave_inside_body, "safe", {}),
    "shed": (shed, "safe", {"work_s": 0.3}),
}


async def check_freed(end, fleet) -> None:
    """Check that repeated exchanges that end the same way leave no objects behind."""
    await end(fleet)
    await asyncio.sleep(0.1)
    gc.collect()
    gc.disable()
    try:
        before = count_objects()
        for _ in range(EXCHANGES):
            await end(fleet)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + 3.0
        while (left := count_objects() - before).total() > KEPT_OBJECTS_MAX:
            assert loop.time() < deadline, dict(left)
            await asyncio.sleep(0.05)
    finally:
        gc.enable()


@pytest.mark.parametrize("name", ENDS)
def test_ended_exchange_is_freed_without_a_collection(name):
    async def scenario():
        end, service, behaviour = ENDS[name]
        async with single_entry_fleet.SingleEntryFleet(service) as fleet:
            fleet.set_behaviour(**behaviour)
            await check_freed(end, fleet)

    asyncio.run(scenario())


def test_request_without_a_route_is_freed_without_a_collection():
    async def scenario():
        async with single_entry_fleet.SingleEntryFleet() as fleet:
            fleet.service = "unknown"
            await check_freed(request, fleet)

    asyncio.run(scenario())


def test_request_that_reaches_no_back_end_is_freed_without_a_collection():
    async def scenario():
        async with single_entry_fleet.SingleEntryFleet() as fleet:
            for worker in fleet.workers:
                worker.stop()
            await check_freed(request_in_time, fleet)

    asyncio.run(scenario())


# Nodes send each other pieces, snapshots and configurations in this way.
@pytest.mark.parametrize("end", ["answered", "error", "no reply"])
def test_call_between_nodes_is_freed_without_a_collection(end):
    async def handle(message):
        if end == "error":
            raise errors.WeightsError("no such piece")
        if end == "no reply":
            await asyncio.Event().wait()
        return piece_messages.PieceReply(0, BODY, b"")

    async def scenario():
        codec = fleet_nodes.make_codec()
        server = node_bus.RpcServer(codec, handle)
        port = fleet_nodes.free_port()
        await server.listen("127.0.0.1", port)
        client = node_bus.RpcClient(codec)
        message = piece_messages.PieceRequest("m", 1, BODY)

        async def call(fleet):
            try:
                await client.call(f"127.0.0.1:{port}", message, 0.2)
            except errors.MerlinthreadError:
                pass

        await check_freed(call, None)

    asyncio.run(scenario())


# Agents and control VMs call engines, the origin and back ends in this way.
@pytest.mark.parametrize("behaviour", [{}, {"closes_without_response": True}, {"status": 500}])
def test_call_of_a_pool_is_freed_without_a_collection(behaviour):
    async def scenario():
        async with single_entry_fleet.SingleEntryFleet() as fleet:
            fleet.set_behaviour(**behaviour)
            pool = connection_pool.ConnectionPool(2.0, 0.5, 2.0)
            headers = [(b"host", b"h"), (b"content-length", b"%d" % len(BODY))]

            async def call(fleet):
                message = http_messages.Request(b"PUT", b"/x", headers, BODY)
                try:
                    await pool.request(fleet.workers[0].address, message, 1.0)
                except errors.MerlinthreadError:
                    pass

            await check_freed(call, fleet)

    asyncio.run(scenario())
