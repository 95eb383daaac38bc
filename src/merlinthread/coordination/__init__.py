"""Decision logic without sockets, threads or clocks; the current time is an argument."""
