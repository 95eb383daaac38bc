"""The registry of node roles; the module of each role registers its factory on import.

A process imports only the modules of its own role, to start faster.
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
    """A node as run by `NodeDaemon`; its `tasks` run until they are cancelled."""

    tasks: list

    async def start(self) -> None:
        """Start the servers and the background tasks."""

    def reload(self, settings: node_settings.NodeSettings) -> None:
        """Apply the settings that may change at run time."""

    async def stop(self) -> None:
        """Shut down gracefully."""


NodeFactory = Callable[[node_settings.NodeSettings, dialects.Dialect], Node]

NODES: registry.Registry[NodeFactory] = registry.Registry("role")


def factory_for(role: str) -> NodeFactory:
    """Return the factory for nodes of a role; raise KeyError for an unknown role."""
    importlib.import_module(MODULES[role])
    return NODES.get(role)
