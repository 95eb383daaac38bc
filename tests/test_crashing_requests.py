"""Requests that crash every worker that runs them (queries of death).

Guards against retries, at any entry and under any request id, crashing one worker after another.
"""

import asyncio
import contextlib
import socket

import pytest

from merlinthread.coordination import crash_tracker, retry_budget
from merlinthread.transport import http_messages
from stand_ins import crashing_worker
from tests import crashing_fleet, fleet_nodes

LATE_REQUESTS_MAX = 3


def run(tmp_path, scenario, service="safe", model="", entries=2, workers=8, **behaviour):
    async def run_scenario():
        fleet = crashing_fleet.CrashingFleet(tmp_path, service, model)
        try:
            await fleet.start(entries, workers, **behaviour)
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    ("service", "model", "keeps_id", "sends_born_ms"),
    [
        ("safe", "", False, False),
        ("model", "m", False, False),
        ("model", "m", True, False),
        ("model", "m", True, True),
    ],
)
def test_request_that_crashed_three_workers_is_held_at_all_entries(
    tmp_path, service, model, keeps_id, sends_born_ms
):
    async def scenario(fleet):
        await fleet.send_crashing_requests(crashing_fleet.CONTACT_S, repeats=16)
        late_requests = fleet.count_late_requests()
        assert (
            late_requests <= LATE_REQUESTS_MAX
        ), f"{late_requests} late requests; {len(fleet.crash_times())} crashes"

    run(tmp_path, scenario, service, model, keeps_id=keeps_id, sends_born_ms=sends_born_ms)


def test_held_request_gets_503_with_long_retry_after(
    tmp_path,
):
    async def scenario(fleet):
        await fleet.request_until_held()
        crash_count = len(fleet.crash_times())
        for entry in range(2):
            held = fleet.entries[entry].node.crashes.tracker.held
            await fleet_nodes.until(held)
            response = await fleet.request(entry, crashing_fleet.CRASH_BODY)
            assert response.status == 503
            assert float(http_messages.get_header(response.headers, b"retry-after")) >= 60
        assert len(fleet.crash_times()) == crash_count
        await fleet.until_known()
        # Requests with another body or path are served.
        assert (await fleet.request(0, b"other")).status == 200
        assert (await fleet.request(1, b"", "/safe/y")).status == 200

    run(tmp_path, scenario)


def test_crashing_request_gets_502_even_if_second_attempt_is_held(tmp_path):
    async def scenario(fleet):
        response = await fleet.request(0, crashing_fleet.CRASH_BODY)
        assert (response.status, len(fleet.crash_times())) == (502, 2)
        await fleet_nodes.until(lambda: fleet.entries[1].node.crashes.tracker.records)
        # The third crash is known before a second attempt, which is therefore not made.
        response = await fleet.request(1, crashing_fleet.CRASH_BODY)
        assert (response.status, len(fleet.crash_times())) == (502, 3)

    run(tmp_path, scenario)


def test_hold_survives_power_loss_of_all_vms(tmp_path):
    async def scenario(fleet):
        await fleet.request_until_held()
        crash_count = len(fleet.crash_times())
        await fleet.simulate_power_loss()
        for _ in range(4):
            assert (await fleet.request(0, crashing_fleet.CRASH_BODY)).status == 503
        assert len(fleet.crash_times()) == crash_count

    run(tmp_path, scenario)


def test_restarted_control_vms_get_crash_records_from_entries(tmp_path):
    async def scenario(fleet):
        await fleet.request(0, crashing_fleet.CRASH_BODY)
        assert len(fleet.crash_times()) == 2
        for ip in fleet.controls.ips:
            fleet.controls.kill(ip)
            await fleet.controls.start(ip)
        nodes = fleet.controls.nodes.values()
        await fleet_nodes.until(lambda: any(node.crashes.tracker.records for node in nodes))
        other_tracker = fleet.entries[1].node.crashes.tracker
        await fleet_nodes.until(lambda: other_tracker.records)
        await fleet.request(1, crashing_fleet.CRASH_BODY)
        assert len(fleet.crash_times()) == 3

    run(tmp_path, scenario)


def test_undelivered_crash_records_are_sent_once_control_vm_is_back(tmp_path):
    async def scenario(fleet):
        stopped = next(ip for ip in fleet.controls.ips if ip != fleet.controls.leader())
        fleet.controls.kill(stopped)
        await fleet.request(0, crashing_fleet.CRASH_BODY)
        nodes = list(fleet.controls.nodes.values())
        await fleet_nodes.until(lambda: any(node.crashes.undelivered for node in nodes))
        for node in nodes:
            node.member.propose = None  # no decision reaches the VM through the log
        await fleet.controls.start(stopped)
        tracker = fleet.controls.nodes[stopped].crashes.tracker
        await fleet_nodes.until(lambda: tracker.records)

    run(tmp_path, scenario)


def test_entry_without_control_vms_holds_requests_by_its_own_records(tmp_path):
    async def scenario(fleet):
        for ip in fleet.controls.ips:
            fleet.controls.kill(ip)
        watcher = fleet.entries[0].node.watcher
        await fleet_nodes.until(lambda: not watcher.current_control_vm)
        for _ in range(4):
            await fleet.request_or_none(0, crashing_fleet.CRASH_BODY)
        assert len(fleet.crash_times()) == 3
        assert not any(task.done() for task in fleet.entries[0].node.tasks)

    run(tmp_path, scenario, entries=1)


def test_reset_connection_is_not_recorded_as_crash(tmp_path):
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour.closes_without_response = True
        for _ in range(6):
            await fleet.request(0, b"same")
        for worker in fleet.workers:
            worker.behaviour.closes_without_response = False
        crashes = fleet.entries[0].node.crashes
        await fleet_nodes.until(lambda: not crashes.checks)
        assert not crashes.tracker.records
        assert (await fleet.request(0, b"same")).status == 200

    run(tmp_path, scenario)


def test_crash_is_recorded_when_new_instance_appears_after_timeout(tmp_path):
    async def scenario(fleet):
        crashes = fleet.entries[0].node.crashes
        worker = fleet.workers[0]
        for other in fleet.workers[1:]:
            other.behaviour.is_full = True
        worker.behaviour.never_responds = True
        task = asyncio.get_running_loop().create_task(fleet.request_or_none(0, b"silent"))
        await fleet_nodes.until(lambda: worker.runs)
        # The VM fails: nothing responds, and the attempt times out.
        worker.is_down = True
        await task
        assert crashes.unconfirmed and not crashes.tracker.records
        worker.behaviour.never_responds = False
        worker.crash_now()
        await worker.restart()
        await fleet_nodes.until(lambda: crashes.tracker.records)
        assert not crashes.unconfirmed

    run(tmp_path, scenario, entries=1, workers=2)


def test_crash_is_recorded_when_new_instance_appears_before_timeout(tmp_path):
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
        assert not crashes.tracker.records
        await task
        assert [
            crash.instance
            for record in crashes.tracker.records.values()
            for crash in record.crashes
        ]

    run(tmp_path, scenario, entries=1, workers=1)


def test_popular_request_running_beside_crashes_is_not_held(tmp_path):
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour.work_s = 0.1
        is_over = asyncio.Event()
        statuses = []

        async def request_popular(entry: int) -> None:
            while not is_over.is_set():
                response = await fleet.request_or_none(entry, b"popular")
                statuses.append(response.status if response is not None else 0)

        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(request_popular(number % 2)) for number in range(24)]
        await fleet.request_until_held()
        await fleet_nodes.until(lambda: len(fleet.crash_times()) >= 3)
        before = len(statuses)
        await fleet_nodes.until(lambda: len(statuses) >= before + 100)
        is_over.set()
        await asyncio.gather(*tasks)
        held = {label for node in fleet.controls.nodes.values() for label in node.member.state.held}
        assert len(held) == 1, "only the crashing request may be held"
        assert all(status == 200 for status in statuses[before + 24 :])

    run(tmp_path, scenario)


def test_further_crashing_requests_of_account_crash_one_worker_each(tmp_path):
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
                    tracker = entry.node.crashes.tracker
                    await fleet_nodes.until(lambda tracker=tracker: tracker.is_strict("account-1"))
        assert len(fleet.crash_times()) - before == 4

    run(tmp_path, scenario, downtime_s=0.15)


# Guards against a retry that crashes a second worker before the first crash is known.
def test_first_crash_holds_request_of_account_with_held_requests(tmp_path, monkeypatch):
    monkeypatch.setattr(retry_budget.RetryBudget, "allows", lambda self, now: True)

    async def scenario(fleet):
        body = crashing_fleet.CRASH_BODY
        tracker = fleet.entries[0].node.crashes.tracker
        for number in range(crash_tracker.ACCOUNT_HELD_THRESHOLD):
            for _ in range(2):
                await fleet.until_known()
                await fleet.request(0, body, f"/safe/deadly-{number}")
        assert tracker.is_strict("account-1")
        await fleet.until_known()
        before = len(fleet.crash_times())
        assert (await fleet.request(0, body, "/safe/another")).status == 502
        assert len(fleet.crash_times()) - before == 1

    run(tmp_path, scenario, entries=1, downtime_s=0.15)


# Guards against workers that can't restart, because another process listens at their address.
def test_address_of_crashed_worker_is_not_taken_by_others():
    async def scenario():
        worker = crashing_worker.CrashingWorker("i-0")
        host, _, port = (await worker.start()).partition(":")
        worker.crash_now()
        with socket.socket() as other, pytest.raises(OSError):
            other.bind((host, int(port)))
        await worker.restart()
        worker.stop()

    asyncio.run(scenario())


def test_crash_recorded_during_report_is_reported_too():
    class FakeRpcClient:
        """Replaces the RPC client: records reports, and returns once `may_reply` is set."""

        def __init__(self):
            self.reports = []
            self.may_reply = asyncio.Event()

        async def call(self, address, report, timeout_s):
            self.reports.append(report)
            await self.may_reply.wait()

    async def scenario():
        entry = fleet_nodes.Entry()
        crashes, watcher = entry.node.crashes, entry.node.watcher
        crashes.rpc_client, watcher.current_control_vm = FakeRpcClient(), "control"
        task = asyncio.get_running_loop().create_task(crashes.run())

        def record_crash(instance):
            crash = crash_tracker.Crash(crashes.clock(), instance, crashes.clock())
            crashes.tracker.record_crash("f", "", crash)
            crashes.queue_report("f")

        record_crash("i-1")
        await fleet_nodes.until(lambda: crashes.rpc_client.reports)
        record_crash("i-2")
        crashes.rpc_client.may_reply.set()
        await fleet_nodes.until(lambda: len(crashes.rpc_client.reports) == 2, 2.0)
        (suspicion,) = crashes.rpc_client.reports[1].suspicions
        assert [end.instance for end in suspicion.ends] == ["i-1", "i-2"]
        task.cancel()

    asyncio.run(scenario())
