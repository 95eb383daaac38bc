"""Lookup of a request's route and account in the known configuration."""

from merlinthread import errors, logs
from merlinthread.coordination import fleet, route_table

# Retry delay sent while the configuration may be outdated: about the time in which a node finds
# another control VM (`fleet_watcher.WATCH_TIMEOUT_S`).
OUTDATED_RETRY_AFTER_S = 1.0


def find_route(
    table: route_table.RouteTable | None,
    call: fleet.RequestHead,
    is_current: bool,
    startup_wait_s: float,
) -> tuple[fleet.Route, fleet.Account | None]:
    """Return a request's route and account; raise RequestError if it is refused.

    `startup_wait_s` is the retry delay sent while no configuration is known. Unless `is_current`, a
    newer configuration may allow the request, so the error is a temporary one, which says that the
    request has not run.
    """
    if table is None:
        raise errors.RequestError(
            "no configuration has been received yet",
            kind=errors.ErrorKind.NO_TARGET,
            retry_after_s=startup_wait_s,
        )
    path = call.path.decode("latin-1").split("?")[0]
    route = table.find(call.host, path)
    if route is None:
        raise refusal(f"no route for {call.host}{path}", errors.ErrorKind.UNKNOWN_ROUTE, is_current)
    account = table.account_of(call.api_key) if call.api_key else None
    if table.has_accounts and not route.is_public and account is None:
        logs.debug("key_unknown", request=call.request_id)
        raise refusal("the key is unknown", errors.ErrorKind.UNAUTHORISED, is_current)
    return route, account


def refusal(message: str, kind: errors.ErrorKind, is_current: bool) -> errors.RequestError:
    """Return the error for a request that the known configuration does not allow."""
    if is_current:
        return errors.RequestError(message, kind=kind)
    return errors.RequestError(
        f"{message} in a configuration that may not be the newest",
        kind=errors.ErrorKind.NO_MAJORITY,
        retry_after_s=OUTDATED_RETRY_AFTER_S,
    )
