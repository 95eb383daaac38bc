"""Which change of a replicated log's members gives the group back the losses that it must bear.

A member that is lost for good never comes back, and its replacement joins beside it. As long as
both are voters the group is larger, needs a larger majority, and bears one loss less. So the lost
one goes as soon as its silence is sure enough, not when it has been silent for long. Nothing here
does I/O: the leader passes in what it knows, and the time in seconds of its own clock.
"""

import dataclasses

from merlinthread.coordination import raft_members, raft_messages


@dataclasses.dataclass(frozen=True, slots=True)
class RepairPolicy:
    """How many voters may be lost at once, and after which silence a voter is taken out.

    `spare_silence_s` is for a voter without which the group bears more losses than with it, and
    `silence_s` for one that only costs messages. Both in seconds.
    """

    losses_max: int
    spare_silence_s: float
    silence_s: float


@dataclasses.dataclass(slots=True)
class GroupStatus:
    """What the leader knows of the group.

    `matches` and `heard_at` are by member (not the leader itself): the last entry known to be
    there, and when it was last heard. `joiners` ask to be taken in, `leaving` are about to end.
    """

    voters: raft_messages.Voters
    leader: str
    commit: int
    matches: dict[str, int]
    heard_at: dict[str, float]
    joiners: list[str]
    leaving: list[str]


def next_change(
    group: GroupStatus, policy: RepairPolicy, now: float
) -> raft_members.MembershipChange | None:
    """Return the next change of members, or None if the group is as it should be."""
    return (
        replaced_disk(group)
        or spare(group, policy, now)
        or joined(group)
        or long_silent(group, policy, now)
    )


def replaced_disk(group: GroupStatus) -> raft_members.MembershipChange | None:
    """Return the removal of a member whose VM asks to join anew, since it has lost its disk.

    That member can't come back, so it goes before its successor votes: with both of them, a second
    loss right after would leave two of four.
    """
    members = group.voters.members()
    for joiner in group.joiners:
        for name in members:
            is_same_vm = raft_members.address_of(name) == raft_members.address_of(joiner)
            if is_same_vm and name not in (joiner, group.leader):
                return raft_members.MembershipChange(remove=name)
    return None


def spare(
    group: GroupStatus, policy: RepairPolicy, now: float
) -> raft_members.MembershipChange | None:
    """Return the removal of a silent or leaving voter that costs the group a bearable loss."""
    silent = silent_voters(group, policy.spare_silence_s, now)
    leaving = [name for name in group.leaving if name in group.voters.voters]
    missing = list(dict.fromkeys([*silent, *leaving]))
    removable = [name for name in missing if name != group.leader]
    if not removable or not removal_improves_tolerance(
        len(group.voters.voters), len(missing), policy
    ):
        return None
    return raft_members.MembershipChange(remove=removable[0])


def removal_improves_tolerance(voters: int, missing: int, policy: RepairPolicy) -> bool:
    """Return whether the group bears more losses without some of its `missing` voters.

    Only where it bears fewer than it must, and never below the size that bears them at all. One
    removal never makes it worse; of an odd number of voters it takes two to make it better.
    """
    bearable = raft_members.failures_tolerated(voters, missing)
    removable = min(missing, voters - (2 * policy.losses_max + 1))
    best = max(
        (
            raft_members.failures_tolerated(voters - removed, missing - removed)
            for removed in range(1, removable + 1)
        ),
        default=bearable,
    )
    return bearable < policy.losses_max and best > bearable


def silent_voters(group: GroupStatus, silence_s: float, now: float) -> list[str]:
    """Return the voters that the leader has not heard for `silence_s`, the longest silent first."""
    others = [name for name in group.voters.voters if name != group.leader]
    silent = [name for name in others if now - group.heard_at.get(name, now) > silence_s]
    return sorted(silent, key=lambda name: group.heard_at[name])


def joined(group: GroupStatus) -> raft_members.MembershipChange | None:
    """Return the next step of taking a joiner in: as a learner, then as a voter."""
    facts = raft_members.ReplicationStatus(group.leader, group.commit, group.matches)
    for name in group.joiners:
        joiner = raft_members.JoiningMember(name, "", raft_messages.Address("", ""), "")
        change = raft_members.next_change(group.voters, joiner, facts, False)
        if change is not None:
            return change
    return None


def long_silent(
    group: GroupStatus, policy: RepairPolicy, now: float
) -> raft_members.MembershipChange | None:
    """Return the removal of a member that was silent for long and is not needed."""
    for learner in group.voters.learners:
        if now - group.heard_at.get(learner, now) > policy.silence_s:
            return raft_members.MembershipChange(remove=learner)
    silent = silent_voters(group, policy.silence_s, now)
    if silent and len(group.voters.voters) > 2 * policy.losses_max + 1:
        return raft_members.MembershipChange(remove=silent[0])
    return None
