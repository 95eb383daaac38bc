"""Check of the soak of shared links: the group bears a loss again in time after each one."""

import asyncio
import collections
import dataclasses
import json
import math
import time

from bench import processes, relayed_connection, soak_links_fleet, soak_nodes
from merlinthread.coordination import membership_repair, raft_members

SAMPLE_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class Change:
    """A membership change in the log of a leader; `at` is in seconds since the epoch."""

    at: float
    kind: str
    changed_ips: list[str]
    voter_ips: list[str]
    losses_bearable: int


@dataclasses.dataclass(slots=True)
class Sample:
    """How many entries a new control VM had applied, and the others at most."""

    at: float
    new_index: int
    index: int


@dataclasses.dataclass(slots=True)
class Replacement:
    """A loss of a control VM and its replacement; times are seconds since the epoch."""

    lost_ip: str
    lost_at: float
    new_ip: str = ""
    returned_at: float = math.inf
    bearable_at: float = math.inf
    # The bytes sent to the new control VM, and the calls to it that were given up.
    bytes_sent: int = 0
    calls_given_up: int = 0
    samples: list[Sample] = dataclasses.field(default_factory=list)
    changes: list[Change] = dataclasses.field(default_factory=list)

    def time_of(self, kind: membership_repair.ChangeKind, ip: str) -> float:
        """Return the time of the first change of a kind that concerns a VM, inf without one."""
        found = [
            change.at for change in self.changes if change.kind == kind and ip in change.changed_ips
        ]
        return min(found, default=math.inf)

    def describe(self) -> dict:
        """Return what happened, in seconds since the loss and entries."""
        kinds = membership_repair.ChangeKind
        times = {
            "returned": self.returned_at,
            "added": self.time_of(kinds.ADD, self.new_ip),
            "removed": self.time_of(kinds.REMOVE_VOTER, self.lost_ip),
            "promoted": self.time_of(kinds.PROMOTE, self.new_ip),
            "bearable": self.bearable_at,
        }
        figures: dict = {
            key: round(at - self.lost_at, 2) if at < math.inf else None for key, at in times.items()
        }
        first_entry_at = next((s.at for s in self.samples if s.new_index), None)
        figures["first entry"] = (
            round(first_entry_at - self.lost_at, 2) if first_entry_at is not None else None
        )
        if self.samples:
            last = self.samples[-1]
            figures["behind"] = f"{last.index - last.new_index} of {last.index}"
        return figures | {"kB": self.bytes_sent // 1000, "given up": self.calls_given_up}


def read_changes(fleet: soak_links_fleet.LinkFleet, since: float) -> list[Change]:
    """Return the membership changes in the logs of all control VMs, the oldest first."""
    found = []
    for node in [*fleet.nodes, *fleet.replaced]:
        for event in read_events(node, "members_change"):
            at = processes.parse_timestamp(event["at"])
            if at >= since:
                found.append(parse_change(event, at))
    return sorted(found, key=lambda change: change.at)


def read_events(node: soak_nodes.Node, name: str) -> list[dict]:
    """Return the events called `name` in the log of a node."""
    path = node.folder / f"{node.name}.log"
    mark = f'"event": "{name}"'
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
    return [json.loads(line) for line in lines if mark in line and line.endswith("}")]


def parse_change(event: dict, at: float) -> Change:
    """Return the membership change that a leader logged."""
    changed = [name for name in event["change"].values() if isinstance(name, str) and name]
    return Change(
        at,
        event["kind"],
        [ip_of(name) for name in changed],
        [ip_of(name) for name in event["voters"]],
        event["losses_bearable"],
    )


def ip_of(member: str) -> str:
    """Return the IP of a member of the replicated log."""
    return raft_members.address_of(member).rpartition(":")[0]


def sum_to(ip: str, counts: collections.Counter[relayed_connection.Ends]) -> int:
    """Return the sum of the counts whose receiver is at `ip`."""
    return sum(count for (_, receiver), count in counts.items() if receiver == ip)


class ToleranceChecker:
    """Records replacements, and checks each one against the time that the deployment grants."""

    def __init__(self, fleet: soak_links_fleet.LinkFleet) -> None:
        self.fleet = fleet
        self.replacements: list[Replacement] = []
        self.violations: list[str] = []

    async def watch(self, replacement: Replacement) -> None:
        """Follow a replacement until it is due; record a violation if it is not complete."""
        loop = asyncio.get_running_loop()
        self.replacements.append(replacement)
        due_at = loop.time() + soak_links_fleet.CATCH_UP_S
        while loop.time() < due_at:
            await self.update(replacement)
            await asyncio.sleep(min(SAMPLE_INTERVAL_S, max(0.0, due_at - loop.time())))
        await self.update(replacement)
        if replacement.bearable_at - replacement.returned_at > soak_links_fleet.CATCH_UP_S:
            self.violations.append(
                f"{replacement.new_ip} for {replacement.lost_ip}: no loss bearable"
                f" {soak_links_fleet.CATCH_UP_S} s after the return"
            )

    async def update(self, replacement: Replacement) -> None:
        """Record the membership changes so far, and how far the new control VM is."""
        replacement.changes = read_changes(self.fleet, replacement.lost_at)
        relay = self.fleet.relay
        replacement.bytes_sent = sum_to(replacement.new_ip, relay.bytes_sent)
        replacement.calls_given_up = sum_to(replacement.new_ip, relay.given_up)
        if replacement.bearable_at < math.inf:
            return
        replacement.bearable_at = min(
            (change.at for change in replacement.changes if self.is_bearable(change, replacement)),
            default=math.inf,
        )
        indexes = await self.fleet.log_indexes()
        replacement.samples.append(
            Sample(time.time(), indexes.pop(replacement.new_ip), max(indexes.values(), default=0))
        )

    def is_bearable(self, change: Change, replacement: Replacement) -> bool:
        """Return whether the group bears a loss after a change, without the lost control VM."""
        return (
            change.losses_bearable > 0
            and replacement.new_ip in change.voter_ips
            and replacement.lost_ip not in change.voter_ips
        )
