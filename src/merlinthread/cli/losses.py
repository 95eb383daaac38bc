"""The `losses` command, which counts failed and late requests in the log files of entries."""

import collections
import dataclasses
import json
import pathlib
import re

from cleo.helpers import option

from merlinthread import errors
from merlinthread.cli import base, explain

IN_TIME = "in time"
CLIENT_LEFT = "the client left"
# Maps a substring of the last attempt of a refused request to the cause that is reported.
REFUSAL_CAUSES = (
    ("no back end is free", "refused: none may serve"),
    ("every back end is busy", "refused: no place in time"),
    ("in an allowed region", "refused: none in an allowed region"),
    ("in allowed regions", "refused: none in an allowed region"),
    ("back ends are full", "refused: back ends were full"),
    ("can't be reached", "refused: back ends not reached"),
    ("no configuration", "refused: no configuration yet"),
)
# A late request that waited longer than this fraction of the objective for its first attempt is
# counted as late because of that wait.
WAIT_FRACTION = 0.25


@dataclasses.dataclass(slots=True)
class RequestOutcome:
    """The outcome of a request; `at` is its arrival in seconds since the epoch."""

    at: float
    cause: str


class Losses(base.OperatorCommand):
    """Count requests by arrival time and outcome."""

    name = "losses"
    description = (
        "Count failed and late requests by arrival time and cause, from the logs of entries."
    )
    arguments = []
    options = [
        option("logs", None, "Folder with the log files of the entries.", flag=False, default="."),
        option(
            "objective-ms",
            None,
            "Objective for the time to the first byte, in milliseconds.",
            flag=False,
            default="400",
        ),
        option(
            "window-s", None, "Time span that each row covers, in seconds.", flag=False, default="2"
        ),
        base.JSON_OPTION,
    ]

    def run_command(self) -> int:
        """Print the number of requests per time window and cause, and the totals."""
        folder = pathlib.Path(self.option("logs"))
        if not folder.is_dir():
            raise errors.RequestError(f"--logs: {folder} is not a folder; pass one with log files")
        objective_ms = self.positive_number("objective-ms")
        window_s = self.positive_number("window-s")
        lines = [line for path in sorted(folder.iterdir()) for line in explain.read_log_file(path)]
        outcomes = classify_requests(lines, objective_ms)
        if not outcomes:
            raise errors.RequestError(
                f"{folder} has no log line of a request; add the logs of entries"
            )
        rows = count_by_window(outcomes, window_s)
        if self.option("json"):
            print(json.dumps([{"second": at, **causes} for at, causes in rows]))
            return 0
        self.print_counts(rows)
        return 0

    def positive_number(self, name: str) -> float:
        """Return the value of a numeric option; raise RequestError unless it is above 0."""
        text = self.option(name)
        try:
            value = float(text)
        except ValueError:
            value = 0.0
        if value <= 0:
            raise errors.RequestError(f"--{name}: {text!r} is not a number above 0")
        return value

    def print_counts(self, rows: list[tuple[float, collections.Counter[str]]]) -> None:
        """Print the counts as a table, with the most frequent causes first."""
        total: collections.Counter[str] = collections.Counter()
        for _, causes in rows:
            total.update(causes)
        names = [name for name, _ in total.most_common()]
        table = [[f"{at:g}", *(causes[name] for name in names)] for at, causes in rows]
        self.print_table(["second", *names], [*table, ["all", *(total[name] for name in names)]])


def classify_requests(lines: list[explain.LogLine], objective_ms: float) -> list[RequestOutcome]:
    """Return the outcomes of all requests in the lines, in order of arrival."""
    outcomes = [
        RequestOutcome(
            line.at - line.fields.get("ms", 0) / 1000, classify_request(line, objective_ms)
        )
        for line in lines
        if line.fields.get("event") == "request"
    ]
    return sorted(outcomes, key=lambda outcome: outcome.at)


def classify_request(line: explain.LogLine, objective_ms: float) -> str:
    """Return the outcome of a request: in time, or why it failed or was late."""
    outcome = line.fields.get("outcome", "")
    attempts = explain.get_attempts(line)
    if outcome == "answered":
        return classify_response(line, objective_ms)
    if outcome == "left":
        return CLIENT_LEFT
    if outcome == "no_target":
        text = attempts[-1] if attempts else ""
        return next((cause for part, cause in REFUSAL_CAUSES if part in text), "refused: other")
    return f"failed: {outcome}"


def classify_response(line: explain.LogLine, objective_ms: float) -> str:
    """Return the outcome of a request that was answered."""
    first_ms = line.fields.get("first_ms")
    first_ms = line.fields.get("ms", 0) if first_ms is None else first_ms
    attempts = explain.get_attempts(line)
    if not 200 <= line.fields.get("status", 0) < 300:
        return "failed: by the back end"
    if first_ms <= objective_ms:
        return IN_TIME
    if len(attempts) > 1:
        return "late: a second attempt"
    wait_match = re.search(r" after (\d+) ms", attempts[0]) if attempts else None
    if wait_match is not None and int(wait_match[1]) > WAIT_FRACTION * objective_ms:
        return "late: waited for a place"
    expected_match = re.search(r"expected in (\d+) ms", attempts[0]) if attempts else None
    if expected_match is not None and int(expected_match[1]) > objective_ms:
        return "late: as expected"
    return "late: slower than expected"


def count_by_window(
    outcomes: list[RequestOutcome], window_s: float
) -> list[tuple[float, collections.Counter[str]]]:
    """Count the requests per time window and cause.

    A window is identified by its start, in seconds after the first request. Windows without
    requests are omitted.
    """
    windows: dict[int, collections.Counter[str]] = {}
    for outcome in outcomes:
        number = int((outcome.at - outcomes[0].at) / window_s)
        windows.setdefault(number, collections.Counter())[outcome.cause] += 1
    return [(number * window_s, windows[number]) for number in sorted(windows)]
