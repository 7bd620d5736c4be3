"""The clocks.  This is the only module that reads the wall clock.

Every duration (deadlines, windows, waits, leases, idle times, back-offs) runs on the monotonic clock,
``time.monotonic``.  The wall clock may be stepped by an hour in either direction at any moment.  It is read for
timestamps in records, and once at the start of a process for :func:`node_clock`, since server lists give the start
times of engines as Unix time (``engines/start_times.py`` says how far these are trusted).
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

CLOCK_OFFSET_VARIABLE = "STONETRACK_RIG_CLOCK_MS"  # set by the fleet's test harness
_MS = 1_000_000


def wall_time_ns() -> int:
    """Unix time in nanoseconds, for timestamps only."""
    return time.time_ns()


def wall_time() -> float:
    """Unix time in seconds, for timestamps only."""
    return time.time()


def wall_clock_offset_ns() -> int:
    """Offset that the fleet's test harness adds to this process's wall clock; 0 outside of tests."""
    return int(os.environ.get(CLOCK_OFFSET_VARIABLE, "0")) * _MS


def node_clock() -> Callable[[], int]:
    """A clock in nanoseconds that starts at Unix time and then follows the monotonic clock, unaffected by steps."""
    offset = wall_time_ns() - time.monotonic_ns() + wall_clock_offset_ns()
    monotonic = time.monotonic_ns
    return lambda: offset + monotonic()
