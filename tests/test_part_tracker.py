"""Detection of parts of prompts that crash processes, among parts that only were there.

Guards against crashing parts that are not found, and against holds on sound parts and requests.
"""

import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from merlinthread.coordination import crash_tracker, fingerprints, fleet_state
from merlinthread.nodes import crash_registry

HELD = crash_tracker.HoldState.HELD
CLEARED = crash_tracker.HoldState.CLEARED
FIRST, DEADLY, OTHER = (fingerprints.part_fingerprint("m", name) for name in "abc")
PROVEN_LIMIT = crash_tracker.CRASHES_BEFORE_HOLD_OF_PROVEN_PART


def record(tracker, names, number, at, ran_s=0.3, account=""):
    """Record the crash of one instance during a request with these parts or requests."""
    crash = crash_tracker.Crash(at, f"i-{number}", at - ran_s)
    for name in names:
        is_part = fingerprints.is_part(name)
        tracker.record_crash(name, name, crash, "" if is_part else account)


def held_names(tracker):
    return {entry.fingerprint for entry in tracker.held()}


def test_unproven_part_is_held_after_three_crashes():
    tracker = crash_tracker.CrashTracker()
    for number in range(3):
        assert not tracker.is_held(DEADLY)
        record(tracker, [f"request-{number}", DEADLY], number, number)
    assert held_names(tracker) == {DEADLY}


def test_proven_part_is_held_after_five_crashes_since_its_last_complete_response():
    tracker = crash_tracker.CrashTracker()
    tracker.record_proof(FIRST, 0.5)
    for number in range(4):
        record(tracker, [FIRST], number, 1.0 + number)
    tracker.clear(FIRST, 4.5)
    for number in range(PROVEN_LIMIT):
        assert not tracker.is_held(FIRST)
        record(tracker, [FIRST], 10 + number, 5.0 + number)
    assert tracker.is_held(FIRST)


def test_proven_part_that_travels_with_a_crashing_one_is_not_held():
    tracker = crash_tracker.CrashTracker()
    tracker.record_proof(FIRST, 0.5)
    # Requests that were sent before the hold still crash workers after it.
    for number in range(8):
        record(tracker, [FIRST, DEADLY], number, 1.0 + number)
    assert held_names(tracker) == {DEADLY}


def test_unproven_part_that_always_travels_with_a_crashing_one_is_held_with_it():
    tracker = crash_tracker.CrashTracker()
    for number in range(3):
        record(tracker, [DEADLY, OTHER], number, 1.0 + number)
    assert held_names(tracker) == {DEADLY, OTHER}


# Guards against parts that explain each other's crashes, so that none of them stays held.
def test_holds_on_parts_that_always_travel_together_are_kept():
    tracker = crash_tracker.CrashTracker()
    for number in range(3):
        record(tracker, [DEADLY, OTHER], number, 1.0 + number)
    for part in (DEADLY, OTHER):
        tracker.set_hold(part, "", crash_tracker.Hold(1, HELD), 3.1)
        since = dict.fromkeys((DEADLY, OTHER), 3.1)
        commands = crash_registry.commands_to_propose(tracker, since, 4.0, 0.0)
        assert not any(isinstance(command, fleet_state.ReleaseHold) for command in commands)
    assert held_names(tracker) == {DEADLY, OTHER}


def test_unproven_part_that_was_there_later_is_not_held():
    tracker = crash_tracker.CrashTracker()
    for number in range(4):
        names = [DEADLY, OTHER] if number else [DEADLY]
        record(tracker, names, number, 1.0 + number)
    assert held_names(tracker) == {DEADLY}


def test_two_crashing_parts_at_once_are_both_held():
    tracker = crash_tracker.CrashTracker()
    tracker.record_proof(FIRST, 0.5)
    for number in range(6):
        record(tracker, [FIRST, (DEADLY, OTHER)[number % 2]], number, 1.0 + 0.4 * number)
    assert held_names(tracker) == {DEADLY, OTHER}


def test_second_crashing_part_is_found_though_the_first_explains_some_of_its_crashes():
    tracker = crash_tracker.CrashTracker()
    for number in range(3):
        record(tracker, [DEADLY], number, 1.0 + number)
    record(tracker, [OTHER], 2, 3.0)
    for number in range(3):
        assert not tracker.is_held(OTHER)
        record(tracker, [OTHER], 10 + number, 5.0 + number)
    assert tracker.is_held(OTHER)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(("part_count", "crash_interval_steps"), [(1, 8), (60, 80)])
def test_random_crashes_hold_no_popular_part(seed, part_count, crash_interval_steps):
    """Of ten workers one crashes every 0.4 or 4 s; 15 requests a second complete.

    Each worker runs requests with up to 8 of the parts. With one part, all requests have it.
    """
    rng = random.Random(seed)
    tracker = crash_tracker.CrashTracker()
    parts = [fingerprints.part_fingerprint("m", str(number)) for number in range(part_count)]
    for part in parts:
        tracker.record_proof(part, 0.0)
    for step in range(1, 1200):
        now = step * 0.05
        if step % crash_interval_steps == 0:
            for part in rng.sample(parts, min(8, part_count)):
                record(tracker, [part], step, now)
        if rng.random() < 0.75:
            part = rng.choice(parts)
            tracker.record_proof(part, now)
            tracker.clear(part, now)
        assert not tracker.held()


def test_failed_rack_with_many_requests_holds_no_part():
    tracker = crash_tracker.CrashTracker()
    for number in range(14):
        names = [f"request-{number}", FIRST, OTHER]
        record(tracker, names, number, 10.0 + 0.006 * number, ran_s=0.2 + 0.1 * number)
    assert not tracker.held()


def test_requests_that_ran_beside_a_crashing_part_are_not_held_and_do_not_count():
    tracker = crash_tracker.CrashTracker()
    beside = [f"beside-{number}" for number in range(crash_tracker.ACCOUNT_HELD_THRESHOLD)]
    for number in range(3):
        record(tracker, [DEADLY, *beside], number, 1.0 + number, account="account-1")
    assert held_names(tracker) == {DEADLY}
    assert not tracker.is_strict("account-1")
    record(tracker, ["next"], 9, 9.0, account="account-1")
    assert not tracker.is_held("next")


# Guards against requests that stay held because the part that crashed the workers was found later.
def test_committed_hold_is_released_once_its_crashes_are_explained():
    tracker = crash_tracker.CrashTracker()
    for number in range(3):
        record(tracker, ["beside"], number, 1.0 + number)
    tracker.set_hold("beside", "", crash_tracker.Hold(1, HELD), 3.0)
    assert tracker.is_held("beside")
    for number in range(3):
        record(tracker, [DEADLY], number, 1.001 + number)
    commands = crash_registry.commands_to_propose(tracker, {"beside": 3.0}, 3.2, 0.0)
    assert commands == [
        fleet_state.ReleaseHold("beside", 1, CLEARED),
        fleet_state.PlaceHold(DEADLY, DEADLY, ["i-0", "i-1", "i-2"], 1),
    ]


# Guards against a first part that a control VM of an earlier build held after three crashes.
def test_hold_on_proven_part_is_released_if_another_part_explains_its_crashes():
    tracker = crash_tracker.CrashTracker()
    tracker.record_proof(FIRST, 0.5)
    for number in range(3):
        record(tracker, [FIRST, DEADLY], number, 1.0 + number)
    for part in (FIRST, DEADLY):
        tracker.set_hold(part, "", crash_tracker.Hold(1, HELD), 3.1)
    since = dict.fromkeys((FIRST, DEADLY), 3.1)
    commands = crash_registry.commands_to_propose(tracker, since, 3.2, 0.0)
    assert commands == [fleet_state.ReleaseHold(FIRST, 1, CLEARED)]


# Guards against holds on parts whose complete responses only other entries have seen.
def test_proof_of_another_entry_raises_the_limit():
    control, crashed, proving = (crash_tracker.CrashTracker() for _ in range(3))
    proving.record_proof(FIRST, 0.5)
    for number in range(2):
        record(crashed, [FIRST], number, 1.0 + number)
    (report,) = crashed.changes_since(0, 2.1)
    control.merge(report, 2.1)
    proving.merge(report, 2.1)
    assert proving.take_unreported_proofs() == [FIRST]
    assert proving.take_unreported_proofs() == []
    control.merge(proving.report_of(proving.records[FIRST], 2.2), 2.2)
    for number in range(2, PROVEN_LIMIT):
        assert not control.is_held(FIRST)
        record(control, [FIRST], number, 1.0 + number)
    assert control.is_held(FIRST)


def test_hold_on_part_becomes_half_open_and_next_crash_places_it_again():
    tracker = crash_tracker.CrashTracker()
    tracker.set_hold(DEADLY, "", crash_tracker.Hold(1, HELD), 0.0)
    tracker.set_hold(DEADLY, "", crash_tracker.Hold(1, crash_tracker.HoldState.HALF_OPEN), 600.0)
    assert not tracker.is_held(DEADLY)
    record(tracker, [DEADLY], 1, 601.0)
    assert tracker.is_held(DEADLY)


def test_proofs_and_records_of_parts_are_bounded():
    tracker = crash_tracker.CrashTracker()
    for number in range(2 * crash_tracker.RECORDS_MAX):
        part = fingerprints.part_fingerprint("m", str(number))
        tracker.record_proof(part, float(number))
        record(tracker, [part], number, number + 0.5)
        tracker.clear(part, number + 0.6)
    assert len(tracker.proofs) == crash_tracker.PROOFS_MAX
    assert len(tracker.records) == crash_tracker.RECORDS_MAX


CRASHES = st.lists(
    st.tuples(st.sampled_from([FIRST, DEADLY, OTHER, "x"]), st.integers(0, 5)), max_size=24
)


@hypothesis.given(CRASHES, st.randoms(use_true_random=False))
@hypothesis.settings(max_examples=300)
def test_nodes_hold_the_same_parts_in_whatever_order_reports_arrive(crashes, rng):
    results = []
    for _ in range(2):
        tracker = crash_tracker.CrashTracker()
        for name, number in itertools.chain(rng.sample(crashes, len(crashes)), crashes):
            reported = crash_tracker.ReportedCrash(f"i-{number}", 20.0 - number, 20.3 - number)
            tracker.merge(crash_tracker.SuspectReport(name, "", [reported]), 20.0)
        results.append(held_names(tracker))
    assert results[0] == results[1]
