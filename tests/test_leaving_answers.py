"""Back ends that signal in their responses that they are leaving.

Guards against requests to a back end after an entry has received its leaving signal, and against
departures that are missed when an entry moves to another control VM.
"""

import asyncio
import dataclasses

from merlinthread.coordination import fleet, instances
from stand_ins import fleet_worker
from tests import crashing_fleet, fleet_nodes, single_entry_fleet

REQUESTS = 12


class LeavingFleet(single_entry_fleet.SingleEntryFleet):
    """A fleet in which one worker signals that it is leaving."""

    async def hear_that_it_leaves(self) -> fleet_worker.Worker:
        """Send requests until the first worker has signalled that it is leaving; return it."""
        leaver = self.workers[0]
        leaver.behaviour.is_leaving = True
        async with asyncio.timeout(5.0):
            while not leaver.runs:
                assert (await self.request()).status == 200
        return leaver

    async def arrivals(self, worker: fleet_worker.Worker, count: int = REQUESTS) -> int:
        """Return how many of `count` more requests reach a worker; all must be served."""
        before = len(worker.runs)
        for _ in range(count):
            assert (await self.request()).status == 200
        return len(worker.runs) - before

    async def is_used(self, worker: fleet_worker.Worker) -> bool:
        """Return whether a worker serves all requests while the others refuse them."""
        for other in self.workers:
            other.behaviour.is_full = other is not worker
        return await self.arrivals(worker) == REQUESTS


def test_a_back_end_that_says_in_an_answer_that_it_leaves_gets_nothing_more():
    async def scenario(service):
        fleet_ = await LeavingFleet(service).start()
        leaver = await fleet_.hear_that_it_leaves()
        assert await fleet_.arrivals(leaver) == 0, service

    for service in ("safe", "unsafe", "model"):
        asyncio.run(scenario(service))


def test_what_an_answer_said_outlives_heartbeats_and_the_loss_of_the_record():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        leaver = await fleet_.hear_that_it_leaves()
        # Its heartbeats still say that it is ready.
        fleet_.announce(fleet_.workers)
        assert await fleet_.arrivals(leaver) == 0
        # It disappears from the fleet state for a moment.
        del fleet_.entry.node.watcher.instances[leaver.instance]
        fleet_.announce(fleet_.workers[1:])
        assert leaver.instance not in fleet_.entry.node.pool.backends
        fleet_.announce(fleet_.workers)
        assert leaver.instance in fleet_.entry.node.pool.backends
        assert await fleet_.arrivals(leaver) == 0

    asyncio.run(scenario())


def test_an_answer_that_comes_after_the_record_was_dropped_and_told_again_counts():
    async def scenario():
        fleet_ = await LeavingFleet(count=1).start()
        leaver = fleet_.workers[0]
        leaver.behaviour.is_leaving, leaver.behaviour.work_s = True, 0.1
        asked = asyncio.create_task(fleet_.request())
        await fleet_nodes.until(lambda: leaver.runs)
        del fleet_.entry.node.watcher.instances[leaver.instance]
        fleet_.entry.node.on_update()
        fleet_.announce(fleet_.workers)
        assert (await asked).status == 200
        assert (await fleet_.request()).status == 503
        assert len(leaver.runs) == 1

    asyncio.run(scenario())


def test_another_back_end_at_the_address_of_one_that_left_is_used():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        leaver = await fleet_.hear_that_it_leaves()
        leaver.instance, leaver.behaviour.is_leaving = "i-9", False
        fleet_.announce(fleet_.workers)
        assert await fleet_.is_used(leaver)

    asyncio.run(scenario())


def test_the_next_life_of_a_back_end_that_left_is_used():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        leaver = await fleet_.hear_that_it_leaves()
        leaver.behaviour.is_leaving = False
        watcher = fleet_.entry.node.watcher
        later = dataclasses.replace(
            watcher.instances[leaver.instance], instance=f"{leaver.instance}@1767000000001"
        )
        watcher.apply_instance(instances.Instance(later), watcher.clock())
        watcher.on_update()
        assert await fleet_.is_used(leaver)

    asyncio.run(scenario())


def test_an_answer_to_another_request_takes_no_back_end_out_of_use():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        liar = fleet_.workers[0]
        liar.behaviour.is_leaving = liar.behaviour.wrong_request_id = True
        async with asyncio.timeout(5.0):
            while not liar.runs:
                await fleet_.request()
        liar.behaviour.is_leaving = liar.behaviour.wrong_request_id = False
        pool = fleet_.entry.node.pool
        await fleet_nodes.until(lambda: not pool.backends[liar.instance].is_ejected(pool.clock()))
        assert await fleet_.is_used(liar)

    asyncio.run(scenario())


def test_once_all_have_said_that_they_leave_requests_are_refused_at_once():
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


def test_what_was_chosen_before_the_answer_came_is_not_sent_after_it():
    async def scenario():
        fleet_ = await LeavingFleet().start()
        leaver = await fleet_.hear_that_it_leaves()
        # As if it had been chosen before its signal arrived.
        pool = fleet_.entry.node.pool
        backend = pool.backends[leaver.instance]
        chosen = pool.choose
        left = [backend]

        async def choose(demand, wait_s_max):
            choice = await chosen(demand, wait_s_max)
            if left and choice is not None:
                choice.backend = left.pop()
            return choice

        pool.choose = choose
        assert await fleet_.arrivals(leaver) == 0
        assert not left

    asyncio.run(scenario())


def test_news_in_full_tell_who_has_left():
    registry = instances.InstanceRegistry(1.0)
    for instance in ("i-1", "i-2"):
        address = f"10.0.0.{instance[-1]}:1"
        beat = fleet.Heartbeat(instance, "safe", address, "z", 1, fleet.READY, 1)
        registry.record_heartbeat(beat, 10.0)
    registry.mark_gone("i-1")
    is_full, told, gone = registry.changes_since(0, 11.0)
    assert (is_full, [one.heartbeat.instance for one in told], gone) == (True, ["i-2"], ["i-1"])


def test_an_entry_that_turns_to_another_control_vm_hears_who_left_meanwhile(tmp_path):
    async def scenario():
        fleet_ = crashing_fleet.CrashingFleet(tmp_path)
        try:
            await fleet_.start(entries=1, workers=2)
            await check_missed_departure(fleet_)
        finally:
            await fleet_.stop()

    async def check_missed_departure(fleet_):
        watcher = fleet_.entries[0].node.watcher
        leaver = fleet_.workers[0]
        await fleet_nodes.until(lambda: watcher.current)
        # The departure is acknowledged between the loss of the entry's control VM and the search.
        former = watcher.current.partition(":")[0]
        asked, may_ask = watcher.ask, asyncio.Event()

        async def ask(*of):
            await may_ask.wait()
            return await asked(*of)

        watcher.ask = ask
        leaver.is_down = True
        fleet_.controls.kill(former)
        await fleet_.controls.until_acknowledged("DELETE", f"/instances/{leaver.instance}")
        may_ask.set()
        await fleet_nodes.until(lambda: watcher.current and not watcher.current.startswith(former))
        before = len(leaver.runs)
        for _ in range(REQUESTS):
            assert (await fleet_.request(0, b"")).status == 200
        assert len(leaver.runs) == before
        assert leaver.instance in watcher.gone

    asyncio.run(scenario())
