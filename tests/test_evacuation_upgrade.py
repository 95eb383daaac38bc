"""Evacuations and overload while part of the VMs run the released build.

Guards against entries of the log that the old build can't read, against changes that a group of two
builds no longer accepts, and against an old entry that sends requests to an evacuated zone.
"""

import asyncio
import contextlib
import json
import signal

import pytest

from bench import (
    soak_evacuations,
    soak_nodes,
    soak_signals,
    upgrade,
    upgrade_builds,
    upgrade_overload,
    upgrade_run,
)
from merlinthread.transport import connection_pool, http_messages
from stand_ins import fleet_worker

WORKER_IP = f"{soak_nodes.NETWORK}.31"
OLD_CONTROL_IP = soak_nodes.CONTROL_IPS[2]
OLD_ENTRY_IP, NEW_ENTRY_IP = soak_nodes.ENTRY_IPS
TIMEOUT_S = 25.0


class MixedFleet:
    """Three control VMs and two entries, one of each running the old build, and one worker."""

    def __init__(self, folder, old) -> None:
        ips = list(soak_nodes.CONTROL_IPS)
        self.nodes = {
            ip: soak_nodes.Node(folder, f"{role}-{ip}", role, ip, ips)
            for role, role_ips in (("control", ips), ("entry", soak_nodes.ENTRY_IPS))
            for ip in role_ips
        }
        for ip in (OLD_CONTROL_IP, OLD_ENTRY_IP):
            self.nodes[ip].source = old
        self.pool = connection_pool.ConnectionPool(1.0, 1.0, 2.0)
        self.worker = fleet_worker.Worker("i-1")
        self.sequence = 0

    async def start(self) -> None:
        """Start the nodes and the worker, and put a configuration in force.

        The old control VM starts last. A group that it created would accept evacuations only ten
        minutes after its upgrade.
        """
        await self.worker.start(WORKER_IP)
        for ip, node in self.nodes.items():
            if ip != OLD_CONTROL_IP:
                node.start()
        configuration = soak_nodes.make_configuration(1)
        await self.until_status(200, "PUT", "/config", configuration)
        self.nodes[OLD_CONTROL_IP].start()
        await self.until_status(200, "PUT", "/config", configuration, ips=(OLD_CONTROL_IP,))

    async def call(self, ip: str, method: str, path: str, body=None) -> http_messages.Response:
        """Send a call to a control VM, or a client's request to an entry."""
        data = json.dumps(body).encode() if body is not None else b""
        headers = [
            (b"host", b"h.example"),
            (b"content-length", b"%d" % len(data)),
            (b"x-merlinthread-request-id", b"id"),
            (b"api-key", b"key-1"),
        ]
        port = soak_nodes.FRONT_PORT if ip in soak_nodes.ENTRY_IPS else soak_nodes.CONTROL_PORT
        request = http_messages.Request(method.encode(), path.encode(), headers, data)
        return await self.pool.request(f"{ip}:{port}", request, 3.0)

    async def until_status(
        self, status: int, method: str, path: str, body=None, ips=soak_nodes.CONTROL_IPS
    ) -> http_messages.Response:
        """Repeat a call, to each VM in turn, until one answers with `status`."""
        seen = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    for ip in ips:
                        with contextlib.suppress(Exception):
                            response = await self.call(ip, method, path, body)
                            if response.status == status:
                                return response
                            seen.append((ip, response.status, response.body[:200]))
                    await asyncio.sleep(0.1)
        raise AssertionError(f"{method} {path} never got {status}: {seen[-4:]}")

    async def send_heartbeats(self) -> None:
        """Send heartbeats of the worker until cancelled."""
        while True:
            self.sequence += 1
            body = {
                "service": "safe",
                "address": self.worker.address,
                "zone": "zone-a",
                "slots": 4,
                "state": "ready",
                "sequence": self.sequence,
            }
            for ip in soak_nodes.CONTROL_IPS:
                with contextlib.suppress(Exception):
                    await self.call(ip, "PUT", "/instances/i-1", body)
            await asyncio.sleep(0.3)

    async def restart_with_new_build(self, ip: str) -> None:
        """Stop a node as planned and start it with this build."""
        node = self.nodes[ip]
        node.signal(signal.SIGTERM)
        assert node.process is not None
        await asyncio.to_thread(node.process.wait, 15)
        node.source = soak_nodes.ROOT / "src"
        node.start()

    async def serve(self, ip: str) -> None:
        """Wait until an entry serves a request."""
        await self.until_status(200, "POST", "/safe/x", ips=(ip,))

    def kill(self) -> None:
        """Kill all processes of the nodes."""
        for node in self.nodes.values():
            node.signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()


async def run_upgrade(fleet: MixedFleet) -> None:
    await fleet.start()
    heartbeats = asyncio.create_task(fleet.send_heartbeats())
    for ip in soak_nodes.ENTRY_IPS:
        await fleet.serve(ip)
    # No control VM accepts an evacuation, and all other changes are accepted.
    for _ in range(3):
        for ip in soak_nodes.CONTROL_IPS:
            response = await fleet.call(ip, "POST", "/evacuations/zone-a")
            assert response.status in (404, 503), (ip, response)
    refused = await fleet.until_status(503, "POST", "/evacuations/zone-a")
    assert b"level 3" in refused.body or b"newer" in refused.body, refused.body
    await fleet.until_status(200, "PUT", "/config", soak_nodes.make_configuration(2))
    await fleet.restart_with_new_build(OLD_CONTROL_IP)
    await fleet.until_status(200, "POST", "/evacuations/zone-a")
    await fleet.until_status(503, "POST", "/safe/x", ips=(OLD_ENTRY_IP,))
    await fleet.until_status(503, "POST", "/safe/x", ips=(NEW_ENTRY_IP,))
    runs = len(fleet.worker.runs)
    for _ in range(10):
        for ip in soak_nodes.ENTRY_IPS:
            assert (await fleet.call(ip, "POST", "/safe/x")).status == 503
    assert len(fleet.worker.runs) == runs
    await fleet.until_status(200, "DELETE", "/evacuations/zone-a")
    await fleet.serve(NEW_ENTRY_IP)
    # In the old build, draining is final until the process ends.
    assert (await fleet.call(OLD_ENTRY_IP, "POST", "/safe/x")).status == 503
    await fleet.restart_with_new_build(OLD_ENTRY_IP)
    await fleet.serve(OLD_ENTRY_IP)
    assert all(node.process.poll() is None for node in fleet.nodes.values())
    heartbeats.cancel()


@pytest.mark.timed
def test_evacuation_during_a_rolling_upgrade(tmp_path):
    try:
        with upgrade_builds.checkout_build(upgrade_builds.RELEASED_COMMITS[0]) as old:
            fleet = MixedFleet(tmp_path, old)
            try:
                asyncio.run(run_upgrade(fleet))
            finally:
                fleet.kill()
    except upgrade_builds.MissingCommitError as error:
        print(f"not run: {error}")
        pytest.skip(str(error))


# Guards against an upgrade in which evacuations are lost or not obeyed while entries and agents of
# both builds refuse part of the requests.
@pytest.mark.timed
def test_evacuations_are_obeyed_during_a_rolling_upgrade_in_an_overload(tmp_path):
    plan = upgrade_run.Plan("forward", "controls", 1, troubles=("evacuations",), is_overloaded=True)
    try:
        with upgrade_builds.checkout_build(upgrade_builds.RELEASED_COMMITS[0]) as old:
            result = upgrade.run(plan, old, tmp_path)
    except upgrade_builds.MissingCommitError as error:
        print(f"not run: {error}")
        pytest.skip(str(error))
    assert upgrade.find_violations(result, 0.0) == [], f"logs are in {tmp_path}"
    assert result.calls_refused > 0 and len(result.evacuations) > 0
    assert result.old_entry_requests == 0
    assert result.answered > 500 and result.refused > 500


# Guards against an upgrade in an overload that passes since other runs refuse many requests too.
def test_served_requests_are_compared_in_an_overload():
    plan = upgrade_run.Plan("forward", "controls", 1, is_overloaded=True)
    result = upgrade_run.UpgradeResult(plan, asked=2000, answered=989, refused=1011)
    assert upgrade.find_violations(result, 0.0, 1000) == ["989 served, without upgrade 1000"]
    result.answered = 990
    assert upgrade.find_violations(result, 0.9, 1000) == []


class SignalCheckerFake:
    """The entries that requests were sent to; every entry was started shortly before."""

    def __init__(self, entry_ips) -> None:
        self.sent = {
            request_id: soak_signals.SentRequest(ip, 0.0) for request_id, ip in entry_ips.items()
        }

    def is_undisturbed(self, entry_ip, since, until) -> bool:
        return False


# Guards against requests of an entry to an evacuated zone that are excused by its upgrade.
def test_restarted_entry_is_bound_by_earlier_evacuations():
    requests = SignalCheckerFake({"r1": NEW_ENTRY_IP, "r2": OLD_ENTRY_IP, "r3": NEW_ENTRY_IP})
    worker = fleet_worker.Worker("i-1")
    worker.runs = [
        fleet_worker.Run(request_id, {}, b"", "/", "i-1", at)
        for request_id, at in (("r1", 12.0), ("r2", 12.0), ("r3", 1.0))
    ]
    checker = soak_evacuations.EvacuationChecker(requests, lambda ip, at: ip == NEW_ENTRY_IP)
    checker.evacuations.append(soak_evacuations.Evacuation("zone-a", 0.0, 0.5))
    (found,) = checker.violations([worker])
    assert found.startswith(f"r1 of {NEW_ENTRY_IP} reached i-1 in zone-a 11.50 s after")
    assert soak_evacuations.EvacuationChecker(requests).violations([worker]) == []


async def use_slots() -> tuple[list[str], list[int]]:
    """Return the order in which a worker served requests, and the statuses of all responses."""
    worker = upgrade_overload.SlotWorker("i-1", "", "zone-a")
    pool = connection_pool.ConnectionPool(1.0, 1.0, 2.0)
    address = await worker.start()
    served = []

    async def send(request_id: str, urgency: int) -> int:
        headers = [
            (b"host", b"h"),
            (b"content-length", b"0"),
            (b"x-merlinthread-request-id", request_id.encode()),
            (b"x-merlinthread-request-priority", b"%d" % urgency),
        ]
        request = http_messages.Request(b"POST", b"/", headers)
        response = await pool.request(address, request, 5.0)
        if response.status == 200:
            served.append(request_id)
        return response.status

    tasks = []
    places = upgrade_overload.SLOTS + upgrade_overload.WAITING_MAX
    for number in range(places):
        urgency = 0 if number == places - 1 else 1
        tasks.append(asyncio.create_task(send(f"r{number}", urgency)))
        while len(worker.runs) <= number:
            await asyncio.sleep(0.001)
    # Its client leaves, so that its place is free again.
    tasks.pop(upgrade_overload.SLOTS).cancel()
    while worker.running == places:
        await asyncio.sleep(0.001)
    tasks += [asyncio.create_task(send(f"late-{number}", 1)) for number in (1, 2)]
    statuses = await asyncio.gather(*tasks)
    worker.stop()
    assert worker.free_slots == upgrade_overload.SLOTS
    return served, statuses


# Guards against a load that overloads nothing, or whose slots are lost with the clients that leave.
def test_worker_with_slots_queues_by_urgency_and_refuses_the_rest():
    served, statuses = asyncio.run(use_slots())
    urgent = f"r{upgrade_overload.SLOTS + upgrade_overload.WAITING_MAX - 1}"
    assert urgent in served[: 2 * upgrade_overload.SLOTS]
    assert sorted(statuses) == [200] * (len(statuses) - 1) + [503]
