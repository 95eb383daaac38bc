"""Permits for cold back ends, and reports of cold starts that overtake each other.

Guards against more requests in a second than the bound, against permits withheld in normal load,
and against a cold back end that counts as warm because of an old report.
"""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from merlinthread.coordination import cold_limits, entry_ranks, permit_slots, rate_limits

LIMIT = cold_limits.make_limit(18.0, 1.5, 5.0)
LATE_MAX_S = cold_limits.PERMIT_VALIDITY_S + cold_limits.ARRIVAL_DELAY_S
limits = st.builds(
    cold_limits.make_limit, st.floats(2.0, 200.0), st.floats(1.0, 3.0), st.floats(2.0, 40.0)
)


def most_in_a_second(times: list[float]) -> int:
    return max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)


def use_permits(limiter, arrivals, rng, patience_s=0.0, late_max_s=LATE_MAX_S) -> list[float]:
    """Return when the granted permits are used, each late by up to `late_max_s`."""
    used = []
    for at in arrivals:
        decision = limiter.decide("i", patience_s, at)
        if decision.instance:
            used.append(at + decision.start_in_s + rng.choice((0.0, 1.0)) * late_max_s)
    return used


def poisson(per_s: float, since: float, until: float, rng) -> list[float]:
    found, at = [], since
    while (at := at + rng.expovariate(per_s)) < until:
        found.append(at)
    return found


def test_service_or_deployment_without_values_has_no_limit():
    assert cold_limits.make_limit(18.0, None, 5.0) is None
    assert cold_limits.make_limit(0.0, 1.5, 5.0) is None
    assert (LIMIT.per_s(), LIMIT.bound) == (18.0, 32.0)


# Guards against a configuration that ends an entry or an agent.
@hypothesis.given(st.floats(0, allow_nan=False, allow_infinity=False), st.floats(0, 1e308))
@hypothesis.example(1e308, 1.5)
@hypothesis.example(5e-324, 0.0)
def test_any_rate_and_bound_can_be_used(cold_per_s, overage):
    limit = cold_limits.make_limit(cold_per_s, overage, 0.0)
    if limit is None:
        assert cold_per_s == 0
        return
    assert 0.0 < limit.random_slots_per_s() <= limit.paced_per_s()
    limiter = cold_limits.ColdLimiter(limit, 0.0)
    limiter.record_unpermitted(50.0)
    assert limiter.decide("i", 0.0, 100.0).instance == "i"
    advertised = rate_limits.AdvertisedLimit("i", limit.paced_per_s(), 0.0)
    slots = permit_slots.PermitSlots(0)
    assert slots.decide(rate_limits.PermitRequest("s", "", 9e3, [advertised]), 1e5).instance


# Guards against all entries choosing the same empty engine, and permits used as late as possible.
@hypothesis.given(limits, st.integers(0, 1000), st.floats(0.0, 0.1))
def test_any_second_of_a_burst_stays_within_the_bound(limit, seed, patience_s):
    rng = random.Random(seed)
    limiter = cold_limits.ColdLimiter(limit, -100.0)
    arrivals = sorted(
        [rng.choice((1.0, 1.9, 2.05)) for _ in range(100)] + poisson(3 * limit.bound, 0.0, 3.0, rng)
    )
    assert most_in_a_second(use_permits(limiter, arrivals, rng, patience_s)) <= limit.bound


# Guards against an agent that has forgotten its permits, and then grants as many again.
@hypothesis.given(limits, st.integers(0, 1000), st.floats(0.5, 2.5))
def test_second_with_a_restart_of_the_agent_stays_within_the_bound(limit, seed, restarted_at):
    rng = random.Random(seed)
    used = use_permits(
        cold_limits.ColdLimiter(limit, -100.0),
        poisson(3 * limit.bound, 0.0, restarted_at, rng),
        rng,
    )
    arrivals = poisson(3 * limit.bound, restarted_at, 4.0, rng)
    used += use_permits(cold_limits.ColdLimiter(limit, restarted_at), arrivals, rng)
    assert most_in_a_second(used) <= limit.bound


# Guards against an engine that becomes cold while it gets requests, and a full burst in addition.
@pytest.mark.parametrize("warm_per_s", [13.0, 30.0])
def test_requests_without_permits_count(warm_per_s):
    rng = random.Random(4)
    limiter = cold_limits.ColdLimiter(LIMIT, -100.0)
    warm = [number / warm_per_s for number in range(int(2 * warm_per_s))]
    for at in warm:
        limiter.record_unpermitted(at)
    used = use_permits(limiter, poisson(100.0, 2.0, 5.0, rng), rng)
    assert most_in_a_second(warm + used) <= LIMIT.bound
    # The delay by earlier requests is bounded.
    assert min(used) <= 3.1


# Guards against a limit that costs time in normal load: an engine gets 13 requests a second.
def test_normal_load_hardly_ever_waits():
    rng = random.Random(5)
    limiter = cold_limits.ColdLimiter(LIMIT, -100.0)
    arrivals = poisson(13.0, 0.0, 300.0, rng)
    denied = sum(not limiter.decide("i", 0.0, at).instance for at in arrivals)
    assert denied <= 0.03 * len(arrivals), denied


def test_whole_rate_is_granted_under_overload():
    rng = random.Random(6)
    limiter = cold_limits.ColdLimiter(LIMIT, -100.0)
    used = use_permits(limiter, poisson(60.0, 0.0, 30.0, rng), rng, patience_s=0.05)
    assert len(used) >= 0.97 * 30 * 18


def test_refusal_tells_when_the_next_permit_is_usable():
    limiter = cold_limits.ColdLimiter(LIMIT, -100.0)
    while (decision := limiter.decide("i", 0.0, 0.0)).instance:
        pass
    assert 0 < decision.back_in_s <= 1 / 18
    assert limiter.decide("i", 0.0, decision.back_in_s).instance == "i"


# Guards against entries without a reply of the agent that send more than the bound together.
@hypothesis.given(limits, st.integers(2, 80), st.integers(0, 100))
@hypothesis.settings(deadline=None)
def test_entries_that_take_turns_stay_within_the_bound(limit, entries, seed):
    rng = random.Random(seed)
    used = []
    for rank in range(entries):
        slots = permit_slots.PermitSlots(0)
        slots.update(max(entries, 96), rank, 0.0)
        for at in poisson(2.0, 0.0, 20.0, rng):
            advertised = rate_limits.AdvertisedLimit("i", limit.paced_per_s(), 0.0)
            decision = slots.decide(rate_limits.PermitRequest("s", "", 0.05, [advertised]), at)
            if decision.instance:
                used.append(at + decision.start_in_s + rng.uniform(0.0, LATE_MAX_S))
    assert most_in_a_second(used) <= limit.bound


def test_reports_of_a_cold_start_apply_in_the_order_in_which_they_were_made():
    state = cold_limits.ColdState()
    state.record(30.0, 9.5, 10.0)
    assert state.is_cold(29.9) and not state.is_cold(30.0)
    # A heartbeat from before the start of the cold time arrives late.
    state.record(9.0, 9.0, 9.5)
    assert state.is_cold(20.0)
    state.record(13.0, 12.5, 13.0)
    assert not state.is_cold(13.0)
    # The first report arrives once more, over another control VM.
    state.record(30.0, 9.5, 10.0)
    assert not state.is_cold(14.0)
    # It becomes cold again.
    state.record(40.0, 14.5, 15.0)
    assert state.is_cold(39.0)


def test_absurd_time_is_bounded():
    state = cold_limits.ColdState()
    state.record(1e300, 9.5, 10.0)
    assert state.until == 10.0 + cold_limits.COLD_MAX_S


def test_entries_not_heard_from_lose_their_rank_and_their_number_is_bounded():
    entries = entry_ranks.EntryRanks()
    for number in range(entry_ranks.ENTRIES_MAX + 10):
        entries.record(f"e{number}", 0.0)
    assert len(entries.ranked) == entry_ranks.ENTRIES_MAX
    entries.record("e1", 1.0)
    entries.record("a", entry_ranks.ENTRY_EXPIRY_S + 1.0)
    assert entries.ranked == ["a", "e1"] and entries.rank_of("e1") == 1


# Guards against an attempt without permit that makes the next permit of a slow engine free earlier.
def test_request_without_permit_never_advances_the_next_permit():
    limiter = cold_limits.ColdLimiter(cold_limits.make_limit(0.5, 1.5, 0.0), 0.0)
    before = limiter.free_at()
    limiter.record_unpermitted(0.1)
    assert limiter.free_at() >= before
