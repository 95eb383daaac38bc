"""Detection of requests that crash processes, and the holds on them.

Guards against crashing requests that keep running, and against holds on innocent ones.
"""

import random

import hypothesis
from hypothesis import strategies as st

from merlinthread.coordination import crash_tracker, fingerprints, fleet, fleet_state
from merlinthread.nodes import crash_registry

HELD = crash_tracker.HoldState.HELD
HALF_OPEN = crash_tracker.HoldState.HALF_OPEN
CLEARED = crash_tracker.HoldState.CLEARED


def crash(instance: str, at: float, ran_s: float = 0.3) -> crash_tracker.Crash:
    return crash_tracker.Crash(at, instance, at - ran_s)


def tracker_with(fingerprint: str, times: list[float]) -> crash_tracker.CrashTracker:
    tracker = crash_tracker.CrashTracker()
    for number, at in enumerate(times):
        tracker.record_crash(fingerprint, "label", crash(f"i-{number}", at))
    return tracker


def test_request_is_held_after_three_crashes():
    assert not tracker_with("f", [1.0, 2.0]).is_held("f")
    assert tracker_with("f", [1.0, 2.0, 3.0]).is_held("f")


def test_repeated_crashes_of_same_instance_id_are_counted():
    tracker = crash_tracker.CrashTracker()
    for at in (1.0, 1.1, 3.0, 5.0):
        tracker.record_crash("f", "", crash("i-1", at))
    assert tracker.records["f"].incident_count() == 3
    assert tracker.is_held("f")


def test_simultaneous_crashes_count_as_one_incident():
    assert not tracker_with("f", [1.0, 1.01, 1.02, 1.03]).is_held("f")
    assert not tracker_with("f", [1.0, 1.05, 2.0, 2.05]).is_held("f")


def test_crash_of_attempt_started_after_previous_crash_is_counted():
    tracker = crash_tracker.CrashTracker()
    for number in range(3):
        tracker.record_crash("f", "", crash(f"i-{number}", 1.0 + 0.06 * number, ran_s=0.05))
    assert tracker.is_held("f")


def test_report_delays_do_not_merge_incidents():
    tracker = crash_tracker.CrashTracker()
    for number, latency_s in enumerate((0.02, 0.0, 0.02)):
        reported = crash_tracker.ReportedCrash(f"i-{number}", 0.0, 0.05)
        tracker.merge(
            crash_tracker.SuspectReport("f", "", [reported]), 1.0 + 0.055 * number + latency_s
        )
    assert tracker.is_held("f")


def test_complete_response_clears_earlier_crashes():
    tracker = tracker_with("f", [1.0, 2.0])
    tracker.clear("f", 2.5)
    tracker.record_crash("f", "", crash("i-7", 3.0))
    assert not tracker.is_held("f")
    # A crash before the response that is reported late changes nothing.
    assert not tracker.record_crash("f", "", crash("i-8", 2.2))
    assert tracker.records["f"].incident_count() == 1


def test_popular_request_running_beside_crashes_is_held_only_briefly():
    """Guards against long holds on a frequent request that runs beside one that crashes workers.

    Of ten workers one crashes every 0.4 s; the frequent request runs on all of them, for 1.5 s each
    and 30 times a second, and gets complete responses from the others.
    """
    rng = random.Random(5)
    tracker = crash_tracker.CrashTracker()
    held_s = 0.0
    for step in range(400):
        now = step * 0.05
        if step % 8 == 0:
            tracker.record_crash("popular", "", crash(f"i-{step}", now))
            tracker.record_crash("deadly", "", crash(f"i-{step}", now))
        if rng.random() < 1 - 0.5**1.5:
            tracker.clear("popular", now)
        held_s += 0.05 * tracker.is_held("popular")
    assert tracker.is_held("deadly")
    assert held_s <= 0.2


def test_hold_becomes_half_open_and_next_crash_doubles_its_duration():
    state = fleet_state.FleetState()
    tracker = tracker_with("f", [1.0, 2.0, 3.0])
    since: dict[str, float] = {}

    def commit_due_commands(now: float) -> list:
        commands = crash_registry.commands_to_propose(tracker, since, now, 0.0)
        for command in commands:
            assert state.apply(command)
            held = state.held["f"]
            tracker.set_hold("f", held.label, held.hold, now)
            since["f"] = now
        return commands

    assert commit_due_commands(3.0) == [
        fleet_state.PlaceHold("f", "label", ["i-0", "i-1", "i-2"], 1)
    ]
    assert commit_due_commands(3.0 + crash_tracker.FIRST_HOLD_S - 1) == []
    assert commit_due_commands(4.0 + crash_tracker.FIRST_HOLD_S) == [
        fleet_state.ReleaseHold("f", 1, HALF_OPEN)
    ]
    assert not tracker.is_held("f")
    tracker.record_crash("f", "", crash("i-9", 5.0 + crash_tracker.FIRST_HOLD_S))
    assert [command.times for command in commit_due_commands(5.0 + crash_tracker.FIRST_HOLD_S)] == [
        2
    ]
    assert crash_tracker.hold_duration_s(state.held["f"].hold) == 2 * crash_tracker.FIRST_HOLD_S


def test_hold_is_released_after_complete_response():
    tracker = tracker_with("f", [1.0, 2.0, 3.0])
    tracker.set_hold("f", "", crash_tracker.Hold(1, HELD), 3.1)
    tracker.clear("f", 4.0)
    assert tracker.is_held("f")
    commands = crash_registry.commands_to_propose(tracker, {"f": 3.1}, 4.0, 0.0)
    assert commands == [fleet_state.ReleaseHold("f", 1, CLEARED)]


def test_clearing_before_hold_does_not_release_it():
    tracker = crash_tracker.CrashTracker()
    tracker.set_hold("f", "", crash_tracker.Hold(1, HELD), 100.0)
    tracker.merge(crash_tracker.SuspectReport("f", "", [], 50.0), 100.1)
    assert crash_registry.commands_to_propose(tracker, {"f": 100.0}, 100.2, 0.0) == []


def test_repeated_or_older_hold_commands_are_ignored():
    state = fleet_state.FleetState()
    first = fleet_state.PlaceHold("f", "", [], 1)
    assert state.apply(first) and not state.apply(first)
    assert state.apply(fleet_state.ReleaseHold("f", 1, CLEARED))
    assert not state.apply(first)
    assert not state.apply(fleet_state.ReleaseHold("f", 1, HALF_OPEN))
    assert state.apply(fleet_state.PlaceHold("f", "", [], 2))
    assert state.held["f"].hold == crash_tracker.Hold(2, HELD)


def test_request_of_strict_account_is_held_after_one_crash():
    tracker = crash_tracker.CrashTracker()
    tracker.record_crash("there-before", "", crash("i-0", 0.5), "account-1")
    for number in range(crash_tracker.ACCOUNT_HELD_THRESHOLD):
        assert not tracker.is_strict("account-1")
        for at in (1.0, 2.0, 3.0):
            tracker.record_crash(f"f-{number}", "", crash(f"i-{at}", at), "account-1")
    assert tracker.is_strict("account-1")
    tracker.record_crash("next", "", crash("i-9", 5.0), "account-1")
    assert tracker.is_held("next")
    # Requests that crashed earlier, of another account or without an account are not held.
    tracker.record_crash("of another", "", crash("i-9", 5.0), "account-2")
    tracker.record_crash("of nobody", "", crash("i-9", 5.0), "")
    assert not any(tracker.is_held(name) for name in ("there-before", "of another", "of nobody"))
    # Other nodes reach the same state from its reports.
    reports = tracker.changes_since(0, 6.0)
    other = crash_tracker.CrashTracker()
    for report in reports:
        other.merge(report, 6.0)
    assert other.is_held("next") and other.is_strict("account-1")
    # A complete response clears it nevertheless.
    tracker.clear("next", 6.0)
    assert not tracker.is_held("next")


def test_crash_records_are_bounded_and_held_ones_kept_longest():
    tracker = tracker_with("held", [1.0, 2.0, 3.0])
    for number in range(3 * crash_tracker.RECORDS_MAX):
        tracker.record_crash(f"f-{number}", "", crash("i-1", 10.0 + number))
    assert len(tracker.records) == crash_tracker.RECORDS_MAX
    assert tracker.is_held("held")
    state = fleet_state.FleetState()
    for number in range(2 * fleet_state.HELD_REQUESTS_MAX):
        state.apply(fleet_state.PlaceHold(f"f-{number}", "", [], 1))
    assert len(state.held) == fleet_state.HELD_REQUESTS_MAX


def reported_crash(instance: str, age_s: float) -> crash_tracker.ReportedCrash:
    return crash_tracker.ReportedCrash(instance, age_s, age_s + 0.3)


ENDS = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(["i-1", "i-2", "i-3"]), st.integers(0, 40)),
    max_size=12,
)
CLEARINGS = st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 40)), max_size=4)


@hypothesis.given(ENDS, CLEARINGS, st.randoms(use_true_random=False))
@hypothesis.settings(max_examples=300)
def test_nodes_that_tell_each_other_in_any_order_and_again_know_the_same(ends, clearings, rng):
    """Merging is idempotent and independent of order; crash times are multiples of 0.5 s."""
    now = 100.0
    reports = [
        crash_tracker.SuspectReport(name, "", [reported_crash(instance, now - at / 2)])
        for name, instance, at in ends
    ]
    reports += [crash_tracker.SuspectReport(name, "", [], now - at / 2) for name, at in clearings]
    records = []
    for _ in range(2):
        ledger = crash_tracker.CrashTracker()
        # Reports of a response to an unknown request are ignored, so each gets a crash first.
        for name in "abc":
            ledger.record_crash(name, "", crash("i-0", 0.0))
        for report in rng.sample(reports, len(reports)) + reports:
            ledger.merge(report, now)
        records.append({name: record.crashes for name, record in ledger.records.items()})
    assert records[0] == records[1]


def test_fingerprint_depends_on_content_and_account_but_not_request_id():
    def digest(request_id="id", method=b"POST", path=b"/a/x", host="h", account="a", body=b"b"):
        head = fleet.RequestHead(request_id, method, path, host)
        return fingerprints.fingerprint(head, account, body)

    assert digest() == digest(request_id="another")
    digests = [
        digest(method=b"GET"),
        digest(path=b"/a/y"),
        digest(path=b"/a/x?q=1"),
        digest(host="i"),
        digest(account="b"),
        digest(body=b"c"),
        digest(account="ab", body=b""),
    ]
    assert len({digest(), *digests}) == 8
