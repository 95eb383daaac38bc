"""The state machine of a deployment's replicated log.

It holds the configuration, the named weights, who has left, and which requests are held back.

Every replica applies the same commands in the same order; nothing here looks at a clock. The policy
is "highest version wins": a configuration that is not newer changes nothing and is acknowledged,
since the order that it carries was overtaken.
"""

import dataclasses

from merlinthread import registry
from merlinthread.coordination import crash_ledger, fleet, levels

COMMANDS: registry.Registry[type] = registry.Registry("fleet command")

DEPARTED_KEPT = 4096
# Some 100 KB of a snapshot; the one held back longest ago goes first.
HELD_REQUESTS_MAX = 512


@COMMANDS.add("fleet.configure")
@dataclasses.dataclass(slots=True)
class Configure:
    """Put a configuration in force; `body` is what the operator sent, compressed."""

    version: int
    body: bytes


@COMMANDS.add("fleet.name_version")
@dataclasses.dataclass(slots=True)
class NameVersion:
    """Name a new version of a model's weights."""

    model: str
    version: int


@COMMANDS.add("fleet.depart")
@dataclasses.dataclass(slots=True)
class Depart:
    """Note that an instance is draining or gone."""

    instance: str
    state: str


@COMMANDS.add("fleet.hold_back")
@levels.requires_level(levels.FormatLevel.HELD_REQUESTS)
@dataclasses.dataclass(slots=True)
class PlaceHold:
    """Hold a request back for the `times`th time: the processes of `instances` ended under it."""

    fingerprint: str
    label: str
    instances: list[str]
    times: int
    account: str = ""


@COMMANDS.add("fleet.let_go")
@levels.requires_level(levels.FormatLevel.HELD_REQUESTS)
@dataclasses.dataclass(slots=True)
class ReleaseHold:
    """End the `times`th holding back of a request."""

    fingerprint: str
    times: int
    state: crash_ledger.HoldState


Command = Configure | NameVersion | Depart | PlaceHold | ReleaseHold


@dataclasses.dataclass(slots=True)
class HeldRequest:
    """A request that is or was held back."""

    label: str
    instances: list[str]
    hold: crash_ledger.Hold
    account: str = ""


@dataclasses.dataclass(slots=True)
class FleetState:
    """What the control VMs agree on.

    `level` is the highest one of any entry so far: a build that reads less can't take part any
    more. It is told in snapshots, where builds of before pass over it.
    """

    version: int = 0
    body: bytes = b""
    named: dict[str, int] = dataclasses.field(default_factory=dict)
    departed: dict[str, str] = dataclasses.field(default_factory=dict)
    held: dict[str, HeldRequest] = dataclasses.field(default_factory=dict)
    level: int = levels.LOWEST

    def apply(self, command: Command) -> bool:
        """Take one committed command in; return whether it changed anything."""
        self.level = max(self.level, levels.level_of(type(command)))
        if isinstance(command, Configure):
            return self.configure(command)
        if isinstance(command, NameVersion):
            return self.name_version(command)
        if isinstance(command, PlaceHold):
            return self.hold_back(command)
        if isinstance(command, ReleaseHold):
            return self.let_go(command)
        return self.depart(command)

    def configure(self, command: Configure) -> bool:
        """Take a configuration over if it is newer."""
        if command.version <= self.version:
            return False
        self.version = command.version
        self.body = command.body
        return True

    def name_version(self, command: NameVersion) -> bool:
        """Take a version of weights over if it is newer."""
        if command.version <= self.named.get(command.model, 0):
            return False
        self.named[command.model] = command.version
        return True

    def depart(self, command: Depart) -> bool:
        """Note that an instance leaves; gone is final."""
        before = self.departed.get(command.instance)
        if before == command.state or before == fleet.GONE:
            return False
        self.departed.pop(command.instance, None)
        self.departed[command.instance] = command.state
        while len(self.departed) > DEPARTED_KEPT:
            del self.departed[next(iter(self.departed))]
        return True

    def hold_back(self, command: PlaceHold) -> bool:
        """Hold a request back, unless that was decided before."""
        before = self.held.pop(command.fingerprint, None)
        if before is not None and command.times <= before.hold.times:
            self.held[command.fingerprint] = before
            return False
        hold = crash_ledger.Hold(command.times, crash_ledger.HoldState.HELD)
        self.held[command.fingerprint] = HeldRequest(
            command.label, command.instances, hold, command.account
        )
        while len(self.held) > HELD_REQUESTS_MAX:
            del self.held[next(iter(self.held))]
        return True

    def let_go(self, command: ReleaseHold) -> bool:
        """Let a request run again, if that decision to hold it back still stands."""
        held = self.held.get(command.fingerprint)
        hold = crash_ledger.Hold(command.times, command.state)
        if held is None or held.hold.times != command.times or hold <= held.hold:
            return False
        held.hold = hold
        return True
