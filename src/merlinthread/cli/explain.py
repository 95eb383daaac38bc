"""The `explain` command, which finds the cause of a failed request in the log files of nodes."""

import dataclasses
import datetime
import json
import pathlib
import re
from collections.abc import Iterator
from typing import Any

from cleo.helpers import argument, option

from merlinthread import errors
from merlinthread.cli import base

CONTEXT_S = 3.0
# Events that change what a process knows about the fleet. Those logged by the same process from
# CONTEXT_S before a request arrived until it ended are shown with the request.
STATE_CHANGE_EVENTS = (
    "control_lost",
    "control_found",
    "configuration",
    "evacuations",
    "weights_named",
    "instance",
    "news_in_full",
    "backend_leaves",
    "backend_rests",
    "not_ready",
    "stopping",
    "cut_off",
)


@dataclasses.dataclass(slots=True)
class LogLine:
    """A line of a log file.

    `at` is in seconds since the epoch, by the clock of the VM that wrote the line.
    """

    at: float
    fields: dict[str, Any]


class Explain(base.OperatorCommand):
    """Show the outcome of a request and what led to it."""

    name = "explain"
    description = (
        "Show the outcome of a request and the state changes of its entry that preceded it."
    )
    arguments = [argument("request-id", "ID of the request.")]
    options = [
        option("logs", None, "Folder with the log files of the nodes.", flag=False, default="."),
        base.JSON_OPTION,
    ]

    def run_command(self) -> int:
        """Print the lines of a request and the state changes that preceded them."""
        folder = pathlib.Path(self.option("logs"))
        if not folder.is_dir():
            raise errors.RequestError(f"--logs: {folder} is not a folder; pass one with log files")
        lines = [line for path in sorted(folder.iterdir()) for line in read_log_file(path)]
        related_lines = find_related_lines(lines, self.argument("request-id"))
        if not related_lines:
            raise errors.RequestError(
                f"no log line in {folder} has the request id {self.argument('request-id')!r}; add "
                "the log of the entry that handled the request",
                kind=errors.ErrorKind.UNKNOWN_ROUTE,
            )
        for line in related_lines:
            print(json.dumps(line.fields) if self.option("json") else format_line(line))
        return 0


def read_log_file(path: pathlib.Path) -> Iterator[LogLine]:
    """Yield the JSON lines of a file, ignoring any text before the JSON object on a line.

    Lines without a JSON object or a valid timestamp are skipped.
    """
    if not path.is_file():
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(text[start:])
                yield LogLine(parse_timestamp(fields["at"]), fields)
            except (ValueError, KeyError, TypeError):
                continue


def parse_timestamp(text: str) -> float:
    """Convert the ISO 8601 timestamp of a log line to seconds since the epoch."""
    return datetime.datetime.fromisoformat(text).timestamp()


def find_related_lines(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines of a request, each after the state changes that preceded it.

    State changes are those that the same process logged within CONTEXT_S before the request
    arrived or while it was in progress. Changes of back ends that were not tried are left out.
    """
    matches = [line for line in lines if line.fields.get("request") == request_id]
    related_lines: list[LogLine] = []
    for match in matches:
        window_start = match.at - match.fields.get("ms", 0) / 1000 - CONTEXT_S
        backends = set(re.findall(r"^(\S+) after", "\n".join(get_attempts(match)), re.MULTILINE))
        for line in lines:
            if line.fields.get("process") != match.fields.get("process"):
                continue
            if (
                not window_start <= line.at <= match.at
                or line.fields.get("event") not in STATE_CHANGE_EVENTS
            ):
                continue
            if line.fields["event"] == "instance" and line.fields["instance"] not in backends:
                continue
            related_lines.append(line)
        related_lines.append(match)
    return related_lines


def get_attempts(line: LogLine) -> list[str]:
    """Return the descriptions of a request's attempts, in order."""
    return line.fields.get("attempts", [])


def format_line(line: LogLine) -> str:
    """Format a line as text, with each attempt on an indented line of its own."""
    fields = dict(line.fields)
    prefix = f"{fields.pop('at', '')} {fields.pop('process', '')} {fields.pop('event', '')}"
    fields.pop("level", None)
    attempts = fields.pop("attempts", [])
    fields_text = ", ".join(f"{name} {value}" for name, value in fields.items())
    return "\n".join([f"{prefix}: {fields_text}", *(f"    {text}" for text in attempts)])
