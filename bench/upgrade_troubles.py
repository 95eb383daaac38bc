"""What goes wrong while VMs are replaced by another build: `bench upgrade --trouble KIND ...`.

Each kind comes again and again beside the replacements, at moments that the seed draws. Requests go
on to be served: none of these ends an entry.
"""

import asyncio
import contextlib
import json
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from bench import soak, soak_nodes
from merlinthread import errors, registry
from merlinthread.transport import http_messages

EVERY_S = (1.5, 3.0)
FROZEN_S = 1.5
# The key that is taken away, and how often a client comes with it.
REVOKED_KEY = "key-2"
KEY_EVERY_S = 0.1
# Replacements go on for so long before the key is taken away.
HELD_S = 4.0

Trouble = Callable[[Any], Awaitable[None]]
TROUBLES: registry.Registry[Trouble] = registry.Registry("upgrade trouble")


def leading(nodes: list[soak_nodes.Node]) -> soak_nodes.Node:
    """Return the control VM that leads, by what the control VMs' logs told last."""
    controls = [node for node in nodes if node.role == "control"]
    _, member = max(last_leader(node) for node in controls)
    return next(node for node in controls if node.ip in member)


def last_leader(node: soak_nodes.Node) -> tuple[str, str]:
    """Return when a node last told of a leader, and that member's name, which holds its IP."""
    for line in reversed((node.folder / f"{node.name}.log").read_text().splitlines()):
        with contextlib.suppress(ValueError):
            event = json.loads(line)
            if event.get("event") == "leader" and event["leader"]:
                return event["at"], event["leader"]
    return "", node.ip


@TROUBLES.add("kill-leader")
async def kill_leader(upgrade: Any) -> None:
    """Kill the control VM that leads; the platform starts it again with the build that it had."""
    while True:
        await asyncio.sleep(upgrade.rng.uniform(*EVERY_S))
        node = leading(upgrade.fleet.nodes)
        async with upgrade.changing(node):
            node.signal(signal.SIGKILL)
            await asyncio.to_thread(node.process.wait)
            node.start()
            await upgrade.fleet.until_up(node)


@TROUBLES.add("freeze")
async def freeze(upgrade: Any) -> None:
    """Let a control VM stand still for a while: for the others it is cut off."""
    while True:
        await asyncio.sleep(upgrade.rng.uniform(*EVERY_S))
        controls = [node for node in upgrade.fleet.nodes if node.role == "control"]
        node = upgrade.rng.choice(controls)
        async with upgrade.changing(node):
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(FROZEN_S)
            node.signal(signal.SIGCONT)


@TROUBLES.add("revoke")
async def revoke(upgrade: Any) -> None:
    """Take a key away while a client uses it; it must not be served again, whatever comes back."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while True:
        await asyncio.sleep(KEY_EVERY_S)
        if loop.time() >= began + HELD_S:
            upgrade.revoked_from = min(upgrade.revoked_from, upgrade.version + 1)
        due_at = loop.time() - soak.APPLY_S
        is_revoked = any(
            at <= due_at and version >= upgrade.revoked_from for at, version in upgrade.acknowledged
        )
        status = await ask_with_key(upgrade)
        if status is not None:
            upgrade.key_answers[is_revoked][status] += 1
        if is_revoked and status == 200:
            upgrade.break_rule("a key that was taken away was served")


async def ask_with_key(upgrade: Any) -> int | None:
    """Send one request with the key; return the answer's status, None if there is none."""
    upgrade.requests += 1
    entry_ip = upgrade.pick_entry()
    request_id = f"k{upgrade.requests}"
    upgrade.words.note_sent(request_id, entry_ip)
    headers = [
        (b"Host", b"h.example"),
        (b"X-Merlinthread-Request-Id", request_id.encode()),
        (b"X-Merlinthread-Deadline-Ms", b"2500"),
        (b"Api-Key", REVOKED_KEY.encode()),
        (b"content-length", b"0"),
    ]
    request = http_messages.Request(b"POST", b"/safe/", headers)
    try:
        answer = await upgrade.fleet.pool.request(f"{entry_ip}:{soak_nodes.FRONT}", request, 4.0)
    except errors.MerlinthreadError:
        return None
    return answer.status
