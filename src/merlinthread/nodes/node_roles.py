"""The roles that a node's process can have; each module of a node files its own under its name.

A process imports the modules of its own role only: that saves a tenth to a quarter of the processor
time of an entry's or agent's imports (process time on a busy machine, medians of three).
"""

import importlib
from collections.abc import Callable
from typing import Protocol

from merlinthread import registry
from merlinthread.nodes import dialect as dialects
from merlinthread.nodes import node_settings

MODULES = {
    "agent": "merlinthread.nodes.agent_node",
    "control": "merlinthread.nodes.control_node",
    "entry": "merlinthread.nodes.entry_node",
}


class Node(Protocol):
    """What the daemon does with a node; `tasks` never end by themselves."""

    tasks: list

    async def start(self) -> None:
        """Listen and start the tasks."""

    def reload(self, settings: node_settings.NodeSettings) -> None:
        """Take over what may change without a restart."""

    async def stop(self) -> None:
        """End as planned."""


Maker = Callable[[node_settings.NodeSettings, dialects.Dialect], Node]

NODES: registry.Registry[Maker] = registry.Registry("role")


def factory_for(role: str) -> Maker:
    """Return what makes a node of a role; raise KeyError for a role that there is not."""
    importlib.import_module(MODULES[role])
    return NODES.get(role)
