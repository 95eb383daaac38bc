"""The daemon's roles: tasks that own their sockets and state and put the layers together."""
