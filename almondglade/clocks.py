"""Clocks other than `time.monotonic`."""

import time


def boottime_clock():
    """Return seconds since boot, including time that the host was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
