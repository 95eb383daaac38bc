"""Back ends that signal in their responses that they are leaving.

Guards against requests to leaving back ends, and against departures that an entry misses.
"""

import asyncio
import dataclasses

from merlinthread.coordination import fleet, instances
from stand_ins import fleet_worker
from tests import crashing_fleet, fleet_nodes, single_entry_fleet

REQUESTS = 12


class LeavingFleet(single_entry_fleet.SingleEntryFleet):
    """A fleet in which one worker signals that it is leaving."""

    async def receive_leaving_signal(self) -> fleet_worker.Worker:
        """Send requests until the first worker has signalled that it is leaving; return it."""
        leaving = self.workers[0]
        leaving.behaviour.is_leaving = True
        async with asyncio.timeout(5.0):
            while not leaving.runs:
                assert (await self.request()).status == 200
        return leaving

    async def count_arrivals(self, worker: fleet_worker.Worker, count: int = REQUESTS) -> int:
        """Return how many of `count` more requests reach a worker; all must be served."""
        before = len(worker.runs)
        for _ in range(count):
            assert (await self.request()).status == 200
        return len(worker.runs) - before

    async def is_used(self, worker: fleet_worker.Worker) -> bool:
        """Return whether a worker serves all requests while the others refuse them."""
        for other in self.workers:
            other.behaviour.is_full = other is not worker
        return await self.count_arrivals(worker) == REQUESTS


def test_leaving_back_end_gets_no_more_requests():
    async def scenario(service):
        fleet_ = await LeavingFleet(service).start()
        leaving = await fleet_.receive_leaving_signal()
        assert await fleet_.count_arrivals(leaving) == 0, service

    for service in ("safe", "unsafe", "model"):
        asyncio.run(scenario(service))


def test_leaving_signal_outlives_heartbeats_and_loss_of_record():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        leaving = await fleet_.receive_leaving_signal()
        # Its heartbeats still say that it is ready.
        fleet_.announce(fleet_.workers)
        assert await fleet_.count_arrivals(leaving) == 0
        # It disappears from the fleet state for a moment.
        del fleet_.entry.node.watcher.instance_table.instances[leaving.instance]
        fleet_.announce(fleet_.workers[1:])
        assert leaving.instance not in fleet_.entry.node.pool.backends
        fleet_.announce(fleet_.workers)
        assert leaving.instance in fleet_.entry.node.pool.backends
        assert await fleet_.count_arrivals(leaving) == 0

    asyncio.run(scenario())


def test_leaving_signal_received_after_loss_of_record_counts():
    async def scenario():
        fleet_ = await LeavingFleet(count=1).start()
        leaving = fleet_.workers[0]
        leaving.behaviour.is_leaving, leaving.behaviour.work_s = True, 0.1
        pending = asyncio.create_task(fleet_.request())
        await fleet_nodes.until(lambda: leaving.runs)
        del fleet_.entry.node.watcher.instance_table.instances[leaving.instance]
        fleet_.entry.node.apply_fleet_update()
        fleet_.announce(fleet_.workers)
        assert (await pending).status == 200
        assert (await fleet_.request()).status == 503
        assert len(leaving.runs) == 1

    asyncio.run(scenario())


def test_other_instance_at_address_of_leaving_back_end_is_used():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        leaving = await fleet_.receive_leaving_signal()
        leaving.instance, leaving.behaviour.is_leaving = "i-9", False
        fleet_.announce(fleet_.workers)
        assert await fleet_.is_used(leaving)

    asyncio.run(scenario())


def test_next_incarnation_of_leaving_back_end_is_used():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        leaving = await fleet_.receive_leaving_signal()
        leaving.behaviour.is_leaving = False
        watcher = fleet_.entry.node.watcher
        next_incarnation = dataclasses.replace(
            watcher.instance_table.instances[leaving.instance],
            instance=f"{leaving.instance}@1767000000001",
        )
        watcher.instance_table.apply_instance(instances.Instance(next_incarnation), watcher.clock())
        watcher.on_update()
        assert await fleet_.is_used(leaving)

    asyncio.run(scenario())


def test_leaving_signal_with_wrong_request_id_is_ignored():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        sender = fleet_.workers[0]
        sender.behaviour.is_leaving = sender.behaviour.wrong_request_id = True
        async with asyncio.timeout(5.0):
            while not sender.runs:
                await fleet_.request()
        sender.behaviour.is_leaving = sender.behaviour.wrong_request_id = False
        pool = fleet_.entry.node.pool
        await fleet_nodes.until(lambda: not pool.backends[sender.instance].is_ejected(pool.clock()))
        assert await fleet_.is_used(sender)

    asyncio.run(scenario())


def test_requests_are_refused_once_all_back_ends_are_leaving():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        for worker in fleet_.workers:
            worker.behaviour.is_leaving = True
        async with asyncio.timeout(5.0):
            while not all(worker.runs for worker in fleet_.workers):
                await fleet_.request()
        before = sum(len(worker.runs) for worker in fleet_.workers)
        for _ in range(REQUESTS):
            assert (await fleet_.request()).status == 503
        assert sum(len(worker.runs) for worker in fleet_.workers) == before

    asyncio.run(scenario())


def test_back_end_chosen_before_leaving_signal_gets_no_request():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        leaving = await fleet_.receive_leaving_signal()
        # As if it had been chosen before its signal arrived.
        pool = fleet_.entry.node.pool
        backend = pool.backends[leaving.instance]
        chooser = fleet_.entry.node.chooser
        original_choose = chooser.choose
        pending = [backend]

        async def choose(requirements, wait_s_max):
            choice = await original_choose(requirements, wait_s_max)
            if pending and choice is not None:
                choice.backend = pending.pop()
            return choice

        chooser.choose = choose
        assert await fleet_.count_arrivals(leaving) == 0
        assert not pending

    asyncio.run(scenario())


def test_full_update_lists_departed_back_ends():
    registry = instances.InstanceRegistry(1.0)
    for instance in ("i-1", "i-2"):
        address = f"10.0.0.{instance[-1]}:1"
        heartbeat = fleet.Heartbeat(instance, "safe", address, "z", 1, fleet.READY, 1)
        registry.record_heartbeat(heartbeat, 10.0)
    registry.mark_gone("i-1")
    is_full, reported, gone = registry.changes_since(0, 11.0)
    assert (is_full, [one.heartbeat.instance for one in reported], gone) == (True, ["i-2"], ["i-1"])


def test_entry_learns_of_departure_missed_during_control_vm_switch(tmp_path):
    async def scenario():
        fleet_ = crashing_fleet.CrashingFleet(tmp_path)
        try:
            await fleet_.start(entries=1, workers=2)
            await check_missed_departure(fleet_)
        finally:
            await fleet_.stop()

    async def check_missed_departure(fleet_):
        watcher = fleet_.entries[0].node.watcher
        leaving = fleet_.workers[0]
        await fleet_nodes.until(lambda: watcher.current_control_vm)
        # The departure is acknowledged between the loss of the entry's control VM and the search.
        former = watcher.current_control_vm.partition(":")[0]
        original_request_changes, may_request = watcher.request_changes, asyncio.Event()

        async def request_changes(*args):
            await may_request.wait()
            return await original_request_changes(*args)

        watcher.request_changes = request_changes
        leaving.is_down = True
        fleet_.controls.kill(former)
        await fleet_.controls.until_acknowledged("DELETE", f"/instances/{leaving.instance}")
        may_request.set()
        await fleet_nodes.until(
            lambda: watcher.current_control_vm and not watcher.current_control_vm.startswith(former)
        )
        before = len(leaving.runs)
        for _ in range(REQUESTS):
            assert (await fleet_.request(0, b"")).status == 200
        assert len(leaving.runs) == before
        assert leaving.instance in watcher.instance_table.gone

    asyncio.run(scenario())
