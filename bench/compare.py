"""Compare the policies of one field of the policy file on the same simulated days.

`--decision` names the field and `--ways` its policies; `--list` prints all fields and policies.
Each policy runs in its own copy of the source tree under `--folder`, selected in its
`deploy/policy.json`. `--program` is the path of the users' simulator. Results are stored, so an
interrupted comparison can be resumed. The last line of output is one JSON object.
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

from bench import significance
from merlinthread import registry
from merlinthread.nodes import node_policy

COPIED = ("src", "deploy")
JOURNAL = pathlib.Path("journal")
POLICY_FILE = pathlib.Path("deploy/policy.json")
RESULTS_FILE = "results.jsonl"
USAGE_ERROR = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Simulation:
    """A simulation of one day with one policy; `seed` 0 selects the day's default seed."""

    site: pathlib.Path
    day: str
    seed: int
    policy: str

    def key(self) -> str:
        """Return the key of this simulation in the results file."""
        return f"{self.site.stem} {self.day} {self.seed} {self.policy}"


@dataclasses.dataclass(slots=True)
class Comparison:
    """The field to compare, and how simulations run."""

    program: pathlib.Path
    folder: pathlib.Path
    field: str
    is_small: bool

    def tree(self, policy: str) -> pathlib.Path:
        """Return the folder of a policy's copy of the source tree."""
        return self.folder / f"{self.field}-{policy}"

    def command(self, simulation: Simulation, report: pathlib.Path) -> list[str]:
        """Return the command line of a simulation."""
        why = f"compare {self.field}: {simulation.policy}"
        command = [str(self.program), "run", str(simulation.site), simulation.day]
        if simulation.seed:
            command += ["--seed", str(simulation.seed)]
        if self.is_small:
            command.append("--small")
        return [*command, "--report", str(report), "--why", why]


def get_policies(decision: str) -> registry.Registry:
    """Return the policies of a field; raise SystemExit if the field is unknown."""
    if decision not in node_policy.POLICY_REGISTRIES:
        exit_with_error(
            f"unknown decision {decision!r}; known: {', '.join(node_policy.POLICY_REGISTRIES)}"
        )
    return node_policy.POLICY_REGISTRIES[decision]


def exit_with_error(reason: str) -> None:
    """Print a one-line error and exit with code 2."""
    print(f"compare: {reason}", file=sys.stderr)
    raise SystemExit(USAGE_ERROR)


def check_days(site: pathlib.Path, days: Sequence[str]) -> None:
    """Raise SystemExit if a site file is unreadable or lacks one of the days."""
    try:
        known = [day["name"] for day in tomllib.loads(site.read_text()).get("day", [])]
    except (OSError, tomllib.TOMLDecodeError) as error:
        exit_with_error(f"{site}: {error}; a site file is required")
    for day in days:
        if day not in known:
            exit_with_error(f"{site}: unknown day {day!r}; known: {', '.join(known)}")


def copy_tree(comparison: Comparison, policy: str) -> None:
    """Copy the working tree and select a policy in the copy, unless the copy exists."""
    tree = comparison.tree(policy)
    if tree.exists():
        return
    subprocess.run(["git", "clone", "--quiet", ".", str(tree)], check=True)
    for name in COPIED:
        shutil.rmtree(tree / name)
        shutil.copytree(name, tree / name, ignore=shutil.ignore_patterns("__pycache__"))
    selected = json.loads(POLICY_FILE.read_text()) | {comparison.field: policy}
    (tree / POLICY_FILE).write_text(json.dumps(selected, indent=4) + "\n")


def copy_journal(comparison: Comparison, policies: Sequence[str]) -> None:
    """Copy new journal entries of the simulations into this tree."""
    for policy in policies:
        for entry in (comparison.tree(policy) / JOURNAL).glob("*.json"):
            if not (JOURNAL / entry.name).exists():
                shutil.copy(entry, JOURNAL / entry.name)


def read_scores(path: pathlib.Path) -> dict[str, float]:
    """Return the score of each stored simulation, by its key."""
    if not path.exists():
        return {}
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    return {row["play"]: row["worth"] for row in rows}


def run_simulation(comparison: Comparison, simulation: Simulation) -> dict[str, object]:
    """Run a simulation; return its score and the rules that it broke."""
    report = comparison.tree(simulation.policy) / f"{simulation.key().replace(' ', '-')}.json"
    completed = subprocess.run(
        comparison.command(simulation, report),
        cwd=comparison.tree(simulation.policy),
        capture_output=True,
        text=True,
    )
    if not report.exists():
        raise SystemExit(
            f"compare: {simulation.key()}: {completed.stderr.strip() or completed.stdout[-500:]}"
        )
    result = json.loads(report.read_text())
    return {"play": simulation.key(), "worth": result["G"], "rules": result["breaks"]}


def score_differences(
    simulations: Sequence[Simulation], scores: dict[str, float], policy: str, baseline: str
) -> list:
    """Return the score differences of a policy and the baseline, per site, day and seed."""
    return [
        scores[simulation.key()] - scores[dataclasses.replace(simulation, policy=baseline).key()]
        for simulation in simulations
        if simulation.policy == policy
    ]


def main(argv: list[str]) -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="bench compare", description=__doc__)
    parser.add_argument("--list", action="store_true", help="print all decisions and their ways")
    parser.add_argument("--decision", default="")
    parser.add_argument("--ways", nargs="*", default=[], help="policies; the first is the baseline")
    parser.add_argument("--program", type=pathlib.Path, help="path of the simulator")
    parser.add_argument("--site", type=pathlib.Path, nargs="*", default=[])
    parser.add_argument("--day", nargs="*", default=[])
    parser.add_argument("--seed", type=int, nargs="*", default=[0])
    parser.add_argument("--small", action="store_true", help="use the small variants of the days")
    parser.add_argument("--folder", type=pathlib.Path, help="for copies and results")
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args(argv)
    if options.list:
        print(
            json.dumps(
                {name: sorted(policies) for name, policies in node_policy.POLICY_REGISTRIES.items()}
            )
        )
        return 0
    registered = get_policies(options.decision)
    policies = options.ways or sorted(registered)
    for policy in policies:
        if policy not in registered.entries:
            exit_with_error(
                f"{options.decision}: unknown way {policy!r}; known: {', '.join(registered)}"
            )
    if options.program is None or options.folder is None or not options.site or not options.day:
        exit_with_error("--program, --folder, --site and --day are required")
    for site in options.site:
        check_days(site, options.day)
    comparison = Comparison(options.program, options.folder, options.decision, options.small)
    simulations = [
        Simulation(site, day, seed, policy)
        for site in options.site
        for day in options.day
        for seed in options.seed
        for policy in policies
    ]
    return compare(comparison, simulations, policies, options.jobs)


def compare(
    comparison: Comparison, simulations: Sequence[Simulation], policies: Sequence[str], jobs: int
) -> int:
    """Run the missing simulations and print the comparison of each policy with the baseline."""
    for policy in policies:
        copy_tree(comparison, policy)
    results = comparison.folder / RESULTS_FILE
    scores = read_scores(results)
    not_run = [simulation for simulation in simulations if simulation.key() not in scores]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for row in pool.map(lambda simulation: run_simulation(comparison, simulation), not_run):
            with results.open("a") as file:
                file.write(json.dumps(row) + "\n")
            print(row, flush=True)
    copy_journal(comparison, policies)
    scores = read_scores(results)
    baseline, comparisons = policies[0], {}
    for policy in policies[1:]:
        for site in sorted({simulation.site for simulation in simulations}):
            of_site = [simulation for simulation in simulations if simulation.site == site]
            result = significance.evaluate(score_differences(of_site, scores, policy, baseline))
            print(f"{site.stem}: {policy} against {baseline}: {result}")
        result = significance.evaluate(score_differences(simulations, scores, policy, baseline))
        comparisons[policy] = dataclasses.asdict(result)
    print(
        json.dumps(
            {"bench": "compare", "decision": comparison.field, "against": baseline} | comparisons
        )
    )
    return 0
