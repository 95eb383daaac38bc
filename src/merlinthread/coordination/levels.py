"""Format levels of log entries, and which levels the control VMs of a group can read.

During a rolling update two builds run side by side, and the operator may roll back. An entry of a
new format is therefore written only once every member is known to read it: a member that can't
read a committed entry can neither apply nor skip it without diverging from the others. The cluster
version of etcd and `metadata.version` of Kafka serve the same purpose.

A build reports its newest level in its replies to other control VMs. For an older build that
reports none, the level is inferred from the requests it understands, and is otherwise the lowest.
"""

import enum
import math
from collections.abc import Callable, Iterable
from typing import TypeVar

T = TypeVar("T", bound=type)


class FormatLevel(enum.IntEnum):
    """The entry formats that a build can read; each level includes those below it."""

    # Configurations, named versions of weights, departures of instances.
    DEPARTURES = 1
    # Holds on requests, and reports of the process crashes that led to them.
    HELD_REQUESTS = 2
    # Evacuations of availability zones and their withdrawals.
    EVACUATIONS = 3


LOWEST = min(FormatLevel)
NEWEST = max(FormatLevel)
# How long all members must be able to read a level before the first entry of it is written, if the
# group may have run older builds: until then the operator can roll back to them.
ROLLBACK_WINDOW_S = 600.0
# The level required to read each entry class; classes not listed need the lowest.
REQUIRED_LEVELS: dict[type, FormatLevel] = {}


def requires_level(level: FormatLevel) -> Callable[[T], T]:
    """Return a decorator that sets the level required to read an entry class."""

    def register(kind: T) -> T:
        REQUIRED_LEVELS[kind] = level
        return kind

    return register


def level_of(kind: type) -> FormatLevel:
    """Return the level required to read an entry class."""
    return REQUIRED_LEVELS.get(kind, LOWEST)


class MemberLevels:
    """The known levels of the other control VMs, by address.

    A member that does not respond keeps its reported level: after a restart with another build, its
    first reply reports the new one.
    """

    def __init__(self) -> None:
        self.reported: dict[str, int] = {}
        self.inferred: dict[str, FormatLevel] = {}
        # The highest level inferred for any member that reported none.
        self.inferred_max = LOWEST

    def record_reported(self, address: str, level: int) -> bool:
        """Record the level in a member's reply, 0 if it has none; return whether it changed."""
        if self.reported.get(address) == level:
            return False
        self.reported[address] = level
        self.inferred.pop(address, None)
        return True

    def record_inferred(self, address: str, level: FormatLevel) -> None:
        """Record that a member has understood a request that requires `level`."""
        self.inferred[address] = level
        self.inferred_max = max(self.inferred_max, level)

    def record_unreachable(self, address: str) -> None:
        """Discard the inferred level of a member that did not reply: its build may change."""
        self.inferred.pop(address, None)

    def get(self, address: str) -> int:
        """Return the highest level known to be readable by a member.

        It may be higher than `NEWEST` if the member runs a newer build.
        """
        return self.reported.get(address) or self.inferred.get(address, LOWEST)

    def without_level(self, addresses: Iterable[str]) -> list[str]:
        """Return the members that replied without a level and have no inferred one."""
        return [
            address
            for address in addresses
            if not self.reported.get(address, NEWEST) and address not in self.inferred
        ]

    def below(self, addresses: Iterable[str], level: FormatLevel) -> list[str]:
        """Return the members that are not known to read `level`."""
        return [address for address in addresses if self.get(address) < level]


class WriteGate:
    """Decides whether entries of a format level may be written yet.

    `first_level` is the level of the build that created the group, 0 if it is not known.
    """

    def __init__(self, members: MemberLevels, first_level: int) -> None:
        self.members = members
        self.first_level = first_level
        # The time since which all other members are known to read each level; a level that one of
        # them is not known to read is missing.
        self.readable_since: dict[FormatLevel, float] = {}

    def update(self, others: Iterable[str], now: float) -> None:
        """Record which levels all other members can read.

        Each level has its own window: while a group runs builds of two levels, entries of the lower
        one must not wait until all members read the higher one.
        """
        addresses = list(others)
        for level in FormatLevel:
            if self.members.below(addresses, level):
                self.readable_since.pop(level, None)
            else:
                self.readable_since.setdefault(level, now)

    def reason_not_writable(
        self, level: FormatLevel, others: Iterable[str], written: int, now: float
    ) -> str:
        """Return why an entry of `level` may not be written yet, or "" if it may.

        `written` is the highest level of any entry so far; a rollback below it is not possible. A
        member that can't read that level is blocked already, so further entries of it do no harm.
        Without this, a command that was accepted once would be refused after a power loss of all
        VMs until the last of them is heard from or removed.
        """
        if level <= written:
            return ""
        behind = self.members.below(others, level)
        if behind:
            return (
                f"level {level} is needed, and {', '.join(behind)} are not known to read it; it is "
                "written once they run newer builds"
            )
        if level <= max(self.first_level, self.members.inferred_max):
            return ""
        readable_since = self.readable_since.get(level, math.inf)
        if now - readable_since >= ROLLBACK_WINDOW_S:
            return ""
        return (
            f"level {level} is written {ROLLBACK_WINDOW_S:.0f} s after the last VM that did not "
            "read it was replaced, so that going back is possible until then"
        )
