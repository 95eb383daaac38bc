"""Bundles: the models, adapters, services and capacity shares that operators put in force."""

import dataclasses

import blake3
import msgspec

GENERATE = "generate"
SERVICE = "service"


@dataclasses.dataclass(slots=True)
class Adapter:
    """An adapter of a model; `manifest` is the digest of its manifest."""

    name: str
    version: str
    manifest: str


@dataclasses.dataclass(slots=True)
class Model:
    """A model version to run.

    `share_percent` is the percentage of each zone's engines that hold it, and `replicas_min` the
    minimum number in a zone that has engines.
    """

    name: str
    version: str
    manifest: str
    share_percent: int
    replicas_min: int = 1
    adapters: list[Adapter] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Group:
    """A group of client accounts and its share of capacity; `priority` 0 is the highest."""

    name: str
    share_percent: int
    accounts: list[str]
    priority: int = 1


@dataclasses.dataclass(slots=True)
class Service:
    """A service without models; requests whose path is in `repeatable` may be retried."""

    name: str
    repeatable: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Bundle:
    """A bundle; operators choose its `version`."""

    version: int
    models: list[Model]
    groups: list[Group]
    services: list[Service] = dataclasses.field(default_factory=list)
    note: str = ""

    def manifests(self) -> list[str]:
        """Return the distinct digests of the manifests of all models and adapters."""
        digests: dict[str, None] = {}
        for model in self.models:
            digests[model.manifest] = None
            for adapter in model.adapters:
                digests[adapter.manifest] = None
        return list(digests)

    def model(self, name: str) -> Model | None:
        """Return the model named `name`, or None."""
        return next((model for model in self.models if model.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the service named `name`, or None."""
        return next((service for service in self.services if service.name == name), None)

    def group_of(self, account: str) -> Group | None:
        """Return the group that `account` belongs to, or None."""
        return next((group for group in self.groups if account in group.accounts), None)


def digest(bundle: Bundle) -> str:
    """Return the digest that operators sign: BLAKE3 of the bundle as JSON with sorted keys."""
    return blake3.blake3(msgspec.json.encode(bundle, order="sorted")).hexdigest()
