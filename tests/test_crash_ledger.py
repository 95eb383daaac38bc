"""Which requests are suspected and held back, decided without network."""

import random

import hypothesis
from hypothesis import strategies as st

from merlinthread.coordination import crash_ledger, fingerprints, fleet, fleet_state
from merlinthread.nodes import crash_registry

HELD = crash_ledger.HoldState.HELD
HALF_OPEN = crash_ledger.HoldState.HALF_OPEN
CLEARED = crash_ledger.HoldState.CLEARED


def end(instance: str, at: float, ran_s: float = 0.3) -> crash_ledger.Crash:
    return crash_ledger.Crash(at, instance, at - ran_s)


def ledger_with(fingerprint: str, times: list[float]) -> crash_ledger.CrashLedger:
    ledger = crash_ledger.CrashLedger()
    for number, at in enumerate(times):
        ledger.record_crash(fingerprint, "label", end(f"i-{number}", at))
    return ledger


def test_a_request_is_held_back_after_three_ends_and_not_before():
    assert not ledger_with("f", [1.0, 2.0]).is_held("f")
    assert ledger_with("f", [1.0, 2.0, 3.0]).is_held("f")


def test_an_instance_under_the_same_id_counts_for_each_of_its_lives():
    ledger = crash_ledger.CrashLedger()
    for at in (1.0, 1.1, 3.0, 5.0):
        ledger.record_crash("f", "", end("i-1", at))
    assert ledger.records["f"].incident_count() == 3
    assert ledger.is_held("f")


def test_ends_at_one_moment_count_once_so_that_a_lost_rack_holds_nothing_back():
    assert not ledger_with("f", [1.0, 1.01, 1.02, 1.03]).is_held("f")
    assert not ledger_with("f", [1.0, 1.05, 2.0, 2.05]).is_held("f")


def test_an_attempt_that_began_after_the_end_before_it_counts_however_soon_it_ends():
    ledger = crash_ledger.CrashLedger()
    for number in range(3):
        ledger.record_crash("f", "", end(f"i-{number}", 1.0 + 0.06 * number, ran_s=0.05))
    assert ledger.is_held("f")


def test_a_report_that_took_longer_than_the_next_one_does_not_make_two_ends_one():
    ledger = crash_ledger.CrashLedger()
    for number, way_s in enumerate((0.02, 0.0, 0.02)):
        told = crash_ledger.ReportedCrash(f"i-{number}", 0.0, 0.05)
        ledger.merge(crash_ledger.SuspectReport("f", "", [told]), 1.0 + 0.055 * number + way_s)
    assert ledger.is_held("f")


def test_a_whole_answer_clears_a_request_of_all_ends_before_it():
    ledger = ledger_with("f", [1.0, 2.0])
    ledger.clear("f", 2.5)
    ledger.record_crash("f", "", end("i-7", 3.0))
    assert not ledger.is_held("f")
    # An end that was noticed before the answer and is told late changes nothing.
    assert not ledger.record_crash("f", "", end("i-8", 2.2))
    assert ledger.records["f"].incident_count() == 1


def test_a_popular_request_that_is_there_at_every_end_is_not_held_back_for_long():
    """Another request ends a worker every 0.4 s; the popular one is at each, and is answered too.

    It runs 30 times a second for 1.5 s on ten workers: those that another worker runs end whole.
    """
    rng = random.Random(5)
    ledger = crash_ledger.CrashLedger()
    held_s = 0.0
    for step in range(400):
        now = step * 0.05
        if step % 8 == 0:
            ledger.record_crash("popular", "", end(f"i-{step}", now))
            ledger.record_crash("deadly", "", end(f"i-{step}", now))
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
        commands = crash_registry.decisions(ledger, since, now, 0.0)
        for command in commands:
            assert state.apply(command)
            held = state.held["f"]
            ledger.set_hold("f", held.label, held.hold, now)
            since["f"] = now
        return commands

    assert agree(3.0) == [fleet_state.PlaceHold("f", "label", ["i-0", "i-1", "i-2"], 1)]
    assert agree(3.0 + crash_ledger.FIRST_HOLD_S - 1) == []
    assert agree(4.0 + crash_ledger.FIRST_HOLD_S) == [fleet_state.ReleaseHold("f", 1, HALF_OPEN)]
    assert not ledger.is_held("f")
    ledger.record_crash("f", "", end("i-9", 5.0 + crash_ledger.FIRST_HOLD_S))
    assert [command.times for command in agree(5.0 + crash_ledger.FIRST_HOLD_S)] == [2]
    assert crash_ledger.hold_duration_s(state.held["f"].hold) == 2 * crash_ledger.FIRST_HOLD_S


def test_a_request_that_is_answered_while_it_is_held_back_is_let_go():
    ledger = ledger_with("f", [1.0, 2.0, 3.0])
    ledger.set_hold("f", "", crash_ledger.Hold(1, HELD), 3.1)
    ledger.clear("f", 4.0)
    assert ledger.is_held("f")
    commands = crash_registry.decisions(ledger, {"f": 3.1}, 4.0, 0.0)
    assert commands == [fleet_state.ReleaseHold("f", 1, CLEARED)]


def test_an_old_clearing_told_to_a_control_vm_that_has_just_started_lets_nothing_go():
    ledger = crash_ledger.CrashLedger()
    ledger.set_hold("f", "", crash_ledger.Hold(1, HELD), 100.0)
    ledger.merge(crash_ledger.SuspectReport("f", "", [], 50.0), 100.1)
    assert crash_registry.decisions(ledger, {"f": 100.0}, 100.2, 0.0) == []


def test_the_log_keeps_the_later_decision_whatever_comes_again():
    state = fleet_state.FleetState()
    first = fleet_state.PlaceHold("f", "", [], 1)
    assert state.apply(first) and not state.apply(first)
    assert state.apply(fleet_state.ReleaseHold("f", 1, CLEARED))
    assert not state.apply(first)
    assert not state.apply(fleet_state.ReleaseHold("f", 1, HALF_OPEN))
    assert state.apply(fleet_state.PlaceHold("f", "", [], 2))
    assert state.held["f"].hold == crash_ledger.Hold(2, HELD)


def test_an_account_with_several_requests_held_back_ends_one_process_with_each_further_one():
    ledger = crash_ledger.CrashLedger()
    ledger.record_crash("there-before", "", end("i-0", 0.5), "account-1")
    for number in range(crash_ledger.ACCOUNT_HELD_THRESHOLD):
        assert not ledger.is_strict("account-1")
        for at in (1.0, 2.0, 3.0):
            ledger.record_crash(f"f-{number}", "", end(f"i-{at}", at), "account-1")
    assert ledger.is_strict("account-1")
    ledger.record_crash("next", "", end("i-9", 5.0), "account-1")
    assert ledger.is_held("next")
    # Not what was there earlier, nor another account's, nor what has no account.
    ledger.record_crash("of another", "", end("i-9", 5.0), "account-2")
    ledger.record_crash("of nobody", "", end("i-9", 5.0), "")
    assert not any(ledger.is_held(name) for name in ("there-before", "of another", "of nobody"))
    # Other nodes are told, and come to the same.
    told = ledger.changes_since(0, 6.0)
    other = crash_ledger.CrashLedger()
    for suspicion in told:
        other.merge(suspicion, 6.0)
    assert other.is_held("next") and other.is_strict("account-1")
    # A whole answer clears it all the same.
    ledger.clear("next", 6.0)
    assert not ledger.is_held("next")


def test_what_is_remembered_is_bounded_and_what_is_held_back_goes_last():
    ledger = ledger_with("held", [1.0, 2.0, 3.0])
    for number in range(3 * crash_ledger.RECORDS_MAX):
        ledger.record_crash(f"f-{number}", "", end("i-1", 10.0 + number))
    assert len(ledger.records) == crash_ledger.RECORDS_MAX
    assert ledger.is_held("held")
    state = fleet_state.FleetState()
    for number in range(2 * fleet_state.HELD_REQUESTS_MAX):
        state.apply(fleet_state.PlaceHold(f"f-{number}", "", [], 1))
    assert len(state.held) == fleet_state.HELD_REQUESTS_MAX


def told_end(instance: str, age_s: float) -> crash_ledger.ReportedCrash:
    return crash_ledger.ReportedCrash(instance, age_s, age_s + 0.3)


ENDS = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(["i-1", "i-2", "i-3"]), st.integers(0, 40)),
    max_size=12,
)
CLEARINGS = st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 40)), max_size=4)


@hypothesis.given(ENDS, CLEARINGS, st.randoms(use_true_random=False))
@hypothesis.settings(max_examples=300)
def test_nodes_that_tell_each_other_in_any_order_and_again_know_the_same(ends, clearings, rng):
    """Ends lie on a grid of 0.5 s, so that two reports of one end are exactly alike."""
    now = 100.0
    told = [
        crash_ledger.SuspectReport(name, "", [told_end(instance, now - at / 2)])
        for name, instance, at in ends
    ]
    told += [crash_ledger.SuspectReport(name, "", [], now - at / 2) for name, at in clearings]
    known = []
    for _ in range(2):
        ledger = crash_ledger.CrashLedger()
        # A clearing of a request that nobody suspects is not kept: each is suspected first.
        for name in "abc":
            ledger.record_crash(name, "", end("i-0", 0.0))
        for suspicion in rng.sample(told, len(told)) + told:
            ledger.merge(suspicion, now)
        known.append({name: record.crashes for name, record in ledger.records.items()})
    assert known[0] == known[1]


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
