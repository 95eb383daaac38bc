"""Steps that bring an engine from the models it serves to those it should serve."""

import dataclasses

from merlinthread.coordination import bundles, control_state


@dataclasses.dataclass(slots=True)
class WantedModel:
    """A model or adapter that an engine should serve; `base` is the model of an adapter."""

    name: str
    version: str
    manifest: str
    base: str = ""


@dataclasses.dataclass(slots=True)
class Load:
    """Load a version whose weights are complete and verified on this VM."""

    item: WantedModel


@dataclasses.dataclass(slots=True)
class Unload:
    """Unload a model or adapter once its requests in progress have finished."""

    name: str


Step = Load | Unload


def wanted_models(directive: control_state.Directive, agent: str) -> list[WantedModel]:
    """Return what the engine of `agent` should serve, each model followed by its adapters."""
    if directive.bundle is None:
        return []
    found = []
    placed = directive.placement.get(agent)
    for name in placed.models if placed else []:
        model = directive.bundle.model(name)
        if model is None:
            continue
        found.append(WantedModel(model.name, model.version, model.manifest))
        found.extend(wanted_adapter(model, adapter) for adapter in model.adapters)
    return found


def wanted_adapter(model: bundles.Model, adapter: bundles.Adapter) -> WantedModel:
    """Return the entry for an adapter of `model`."""
    return WantedModel(adapter.name, adapter.version, adapter.manifest, base=model.name)


def next_step(
    wanted: list[WantedModel], serving: dict[str, str], complete: set[str], is_paused: bool
) -> Step | None:
    """Return the next step, or None if there is none to take now.

    A version is loaded only if its manifest is in `complete`, and an adapter only while the engine
    serves the wanted version of its model. Models that are no longer wanted are unloaded last, so
    that the engine serves throughout. While the roll is paused there are no steps.
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
