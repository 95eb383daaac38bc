"""The order in which a target goes from what it serves to what it should serve."""

import dataclasses

from merlinthread.coordination import bundles, control_state


@dataclasses.dataclass(slots=True)
class WantedModel:
    """One model or adapter that an engine should serve; `base` is an adapter's model."""

    name: str
    version: str
    manifest: str
    base: str = ""


@dataclasses.dataclass(slots=True)
class Load:
    """Order the engine to load a version that is here whole and verified."""

    item: WantedModel


@dataclasses.dataclass(slots=True)
class Unload:
    """Order the engine to drop a model or adapter once its work in progress is done."""

    name: str


Step = Load | Unload


def wanted_models(directive: control_state.Directive, agent: str) -> list[WantedModel]:
    """Return what `agent`'s engine should serve: its models, each before its adapters."""
    if directive.bundle is None:
        return []
    found = []
    placed = directive.placement.get(agent)
    for name in placed.models if placed else []:
        model = directive.bundle.model(name)
        if model is None:
            continue
        found.append(WantedModel(model.name, model.version, model.manifest))
        found.extend(adapter_of(model, adapter) for adapter in model.adapters)
    return found


def adapter_of(model: bundles.Model, adapter: bundles.Adapter) -> WantedModel:
    """Return what to load for an adapter."""
    return WantedModel(adapter.name, adapter.version, adapter.manifest, base=model.name)


def next_step(
    wanted: list[WantedModel], serving: dict[str, str], complete: set[str], is_paused: bool
) -> Step | None:
    """Return the next order, or None if there is nothing to order now.

    A version is loaded only when it is in `complete`, and an adapter only on the wanted version of
    its model. What is no longer wanted goes last, so that a VM does not stand empty meanwhile. A
    paused roll loads nothing and takes nothing away.
    """
    if is_paused:
        return None
    manifests = {item.name: item.manifest for item in wanted}
    for item in wanted:
        if serving.get(item.name) == item.manifest or item.manifest not in complete:
            continue
        if item.base and serving.get(item.base) != manifests[item.base]:
            continue
        return Load(item)
    is_settled = all(serving.get(item.name) == item.manifest for item in wanted)
    if not is_settled:
        return None
    for name in sorted(serving):
        if name not in manifests:
            return Unload(name)
    return None
