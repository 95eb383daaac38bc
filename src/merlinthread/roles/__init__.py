"""Roles of the daemon, each with its own threads, sockets and state."""
