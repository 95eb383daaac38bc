"""The state machine of a deployment's replicated log.

It holds the configuration, the named weight versions, departed instances, holds on requests and
evacuated zones.
Every replica applies the same commands in the same order, so nothing here uses a clock. The highest
version wins: a configuration that is not newer is acknowledged and ignored.
"""

import dataclasses

from merlinthread import registry
from merlinthread.coordination import crash_tracker, fleet, levels

COMMANDS: registry.Registry[type] = registry.Registry("fleet command")

DEPARTED_MAX = 4096
# The hold that was placed first is evicted first.
HELD_REQUESTS_MAX = 512


@COMMANDS.add("fleet.configure")
@dataclasses.dataclass(slots=True)
class Configure:
    """Put a configuration in force; `body` is the operator's document, compressed."""

    version: int
    body: bytes


@COMMANDS.add("fleet.name_version")
@dataclasses.dataclass(slots=True)
class NameVersion:
    """Set the current version of a model's weights."""

    model: str
    version: int


@COMMANDS.add("fleet.depart")
@dataclasses.dataclass(slots=True)
class Depart:
    """Record that an instance is draining or gone."""

    instance: str
    state: str


@COMMANDS.add("fleet.hold_back")
@levels.requires_level(levels.FormatLevel.HELD_REQUESTS)
@dataclasses.dataclass(slots=True)
class PlaceHold:
    """Place the `times`th hold on a request during which the processes of `instances` crashed."""

    fingerprint: str
    label: str
    instances: list[str]
    times: int
    account: str = ""


@COMMANDS.add("fleet.let_go")
@levels.requires_level(levels.FormatLevel.HELD_REQUESTS)
@dataclasses.dataclass(slots=True)
class ReleaseHold:
    """Release the `times`th hold on a request."""

    fingerprint: str
    times: int
    state: crash_tracker.HoldState


@COMMANDS.add("fleet.evacuate")
@levels.requires_level(levels.FormatLevel.EVACUATIONS)
@dataclasses.dataclass(slots=True)
class EvacuateZone:
    """Send no more requests to the back ends of an availability zone."""

    zone: str


@COMMANDS.add("fleet.end_evacuation")
@levels.requires_level(levels.FormatLevel.EVACUATIONS)
@dataclasses.dataclass(slots=True)
class WithdrawEvacuation:
    """Allow requests to the back ends of an availability zone again."""

    zone: str


Command = (
    Configure | NameVersion | Depart | PlaceHold | ReleaseHold | EvacuateZone | WithdrawEvacuation
)


@dataclasses.dataclass(slots=True)
class HeldRequest:
    """A request on which a hold is or was placed."""

    label: str
    instances: list[str]
    hold: crash_tracker.Hold
    account: str = ""


@dataclasses.dataclass(slots=True)
class FleetState:
    """The replicated state of the control VMs.

    `level` is the highest format level of any entry so far; a build that can't read it can't apply
    the log. It is part of snapshots, where builds that do not know the field ignore it.
    `evacuation_revision` counts the changes of `evacuated`, the evacuated zones.
    """

    version: int = 0
    body: bytes = b""
    named: dict[str, int] = dataclasses.field(default_factory=dict)
    departed: dict[str, str] = dataclasses.field(default_factory=dict)
    held: dict[str, HeldRequest] = dataclasses.field(default_factory=dict)
    level: int = levels.LOWEST
    evacuated: list[str] = dataclasses.field(default_factory=list)
    evacuation_revision: int = 0

    def apply(self, command: Command) -> bool:
        """Apply a committed command; return whether the state changed."""
        self.level = max(self.level, levels.level_of(type(command)))
        if isinstance(command, Configure):
            return self.configure(command)
        if isinstance(command, NameVersion):
            return self.name_version(command)
        if isinstance(command, PlaceHold):
            return self.place_hold(command)
        if isinstance(command, ReleaseHold):
            return self.release_hold(command)
        if isinstance(command, EvacuateZone):
            return self.set_evacuated(command.zone, True)
        if isinstance(command, WithdrawEvacuation):
            return self.set_evacuated(command.zone, False)
        return self.depart(command)

    def configure(self, command: Configure) -> bool:
        """Store a configuration if it is newer."""
        if command.version <= self.version:
            return False
        self.version = command.version
        self.body = command.body
        return True

    def name_version(self, command: NameVersion) -> bool:
        """Store a version of weights if it is newer."""
        if command.version <= self.named.get(command.model, 0):
            return False
        self.named[command.model] = command.version
        return True

    def depart(self, command: Depart) -> bool:
        """Record the state of a departing instance; `GONE` is final."""
        previous = self.departed.get(command.instance)
        if previous == command.state or previous == fleet.GONE:
            return False
        self.departed.pop(command.instance, None)
        self.departed[command.instance] = command.state
        while len(self.departed) > DEPARTED_MAX:
            del self.departed[next(iter(self.departed))]
        return True

    def place_hold(self, command: PlaceHold) -> bool:
        """Place a hold on a request, unless this one or a later one is recorded."""
        previous = self.held.pop(command.fingerprint, None)
        if previous is not None and command.times <= previous.hold.times:
            self.held[command.fingerprint] = previous
            return False
        hold = crash_tracker.Hold(command.times, crash_tracker.HoldState.HELD)
        self.held[command.fingerprint] = HeldRequest(
            command.label, command.instances, hold, command.account
        )
        while len(self.held) > HELD_REQUESTS_MAX:
            del self.held[next(iter(self.held))]
        return True

    def release_hold(self, command: ReleaseHold) -> bool:
        """Release a hold if it is the current one of the request."""
        held = self.held.get(command.fingerprint)
        hold = crash_tracker.Hold(command.times, command.state)
        if held is None or held.hold.times != command.times or hold <= held.hold:
            return False
        held.hold = hold
        return True

    def set_evacuated(self, zone: str, is_evacuated: bool) -> bool:
        """Add a zone to the evacuated ones, or remove it, unless that is already so.

        Control VMs accept only the zones in their settings, which bounds the number of zones.
        """
        if (zone in self.evacuated) == is_evacuated:
            return False
        if is_evacuated:
            self.evacuated.append(zone)
        else:
            self.evacuated.remove(zone)
        self.evacuation_revision += 1
        return True
