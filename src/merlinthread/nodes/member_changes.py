"""Membership changes of the replicated log: joining, leaving and replacing failed members.

`coordination.membership_repair` decides on the changes; this module exchanges the messages between
the control VMs.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from merlinthread import errors, logs, metrics
from merlinthread.coordination import (
    join_requests,
    levels,
    membership_repair,
    raft,
    raft_members,
)
from merlinthread.nodes import node_settings
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

# A voter that has heard from no leader for this long requests to join, in case it was removed.
JOIN_AFTER_SILENCE_S = 2.0
JOIN_INTERVAL_S = 0.4
REQUEST_TIMEOUT_S = 0.6
# How long a request to join or leave stays in effect after it was last received.
REQUEST_EXPIRY_S = 2.0
# Silence after which a member is removed, as a multiple of `Bounds.catch_up_s`, the minimum time
# between two failures. The removal of a surplus voter, which may include an election, must be
# complete before the next failure; other members may stay longer.
SURPLUS_SILENCE_FACTOR = 0.35
SILENCE_FACTOR = 2.0
# The fraction of `Bounds.grace_s` in which the group must remove a member that shuts down; enough
# for an election (1.5 s at most) and two membership changes.
RESIGN_FRACTION = 0.375
RESIGN_POLL_INTERVAL_S = 0.1


class MemberChanges:
    """Requests, accepts and proposes membership changes for one member.

    `get_raft` returns the member's current `raft.Raft`. `on_removed` is called when the group has
    removed this member permanently, `wake` when Raft has messages to send. `written_level` returns
    the highest format level of any entry so far.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        rpc_client: node_bus.RpcClient,
        clock: Callable[[], float],
        get_raft: Callable[[], raft.Raft],
        wake: Callable[[], None],
        on_removed: Callable[[], None],
        written_level: Callable[[], int] = lambda: levels.LOWEST,
    ) -> None:
        self.settings = settings
        self.rpc_client = rpc_client
        self.clock = clock
        self.get_raft = get_raft
        self.wake = wake
        self.on_removed = on_removed
        self.written_level = written_level
        self.address = f"{settings.ip}:{settings.control_port}"
        self.join_requests = join_requests.JoinRequests(REQUEST_EXPIRY_S)
        self.leave_requested_at: dict[str, float] = {}
        self.next_join_at = clock()

    def repair_policy(self) -> membership_repair.RepairPolicy:
        """Return the repair policy for the bounds of the deployment."""
        catch_up_s = self.settings.bounds.catch_up_s
        return membership_repair.RepairPolicy(
            self.settings.members_lost_max,
            SURPLUS_SILENCE_FACTOR * catch_up_s,
            SILENCE_FACTOR * catch_up_s,
        )

    def clear_requests(self) -> None:
        """Discard the received requests to join or leave, after a change of leadership."""
        self.join_requests.clear()
        self.leave_requested_at.clear()

    # Joining

    def request_join(self, now: float) -> None:
        """Request to join, if this member is not a voter or has heard from no leader for long."""
        if now < self.next_join_at:
            return
        self.next_join_at = now + JOIN_INTERVAL_S
        member = self.get_raft()
        if member.is_resigned:
            return
        silence_s = 0.0 if member.is_leader() else now - member.heard_leader_at
        if member.is_voter() and silence_s < JOIN_AFTER_SILENCE_S:
            return
        join = node_messages.JoinRequest(member.name, levels.NEWEST)
        member_addresses = [
            raft_members.address_of(name) for name in member.log.membership.members()
        ]
        for address in set(self.settings.control_rpc_addresses()) | set(member_addresses):
            if address != self.address:
                asyncio.get_running_loop().create_task(self.send_join(address, join))

    async def send_join(self, address: str, join: node_messages.JoinRequest) -> None:
        """Send a request to join to one control VM, and handle the reply."""
        try:
            reply = await self.rpc_client.call(address, join, REQUEST_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            if error.kind is errors.ErrorKind.MEMBERSHIP_CHANGE_REFUSED:
                logs.warning("join_refused", control=address, reason=error.message)
                return
            logs.debug("join_unanswered", control=address, reason=error.message)
            return
        if reply.is_removed and join.name == self.get_raft().name:
            self.on_removed()

    async def reply_to_join(self, join: node_messages.JoinRequest) -> node_messages.JoinReply:
        """Record a request to join if this member leads; otherwise forward it to the leader.

        A leader may lack its lease for a moment on a slow link; it needs it for the change itself.
        """
        member = self.get_raft()
        now = self.clock()
        if member.is_leader():
            if join.name in member.log.membership.retired:
                # The sender deletes its data, which is needed if the removal is not committed.
                is_committed = not member.log.has_membership_change_after(member.commit)
                return node_messages.JoinReply(is_committed)
            self.check_level(join)
            self.join_requests.record(join.name, now)
            return node_messages.JoinReply(False)
        leader = raft_members.address_of(member.leader)
        if leader and leader != self.address:
            return await self.rpc_client.call(leader, join, REQUEST_TIMEOUT_S)
        raise errors.NotLeaderError("no leader is known", "")

    def check_level(self, join: node_messages.JoinRequest) -> None:
        """Raise ControlError if a joiner reports a format level below that of the log."""
        written = self.written_level()
        if 0 < join.level < written:
            raise errors.ControlError(
                f"{join.name} reads up to level {join.level}, the log holds entries of level "
                f"{written}; start a build there that reads them",
                kind=errors.ErrorKind.MEMBERSHIP_CHANGE_REFUSED,
            )

    # Leaving

    async def resign(self) -> None:
        """Step down before a shutdown, and wait until the group has removed this member if needed.

        Otherwise a group that was enlarged for this member's replacement would keep a dead voter. A
        leader first waits for its uncommitted membership change, which no other member may have.
        """
        started = self.clock()
        is_settled = await self.wait_until(self.has_no_pending_change, started)
        self.get_raft().resign(self.clock())
        may_end = await self.wait_until(self.may_shut_down, started)
        waited_s = round(self.clock() - started, 3)
        logs.event(
            "resigned",
            member=self.get_raft().name,
            waited_s=waited_s,
            is_settled=is_settled,
            may_end=may_end,
        )

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], started: float) -> bool:
        """Wait until `condition()`; return False after RESIGN_FRACTION of the grace period."""
        while not await condition():
            if self.clock() - started > RESIGN_FRACTION * self.settings.bounds.grace_s:
                return False
            await asyncio.sleep(RESIGN_POLL_INTERVAL_S)
        return True

    async def has_no_pending_change(self) -> bool:
        """Return whether this leader's membership changes are all committed; True on a follower."""
        member = self.get_raft()
        return not (member.is_leader() and member.log.has_membership_change_after(member.commit))

    async def may_shut_down(self) -> bool:
        """Return whether this member can shut down: it is not surplus, or the leader allows it."""
        member = self.get_raft()
        if not self.is_surplus(member):
            return True
        leader = raft_members.address_of(member.leader)
        if not leader or leader == self.address:
            return False
        try:
            reply = await self.rpc_client.call(
                leader, node_messages.LeaveRequest(member.name), REQUEST_TIMEOUT_S
            )
        except errors.MerlinthreadError as error:
            logs.debug("resign_unanswered", control=leader, reason=error.message)
            return False
        return reply.may_end

    def is_surplus(self, member: raft.Raft) -> bool:
        """Return whether removing `member` lets the group tolerate more failures than losing it."""
        voter_count = len(member.log.membership.voters)
        return member.is_voter() and membership_repair.removal_improves_tolerance(
            voter_count, 1, self.repair_policy()
        )

    async def reply_to_leave(self, leave: node_messages.LeaveRequest) -> node_messages.LeaveReply:
        """Record that a member is shutting down; raise NotLeaderError unless this member leads."""
        member = self.get_raft()
        now = self.clock()
        if not member.holds_lease(now):
            raise errors.NotLeaderError(
                "this member does not hold the leader's lease", member.leader
            )
        if leave.name not in member.log.membership.voters:
            is_committed = not member.log.has_membership_change_after(member.commit)
            return node_messages.LeaveReply(is_committed)
        self.leave_requested_at[leave.name] = now
        return node_messages.LeaveReply(False)

    # Repairs by the leader

    def repair(self, now: float) -> None:
        """Propose the next membership change that admits a joiner or removes a failed member."""
        member = self.get_raft()
        if not member.holds_lease(now):
            return
        change = membership_repair.next_change(
            self.group_status(member, now), self.repair_policy(), now
        )
        if change is None:
            return
        kind = membership_repair.kind_of(change, member.log.membership)
        try:
            member.change_membership(change, now)
        except errors.ControlError as error:
            logs.debug("members_unchanged", reason=error.message)
            return
        self.wake()
        metrics.membership_changes_total.labels(kind).inc()
        self.log_change(change, kind, member, now)

    def group_status(self, member: raft.Raft, now: float) -> membership_repair.GroupStatus:
        """Return this leader's view of the group; drop expired requests first."""
        for name, requested_at in list(self.leave_requested_at.items()):
            if now - requested_at > REQUEST_EXPIRY_S:
                del self.leave_requested_at[name]
        status = member.replication_status(now)
        return membership_repair.GroupStatus(
            member.log.membership,
            member.name,
            status.settled,
            status.matches,
            {name: progress.heard_at for name, progress in member.progress.items()},
            self.join_requests.pending(member.log.membership.retired, now),
            list(self.leave_requested_at),
            [
                name
                for name, progress in member.progress.items()
                if progress.acked_at == float("-inf")
            ],
        )

    def log_change(
        self,
        change: raft_members.MembershipChange,
        kind: membership_repair.ChangeKind,
        member: raft.Raft,
        now: float,
    ) -> None:
        """Log a membership change, and how many more failures the group tolerates after it."""
        membership = member.log.membership
        silence_s = member.timing.election_max_s
        silent = membership_repair.silent_voters(self.group_status(member, now), silence_s, now)
        tolerated = raft_members.failures_tolerated(len(membership.voters), len(silent))
        logs.event(
            "members_change",
            kind=kind,
            change=msgspec.to_builtins(change),
            voters=membership.voters,
            learners=membership.learners,
            silent=silent,
            losses_bearable=tolerated,
        )
