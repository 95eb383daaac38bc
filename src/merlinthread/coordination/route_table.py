"""The configuration as entries use it: which route, service and account a call belongs to."""

import random

from merlinthread import errors
from merlinthread.coordination import fleet

ROUTES_MAX = 100_000


class RouteTable:
    """One version of the configuration, indexed; never changed after it was made."""

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
        """Return the route of `host` whose prefix begins `path` and is longest, or None."""
        for route in self.hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: str) -> fleet.Account | None:
        """Return the account that holds `key`, or None."""
        return self.accounts.get(key)

    def engine_of(self, model: str) -> fleet.Service | None:
        """Return the service whose engines run `model`, or None."""
        for service in self.services.values():
            if service.engine is not None and model in service.engine.models:
                return service
        return None

    def origin(self) -> fleet.Service | None:
        """Return the origin of weights, or None."""
        return next((service for service in self.services.values() if service.origin), None)


def choose_service(route: fleet.Route, rng: random.Random) -> str:
    """Return one of the route's services, by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices([share.service for share in route.shares], weights)[0]


def validate(configuration: fleet.Configuration) -> None:
    """Raise ConfigurationError if the configuration contradicts itself."""
    if configuration.version < 1:
        raise invalid("version", f"{configuration.version} is not 1 or more")
    if len(configuration.routes) > ROUTES_MAX:
        raise invalid("routes", f"more than {ROUTES_MAX}; send fewer")
    check_routes(configuration)
    check_accounts(configuration)


def check_routes(configuration: fleet.Configuration) -> None:
    """Raise ConfigurationError for a route that can't be in force."""
    services = {service.name for service in configuration.services}
    places: set[tuple[str, str]] = set()
    for route in configuration.routes:
        field = f"routes[{route.name}]"
        if route.timeout_s <= 0:
            raise invalid(field, "its timeout is not above 0; set one")
        if any(share.weight < 0 for share in route.shares):
            raise invalid(field, "a weight is below 0")
        if not route.shares or sum(share.weight for share in route.shares) <= 0:
            raise invalid(field, "its weights add up to 0; give one service a weight")
        for share in route.shares:
            if share.service not in services:
                raise invalid(field, f"names the unknown service {share.service!r}; add it")
        if (route.host, route.prefix) in places:
            raise invalid(field, f"shares {route.host}{route.prefix} with another route")
        places.add((route.host, route.prefix))


def check_accounts(configuration: fleet.Configuration) -> None:
    """Raise ConfigurationError if two accounts share a key."""
    holders: dict[str, str] = {}
    for account in configuration.accounts:
        for key in account.keys:
            if holders.setdefault(key, account.name) != account.name:
                raise invalid(
                    f"accounts[{account.name}]",
                    f"shares a key with {holders[key]!r}; give each its own",
                )


def invalid(field: str, message: str) -> errors.ConfigurationError:
    """Return the error for a configuration that can't be in force."""
    return errors.ConfigurationError(f"{field}: {message}", field=field)
