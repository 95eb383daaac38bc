"""The bound on the bodies that an entry holds, and which requests are refused above it.

Guards against an entry over its memory, and against giving up requests that back ends work on.
"""

import asyncio
import tracemalloc

import pytest

from merlinthread.coordination import held_bytes
from merlinthread.nodes import memory_limits
from merlinthread.transport import http_messages, stream_client, stream_server
from tests import fleet_nodes, single_entry_fleet

MIB = 1024 * 1024
BODY = bytes(range(256)) * (4 * MIB // 256 - 4)


class Uploads:
    """Clients that send large bodies to an entry with `memory_bytes` of memory."""

    def __init__(self, fleet, memory_bytes: int) -> None:
        self.fleet = fleet
        self.server: stream_server.Server = fleet.entry.node.server
        self.server.held.bytes_max = memory_limits.derive(memory_bytes).total_bytes

    async def send(self, number: int) -> int:
        """Send one request and return the status of its response."""
        headers = {
            "Host": "h.example",
            "X-Merlinthread-Request-Id": f"id-{number}",
            "X-Merlinthread-Deadline-Ms": "20000",
            "Api-Key": "key-1",
            "Content-Length": str(len(BODY)),
        }
        raw_headers = [(name.encode(), value.encode()) for name, value in headers.items()]
        # The data of a client may wait long on a busy machine.
        connection = await stream_client.connect(self.fleet.entry.address, 10.0, 30.0)
        try:
            connection.send(http_messages.Request(b"POST", b"/safe/x", raw_headers, BODY))
            return (await connection.receive()).status
        finally:
            connection.close()


# The bound of a request holds for VMs of each size; what has no room is refused at once.
@pytest.mark.parametrize("memory_mib", [96, 300, 1024])
def test_bodies_of_many_clients_stay_within_the_bound(memory_mib):
    clients = memory_limits.derive(memory_mib * MIB).total_bytes // len(BODY) + 6

    async def scenario():
        async with single_entry_fleet.SingleEntryFleet(work_s=0.8) as fleet:
            body = fleet_nodes.configuration(2, ["safe"])
            body["routes"][0]["timeout_ms"] = 20_000
            fleet.entry.apply_update(body, {worker: "safe" for worker in fleet.workers})
            uploads = Uploads(fleet, memory_mib * MIB)
            tracemalloc.start()
            try:
                statuses = await asyncio.gather(
                    *(uploads.send(number) for number in range(clients))
                )
                peak = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            assert set(statuses) == {200, 503}, statuses
            # The stand-in workers of this process keep a copy of each body that they ran.
            ran = sum(len(run.body) for worker in fleet.workers for run in worker.runs)
            assert peak - ran < 0.6 * memory_mib * MIB, (peak, ran)
            await fleet_nodes.until(lambda: not uploads.server.held.byte_count)

    asyncio.run(scenario())


def test_request_without_room_is_refused_before_its_body_is_read():
    async def scenario():
        async with single_entry_fleet.SingleEntryFleet() as fleet:
            uploads = Uploads(fleet, 8 * MIB)
            host, _, port = fleet.entry.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3000000\r\n\r\n"
            )
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
            assert head.startswith(b"HTTP/1.1 503 ") and b"retry-after: 0.5" in head
            assert await reader.read() == b""
            writer.close()
            assert not fleet.workers[0].runs and not uploads.server.held.byte_count

    asyncio.run(scenario())


# Guards against clients that send or take nothing and keep others out, and against giving up
# requests that back ends work on for new ones.
def test_only_clients_who_wait_for_a_response_keep_a_new_request_out():
    now = [1.0]
    budget = held_bytes.Budget(lambda: now[0], 100)
    closed = []

    def open_holder(name: str, byte_count: int, is_waiting: bool) -> held_bytes.Holder:
        def refresh(at: float) -> None:
            holder.progress_at = at if is_waiting else 0.5

        holder = budget.open(lambda at: closed.append(name), refresh)
        holder.add(byte_count)
        return holder

    open_holder("sending", 40, False)
    open_holder("waiting", 50, True)
    assert budget.has_room(50) and not budget.has_room(51)
    assert not closed
    open_holder("new", 50, False)
    assert closed == ["new"] and budget.byte_count == 90
    open_holder("newest", 20, True)
    assert closed == ["new", "sending"] and budget.byte_count == 70
