"""Requests under failures and restarts are completed, run at most once, or refused correctly."""

import concurrent.futures
import threading
import time
from collections.abc import Iterator

import msgspec
import pytest

from bench import fleet as fleets
from bench import operators, processes
from tests import calls

TOKENS = 150


@pytest.fixture
def fleet(make_fleet) -> Iterator[fleets.Fleet]:
    shape = fleets.Shape(
        zones=("zone-a", "zone-b"), regions=("region-1",), engines_per_zone=2, services=2
    )
    fleet = make_fleet(shape)
    digest = fleet.publish("hint-1", 256 * 1024, 64 * 1024)
    operators.Operator(fleet).propose_and_roll(fleets.simple_bundle(1, {"hint": (digest, 100)}))
    processes.wait_for(
        "4 engines that serve", lambda: fleet.serving_counts("hint").get(digest) == 4
    )
    processes.wait_for(
        "ready entries", lambda: all(entry_sees(fleet, vm, 2) for vm in fleet.entries())
    )
    return fleet


def entry_sees(fleet: fleets.Fleet, vm: fleets.Vm, engines: int) -> bool:
    """Return whether an entry is ready and serves a request."""
    return calls.request_completion(vm.http, tokens=1).status == 200 and bool(
        fleet.get(vm.http, "/readyz")
    )


def engine_runs(fleet: fleets.Fleet) -> dict[str, dict]:
    """Return the runs of all engines that still respond, by attempt."""
    found = {}
    for name, url in fleet.target_urls.items():
        if name.startswith("engine"):
            for run in (fleet.get(url, "/v1/runs") or {"runs": []})["runs"]:
                found[run["attempt"]] = dict(run, engine=name)
    return found


def service_runs(fleet: fleets.Fleet, body: str) -> int:
    total = 0
    for name, url in fleet.target_urls.items():
        if name.startswith("tickets"):
            total += (fleet.get(url, "/runs") or {"runs": {}})["runs"].get(body, 0)
    return total


class BackgroundRequest:
    """A request for a long response that runs in a thread."""

    def __init__(self, address: str, request_id: str, tokens: int = TOKENS) -> None:
        self.request_id = request_id
        self.tokens = tokens
        self.response: calls.Response | None = None
        self.thread = threading.Thread(target=self.run, args=(address,))
        self.thread.start()

    def run(self, address: str) -> None:
        self.response = calls.request_completion(
            address, tokens=self.tokens, **{"X-Request-Id": self.request_id}
        )

    def wait(self) -> calls.Response:
        self.thread.join(40)
        assert self.response is not None
        return self.response

    def engine(self, fleet: fleets.Fleet) -> str:
        """Wait until an engine has begun the response; return its name."""

        def find() -> str:
            return next(
                (
                    run["engine"]
                    for run in engine_runs(fleet).values()
                    if run["request_id"] == self.request_id and 5 < run["tokens"]
                ),
                "",
            )

        return processes.wait_for("the response to begin", find)


@pytest.mark.parametrize("suffix", ["-target", ""])
def test_stream_is_resumed_after_its_engine_or_agent_is_killed(fleet, suffix):
    request = BackgroundRequest(fleet.entries()[0].http, "r-kill")
    engine = request.engine(fleet)
    fleet.processes[engine + suffix].kill()
    response = request.wait()
    assert response.status == 200
    assert response.is_complete(), response.text
    entry = fleet.entries()[0].process
    assert [e["relayed"] > 0 for e in entry.events("stream_broken")] == [True]


def test_client_disconnect_cancels_the_run(fleet):
    body = msgspec.json.encode(
        {"model": "hint", "prompt": "gone", "max_tokens": 5000, "stream": True}
    )
    stream = calls.CLIENT.open(
        "POST", f"http://{fleet.entries()[0].http}/v1/completions", body, {"X-Account": "a1"}
    )
    next(stream.iter_chunks())
    stream.close()
    processes.wait_for(
        "the run to be cancelled",
        lambda: [r["outcome"] for r in engine_runs(fleet).values() if r["tokens"] > 0][-1:]
        and all(r["outcome"] != "running" for r in engine_runs(fleet).values()),
    )
    assert any(run["outcome"] == "cancelled" for run in engine_runs(fleet).values())


def test_leaving_vm_gets_no_new_requests_and_finishes_running_ones(fleet):
    request = BackgroundRequest(fleet.entries()[0].http, "r-leave")
    engine = request.engine(fleet)
    body = msgspec.json.encode({"name": engine, "state": "leaving"})
    fleet.http.request_ok("POST", f"{fleet.platform_url}/v1/vms", body)
    processes.wait_for(
        "the entries to notice the leaving VM",
        lambda: all(vm.process.events("platform_leaving") for vm in fleet.entries()),
        5,
    )
    before = set(engine_runs(fleet))
    # Enough concurrent requests that even a busy engine would get some.
    addresses = [vm.http for vm in fleet.entries()] * 12
    with concurrent.futures.ThreadPoolExecutor(len(addresses)) as pool:
        found = list(
            pool.map(lambda address: calls.request_completion(address, tokens=30), addresses)
        )
    assert {response.status for response in found} == {200}
    new = {attempt: run for attempt, run in engine_runs(fleet).items() if attempt not in before}
    assert new and all(run["engine"] != engine for run in new.values())
    assert request.wait().is_complete()


@pytest.mark.parametrize("role", ["agent", "entry"])
def test_graceful_stop_interrupts_no_request(fleet, role):
    entry = fleet.entries()[0]
    # The response takes longer than the grace period in which a leaving VM notifies others.
    request = BackgroundRequest(entry.http, "r-stop", tokens=700)
    engine = request.engine(fleet)
    process = entry.process if role == "entry" else fleet.processes[engine]
    process.stop()
    assert request.wait().is_complete()
    assert process.wait(20) == 0
    others = [vm for vm in fleet.entries() if vm.process is not process]
    assert all(calls.request_completion(vm.http).is_complete() for vm in others)
    broken = [e for vm in fleet.entries() for e in vm.process.events("stream_broken")]
    assert broken == [], "a graceful stop must not break streams"


def test_concurrent_calls_with_one_key_run_once(fleet):
    key = calls.new_key()
    body = b'{"lamp": "race"}'

    def draft(number: int) -> calls.Response:
        entries = fleet.entries()
        return calls.call_service(
            entries[number % len(entries)].http, "/draft", body, Idempotency_Key=key
        )

    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        responses = list(pool.map(draft, range(12)))
    assert {response.status for response in responses} == {200}
    assert len({response.body for response in responses}) == 1
    assert service_runs(fleet, body.decode()) == 1


def test_call_whose_target_is_killed_stays_outcome_unknown(fleet):
    key = calls.new_key()
    body = b'{"lamp": "dies"}'
    slow = fleet.add_stand_in("service", "slow-target", "--delay-s", "5")
    fleet.target_urls["tickets-slow"] = slow
    for number in range(2):
        fleet.processes[f"tickets-{number}"].kill()
    fleet.add_agent(
        "tickets-slow",
        "zone-a",
        {"target_url": slow, "target_kind": "service", "service": "tickets"},
    )
    processes.wait_for(
        "the slow service",
        lambda: any(a["name"] == "tickets-slow" for a in fleet.status().get("agents", [])),
    )
    entry = fleet.entries()[0]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        first = pool.submit(calls.call_service, entry.http, "/draft", body, Idempotency_Key=key)
        processes.wait_for("the run", lambda: service_runs(fleet, body.decode()) == 1)
        fleet.processes["slow-target"].kill()
        response = first.result()
    assert response.error()["error"] == "outcome_unknown"
    assert response.error()["ran"] == "unknown"
    second = calls.call_service(fleet.entries()[1].http, "/draft", body, Idempotency_Key=key)
    assert second.error()["error"] == "outcome_unknown"


def test_call_without_a_majority_is_refused_as_not_run(fleet):
    # The leader stays up: it appends the claim to its log but can't commit it.
    leader = processes.wait_for("a leader", fleet.leader)
    others = [vm for vm in fleet.controls() if vm is not leader]
    for vm in others:
        vm.process.kill()
    body = b'{"lamp": "nobody"}'
    key = calls.new_key()
    entry = fleet.entries()[0]
    started = time.monotonic()
    response = calls.call_service(entry.http, "/draft", body, Idempotency_Key=key)
    assert time.monotonic() - started < 6
    assert response.error()["error"] == "not_run"
    assert response.error()["ran"] == "no"
    assert int(response.headers["retry-after"]) >= 1
    assert service_runs(fleet, body.decode()) == 0
    assert calls.call_service(entry.http, "/lookup").status == 200
    assert calls.request_completion(entry.http).is_complete()
    for vm in others:
        fleet.restart(vm.name)
    processes.wait_for("a leader", lambda: fleet.leader())
    again = processes.wait_for(
        "the key to be free again",
        lambda: (got := calls.call_service(entry.http, "/draft", body, Idempotency_Key=key)).status
        == 200
        and got,
        20,
    )
    assert again.status == 200
    assert service_runs(fleet, body.decode()) == 1


def test_call_whose_entry_is_killed_runs_once(fleet):
    key = calls.new_key()
    body = b'{"lamp": "entry dies"}'
    first, second = fleet.entries()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(calls.call_service, first.http, "/draft", body, Idempotency_Key=key)
        processes.wait_for("the run", lambda: service_runs(fleet, body.decode()) == 1)
        first.process.kill()
        waiting.exception(10)
    response = calls.call_service(
        second.http, "/draft", body, Idempotency_Key=key, X_Deadline_Ms="1500"
    )
    assert response.status == 200 or response.error()["error"] == "outcome_unknown"
    assert service_runs(fleet, body.decode()) == 1


def test_a_zone_whose_engines_are_gone_is_served_by_another_zone(fleet):
    for name in ("engine-zone-a-0", "engine-zone-a-1"):
        fleet.processes[f"{name}-target"].kill()
        fleet.processes[name].kill()
    entry = next(vm for vm in fleet.entries() if vm.settings["availability_zone"] == "zone-a")
    processes.wait_for("a response", lambda: calls.request_completion(entry.http).status == 200, 10)
    for is_streamed in (True, False):
        response = calls.request_completion(entry.http, is_streamed=is_streamed)
        assert response.is_complete()
    assert any(e["target"].startswith("entry-zone-b") for e in entry.process.events("routed"))


def test_frozen_engines_are_bypassed_within_the_deadline(fleet):
    for name in ("engine-zone-a-0", "engine-zone-a-1"):
        fleet.processes[f"{name}-target"].suspend()
    entry = next(vm for vm in fleet.entries() if vm.settings["availability_zone"] == "zone-a")
    processes.wait_for(
        "responses from the other zone",
        lambda: calls.request_completion(entry.http, **{"X-Deadline-Ms": "1000"}).status == 200,
        20,
    )
    assert calls.request_completion(entry.http).is_complete()
    for name in ("engine-zone-a-0", "engine-zone-a-1"):
        fleet.processes[f"{name}-target"].resume()


def test_unauthenticated_attempt_is_not_run(fleet):
    agent = next(vm for vm in fleet.agents() if vm.name.startswith("engine"))
    body = msgspec.json.encode({"model": "hint", "prompt": "x"})
    headers = {
        "x-attempt": "forged",
        "x-incarnation": "1",
        "x-account": "a1",
        "x-priority": "0",
        "x-deadline-ms": "1000",
    }
    reply = fleet.http.request("POST", f"http://{agent.http}/target/v1/completions", body, headers)
    assert reply.status == 401
    assert "forged" not in engine_runs(fleet)
