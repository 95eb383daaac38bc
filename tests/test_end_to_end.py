"""End-to-end tests of requests and a roll with real processes and no faults."""

import json

import pytest

from bench import fleet as fleets
from bench import processes
from tests import calls


def test_every_entry_returns_complete_responses(rolled_fleet):
    for vm in rolled_fleet.entries():
        for is_streamed in (True, False):
            response = calls.request_completion(vm.http, is_streamed=is_streamed)
            assert response.status == 200, response.body
            assert response.is_complete(), response.text


def test_routing_decision_is_logged_for_each_request(rolled_fleet):
    entry = rolled_fleet.entries()[0]
    calls.request_completion(entry.http, **{"X-Request-Id": "logged-1"})
    routed = [e for e in entry.process.events("routed") if e["request_id"] == "logged-1"]
    assert len(routed) == 1
    assert routed[0]["target"] and routed[0]["reason"] and routed[0]["candidates"] >= 1


def test_call_repeated_with_one_key_runs_once(rolled_fleet):
    key = calls.new_key()
    responses = [
        calls.call_service(vm.http, "/draft", b'{"lamp": "once"}', Idempotency_Key=key)
        for vm in rolled_fleet.entries()
    ]
    assert {response.status for response in responses} == {200}
    assert len({response.body for response in responses}) == 1
    runs = rolled_fleet.get(rolled_fleet.target_urls["tickets-0"], "/runs")["runs"]
    assert runs['{"lamp": "once"}'] == 1


@pytest.mark.parametrize(
    ("headers", "error"),
    [
        ({}, "key_required"),
        ({"Idempotency_Key": "123e4567-e89b-42d3-a456-426614174000"}, "key_required"),
        ({"X_Account": "nobody"}, "unknown_account"),
        ({"X_Deadline_Ms": "soon"}, "bad_request"),
    ],
)
def test_invalid_call_is_refused_with_its_error(rolled_fleet, headers, error):
    response = calls.call_service(rolled_fleet.entries()[0].http, "/draft", **headers)
    assert response.error()["error"] == error
    assert response.error()["ran"] == "no"


def test_a_key_with_another_body_is_refused(rolled_fleet):
    key = calls.new_key()
    entry = rolled_fleet.entries()[0].http
    assert calls.call_service(entry, "/draft", b'{"lamp": 1}', Idempotency_Key=key).status == 200
    second = calls.call_service(entry, "/draft", b'{"lamp": 2}', Idempotency_Key=key)
    assert second.error()["error"] == "key_conflict"


def test_metrics_health_and_readiness(rolled_fleet):
    for vm in [*rolled_fleet.entries(), *rolled_fleet.agents(), *rolled_fleet.controls()]:
        assert rolled_fleet.get(vm.http, "/healthz") == {"alive": True}
        ready = rolled_fleet.get(vm.http, "/readyz")
        assert ready and ready["ready"], f"{vm.name}: {ready}"
        text = calls.CLIENT.request("GET", f"http://{vm.http}/metrics").body.decode()
        assert "merlinthread_generation 1.0" in text


def test_resent_command_returns_the_first_result(rolled_fleet):
    fleet = rolled_fleet
    bundle = fleets.simple_bundle(7, {"hint": ("a" * 64, 100)})
    path = str(fleet.write_bundle(bundle))
    first = fleet.run_json_command("bundle", "propose", path, "-o", "ana", "--request-id", "r1")
    assert (
        fleet.run_json_command("bundle", "propose", path, "-o", "ana", "--request-id", "r1")
        == first
    )
    other = fleets.simple_bundle(7, {"hint": ("b" * 64, 100)})
    done = fleet.run_command(
        "bundle", "propose", str(fleet.write_bundle(other)), "-o", "eva", "--json"
    )
    assert done.returncode == 6
    refused = json.loads(done.stdout)
    assert refused["error"] == "version_conflict"
    assert first["digest"] in refused["message"]


def test_an_unsigned_version_is_not_rolled(rolled_fleet):
    bundle = fleets.simple_bundle(8, {"hint": ("a" * 64, 100)})
    path = str(rolled_fleet.write_bundle(bundle))
    rolled_fleet.run_json_command("bundle", "propose", path, "-o", "ana")
    done = rolled_fleet.run_command("bundle", "roll", "8", "-o", "ana", "--json")
    assert done.returncode == 7
    assert json.loads(done.stdout)["error"] == "not_signed"
    wrong = rolled_fleet.add_operator("mallory")
    done = rolled_fleet.run_command("bundle", "sign", "8", "-o", "ana", "-k", str(wrong), "--json")
    assert done.returncode == 4
    assert json.loads(done.stdout)["error"] == "bad_signature"


def test_graceful_stop_of_an_entry_exits_with_0(rolled_fleet):
    vm = rolled_fleet.entries()[-1]
    vm.process.stop()
    assert vm.process.wait(15) == 0
    rolled_fleet.restart(vm.name)
    processes.wait_for("the entry", lambda: rolled_fleet.get(vm.http, "/readyz"))
