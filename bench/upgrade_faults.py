"""Faults during a rolling upgrade, for `bench upgrade --trouble KIND ...`.

Each kind is injected repeatedly, at random times that the seed determines. No kind stops an entry,
so requests must still succeed.
"""

import asyncio
import contextlib
import json
import math
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from bench import soak, soak_evacuations, soak_nodes, soak_placement
from merlinthread import errors, registry
from merlinthread.transport import http_messages

FAULT_INTERVAL_S = (1.5, 3.0)
SUSPENDED_S = 1.5
# The key that is revoked, and the interval between requests with it.
REVOKED_KEY = "key-2"
KEY_INTERVAL_S = 0.1
# How long after the start of the upgrade the key is revoked.
REVOKE_AFTER_S = 4.0

Fault = Callable[[Any], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("upgrade trouble")


def find_leader(nodes: list[soak_nodes.Node]) -> soak_nodes.Node:
    """Return the leader according to the latest log event of any control VM."""
    controls = [node for node in nodes if node.role == "control"]
    _, member = max(last_leader_event(node) for node in controls)
    return next(node for node in controls if node.ip in member)


def last_leader_event(node: soak_nodes.Node) -> tuple[str, str]:
    """Return the time and the leader in the last `leader` event of a node's log.

    The leader's member name contains its IP. Without such an event, the time is empty and the
    node itself is taken as the leader.
    """
    for line in reversed((node.folder / f"{node.name}.log").read_text().splitlines()):
        with contextlib.suppress(ValueError):
            event = json.loads(line)
            if event.get("event") == "leader" and event["leader"]:
                return event["at"], event["leader"]
    return "", node.ip


@FAULTS.add("kill-leader")
async def kill_leader(upgrade: Any) -> None:
    """Kill the leader repeatedly; it is restarted with the same build."""
    while True:
        await asyncio.sleep(upgrade.rng.uniform(*FAULT_INTERVAL_S))
        node = find_leader(upgrade.fleet.nodes)
        async with upgrade.locked(node):
            node.signal(signal.SIGKILL)
            await asyncio.to_thread(node.process.wait)
            node.start()
            await upgrade.fleet.wait_until_responding(node)


@FAULTS.add("freeze")
async def suspend(upgrade: Any) -> None:
    """Suspend a control VM repeatedly; to the others it appears partitioned."""
    while True:
        await asyncio.sleep(upgrade.rng.uniform(*FAULT_INTERVAL_S))
        controls = [node for node in upgrade.fleet.nodes if node.role == "control"]
        node = upgrade.rng.choice(controls)
        async with upgrade.locked(node):
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(SUSPENDED_S)
            node.signal(signal.SIGCONT)


@FAULTS.add("revoke")
async def revoke(upgrade: Any) -> None:
    """Revoke a key while a client uses it, and check that it is not accepted again."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while True:
        await asyncio.sleep(KEY_INTERVAL_S)
        if loop.time() >= started_at + REVOKE_AFTER_S:
            upgrade.revoked_from = min(upgrade.revoked_from, upgrade.version + 1)
        due_at = loop.time() - soak.APPLY_MAX_S
        is_revoked = any(
            at <= due_at and version >= upgrade.revoked_from for at, version in upgrade.acknowledged
        )
        status = await send_with_key(upgrade)
        if status is not None:
            upgrade.key_answers[is_revoked][status] += 1
        if is_revoked and status == 200:
            upgrade.record_violation("a revoked key was accepted")


@FAULTS.add("evacuations")
async def evacuate_zones(upgrade: Any) -> None:
    """Evacuate one zone after another, and read the evacuated zones.

    The calls are refused while a control VM may be replaced by a build that can't read them. An
    evacuation is withdrawn only after the last upgrade of an entry: an old build's entry gets the
    back ends of the zone back only when it restarts.
    """
    reads = asyncio.create_task(upgrade.zone_operator.run_reads())
    try:
        while True:
            zone = upgrade.rng.choice(soak_placement.CHANGING_ZONES)
            evacuation = await upgrade.zone_operator.evacuate(zone, math.inf)
            if not upgrade.is_upgraded("control"):
                upgrade.record_violation(f"the evacuation of {zone} was acknowledged too early")
            await asyncio.sleep(upgrade.rng.uniform(*soak_placement.HOLD_S))
            while not upgrade.is_upgraded("entry"):
                await asyncio.sleep(0.1)
            await upgrade.zone_operator.withdraw(evacuation)
            await asyncio.sleep(upgrade.rng.uniform(*FAULT_INTERVAL_S))
    finally:
        reads.cancel()


async def repeat_evacuations(upgrade: Any) -> None:
    """Evacuate zones when a run with an upgrade did, so that the workers' capacity is the same."""
    loop = asyncio.get_running_loop()
    for zone, since_s, until_s in upgrade.plan.evacuations:
        await asyncio.sleep(upgrade.load_began_at + since_s - loop.time())
        evacuation = await upgrade.zone_operator.evacuate(zone, soak_evacuations.EVACUATE_S)
        await asyncio.sleep(upgrade.load_began_at + until_s - loop.time())
        await upgrade.zone_operator.withdraw(evacuation)


async def send_with_key(upgrade: Any) -> int | None:
    """Send a request with the key; return the status of the response, or None if it fails."""
    upgrade.request_count += 1
    entry_ip = upgrade.pick_entry()
    request_id = f"k{upgrade.request_count}"
    upgrade.signal_checker.record_request(request_id, entry_ip)
    headers = [
        (b"Host", b"h.example"),
        (b"X-Merlinthread-Request-Id", request_id.encode()),
        (b"X-Merlinthread-Deadline-Ms", b"2500"),
        (b"Api-Key", REVOKED_KEY.encode()),
        (b"content-length", b"0"),
    ]
    request = http_messages.Request(b"POST", b"/safe/", headers)
    try:
        response = await upgrade.fleet.pool.request(
            f"{entry_ip}:{soak_nodes.FRONT_PORT}", request, 4.0
        )
    except errors.MerlinthreadError:
        return None
    return response.status
