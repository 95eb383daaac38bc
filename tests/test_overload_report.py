"""`losses --overloaded` reports who was served in overloaded seconds.

Guards against reports that blame or miss the wrong class: requests counted in another second, late
answers by another route's objective, a repeated refusal counted as a first one, and a best split
beyond the engines' capacity.
"""

import asyncio
import json

import hypothesis
import pytest
from cleo.testers.command_tester import CommandTester
from hypothesis import strategies as st

from merlinthread import logs
from merlinthread.cli import explain, losses, overload_report
from merlinthread.cli.overload_report import Result
from tests import single_entry_fleet, test_explain

ENGINES = overload_report.EngineFigures(2, 10, 0.01, 1000.0, 100.0)


def request(at: float = 0.0, **fields) -> explain.LogLine:
    return explain.LogLine(
        at, {"event": "request", "outcome": "answered", "status": 200, "ms": 0, **fields}
    )


def refusal(at: float, **fields) -> explain.LogLine:
    return request(at, **({"outcome": "no_target", "status": 503} | fields))


@pytest.mark.parametrize(
    ("fields", "result"),
    [
        ({"first_ms": 400}, Result.IN_TIME),
        ({"first_ms": 401}, Result.LATE),
        ({"first_ms": 800, "objective_ms": 805}, Result.IN_TIME),
        ({"first_ms": None, "ms": 500}, Result.LATE),
        ({"outcome": "no_target"}, Result.REFUSED_FIRST),
        ({"outcome": "no_target", "is_client_retry": True}, Result.REFUSED_LATER),
        ({"outcome": "left"}, Result.OTHER),
        ({"status": 500, "first_ms": 1}, Result.OTHER),
        ({"outcome": "deadline_exceeded"}, Result.OTHER),
    ],
)
def test_result_depends_on_the_objective_of_the_route(fields, result):
    assert overload_report.read_tries([request(**fields)], 400)[0].result is result


def test_second_refusal_of_a_request_is_at_a_later_try():
    lines = [refusal(3.0, request="a"), refusal(1.0, request="a"), refusal(1.5, request="b")]
    tries = overload_report.read_tries([*lines, refusal(1.6), refusal(1.7)], 400)
    assert [item.result for item in tries] == [Result.REFUSED_FIRST] * 4 + [Result.REFUSED_LATER]


def test_only_overloaded_seconds_are_reported_by_arrival_and_group():
    lines = [
        request(10.0, route="r", account="a", zone="z", first_ms=10),
        # Arrived in second 2, answered in second 3.
        request(13.2, route="r", account="a", zone="z", first_ms=500, ms=900),
        request(12.5, route="r", account="b", zone="z", first_ms=10),
        *(refusal(12.2, route="s", account="b", zone="z", ms=wait) for wait in range(1, 101)),
        explain.LogLine(12.0, {"event": "instance"}),
    ]
    seconds = overload_report.overloaded_seconds(overload_report.read_tries(lines, 400))
    rows = overload_report.make_rows(seconds, ["route", "account", "zone"])
    assert [(row.second, row.group, row.offered) for row in rows] == [
        (2, ("r", "a", "z"), 1),
        (2, ("r", "b", "z"), 1),
        (2, ("s", "b", "z"), 100),
    ]
    assert [row.counts[Result.LATE] for row in rows] == [1, 0, 0]
    assert rows[2].counts[Result.REFUSED_FIRST] == 100
    assert (rows[2].refusal_p50_ms, rows[2].refusal_p95_ms) == (50, 95)
    assert rows[0].refusal_p50_ms is None
    assert [row.offered for row in overload_report.make_rows(seconds, ["account"])] == [1, 101]


def make_try(number: int, result: Result, urgency: int, prompt: float) -> overload_report.Try:
    fields = {"service": "model", "urgency": urgency, "prompt_tokens": prompt}
    return overload_report.Try(f"r{number}", 0.0, result, 0.0, f"r-{urgency}", **fields)


def test_best_split_serves_the_most_urgent_first_within_the_capacity():
    # Each takes 0.4 + 0.1 engine seconds; 2 engine seconds are available.
    tries = [make_try(number, Result.IN_TIME, 2, 400) for number in range(4)]
    tries += [make_try(10 + number, Result.REFUSED_FIRST, 0, 400) for number in range(3)]
    tries += [make_try(20, Result.LATE, 0, 400)]
    worth = {"r-0": 3.7, "r-2": 0.5}
    split = overload_report.make_split(0, "model", tries, ENGINES, worth)
    assert split.offered_engine_s == pytest.approx(4.0)
    assert split.best_worth == pytest.approx(4 * 3.7)
    assert split.achieved_worth == pytest.approx(4 * 0.5 + 0.25 * 3.7)
    # Of the same urgency, short prompts are worth more per engine second.
    tries = [make_try(1, Result.OTHER, 0, 3900), make_try(2, Result.OTHER, 0, 900)]
    split = overload_report.make_split(0, "model", tries, ENGINES, {})
    assert split.best_worth == pytest.approx(1 + 1 / 4)
    # A request refused and served within the second counts once.
    tries = [make_try(1, Result.REFUSED_FIRST, 0, 400), make_try(1, Result.IN_TIME, 0, 400)]
    assert overload_report.make_split(0, "model", tries, ENGINES, {}).share == 1.0


VALUE = st.none() | st.booleans() | st.integers() | st.floats()
VALUE |= st.text(max_size=3) | st.just([10**30])
FIELDS = ["ms", "first_ms", "objective_ms", "urgency", "prompt_tokens", "response_tokens_max"]
FIELDS += ["route", "account", "zone", "request", "outcome", "status", "is_client_retry"]


@hypothesis.given(st.lists(st.dictionaries(st.sampled_from(FIELDS), VALUE), min_size=1))
def test_every_request_of_any_log_is_counted_once(lines):
    tries = overload_report.read_tries([request(**fields) for fields in lines], 400)
    assert len(tries) == len(lines)
    seconds = overload_report.overloaded_seconds(tries)
    rows = overload_report.make_rows(seconds, ["route", "zone"])
    assert sum(row.offered for row in rows) == sum(map(len, seconds.values()))
    assert all(row.offered == sum(row.counts.values()) for row in rows)
    for requests in seconds.values():
        split = overload_report.make_split(0, "", requests, ENGINES, {})
        assert 0 <= split.best_worth <= len(requests) + 1e-6


def test_recorded_logs_of_an_older_build_are_reported():
    lines = test_explain.read_log_lines()
    seconds = overload_report.overloaded_seconds(overload_report.read_tries(lines, 400))
    rows = overload_report.make_rows(seconds, ["route", "account"])
    assert rows and {row.group[1] for row in rows} == {overload_report.UNKNOWN}


def run_command(arguments: str) -> tuple[int, str]:
    tester = CommandTester(losses.Losses())
    return tester.execute(arguments), tester.io.fetch_output()


@pytest.mark.parametrize(
    ("arguments", "name"),
    [
        ("--by route,colour", "--by"),
        ("--engines model", "--engines"),
        ("--engines model=nan", "--engines"),
        ("--engines model=2", "--slots"),
        ("--engines model=2 --slots inf", "--slots"),
        ("--worth =2", "--worth"),
    ],
)
def test_invalid_option_is_named(capsys, arguments, name):
    code, _ = run_command(f"--logs {test_explain.LOGS} --overloaded {arguments}")
    assert code != 0
    assert name in capsys.readouterr().err


# The fields that the report needs must be those that entries log.
def test_overload_of_a_real_entry_is_reported_by_its_own_logs(tmp_path, monkeypatch, capsys):
    async def scenario():
        fleet = await single_entry_fleet.SingleEntryFleet("model", 2).start()
        assert (await fleet.request()).status == 200
        for worker in fleet.workers:
            worker.behaviour.is_full = True
        assert (await fleet.request()).status == 503

    path = tmp_path / "entry.log"

    def write(name: str, **fields) -> None:
        # All requests arrive within one second.
        at = {"at": "2026-01-01T00:00:00.500+00:00"}
        with open(path, "a", encoding="utf-8") as file:
            file.write(json.dumps(at | {"event": name} | fields) + "\n")

    monkeypatch.setattr(logs, "event", write)
    asyncio.run(scenario())
    options = "--overloaded --engines model=2 --response-tokens 20 --worth r-model=2"
    code, _ = run_command(f"--logs {tmp_path} --json {options}")
    body = json.loads(capsys.readouterr().out)
    assert code == 0
    totals = {name: sum(row[name] for row in body["groups"]) for name in ("offered", *Result)}
    assert (totals["refused_first"], totals["offered"]) == (1, 2)
    assert {(row["route"], row["account"], row["zone"]) for row in body["groups"]} == {
        ("r-model", "account-1", "zone-a")
    }
    # 100 tokens of the prompt at 100,000 a second, and 20 steps of 1 ms in 4 slots, are 6 ms.
    assert body["splits"][0]["offered_engine_s"] == pytest.approx(0.012)
    assert body["splits"][0]["best_worth"] == pytest.approx(4.0)
    code, _ = run_command(f"--logs {tmp_path} --overloaded --by route")
    assert code == 0
