"""Requests that crash every worker that runs them (queries of death).

Guards against retries, at any entry and under any request id, crashing one worker after another.
"""

import asyncio
import contextlib

import pytest

from merlinthread.coordination import crash_tracker
from merlinthread.transport import http_messages
from tests import crashing_fleet, fleet_nodes

LATE_MAX = 3


def run(tmp_path, scenario, service="safe", model="", entries=2, workers=8, **behaviour):
    async def whole():
        fleet = crashing_fleet.CrashingFleet(tmp_path, service, model)
        try:
            await fleet.start(entries, workers, **behaviour)
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(whole())


@pytest.mark.parametrize(
    ("service", "model", "keeps_id", "sends_born_ms"),
    [
        ("safe", "", False, False),
        ("model", "m", False, False),
        ("model", "m", True, False),
        ("model", "m", True, True),
    ],
)
def test_a_request_that_ended_three_workers_goes_to_no_more_of_them_from_any_entry(
    tmp_path, service, model, keeps_id, sends_born_ms
):
    async def scenario(fleet):
        await fleet.send_crashing_requests(crashing_fleet.CONTACT_S, repeats=16)
        late = fleet.count_late_requests()
        assert late <= LATE_MAX, f"{late} later ones; {len(fleet.crash_times())} workers ended"

    run(tmp_path, scenario, service, model, keeps_id=keeps_id, sends_born_ms=sends_born_ms)


def test_a_request_that_is_held_back_is_refused_at_once_as_not_run_and_not_asked_back_soon(
    tmp_path,
):
    async def scenario(fleet):
        await fleet.until_held()
        ends = len(fleet.crash_times())
        for entry in range(2):
            held = fleet.entries[entry].node.crashes.ledger.held
            await fleet_nodes.until(held)
            answer = await fleet.request(entry, crashing_fleet.CRASH_BODY)
            assert answer.status == 503
            assert float(http_messages.get_header(answer.headers, b"retry-after")) >= 60
        assert len(fleet.crash_times()) == ends
        await fleet.until_known()
        # Requests with another body or path are served.
        assert (await fleet.request(0, b"other")).status == 200
        assert (await fleet.request(1, b"", "/safe/y")).status == 200

    run(tmp_path, scenario)


def test_the_answer_to_an_attempt_that_ended_a_worker_does_not_say_that_it_was_not_run(tmp_path):
    async def scenario(fleet):
        answer = await fleet.request(0, crashing_fleet.CRASH_BODY)
        assert (answer.status, len(fleet.crash_times())) == (502, 2)
        await fleet_nodes.until(lambda: fleet.entries[1].node.crashes.ledger.records)
        # The third crash is known before a second attempt, which is therefore not made.
        answer = await fleet.request(1, crashing_fleet.CRASH_BODY)
        assert (answer.status, len(fleet.crash_times())) == (502, 3)

    run(tmp_path, scenario)


def test_what_is_held_back_stays_so_when_all_vms_lose_power(tmp_path):
    async def scenario(fleet):
        await fleet.until_held()
        ends = len(fleet.crash_times())
        await fleet.simulate_power_loss()
        for _ in range(4):
            assert (await fleet.request(0, crashing_fleet.CRASH_BODY)).status == 503
        assert len(fleet.crash_times()) == ends

    run(tmp_path, scenario)


def test_control_vms_that_all_start_again_learn_from_entries_what_was_not_decided_yet(tmp_path):
    async def scenario(fleet):
        await fleet.request(0, crashing_fleet.CRASH_BODY)
        assert len(fleet.crash_times()) == 2
        for ip in fleet.controls.ips:
            fleet.controls.kill(ip)
            await fleet.controls.start(ip)
        nodes = fleet.controls.nodes.values()
        await fleet_nodes.until(lambda: any(node.crashes.ledger.records for node in nodes))
        other = fleet.entries[1].node.crashes.ledger
        await fleet_nodes.until(lambda: other.records)
        await fleet.request(1, crashing_fleet.CRASH_BODY)
        assert len(fleet.crash_times()) == 3

    run(tmp_path, scenario)


def test_what_a_control_vm_could_not_be_told_it_is_told_once_it_is_there(tmp_path):
    async def scenario(fleet):
        away = next(ip for ip in fleet.controls.ips if ip != fleet.controls.leader())
        fleet.controls.kill(away)
        await fleet.request(0, crashing_fleet.CRASH_BODY)
        nodes = list(fleet.controls.nodes.values())
        await fleet_nodes.until(lambda: any(node.crashes.undelivered for node in nodes))
        for node in nodes:
            node.member.propose = None  # no decision reaches the VM through the log
        await fleet.controls.start(away)
        ledger = fleet.controls.nodes[away].crashes.ledger
        await fleet_nodes.until(lambda: ledger.records)

    run(tmp_path, scenario)


def test_an_entry_without_control_vms_holds_back_what_it_saw_itself(tmp_path):
    async def scenario(fleet):
        for ip in fleet.controls.ips:
            fleet.controls.kill(ip)
        watcher = fleet.entries[0].node.watcher
        await fleet_nodes.until(lambda: not watcher.current)
        for _ in range(4):
            await fleet.request_or_none(0, crashing_fleet.CRASH_BODY)
        assert len(fleet.crash_times()) == 3
        assert not any(task.done() for task in fleet.entries[0].node.tasks)

    run(tmp_path, scenario, entries=1)


def test_a_reset_connection_is_not_an_end(tmp_path):
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour.closes_without_answer = True
        for _ in range(6):
            await fleet.request(0, b"same")
        for worker in fleet.workers:
            worker.behaviour.closes_without_answer = False
        crashes = fleet.entries[0].node.crashes
        await fleet_nodes.until(lambda: not crashes.checks)
        assert not crashes.ledger.records
        assert (await fleet.request(0, b"same")).status == 200

    run(tmp_path, scenario)


def test_an_end_shows_late_where_only_the_next_instance_at_the_address_proves_it(tmp_path):
    async def scenario(fleet):
        crashes = fleet.entries[0].node.crashes
        worker = fleet.workers[0]
        for other in fleet.workers[1:]:
            other.behaviour.is_full = True
        worker.behaviour.never_responds = True
        task = asyncio.get_running_loop().create_task(fleet.request_or_none(0, b"silent"))
        await fleet_nodes.until(lambda: worker.runs)
        # The VM fails: nothing answers, and the attempt times out.
        worker.is_down = True
        await task
        assert crashes.unconfirmed and not crashes.ledger.records
        worker.behaviour.never_responds = False
        worker.crash_now()
        await worker.restart()
        await fleet_nodes.until(lambda: crashes.ledger.records)
        assert not crashes.unconfirmed

    run(tmp_path, scenario, entries=1, workers=2)


def test_an_end_shows_where_the_next_instance_is_heard_before_the_silence_is_noticed(tmp_path):
    async def scenario(fleet):
        crashes = fleet.entries[0].node.crashes
        (worker,) = fleet.workers
        worker.behaviour.never_responds = True
        task = asyncio.get_running_loop().create_task(fleet.request_or_none(0, b"silent"))
        await fleet_nodes.until(lambda: worker.runs)
        # The VM has failed, and another process is at its address under another id.
        worker.instance = "i-next"
        worker.sequence = 0
        await fleet_nodes.until(lambda: set(fleet.entries[0].node.pool.backends) == {"i-next"})
        assert not crashes.ledger.records
        await task
        assert [
            end.instance for record in crashes.ledger.records.values() for end in record.crashes
        ]

    run(tmp_path, scenario, entries=1, workers=1)


def test_a_request_that_others_get_whole_answers_to_is_not_held_back_for_being_there(tmp_path):
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour.work_s = 0.1
        is_over = asyncio.Event()
        statuses = []

        async def ask_popular(entry: int) -> None:
            while not is_over.is_set():
                answer = await fleet.request_or_none(entry, b"popular")
                statuses.append(answer.status if answer is not None else 0)

        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(ask_popular(number % 2)) for number in range(24)]
        await fleet.until_held()
        await fleet_nodes.until(lambda: len(fleet.crash_times()) >= 3)
        before = len(statuses)
        await fleet_nodes.until(lambda: len(statuses) >= before + 100)
        is_over.set()
        await asyncio.gather(*tasks)
        held = {label for node in fleet.controls.nodes.values() for label in node.member.state.held}
        assert len(held) == 1, "only the deadly one"
        assert all(status == 200 for status in statuses[before + 24 :])

    run(tmp_path, scenario)


def test_many_different_deadly_requests_of_one_account_end_one_worker_each_in_the_end(tmp_path):
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.crash_body = b"same for all: the paths differ"
        body = fleet.workers[0].crash_body
        for number in range(8):
            for _ in range(3):
                await fleet.until_known()
                with contextlib.suppress(Exception):
                    await fleet.request(number % 2, body, f"/safe/deadly-{number}")
            if number == crash_tracker.ACCOUNT_HELD_THRESHOLD - 1:
                before = len(fleet.crash_times())
                for entry in fleet.entries:
                    ledger = entry.node.crashes.ledger
                    await fleet_nodes.until(lambda ledger=ledger: ledger.is_strict("account-1"))
        assert len(fleet.crash_times()) - before == 4

    run(tmp_path, scenario, downtime_s=0.15)


def test_an_end_that_is_seen_while_an_earlier_one_is_being_told_is_told_too():
    class Caller:
        """Replaces the RPC client: records reports, and returns once it is allowed to."""

        def __init__(self):
            self.reports = []
            self.may_answer = asyncio.Event()

        async def call(self, address, report, timeout_s):
            self.reports.append(report)
            await self.may_answer.wait()

    async def scenario():
        entry = fleet_nodes.Entry()
        crashes, watcher = entry.node.crashes, entry.node.watcher
        crashes.caller, watcher.current = Caller(), "control"
        task = asyncio.get_running_loop().create_task(crashes.run())

        def see(instance):
            end = crash_tracker.Crash(crashes.clock(), instance, crashes.clock())
            crashes.ledger.record_crash("f", "", end)
            crashes.queue_report("f")

        see("i-1")
        await fleet_nodes.until(lambda: crashes.caller.reports)
        see("i-2")
        crashes.caller.may_answer.set()
        await fleet_nodes.until(lambda: len(crashes.caller.reports) == 2, 2.0)
        (told,) = crashes.caller.reports[1].suspicions
        assert [end.instance for end in told.ends] == ["i-1", "i-2"]
        task.cancel()

    asyncio.run(scenario())
