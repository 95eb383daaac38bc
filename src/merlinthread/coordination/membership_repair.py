"""Choose the membership changes that restore a group's fault tolerance after members failed.

The replacement of a failed member joins before that member is removed. While both are voters, the
majority is larger and the group tolerates one failure fewer, so the failed member is removed after
a short silence. The functions perform no I/O; times are seconds on the leader's clock.
"""

import dataclasses
import enum

from merlinthread.coordination import raft_members, raft_messages

# Silence after which a voter may be lost; a few heartbeats, and less than an election takes.
DOUBTFUL_SILENCE_S = 0.5


class ChangeKind(enum.StrEnum):
    """What a membership change does, for logs and metrics."""

    ADD = "add"
    PROMOTE = "promote"
    REMOVE_VOTER = "remove voter"
    REMOVE_LEARNER = "remove learner"


@dataclasses.dataclass(frozen=True, slots=True)
class RepairPolicy:
    """How many failures the group must tolerate, and when silent members are removed.

    A voter whose removal lets the group tolerate more failures, or that a joiner can replace, is
    removed after `surplus_silence_s` of silence, other members that are not needed after
    `silence_s`.
    """

    fault_tolerance: int
    surplus_silence_s: float
    silence_s: float

    def voters_needed(self) -> int:
        """Return the smallest number of voters that tolerates `fault_tolerance` failures."""
        return 2 * self.fault_tolerance + 1


@dataclasses.dataclass(slots=True)
class GroupStatus:
    """The leader's view of the group.

    A member that has the entries up to `settled` has caught up. `matches` and `heard_at` hold the
    match index of each member but the leader, and the time of its last reply. `joiners` holds the
    time of the last request of each member that asks to join; `leaving` are about to shut down;
    `unheard` have not replied since the leader's election.
    """

    membership: raft_messages.Voters
    leader: str
    settled: int
    matches: dict[str, int]
    heard_at: dict[str, float]
    joiners: dict[str, float]
    leaving: list[str]
    unheard: list[str] = dataclasses.field(default_factory=list)


def next_change(
    group: GroupStatus, policy: RepairPolicy, now: float
) -> raft_members.MembershipChange | None:
    """Return the next membership change, or None if none is due."""
    return (
        remove_replaced_member(group)
        or remove_surplus_voter(group, policy, now)
        or remove_voter_for_joiner(group, policy, now)
        or admit_joiner(group, policy, now)
        or remove_silent_member(group, policy, now)
    )


def kind_of(change: raft_members.MembershipChange, before: raft_messages.Voters) -> ChangeKind:
    """Return the kind of a repair's change of the membership `before`."""
    if change.add:
        return ChangeKind.ADD
    if change.promote:
        return ChangeKind.PROMOTE
    is_voter = change.remove in before.voters
    return ChangeKind.REMOVE_VOTER if is_voter else ChangeKind.REMOVE_LEARNER


def remove_replaced_member(group: GroupStatus) -> raft_members.MembershipChange | None:
    """Return the removal of a member whose VM asks to join under a new name after losing its disk.

    The old member can't return. It is removed before its successor joins, since with both as
    voters, one more failure could leave only two of four.
    """
    for joiner in group.joiners:
        for name in other_members_of_vm(group, joiner):
            if name != group.leader and is_later_member(group, joiner, name):
                return raft_members.MembershipChange(remove=name)
    return None


def other_members_of_vm(group: GroupStatus, joiner: str) -> list[str]:
    """Return the members that the VM of `joiner` has under other names."""
    address = raft_members.address_of(joiner)
    return [
        name
        for name in group.membership.members()
        if name != joiner and raft_members.address_of(name) == address
    ]


def is_later_member(group: GroupStatus, joiner: str, name: str) -> bool:
    """Return whether `joiner` is a later member of its VM than `name`.

    The first member of a VM has no identity in its name, so that any other one is later. Otherwise
    `joiner` must have asked after `name` fell silent: a request may be delayed until the VM has a
    newer member, which replies.
    """
    if not raft_members.identity_of(name):
        return True
    return group.joiners[joiner] - group.heard_at[name] > DOUBTFUL_SILENCE_S


def remove_surplus_voter(
    group: GroupStatus, policy: RepairPolicy, now: float
) -> raft_members.MembershipChange | None:
    """Return the removal of a silent or leaving voter that lowers the group's fault tolerance."""
    silent = silent_voters(group, policy.surplus_silence_s, now)
    leaving = [name for name in group.leaving if name in group.membership.voters]
    missing = list(dict.fromkeys([*silent, *leaving]))
    removable = [name for name in missing if name != group.leader]
    if not removable or not removal_improves_tolerance(
        len(group.membership.voters), len(missing), policy
    ):
        return None
    return raft_members.MembershipChange(remove=removable[0])


def removal_improves_tolerance(voters: int, missing: int, policy: RepairPolicy) -> bool:
    """Return whether removing some of the `missing` voters lets the group tolerate more failures.

    It is False if the group tolerates enough failures as it is; the group never shrinks below the
    size that tolerates `fault_tolerance`. Of an odd number of voters, only a second removal helps.
    """
    tolerated = raft_members.failures_tolerated(voters, missing)
    removable = min(missing, voters - policy.voters_needed())
    best = max(
        (
            raft_members.failures_tolerated(voters - removed, missing - removed)
            for removed in range(1, removable + 1)
        ),
        default=tolerated,
    )
    return tolerated < policy.fault_tolerance and best > tolerated


def silent_voters(group: GroupStatus, silence_s: float, now: float) -> list[str]:
    """Return the voters not heard from for `silence_s`, the longest silent first."""
    others = [name for name in group.membership.voters if name != group.leader]
    silent = [name for name in others if now - group.heard_at.get(name, now) > silence_s]
    return sorted(silent, key=lambda name: group.heard_at[name])


def remove_voter_for_joiner(
    group: GroupStatus, policy: RepairPolicy, now: float
) -> raft_members.MembershipChange | None:
    """Return the removal of a silent voter if a joiner can be promoted in its place."""
    is_needed = len(group.membership.voters) == policy.voters_needed()
    silent = silent_voters(group, policy.surplus_silence_s, now)
    if is_needed and silent and any(is_caught_up(group, name) for name in group.joiners):
        return raft_members.MembershipChange(remove=silent[0])
    return None


def is_caught_up(group: GroupStatus, name: str) -> bool:
    """Return whether a learner has the entries that a voter must have."""
    return name in group.membership.learners and group.matches.get(name, 0) >= group.settled


def admit_joiner(
    group: GroupStatus, policy: RepairPolicy, now: float
) -> raft_members.MembershipChange | None:
    """Return the next change that makes a joiner a learner, and then a voter.

    A joiner that is not needed yet stays a learner while a voter may be lost: as a further voter it
    would raise the majority, so that losing the joiner too could end it. Once the voter is heard
    again or removed, the joiner is promoted. A VM has one member at a time.
    """
    status = raft_members.ReplicationStatus(group.leader, group.settled, group.matches)
    is_promotion_due = len(group.membership.voters) < policy.voters_needed() or not (
        may_be_lost(group, now)
    )
    for name in group.joiners:
        if other_members_of_vm(group, name):
            continue
        joiner = raft_members.JoiningMember(name, "", raft_messages.Address("", ""), "")
        change = raft_members.next_change(group.membership, joiner, status, False)
        if change is not None and (is_promotion_due or not change.promote):
            return change
    return None


def may_be_lost(group: GroupStatus, now: float) -> list[str]:
    """Return the voters that have not replied for some heartbeats, or since the election."""
    silent = silent_voters(group, DOUBTFUL_SILENCE_S, now)
    return [name for name in group.membership.voters if name in silent or name in group.unheard]


def remove_silent_member(
    group: GroupStatus, policy: RepairPolicy, now: float
) -> raft_members.MembershipChange | None:
    """Return the removal of a learner, or a voter that is not needed, after a long silence."""
    for learner in group.membership.learners:
        if now - group.heard_at.get(learner, now) > policy.silence_s:
            return raft_members.MembershipChange(remove=learner)
    silent = silent_voters(group, policy.silence_s, now)
    if silent and len(group.membership.voters) > policy.voters_needed():
        return raft_members.MembershipChange(remove=silent[0])
    return None
