"""`losses` assigns one cause to each request and counts requests by arrival time."""

import pytest

from merlinthread.cli import explain, losses
from tests import test_explain


def request(at: float = 0.0, **fields) -> explain.LogLine:
    return explain.LogLine(at, {"event": "request", "status": 200, "ms": 0, **fields})


ATTEMPT = "i-1 after {waited} ms, load 3, first byte expected in {expected} ms: answered"


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"outcome": "answered", "first_ms": 400}, losses.IN_TIME),
        ({"outcome": "answered", "first_ms": None, "ms": 90}, losses.IN_TIME),
        ({"outcome": "answered", "status": 500, "ms": 90}, "failed: by the back end"),
        (
            {"outcome": "answered", "first_ms": 401, "attempts": ["a", "b"]},
            "late: a second attempt",
        ),
        (
            {
                "outcome": "answered",
                "first_ms": 900,
                "attempts": [ATTEMPT.format(waited=101, expected=90)],
            },
            "late: waited for a place",
        ),
        (
            {
                "outcome": "answered",
                "first_ms": 900,
                "attempts": [ATTEMPT.format(waited=3, expected=700)],
            },
            "late: as expected",
        ),
        (
            {
                "outcome": "answered",
                "first_ms": 900,
                "attempts": [ATTEMPT.format(waited=3, expected=90)],
            },
            "late: slower than expected",
        ),
        ({"outcome": "no_target", "attempts": ["no back end is free"]}, "refused: none may serve"),
        (
            {"outcome": "no_target", "attempts": ["every back end is busy: i-1 after 4 ms"]},
            "refused: no place in time",
        ),
        ({"outcome": "left"}, losses.CLIENT_LEFT),
        ({"outcome": "deadline_exceeded"}, "failed: deadline_exceeded"),
    ],
)
def test_each_request_has_one_cause(fields, cause):
    assert losses.classify_request(request(**fields), 400) == cause


def test_requests_are_counted_in_the_window_in_which_they_arrived():
    lines = [
        request(10.0, outcome="answered", first_ms=90),
        request(13.9, outcome="answered", first_ms=90, ms=2000),
        request(14.1, outcome="no_target", attempts=["no back end is free"]),
        explain.LogLine(14.0, {"event": "instance"}),
    ]
    rows = losses.count_by_window(losses.classify_requests(lines, 400), 2.0)
    assert [(at, dict(causes)) for at, causes in rows] == [
        (0.0, {losses.IN_TIME: 2}),
        (4.0, {"refused: none may serve": 1}),
    ]


def test_every_request_of_the_recorded_logs_is_counted():
    lines = test_explain.read_log_lines()
    requests = [line for line in lines if line.fields["event"] == "request"]
    rows = losses.count_by_window(losses.classify_requests(lines, 400), 2.0)
    assert sum(causes.total() for _, causes in rows) == len(requests) > 3
