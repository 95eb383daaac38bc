"""The border for bundles: JSON with comments in, validated, plain data out."""

import re
from typing import Annotated, Any

import json5
import pydantic

from merlinthread import errors
from merlinthread.coordination import bundles

NAME = r"^[a-z0-9][a-z0-9._-]{0,62}$"
DIGEST = r"^[0-9a-f]{64}$"
BUNDLE_BYTES_MAX = 1024 * 1024

Name = Annotated[str, pydantic.Field(pattern=NAME)]
Digest = Annotated[str, pydantic.Field(pattern=DIGEST)]
Percent = Annotated[int, pydantic.Field(ge=0, le=100)]


class Border(pydantic.BaseModel):
    """Base of the validated models: unknown keys are refused, types are not guessed."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class AdapterIn(Border):
    """An adapter as written in a bundle file."""

    name: Name
    version: Name
    manifest: Digest


class ModelIn(Border):
    """A model as written in a bundle file."""

    name: Name
    version: Name
    manifest: Digest
    share_percent: Percent
    replicas_min: Annotated[int, pydantic.Field(ge=1, le=10_000)] = 1
    adapters: list[AdapterIn] = []


class GroupIn(Border):
    """A group as written in a bundle file."""

    name: Name
    share_percent: Annotated[int, pydantic.Field(ge=1, le=100)]
    accounts: list[Name]
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 1


class ServiceIn(Border):
    """A plain service as written in a bundle file."""

    name: Name
    repeatable: list[str] = []


class BundleIn(Border):
    """A bundle as written in a file."""

    version: Annotated[int, pydantic.Field(ge=1, le=2**53)]
    models: Annotated[list[ModelIn], pydantic.Field(min_length=1)]
    groups: Annotated[list[GroupIn], pydantic.Field(min_length=1)]
    services: list[ServiceIn] = []
    note: Annotated[str, pydantic.Field(max_length=2000)] = ""


def parse(text: str, source: str) -> bundles.Bundle:
    """Return the bundle in `text`; raise BundleError naming `source`, the field and the remedy."""
    if len(text) > BUNDLE_BYTES_MAX:
        raise errors.BundleError(f"{source}: over {BUNDLE_BYTES_MAX} bytes; split the bundle")
    try:
        data = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise errors.BundleError(f"{source}: is not JSON with comments: {error}")
    return from_data(data, source)


def from_data(data: Any, source: str) -> bundles.Bundle:
    """Return the bundle in decoded JSON; raise BundleError."""
    try:
        checked = BundleIn.model_validate(data)
    except pydantic.ValidationError as error:
        raise errors.BundleError(f"{source}: {first_problem(error)}", field=first_field(error))
    check_names(checked, source)
    check_shares(checked, source)
    return to_bundle(checked)


def first_field(error: pydantic.ValidationError) -> str:
    """Return the path of the first offending field."""
    path = ".".join(str(part) for part in error.errors()[0]["loc"])
    return path or "(the whole file)"


def first_problem(error: pydantic.ValidationError) -> str:
    """Return field, offending value and remedy of the first problem, in one line."""
    problem = error.errors()[0]
    value = repr(problem["input"])
    shown = value if len(value) < 80 else value[:77] + "..."
    remedy = problem["msg"][0].lower() + problem["msg"][1:]
    if problem["type"] == "extra_forbidden":
        remedy = "this key is unknown; take it out or correct its spelling"
    if problem["type"] == "missing":
        return f"{first_field(error)}: this key is missing; add it"
    return f"{first_field(error)}: {shown} is refused: {remedy}"


def check_names(bundle: BundleIn, source: str) -> None:
    """Raise BundleError if a name stands twice."""
    seen: dict[str, str] = {}
    for position, model in enumerate(bundle.models):
        take_name(seen, model.name, f"models.{position}.name", source)
        for place, adapter in enumerate(model.adapters):
            take_name(seen, adapter.name, f"models.{position}.adapters.{place}.name", source)
    accounts: dict[str, str] = {}
    groups: dict[str, str] = {}
    for position, group in enumerate(bundle.groups):
        take_name(groups, group.name, f"groups.{position}.name", source)
        for account in group.accounts:
            take_name(accounts, account, f"groups.{position}.accounts", source)
    services: dict[str, str] = {}
    for position, service in enumerate(bundle.services):
        take_name(services, service.name, f"services.{position}.name", source)
        for path in service.repeatable:
            if not re.fullmatch(r"/[\w./-]*", path):
                raise errors.BundleError(
                    f"{source}: services.{position}.repeatable: {path!r} is no path; begin with /",
                    field=f"services.{position}.repeatable",
                )


def take_name(seen: dict[str, str], name: str, field: str, source: str) -> None:
    """Note a name; raise BundleError if it is taken."""
    if name in seen:
        raise errors.BundleError(
            f"{source}: {field}: {name!r} stands already at {seen[name]}; rename one", field=field
        )
    seen[name] = field


def check_shares(bundle: BundleIn, source: str) -> None:
    """Raise BundleError if shares add up to more than 100 %."""
    for field, shares in (
        ("models", [model.share_percent for model in bundle.models]),
        ("groups", [group.share_percent for group in bundle.groups]),
    ):
        if sum(shares) > 100:
            raise errors.BundleError(
                f"{source}: {field}: share_percent adds up to {sum(shares)}; at most 100 will do",
                field=f"{field}.share_percent",
            )


def to_bundle(checked: BundleIn) -> bundles.Bundle:
    """Return the plain data of a validated bundle."""
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
