"""The `losses` command, which counts failed and late requests in the log files of entries.

With `--overloaded`, it reports each overloaded second (`cli.overload_report`).
"""

import collections
import dataclasses
import json
import math
import pathlib
import re
from typing import Any

from cleo.helpers import option

from merlinthread import errors
from merlinthread.cli import base, explain, overload_report

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
GROUP_FIELDS = ("route", "account", "zone")
# Maps each option that overrides a figure of the engines to its name in the `configuration` line.
ENGINE_OPTIONS = {
    "slots": "slots",
    "step-ms": "step_ms",
    "read-per-s": "read_per_s",
    "response-tokens": "response_tokens",
}


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
        option(
            "overloaded",
            None,
            "Report each second with refusals or late answers instead, by group, and the share of "
            "the best possible split that was achieved.",
        ),
        option(
            "by",
            None,
            "Fields that make a group, of route, account and zone (of the entry).",
            flag=False,
            default="route,account,zone",
        ),
        option(
            "engines",
            None,
            "Engines of each service, as SERVICE=COUNT,SERVICE=COUNT; without it, no split is "
            "reported.",
            flag=False,
        ),
        option(
            "worth",
            None,
            "Worth of a request that is served in time, as ROUTE=WORTH,ROUTE=WORTH (default: 1).",
            flag=False,
        ),
        option("slots", None, "Slots of an engine (default: from the logs).", flag=False),
        option("step-ms", None, "Time of an engine's step (default: from the logs).", flag=False),
        option(
            "read-per-s",
            None,
            "Prompt tokens that an engine reads in a second (default: from the logs).",
            flag=False,
        ),
        option(
            "response-tokens",
            None,
            "Mean tokens of a response (default: from the logs).",
            flag=False,
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
        if self.option("overloaded"):
            return self.report_overload(lines, objective_ms)
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
        if not 0 < value < math.inf:
            raise errors.RequestError(f"--{name}: {text!r} is not a number above 0")
        return value

    def report_overload(self, lines: list[explain.LogLine], objective_ms: float) -> int:
        """Print the overloaded seconds by group, and the splits if the engines are known."""
        by = self.option("by").split(",")
        unknown = [name for name in by if name not in GROUP_FIELDS]
        if unknown:
            raise errors.RequestError(
                f"--by: {unknown[0]!r} is none of {', '.join(GROUP_FIELDS)}; pass some of these"
            )
        figures = self.engine_figures(overload_report.read_figures(lines))
        worth = self.numbers_by_name("worth")
        tries = overload_report.read_tries(lines, objective_ms)
        if not tries:
            raise errors.RequestError("the logs have no line of a request; add those of entries")
        seconds = overload_report.overloaded_seconds(tries)
        rows = overload_report.make_rows(seconds, by)
        splits = overload_report.make_splits(seconds, figures, worth)
        dropped = overload_report.count_dropped_lines(lines)
        if self.option("json"):
            body = {
                "groups": [group_fields(row, by) for row in rows],
                "splits": [split_fields(split) for split in splits],
                "log_lines_left_out": dropped,
            }
            print(json.dumps(body))
            return 0
        self.print_rows([group_fields(row, by) for row in rows])
        self.print_rows([split_fields(split) for split in splits])
        if dropped:
            print(f"{dropped} log lines were left out by their processes; requests may be missing")
        return 0

    def print_rows(self, rows: list[dict[str, Any]]) -> None:
        """Print rows with the same fields as a table."""
        if rows:
            names = [name.replace("_", " ") for name in rows[0]]
            cells = [["" if cell is None else cell for cell in row.values()] for row in rows]
            self.print_table(names, cells)

    def engine_figures(
        self, logged: dict[str, dict[str, float]]
    ) -> dict[str, overload_report.EngineFigures]:
        """Return the figures of the services in `--engines`; raise RequestError if one is unknown.

        Options override the figures that entries logged.
        """
        figures = {}
        for service, count in self.numbers_by_name("engines").items():
            known = dict(logged.get(service, {}))
            for name, field in ENGINE_OPTIONS.items():
                if self.option(name) is not None:
                    known[field] = self.positive_number(name)
                if known.get(field, 0) <= 0:
                    raise errors.RequestError(
                        f"--{name}: the logs do not tell it for {service}; pass this option"
                    )
            figures[service] = overload_report.EngineFigures(
                count,
                known["slots"],
                known["step_ms"] / 1000,
                known["read_per_s"],
                known["response_tokens"],
            )
        return figures

    def numbers_by_name(self, name: str) -> dict[str, float]:
        """Return an option's NAME=NUMBER pairs; raise RequestError if one is invalid."""
        numbers: dict[str, float] = {}
        for pair in filter(None, (self.option(name) or "").split(",")):
            key, _, value = pair.rpartition("=")
            try:
                numbers[key] = float(value)
            except ValueError:
                numbers[key] = 0.0
            if not key or not 0 < numbers[key] < math.inf:
                raise errors.RequestError(
                    f"--{name}: {pair!r} is not a name, '=' and a number above 0"
                )
        return numbers

    def print_counts(self, rows: list[tuple[float, collections.Counter[str]]]) -> None:
        """Print the counts as a table, with the most frequent causes first."""
        total: collections.Counter[str] = collections.Counter()
        for _, causes in rows:
            total.update(causes)
        names = [name for name, _ in total.most_common()]
        table = [[f"{at:g}", *(causes[name] for name in names)] for at, causes in rows]
        self.print_table(["second", *names], [*table, ["all", *(total[name] for name in names)]])


def group_fields(row: overload_report.Row, by: list[str]) -> dict[str, Any]:
    """Return the columns of a group's row."""
    return {
        "second": row.second,
        **dict(zip(by, row.group, strict=True)),
        "offered": row.offered,
        **{str(result): count for result, count in row.counts.items()},
        "refusal_p50_ms": row.refusal_p50_ms,
        "refusal_p95_ms": row.refusal_p95_ms,
    }


def split_fields(split: overload_report.Split) -> dict[str, Any]:
    """Return the columns of a split's row."""
    return {
        "second": split.second,
        "service": split.service,
        "offered_engine_s": round(split.offered_engine_s, 3),
        "capacity_engine_s": split.capacity_engine_s,
        "best_worth": round(split.best_worth, 3),
        "achieved_worth": round(split.achieved_worth, 3),
        "share": None if split.share is None else round(split.share, 3),
    }


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
