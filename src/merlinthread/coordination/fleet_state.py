"""The state machine of a deployment's replicated log: configuration, weights, and who has left.

Every replica applies the same commands in the same order; nothing here looks at a clock. The policy
is "highest version wins": a configuration that is not newer changes nothing and is acknowledged,
since the order that it carries was overtaken.
"""

import dataclasses

from merlinthread import registry
from merlinthread.coordination import fleet

COMMANDS: registry.Registry[type] = registry.Registry("fleet command")

DEPARTED_KEPT = 4096


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


Command = Configure | NameVersion | Depart


@dataclasses.dataclass(slots=True)
class FleetState:
    """What the control VMs agree on."""

    version: int = 0
    body: bytes = b""
    named: dict[str, int] = dataclasses.field(default_factory=dict)
    departed: dict[str, str] = dataclasses.field(default_factory=dict)

    def apply(self, command: Command) -> bool:
        """Take one committed command in; return whether it changed anything."""
        if isinstance(command, Configure):
            return self.configure(command)
        if isinstance(command, NameVersion):
            return self.name_version(command)
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
