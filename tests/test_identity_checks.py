"""Control VMs ask the process at an address which of two incarnations it is.

Guards against using an ended incarnation after a late heartbeat, and against refused requests after
a restart at the same address.
"""

import asyncio

import pytest

from merlinthread import errors
from merlinthread.coordination import fleet
from merlinthread.nodes import identity_checker
from merlinthread.platform import dialect
from merlinthread.transport import http_messages
from stand_ins import fleet_worker
from tests import fleet_nodes

FORMER, PRESENT = "i-1", "i-2"


class HealthyWorker(fleet_worker.Worker):
    """A worker that says its id in its health check, as workers of the platform do."""

    def __init__(self, instance: str) -> None:
        super().__init__(instance)
        self.checks = 0

    async def run(self, exchange) -> None:
        if exchange.request.target != b"/healthz":
            await super().run(exchange)
            return
        self.checks += 1
        headers = dict(exchange.request.headers)
        if headers[b"x-merlinthread-expect-instance"].decode() != self.instance:
            await self.refuse(exchange, 421)
            return
        instance = (b"X-Merlinthread-Instance-Id", self.instance.encode())
        await exchange.respond(http_messages.Response(200, [instance]))


async def send(controls, worker, instance: str, sequence: int) -> None:
    body = {
        "service": "s",
        "address": worker.address,
        "zone": "z",
        "slots": 4,
        "state": "ready",
        "sequence": sequence,
    }
    await controls.until_acknowledged("PUT", f"/instances/{instance}", body)


async def register(controls, worker, instance: str, sequence: int) -> None:
    """Configure the service, and let all control VMs know one incarnation."""
    await controls.until_acknowledged("PUT", "/config", fleet_nodes.configuration(1, ["s"]))
    nodes = controls.nodes.values()
    await fleet_nodes.until(lambda: all(node.member.state.version for node in nodes))
    await send(controls, worker, instance, sequence)
    await fleet_nodes.until(lambda: all(instance in node.registry.known for node in nodes))


def test_late_first_heartbeat_does_not_displace_the_process_at_the_address(tmp_path):
    async def scenario():
        async with fleet_nodes.running_controls(tmp_path) as controls:
            worker = HealthyWorker(PRESENT)
            await worker.start()
            await register(controls, worker, PRESENT, 10)
            nodes = list(controls.nodes.values())
            used = set()
            for sequence in (1, 2, 3):
                await send(controls, worker, FORMER, sequence)
                count = len(nodes) * sequence
                await fleet_nodes.until(lambda count=count: worker.checks >= count)
                used |= {name for node in nodes for name in node.registry.known}
            assert used == {PRESENT}
            worker.stop()

    asyncio.run(scenario())


def test_process_that_restarted_at_its_address_takes_its_place_at_once(tmp_path):
    async def scenario():
        async with fleet_nodes.running_controls(tmp_path) as controls:
            worker = HealthyWorker(PRESENT)
            await worker.start()
            await register(controls, worker, FORMER, 40)
            nodes = list(controls.nodes.values())
            await send(controls, worker, PRESENT, 1)
            await fleet_nodes.until(
                lambda: all(list(node.registry.known) == [PRESENT] for node in nodes), 1.0
            )
            worker.stop()

    asyncio.run(scenario())


class Results:
    """The results of checks of claimants at one worker."""

    def __init__(self, health_path: str = "/healthz") -> None:
        self.found: list[tuple[str, bool]] = []
        service = fleet.Service("s", health_path)
        self.checker = identity_checker.IdentityChecker(
            dialect.PlatformDialect(),
            lambda name: service if name == "s" else None,
            lambda heartbeat, is_sender: self.found.append((heartbeat.instance, is_sender)),
        )

    async def check(self, instance: str, address: str, service: str = "s") -> None:
        self.checker.check(
            fleet.Heartbeat(instance, service, address, "z", 4, fleet.READY, sequence=1)
        )
        await asyncio.gather(*self.checker.tasks.values())


def test_result_is_what_the_process_says():
    async def scenario():
        worker = HealthyWorker(PRESENT)
        await worker.start()
        results = Results()
        await results.check(PRESENT, worker.address)
        await results.check(FORMER, worker.address)
        assert results.found == [(PRESENT, True), (FORMER, False)]
        worker.stop()
        # Nobody says anything, or nobody can be asked.
        await results.check(PRESENT, worker.address)
        await results.check(PRESENT, worker.address, service="unknown")
        assert len(results.found) == 2 and not results.checker.tasks

    asyncio.run(scenario())


@pytest.mark.parametrize("error", [errors.UnreachableError("lost"), errors.ProtocolError("bad")])
def test_failed_check_has_no_result(error):
    async def scenario():
        results = Results()

        async def fail(*_):
            raise error

        results.checker.pool.request = fail
        await results.check(PRESENT, "127.0.0.1:1")
        assert results.found == []

    asyncio.run(scenario())


def test_number_of_checks_at_once_is_bounded():
    async def scenario():
        results = Results()

        async def wait(*_):
            await asyncio.Event().wait()

        results.checker.pool.request = wait
        for number in range(identity_checker.CHECKS_MAX + 4):
            for instance in (FORMER, PRESENT):
                results.checker.check(
                    fleet.Heartbeat(instance, "s", f"127.0.0.1:{number}", "z", 4, fleet.READY, 1)
                )
        assert len(results.checker.tasks) == identity_checker.CHECKS_MAX
        results.checker.stop()
        await asyncio.sleep(0)

    asyncio.run(scenario())
