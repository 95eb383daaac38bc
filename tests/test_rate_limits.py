"""Permit allocation, time slots and the table of limits.

Guards against more requests than a limit allows in any window, and against unfair shares.
"""

import itertools
import random

import hypothesis
from hypothesis import strategies as st

from merlinthread.coordination import (
    backend_availability,
    limit_table,
    permit_slots,
    rate_limits,
)

SPARE = 2
WINDOW_S = 4.0


def permit_request(*limits: rate_limits.AdvertisedLimit, account="a", patience_s=0.0):
    return rate_limits.PermitRequest("s", account, patience_s, list(limits))


def advertised_limit(
    per_s: float, instance: str = "i", heard_age_s: float = 0.0
) -> rate_limits.AdvertisedLimit:
    return rate_limits.AdvertisedLimit(instance, per_s, heard_age_s)


def starts_of(allocator, per_s: float, gaps: list[float], patience_s: float) -> list[float]:
    now, starts = 0.0, []
    for gap in gaps:
        now += gap
        decision = allocator.decide(
            permit_request(advertised_limit(per_s), patience_s=patience_s), now
        )
        if decision.instance:
            starts.append(now + decision.start_in_s)
    return starts


def most_in_a_window(starts: list[float]) -> int:
    return max((sum(at <= t <= at + WINDOW_S for t in starts) for at in starts), default=0)


@hypothesis.given(
    st.floats(0.05, 200.0),
    st.lists(st.floats(0.0, 0.6), min_size=1, max_size=200),
    st.floats(0.0, 0.2),
)
def test_no_window_has_more_than_the_limit_allows(per_s, gaps, patience_s):
    starts = starts_of(rate_limits.PermitAllocator(), per_s, gaps, patience_s)
    assert most_in_a_window(starts) <= per_s * WINDOW_S + SPARE


@hypothesis.given(st.floats(0.5, 50.0), st.integers(0, 1000))
def test_what_is_named_is_used_where_twice_as_much_is_asked_for(per_s, seed):
    rng = random.Random(seed)
    gaps = [rng.expovariate(2 * per_s) for _ in range(400)]
    starts = starts_of(rate_limits.PermitAllocator(), per_s, gaps, 0.05)
    assert len(starts) >= 0.9 * rate_limits.GRANTED_SHARE * per_s * sum(gaps) - SPARE


@hypothesis.given(st.floats(0.2, 20.0), st.integers(2, 12), st.integers(0, 1000))
def test_entries_that_take_turns_keep_to_the_limit_together(per_s, entries, seed):
    rng = random.Random(seed)
    starts = []
    for rank in range(entries):
        turns = permit_slots.PermitSlots(0)
        # Clocks differ between entries; the offset to the leader's clock includes network delay.
        offset = rng.uniform(-100.0, 100.0)
        turns.update(entries, rank, -offset + rng.uniform(0.0, 0.01))
        gaps = [offset, *(rng.expovariate(4 * per_s) for _ in range(300))]
        starts += [at - offset for at in starts_of(turns, per_s, gaps, 0.05)]
    assert most_in_a_window(sorted(starts)) <= (per_s * 1.01) * WINDOW_S + SPARE


def test_next_slot_after_limit_falls_is_within_two_intervals():
    slots = permit_slots.PermitSlots(0)
    slots.update(1, 0, 1000.0)
    assert slots.decide(permit_request(advertised_limit(8.0)), 1.0).instance
    decision = slots.decide(permit_request(advertised_limit(0.5)), 1.0)
    assert max(decision.free_in_s) <= 2 / 0.5


def test_new_allocator_grants_no_permit_at_once():
    allocator = rate_limits.PermitAllocator()
    decision = allocator.decide(permit_request(advertised_limit(1.0)), 100.0)
    assert not decision.instance
    assert 1.0 <= decision.free_in_s[0] <= 1.1


def test_most_recently_received_limit_applies():
    allocator = rate_limits.PermitAllocator()
    allocator.decide(permit_request(advertised_limit(8.0)), 0.0)
    allocator.decide(permit_request(advertised_limit(0.5)), 1.0)
    allocator.decide(permit_request(advertised_limit(8.0, heard_age_s=3.0)), 2.0)
    assert allocator.allowances["i"].per_s == 0.5
    allocator.decide(permit_request(advertised_limit(6.0)), 3.0)
    assert allocator.allowances["i"].per_s == 6.0
    assert allocator.decide(
        permit_request(advertised_limit(6.0)), 3.2
    ).instance, "the low limit was replaced"


def test_tiny_limit_still_grants_occasional_permits():
    gaps = [0.1] * 600
    starts = starts_of(rate_limits.PermitAllocator(), 0.0001, gaps, 0.0)
    assert 5 <= len(starts) <= 6


def test_request_that_can_wait_gets_later_permit_and_others_retry_delay():
    allocator = rate_limits.PermitAllocator()
    allocator.decide(permit_request(advertised_limit(10.0)), 0.0)
    first = allocator.decide(permit_request(advertised_limit(10.0)), 1.0)
    assert first.instance and first.start_in_s == 0.0
    later = allocator.decide(permit_request(advertised_limit(10.0), patience_s=0.2), 1.0)
    assert later.instance and 0.0 < later.start_in_s <= 0.2
    refused = allocator.decide(permit_request(advertised_limit(10.0)), 1.0)
    assert not refused.instance
    assert refused.back_in_s >= later.start_in_s


def test_simultaneous_refusals_get_different_retry_delays():
    allocator = rate_limits.PermitAllocator()
    delays = [
        allocator.decide(permit_request(advertised_limit(10.0)), 0.0).back_in_s for _ in range(10)
    ]
    assert len({round(at, 3) for at in delays}) == len(delays)
    assert max(delays) <= rate_limits.RETRY_SPREAD_S + 0.1


def test_back_end_with_earliest_permit_is_chosen():
    allocator = rate_limits.PermitAllocator()
    limits = [advertised_limit(0.1, "slow"), advertised_limit(10.0, "quick")]
    allocator.decide(permit_request(*limits), 0.0)
    assert allocator.decide(permit_request(*limits), 1.0).instance == "quick"
    assert allocator.decide(permit_request(*limits, patience_s=60.0), 1.0).instance == "quick"


def test_account_with_few_requests_is_served_beside_busy_account():
    allocator = rate_limits.PermitAllocator()
    rng = random.Random(3)
    sent_counts = {"often": 0, "seldom": 0}
    served_counts = {"often": 0, "seldom": 0}
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(50.0)
        account = "seldom" if rng.random() < 0.08 else "often"
        sent_counts[account] += 1
        request = permit_request(advertised_limit(20.0), account=account, patience_s=0.05)
        served_counts[account] += bool(allocator.decide(request, now).instance)
    assert served_counts["seldom"] >= 0.9 * sent_counts["seldom"]
    assert sum(served_counts.values()) >= 0.9 * 20.0 * 60.0


def test_allowances_of_unused_back_ends_expire():
    allocator = rate_limits.PermitAllocator()
    for number in range(50):
        allocator.decide(permit_request(advertised_limit(1.0, f"i-{number}")), 0.0)
    allocator.decide(permit_request(advertised_limit(1.0, "present")), 200.0)
    assert set(allocator.allowances) == {"present"}


def test_merge_keeps_latest_limit_in_any_order():
    reports = [
        limit_table.LimitReport("i", 8.0, 3.0),
        limit_table.LimitReport("i", 0.5, 2.0),
        limit_table.LimitReport("i", None, 1.0),
    ]
    for order in itertools.permutations(reports):
        table = limit_table.LimitTable()
        for each in [*order, *order]:
            table.merge(each, 10.0)
        assert table.records["i"].per_s is None, order


def test_limit_table_is_bounded():
    table = limit_table.LimitTable()
    for number in range(limit_table.RECORDS_MAX + 50):
        table.merge(limit_table.LimitReport(f"i-{number}", 1.0, 0.0), number)
    assert len(table.records) == limit_table.RECORDS_MAX
    assert len(table.changes_since(table.revision - 3, 0.0)) == 3
    table.merge(limit_table.LimitReport("over", None, 0.0), 10_000.0)
    table.merge(limit_table.LimitReport("i-4000", None, 0.0), 10_000.0)
    table.merge(limit_table.LimitReport("i-4001", 2.0, 0.0), 10_100.0)
    assert "i-4000" not in table.records


def test_older_limit_from_another_vm_is_ignored():
    availability = backend_availability.Availability()
    availability.record_limit(2.0, sent_at=0.0, now=5.0)
    availability.merge_limit(None, received_at=4.0)
    assert availability.limit_per_s == 2.0
    availability.merge_limit(None, received_at=6.0)
    assert not availability.is_limited()


def test_response_to_earlier_request_does_not_raise_limit():
    availability = backend_availability.Availability()
    availability.record_limit(8.0, sent_at=0.0, now=1.0)
    assert availability.record_limit(0.5, sent_at=0.5, now=2.0)
    assert not availability.record_limit(8.0, sent_at=1.9, now=2.1)
    assert not availability.record_limit(None, sent_at=1.9, now=2.2)
    assert availability.limit_per_s == 0.5
    assert availability.record_limit(6.0, sent_at=2.3, now=2.5)
    assert availability.record_limit(None, sent_at=2.6, now=2.7)
    assert not availability.is_limited()
