"""The clock for ages, leases and deadlines, which advances while a VM is suspended.

The monotonic clock and the timers of an event loop stop during suspension, so a lease that they
measure could still seem valid after a resume.
"""

import time

from merlinthread import errors


def now() -> float:
    """Return the time since the VM was booted in seconds, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def check_platform() -> None:
    """Raise SettingsError if the platform has no clock that advances during suspension."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        raise errors.SettingsError(
            "this platform has no CLOCK_BOOTTIME, which advances while a VM is suspended; "
            "run the nodes on Linux"
        )
