"""Nodes on one event loop each: the control VM, the entry and the agent of a fed deployment."""
