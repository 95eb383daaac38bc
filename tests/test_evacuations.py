"""Evacuation of availability zones: the replicated state and its format level.

Guards against an accepted evacuation that is lost, undone or refused later, and against log entries
that an older control VM can't read.
"""

import hypothesis
import msgspec
from hypothesis import strategies as st

from merlinthread.coordination import fleet_state, levels

OTHERS = ["10.0.0.2:1", "10.0.0.3:1"]


def make_state(*zones: str) -> fleet_state.FleetState:
    state = fleet_state.FleetState()
    for zone in zones:
        state.apply(fleet_state.EvacuateZone(zone))
    return state


def make_gate(first_level: int, *reported: int) -> levels.WriteGate:
    members = levels.MemberLevels()
    for address, level in zip(OTHERS, reported, strict=False):
        members.record_reported(address, level)
    return levels.WriteGate(members, first_level)


def test_repeated_calls_change_nothing():
    state = make_state("zone-a")
    assert not state.apply(fleet_state.EvacuateZone("zone-a"))
    assert (state.evacuated, state.evacuation_revision) == (["zone-a"], 1)
    assert state.apply(fleet_state.WithdrawEvacuation("zone-a"))
    assert not state.apply(fleet_state.WithdrawEvacuation("zone-a"))
    assert (state.evacuated, state.evacuation_revision) == ([], 2)


# Guards against a revision by which an older state replaces a newer one.
@hypothesis.given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12))
def test_revision_grows_with_each_change(calls):
    state = fleet_state.FleetState()
    for zone, is_evacuated in calls:
        kind = fleet_state.EvacuateZone if is_evacuated else fleet_state.WithdrawEvacuation
        before = (set(state.evacuated), state.evacuation_revision)
        assert state.apply(kind(zone)) == (set(state.evacuated) != before[0])
        assert state.evacuation_revision == before[1] + (set(state.evacuated) != before[0])
        assert (zone in state.evacuated) == is_evacuated


def test_evacuations_are_in_snapshots_and_raise_their_level():
    state = make_state("zone-a", "zone-b")
    restored = msgspec.msgpack.decode(msgspec.msgpack.encode(state), type=fleet_state.FleetState)
    assert restored == state
    assert restored.level == levels.FormatLevel.EVACUATIONS


# Guards against a rollback that is impossible although no zone was ever evacuated.
def test_snapshot_without_evacuations_keeps_the_level_of_older_builds():
    state = fleet_state.FleetState()
    state.apply(fleet_state.Configure(1, b""))
    state.apply(fleet_state.PlaceHold("f", "", [], 1))
    assert state.level == levels.FormatLevel.HELD_REQUESTS


# Guards against a group of two builds that accepts no more holds: the window of a level must not
# wait for members to read a higher one.
def test_holds_are_writable_while_some_members_run_the_previous_build():
    holds, evacuations = levels.FormatLevel.HELD_REQUESTS, levels.FormatLevel.EVACUATIONS
    gate = make_gate(0, holds, evacuations)
    gate.update(OTHERS, 10.0)
    later = 10.0 + levels.ROLLBACK_WINDOW_S
    gate.update(OTHERS, later)
    assert not gate.reason_not_writable(holds, OTHERS, levels.LOWEST, later)
    assert OTHERS[0] in gate.reason_not_writable(evacuations, OTHERS, holds, later)
    gate.members.record_reported(OTHERS[0], evacuations)
    gate.update(OTHERS, later)
    assert "going back" in gate.reason_not_writable(evacuations, OTHERS, holds, later)
    at_last = later + levels.ROLLBACK_WINDOW_S
    assert not gate.reason_not_writable(evacuations, OTHERS, holds, at_last)


# Guards against a withdrawal that is refused because a member was never heard from after a power
# loss of all VMs.
def test_call_is_accepted_with_a_silent_member_once_one_was_accepted():
    level = levels.FormatLevel.EVACUATIONS
    gate = make_gate(level, level)
    assert OTHERS[1] in gate.reason_not_writable(level, OTHERS, levels.LOWEST, 1.0)
    assert not gate.reason_not_writable(level, OTHERS, level, 1.0)
