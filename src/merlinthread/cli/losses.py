"""`losses`: how many requests were lost or late, by moment and cause, over log files of entries."""

import collections
import dataclasses
import json
import pathlib
import re

from cleo.helpers import option

from merlinthread import errors
from merlinthread.cli import base, explain

IN_TIME = "in time"
LEFT = "the client left"
# The reason that an entry gave, as a text in its line, and the cause that it stands for.
REFUSED = (
    ("no back end is free", "refused: none may serve"),
    ("every back end is busy", "refused: no place in time"),
    ("back ends are full", "refused: back ends were full"),
    ("can't be reached", "refused: back ends not reached"),
    ("no configuration", "refused: no configuration yet"),
)
# Who waited longer than this share of the objective for its first attempt was late by that.
WAITED_SHARE = 0.25


@dataclasses.dataclass(slots=True)
class Loss:
    """One request that an entry answered: when, and what became of it."""

    at: float
    cause: str


class Losses(base.OperatorCommand):
    """Count lost and late requests by moment and cause."""

    name = "losses"
    description = "Count lost and late requests by moment and cause, from entries' logs."
    arguments = []
    options = [
        option("logs", None, "Folder with the entries' log files.", flag=False, default="."),
        option("objective-ms", None, "When a first byte is late.", flag=False, default="400"),
        option("window-s", None, "Length of a row, in seconds.", flag=False, default="2"),
        base.JSON_OPTION,
    ]

    def act(self) -> int:
        """Print a row for each window with the counts of each cause, and the sums."""
        folder = pathlib.Path(self.option("logs"))
        if not folder.is_dir():
            raise errors.RequestError(f"--logs: {folder} is no folder; name the entries' logs")
        objective_ms = self.number("objective-ms")
        window_s = self.number("window-s")
        lines = [line for path in sorted(folder.iterdir()) for line in explain.read(path)]
        found = find_losses(lines, objective_ms)
        if not found:
            raise errors.RequestError(f"no line in {folder} tells of a request; name entries' logs")
        rows = count(found, window_s)
        if self.option("json"):
            print(json.dumps([{"second": at, **causes} for at, causes in rows]))
            return 0
        self.print_rows(rows)
        return 0

    def number(self, name: str) -> float:
        """Return an option that is a number above 0; raise RequestError."""
        text = self.option(name)
        try:
            value = float(text)
        except ValueError:
            value = 0.0
        if value <= 0:
            raise errors.RequestError(f"--{name}: {text!r} is no number above 0")
        return value

    def print_rows(self, rows: list[tuple[float, collections.Counter[str]]]) -> None:
        """Print the table, the causes with the most requests first."""
        total: collections.Counter[str] = collections.Counter()
        for _, causes in rows:
            total.update(causes)
        names = [name for name, _ in total.most_common()]
        table = [[f"{at:g}", *(causes[name] for name in names)] for at, causes in rows]
        self.show_table(["second", *names], [*table, ["all", *(total[name] for name in names)]])


def find_losses(lines: list[explain.Line], objective_ms: float) -> list[Loss]:
    """Return what became of each request that the lines tell of, in order of time."""
    found = [
        Loss(line.at - line.fields.get("ms", 0) / 1000, cause_of(line, objective_ms))
        for line in lines
        if line.fields.get("event") == "request"
    ]
    return sorted(found, key=lambda loss: loss.at)


def cause_of(line: explain.Line, objective_ms: float) -> str:
    """Return what became of a request and why, in a few words."""
    outcome = line.fields.get("outcome", "")
    reasons = explain.attempts(line)
    if outcome == "answered":
        return cause_of_answer(line, objective_ms)
    if outcome == "left":
        return LEFT
    if outcome == "no_target":
        text = reasons[-1] if reasons else ""
        return next((cause for part, cause in REFUSED if part in text), "refused: other")
    return f"failed: {outcome}"


def cause_of_answer(line: explain.Line, objective_ms: float) -> str:
    """Return whether an answer came in time, and why not."""
    first_ms = line.fields.get("first_ms")
    first_ms = line.fields.get("ms", 0) if first_ms is None else first_ms
    reasons = explain.attempts(line)
    if not 200 <= line.fields.get("status", 0) < 300:
        return "failed: by the back end"
    if first_ms <= objective_ms:
        return IN_TIME
    if len(reasons) > 1:
        return "late: a second attempt"
    waited = re.search(r" after (\d+) ms", reasons[0]) if reasons else None
    if waited is not None and int(waited[1]) > WAITED_SHARE * objective_ms:
        return "late: waited for a place"
    expected = re.search(r"expected in (\d+) ms", reasons[0]) if reasons else None
    if expected is not None and int(expected[1]) > objective_ms:
        return "late: as expected"
    return "late: slower than expected"


def count(found: list[Loss], window_s: float) -> list[tuple[float, collections.Counter[str]]]:
    """Return the causes counted in each window, by its seconds after the first request."""
    windows: dict[int, collections.Counter[str]] = {}
    for loss in found:
        number = int((loss.at - found[0].at) / window_s)
        windows.setdefault(number, collections.Counter())[loss.cause] += 1
    return [(number * window_s, windows[number]) for number in sorted(windows)]
