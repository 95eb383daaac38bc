"""Distribution of weights under failures, with real agents, engines, origin and links."""

import threading

import msgspec
import pytest

from bench import fleet as fleets
from bench import operators, processes
from tests import calls

OBJECT_BYTES = 2 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
SHAPE = fleets.Shape(
    zones=("zone-a", "zone-b"),
    regions=("region-1",),
    engines_per_zone=3,
    services=0,
    through_proxy=True,
)


def inject_fault(fleet: fleets.Fleet, url: str, **faults: object) -> None:
    fleet.http.request_ok("POST", f"{url}/disturb", msgspec.json.encode(faults))


def served_versions(fleet: fleets.Fleet) -> set[tuple[str, str]]:
    """Return the pairs of digest and content hash that any engine has served requests from."""
    found = set()
    for name, url in fleet.target_urls.items():
        if name.startswith("engine"):
            reply = fleet.get(url, "/v1/runs") or {"runs": []}
            found |= {(run["digest"], run["content"]) for run in reply["runs"]}
    return found


def object_hash(fleet: fleets.Fleet, name: str) -> str:
    import blake3

    return blake3.blake3((fleet.folder / "origin" / "objects" / name).read_bytes()).hexdigest()


def origin_read_ratio(fleet: fleets.Fleet, name: str) -> float:
    return fleet.get(fleet.origin_url, "/stats")["by_object"].get(name, 0) / OBJECT_BYTES


def wait_until_serving(
    fleet: fleets.Fleet, digest: str, count: int, timeout_s: float = 30.0
) -> None:
    processes.wait_for(
        f"{count} engines to serve {digest[:8]}",
        lambda: fleet.serving_counts("hint").get(digest, 0) >= count,
        timeout_s,
    )


class RequestLoad:
    """Sends requests to every entry continuously and records failed ones."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.stopping = threading.Event()
        self.succeeded = 0
        self.failures: list[str] = []
        self.threads = [
            threading.Thread(target=self.run, args=(vm.http,)) for vm in fleet.entries()
        ]

    def __enter__(self) -> "RequestLoad":
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, address: str) -> None:
        while not self.stopping.is_set():
            response = calls.request_completion(address)
            if response.status != 200 or not response.is_complete():
                self.failures.append(f"{response.status} {response.body[:300]!r}")
            else:
                self.succeeded += 1


def test_versions_never_mix_during_a_roll_and_a_rollback_under_load(make_fleet):
    fleet = make_fleet(SHAPE)
    first_digest = fleet.publish("hint-1", OBJECT_BYTES, CHUNK_BYTES)
    second_digest = fleet.publish("hint-2", OBJECT_BYTES, CHUNK_BYTES)
    operator = operators.Operator(fleet)
    operator.propose_and_roll(fleets.simple_bundle(1, {"hint": (first_digest, 100)}))
    wait_until_serving(fleet, first_digest, 6)
    processes.wait_for(
        "ready entries", lambda: all(fleet.get(v.http, "/readyz") for v in fleet.entries())
    )
    with RequestLoad(fleet) as load:
        operator.propose_and_roll(fleets.simple_bundle(2, {"hint": (second_digest, 100)}))
        wait_until_serving(fleet, second_digest, 6)
        operator.roll(1, is_back=True)
        wait_until_serving(fleet, first_digest, 6)
    assert load.failures == []
    assert load.succeeded > 20
    allowed = {
        (first_digest, object_hash(fleet, "hint-1")),
        (second_digest, object_hash(fleet, "hint-2")),
    }
    assert served_versions(fleet) <= allowed
    assert origin_read_ratio(fleet, "hint-1") == pytest.approx(
        1.0, abs=0.05
    ), "rollback must not fetch"
    assert origin_read_ratio(fleet, "hint-2") == pytest.approx(1.0, abs=0.05)


def test_corrupt_chunks_are_detected_and_read_again(make_fleet):
    fleet = make_fleet(SHAPE)
    digest = fleet.publish("hint-1", OBJECT_BYTES, CHUNK_BYTES)
    inject_fault(fleet, fleet.origin_url, corrupt_next=5)
    operators.Operator(fleet).propose_and_roll(fleets.simple_bundle(1, {"hint": (digest, 100)}))
    wait_until_serving(fleet, digest, 6)
    assert 1.0 < origin_read_ratio(fleet, "hint-1") <= 1.0 + 6 * CHUNK_BYTES / OBJECT_BYTES
    calls.request_completion(fleet.entries()[0].http)
    assert served_versions(fleet) <= {(digest, object_hash(fleet, "hint-1"))}


def test_object_changed_mid_transfer_pauses_the_roll(make_fleet):
    fleet = make_fleet(SHAPE)
    first_digest = fleet.publish("hint-1", OBJECT_BYTES, CHUNK_BYTES)
    second_digest = fleet.publish("hint-2", OBJECT_BYTES, CHUNK_BYTES)
    operator = operators.Operator(fleet)
    operator.propose_and_roll(fleets.simple_bundle(1, {"hint": (first_digest, 100)}))
    wait_until_serving(fleet, first_digest, 6)
    inject_fault(fleet, fleet.origin_url, bytes_per_s=OBJECT_BYTES / 2)
    operator.propose_and_roll(fleets.simple_bundle(2, {"hint": (second_digest, 100)}))
    processes.wait_for("the first chunks", lambda: origin_read_ratio(fleet, "hint-2") > 0.2)
    path = fleet.folder / "origin" / "objects" / "hint-2"
    path.write_bytes(bytes(OBJECT_BYTES))
    inject_fault(fleet, fleet.origin_url, bytes_per_s=1e9)
    paused = processes.wait_for("a pause", lambda: fleet.status().get("paused"), 20)
    assert "origin_changed" in paused
    assert fleet.serving_counts("hint") == {first_digest: 6}
    response = calls.request_completion(fleet.entries()[0].http)
    assert response.is_complete() and response.digest == first_digest
    done = fleet.run_command("bundle", "rollback", "1", "-o", "ana", "--wait")
    assert done.returncode == 0, done.stderr
    assert not fleet.status()["paused"]


def test_refused_load_pauses_the_roll_with_its_reason(make_fleet):
    fleet = make_fleet(SHAPE)
    first_digest = fleet.publish("hint-1", OBJECT_BYTES, CHUNK_BYTES)
    second_digest = fleet.publish("hint-2", OBJECT_BYTES, CHUNK_BYTES)
    operator = operators.Operator(fleet)
    operator.propose_and_roll(fleets.simple_bundle(1, {"hint": (first_digest, 100)}))
    wait_until_serving(fleet, first_digest, 6)
    refusing = next(iter(fleet.target_urls))
    inject_fault(fleet, fleet.target_urls[refusing], refuse_loads="no memory left")
    done = fleet.roll(fleets.simple_bundle(2, {"hint": (second_digest, 100)}), wait=False)
    assert done["generation"] == 2
    paused = processes.wait_for("a pause", lambda: fleet.status().get("paused"), 20)
    assert refusing in paused and "no memory left" in paused
    assert fleet.serving_counts("hint").get(first_digest, 0) >= 1


def test_killed_frozen_and_joining_vms_do_not_stop_a_roll(make_fleet):
    fleet = make_fleet(SHAPE)
    digest = fleet.publish("hint-1", OBJECT_BYTES, CHUNK_BYTES)
    inject_fault(fleet, fleet.origin_url, bytes_per_s=OBJECT_BYTES / 3)
    names = [name for name in fleet.target_urls if name.startswith("engine")]
    operators.Operator(fleet).propose_and_roll(fleets.simple_bundle(1, {"hint": (digest, 100)}))
    processes.wait_for("the first chunks", lambda: origin_read_ratio(fleet, "hint-1") > 0.1)
    fleet.processes[names[0]].kill()
    fleet.processes[names[3]].suspend()
    joined = fleet.add_engine("zone-a", 3)
    inject_fault(fleet, fleet.origin_url, bytes_per_s=1e9)
    wait_until_serving(fleet, digest, 5, 60)
    assert joined.name in {agent["name"] for agent in fleet.status()["agents"]}
    assert origin_read_ratio(fleet, "hint-1") <= 1.5
    fleet.processes[names[3]].resume()
    fleet.restart(names[0])
    wait_until_serving(fleet, digest, 7, 60)


def test_restarted_agent_with_a_store_folder_reads_nothing_again(make_fleet):
    shape = fleets.dataclasses.replace(SHAPE, with_store_folder=True, engines_per_zone=1)
    fleet = make_fleet(shape)
    digest = fleet.publish("hint-1", OBJECT_BYTES, CHUNK_BYTES)
    operators.Operator(fleet).propose_and_roll(fleets.simple_bundle(1, {"hint": (digest, 100)}))
    wait_until_serving(fleet, digest, 2)
    for name in list(fleet.target_urls):
        fleet.processes[name].kill()
        fleet.processes[f"{name}-target"].kill()
        fleet.restart(f"{name}-target")
        fleet.restart(name)
    wait_until_serving(fleet, digest, 2, 30)
    assert origin_read_ratio(fleet, "hint-1") == pytest.approx(1.0, abs=0.05)


def test_directive_older_than_the_fence_of_the_engine_is_refused(make_fleet):
    shape = fleets.dataclasses.replace(SHAPE, engines_per_zone=1, zones=("zone-a",))
    fleet = make_fleet(shape)
    digest = fleet.publish("hint-1", OBJECT_BYTES, CHUNK_BYTES)
    operators.Operator(fleet).propose_and_roll(fleets.simple_bundle(1, {"hint": (digest, 100)}))
    wait_until_serving(fleet, digest, 1)
    name, url = next(iter(fleet.target_urls.items()))
    order = {"action": "unload", "name": "other", "generation": 9, "epoch": 2**60}
    fleet.http.request_ok("POST", f"{url}/v1/orders", msgspec.json.encode(order))
    fleet.processes[name].kill()
    fleet.restart(name)
    processes.wait_for(
        "a refusal of the old directive",
        lambda: fleet.processes[name].events("directive_too_old"),
    )
    assert fleet.serving_counts("hint") == {digest: 1}
    assert fleet.get(url, "/v1/status")["fence"]["generation"] == 9
