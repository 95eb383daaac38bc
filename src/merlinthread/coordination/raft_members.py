"""Membership changes of a Raft group, made one at a time and only when they are safe."""

import dataclasses

from merlinthread import errors
from merlinthread.coordination import raft_messages


@dataclasses.dataclass(slots=True)
class MembershipChange:
    """Add a learner, promote a learner to voter, remove a member, or register identities.

    Exactly one of `add`, `promote`, `remove` and `identities` is set. `address` and `identity` are
    those of the learner in `add`.
    """

    add: str = ""
    promote: str = ""
    remove: str = ""
    identities: dict[str, str] = dataclasses.field(default_factory=dict)
    address: raft_messages.Address | None = None
    identity: str = ""


@dataclasses.dataclass(slots=True)
class ReplicationStatus:
    """The leader's name, and the match index of each other member.

    A member that has the entries up to `settled` has caught up.
    """

    leader: str
    settled: int
    matches: dict[str, int]


@dataclasses.dataclass(slots=True)
class JoiningMember:
    """A control VM that asks to join under a new name, as the replacement of `replaces`."""

    name: str
    identity: str
    address: raft_messages.Address
    replaces: str


def apply_change(
    before: raft_messages.Voters, change: MembershipChange, status: ReplicationStatus
) -> raft_messages.Voters:
    """Return the membership after `change`.

    Raises ControlError (membership_change_refused) if the change is not safe.
    """
    members = before.copy()
    if change.add:
        add_learner(members, change)
    elif change.promote:
        promote_learner(members, change.promote, status)
    elif change.remove:
        remove_member(members, change.remove, status)
    else:
        members.identities.update(change.identities)
    return members


def add_learner(members: raft_messages.Voters, change: MembershipChange) -> None:
    """Add a learner under a name that no member has had."""
    if change.add in members.members() or change.add in members.retired:
        raise change_refused(
            f"{change.add!r} is or was a member; use a new name for a replaced control VM"
        )
    members.learners.append(change.add)
    if change.identity:
        members.identities[change.add] = change.identity
    if change.address is not None:
        members.addresses[change.add] = change.address


def promote_learner(members: raft_messages.Voters, name: str, status: ReplicationStatus) -> None:
    """Promote a learner to voter once it has caught up."""
    if name not in members.learners:
        raise change_refused(f"{name!r} is not a learner; add it first")
    behind = status.settled - status.matches.get(name, 0)
    if behind > 0:
        raise change_refused(f"{name!r} is {behind} entries behind; wait until it has caught up")
    members.learners.remove(name)
    members.voters.append(name)


def remove_member(members: raft_messages.Voters, name: str, status: ReplicationStatus) -> None:
    """Remove a member permanently; its name can't be used again."""
    if name not in members.members():
        raise change_refused(f"{name!r} is not a member")
    if name == status.leader:
        raise change_refused(f"{name!r} is the leader; stop it first so that another is elected")
    (members.voters if name in members.voters else members.learners).remove(name)
    members.retired.append(name)
    members.identities.pop(name, None)
    members.addresses.pop(name, None)


def address_of(name: str) -> str:
    """Return the node address in a member name of the form "address" or "address#identity"."""
    return name.split("#")[0]


def identity_of(name: str) -> str:
    """Return the identity in a member name, or "" if the name is an address only."""
    return name.partition("#")[2]


def failures_tolerated(voters: int, silent: int) -> int:
    """Return how many more voters may fail before the majority is lost; negative if it is lost."""
    return voters - silent - (voters // 2 + 1)


def change_refused(message: str) -> errors.ControlError:
    """Return the error for a membership change that is not safe now."""
    return errors.ControlError(message, kind=errors.ErrorKind.MEMBERSHIP_CHANGE_REFUSED)


def next_change(
    members: raft_messages.Voters,
    joiner: JoiningMember,
    status: ReplicationStatus,
    is_replaced_unresponsive: bool,
) -> MembershipChange | None:
    """Return the next change of a replacement, or None if it is complete or has to wait.

    The joining member becomes a learner, then a voter once it has caught up. Only then is the
    replaced member removed, and only if it does not respond, so that a second failure right after
    the replacement leaves a majority with every committed entry.
    """
    if joiner.name in members.retired:
        return None
    if joiner.name not in members.members():
        return MembershipChange(add=joiner.name, identity=joiner.identity, address=joiner.address)
    if joiner.name in members.learners:
        is_caught_up = status.matches.get(joiner.name, 0) >= status.settled
        return MembershipChange(promote=joiner.name) if is_caught_up else None
    if joiner.replaces in members.members() and is_replaced_unresponsive:
        return (
            None if joiner.replaces == status.leader else MembershipChange(remove=joiner.replaces)
        )
    return None
