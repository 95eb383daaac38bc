"""Whether simulated control VMs could bear further losses for good, as the newest log knows it."""

import dataclasses

from bench import control_faults, simulated_control
from merlinthread.coordination import raft_messages


@dataclasses.dataclass(frozen=True)
class Tolerance:
    """How many further losses leave a majority of the voters, and why, for messages."""

    losses: int
    reason: str


def measure(group: control_faults.Group, impaired: set[str]) -> Tolerance:
    """Return the tolerance of a group by the membership of its leader, or of the newest log."""
    up = [vm for vm in group.vms if vm.is_up and vm.ip not in impaired]
    holder = group.leader() or max(up, key=newest_entry, default=None)
    if holder is None:
        return Tolerance(-len(group.vms), "no VM is up")
    membership = holder.node.member.raft.log.membership
    names = [vm.node.member.name for vm in up]
    sound = [name for name in membership.voters if name in names]
    losses = len(sound) - membership.majority()
    return Tolerance(losses, describe(holder, membership, sound))


def newest_entry(vm: simulated_control.ControlVm) -> tuple[int, int]:
    """Return the term and index of the last entry of a VM."""
    log = vm.node.member.raft.log
    return log.last_term(), log.last_index()


def describe(
    holder: simulated_control.ControlVm, membership: raft_messages.Voters, sound: list[str]
) -> str:
    """Return the membership, and how far the leader knows each learner to be."""
    member = holder.node.member.raft
    behind = {
        name: member.commit - member.progress[name].match
        for name in membership.learners
        if name in member.progress
    }
    return (
        f"{holder.ip} {member.role}, voters {membership.voters}, of which {sound} are up, "
        f"learners behind by {behind} of {member.commit}"
    )
