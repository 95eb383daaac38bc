"""`explain` finds the cause of a failed request in recorded logs."""

import pathlib

import pytest

from merlinthread.cli import explain

LOGS = pathlib.Path(__file__).parent / "data" / "explain"


def read_log_lines() -> list[explain.LogLine]:
    return [line for path in sorted(LOGS.iterdir()) for line in explain.read_log_file(path)]


@pytest.mark.parametrize(
    ("request_id", "cause"),
    [
        ("aa4e4ef02377dcb0", "silent for 0.81 s"),
        ("59595bc069a2e844", "Connection reset by peer"),
        ("8a2ef589cfc4761f", "the time is over"),
        ("935a9952f119acf8", "every back end is busy"),
    ],
)
def test_explanation_contains_the_cause(request_id, cause):
    explained = explain.find_related_lines(read_log_lines(), request_id)
    text = "\n".join(explain.format_line(line) for line in explained)
    assert explained[-1].fields["request"] == request_id
    assert cause in text


def test_related_lines_of_one_entry_are_in_order_of_time():
    explained = explain.find_related_lines(read_log_lines(), "59595bc069a2e844")
    assert {line.fields["process"] for line in explained} == {"front-nbo-c-1"}
    assert [line.at for line in explained] == sorted(line.at for line in explained)


def test_unknown_request_has_no_explanation():
    assert explain.find_related_lines(read_log_lines(), "0000") == []
