"""Lookup of routes, services and accounts in a configuration, and its validation."""

import random

from merlinthread import errors
from merlinthread.coordination import fleet

ROUTES_MAX = 100_000


class RouteTable:
    """An immutable index of one version of the configuration."""

    def __init__(self, configuration: fleet.Configuration) -> None:
        self.version = configuration.version
        self.limits = configuration.limits
        self.services = {service.name: service for service in configuration.services}
        self.has_accounts = bool(configuration.accounts)
        self.accounts = {key: account for account in configuration.accounts for key in account.keys}
        self.hosts: dict[str, list[fleet.Route]] = {}
        for route in configuration.routes:
            self.hosts.setdefault(route.host, []).append(route)
        for routes in self.hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find(self, host: str, path: str) -> fleet.Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: str) -> fleet.Account | None:
        """Return the account that holds `key`, or None."""
        return self.accounts.get(key)

    def service_of_model(self, model: str) -> fleet.Service | None:
        """Return the service whose engines run `model`, or None."""
        for service in self.services.values():
            if service.engine is not None and model in service.engine.models:
                return service
        return None

    def origin(self) -> fleet.Service | None:
        """Return the service that is the origin of weights, or None."""
        return next((service for service in self.services.values() if service.origin), None)


def choose_service(route: fleet.Route, rng: random.Random) -> str:
    """Return one of the route's services at random, by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices([share.service for share in route.shares], weights)[0]


def validate(configuration: fleet.Configuration) -> None:
    """Raise ConfigurationError if the configuration is invalid."""
    if configuration.version < 1:
        raise invalid_field("version", f"must be 1 or more, not {configuration.version}")
    if len(configuration.routes) > ROUTES_MAX:
        raise invalid_field("routes", f"more than {ROUTES_MAX}; send fewer")
    validate_routes(configuration)
    validate_accounts(configuration)
    validate_services(configuration)


def validate_routes(configuration: fleet.Configuration) -> None:
    """Raise ConfigurationError for an invalid route."""
    services = {service.name for service in configuration.services}
    prefixes: set[tuple[str, str]] = set()
    for route in configuration.routes:
        field = f"routes[{route.name}]"
        if route.timeout_s <= 0:
            raise invalid_field(field, "the timeout must be above 0; set one")
        if any(share.weight < 0 for share in route.shares):
            raise invalid_field(field, "weights must not be below 0")
        if not route.shares or sum(share.weight for share in route.shares) <= 0:
            raise invalid_field(field, "the weights add up to 0; give one service a weight")
        for share in route.shares:
            if share.service not in services:
                raise invalid_field(
                    field, f"refers to the unknown service {share.service!r}; add it"
                )
        if (route.host, route.prefix) in prefixes:
            raise invalid_field(
                field, f"has the same host and prefix, {route.host}{route.prefix}, as another route"
            )
        prefixes.add((route.host, route.prefix))


def validate_accounts(configuration: fleet.Configuration) -> None:
    """Raise ConfigurationError if two accounts share a key."""
    owners: dict[str, str] = {}
    for account in configuration.accounts:
        for key in account.keys:
            if owners.setdefault(key, account.name) != account.name:
                raise invalid_field(
                    f"accounts[{account.name}]",
                    f"shares a key with {owners[key]!r}; give each its own",
                )


def validate_services(configuration: fleet.Configuration) -> None:
    """Raise ConfigurationError if the values for cold back ends of a service are below 0."""
    for service in configuration.services:
        for name in ("cold_per_s", "cold_start_s"):
            value = getattr(service, name)
            if value < 0:
                raise invalid_field(
                    f"services[{service.name}].{name}", f"must be 0 or more, not {value:g}"
                )


def invalid_field(field: str, message: str) -> errors.ConfigurationError:
    """Return the error for an invalid field of the configuration."""
    return errors.ConfigurationError(f"{field}: {message}", field=field)
