"""`explain`: from a failed request's id to its cause, over the log files of nodes."""

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

AROUND_S = 3.0
# Events that change what a node believes; those of the same process shortly before are shown.
BELIEFS = (
    "control_lost",
    "control_found",
    "configuration",
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
class Line:
    """One line of a log; `at` is seconds of its process's time of day."""

    at: float
    fields: dict[str, Any]


class Explain(base.OperatorCommand):
    """Show what became of a request and why."""

    name = "explain"
    description = "Show what became of a request and what was believed when it was decided."
    arguments = [argument("request-id", "The request's id.")]
    options = [
        option("logs", None, "Folder with the nodes' log files.", flag=False, default="."),
        base.JSON_OPTION,
    ]

    def act(self) -> int:
        """Print the decisions on a request and the changes of belief before them."""
        folder = pathlib.Path(self.option("logs"))
        if not folder.is_dir():
            raise errors.RequestError(f"--logs: {folder} is no folder; name the nodes' logs")
        lines = [line for path in sorted(folder.iterdir()) for line in read(path)]
        found = explain(lines, self.argument("request-id"))
        if not found:
            raise errors.RequestError(
                f"no line in {folder} tells of request {self.argument('request-id')!r}; was its "
                "entry's log kept?",
                kind=errors.ErrorKind.UNKNOWN_ROUTE,
            )
        for line in found:
            print(json.dumps(line.fields) if self.option("json") else sentence(line))
        return 0


def read(path: pathlib.Path) -> Iterator[Line]:
    """Give the JSON lines of one file; what stands before the JSON of a line is passed over."""
    if not path.is_file():
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(text[start:])
                yield Line(seconds_of(fields["at"]), fields)
            except (ValueError, KeyError, TypeError):
                continue


def seconds_of(text: str) -> float:
    """Return the seconds in a timestamp of a log line."""
    return datetime.datetime.fromisoformat(text).timestamp()


def explain(lines: list[Line], request_id: str) -> list[Line]:
    """Return the decisions on a request and what its entry came to believe just before."""
    decisions = [line for line in lines if line.fields.get("request") == request_id]
    found: list[Line] = []
    for decision in decisions:
        began = decision.at - decision.fields.get("ms", 0) / 1000 - AROUND_S
        backends = set(re.findall(r"^(\S+) after", "\n".join(attempts(decision)), re.MULTILINE))
        for line in lines:
            if line.fields.get("process") != decision.fields.get("process"):
                continue
            if not began <= line.at <= decision.at or line.fields.get("event") not in BELIEFS:
                continue
            if line.fields["event"] == "instance" and line.fields["instance"] not in backends:
                continue
            found.append(line)
        found.append(decision)
    return found


def attempts(line: Line) -> list[str]:
    """Return the attempts that a decision tells of."""
    return line.fields.get("attempts", [])


def sentence(line: Line) -> str:
    """Return a line as text."""
    fields = dict(line.fields)
    head = f"{fields.pop('at', '')} {fields.pop('process', '')} {fields.pop('event', '')}"
    fields.pop("level", None)
    tried = fields.pop("attempts", [])
    rest = ", ".join(f"{name} {value}" for name, value in fields.items())
    return "\n".join([f"{head}: {rest}", *(f"    {text}" for text in tried)])
