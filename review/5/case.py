"""A worker's first heartbeat, held up by a cut, arrives after its sender has crashed and the next
incarnation has registered at the same address."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness2 as kit  # noqa: E402

CALM_S = 20.0


class HeldLink:
    """An open connection whose bytes the cut holds until it heals and they are sent again."""

    async def open(self, address):
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def deliver(self, data):
        self.writer.write(data)


def configuration(version, services):
    return kit.configuration(
        version,
        [kit.plain_route(name) for name in services],
        [kit.plain_service(name) for name in services],
    )


async def case(record):
    with kit.Fleet(record) as fleet:
        operator = kit.Operator(fleet)
        await operator.send("PUT", "/config", configuration(1, ["gridhall"]), 30.0)
        await kit.until_ready(fleet)
        zones = list(kit.ZONES)
        first = [
            kit.PlainWorker(record, f"{kit.NETWORK}.{21 + i}", "gridhall", zones[i % 3])
            for i in range(4)
        ]
        tasks = []
        for worker in first:
            await worker.start()
            tasks.append(asyncio.create_task(worker.beat_forever(fleet.seeds)))
        await operator.send("PUT", "/config", configuration(2, ["gridhall", "backoffice"]))

        # The fifth worker starts. Its machine is cut off from control while its first heartbeat is
        # on its way, and it crashes behind the cut.
        worker = kit.PlainWorker(record, f"{kit.NETWORK}.31", "backoffice", zones[1])
        await worker.start()
        link = HeldLink()
        await link.open(fleet.seeds[0])
        path, body = worker.heartbeat()
        late = kit.encode(f"PUT {path} HTTP/1.1", {"Host": fleet.seeds[0],
                          "Content-Type": "application/json"}, json.dumps(body).encode())  # fmt: skip
        if kit.IS_DISTURBED:
            record.write(
                f"the cut begins; it holds heartbeat {body['sequence']} of {worker.instance}"
            )
        else:
            link.deliver(late)
            record.write(f"heartbeat {body['sequence']} of {worker.instance} is sent")
        await asyncio.sleep(1.0)
        worker.crash()
        await asyncio.sleep(1.0)
        await worker.start()
        await asyncio.sleep(0.5)
        record.write("the cut heals" if kit.IS_DISTURBED else "no cut")
        tasks.append(asyncio.create_task(worker.beat_forever(fleet.seeds)))
        await asyncio.sleep(0.4)
        if worker.beats < 1:
            raise kit.CannotRunError("the new incarnation was not acknowledged")
        if kit.IS_DISTURBED:
            link.deliver(late)
            record.write("the bytes that the cut held arrive")

        # Calm from here on; what is counted starts after contact_ms.
        await asyncio.sleep(kit.BOUNDS["contact_ms"] / 1000 + 1.0)
        beats_before = worker.beats
        counts = {"gridhall": [0, 0], "backoffice": [0, 0]}
        number = 0
        until = record.now() + CALM_S
        while record.now() < until:
            for service in counts:
                entry = fleet.entries[number % 2]
                number += 1
                status = await kit.request(record, entry, service, f"{number:016x}")
                counts[service][0] += 1
                counts[service][1] += status == 200
            await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        record.write(
            f"{worker.instance} sent {worker.beats - beats_before} acknowledged heartbeats meanwhile, "
            f"ran {len(worker.runs)} requests and rejected {len(worker.rejected)}"
        )
        for service, (sent, served) in counts.items():
            record.write(f"{service}: {served} of {sent} requests served")
        sent, served = counts["backoffice"]
        if sent < 20:
            raise kit.CannotRunError("fewer than 20 requests on the route added later")
        first_rate = counts["gridhall"][1] / counts["gridhall"][0]
        if first_rate < 0.9:
            raise kit.CannotRunError("the first route is not served either")
        if served / sent < first_rate / 4:
            return [f"CONFIG: {served} of {sent} requests on the route added later are served, "
                    f"{first_rate:.0%} of those on the first route"]  # fmt: skip
        return []


if __name__ == "__main__":
    kit.run_case(FOLDER, case)
