"""Many clients send a request of the largest size that the limits allow, at once."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness2 as kit  # noqa: E402

# Of the site file: the 39 clients of zone dub-b at its share of 0.5 (`thin`), and the memory and link
# of the zone's two fronts.
ZONE, CLIENTS, MEMORY_MB, LINK_BYTES_PER_S = "dub-b", 20, 300, 125e6
BODY = b"x" * (4194304 - 1024)
PART_BYTES = 64 * 1024
WAVES, WAVE_S = 28, 2.0
WATCH_S, RESTART_S = 0.05, 0.5


def anonymous_mb(pid):
    """Return the process's resident memory in MB, without mapped files."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def watch_memory(record, node, ends, peaks):
    """Kill a process over its memory and start it again, as the platform does."""
    while True:
        await asyncio.sleep(WATCH_S)
        try:
            used = anonymous_mb(node.process.pid)
        except OSError:
            used = 0.0
        peaks[node.name] = max(peaks.get(node.name, 0.0), used)
        if used > MEMORY_MB:
            record.write(f"{node.name} uses {used:.0f} MB of {MEMORY_MB}: the platform kills it")
            ends[node.name] = ends.get(node.name, 0) + 1
            node.signal(signal.SIGKILL)
            node.process.wait()
            await asyncio.sleep(RESTART_S)
            node.start()


async def send(record, entry, number, rate):
    """Send one large request at `rate` bytes a second; return its status."""
    id_ = f"{number:016x}"
    record.write(f"client: {id_} is sent to {entry.name}")
    status = await send_body(entry, id_, rate)
    record.write(f"client: {id_} by {entry.name}: {status}")
    return status


async def send_body(entry, id_, rate):
    """Send one large request and return its status, or the name of the error."""
    head = {"Host": kit.HOST, "X-Merlinthread-Request-Id": id_,
            "X-Merlinthread-Deadline-Ms": "4000", "Api-Key": kit.KEY}  # fmt: skip
    data = kit.encode("POST /gridhall/x HTTP/1.1", head, BODY)
    writer = None
    try:
        async with asyncio.timeout(6.0):
            reader, writer = await asyncio.open_connection(entry.ip, kit.FRONT_PORT)
            for offset in range(0, len(data), PART_BYTES):
                writer.write(data[offset : offset + PART_BYTES])
                await writer.drain()
                await asyncio.sleep(PART_BYTES / rate)
            return (await kit.read_message(reader)).status
    except (OSError, EOFError, TimeoutError) as error:
        return type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()


async def case(record):
    fleet = kit.Fleet(record)
    for entry in fleet.entries:
        entry.zone = ZONE
    with fleet:
        operator = kit.Operator(fleet)
        configuration = kit.configuration(
            1, [kit.plain_route("gridhall", "unsafe")], [kit.plain_service("gridhall")]
        )
        await operator.send("PUT", "/config", configuration, 30.0)
        await kit.until_ready(fleet)
        tasks, ends, peaks = [], {}, {}
        for i, zone in enumerate(kit.ZONES):
            worker = kit.PlainWorker(record, f"{kit.NETWORK}.{21 + i}", "gridhall", zone)
            await worker.start()
            tasks.append(asyncio.create_task(worker.beat_forever(fleet.seeds)))
        for entry in fleet.entries:
            tasks.append(asyncio.create_task(watch_memory(record, entry, ends, peaks)))
        await asyncio.sleep(4.0)
        statuses, number = {}, 0
        rate = LINK_BYTES_PER_S / (CLIENTS / len(fleet.entries))
        for wave in range(WAVES):
            started_at = record.now()
            sends = []
            for client in range(CLIENTS):
                number += 1
                entry = fleet.entries[client % len(fleet.entries)]
                if kit.IS_DISTURBED:
                    sends.append(asyncio.create_task(send(record, entry, number, rate)))
                else:
                    # The same requests, one after the other.
                    sends.append(asyncio.create_task(send(record, entry, number, 1e9)))
                    await asyncio.wait(sends[-1:])
                    await asyncio.sleep(0.02)
            await asyncio.wait(sends)
            for task in sends:
                status = task.result()
                statuses[status] = statuses.get(status, 0) + 1
            record.write(f"wave {wave + 1}: answers so far {statuses}, peaks in MB "
                         f"{ {name: round(peak) for name, peak in peaks.items()} }")  # fmt: skip
            await asyncio.sleep(max(0.0, started_at + WAVE_S - record.now()))
        for task in tasks:
            task.cancel()
        record.write(f"processes that ended by themselves: {ends}")
        if sum(count >= 3 for count in ends.values()) >= 2:
            return [f"Fault: processes ended over their memory {ends} times, on "
                    f"{len(ends)} of {len(fleet.nodes())} machines"]  # fmt: skip
        return []


if __name__ == "__main__":
    kit.run_case(FOLDER, case)
