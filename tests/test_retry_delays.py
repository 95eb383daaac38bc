"""Retry delays while no engine can serve.

Guards against clients whose only retry comes before the engines serve again.
"""

import pathlib
import random

import pytest

from merlinthread import errors
from merlinthread.coordination import backend_record, dispatch, fleet, reload_schedule, retry_delays
from merlinthread.nodes import node_policy

OUTAGE_FROM, OUTAGE_TO = 30.4, 35.0
DEADLINE_S = 6.0
PER_S = 120


def second_attempts(policy_name: str, forecast_error_s: float) -> tuple[float, float]:
    """Return the share of failed second attempts and the mean delay of the others."""
    rng = random.Random(1)
    failed, waits = 0, []
    count = int((OUTAGE_TO - OUTAGE_FROM) * PER_S)
    for number in range(count):
        now = OUTAGE_FROM + number / PER_S
        ready_in_s = max(0.0, OUTAGE_TO - now + forecast_error_s)
        refusal = retry_delays.Refusal(DEADLINE_S, True, ready_in_s)
        retry_at = now + retry_delays.POLICIES.get(policy_name)(refusal, rng)
        if retry_at < OUTAGE_TO:
            failed += 1
        else:
            waits.append(retry_at - now)
    return failed / count, sum(waits) / len(waits)


def test_few_retries_fail_with_inexact_forecast():
    failed, _ = second_attempts("share", 0.0)
    assert failed >= 0.55
    for error_s in (-0.3, 0.0, 0.3):
        failed, _ = second_attempts("forecast", error_s)
        assert failed <= 0.25, f"off by {error_s} s"


def test_retry_delay_is_short_if_engines_are_ready_soon():
    refusal = retry_delays.Refusal(DEADLINE_S, True, 0.25)
    rng = random.Random(1)
    assert max(retry_delays.by_forecast(refusal, rng) for _ in range(100)) <= 1.5


def test_retry_delay_leaves_time_for_second_attempt():
    rng = random.Random(1)
    for ready_in_s in (1.0, 4.0, 9.0):
        refusal = retry_delays.Refusal(5.0, True, ready_in_s)
        wait_s = retry_delays.by_forecast(refusal, rng)
        assert retry_delays.RETRY_AFTER_MIN_S <= wait_s <= 5.0 - retry_delays.SECOND_ATTEMPT_S


@pytest.mark.parametrize("is_none_free", [True, False])
def test_retry_delay_without_forecast_is_share_of_time_left(is_none_free):
    refusal = retry_delays.Refusal(DEADLINE_S, is_none_free)
    delay_s = retry_delays.by_share(refusal, random.Random(1))
    assert retry_delays.by_forecast(refusal, random.Random(1)) == delay_s


def test_ready_forecast_depends_on_missing_pieces_and_rate():
    assert reload_schedule.ready_in_s(45, 15.0, False) == 4.25
    assert reload_schedule.ready_in_s(0, 0.0, False) == reload_schedule.RELOAD_S
    assert reload_schedule.ready_in_s(45, 15.0, True) == reload_schedule.RELOAD_S
    assert (
        reload_schedule.ready_in_s(45, 0.0, False) is None
    ), "without pieces from the origin there is no forecast"


def engines(ready_in_s: list[float | None]) -> list[backend_record.Backend]:
    found = []
    for number, forecast_s in enumerate(ready_in_s):
        engine = backend_record.Backend(f"i-{number}", "s", "10.0.0.1:1", "z", 0, 12)
        engine.apply_report(fleet.EngineReport(ready_in_s=forecast_s), 10.0)
        found.append(engine)
    return found


def test_forecast_needs_reports_of_half_of_the_engines():
    assert dispatch.half_ready_in_s(engines([1.0, 2.0, 3.0, None]), 10.5) == 1.5
    assert dispatch.half_ready_in_s(engines([1.0, None, None, None]), 10.0) is None
    assert dispatch.half_ready_in_s([], 10.0) is None
    leaving = engines([1.0, None])
    leaving[1].is_draining = True
    assert dispatch.half_ready_in_s(leaving, 10.0) == 1.0


def write_policy(folder: pathlib.Path, text: str) -> pathlib.Path:
    path = folder / "policy.json"
    path.write_text(text)
    return path


def test_policy_file_may_omit_fields(tmp_path):
    policy = node_policy.load(write_policy(tmp_path, '{"returns": "share"}'))
    assert policy == node_policy.NodePolicy(returns="share")
    assert node_policy.load(pathlib.Path("deploy/policy.json")) == node_policy.NodePolicy()


@pytest.mark.parametrize(
    "text, words",
    [
        ('{"returns": "later"}', ["returns", "'later'", "forecast, share"]),
        ('{"return": "share"}', ["`return`", "fetch, returns"]),
        ('{"returns": 3}', ["returns", "int"]),
        ("{", ["policy.json"]),
    ],
)
def test_invalid_policy_is_rejected_with_field_and_choices(tmp_path, text, words):
    with pytest.raises(errors.SettingsError) as caught:
        node_policy.load(write_policy(tmp_path, text))
    for word in words:
        assert word in caught.value.message


def test_unreadable_policy_file_is_named_in_error(tmp_path):
    with pytest.raises(errors.SettingsError, match="none.json"):
        node_policy.load(tmp_path / "none.json")
