"""Assignment of models to VMs, by each model's share of the engines in an availability zone."""

import dataclasses

from merlinthread.coordination import agents, bundles, commands


@dataclasses.dataclass(slots=True)
class Plan:
    """Placement changes by agent name, with a summary for the log."""

    changes: dict[str, commands.VmPlacement]
    reason: str


def engines_per_model(models: list[bundles.Model], engines: int) -> dict[str, int]:
    """Return how many of the `engines` in a zone each model gets.

    Shares are rounded by the largest remainder method, then raised to `replicas_min` as far as
    there are engines. Engines beyond the sum of the shares are not counted.
    """
    exact = {model.name: model.share_percent * engines / 100 for model in models}
    counts = {name: int(value) for name, value in exact.items()}
    budget = min(engines, round(sum(exact.values())))
    by_remainder = sorted(models, key=lambda m: (counts[m.name] - exact[m.name], m.name))
    for model in by_remainder:
        if sum(counts.values()) < budget:
            counts[model.name] += 1
    for model in models:
        raise_to_minimum(model, models, counts, engines)
    return counts


def raise_to_minimum(
    model: bundles.Model, models: list[bundles.Model], counts: dict[str, int], engines: int
) -> None:
    """Raise `model` to `replicas_min`, from unassigned engines first.

    After those, engines are taken from the models with the largest surplus over their minimum.
    """
    minimum = {m.name: m.replicas_min for m in models}
    while counts[model.name] < model.replicas_min:
        if sum(counts.values()) < engines:
            counts[model.name] += 1
            continue
        donor = max(counts, key=lambda name: (counts[name] - minimum[name], name))
        if donor == model.name or counts[donor] <= max(1, minimum[donor]):
            return
        counts[donor] -= 1
        counts[model.name] += 1


def plan_zone(
    models: list[bundles.Model], names: list[str], present: dict[str, list[str]]
) -> dict[str, list[str]]:
    """Return the placement changes for the engines `names` of one zone, with the fewest moves."""
    counts = engines_per_model(models, len(names))
    free: list[str] = []
    for name in sorted(names):
        held = present.get(name, [])
        if len(held) == 1 and counts.get(held[0], 0) > 0:
            counts[held[0]] -= 1
        else:
            free.append(name)
    changes = {}
    for name in free:
        model = max(counts, key=lambda m: (counts[m], m), default="")
        if not model or counts[model] <= 0:
            break
        counts[model] -= 1
        changes[name] = [model]
    return changes


def plan(
    bundle: bundles.Bundle,
    live: list[agents.AgentReport],
    present: dict[str, commands.VmPlacement],
) -> Plan:
    """Return the changes that bring the live engines of every zone to the bundle's shares.

    VMs that are not live keep their placement, so a partitioned zone continues unchanged. Models
    that the bundle no longer contains are removed from all placements.
    """
    zones: dict[str, list[str]] = {}
    engines: dict[str, agents.AgentReport] = {}
    for report in live:
        if report.kind == bundles.GENERATE and not report.is_leaving:
            engines[report.name] = report
            zones.setdefault(report.availability_zone, []).append(report.name)
    held = {name: placed.models for name, placed in present.items()}
    wanted: dict[str, list[str]] = {}
    for names in zones.values():
        wanted.update(plan_zone(bundle.models, names, held))
    changes = {name: make_placement(engines[name], models) for name, models in wanted.items()}
    for name, report in engines.items():
        if name not in changes and name in present and present[name].bus != report.bus:
            changes[name] = make_placement(report, present[name].models)
    known = {model.name for model in bundle.models}
    for name, placed in present.items():
        if name not in changes and any(model not in known for model in placed.models):
            changes[name] = dataclasses.replace(placed, models=[])
    reason = f"{len(changes)} of {len(engines)} engines change"
    return Plan(changes, reason)


def make_placement(report: agents.AgentReport, models: list[str]) -> commands.VmPlacement:
    """Return the placement of `models` on the VM that sent `report`."""
    return commands.VmPlacement(models, report.availability_zone, report.region, report.bus)
