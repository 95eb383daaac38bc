"""Decisions as pure parts: no sockets, no threads, the present time is an argument."""
