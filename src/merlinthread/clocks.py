"""The clock of all that compares ages or deadlines.

It goes on while a VM is suspended. The steady clock stands still then, and with it the timers of
an event loop: a leader that woke up would find its lease still good, an entry its news fresh. So no
decision rests on a timer that fired; it may fire late.
"""

import time

from merlinthread import errors


def now() -> float:
    """Return the seconds since the VM was started, those of suspension with them."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def check_platform() -> None:
    """Raise SettingsError on a platform that has no such clock; another would mislead silently."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        raise errors.SettingsError(
            "this platform has no CLOCK_BOOTTIME, which goes on while a VM is suspended; "
            "run the nodes on Linux"
        )
