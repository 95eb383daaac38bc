"""Where a call belongs by the configuration held, and whether its caller may make it."""

from merlinthread import errors, logs
from merlinthread.coordination import fleet, route_table

# When to come back to a node that may not know the newest configuration: it finds another control
# VM within 1.1 s (`fleet_watcher.WATCH_TIMEOUT_S`); a group without a leader elects one in 1.5 s.
UNSURE_WAIT_S = 1.0


def find_route(
    table: route_table.RouteTable | None,
    call: fleet.RequestHead,
    is_newest: bool,
    restart_wait_s: float,
) -> tuple[fleet.Route, fleet.Account | None]:
    """Return a call's route and account; raise RequestError with the kind of refusal.

    `restart_wait_s` is when to come back to a node that knows no configuration yet. Unless `table`
    surely is the newest one, a newer one may allow what it does not: the call is refused as not
    run, for now.
    """
    if table is None:
        raise errors.RequestError(
            "no configuration is known here yet",
            kind=errors.ErrorKind.NO_TARGET,
            retry_after_s=restart_wait_s,
        )
    path = call.path.decode("latin-1").split("?")[0]
    route = table.find(call.host, path)
    if route is None:
        raise not_allowed(
            f"no route for {call.host}{path}", errors.ErrorKind.UNKNOWN_ROUTE, is_newest
        )
    account = table.account_of(call.key) if call.key else None
    if table.has_accounts and not route.is_public and account is None:
        logs.debug("key_unknown", request=call.request_id)
        raise not_allowed("the key is unknown", errors.ErrorKind.UNAUTHORISED, is_newest)
    return route, account


def not_allowed(message: str, kind: errors.ErrorKind, is_newest: bool) -> errors.RequestError:
    """Return the refusal of what the configuration held does not allow."""
    if is_newest:
        return errors.RequestError(message, kind=kind)
    return errors.RequestError(
        f"{message} in a configuration that may not be the newest",
        kind=errors.ErrorKind.NO_MAJORITY,
        retry_after_s=UNSURE_WAIT_S,
    )
