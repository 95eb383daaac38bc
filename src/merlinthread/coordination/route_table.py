"""Lookup of routes, services and accounts in a configuration, and its validation."""

import math
import random
from collections.abc import Container

from merlinthread import errors
from merlinthread.coordination import fleet

ROUTES_MAX = 100_000
# The least urgent urgency that engines know.
URGENCY_MAX = 9


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
        self.objectives = find_objectives(configuration)
        self.priorities = find_priorities(configuration)

    def find(self, host: str, path: str) -> fleet.Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: str) -> fleet.Account | None:
        """Return the account that holds `key`, or None."""
        return self.accounts.get(key)

    def has_several_urgencies(self, service: str) -> bool:
        """Return whether requests of a service may differ in urgency."""
        return len(self.priorities.get(service, [])) > 1

    def urgencies_of(self, service: str) -> list[int]:
        """Return the urgencies that requests of a service may have, the most urgent first."""
        count = len(self.priorities.get(service, []))
        return sorted({urgency_of_rank(rank, count) for rank in range(count)})

    def urgency_of(self, service: str, route: fleet.Route, account: fleet.Account | None) -> int:
        """Return the urgency of a request, 0 to URGENCY_MAX, 0 first.

        The priority of the account decides; routes order the requests of accounts that are alike.
        """
        priorities = self.priorities.get(service, [])
        if len(priorities) < 2:
            return max(0, min(URGENCY_MAX, combined_priority(route, account)[0]))
        rank = priorities.index(combined_priority(route, account))
        return urgency_of_rank(rank, len(priorities))

    def strictest_objective_s(self, service: str, urgency: int) -> float:
        """Return the shortest objective of a service's streaming routes of at least `urgency`.

        Infinity if there is none.
        """
        objectives = self.objectives.get(service, {})
        return min(
            (objectives[other] for other in objectives if other <= urgency), default=math.inf
        )

    def service_of_model(self, model: str) -> fleet.Service | None:
        """Return the service whose engines run `model`, or None."""
        for service in self.services.values():
            if service.engine is not None and model in service.engine.models:
                return service
        return None

    def origin(self) -> fleet.Service | None:
        """Return the service that is the origin of weights, or None."""
        return next((service for service in self.services.values() if service.origin), None)


def find_objectives(configuration: fleet.Configuration) -> dict[str, dict[int, float]]:
    """Return the shortest objective of the streaming routes by service and priority, in seconds."""
    found: dict[str, dict[int, float]] = {}
    for route in configuration.routes:
        if route.kind != fleet.STREAMING:
            continue
        for share in route.shares:
            objectives = found.setdefault(share.service, {})
            shortest_s = objectives.get(route.priority, math.inf)
            objectives[route.priority] = min(shortest_s, route.objective_s)
    return found


def combined_priority(route: fleet.Route, account: fleet.Account | None) -> tuple[int, int]:
    """Return the priorities of the account and the route, in the order in which they count."""
    if account is None or account.priority is None:
        return route.priority, route.priority
    return account.priority, route.priority


def find_priorities(configuration: fleet.Configuration) -> dict[str, list[tuple[int, int]]]:
    """Return the combined priorities of the requests of each service, the most urgent first."""
    # Accounts with the same priority are alike.
    alike = {account.priority: account for account in configuration.accounts}
    found: dict[str, set[tuple[int, int]]] = {}
    for route in configuration.routes:
        accounts: list[fleet.Account | None] = list(alike.values())
        if route.is_public or not accounts:
            accounts.append(None)
        for share in route.shares:
            priorities = found.setdefault(share.service, set())
            priorities.update(combined_priority(route, account) for account in accounts)
    return {service: sorted(priorities) for service, priorities in found.items()}


def urgency_of_rank(rank: int, count: int) -> int:
    """Return the urgency of the `rank`th of `count` combined priorities.

    Engines know URGENCY_MAX + 1 urgencies; neighbouring priorities share one if there are more.
    """
    return rank if count <= URGENCY_MAX + 1 else rank * (URGENCY_MAX + 1) // count


def choose_service(
    route: fleet.Route, rng: random.Random, usable: Container[str] | None = None
) -> str:
    """Return one of the route's services at random, by weight.

    If `usable` is given, choose only among the services in it, unless none of those has a weight.
    """
    shares = route.shares
    if usable is not None:
        usable_shares = [share for share in shares if share.weight > 0 and share.service in usable]
        shares = usable_shares or shares
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return rng.choices([share.service for share in shares], weights)[0]


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
