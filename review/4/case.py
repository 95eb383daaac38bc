"""A slow worker takes an order for weights after its caller has given it up and has staged the next
version."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import engine2 as engines  # noqa: E402
import harness2 as kit  # noqa: E402

WORKERS = 6
# The dose of `srv_slow` in the site file: a share of 0.16, 5 times as long, for 6.5 s.
SLOW_X, SLOW_FOR_S = 5.0, 6.5
# The streams of the sheet: 76 a second.
TRAFFIC_PAUSE_S = 0.013
# The next version is named this long after the slow worker has got the order for the first one.
NEXT_VERSION_AFTER_S = 0.4
PROMPT = {
    "X-Merlinthread-Model": engines.MODEL,
    "X-Merlinthread-Token-Usage": "200,80",
    "X-Merlinthread-Prompt-Prefix": "5c1e07a2:40,e4402b7d:160",
    "X-Merlinthread-Deadline-Ms": "6000",
}


async def case(record):
    with kit.Fleet(record) as fleet:
        operator = kit.Operator(fleet)
        origin = engines.Origin(record, f"{kit.NETWORK}.41:8006")
        await origin.listen()
        configuration = kit.configuration(
            1,
            [engines.streaming_route("hints", "hintsmith")],
            [
                engines.engine_service("hintsmith"),
                engines.origin_service("backoffice", origin.address, "dub-b"),
            ],
        )
        await operator.send("PUT", "/config", configuration, 30.0)
        await kit.until_ready(fleet)
        zones, workers, tasks = list(kit.ZONES), [], []
        for i in range(WORKERS):
            worker = engines.Engine(
                record, f"{kit.NETWORK}.{31 + i}:8080", "hintsmith", zones[i % 3], f"i-{i}"
            )
            worker.hold_from_start(1)
            await worker.listen()
            fleet.add_agent(i, worker.address, "hintsmith", worker.zone).start()
            tasks.append(asyncio.create_task(worker.beat_forever(fleet.seeds)))
            workers.append(worker)
        await asyncio.sleep(5.0)

        statuses = {}

        async def send(number):
            entry = fleet.entries[number % 2]
            id_ = f"{number:016x}"
            status = await kit.request(record, entry, "hints", id_, "POST", PROMPT)
            statuses[status] = statuses.get(status, 0) + 1

        async def traffic():
            for number in range(1, 100_000):
                tasks.append(asyncio.create_task(send(number)))
                await asyncio.sleep(TRAFFIC_PAUSE_S)

        tasks.append(asyncio.create_task(traffic()))
        await asyncio.sleep(2.0)
        slow = workers[int(FIRST)]
        if kit.IS_DISTURBED:
            slow.slow_x = SLOW_X
            record.write(f"{slow.instance} turns slow: all takes {SLOW_X:g} times as long")
        slow_since = record.now()
        for version in (2, 3):
            origin.newest = version
            body = {"model": engines.MODEL, "version": version}
            await operator.send("POST", "/version-put", body)
            while version == 2 and not slow.orders and record.now() < slow_since + SLOW_FOR_S:
                await asyncio.sleep(0.05)
            await asyncio.sleep(NEXT_VERSION_AFTER_S)
        await asyncio.sleep(max(0.0, slow_since + SLOW_FOR_S - record.now()))
        slow.slow_x = 1.0
        record.write(f"{slow.instance} is as fast as before")
        await asyncio.sleep(10.0)
        for task in tasks:
            task.cancel()
        record.write(f"answers to clients: {statuses}")
        for worker in workers:
            record.write(
                f"{worker.instance}: version {worker.version()}, ran {len(worker.runs)} requests, "
                f"{len(worker.bad_tokens)} of them on wrong pieces, rejected {len(worker.rejected)}"
            )
        if any(worker.version() != 3 for worker in workers):
            record.write("not every worker holds version 3 at the end")
        if statuses.get(200, 0) < 100:
            raise kit.CannotRunError("fewer than 100 requests were served")
        bad = [id_ for worker in workers for id_ in worker.bad_tokens]
        if bad:
            return [
                f"WHOLE: {len(bad)} requests got tokens of layers that took pieces of another version"
            ]
        return []


if __name__ == "__main__":
    FIRST = sys.argv[1] if len(sys.argv) > 1 else "0"
    kit.run_case(FOLDER, case)
