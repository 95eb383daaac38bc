"""Tasks of the leading control VM: membership changes and placement."""

import typing
from concurrent import futures

from merlinthread import errors, logs
from merlinthread.coordination import agents, commands, placement, raft_members, raft_messages
from merlinthread.protocol import messages

if typing.TYPE_CHECKING:
    from merlinthread.roles import log_task

JOIN_REQUEST_EXPIRY_S = 3.0
# Time for entries to report their agents to a new leader.
PLACEMENT_DELAY_S = 5.0
# Time without messages after which a member that is being replaced is removed. Longer than an
# election timeout, but short: four voters of which one is lost tolerate no further failure.
LOST_MEMBER_SILENCE_S = 2.0


class LeaderDuties:
    """The leader's tasks; called by the log task while it holds the lease."""

    def __init__(self, task: "log_task.LogTask") -> None:
        self.task = task
        self.join_requests: dict[str, tuple[messages.JoinRequest, float]] = {}
        self.placement_allowed_at = float("-inf")

    def delay_placement(self, now: float) -> None:
        """Delay placement until entries have reported their agents."""
        self.placement_allowed_at = now + PLACEMENT_DELAY_S

    def update_membership(self, now: float) -> None:
        """Propose at most one membership change: new identities, or the next step of a repair."""
        membership = self.task.raft.log.membership
        unknown = {
            name: identity
            for name, identity in self.task.raft.reported_identities().items()
            if name in membership.members() and name not in membership.identities
        }
        if unknown:
            self.change_membership(raft_members.MembershipChange(identities=unknown), now)
            return
        status = self.task.raft.replication_status(now)
        for name, (join, received_at) in list(self.join_requests.items()):
            if now - received_at > JOIN_REQUEST_EXPIRY_S:
                del self.join_requests[name]
                continue
            address = raft_messages.Address(join.log_bus, join.bus)
            joiner = raft_members.JoiningMember(name, join.identity, address, join.replaces)
            lost = self.task.raft.progress.get(join.replaces)
            is_silent = lost is None or now - lost.heard_at > LOST_MEMBER_SILENCE_S
            change = raft_members.next_change(membership, joiner, status, is_silent)
            if change is not None:
                self.change_membership(change, now)
                return

    def change_membership(self, change: raft_members.MembershipChange, now: float) -> None:
        """Propose a membership change; log the reason if it is not allowed at present."""
        try:
            index = self.task.raft.change_membership(change, now)
        except errors.ControlError as error:
            logs.debug("members_unchanged", reason=error.message)
            return
        logs.event(
            "members_change",
            index=index,
            add=change.add,
            promote=change.promote,
            remove=change.remove,
            identities=sorted(change.identities),
        )

    def update_placement(self, now: float) -> None:
        """Propose placement changes; if there are none, pause the roll if an agent has trouble."""
        bundle = self.task.state.active_bundle()
        if bundle is None or self.task.raft.log.last_index() > self.task.applied_index:
            return
        if now < self.placement_allowed_at and self.task.state.placement:
            return
        live = self.task.report_receiver.live(now)
        plan = placement.plan(bundle, live, self.task.state.placement)
        if plan.changes:
            logs.event(
                "placement_decided",
                generation=self.task.state.generation,
                reason=plan.reason,
                candidates=len(live),
                changes={name: placed.models for name, placed in plan.changes.items()},
            )
            command = commands.Place(self.task.state.generation, plan.changes, plan.reason)
            self.task.propose(command, futures.Future(), now)
            return
        self.pause_on_trouble(live, now)

    def pause_on_trouble(self, live: list[agents.AgentReport], now: float) -> None:
        """Pause the roll if an agent of the current generation reports trouble."""
        for report in live:
            is_current = report.generation == self.task.state.generation
            if report.trouble and is_current and not self.task.state.paused:
                reason = f"{report.name}: {report.trouble}"
                logs.warning("roll_paused", generation=self.task.state.generation, reason=reason)
                command = commands.Pause(self.task.state.generation, reason)
                self.task.propose(command, futures.Future(), now)
                return
