"""Changes of a replicated log's members: one at a time, and only when safe."""

import dataclasses

from merlinthread import errors
from merlinthread.coordination import raft_messages


@dataclasses.dataclass(slots=True)
class MembershipChange:
    """One change: add a learner, promote one, remove a member, or note identities.

    Exactly one of `add`, `promote`, `remove`, `identities` is set; `address` and `identity` go with
    `add`.
    """

    add: str = ""
    promote: str = ""
    remove: str = ""
    identities: dict[str, str] = dataclasses.field(default_factory=dict)
    address: raft_messages.Address | None = None
    identity: str = ""


@dataclasses.dataclass(slots=True)
class ReplicationStatus:
    """What the leader knows: its own name, the committed index, how far each member is."""

    leader: str
    commit: int
    matches: dict[str, int]


@dataclasses.dataclass(slots=True)
class JoiningMember:
    """A control VM that wants to join under a new name in place of `replaces`."""

    name: str
    identity: str
    address: raft_messages.Address
    replaces: str


def apply(
    before: raft_messages.Voters, change: MembershipChange, facts: ReplicationStatus
) -> raft_messages.Voters:
    """Return the members after `change`; raise ControlError if it is not safe."""
    members = before.copy()
    if change.add:
        add(members, change)
    elif change.promote:
        promote(members, change.promote, facts)
    elif change.remove:
        remove(members, change.remove, facts)
    else:
        members.identities.update(change.identities)
    return members


def add(members: raft_messages.Voters, change: MembershipChange) -> None:
    """Add a learner."""
    if change.add in members.members() or change.add in members.retired:
        raise refused(f"{change.add!r} is or was a member; a replaced control VM needs a new name")
    members.learners.append(change.add)
    if change.identity:
        members.identities[change.add] = change.identity
    if change.address is not None:
        members.addresses[change.add] = change.address


def promote(members: raft_messages.Voters, name: str, facts: ReplicationStatus) -> None:
    """Let a learner vote, once it has every committed entry."""
    if name not in members.learners:
        raise refused(f"{name!r} is no learner; add it first")
    behind = facts.commit - facts.matches.get(name, 0)
    if behind > 0:
        raise refused(f"{name!r} is {behind} entries behind; wait until it has caught up")
    members.learners.remove(name)
    members.voters.append(name)


def remove(members: raft_messages.Voters, name: str, facts: ReplicationStatus) -> None:
    """Remove a member for good."""
    if name not in members.members():
        raise refused(f"{name!r} is no member")
    if name == facts.leader:
        raise refused(f"{name!r} leads; stop it first, so that another leads")
    (members.voters if name in members.voters else members.learners).remove(name)
    members.retired.append(name)
    members.identities.pop(name, None)
    members.addresses.pop(name, None)


def address_of(name: str) -> str:
    """Return the node address in a member's name: "address" or "address#identity"."""
    return name.split("#")[0]


def failures_tolerated(voters: int, silent: int) -> int:
    """Return how many more voters may fall silent before no majority is left; below 0: none is."""
    return voters - silent - (voters // 2 + 1)


def refused(message: str) -> errors.ControlError:
    """Return the error for a change of members that is not safe now."""
    return errors.ControlError(message, kind=errors.ErrorKind.MEMBERSHIP_CHANGE_REFUSED)


def next_change(
    members: raft_messages.Voters,
    joiner: JoiningMember,
    facts: ReplicationStatus,
    is_replaced_silent: bool,
) -> MembershipChange | None:
    """Return the next step of a repair, or None if it is done or must wait.

    The joiner becomes a learner, then a voter once it has caught up; only then is the lost member
    removed, and only if it has been silent. So a second loss right after the repair leaves a
    majority that holds every accepted entry.
    """
    if joiner.name in members.retired:
        return None
    if joiner.name not in members.members():
        return MembershipChange(add=joiner.name, identity=joiner.identity, address=joiner.address)
    if joiner.name in members.learners:
        is_caught_up = facts.matches.get(joiner.name, 0) >= facts.commit
        return MembershipChange(promote=joiner.name) if is_caught_up else None
    if joiner.replaces in members.members() and is_replaced_silent:
        return None if joiner.replaces == facts.leader else MembershipChange(remove=joiner.replaces)
    return None
