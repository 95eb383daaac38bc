"""One byte of a manifest from the origin is spoilt while a model's first worker gets its weights."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import engine2 as engines  # noqa: E402
import harness2 as kit  # noqa: E402

SPOILT_PIECE = 5
# A sound agent has loaded the weights long before: without the disruption that takes 1 to 3 s.
LOAD_WAIT_S = 30.0
CALM_S = 20.0
PROMPT = {
    "X-Merlinthread-Model": engines.MODEL,
    "X-Merlinthread-Token-Usage": "200,80",
    "X-Merlinthread-Prompt-Prefix": "5c1e07a2:40,e4402b7d:160",
}


def spoil(body):
    """Replace one hexadecimal digit in the digest of one piece."""
    at = body.index(b'"digests": ["') + len(b'"digests": ["') + SPOILT_PIECE * 68 + 10
    other = b"0" if body[at : at + 1] != b"0" else b"1"
    return body[:at] + other + body[at + 1 :]


def configuration(version, origin=""):
    routes, services = [kit.plain_route("gridhall")], [kit.plain_service("gridhall")]
    if origin:
        routes.append(engines.streaming_route("hints", "hintsmith"))
        services += [
            engines.engine_service("hintsmith"),
            engines.origin_service("backoffice", origin, "dub-b"),
        ]
    return kit.configuration(version, routes, services)


async def case(record):
    with kit.Fleet(record) as fleet:
        operator = kit.Operator(fleet)
        await operator.send("PUT", "/config", configuration(1), 30.0)
        await kit.until_ready(fleet)
        plain = kit.PlainWorker(record, f"{kit.NETWORK}.21", "gridhall", "kgl-a")
        await plain.start()
        tasks = [asyncio.create_task(plain.beat_forever(fleet.seeds))]
        origin = engines.Origin(record, f"{kit.NETWORK}.41:8006")
        await origin.listen()

        # The model is added: its worker starts without weights, as later ones do.
        if kit.IS_DISTURBED:
            origin.spoil_manifest = spoil
            record.write(
                f"the origin's next answer has one spoilt byte, in the digest of piece {SPOILT_PIECE}"
            )
        await operator.send("PUT", "/config", configuration(2, origin.address))
        engine = engines.Engine(
            record, f"{kit.NETWORK}.31:8080", "hintsmith", "kgl-a", "i-7f3a91c2"
        )
        await engine.listen()
        fleet.add_agent(1, engine.address, "hintsmith").start()
        tasks.append(asyncio.create_task(engine.beat_forever(fleet.seeds)))
        until = record.now() + LOAD_WAIT_S
        while record.now() < until and not engine.is_whole():
            await asyncio.sleep(0.1)
        record.write(
            f"the worker holds {len(engine.layers)} layers, {len(engine.staged)} pieces are staged"
        )

        # Calm since the only spoilt answer; what is counted starts after contact_ms.
        await asyncio.sleep(kit.BOUNDS["contact_ms"] / 1000 + 1.0)
        counts = {"gridhall": [0, 0], "hints": [0, 0]}
        number = 0
        until = record.now() + CALM_S
        while record.now() < until:
            for service in counts:
                entry = fleet.entries[number // 2 % 2]
                number += 1
                method, extra = ("GET", None) if service == "gridhall" else ("POST", PROMPT)
                status = await kit.request(record, entry, service, f"{number:016x}", method, extra)
                counts[service][0] += 1
                counts[service][1] += status == 200
            await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        reads = origin.pieces_sent.get((1, SPOILT_PIECE), 0)
        record.write(
            f"origin: {len(origin.manifests)} manifests sent, piece {SPOILT_PIECE} sent {reads} times"
        )
        record.write(f"the worker holds {len(engine.layers)} layers, bad {engine.bad_layers()}")
        for service, (sent, served) in counts.items():
            record.write(f"{service}: {served} of {sent} requests served")
        sent, served = counts["hints"]
        if sent < 20:
            raise kit.CannotRunError("fewer than 20 requests on the route added later")
        first_rate = counts["gridhall"][1] / counts["gridhall"][0]
        if first_rate < 0.9:
            raise kit.CannotRunError("the first route is not served either")
        if served / sent < first_rate / 4:
            return [f"CONFIG: {served} of {sent} requests on the route added later are served, "
                    f"{first_rate:.0%} of those on the first route; the agent has read piece "
                    f"{SPOILT_PIECE} {reads} times and still waits for it"]  # fmt: skip
        return []


if __name__ == "__main__":
    kit.run_case(FOLDER, case)
