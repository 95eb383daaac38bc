"""Detection of requests that crash processes, and the holds on them."""

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


def ledger_with(fingerprint: str, times: list[float]) -> crash_tracker.CrashTracker:
    ledger = crash_tracker.CrashTracker()
    for number, at in enumerate(times):
        ledger.record_crash(fingerprint, "label", crash(f"i-{number}", at))
    return ledger


def test_a_request_is_held_back_after_three_ends_and_not_before():
    assert not ledger_with("f", [1.0, 2.0]).is_held("f")
    assert ledger_with("f", [1.0, 2.0, 3.0]).is_held("f")


def test_an_instance_under_the_same_id_counts_for_each_of_its_lives():
    ledger = crash_tracker.CrashTracker()
    for at in (1.0, 1.1, 3.0, 5.0):
        ledger.record_crash("f", "", crash("i-1", at))
    assert ledger.records["f"].incident_count() == 3
    assert ledger.is_held("f")


def test_ends_at_one_moment_count_once_so_that_a_lost_rack_holds_nothing_back():
    assert not ledger_with("f", [1.0, 1.01, 1.02, 1.03]).is_held("f")
    assert not ledger_with("f", [1.0, 1.05, 2.0, 2.05]).is_held("f")


def test_an_attempt_that_began_after_the_end_before_it_counts_however_soon_it_ends():
    ledger = crash_tracker.CrashTracker()
    for number in range(3):
        ledger.record_crash("f", "", crash(f"i-{number}", 1.0 + 0.06 * number, ran_s=0.05))
    assert ledger.is_held("f")


def test_a_report_that_took_longer_than_the_next_one_does_not_make_two_ends_one():
    ledger = crash_tracker.CrashTracker()
    for number, latency_s in enumerate((0.02, 0.0, 0.02)):
        reported = crash_tracker.ReportedCrash(f"i-{number}", 0.0, 0.05)
        ledger.merge(
            crash_tracker.SuspectReport("f", "", [reported]), 1.0 + 0.055 * number + latency_s
        )
    assert ledger.is_held("f")


def test_a_whole_answer_clears_a_request_of_all_ends_before_it():
    ledger = ledger_with("f", [1.0, 2.0])
    ledger.clear("f", 2.5)
    ledger.record_crash("f", "", crash("i-7", 3.0))
    assert not ledger.is_held("f")
    # A crash before the response that is reported late changes nothing.
    assert not ledger.record_crash("f", "", crash("i-8", 2.2))
    assert ledger.records["f"].incident_count() == 1


def test_a_popular_request_that_is_there_at_every_end_is_not_held_back_for_long():
    """Guards against long holds on a frequent request that runs beside one that crashes workers.

    Of ten workers one crashes every 0.4 s; the frequent request runs on all of them, for 1.5 s each
    and 30 times a second, and gets complete responses from the others.
    """
    rng = random.Random(5)
    ledger = crash_tracker.CrashTracker()
    held_s = 0.0
    for step in range(400):
        now = step * 0.05
        if step % 8 == 0:
            ledger.record_crash("popular", "", crash(f"i-{step}", now))
            ledger.record_crash("deadly", "", crash(f"i-{step}", now))
        if rng.random() < 1 - 0.5**1.5:
            ledger.clear("popular", now)
        held_s += 0.05 * ledger.is_held("popular")
    assert ledger.is_held("deadly")
    assert held_s <= 0.2


def test_after_its_time_a_request_may_run_again_and_one_end_holds_it_back_for_twice_as_long():
    state = fleet_state.FleetState()
    ledger = ledger_with("f", [1.0, 2.0, 3.0])
    since: dict[str, float] = {}

    def agree(now: float) -> list:
        commands = crash_registry.commands_to_propose(ledger, since, now, 0.0)
        for command in commands:
            assert state.apply(command)
            held = state.held["f"]
            ledger.set_hold("f", held.label, held.hold, now)
            since["f"] = now
        return commands

    assert agree(3.0) == [fleet_state.PlaceHold("f", "label", ["i-0", "i-1", "i-2"], 1)]
    assert agree(3.0 + crash_tracker.FIRST_HOLD_S - 1) == []
    assert agree(4.0 + crash_tracker.FIRST_HOLD_S) == [fleet_state.ReleaseHold("f", 1, HALF_OPEN)]
    assert not ledger.is_held("f")
    ledger.record_crash("f", "", crash("i-9", 5.0 + crash_tracker.FIRST_HOLD_S))
    assert [command.times for command in agree(5.0 + crash_tracker.FIRST_HOLD_S)] == [2]
    assert crash_tracker.hold_duration_s(state.held["f"].hold) == 2 * crash_tracker.FIRST_HOLD_S


def test_a_request_that_is_answered_while_it_is_held_back_is_let_go():
    ledger = ledger_with("f", [1.0, 2.0, 3.0])
    ledger.set_hold("f", "", crash_tracker.Hold(1, HELD), 3.1)
    ledger.clear("f", 4.0)
    assert ledger.is_held("f")
    commands = crash_registry.commands_to_propose(ledger, {"f": 3.1}, 4.0, 0.0)
    assert commands == [fleet_state.ReleaseHold("f", 1, CLEARED)]


def test_an_old_clearing_told_to_a_control_vm_that_has_just_started_lets_nothing_go():
    ledger = crash_tracker.CrashTracker()
    ledger.set_hold("f", "", crash_tracker.Hold(1, HELD), 100.0)
    ledger.merge(crash_tracker.SuspectReport("f", "", [], 50.0), 100.1)
    assert crash_registry.commands_to_propose(ledger, {"f": 100.0}, 100.2, 0.0) == []


def test_the_log_keeps_the_later_decision_whatever_comes_again():
    state = fleet_state.FleetState()
    first = fleet_state.PlaceHold("f", "", [], 1)
    assert state.apply(first) and not state.apply(first)
    assert state.apply(fleet_state.ReleaseHold("f", 1, CLEARED))
    assert not state.apply(first)
    assert not state.apply(fleet_state.ReleaseHold("f", 1, HALF_OPEN))
    assert state.apply(fleet_state.PlaceHold("f", "", [], 2))
    assert state.held["f"].hold == crash_tracker.Hold(2, HELD)


def test_an_account_with_several_requests_held_back_ends_one_process_with_each_further_one():
    ledger = crash_tracker.CrashTracker()
    ledger.record_crash("there-before", "", crash("i-0", 0.5), "account-1")
    for number in range(crash_tracker.ACCOUNT_HELD_THRESHOLD):
        assert not ledger.is_strict("account-1")
        for at in (1.0, 2.0, 3.0):
            ledger.record_crash(f"f-{number}", "", crash(f"i-{at}", at), "account-1")
    assert ledger.is_strict("account-1")
    ledger.record_crash("next", "", crash("i-9", 5.0), "account-1")
    assert ledger.is_held("next")
    # Requests that crashed earlier, of another account or without an account are not held.
    ledger.record_crash("of another", "", crash("i-9", 5.0), "account-2")
    ledger.record_crash("of nobody", "", crash("i-9", 5.0), "")
    assert not any(ledger.is_held(name) for name in ("there-before", "of another", "of nobody"))
    # Other nodes reach the same state from its reports.
    reports = ledger.changes_since(0, 6.0)
    other = crash_tracker.CrashTracker()
    for report in reports:
        other.merge(report, 6.0)
    assert other.is_held("next") and other.is_strict("account-1")
    # A complete response clears it nevertheless.
    ledger.clear("next", 6.0)
    assert not ledger.is_held("next")


def test_what_is_remembered_is_bounded_and_what_is_held_back_goes_last():
    ledger = ledger_with("held", [1.0, 2.0, 3.0])
    for number in range(3 * crash_tracker.RECORDS_MAX):
        ledger.record_crash(f"f-{number}", "", crash("i-1", 10.0 + number))
    assert len(ledger.records) == crash_tracker.RECORDS_MAX
    assert ledger.is_held("held")
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


def test_a_fingerprint_is_of_what_is_asked_and_for_whom_not_of_the_id():
    def digest(request_id="id", method=b"POST", path=b"/a/x", host="h", account="a", body=b"b"):
        call = fleet.RequestHead(request_id, method, path, host)
        return fingerprints.fingerprint(call, account, body)

    assert digest() == digest(request_id="another")
    others = [
        digest(method=b"GET"),
        digest(path=b"/a/y"),
        digest(path=b"/a/x?q=1"),
        digest(host="i"),
        digest(account="b"),
        digest(body=b"c"),
        digest(account="ab", body=b""),
    ]
    assert len({digest(), *others}) == 8
