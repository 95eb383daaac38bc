"""The node processes, each on one asyncio event loop: control VM, entry and agent."""
