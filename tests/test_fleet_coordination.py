"""Decision logic of deployments: routes, instance registry, retry budgets, dispatch, pacing."""

import math
import random

import pytest

from merlinthread import errors
from merlinthread.coordination import (
    backend_health,
    backend_record,
    dispatch,
    expected_wait,
    fetch,
    fetch_policies,
    fleet,
    fleet_state,
    instances,
    load_tracker,
    pacing,
    retry_budget,
    route_table,
)
from merlinthread.protocol import event_stream

HEARTBEAT_INTERVAL_S = 1.2


def make_route(name="r", host="h", prefix="/a/", **changes) -> fleet.Route:
    shares = changes.pop("shares", [fleet.Share("s")])
    return fleet.Route(name, host, prefix, "safe", 2.0, 0.4, 1, shares, **changes)


def make_configuration(routes=None, accounts=None, version=1) -> fleet.Configuration:
    routes = [make_route()] if routes is None else routes
    return fleet.Configuration(version, routes, [fleet.Service("s")], accounts or [])


def test_longest_path_prefix_of_the_host_wins():
    table = route_table.RouteTable(
        make_configuration([make_route("short", prefix="/a/"), make_route("long", prefix="/a/b/")])
    )
    assert table.find("h", "/a/b/c").name == "long"
    assert table.find("h", "/a/c").name == "short"
    assert table.find("h", "/b/") is None
    assert table.find("other", "/a/b/") is None


@pytest.mark.parametrize(
    "configuration",
    [
        make_configuration([make_route(shares=[fleet.Share("unknown")])]),
        make_configuration([make_route("x"), make_route("y")]),
        make_configuration([make_route(shares=[fleet.Share("s", 0.0)])]),
        make_configuration([make_route(shares=[])]),
        make_configuration([fleet.Route("r", "h", "/", "safe", 0.0, 0.4, 1, [fleet.Share("s")])]),
        make_configuration(accounts=[fleet.Account("a", ["k"]), fleet.Account("b", ["k"])]),
        make_configuration(version=0),
    ],
)
def test_invalid_configuration_is_refused_with_its_field(configuration):
    with pytest.raises(errors.ConfigurationError) as raised:
        route_table.validate(configuration)
    assert raised.value.field


def make_heartbeat(
    instance="i", address="1.1.1.1:1", sequence=1, state=fleet.READY
) -> fleet.Heartbeat:
    return fleet.Heartbeat(instance, "s", address, "z", 4, state, sequence)


def test_a_late_heartbeat_does_not_undo_a_drain():
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.record_heartbeat(make_heartbeat(sequence=5, state=fleet.DRAINING), 0.0)
    registry.record_heartbeat(make_heartbeat(sequence=4), 0.1)
    registry.record_heartbeat(make_heartbeat(sequence=6), 0.2)
    assert registry.known["i"].heartbeat.state == fleet.DRAINING


def test_heartbeat_of_a_departed_instance_is_ignored():
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.record_heartbeat(make_heartbeat(), 0.0)
    registry.mark_gone("i")
    registry.record_heartbeat(make_heartbeat(sequence=9), 0.1)
    assert registry.known == {}


def test_new_instance_replaces_the_old_one_at_its_address():
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.record_heartbeat(make_heartbeat("old"), 0.0)
    assert not registry.record_heartbeat(make_heartbeat("new"), 1.0)
    registry.record_heartbeat(make_heartbeat("new"), 1.0, is_confirmed=True)
    registry.record_heartbeat(make_heartbeat("old", sequence=2), 1.1)
    assert list(registry.known) == ["new"]


def test_changes_since_a_position_are_incremental():
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.record_heartbeat(make_heartbeat("a", "1.1.1.1:1"), 0.0)
    position = registry.position
    registry.record_heartbeat(make_heartbeat("b", "1.1.1.1:2"), 0.0)
    registry.record_heartbeat(make_heartbeat("a", "1.1.1.1:1", sequence=2), 0.5)
    is_full, changed, gone = registry.changes_since(position, 0.5)
    assert (is_full, [record.heartbeat.instance for record in changed], gone) == (False, ["b"], [])
    registry.mark_gone("a")
    assert registry.changes_since(position, 0.5)[2] == ["a"]


def test_expired_instances_are_dropped_and_changes_are_full():
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.record_heartbeat(make_heartbeat("a", "1.1.1.1:1"), 0.0)
    registry.record_heartbeat(make_heartbeat("b", "1.1.1.1:2"), 9.0)
    position = registry.position
    assert registry.expire(10.0, 5.0) == ["a"]
    is_full, changed, _ = registry.changes_since(position, 10.0)
    assert is_full and [record.heartbeat.instance for record in changed] == ["b"]


def test_highest_version_wins_in_any_order():
    state = fleet_state.FleetState()
    assert state.apply(fleet_state.Configure(5, b"five"))
    assert not state.apply(fleet_state.Configure(4, b"four"))
    assert not state.apply(fleet_state.Configure(5, b"other"))
    assert (state.version, state.body) == (5, b"five")


def test_gone_instance_does_not_return_to_draining():
    state = fleet_state.FleetState()
    assert state.apply(fleet_state.Depart("i", fleet.GONE))
    assert not state.apply(fleet_state.Depart("i", fleet.DRAINING))
    assert state.departed == {"i": fleet.GONE}


def test_retry_budget_holds_across_all_entries():
    entries = [retry_budget.RetryBudget(0.15, 10.0, 3) for _ in range(7)]
    now, spent, requests = 0.0, 0, 0
    for step in range(2000):
        now = step * 0.01
        entry = entries[step % 7]
        entry.record_first_attempt(now)
        requests += now > 10.0
        for _ in range(3):
            if entry.reserve(now):
                spent += entry.use(now) and now > 10.0
    assert spent <= 0.2 * requests + 7 * 3


def make_backend(name="b", **changes) -> backend_record.Backend:
    fields = {"service": "s", "address": "x", "zone": "z", "distance": 0, "slots": 16}
    return backend_record.Backend(name, **(fields | changes))


ENGINE = fleet.Engine(16, ["m"], 16, 96, 100, 0.009, 5, 20000.0, 900.0, 90.0)


def test_the_less_loaded_back_end_is_chosen():
    busy, idle = make_backend("busy", in_flight=12, unread_tokens=4000.0), make_backend("idle")
    for backend in (busy, idle):
        backend.weights = [fleet.Weights("m", 1, 16)]
    choice = dispatch.choose(
        [busy, idle],
        dispatch.Requirements("s", "m", prompt_tokens=900.0),
        ENGINE,
        0.0,
        random.Random(1),
    )
    assert choice.backend is idle


def test_only_complete_weights_of_the_required_version_are_eligible():
    held = {
        "empty": [],
        "part": [fleet.Weights("m", 2, 8)],
        "old": [fleet.Weights("m", 1, 16)],
        "new": [fleet.Weights("m", 2, 16)],
    }
    backends = [make_backend(name, weights=weights) for name, weights in held.items()]
    demand = dispatch.Requirements("s", "m", 2)
    eligible = [b.instance for b in backends if dispatch.is_eligible(b, demand, ENGINE, 0.0)]
    assert eligible == ["new"]


def test_repeated_failures_lengthen_the_ejection_of_a_back_end():
    backend = make_backend()
    ejections_s = []
    for _ in range(3):
        backend_health.record_failure(backend, 100.0)
        ejections_s.append(backend.ejected_until - 100.0)
    assert ejections_s == sorted(set(ejections_s))
    demand = dispatch.Requirements("s")
    assert not dispatch.is_eligible(backend, demand, None, 100.0)
    assert dispatch.is_eligible(backend, demand, None, 110.0)
    backend_health.record_success(backend, 0.1)
    assert backend.failures == 0


# Guards against keeping a back end out after a silence that has ended unseen, since its attempts
# were given up.
def test_silence_ends_with_the_acceptance_of_a_later_request():
    backend = make_backend()
    backend_health.record_silence(backend, 10.0)
    assert backend.is_ejected(10.1) and not backend.is_accepting()
    # Some requests may be answered while others hang.
    backend_health.record_accepted(backend, 9.9)
    assert backend.is_ejected(10.1) and not backend.is_accepting()
    backend_health.record_accepted(backend, 10.2)
    assert not backend.is_ejected(10.3) and backend.is_accepting()


def test_last_ejected_back_end_gets_one_request_at_a_time():
    # Two of three back ends were removed, and one connection attempt to the last one failed.
    demand = dispatch.Requirements("s")
    only, draining = make_backend("only"), make_backend("taken away")
    draining.is_draining = True
    backend_health.record_failure(only, 10.0)
    choice = dispatch.choose([only, draining], demand, None, 10.05, random.Random(1))
    assert choice.backend is only
    assert choice.wait_s == math.inf, "a request waits for other back ends first"
    only.in_flight = 1
    assert dispatch.choose([only], demand, None, 10.05, random.Random(1)) is None
    sound = make_backend("sound", in_flight=5)
    choice = dispatch.choose([only, sound], demand, None, 10.05, random.Random(1))
    assert choice.backend is sound
    demand.tried = {"only"}
    only.in_flight = 0
    assert dispatch.choose([only], demand, None, 10.05, random.Random(1)) is None


def test_stale_report_is_ignored():
    backend = make_backend(in_flight=2)
    backend.apply_report(fleet.EngineReport(running=9), 0.0)
    assert backend.load(0.5) == 9
    assert backend.load(5.0) == 2


def test_back_end_without_recent_reports_is_chosen_last():
    silent, heard = make_backend("silent"), make_backend("heard", in_flight=8)
    for backend, at in ((silent, 0.0), (heard, 9.5)):
        backend.apply_report(fleet.EngineReport(weights=[fleet.Weights("m", 1, 16)]), at)
    demand = dispatch.Requirements("s", "m", prompt_tokens=900.0)
    choice = dispatch.choose([silent, heard], demand, ENGINE, 10.0, random.Random(1))
    assert choice.backend is heard
    assert dispatch.choose([silent], demand, ENGINE, 10.0, random.Random(1)).backend is silent


def test_pacer_spreads_transfers_and_returns_cancelled_reservations():
    pacer = pacing.Pacer(100.0, 0.0)
    assert [pacer.reserve(50, 0.0) for _ in range(3)] == [0.0, 0.5, 1.0]
    pacer.cancel_reservation(50)
    assert pacer.reserve(50, 0.0) == 1.0


def test_events_are_complete_for_any_chunk_size():
    text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
    for size in range(1, len(text)):
        splitter = event_stream.EventSplitter()
        found = []
        for start in range(0, len(text), size):
            found += splitter.feed(text[start : start + size])
        assert [event.event_id for event in found] == ["1", "2"]
        assert b"".join(event.data for event in found) + splitter.buffer == text


def make_zoned(own_name: str, names: dict[str, int]) -> fetch_policies.Zoned:
    plan = fetch_policies.Zoned(own_name, "m@2", 24, 0, 1, 0.0, random.Random(1))
    plan.set_peers([fetch.Peer(name, name, distance) for name, distance in names.items()])
    return plan


def test_one_vm_per_zone_requests_a_chunk_from_other_zones():
    zone = ["a", "b", "c"]
    requested = []
    for own_name in zone:
        names = {name: fetch.SAME_ZONE for name in zone if name != own_name} | {
            "far": fetch.OTHER_REGION
        }
        plan = make_zoned(own_name, names)
        plan.on_peer_report("far", plan.all_chunks, 0.0)
        requested.append(plan.cross_zone_chunks(0.0))
    assert requested[0] | requested[1] | requested[2] == make_zoned("a", {}).all_chunks
    assert (
        requested[0] & requested[1]
        == requested[0] & requested[2]
        == requested[1] & requested[2]
        == 0
    )


def test_vm_without_progress_requests_all_chunks_from_other_zones():
    names = {"b": fetch.SAME_ZONE, "far": fetch.OTHER_REGION}
    plan = make_zoned("a", names)
    assert plan.cross_zone_chunks(0.0) != plan.all_chunks
    assert plan.cross_zone_chunks(3 * plan.origin_grace_s) == plan.all_chunks


def test_unowned_chunks_are_read_from_the_origin_only_when_late():
    plan = make_zoned("a", {"b": fetch.SAME_ZONE, "c": fetch.SAME_ZONE})
    plan.held = plan.owned
    assert not isinstance(plan.next_action(0.0), fetch.OriginRead)
    plan.is_late = True
    action = plan.next_action(0.0)
    assert isinstance(action, fetch.OriginRead) and not plan.held >> action.index & 1


def test_load_tracker_reports_the_load_of_other_entries():
    tracker = load_tracker.LoadTracker()
    tracker.record_start("entry-1", 1, 900.0, 10.0)
    tracker.record_start("entry-2", 1, 500.0, 10.0)
    tracker.record_start("entry-2", 2, 700.0, 10.1)
    assert tracker.outstanding("entry-1", 10.2) == load_tracker.Outstanding(2, 2, 1200.0)
    tracker.record_first_byte("entry-2", 1)
    tracker.record_end("entry-2", 2)
    assert tracker.outstanding("entry-1", 10.2) == load_tracker.Outstanding(1, 0, 0.0)
    assert tracker.outstanding("entry-3", 10.2) == load_tracker.Outstanding(2, 1, 900.0)


def test_lost_notices_expire_and_unreported_load_counts():
    tracker = load_tracker.LoadTracker()
    tracker.record_start("entry-1", 1, 900.0, 10.0)
    late = 10.0 + load_tracker.UNREAD_EXPIRY_S + 0.1
    assert tracker.outstanding("entry-2", late) == load_tracker.Outstanding(1, 0, 0.0)
    tracker.apply_report(4, late)
    assert tracker.outstanding("entry-2", late).attempts == 4
    tracker.apply_report(0, late)
    assert tracker.outstanding("entry-2", late).attempts == 0
    tracker.apply_report(0, 10.0 + load_tracker.ATTEMPT_EXPIRY_S + 0.1)
    assert not tracker.open


def test_unread_prompts_of_other_entries_delay_the_first_byte():
    busy, idle = make_backend("busy"), make_backend("idle")
    for backend, tokens in ((busy, 5000.0), (idle, 0.0)):
        backend.apply_report(fleet.EngineReport(weights=[fleet.Weights("m", 1, 16)]), 9.95)
        backend.apply_probe_reply(
            load_tracker.EngineLoad(load_tracker.Outstanding(3, 2, tokens)), 10.0
        )
    demand = dispatch.Requirements("s", "m", prompt_tokens=1000.0)
    choices = [dispatch.evaluate(backend, demand, ENGINE, 10.0) for backend in (busy, idle)]
    expected = 5000.0 / ENGINE.read_tokens_per_s
    assert choices[0].first_byte_s - choices[1].first_byte_s == pytest.approx(expected)
    best = dispatch.choose_best([busy, idle], demand, ENGINE, 10.0)
    assert best is not None and best.backend is idle


def test_expected_first_byte_is_later_once_all_slots_are_used():
    backend = make_backend("one")
    found = []
    for load in range(backend.slots - 2, backend.slots + 2):
        backend.in_flight = load
        found.append(expected_wait.expected_first_byte_s(backend, ENGINE, 0.0, 10.0))
    steps = [after - before for before, after in zip(found, found[1:], strict=False)]
    slot_wait_s = ENGINE.usual_response_tokens * ENGINE.step_s / backend.slots
    assert steps[0] < slot_wait_s < 2 * slot_wait_s < steps[1] == pytest.approx(steps[2])


def test_shortlist_prefers_fast_engines_with_responding_agents():
    prompt, silent, slow = make_backend("prompt"), make_backend("silent"), make_backend("slow")
    for backend, pace in ((prompt, 1.0), (silent, 1.0), (slow, 4.0)):
        report = fleet.EngineReport(weights=[fleet.Weights("m", 1, 16)], pace=pace)
        backend.apply_report(report, 9.95)
    silent.apply_probe_reply(None, 10.0)
    demand = dispatch.Requirements("s", "m", prompt_tokens=1000.0)
    shortlisted = dispatch.shortlist(
        [slow, silent, prompt], demand, ENGINE, 10.0, random.Random(1), 3
    )
    assert shortlisted[0] is prompt


def test_spare_origin_bandwidth_is_used_for_chunks_missing_in_the_zone():
    plan = make_zoned("a", {"b": fetch.SAME_ZONE, "far": fetch.OTHER_REGION})
    plan.held = plan.owned
    plan.extra_read_interval_s = 0.5
    plan.on_peer_report("b", plan.all_chunks & ~plan.owned & ~(1 << 7 | 1 << 9), 0.0)
    plan.postpone_requests("b", 9.0)
    found = []
    for now in (0.0, 0.3, 0.6, 0.9):
        action = plan.next_action(now)
        if isinstance(action, fetch.OriginRead):
            found.append((now, action.index))
            plan.on_chunk_received(action.index, True, now)
    assert [now for now, _ in found] == [0.0, 0.6]
    assert {index for _, index in found} <= {7, 9} - set(fetch.bit_positions(plan.owned))


def test_failed_origin_read_does_not_block_other_chunks():
    plan = make_zoned("a", {})
    plan.is_late = True
    read = []
    for now in range(48):
        action = plan.next_action(float(now))
        assert isinstance(action, fetch.OriginRead)
        read.append(action.index)
        if action.index in (3, 17):
            plan.on_origin_failed(float(now), 0.5, action.index)
        else:
            plan.on_chunk_received(action.index, True, float(now))
    assert plan.held == plan.all_chunks & ~(1 << 3 | 1 << 17)


def test_recent_rate_follows_the_last_second():
    rate = pacing.RecentRate(1.0)
    assert rate.per_s() == 0.0
    for tenth in range(30):
        rate.record(tenth if tenth < 15 else 15 + 3 * (tenth - 15), tenth / 10)
    assert rate.per_s() == pytest.approx(30.0, rel=0.2)


def test_unresponsive_back_end_stops_attracting_requests():
    silent = make_backend(
        "silent", in_flight=3, response_time=backend_record.ResponseTime(0.005, responses=1000)
    )
    idle = make_backend("idle", response_time=backend_record.ResponseTime(0.1, responses=1000))
    choice = dispatch.choose(
        [silent, idle], dispatch.Requirements("s"), None, 0.0, random.Random(1)
    )
    assert choice.backend is idle


def test_old_version_near_its_end_is_used_only_on_prompt_back_ends():
    old = [fleet.Weights("m", 1, 16)]
    report = fleet.EngineReport(weights=old)
    prompt, slow, silent, probed_before = (
        make_backend(name) for name in ("prompt", "slow", "silent", "asked-before")
    )
    no_load = load_tracker.EngineLoad(load_tracker.Outstanding())
    for backend in (prompt, slow, silent, probed_before):
        backend.apply_report(report, 9.99)
    prompt.apply_probe_reply(no_load, 9.99)
    slow.apply_probe_reply(no_load, 9.99)
    slow.record_first_byte_delay(0.8, 9.0)
    silent.apply_probe_reply(None, 9.99)
    probed_before.apply_probe_reply(no_load, 9.9)
    backends = [prompt, slow, silent, probed_before]
    demand = dispatch.Requirements("s", "m", version_soon=2)
    shortlisted = dispatch.shortlist(backends, demand, ENGINE, 10.0, random.Random(1), 4)
    assert len(shortlisted) == 4, "each may be probed"
    for backend in backends:
        choice = dispatch.choose_best([backend], demand, ENGINE, 10.0)
        assert (choice is not None) == (backend is prompt)


def test_late_heartbeat_of_an_ended_instance_is_refused():
    # The control VM does not know the old instance, since it has just started or was partitioned.
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.record_heartbeat(make_heartbeat("new", sequence=3), 0.0)
    assert not registry.record_heartbeat(make_heartbeat("old", sequence=40), 0.5)
    assert not registry.record_heartbeat(make_heartbeat("old", sequence=41), 0.6)
    registry.record_heartbeat(make_heartbeat("new", sequence=4), 1.2)
    assert set(registry.known) == {"new"}
    assert not registry.record_heartbeat(make_heartbeat("old", sequence=42), 2.4)
    assert set(registry.known) == {"new"}


def test_first_heartbeat_of_a_new_instance_replaces_the_old_one():
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.record_heartbeat(make_heartbeat("first", sequence=7), 0.0)
    assert not registry.record_heartbeat(make_heartbeat("second", sequence=1), 0.9)
    assert registry.record_heartbeat(make_heartbeat("second", sequence=1), 0.9, is_confirmed=True)
    assert not registry.record_heartbeat(make_heartbeat("first", sequence=8), 1.0)
    assert set(registry.known) == {"second"}


def test_instance_heard_late_replaces_a_silent_one():
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.record_heartbeat(make_heartbeat("first", sequence=7), 0.0)
    assert not registry.record_heartbeat(make_heartbeat("second", sequence=12), 0.9)
    assert registry.record_heartbeat(make_heartbeat("second", sequence=13), 2.1)
    assert not registry.record_heartbeat(make_heartbeat("first", sequence=8), 2.2)
    assert set(registry.known) == {"second"}


def test_new_instance_is_accepted_at_the_address_of_a_departed_one():
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.record_heartbeat(make_heartbeat("first", sequence=7), 0.0)
    registry.mark_gone("first")
    assert registry.record_heartbeat(make_heartbeat("second", sequence=1), 0.1)
    assert set(registry.known) == {"second"}


def test_draining_instance_is_replaced_at_its_address_at_once():
    registry = instances.InstanceRegistry(HEARTBEAT_INTERVAL_S)
    registry.record_heartbeat(make_heartbeat("first", sequence=7, state=fleet.DRAINING), 0.0)
    assert registry.record_heartbeat(make_heartbeat("second", sequence=1), 0.1)
    assert set(registry.known) == {"second"}
