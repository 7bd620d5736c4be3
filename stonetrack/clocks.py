"""The clocks.  This is the only module that reads the wall clock.

Every span (deadlines, windows, waits, leases, idle times, back-offs) runs on the monotonic clock, ``time.monotonic``.
The wall clock may be stepped by an hour either way at any moment.  It is read for timestamps in records, and once at
the start of a process for :func:`node_clock`, since lists give engines' starts as Unix time
(``engines/start_times.py`` says how far that is trusted).
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

CLOCK_OFFSET_VARIABLE = "STONETRACK_RIG_CLOCK_MS"  # the fleet's test harness sets a process's wall clock apart by this
_MS = 1_000_000


def wall_time_ns() -> int:
    """Unix time in nanoseconds, for timestamps only."""
    return time.time_ns()


def wall_time() -> float:
    """Unix time in seconds, for timestamps only."""
    return time.time()


def wall_clock_offset_ns() -> int:
    """By how much the test harness sets this process's wall clock apart; 0 outside of it."""
    return int(os.environ.get(CLOCK_OFFSET_VARIABLE, "0")) * _MS


def node_clock() -> Callable[[], int]:
    """A clock in nanoseconds that begins at Unix time and then follows the monotonic clock, whatever is stepped."""
    offset = wall_time_ns() - time.monotonic_ns() + wall_clock_offset_ns()
    monotonic = time.monotonic_ns
    return lambda: offset + monotonic()
