"""Rolling upgrade test: under load, VMs are restarted one by one with another build.

`python -m bench upgrade --from COMMIT --route forward --seed N`. The old build is a commit of this
repository, checked out as a git worktree and run with the installed libraries. Control VMs and
entries are processes; clients, workers and the operator run in this process. Each VM is stopped
gracefully and started in place with the other build. Besides the invariants of the soak test, a run
checks that no process exits by itself, that the last acknowledged configuration is read back, and
that the success rate is at most SUCCESS_RATE_DROP_MAX below that of a run without an upgrade. With
--overload, part of the requests is refused in all runs, and the numbers of served requests are
compared instead: the runs have the same length, the same load and the same evacuated zones.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import pathlib
import random
import tempfile

from bench import measure, upgrade_builds, upgrade_faults, upgrade_run

ORDERS = ("controls", "entries", "mixed")
SUCCESS_RATE_DROP_MAX = 0.01
SERVED_SHARE_MIN = 0.99


def run(
    plan: upgrade_run.Plan, old: pathlib.Path, folder: pathlib.Path
) -> upgrade_run.UpgradeResult:
    """Run a plan and return its results; logs are written to `folder`."""
    upgrade = upgrade_run.Upgrade(plan, old, folder)
    soak_result = asyncio.run(upgrade.run())
    upgrade.result.named = upgrade.published_version
    upgrade.result.acknowledged = soak_result.acknowledged
    upgrade.result.broken = soak_result.violations
    return upgrade.result


def find_violations(
    result: upgrade_run.UpgradeResult, baseline_rate: float, baseline_served: int = 0
) -> list[str]:
    """Return the violations of a run, given the results of a run without an upgrade.

    These are its success rate and, in an overload, the number of requests that it served.
    """
    found = [*result.broken, *(f"exited by itself: {name}" for name in result.ended)]
    if result.plan.is_overloaded:
        if result.answered < SERVED_SHARE_MIN * baseline_served:
            found.append(f"{result.answered} served, without upgrade {baseline_served}")
    elif result.success_rate() < baseline_rate - SUCCESS_RATE_DROP_MAX:
        found.append(
            f"success rate {result.success_rate():.3f}, without upgrade {baseline_rate:.3f}"
        )
    return found


def main(arguments: list[str]) -> int:
    """Run a route with a range of seeds; return 1 for violations, 2 if the commit is missing."""
    parser = argparse.ArgumentParser(prog="python -m bench upgrade")
    parser.add_argument(
        "--from",
        dest="commit",
        default=upgrade_builds.RELEASED_COMMITS[0],
        help="commit of the old build",
    )
    parser.add_argument("--route", choices=[*upgrade_run.ROUTES], default="forward")
    parser.add_argument("--order", choices=ORDERS, default="controls")
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--deadly", action="store_true", help="add a request that crashes workers")
    parser.add_argument(
        "--limited", action="store_true", help="let a worker advertise a rate limit"
    )
    parser.add_argument("--weights", action="store_true", help="distribute weights meanwhile")
    parser.add_argument(
        "--overload", action="store_true", help="send more requests than the workers can serve"
    )
    parser.add_argument(
        "--trouble", nargs="+", choices=list(upgrade_faults.FAULTS), default=(), metavar="KIND"
    )
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs of the nodes")
    options = parser.parse_args(arguments)
    if (options.overload or "evacuations" in options.trouble) and (
        options.deadly or options.weights
    ):
        parser.error("--deadly and --weights have other workers than --overload and evacuations")
    figures: dict[str, object] = {"from": options.commit, "runs": []}
    has_violations = False
    try:
        with upgrade_builds.checkout_build(options.commit) as old:
            for seed in range(options.seed, options.seed + options.seeds):
                result = run_route(options.route, options, seed, old)
                # The upgrade need not do better than either build does alone.
                routes = (
                    ("calm", "calm-old")
                    if upgrade_run.OLD in upgrade_run.ROUTES[options.route]
                    else ("calm",)
                )
                calm = [run_route(route, options, seed, old, result) for route in routes]
                baseline = min(other.success_rate() for other in calm)
                served = {other.plan.route: other.answered for other in calm}
                refused = {other.plan.route: other.refused for other in calm}
                late = {other.plan.route: other.sent_late for other in calm}
                found = find_violations(result, baseline, min(served.values()))
                found += [f"without upgrade: {text}" for text in find_violations(calm[0], 0.0)]
                has_violations |= bool(found)
                print(
                    f"seed {seed}: success rate {result.success_rate():.4f}, without upgrade"
                    f" {baseline:.4f}, served {result.answered} and refused {result.refused} of"
                    f" {result.asked}, without upgrade served {served}, refused {refused}, late"
                    f" at the client {result.sent_late}, without upgrade {late}, {found}",
                    flush=True,
                )
                row = dataclasses.asdict(result)
                row |= {"calm": round(baseline, 4), "calm_served": served, "calm_refused": refused}
                row |= {"calm_sent_late": late, "problems": found}
                figures["runs"].append(row)  # type: ignore[attr-defined]
    except upgrade_builds.MissingCommitError as error:
        print(f"upgrade: {error}")
        return 2
    return measure.print_results("upgrade", figures) or (1 if has_violations else 0)


def run_route(
    route: str,
    options: argparse.Namespace,
    seed: int,
    old: pathlib.Path,
    compared: upgrade_run.UpgradeResult | None = None,
) -> upgrade_run.UpgradeResult:
    """Run a route in a folder that is deleted afterwards, unless --keep is given.

    A run without an upgrade is given the result that it is to be `compared` with.
    """
    with contextlib.ExitStack() as stack:
        folder = options.keep
        if folder is None:
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder = folder / f"{route}-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        # Runs without an upgrade are the baseline, so they have no faults.
        troubles = () if route.startswith("calm") else tuple(options.trouble)
        plan = upgrade_run.Plan(
            route,
            options.order,
            seed,
            options.deadly,
            options.limited,
            options.weights,
            troubles,
            options.overload,
        )
        if compared is not None and (plan.is_overloaded or compared.evacuations):
            # The old build does not know evacuations.
            evacuations = () if route == "calm-old" else tuple(compared.evacuations)
            plan = dataclasses.replace(
                plan, duration_s=compared.duration_s, evacuations=evacuations
            )
        return run(plan, old, folder)
