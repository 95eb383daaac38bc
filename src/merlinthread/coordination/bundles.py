"""What a bundle says: models, adapters, services and the shares of groups. Plain data."""

import dataclasses

import blake3
import msgspec

GENERATE = "generate"
SERVICE = "service"


@dataclasses.dataclass(slots=True)
class Adapter:
    """A small addition to a model; `manifest` is the digest of its manifest."""

    name: str
    version: str
    manifest: str


@dataclasses.dataclass(slots=True)
class Model:
    """A model version to run.

    `share_percent` is the part of each zone's engines that holds it; `replicas_min` the
    fewest in a zone that has engines at all.
    """

    name: str
    version: str
    manifest: str
    share_percent: int
    replicas_min: int = 1
    adapters: list[Adapter] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Group:
    """A group of client accounts with its share of capacity; `priority` 0 goes first."""

    name: str
    share_percent: int
    accounts: list[str]
    priority: int = 1


@dataclasses.dataclass(slots=True)
class Service:
    """A plain service; calls whose path is in `repeatable` may be run more than once."""

    name: str
    repeatable: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Bundle:
    """A whole bundle; `version` is the operators' number for it."""

    version: int
    models: list[Model]
    groups: list[Group]
    services: list[Service] = dataclasses.field(default_factory=list)
    note: str = ""

    def manifests(self) -> list[str]:
        """Return the digests of all manifests that the bundle names, each once."""
        found: dict[str, None] = {}
        for model in self.models:
            found[model.manifest] = None
            for adapter in model.adapters:
                found[adapter.manifest] = None
        return list(found)

    def model(self, name: str) -> Model | None:
        """Return the model called `name`."""
        return next((model for model in self.models if model.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the service called `name`."""
        return next((service for service in self.services if service.name == name), None)

    def group_of(self, account: str) -> Group | None:
        """Return the group that `account` belongs to."""
        return next((group for group in self.groups if account in group.accounts), None)


def digest(bundle: Bundle) -> str:
    """Return the content digest that operators sign: BLAKE3 of the bundle in a fixed order."""
    return blake3.blake3(msgspec.json.encode(bundle, order="sorted")).hexdigest()
