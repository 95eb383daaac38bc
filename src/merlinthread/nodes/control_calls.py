"""The calls of operators and back ends at a control VM, over HTTP."""

import zlib
from collections.abc import Awaitable, Callable

import msgspec

from merlinthread import errors, logs
from merlinthread.coordination import fleet, fleet_state, instances
from merlinthread.nodes import dialect as dialects
from merlinthread.nodes import log_member
from merlinthread.protocol import error_responses, node_messages
from merlinthread.transport import http_messages, node_bus, stream_server

# How long a call that is passed on to the leader may take, in seconds.
FORWARD_TIMEOUT_S = 0.9
COMPRESSION = 6

Submit = Callable[[fleet_state.Command], Awaitable[bool]]


class ControlCalls:
    """Answers calls; `submit` commits a command, `take` takes a heartbeat in and passes it on."""

    def __init__(
        self,
        dialect: dialects.Dialect,
        member: log_member.LogMember,
        registry: instances.InstanceRegistry,
        caller: node_bus.RpcClient,
        submit: Submit,
        take: Callable[[fleet.Heartbeat], None],
    ) -> None:
        self.dialect = dialect
        self.member = member
        self.registry = registry
        self.caller = caller
        self.submit = submit
        self.take = take

    async def serve(self, exchange: stream_server.Exchange) -> None:
        """Answer one call over HTTP."""
        request = exchange.request
        try:
            call = self.dialect.control_call(request)
            answer = await self.handle(call)
        except TimeoutError:
            answer = refusal(errors.ControlError("no majority answered in time; send it again"))
        except errors.MerlinthreadError as error:
            answer = refusal(error)
        if answer.status >= 300:
            logs.event(
                "control_refused",
                method=request.method.decode("ascii", "replace"),
                path=request.target.decode("ascii", "replace"),
                status=answer.status,
                body=answer.body.decode("utf-8", "replace"),
            )
        await exchange.respond(answer)

    async def handle(self, call: dialects.ControlCall) -> http_messages.Response:
        """Do what a call asks for; return its answer."""
        if isinstance(call, dialects.ReceiveHeartbeat):
            return await self.on_heartbeat(call.heartbeat)
        if isinstance(call, dialects.Leave):
            await self.depart_for_good(self.registry.latest(call.instance), fleet.GONE)
            return ok()
        if isinstance(call, dialects.PutConfiguration):
            return await self.on_put(call)
        if isinstance(call, dialects.NameVersion):
            if call.version > self.member.state.named.get(call.model, 0):
                await self.submit(fleet_state.NameVersion(call.model, call.version))
            return ok()
        return await self.on_get()

    async def on_heartbeat(self, heartbeat: fleet.Heartbeat) -> http_messages.Response:
        """Take a heartbeat; that it drains is acknowledged once a majority holds it."""
        self.take(heartbeat)
        if heartbeat.state == fleet.DRAINING:
            await self.depart_for_good(heartbeat.instance, fleet.DRAINING)
        return ok()

    async def depart_for_good(self, instance: str, state: str) -> None:
        """Commit that an instance leaves, unless that is known to be committed."""
        known = self.member.state.departed.get(instance)
        if known == state or known == fleet.GONE:
            return
        await self.submit(fleet_state.Depart(instance, state))

    async def on_put(self, call: dialects.PutConfiguration) -> http_messages.Response:
        """Commit a configuration, or acknowledge one that was overtaken."""
        version = call.configuration.version
        if version > self.member.state.version:
            body = zlib.compress(call.body, COMPRESSION)
            await self.submit(fleet_state.Configure(version, body))
        return ok()

    async def on_get(self) -> http_messages.Response:
        """Answer with the newest configuration, if that is sure."""
        reply = await self.read()
        if not reply.version:
            raise errors.ControlError("no configuration was put yet", retry_after_s=0.5)
        body = zlib.decompress(reply.body)
        return http_messages.Response(200, [(b"content-type", b"application/json")], body)

    async def read(self) -> node_messages.ConfigurationReply:
        """Return the newest configuration, from the leader."""
        if self.member.raft.is_leader():
            return self.read_here()
        leader = self.member.leader_address()
        if not leader or leader == self.member.address:
            raise errors.NotLeaderError("no leader is known", "")
        return await self.caller.call(
            leader, node_messages.ConfigurationRequest(), FORWARD_TIMEOUT_S
        )

    def read_here(self) -> node_messages.ConfigurationReply:
        """Return the newest configuration if this member surely leads."""
        if not self.member.holds_lease():
            raise errors.NotLeaderError("this member does not surely lead", "")
        return node_messages.ConfigurationReply(self.member.state.version, self.member.state.body)


def ok() -> http_messages.Response:
    """Return an acknowledgement."""
    return http_messages.Response(200, [(b"content-type", b"application/json")], b"{}")


def refusal(error: errors.MerlinthreadError) -> http_messages.Response:
    """Return the answer that tells `error`."""
    body = error_responses.error_body(error)
    headers = [(b"content-type", b"application/json")]
    if body.retry_after_s is not None:
        headers.append((b"retry-after", b"%g" % body.retry_after_s))
    return http_messages.Response(
        error_responses.RESPONSES[error.kind].status, headers, msgspec.json.encode(body)
    )
