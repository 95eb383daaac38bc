"""Restriction of requests to regions, as given by their routes and client accounts.

An allowed set is a frozenset of region names; None means that there is no restriction.
"""

from collections.abc import Iterable

from merlinthread.coordination import backend_record, fleet


def for_request(route: fleet.Route, account: fleet.Account | None) -> frozenset[str] | None:
    """Return the regions allowed by a route and an account, or None if neither restricts them.

    The result is empty if the two lists have no region in common.
    """
    account_regions = account.allowed_regions if account is not None else frozenset()
    if route.allowed_regions and account_regions:
        return route.allowed_regions & account_regions
    return route.allowed_regions or account_regions or None


def is_allowed(backend: backend_record.Backend, allowed: frozenset[str] | None) -> bool:
    """Return whether a back end may run a request; one of unknown region may not if restricted."""
    return allowed is None or backend.region in allowed


def select(
    backends: Iterable[backend_record.Backend], allowed: frozenset[str] | None
) -> list[backend_record.Backend]:
    """Return the back ends that may run a request."""
    return [backend for backend in backends if is_allowed(backend, allowed)]
