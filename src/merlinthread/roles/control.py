"""The `control` role: a member of the replicated log of bundles, rolls and claims."""

from concurrent import futures
from typing import Any

from merlinthread import errors
from merlinthread import settings as settings_
from merlinthread.coordination import commands
from merlinthread.protocol import messages
from merlinthread.roles import base, log_task, operators_api
from merlinthread.transport import bus

JOIN_INTERVAL_S = 0.5


@base.ROLES.add("control")
class ControlRole(base.Role):
    """A control VM: the log task, the servers for members and entries, and the operators' API."""

    def __init__(self, context: base.RoleContext) -> None:
        super().__init__(context)
        config = context.settings.control
        assert config is not None
        self.config = config
        self.task = log_task.LogTask(context, config)
        own_peer = next(
            (peer for peer in config.members if peer.name == context.settings.name), None
        )
        if own_peer is None:
            raise errors.SettingsError(
                f"control.members: {context.settings.name!r}, this VM's name, is missing; add it",
                field="control.members",
            )
        self.receiver = bus.Receiver(own_peer.log_bus, context.codec, self.task.inbox.put)
        self.rpc_server = bus.RpcServer(own_peer.bus, context.codec, self.handle_message, workers=8)
        self.join_task = base.PeriodicTask("join", JOIN_INTERVAL_S, self.send_join_request)
        self.own_peer = own_peer
        operators_api.add_routes(context.http.routes, self)

    def start(self) -> None:
        """Start the log task and the servers."""
        self.task.thread.start()
        self.receiver.start()
        self.rpc_server.start()
        if self.config.replaces:
            self.join_task.start()

    def send_join_request(self) -> None:
        """Ask all members to add this one, until it has replaced the lost member."""
        membership = self.task.raft.log.membership
        if self.own_peer.name in membership.voters and self.config.replaces in membership.retired:
            return
        join = messages.JoinRequest(
            self.own_peer.name,
            self.task.journal.identity,
            self.own_peer.log_bus,
            self.own_peer.bus,
            self.config.replaces,
        )
        for sender in list(self.task.senders.values()):
            sender.send(join)

    def handle_message(self, message: Any) -> Any:
        """Return the reply to a request of an entry."""
        if isinstance(message, messages.PollRequest):
            return self.handle_poll(message)
        if isinstance(message, messages.AgentChanges):
            return self.call_log_task(log_task.ReportUpdate(message, futures.Future()))
        if isinstance(message, messages.CommandRequest):
            name, raw = self.context.codec.envelope_decoder.decode(message.command)
            command = self.context.codec.decoders[name].decode(raw)
            return messages.CommandReply(self.submit(command))
        raise errors.ProtocolError(f"control VMs don't handle {type(message).__name__} messages")

    def handle_poll(self, poll: messages.PollRequest) -> messages.PollReply:
        """Return the leader, and the directive if it is newer than the entry's."""
        published = self.task.published
        directive = published.directive
        return messages.PollReply(
            self.context.settings.name,
            published.leader,
            min(1e9, max(0.0, self.context.clock() - published.leader_seen_at)),
            directive.revision,
            published.controls,
            directive if directive.revision > poll.revision else None,
        )

    def submit(self, command: commands.Command) -> commands.Answer:
        """Commit a command and return its result.

        Raises NotLeaderError if this member is not the leader, and ControlError (outcome_unknown)
        if the command was not committed within `commit_timeout_s`.
        """
        return self.call_log_task(log_task.Proposal(command, futures.Future()))

    def read(self, query: Any) -> Any:
        """Return `query(log_task)`, called in the thread of the log task.

        Raises NotLeaderError unless this member holds the leader's lease.
        """
        return self.call_log_task(log_task.ReadRequest(query, futures.Future()))

    def call_log_task(
        self, item: log_task.Proposal | log_task.ReadRequest | log_task.ReportUpdate
    ) -> Any:
        """Pass `item` to the log task and return its result.

        Raises ControlError (outcome_unknown) after `commit_timeout_s`.
        """
        self.task.inbox.put(item)
        try:
            return item.future.result(self.config.commit_timeout_s)
        except futures.TimeoutError:
            raise errors.ControlError(
                f"not confirmed by a majority within {self.config.commit_timeout_s} s; send it "
                "again with the same request id to learn the outcome",
                kind=errors.ErrorKind.OUTCOME_UNKNOWN,
            )

    def failure_reason(self) -> str:
        """Return why the log task failed, or an empty string."""
        return self.task.failure

    def not_ready_reason(self) -> str:
        """Return why no commands can be committed, or an empty string."""
        age = self.context.clock() - self.task.published.leader_seen_at
        if not self.task.published.leader or age > 5:
            return "no leader: a majority of control VMs is unreachable"
        return ""

    def reload(self, changed: settings_.Settings) -> None:
        """Apply changed operators, signature requirements and members."""
        if changed.control is None:
            return
        self.config.operators = changed.control.operators
        self.config.signatures_required = changed.control.signatures_required
        self.config.members = changed.control.members
        for peer in changed.control.members:
            if peer.name not in self.task.senders and peer.name != self.context.settings.name:
                self.task.senders[peer.name] = bus.Sender(peer.log_bus, self.context.codec)

    def stop(self) -> None:
        """Stop the servers, then the log task."""
        self.join_task.stop()
        self.rpc_server.stop()
        self.receiver.stop()
        self.task.stop()
