"""Availability signals of back ends: parsing, precedence and expiry.

Guards against signals that are misread, forgotten too early or undone by older ones.
"""

import datetime
import email.utils
import math
import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from merlinthread.coordination import backend_availability, backend_record, dispatch, retry_delays
from merlinthread.protocol import rate_limit, retry_after

DATE = datetime.datetime(2026, 1, 5, 12, 0, tzinfo=datetime.UTC)


def http_date(at: datetime.datetime) -> bytes:
    return email.utils.format_datetime(at, usegmt=True).encode()


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"3", 3.0), (b" 0.25 ", 0.25), (b"0", 0.0), (b"86400", 86400.0), (b"007", 7.0)],
)
def test_retry_after_accepts_decimal_seconds(value, seconds):
    assert retry_after.parse(value) == retry_after.RetryAfter(seconds)


@pytest.mark.parametrize(
    ("value", "per_s"),
    [(b"1", 1.0), (b" 1.8 ", 1.8), (b"0.01", 0.01), (b"007", 7.0), (b"1000000000", 1e9)],
)
def test_rate_limit_accepts_decimal_number(value, per_s):
    assert rate_limit.parse(value) == rate_limit.RateLimit(per_s)


@pytest.mark.parametrize(
    "value",
    [b"nan", b"inf", b"-5", b"+5", b"1e400", b"1e3", b"", b"3, 4", b"3 a second", b"x", b"0"]
    + [b"0.0", b".5", b"5.", b"123456789012345678901", "٣".encode(), b"\xff"],
)
def test_invalid_rate_limit_is_reported(value):
    found = rate_limit.parse(value)
    assert found.per_s is None and found.problem


def test_missing_rate_limit_is_no_limit():
    assert rate_limit.parse(None) == rate_limit.RateLimit()


@pytest.mark.parametrize(
    "value",
    [b"nan", b"inf", b"-5", b"+5", b"1e400", b"1e3", b"", b"3, 4", b"3 s", b"x", b"0x10", b".5"]
    + [b"5.", b"86401", b"123456789012345678901", b"9" * 400, "٣".encode(), b"\xff"],
)
def test_invalid_retry_after_is_reported(value):
    found = retry_after.parse(value)
    assert found.seconds is None and found.problem


def test_missing_retry_after_is_accepted():
    assert retry_after.parse(None) == retry_after.RetryAfter()


def test_retry_after_date_is_relative_to_date_header():
    later = http_date(DATE + datetime.timedelta(seconds=90))
    assert retry_after.parse(later, http_date(DATE)) == retry_after.RetryAfter(90.0)
    # A date before that of the response means no rest.
    assert retry_after.parse(http_date(DATE), later) == retry_after.RetryAfter(0.0)
    assert retry_after.parse(later).problem
    assert retry_after.parse(later, b"yesterday").problem
    assert retry_after.parse(b"Mon, 99 Jan 2026 12:00:00 GMT", http_date(DATE)).problem


@hypothesis.given(st.binary(max_size=40), st.none() | st.binary(max_size=40))
def test_whatever_is_sent_is_a_time_that_may_be_meant_or_a_problem(value, date):
    found = retry_after.parse(value, date)
    if found.seconds is None:
        assert found.problem
    else:
        assert 0 <= found.seconds <= retry_after.DELAY_MAX_S


class Signals(stateful.RuleBasedStateMachine):
    """Signals of one back end in any order, compared with a simple model."""

    def __init__(self) -> None:
        super().__init__()
        self.signals = backend_availability.AvailabilityTable()
        self.now = 0.0
        self.ends: list[float] = []
        self.is_leaving = False

    def availability(self) -> backend_availability.Availability:
        return self.signals.availability_of("i-1")

    @stateful.rule(seconds=st.floats(0.01, 400.0))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(rest_s=st.floats(0.01, 1000.0))
    def ask_for_rest(self, rest_s):
        self.availability().record_rest(rest_s, self.now)
        self.ends.append(self.now + min(rest_s, backend_availability.REST_MAX_S))

    @stateful.rule(source=st.sampled_from(backend_availability.LeavingSource))
    def leave(self, source):
        is_new = self.availability().record_leaving(source, self.now)
        assert is_new != self.is_leaving
        self.is_leaving = True

    @stateful.rule(is_present=st.booleans())
    def be_dropped_and_told_again(self, is_present):
        self.signals.prune({"i-1"} if is_present else set(), self.now)

    @stateful.rule()
    def live_again(self):
        later = self.signals.availability_of("i-1@5")
        assert not later.is_unavailable(self.now)

    @stateful.invariant()
    def is_closed_as_long_as_any_word_says_so(self):
        is_closed = self.is_leaving or any(self.now < end for end in self.ends)
        assert self.availability().is_unavailable(self.now) == is_closed


TestSignals = Signals.TestCase


def test_availability_table_is_bounded_and_drops_oldest_records():
    signals = backend_availability.AvailabilityTable()
    count = backend_availability.RECORDS_MAX + 100
    for number in range(count):
        signals.availability_of(f"i-{number}").record_leaving(
            backend_availability.LeavingSource.CONTROL_VM, number
        )
    signals.prune({"i-0"}, count)
    assert len(signals.availabilities) == backend_availability.RECORDS_MAX + 1
    assert signals.availability_of("i-0").is_leaving, "its back end is still present"
    assert signals.availability_of(f"i-{count - 1}").is_leaving
    assert "i-1" not in signals.availabilities


def backend(name: str, rest_until: float = -math.inf) -> backend_record.Backend:
    found = backend_record.Backend(name, "s", "10.0.0.1:1", "z", 0, 8)
    found.availability.rest_until = rest_until
    return found


def test_available_at_is_known_only_if_all_back_ends_are_unavailable():
    one, other, leaving = backend("1", 12.0), backend("2", 11.0), backend("3")
    leaving.is_draining = True
    assert dispatch.available_at([one, other, leaving], 10.0) == 11.0
    assert dispatch.available_at([one, other, leaving], 11.5) is None
    assert dispatch.available_at([leaving], 10.0) == math.inf
    assert (
        dispatch.available_at([], 10.0) is None
    ), "no back end is known yet; one may register at any time"


def test_retry_delays_after_rest_are_spread():
    rng = random.Random(1)
    times = [retry_delays.delay_after_rest(3.0, rng) for _ in range(200)]
    assert min(times) >= 3.0
    assert max(times) - min(times) > 0.8 * retry_delays.RETRY_SPREAD_S
