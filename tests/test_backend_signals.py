"""Tests for back ends' availability signals: parsing, precedence and expiry."""

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
def test_a_number_of_seconds_is_obeyed_with_fractions(value, seconds):
    assert retry_after.parse(value) == retry_after.RetryAfter(seconds)


@pytest.mark.parametrize(
    ("value", "per_s"),
    [(b"1", 1.0), (b" 1.8 ", 1.8), (b"0.01", 0.01), (b"007", 7.0), (b"1000000000", 1e9)],
)
def test_a_limit_is_a_decimal_number_of_requests_a_second(value, per_s):
    assert rate_limit.parse(value) == rate_limit.RateLimit(per_s)


@pytest.mark.parametrize(
    "value",
    [b"nan", b"inf", b"-5", b"+5", b"1e400", b"1e3", b"", b"3, 4", b"3 a second", b"x", b"0"]
    + [b"0.0", b".5", b"5.", b"123456789012345678901", "٣".encode(), b"\xff"],
)
def test_what_is_no_limit_says_why(value):
    found = rate_limit.parse(value)
    assert found.per_s is None and found.problem


def test_an_answer_without_the_field_names_no_limit():
    assert rate_limit.parse(None) == rate_limit.RateLimit()


@pytest.mark.parametrize(
    "value",
    [b"nan", b"inf", b"-5", b"+5", b"1e400", b"1e3", b"", b"3, 4", b"3 s", b"x", b"0x10", b".5"]
    + [b"5.", b"86401", b"123456789012345678901", b"9" * 400, "٣".encode(), b"\xff"],
)
def test_what_can_not_be_obeyed_says_why(value):
    found = retry_after.parse(value)
    assert found.seconds is None and found.problem


def test_no_field_is_no_problem():
    assert retry_after.parse(None) == retry_after.RetryAfter()


def test_a_date_is_measured_from_the_answers_own_date():
    later = http_date(DATE + datetime.timedelta(seconds=90))
    assert retry_after.parse(later, http_date(DATE)) == retry_after.RetryAfter(90.0)
    # A date before the server's own date means no rest.
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


def test_what_is_remembered_is_bounded_and_the_oldest_goes_first():
    signals = backend_availability.AvailabilityTable()
    count = backend_availability.RECORDS_MAX + 100
    for number in range(count):
        signals.availability_of(f"i-{number}").record_leaving(
            backend_availability.LeavingSource.CONTROL_VM, number
        )
    signals.prune({"i-0"}, count)
    assert len(signals.availabilities) == backend_availability.RECORDS_MAX + 1
    assert signals.availability_of("i-0").is_leaving, "it is still there"
    assert signals.availability_of(f"i-{count - 1}").is_leaving
    assert "i-1" not in signals.availabilities


def backend(name: str, rest_until: float = -math.inf) -> backend_record.Backend:
    found = backend_record.Backend(name, "s", "10.0.0.1:1", "z", 0, 8)
    found.availability.rest_until = rest_until
    return found


def test_when_the_first_opens_is_known_only_if_all_are_closed():
    one, other, leaving = backend("1", 12.0), backend("2", 11.0), backend("3")
    leaving.is_draining = True
    assert dispatch.available_at([one, other, leaving], 10.0) == 11.0
    assert dispatch.available_at([one, other, leaving], 11.5) is None
    assert dispatch.available_at([leaving], 10.0) == math.inf
    assert dispatch.available_at([], 10.0) is None, "none is known yet: one may be told any moment"


def test_who_is_refused_for_a_rest_comes_back_after_it_and_not_all_at_once():
    rng = random.Random(1)
    times = [retry_delays.delay_after_rest(3.0, rng) for _ in range(200)]
    assert min(times) >= 3.0
    assert max(times) - min(times) > 0.8 * retry_delays.RETRY_SPREAD_S
