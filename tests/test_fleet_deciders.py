"""Decision logic of deployments: routes, instance registry, retry budgets, dispatch, pacing."""

import math
import random

import pytest

from merlinthread import errors
from merlinthread.coordination import (
    backend_record,
    dispatch,
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

BEAT_S = 1.2


def make_route(name="r", host="h", prefix="/a/", **changes) -> fleet.Route:
    shares = changes.pop("shares", [fleet.Share("s")])
    return fleet.Route(name, host, prefix, "safe", 2.0, 0.4, 1, shares, **changes)


def make_configuration(routes=None, accounts=None, version=1) -> fleet.Configuration:
    routes = [make_route()] if routes is None else routes
    return fleet.Configuration(version, routes, [fleet.Service("s")], accounts or [])


def test_the_longest_prefix_of_the_host_wins():
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
def test_a_configuration_that_contradicts_itself_is_refused_with_its_field(configuration):
    with pytest.raises(errors.ConfigurationError) as raised:
        route_table.validate(configuration)
    assert raised.value.field


def beat(instance="i", address="1.1.1.1:1", sequence=1, state=fleet.READY) -> fleet.Heartbeat:
    return fleet.Heartbeat(instance, "s", address, "z", 4, state, sequence)


def test_a_late_heartbeat_does_not_undo_a_drain():
    registry = instances.InstanceRegistry(BEAT_S)
    registry.record_heartbeat(beat(sequence=5, state=fleet.DRAINING), 0.0)
    registry.record_heartbeat(beat(sequence=4), 0.1)
    registry.record_heartbeat(beat(sequence=6), 0.2)
    assert registry.known["i"].heartbeat.state == fleet.DRAINING


def test_an_instance_that_left_does_not_come_back():
    registry = instances.InstanceRegistry(BEAT_S)
    registry.record_heartbeat(beat(), 0.0)
    registry.mark_gone("i")
    registry.record_heartbeat(beat(sequence=9), 0.1)
    assert registry.known == {}


def test_a_new_instance_at_an_address_takes_the_place_of_the_old_one():
    registry = instances.InstanceRegistry(BEAT_S)
    registry.record_heartbeat(beat("old"), 0.0)
    registry.record_heartbeat(beat("new"), 1.0)
    registry.record_heartbeat(beat("old", sequence=2), 1.1)
    assert list(registry.known) == ["new"]


def test_who_knows_a_position_is_told_what_changed_after_it():
    registry = instances.InstanceRegistry(BEAT_S)
    registry.record_heartbeat(beat("a", "1.1.1.1:1"), 0.0)
    position = registry.position
    registry.record_heartbeat(beat("b", "1.1.1.1:2"), 0.0)
    registry.record_heartbeat(beat("a", "1.1.1.1:1", sequence=2), 0.5)
    is_full, changed, gone = registry.changes_since(position, 0.5)
    assert (is_full, [told.heartbeat.instance for told in changed], gone) == (False, ["b"], [])
    registry.mark_gone("a")
    assert registry.changes_since(position, 0.5)[2] == ["a"]


def test_silent_instances_are_dropped_and_all_is_told_anew():
    registry = instances.InstanceRegistry(BEAT_S)
    registry.record_heartbeat(beat("a", "1.1.1.1:1"), 0.0)
    registry.record_heartbeat(beat("b", "1.1.1.1:2"), 9.0)
    position = registry.position
    assert registry.expire(10.0, 5.0) == ["a"]
    is_full, changed, _ = registry.changes_since(position, 10.0)
    assert is_full and [told.heartbeat.instance for told in changed] == ["b"]


def test_the_highest_version_wins_whatever_the_order():
    state = fleet_state.FleetState()
    assert state.apply(fleet_state.Configure(5, b"five"))
    assert not state.apply(fleet_state.Configure(4, b"four"))
    assert not state.apply(fleet_state.Configure(5, b"other"))
    assert (state.version, state.body) == (5, b"five")


def test_gone_is_final():
    state = fleet_state.FleetState()
    assert state.apply(fleet_state.Depart("i", fleet.GONE))
    assert not state.apply(fleet_state.Depart("i", fleet.DRAINING))
    assert state.departed == {"i": fleet.GONE}


def test_all_entries_together_keep_to_the_budget():
    entries = [retry_budget.RetryBudget(0.15, 10.0, 3) for _ in range(7)]
    now, spent, requests = 0.0, 0, 0
    for step in range(2000):
        now = step * 0.01
        entry = entries[step % 7]
        entry.record_first_attempt(now)
        requests += now > 10.0
        for _ in range(3):
            spent += entry.spend(now) and now > 10.0
    assert spent <= 0.2 * requests + 7 * 3


def backend(name="b", **changes) -> backend_record.Backend:
    fields = {"service": "s", "address": "x", "zone": "z", "distance": 0, "slots": 16}
    return backend_record.Backend(name, **(fields | changes))


ENGINE = fleet.Engine(16, ["m"], 16, 96, 100, 0.009, 5, 20000.0, 900.0, 90.0)


def test_the_less_loaded_back_end_is_chosen():
    busy, idle = backend("busy", in_flight=12, unread_tokens=4000.0), backend("idle")
    for one in (busy, idle):
        one.weights = [fleet.Weights("m", 1, 16)]
    choice = dispatch.choose(
        [busy, idle],
        dispatch.Requirements("s", "m", prompt_tokens=900.0),
        ENGINE,
        0.0,
        random.Random(1),
    )
    assert choice.backend is idle


def test_only_whole_weights_of_the_required_version_are_chosen():
    held = {
        "empty": [],
        "part": [fleet.Weights("m", 2, 8)],
        "old": [fleet.Weights("m", 1, 16)],
        "new": [fleet.Weights("m", 2, 16)],
    }
    backends = [backend(name, weights=weights) for name, weights in held.items()]
    demand = dispatch.Requirements("s", "m", 2)
    able = [b.instance for b in backends if dispatch.is_eligible(b, demand, ENGINE, 0.0)]
    assert able == ["new"]


def test_a_failed_back_end_is_set_aside_longer_each_time_and_comes_back():
    one = backend()
    waits = []
    for _ in range(3):
        dispatch.record_failure(one, 100.0)
        waits.append(one.ejected_until - 100.0)
    assert waits == sorted(set(waits))
    demand = dispatch.Requirements("s")
    assert not dispatch.is_eligible(one, demand, None, 100.0)
    assert dispatch.is_eligible(one, demand, None, 110.0)
    dispatch.record_success(one, 0.1)
    assert one.failures == 0


def test_the_last_back_end_there_is_is_tried_by_one_request_at_a_time_after_a_failure():
    # Two of three back ends were removed, and one connection attempt to the last one failed.
    demand = dispatch.Requirements("s")
    only, taken_away = backend("only"), backend("taken away")
    taken_away.is_draining = True
    dispatch.record_failure(only, 10.0)
    choice = dispatch.choose([only, taken_away], demand, None, 10.05, random.Random(1))
    assert choice.backend is only
    assert choice.wait_s == math.inf, "others are preferred, a request waits a moment for them"
    only.in_flight = 1
    assert dispatch.choose([only], demand, None, 10.05, random.Random(1)) is None
    sound = backend("sound", in_flight=5)
    choice = dispatch.choose([only, sound], demand, None, 10.05, random.Random(1))
    assert choice.backend is sound
    demand.tried = {"only"}
    only.in_flight = 0
    assert dispatch.choose([only], demand, None, 10.05, random.Random(1)) is None


def test_an_old_report_is_not_believed():
    one = backend(in_flight=2)
    one.apply_report(fleet.EngineReport(running=9), 0.0)
    assert one.load(0.5) == 9
    assert one.load(5.0) == 2


def test_a_back_end_whose_reports_have_stopped_is_chosen_last():
    silent, heard = backend("silent"), backend("heard", in_flight=8)
    for one, at in ((silent, 0.0), (heard, 9.5)):
        one.apply_report(fleet.EngineReport(weights=[fleet.Weights("m", 1, 16)]), at)
    demand = dispatch.Requirements("s", "m", prompt_tokens=900.0)
    choice = dispatch.choose([silent, heard], demand, ENGINE, 10.0, random.Random(1))
    assert choice.backend is heard
    assert dispatch.choose([silent], demand, ENGINE, 10.0, random.Random(1)).backend is silent


def test_a_pace_spreads_transfers_and_takes_back_what_did_not_happen():
    pacer = pacing.Pacer(100.0, 0.0)
    assert [pacer.reserve(50, 0.0) for _ in range(3)] == [0.0, 0.5, 1.0]
    pacer.cancel_reservation(50)
    assert pacer.reserve(50, 0.0) == 1.0


def test_events_are_given_whole_whatever_the_pieces():
    text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
    for size in range(1, len(text)):
        splitter = event_stream.EventSplitter()
        found = []
        for start in range(0, len(text), size):
            found += splitter.feed(text[start : start + size])
        assert [event.event_id for event in found] == ["1", "2"]
        assert b"".join(event.data for event in found) + splitter.buffer == text


def make_zoned(me: str, names: dict[str, int]) -> fetch_policies.Zoned:
    plan = fetch_policies.Zoned(me, "m@2", 24, 0, 1, 0.0, random.Random(1))
    plan.set_peers([fetch.Peer(name, name, distance) for name, distance in names.items()])
    return plan


def test_a_chunk_is_asked_of_a_far_zone_by_one_vm_of_the_zone():
    zone = ["a", "b", "c"]
    asked = []
    for me in zone:
        names = {name: fetch.SAME_ZONE for name in zone if name != me} | {"far": fetch.OTHER_REGION}
        plan = make_zoned(me, names)
        plan.on_peer_report("far", plan.all_chunks, 0.0)
        asked.append(plan.cross_zone_chunks(0.0))
    assert asked[0] | asked[1] | asked[2] == make_zoned("a", {}).all_chunks
    assert asked[0] & asked[1] == asked[0] & asked[2] == asked[1] & asked[2] == 0


def test_a_vm_without_news_asks_far_zones_for_all_it_lacks():
    names = {"b": fetch.SAME_ZONE, "far": fetch.OTHER_REGION}
    plan = make_zoned("a", names)
    assert plan.cross_zone_chunks(0.0) != plan.all_chunks
    assert plan.cross_zone_chunks(3 * plan.origin_grace_s) == plan.all_chunks


def test_the_origin_is_read_for_what_is_missing_only_when_time_presses():
    plan = make_zoned("a", {"b": fetch.SAME_ZONE, "c": fetch.SAME_ZONE})
    plan.held = plan.owned
    assert not isinstance(plan.next_action(0.0), fetch.OriginRead)
    plan.is_late = True
    action = plan.next_action(0.0)
    assert isinstance(action, fetch.OriginRead) and not plan.held >> action.index & 1


def test_a_ledger_tells_each_entry_what_the_others_have_to_be_read():
    ledger = load_tracker.LoadTracker()
    ledger.record_start("entry-1", 1, 900.0, 10.0)
    ledger.record_start("entry-2", 1, 500.0, 10.0)
    ledger.record_start("entry-2", 2, 700.0, 10.1)
    assert ledger.outstanding("entry-1", 10.2) == load_tracker.Outstanding(2, 2, 1200.0)
    ledger.record_first_byte("entry-2", 1)
    ledger.record_end("entry-2", 2)
    assert ledger.outstanding("entry-1", 10.2) == load_tracker.Outstanding(1, 0, 0.0)
    assert ledger.outstanding("entry-3", 10.2) == load_tracker.Outstanding(2, 1, 900.0)


def test_lost_notes_are_forgotten_and_unknown_load_counts():
    ledger = load_tracker.LoadTracker()
    ledger.record_start("entry-1", 1, 900.0, 10.0)
    late = 10.0 + load_tracker.UNREAD_EXPIRY_S + 0.1
    assert ledger.outstanding("entry-2", late) == load_tracker.Outstanding(1, 0, 0.0)
    ledger.apply_report(4, late)
    assert ledger.outstanding("entry-2", late).attempts == 4
    ledger.apply_report(0, late)
    assert ledger.outstanding("entry-2", late).attempts == 0
    ledger.apply_report(0, 10.0 + load_tracker.ATTEMPT_EXPIRY_S + 0.1)
    assert not ledger.open


def test_prompts_that_others_have_sent_put_the_first_byte_off():
    busy, idle = backend("busy"), backend("idle")
    for one, tokens in ((busy, 5000.0), (idle, 0.0)):
        one.apply_report(fleet.EngineReport(weights=[fleet.Weights("m", 1, 16)]), 9.95)
        one.apply_probe_reply(load_tracker.EngineLoad(load_tracker.Outstanding(3, 2, tokens)), 10.0)
    demand = dispatch.Requirements("s", "m", prompt_tokens=1000.0)
    choices = [dispatch.evaluate(one, demand, ENGINE, 10.0) for one in (busy, idle)]
    expected = 5000.0 / ENGINE.read_tokens_per_s
    assert choices[0].first_byte_s - choices[1].first_byte_s == pytest.approx(expected)
    best = dispatch.choose_best([busy, idle], demand, ENGINE, 10.0)
    assert best is not None and best.backend is idle


def test_a_request_beyond_the_slots_waits_for_one_that_ends():
    one = backend("one")
    found = []
    for load in range(one.slots - 2, one.slots + 2):
        one.in_flight = load
        found.append(dispatch.expected_first_byte_s(one, ENGINE, 0.0, 10.0))
    steps = [after - before for before, after in zip(found, found[1:], strict=False)]
    bare_s = ENGINE.usual_response_tokens * ENGINE.step_s / one.slots
    assert steps[0] < bare_s < 2 * bare_s < steps[1] == pytest.approx(steps[2])


def test_an_engine_whose_agent_is_silent_or_which_is_slow_looks_worse():
    prompt, silent, slow = backend("prompt"), backend("silent"), backend("slow")
    for one, pace in ((prompt, 1.0), (silent, 1.0), (slow, 4.0)):
        report = fleet.EngineReport(weights=[fleet.Weights("m", 1, 16)], pace=pace)
        one.apply_report(report, 9.95)
    silent.apply_probe_reply(None, 10.0)
    demand = dispatch.Requirements("s", "m", prompt_tokens=1000.0)
    asked = dispatch.shortlist([slow, silent, prompt], demand, ENGINE, 10.0, random.Random(1), 3)
    assert asked[0] is prompt


def test_the_origins_spare_link_is_shared_among_vms_for_what_the_zone_lacks():
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


def test_a_chunk_that_the_origin_fails_to_give_does_not_hold_the_others_up():
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


def test_a_rate_is_that_of_the_last_moment():
    rate = pacing.RecentRate(1.0)
    assert rate.per_s() == 0.0
    for tenth in range(30):
        rate.record(tenth if tenth < 15 else 15 + 3 * (tenth - 15), tenth / 10)
    assert rate.per_s() == pytest.approx(30.0, rel=0.2)


def test_a_back_end_that_answers_nothing_does_not_go_on_drawing_requests():
    silent = backend(
        "silent", in_flight=3, response_time=backend_record.ResponseTime(0.005, responses=1000)
    )
    idle = backend("idle", response_time=backend_record.ResponseTime(0.1, responses=1000))
    choice = dispatch.choose(
        [silent, idle], dispatch.Requirements("s"), None, 0.0, random.Random(1)
    )
    assert choice.backend is idle


def test_shortly_before_a_version_is_due_the_old_one_serves_only_where_requests_arrive_promptly():
    old = [fleet.Weights("m", 1, 16)]
    report = fleet.EngineReport(weights=old)
    prompt, slow, silent, asked_before = (
        backend(name) for name in ("prompt", "slow", "silent", "asked-before")
    )
    nothing = load_tracker.EngineLoad(load_tracker.Outstanding())
    for one in (prompt, slow, silent, asked_before):
        one.apply_report(report, 9.99)
    prompt.apply_probe_reply(nothing, 9.99)
    slow.apply_probe_reply(nothing, 9.99)
    slow.record_first_byte_delay(0.8, 9.0)
    silent.apply_probe_reply(None, 9.99)
    asked_before.apply_probe_reply(nothing, 9.9)
    all_of_them = [prompt, slow, silent, asked_before]
    demand = dispatch.Requirements("s", "m", version_soon=2)
    found = dispatch.shortlist(all_of_them, demand, ENGINE, 10.0, random.Random(1), 4)
    assert len(found) == 4, "each may be asked"
    for one in all_of_them:
        choice = dispatch.choose_best([one], demand, ENGINE, 10.0)
        assert (choice is not None) == (one is prompt)


def test_a_late_heartbeat_of_an_ended_instance_does_not_replace_the_one_at_its_address():
    # The control VM does not know the old instance, since it has just started or was partitioned.
    registry = instances.InstanceRegistry(BEAT_S)
    registry.record_heartbeat(beat("new", sequence=3), 0.0)
    assert not registry.record_heartbeat(beat("old", sequence=40), 0.5)
    assert not registry.record_heartbeat(beat("old", sequence=41), 0.6)
    registry.record_heartbeat(beat("new", sequence=4), 1.2)
    assert set(registry.known) == {"new"}
    assert not registry.record_heartbeat(beat("old", sequence=42), 2.4)
    assert set(registry.known) == {"new"}


def test_an_instance_that_has_just_begun_is_known_at_once_whatever_comes_late_of_the_one_before():
    registry = instances.InstanceRegistry(BEAT_S)
    registry.record_heartbeat(beat("first", sequence=7), 0.0)
    assert registry.record_heartbeat(beat("second", sequence=1), 0.9)
    assert not registry.record_heartbeat(beat("first", sequence=8), 1.0)
    assert set(registry.known) == {"second"}


def test_an_instance_heard_late_is_known_once_the_one_at_its_address_is_silent():
    registry = instances.InstanceRegistry(BEAT_S)
    registry.record_heartbeat(beat("first", sequence=7), 0.0)
    assert not registry.record_heartbeat(beat("second", sequence=12), 0.9)
    assert registry.record_heartbeat(beat("second", sequence=13), 2.1)
    assert not registry.record_heartbeat(beat("first", sequence=8), 2.2)
    assert set(registry.known) == {"second"}


def test_an_instance_at_the_address_of_one_that_has_left_is_known_at_once():
    registry = instances.InstanceRegistry(BEAT_S)
    registry.record_heartbeat(beat("first", sequence=7), 0.0)
    registry.mark_gone("first")
    assert registry.record_heartbeat(beat("second", sequence=1), 0.1)
    assert set(registry.known) == {"second"}


def test_an_instance_that_drains_gives_its_address_up_at_once():
    registry = instances.InstanceRegistry(BEAT_S)
    registry.record_heartbeat(beat("first", sequence=7, state=fleet.DRAINING), 0.0)
    assert registry.record_heartbeat(beat("second", sequence=1), 0.1)
    assert set(registry.known) == {"second"}
