"""Clocks beside the steady one."""

import time


def boottime_clock():
    """Return seconds that also count while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
