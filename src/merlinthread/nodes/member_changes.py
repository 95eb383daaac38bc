"""Who belongs to the replicated log: joining it, leaving it, and the leader's repairs.

What is decided is in `coordination.log_repair`; this module carries it between the control VMs.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from merlinthread import errors, logs, metrics
from merlinthread.coordination import levels, log_repair, raft, raft_members
from merlinthread.nodes import node_settings
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

# A member that has heard no leader for this long asks whether it still is one.
ASK_AFTER_SILENCE_S = 2.0
ASK_EVERY_S = 0.4
ASK_TIMEOUT_S = 0.6
# How long a joiner or leaver is looked after once it has stopped asking.
ASKER_KEPT_S = 2.0
# Shares of the time that a deployment gives a replacement until the next loss may come. A lost
# voter must be out within it, after an election and its silence; one that costs no loss may stay.
SURPLUS_SILENCE_FRACTION = 0.35
SILENCE_SHARE = 2.0
# Share of the time that a planned end may take within which the others must go on without this
# member: 3 s of the usual 8, enough for an election (1.5 s at most) and two changes of members.
RESIGN_SHARE = 0.375
RESIGN_EVERY_S = 0.1


class MemberChanges:
    """One member's part in changes of the group; `current` returns its present `raft.Raft`.

    `on_removed` is called when the others have removed this member for good, `wake` when the log
    has something to send. `written_level` returns the highest level of any entry so far.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        caller: node_bus.RpcClient,
        clock: Callable[[], float],
        current: Callable[[], raft.Raft],
        wake: Callable[[], None],
        on_removed: Callable[[], None],
        written_level: Callable[[], int] = lambda: levels.LOWEST,
    ) -> None:
        self.settings = settings
        self.caller = caller
        self.clock = clock
        self.current = current
        self.wake = wake
        self.on_removed = on_removed
        self.written_level = written_level
        self.address = f"{settings.ip}:{settings.control_port}"
        self.joiners: dict[str, float] = {}
        self.leaving: dict[str, float] = {}
        self.ask_at = clock()

    def policy(self) -> log_repair.RepairPolicy:
        """Return when voters are taken out, by the deployment's bounds."""
        catch_up_s = self.settings.bounds.catch_up_s
        return log_repair.RepairPolicy(
            self.settings.members_lost_max,
            SURPLUS_SILENCE_FRACTION * catch_up_s,
            SILENCE_SHARE * catch_up_s,
        )

    def forget(self) -> None:
        """Forget who asked; leadership has changed."""
        self.joiners.clear()
        self.leaving.clear()

    # Joining

    def request_join(self, now: float) -> None:
        """Ask to be taken in, if this member is none or has not heard a leader for long."""
        if now < self.ask_at:
            return
        self.ask_at = now + ASK_EVERY_S
        member = self.current()
        if member.is_resigned:
            return
        silence_s = 0.0 if member.is_leader() else now - member.heard_leader_at
        if member.is_voter() and silence_s < ASK_AFTER_SILENCE_S:
            return
        join = node_messages.JoinRequest(member.name, levels.NEWEST)
        members = [raft_members.address_of(name) for name in member.log.voters.members()]
        for address in set(self.settings.control_rpc_addresses()) | set(members):
            if address != self.address:
                asyncio.get_running_loop().create_task(self.send_join(address, join))

    async def send_join(self, address: str, join: node_messages.JoinRequest) -> None:
        """Ask one control VM."""
        try:
            reply = await self.caller.call(address, join, ASK_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            if error.kind is errors.ErrorKind.MEMBERSHIP_CHANGE_REFUSED:
                logs.warning("join_refused", control=address, reason=error.message)
                return
            logs.debug("join_unanswered", control=address, reason=error.message)
            return
        if reply.is_removed and join.name == self.current().name:
            self.on_removed()

    async def on_join(self, join: node_messages.JoinRequest) -> node_messages.JoinReply:
        """Note a joiner if this member leads; else pass it on, since it may not know the leader."""
        member = self.current()
        now = self.clock()
        if member.holds_lease(now):
            if join.name in member.log.voters.retired:
                return node_messages.JoinReply(True)
            self.check_level(join)
            self.joiners[join.name] = now
            return node_messages.JoinReply(False)
        leader = raft_members.address_of(member.leader)
        if leader and leader != self.address:
            return await self.caller.call(leader, join, ASK_TIMEOUT_S)
        raise errors.NotLeaderError("no leader is known", "")

    def check_level(self, join: node_messages.JoinRequest) -> None:
        """Raise ControlError if a joiner tells that it can't read what the log holds."""
        written = self.written_level()
        if 0 < join.level < written:
            raise errors.ControlError(
                f"{join.name} reads up to level {join.level}, the log holds entries of level "
                f"{written}; start a build there that reads them",
                kind=errors.ErrorKind.MEMBERSHIP_CHANGE_REFUSED,
            )

    # Leaving

    async def resign(self) -> None:
        """Before a planned end, let the others go on without this member where they need not wait.

        Otherwise a group that was enlarged for this member's successor would hold a dead voter. A
        leader first finishes the change of members that it has begun: nobody else may know of it.
        """
        started = self.clock()
        is_settled = await self.until(self.has_settled, started)
        self.current().resign(self.clock())
        may_end = await self.until(self.may_end, started)
        waited_s = round(self.clock() - started, 3)
        logs.event(
            "resigned",
            member=self.current().name,
            waited_s=waited_s,
            is_settled=is_settled,
            may_end=may_end,
        )

    async def until(self, is_done: Callable[[], Awaitable[bool]], started: float) -> bool:
        """Wait until `is_done()`; return False if it is not within the time of a planned end."""
        while not await is_done():
            if self.clock() - started > RESIGN_SHARE * self.settings.bounds.grace_s:
                return False
            await asyncio.sleep(RESIGN_EVERY_S)
        return True

    async def has_settled(self) -> bool:
        """Return whether no change of members that this leader has begun is uncommitted."""
        member = self.current()
        return not (member.is_leader() and member.log.has_membership_change_after(member.commit))

    async def may_end(self) -> bool:
        """Return whether the leader says that nothing is left to do for this member's end."""
        member = self.current()
        if not self.is_needless(member):
            return True
        leader = raft_members.address_of(member.leader)
        if not leader or leader == self.address:
            return False
        try:
            reply = await self.caller.call(
                leader, node_messages.LeaveRequest(member.name), ASK_TIMEOUT_S
            )
        except errors.MerlinthreadError as error:
            logs.debug("resign_unanswered", control=leader, reason=error.message)
            return False
        return reply.may_end

    def is_needless(self, member: raft.Raft) -> bool:
        """Return whether the group bears more losses without `member` than with it missing."""
        number = len(member.log.voters.voters)
        return member.is_voter() and log_repair.removal_improves_tolerance(number, 1, self.policy())

    async def on_leave(self, resign: node_messages.LeaveRequest) -> node_messages.LeaveReply:
        """Note a leaver if this member leads."""
        member = self.current()
        now = self.clock()
        if not member.holds_lease(now):
            raise errors.NotLeaderError("this member does not surely lead", member.leader)
        if resign.name not in member.log.voters.voters:
            has_settled = not member.log.has_membership_change_after(member.commit)
            return node_messages.LeaveReply(has_settled)
        self.leaving[resign.name] = now
        return node_messages.LeaveReply(False)

    # The leader's repairs

    def look_after(self, now: float) -> None:
        """Do the next step of taking joiners in and of removing lost members."""
        member = self.current()
        if not member.holds_lease(now):
            return
        change = log_repair.next_change(self.group(member, now), self.policy(), now)
        if change is None:
            return
        try:
            member.change_membership(change, now)
        except errors.ControlError as error:
            logs.debug("members_unchanged", reason=error.message)
            return
        self.wake()
        self.tell(change, member, now)

    def group(self, member: raft.Raft, now: float) -> log_repair.GroupStatus:
        """Return what this leader knows of the group."""
        for askers in (self.joiners, self.leaving):
            for name, asked_at in list(askers.items()):
                if now - asked_at > ASKER_KEPT_S:
                    del askers[name]
        return log_repair.GroupStatus(
            member.log.voters,
            member.name,
            member.commit,
            {name: progress.match for name, progress in member.progress.items()},
            {name: progress.heard_at for name, progress in member.progress.items()},
            list(self.joiners),
            list(self.leaving),
        )

    def tell(self, change: raft_members.MembershipChange, member: raft.Raft, now: float) -> None:
        """Log a change of members, and how many more losses the group can bear after it."""
        voters = member.log.voters
        silence_s = member.timing.election_max_s
        silent = log_repair.silent_voters(self.group(member, now), silence_s, now)
        bearable = raft_members.failures_tolerated(len(voters.voters), len(silent))
        metrics.losses_bearable.set(bearable)
        logs.event(
            "members_change",
            change=msgspec.to_builtins(change),
            voters=voters.voters,
            learners=voters.learners,
            silent=silent,
            losses_bearable=bearable,
        )
