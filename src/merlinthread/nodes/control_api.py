"""The HTTP API of a control VM, for operators and back ends."""

import zlib
from collections.abc import Awaitable, Callable

import msgspec

from merlinthread import errors, logs
from merlinthread.coordination import fleet, fleet_state, instances
from merlinthread.nodes import dialect as dialects
from merlinthread.nodes import log_member
from merlinthread.protocol import error_responses, node_messages, operator_calls
from merlinthread.transport import http_messages, node_bus, stream_server

# The timeout of a request to another control VM.
FORWARD_TIMEOUT_S = 0.9
ZLIB_LEVEL = 6
# Longest part of an unknown zone's name that is repeated in the error.
ZONE_SHOWN_MAX = 64

Submit = Callable[[fleet_state.Command], Awaitable[bool]]


class ControlApi:
    """Handles the HTTP requests of operators and back ends.

    `submit` commits a command. `record_heartbeat` records a heartbeat and forwards it to the other
    control VMs.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        member: log_member.LogMember,
        registry: instances.InstanceRegistry,
        rpc_client: node_bus.RpcClient,
        submit: Submit,
        record_heartbeat: Callable[[fleet.Heartbeat], None],
    ) -> None:
        self.dialect = dialect
        self.member = member
        self.registry = registry
        self.rpc_client = rpc_client
        self.submit = submit
        self.record_heartbeat = record_heartbeat

    async def serve(self, exchange: stream_server.Exchange) -> None:
        """Handle one HTTP exchange; errors become error responses."""
        request = exchange.request
        try:
            call = self.dialect.parse_control_call(request)
            response = await self.dispatch(call)
        except TimeoutError:
            response = error_response(not_committed_in_time())
        except errors.MerlinthreadError as error:
            response = error_response(error)
        if response.status >= 300:
            logs.event(
                "control_refused",
                method=request.method.decode("ascii", "replace"),
                path=request.target.decode("ascii", "replace"),
                status=response.status,
                body=response.body.decode("utf-8", "replace"),
            )
        await exchange.respond(response)

    async def dispatch(self, call: dialects.ControlCall) -> http_messages.Response:
        """Dispatch a call to its handler; return the response."""
        if isinstance(call, dialects.ReceiveHeartbeat):
            return await self.receive_heartbeat(call.heartbeat)
        if isinstance(call, dialects.RemoveInstance):
            await self.commit_departure(self.registry.latest(call.instance), fleet.GONE)
            return ok_response()
        if isinstance(call, dialects.PutConfiguration):
            return await self.put_configuration(call)
        if isinstance(call, dialects.NameVersion):
            if call.version > self.member.state.named.get(call.model, 0):
                await self.submit(fleet_state.NameVersion(call.model, call.version))
            return ok_response()
        if isinstance(call, dialects.EvacuateZone):
            return await self.change_evacuation(fleet_state.EvacuateZone(call.zone))
        if isinstance(call, dialects.WithdrawEvacuation):
            return await self.change_evacuation(fleet_state.WithdrawEvacuation(call.zone))
        if isinstance(call, dialects.GetEvacuations):
            return await self.get_evacuations()
        return await self.get_configuration()

    async def receive_heartbeat(self, heartbeat: fleet.Heartbeat) -> http_messages.Response:
        """Record a heartbeat; the draining state is committed before it is acknowledged."""
        self.record_heartbeat(heartbeat)
        if heartbeat.state == fleet.DRAINING:
            await self.commit_departure(heartbeat.instance, fleet.DRAINING)
        return ok_response()

    async def commit_departure(self, instance: str, state: str) -> None:
        """Commit that an instance is draining or gone, unless that is already committed."""
        known = self.member.state.departed.get(instance)
        if known == state or known == fleet.GONE:
            return
        await self.submit(fleet_state.Depart(instance, state))

    async def put_configuration(self, call: dialects.PutConfiguration) -> http_messages.Response:
        """Commit a configuration; one that is not newer is acknowledged and ignored."""
        version = call.configuration.version
        if version > self.member.state.version:
            body = zlib.compress(call.body, ZLIB_LEVEL)
            await self.submit(fleet_state.Configure(version, body))
        return ok_response()

    async def get_configuration(self) -> http_messages.Response:
        """Return the newest committed configuration.

        Raises ControlError if there is none yet.
        """
        reply = await self.read_configuration()
        if not reply.version:
            raise errors.ControlError("no configuration has been stored yet", retry_after_s=0.5)
        body = zlib.decompress(reply.body)
        return http_messages.Response(200, [(b"content-type", b"application/json")], body)

    async def change_evacuation(
        self, command: fleet_state.EvacuateZone | fleet_state.WithdrawEvacuation
    ) -> http_messages.Response:
        """Commit that a zone is evacuated, or no longer; raise RequestError for an unknown zone.

        Nothing is written if the leader confirms that it is so already: a repeated call needs no
        further entry, and a rollback to a build without evacuations stays possible after the
        withdrawal of an evacuation that never was. This VM's own state is not enough, since it may
        lack a later call of another operator. Zones that are evacuated remain known if a change of
        the settings removes them, so that they can be withdrawn.
        """
        zone, known = command.zone, self.member.settings.zones()
        if zone not in known and zone not in self.member.state.evacuated:
            shown = zone if len(zone) <= ZONE_SHOWN_MAX else f"{zone[:ZONE_SHOWN_MAX]}..."
            raise errors.RequestError(
                f"zone: {shown!r} is not a zone of this deployment; known: {', '.join(known)}",
                field="zone",
            )
        zones = await self.read_evacuated()
        is_evacuation = isinstance(command, fleet_state.EvacuateZone)
        if zones is None or (zone in zones) != is_evacuation:
            await self.submit(command)
        return ok_response()

    async def read_evacuated(self) -> list[str] | None:
        """Return the evacuated zones, or None if they are not known or may be about to change.

        An entry in the leader's log that is not committed yet may still be: a call that is
        acknowledged now without an entry of its own would be undone by it.
        """
        try:
            reply = await self.read_configuration(self.member.state.version)
            return reply.evacuated if reply.is_settled else None
        except errors.MerlinthreadError as error:
            # A leader that has no lease at the moment may still commit.
            if error.kind is not errors.ErrorKind.NOT_LEADER:
                raise
            return None

    async def get_evacuations(self) -> http_messages.Response:
        """Return the evacuated zones; raise ControlError unless the leader confirms them."""
        reply = await self.read_configuration(self.member.state.version)
        if reply.evacuated is None:
            raise errors.ControlError(
                "the leader runs a build without evacuations; ask again after the upgrade"
            )
        body = msgspec.json.encode(operator_calls.EvacuatedZones(reply.evacuated))
        return http_messages.Response(200, [(b"content-type", b"application/json")], body)

    async def read_configuration(self, known: int = 0) -> node_messages.ConfigurationReply:
        """Read the newest configuration and the evacuated zones from the leader.

        The body is omitted if the newest version is `known`.
        Raises NotLeaderError if the leader is unknown, and the errors of `RpcClient.call`.
        """
        if self.member.raft.is_leader():
            return self.read_local_configuration(known)
        leader = self.member.leader_address()
        if not leader or leader == self.member.address:
            raise errors.NotLeaderError("no leader is known", "")
        return await self.rpc_client.call(
            leader, node_messages.ConfigurationRequest(known), FORWARD_TIMEOUT_S
        )

    def read_local_configuration(self, known: int = 0) -> node_messages.ConfigurationReply:
        """Return this member's configuration; raise NotLeaderError unless it holds the lease."""
        if not self.member.holds_lease():
            raise errors.NotLeaderError("this member does not hold the leader's lease", "")
        state = self.member.state
        body = b"" if state.version == known else state.body
        is_settled = not self.member.has_unapplied(
            fleet_state.EvacuateZone, fleet_state.WithdrawEvacuation
        )
        return node_messages.ConfigurationReply(
            state.version, body, list(state.evacuated), is_settled
        )


def ok_response() -> http_messages.Response:
    """Return a response with status 200 and an empty JSON object."""
    return http_messages.Response(200, [(b"content-type", b"application/json")], b"{}")


def not_committed_in_time() -> errors.ControlError:
    """Return the error for a command that may or may not be committed later."""
    return errors.ControlError(
        "no majority replied in time; send the request again",
        # NO_MAJORITY would promise that it has no effect.
        kind=errors.ErrorKind.UNREACHABLE,
    )


def error_response(error: errors.MerlinthreadError) -> http_messages.Response:
    """Return the JSON response for `error`, with a Retry-After header if it has a delay."""
    body = error_responses.error_body(error)
    headers = [(b"content-type", b"application/json")]
    if body.retry_after_s is not None:
        headers.append((b"retry-after", b"%g" % body.retry_after_s))
    return http_messages.Response(
        error_responses.RESPONSES[error.kind].status, headers, msgspec.json.encode(body)
    )
