"""Plays the same days with each way of a decision, and tells which way is the better one.

`--list` prints what there is to decide. Each way has its own copy of the tree under `--folder`,
with that way in `deploy/policy.json`; the program that plays days is the users' and is named by its
path. Plays that were made are not made again, so a comparison that was stopped goes on. The last
line of output is one JSON object.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import shutil
import subprocess
import sys
import tomllib
from collections.abc import Sequence

from bench import verdict
from merlinthread import registry
from merlinthread.nodes import node_policy

COPIED = ("src", "deploy")
JOURNAL = pathlib.Path("journal")
POLICY_FILE = pathlib.Path("deploy/policy.json")
RESULTS_FILE = "results.jsonl"
BAD_USE = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Play:
    """One day played with one way; `seed` 0 is the day's own."""

    site: pathlib.Path
    day: str
    seed: int
    way: str

    def key(self) -> str:
        """Return a name for it that is the same in a later run."""
        return f"{self.site.stem} {self.day} {self.seed} {self.way}"


@dataclasses.dataclass(slots=True)
class Task:
    """What is to be compared, and how days are played."""

    program: pathlib.Path
    folder: pathlib.Path
    decision: str
    is_small: bool

    def tree(self, way: str) -> pathlib.Path:
        """Return the folder of a way's copy of the tree."""
        return self.folder / f"{self.decision}-{way}"

    def command(self, play: Play, report: pathlib.Path) -> list[str]:
        """Return the command that plays a day."""
        why = f"compare {self.decision}: {play.way}"
        command = [str(self.program), "run", str(play.site), play.day]
        if play.seed:
            command += ["--seed", str(play.seed)]
        if self.is_small:
            command.append("--small")
        return [*command, "--report", str(report), "--why", why]


def ways_of(decision: str) -> registry.Registry:
    """Return the ways of a decision; raise SystemExit naming what there is."""
    if decision not in node_policy.POLICY_REGISTRIES:
        give_up(f"no decision {decision!r}; there is {', '.join(node_policy.POLICY_REGISTRIES)}")
    return node_policy.POLICY_REGISTRIES[decision]


def give_up(reason: str) -> None:
    """End with the code for bad use and one line."""
    print(f"compare: {reason}", file=sys.stderr)
    raise SystemExit(BAD_USE)


def check_days(site: pathlib.Path, days: Sequence[str]) -> None:
    """Make sure that a site file has the days; raise SystemExit otherwise."""
    try:
        known = [day["name"] for day in tomllib.loads(site.read_text()).get("day", [])]
    except (OSError, tomllib.TOMLDecodeError) as error:
        give_up(f"{site}: {error}; name a site file")
    for day in days:
        if day not in known:
            give_up(f"{site}: no day {day!r}; there is {', '.join(known)}")


def copy_tree(task: Task, way: str) -> None:
    """Lay a copy of the tree as it is, with a way in force, unless there is one."""
    tree = task.tree(way)
    if tree.exists():
        return
    subprocess.run(["git", "clone", "--quiet", ".", str(tree)], check=True)
    for name in COPIED:
        shutil.rmtree(tree / name)
        shutil.copytree(name, tree / name, ignore=shutil.ignore_patterns("__pycache__"))
    policy = json.loads(POLICY_FILE.read_text()) | {task.decision: way}
    (tree / POLICY_FILE).write_text(json.dumps(policy, indent=4) + "\n")


def bring_journal(task: Task, ways: Sequence[str]) -> None:
    """Bring the journal's entries of the plays here, to be committed with the others."""
    for way in ways:
        for entry in (task.tree(way) / JOURNAL).glob("*.json"):
            if not (JOURNAL / entry.name).exists():
                shutil.copy(entry, JOURNAL / entry.name)


def read_results(path: pathlib.Path) -> dict[str, float]:
    """Return the worth of each play that was made, by its key."""
    if not path.exists():
        return {}
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    return {row["play"]: row["worth"] for row in rows}


def carry_out(task: Task, play: Play) -> dict[str, object]:
    """Play a day; return its worth and the rules that it broke."""
    report = task.tree(play.way) / f"{play.key().replace(' ', '-')}.json"
    done = subprocess.run(
        task.command(play, report), cwd=task.tree(play.way), capture_output=True, text=True
    )
    if not report.exists():
        raise SystemExit(f"compare: {play.key()}: {done.stderr.strip() or done.stdout[-500:]}")
    told = json.loads(report.read_text())
    return {"play": play.key(), "worth": told["G"], "rules": told["breaks"]}


def pairs_of(plays: Sequence[Play], worths: dict[str, float], way: str, standing: str) -> list:
    """Return the differences of a way against the standing one, day by day."""
    return [
        worths[play.key()] - worths[dataclasses.replace(play, way=standing).key()]
        for play in plays
        if play.way == way
    ]


def main(argv: list[str]) -> int:
    """Compare the ways of one decision."""
    parser = argparse.ArgumentParser(prog="bench compare", description=__doc__)
    parser.add_argument("--list", action="store_true", help="print decisions and their ways")
    parser.add_argument("--decision", default="")
    parser.add_argument("--ways", nargs="*", default=[], help="the standing one goes first")
    parser.add_argument("--program", type=pathlib.Path, help="what plays days")
    parser.add_argument("--site", type=pathlib.Path, nargs="*", default=[])
    parser.add_argument("--day", nargs="*", default=[])
    parser.add_argument("--seed", type=int, nargs="*", default=[0])
    parser.add_argument("--small", action="store_true", help="twins of large days")
    parser.add_argument("--folder", type=pathlib.Path, help="where copies and results lie")
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args(argv)
    if options.list:
        print(
            json.dumps({name: sorted(ways) for name, ways in node_policy.POLICY_REGISTRIES.items()})
        )
        return 0
    known = ways_of(options.decision)
    ways = options.ways or sorted(known)
    for way in ways:
        if way not in known.entries:
            give_up(f"{options.decision}: no way {way!r}; there is {', '.join(known)}")
    if options.program is None or options.folder is None or not options.site or not options.day:
        give_up("--program, --folder, --site and --day are needed")
    for site in options.site:
        check_days(site, options.day)
    task = Task(options.program, options.folder, options.decision, options.small)
    plays = [
        Play(site, day, seed, way)
        for site in options.site
        for day in options.day
        for seed in options.seed
        for way in ways
    ]
    return compare(task, plays, ways, options.jobs)


def compare(task: Task, plays: Sequence[Play], ways: Sequence[str], jobs: int) -> int:
    """Make the plays that are missing and print what they tell."""
    for way in ways:
        copy_tree(task, way)
    results = task.folder / RESULTS_FILE
    worths = read_results(results)
    missing = [play for play in plays if play.key() not in worths]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for row in pool.map(lambda play: carry_out(task, play), missing):
            with results.open("a") as file:
                file.write(json.dumps(row) + "\n")
            print(row, flush=True)
    bring_journal(task, ways)
    worths = read_results(results)
    standing, found = ways[0], {}
    for way in ways[1:]:
        for site in sorted({play.site for play in plays}):
            here = [play for play in plays if play.site == site]
            told = verdict.judge(pairs_of(here, worths, way, standing))
            print(f"{site.stem}: {way} against {standing}: {told}")
        told = verdict.judge(pairs_of(plays, worths, way, standing))
        found[way] = dataclasses.asdict(told)
    print(json.dumps({"bench": "compare", "decision": task.decision, "against": standing} | found))
    return 0
