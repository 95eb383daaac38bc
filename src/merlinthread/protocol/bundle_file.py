"""Read and validate bundle files, which are JSON with comments."""

import re
from typing import Annotated, Any

import json5
import pydantic

from merlinthread import errors
from merlinthread.coordination import bundles

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
DIGEST_PATTERN = r"^[0-9a-f]{64}$"
BUNDLE_BYTES_MAX = 1024 * 1024

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Digest = Annotated[str, pydantic.Field(pattern=DIGEST_PATTERN)]
Percent = Annotated[int, pydantic.Field(ge=0, le=100)]


class StrictModel(pydantic.BaseModel):
    """Base of the validated models: rejects unknown keys and does not convert types."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class AdapterInput(StrictModel):
    """An adapter in a bundle file."""

    name: Name
    version: Name
    manifest: Digest


class ModelInput(StrictModel):
    """A model in a bundle file."""

    name: Name
    version: Name
    manifest: Digest
    share_percent: Percent
    replicas_min: Annotated[int, pydantic.Field(ge=1, le=10_000)] = 1
    adapters: list[AdapterInput] = []


class GroupInput(StrictModel):
    """A group of client accounts in a bundle file."""

    name: Name
    share_percent: Annotated[int, pydantic.Field(ge=1, le=100)]
    accounts: list[Name]
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 1


class ServiceInput(StrictModel):
    """A service without model weights in a bundle file."""

    name: Name
    repeatable: list[str] = []


class BundleInput(StrictModel):
    """The content of a bundle file."""

    version: Annotated[int, pydantic.Field(ge=1, le=2**53)]
    models: Annotated[list[ModelInput], pydantic.Field(min_length=1)]
    groups: Annotated[list[GroupInput], pydantic.Field(min_length=1)]
    services: list[ServiceInput] = []
    note: Annotated[str, pydantic.Field(max_length=2000)] = ""


def parse(text: str, source: str) -> bundles.Bundle:
    """Parse and validate a bundle.

    Raises BundleError, whose message names `source`, the field and the remedy.
    """
    if len(text) > BUNDLE_BYTES_MAX:
        raise errors.BundleError(
            f"{source}: longer than {BUNDLE_BYTES_MAX} bytes; split the bundle"
        )
    try:
        data = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise errors.BundleError(f"{source}: invalid JSON with comments: {error}")
    return from_data(data, source)


def from_data(data: Any, source: str) -> bundles.Bundle:
    """Validate a bundle decoded from JSON; raise BundleError if it is invalid."""
    try:
        checked = BundleInput.model_validate(data)
    except pydantic.ValidationError as error:
        raise errors.BundleError(f"{source}: {first_problem(error)}", field=first_field(error))
    check_names(checked, source)
    check_shares(checked, source)
    return to_bundle(checked)


def first_field(error: pydantic.ValidationError) -> str:
    """Return the dotted path of the first invalid field."""
    path = ".".join(str(part) for part in error.errors()[0]["loc"])
    return path or "(the whole file)"


def first_problem(error: pydantic.ValidationError) -> str:
    """Describe the first problem in one line: field, value and remedy."""
    problem = error.errors()[0]
    value = repr(problem["input"])
    shown = value if len(value) < 80 else value[:77] + "..."
    remedy = problem["msg"][0].lower() + problem["msg"][1:]
    if problem["type"] == "extra_forbidden":
        remedy = "this key is unknown; remove it or correct its spelling"
    if problem["type"] == "missing":
        return f"{first_field(error)}: this key is missing; add it"
    return f"{first_field(error)}: {shown} is refused: {remedy}"


def check_names(bundle: BundleInput, source: str) -> None:
    """Raise BundleError if a name is used twice or a repeatable path is invalid."""
    seen: dict[str, str] = {}
    for position, model in enumerate(bundle.models):
        add_unique_name(seen, model.name, f"models.{position}.name", source)
        for adapter_position, adapter in enumerate(model.adapters):
            add_unique_name(
                seen, adapter.name, f"models.{position}.adapters.{adapter_position}.name", source
            )
    accounts: dict[str, str] = {}
    groups: dict[str, str] = {}
    for position, group in enumerate(bundle.groups):
        add_unique_name(groups, group.name, f"groups.{position}.name", source)
        for account in group.accounts:
            add_unique_name(accounts, account, f"groups.{position}.accounts", source)
    services: dict[str, str] = {}
    for position, service in enumerate(bundle.services):
        add_unique_name(services, service.name, f"services.{position}.name", source)
        for path in service.repeatable:
            if not re.fullmatch(r"/[\w./-]*", path):
                raise errors.BundleError(
                    f"{source}: services.{position}.repeatable: {path!r} is not a valid path; "
                    "start it with / and use letters, digits and _ . / - only",
                    field=f"services.{position}.repeatable",
                )


def add_unique_name(seen: dict[str, str], name: str, field: str, source: str) -> None:
    """Add a name and its field to `seen`; raise BundleError if the name is already there."""
    if name in seen:
        raise errors.BundleError(
            f"{source}: {field}: {name!r} is already used at {seen[name]}; rename one", field=field
        )
    seen[name] = field


def check_shares(bundle: BundleInput, source: str) -> None:
    """Raise BundleError if the shares of models or groups add up to more than 100 percent."""
    for field, shares in (
        ("models", [model.share_percent for model in bundle.models]),
        ("groups", [group.share_percent for group in bundle.groups]),
    ):
        if sum(shares) > 100:
            raise errors.BundleError(
                f"{source}: {field}: share_percent adds up to {sum(shares)}; the maximum is 100",
                field=f"{field}.share_percent",
            )


def to_bundle(checked: BundleInput) -> bundles.Bundle:
    """Convert a validated bundle to the data classes of the coordination layer."""
    models = [
        bundles.Model(
            model.name,
            model.version,
            model.manifest,
            model.share_percent,
            model.replicas_min,
            [bundles.Adapter(a.name, a.version, a.manifest) for a in model.adapters],
        )
        for model in checked.models
    ]
    groups = [
        bundles.Group(group.name, group.share_percent, list(group.accounts), group.priority)
        for group in checked.groups
    ]
    services = [bundles.Service(s.name, list(s.repeatable)) for s in checked.services]
    return bundles.Bundle(checked.version, models, groups, services, checked.note)
