"""Levels of what builds write for each other, and what the control VMs of a group can read.

While VMs are replaced one after the other, two builds run side by side, and an operator may go
back. So nothing is written into the replicated log before every member is known to read it: one
that can't read a committed entry may neither apply it nor pass over it, since its state would be
another one than the others' from then on. Published kin: the cluster version of etcd,
`metadata.version` of Kafka, the cluster settings of CockroachDB.

A build tells its newest level in its answers to other control VMs. One that tells none is older
than this account; what it reads is shown by what it answers, else it counts as the lowest level.
"""

import enum
from collections.abc import Callable, Iterable
from typing import TypeVar

T = TypeVar("T", bound=type)


class FormatLevel(enum.IntEnum):
    """What a build reads and writes; each level includes those below it."""

    # Configurations, named versions of weights, departures.
    DEPARTURES = 1
    # Requests that are held back, and reports of processes that ended under them.
    HELD_REQUESTS = 2


LOWEST = min(FormatLevel)
NEWEST = max(FormatLevel)
# How long all members read a level before the first entry of it is written, if the group may have
# run builds that do not read it: in these seconds an operator may go back to them.
ROLLBACK_WINDOW_S = 600.0
# The level that each kind of entry needs; kinds without one are of the lowest.
NEEDED: dict[type, FormatLevel] = {}


def requires_level(level: FormatLevel) -> Callable[[T], T]:
    """Return a decorator that files a kind of entry under the level which reads it."""

    def file(kind: T) -> T:
        NEEDED[kind] = level
        return kind

    return file


def level_of(kind: type) -> FormatLevel:
    """Return the level that a kind of entry needs."""
    return NEEDED.get(kind, LOWEST)


class MemberLevels:
    """What one control VM knows of the others' levels, by their addresses.

    A member that is silent keeps the level that it had: it comes back with that build or, while an
    operator goes back, with one that tells another level in its first answer.
    """

    def __init__(self) -> None:
        self.reported: dict[str, int] = {}
        self.shown: dict[str, FormatLevel] = {}
        # The highest level that a build which tells none has shown to read.
        self.older_reads = LOWEST

    def record_reported(self, address: str, level: int) -> bool:
        """Note the level in a member's answer, 0 if it tells none; return whether it is new."""
        if self.reported.get(address) == level:
            return False
        self.reported[address] = level
        self.shown.pop(address, None)
        return True

    def record_inferred(self, address: str, level: FormatLevel) -> None:
        """Note that a member has answered what only a build of `level` can read."""
        self.shown[address] = level
        self.older_reads = max(self.older_reads, level)

    def record_unreachable(self, address: str) -> None:
        """Note that a member did not answer: it may come back with another build."""
        self.shown.pop(address, None)

    def of(self, address: str) -> int:
        """Return the level that a member surely reads; it may be above all known here."""
        return self.reported.get(address) or self.shown.get(address, LOWEST)

    def without_level(self, addresses: Iterable[str]) -> list[str]:
        """Return the members that tell no level and have not shown any."""
        return [
            address
            for address in addresses
            if not self.reported.get(address, NEWEST) and address not in self.shown
        ]

    def below(self, addresses: Iterable[str], level: FormatLevel) -> list[str]:
        """Return the members that are not known to read `level`."""
        return [address for address in addresses if self.of(address) < level]


class WriteGate:
    """Decides from when on an entry may be written, for one member of the group.

    `first_level` is the level of the build that has begun the group, 0 if that is not known.
    """

    def __init__(self, members: MemberLevels, first_level: int) -> None:
        self.members = members
        self.first_level = first_level
        # Since when all others are known to read all that this build writes, None if one is not.
        self.readable_since: float | None = None

    def update(self, others: Iterable[str], now: float) -> None:
        """Note whether all other members read all that this build writes."""
        if self.members.below(others, NEWEST):
            self.readable_since = None
        elif self.readable_since is None:
            self.readable_since = now

    def reason_not_writable(
        self, level: FormatLevel, others: Iterable[str], written: int, now: float
    ) -> str:
        """Return why an entry of `level` may not be written yet, an empty text if it may.

        `written` is the highest level of any entry so far: there is no way back below it.
        """
        behind = self.members.below(others, level)
        if behind:
            return (
                f"level {level} is needed, and {', '.join(behind)} are not known to read it; it is "
                "written once they run newer builds"
            )
        if level <= max(written, self.first_level, self.members.older_reads):
            return ""
        if self.readable_since is not None and now - self.readable_since >= ROLLBACK_WINDOW_S:
            return ""
        return (
            f"level {level} is written {ROLLBACK_WINDOW_S:.0f} s after the last VM that did not "
            "read it was replaced, so that going back is possible until then"
        )
