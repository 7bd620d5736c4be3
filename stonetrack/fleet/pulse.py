"""How long work stood ready and had no processor, so that a judge can tell a late node from a late machine.

Linux counts the time in which at least one task waited for a processor (``some`` of ``/proc/pressure/cpu``, the
kernel's accounting/psi) and the time that a virtual machine's host took from it (``steal`` of ``/proc/stat``,
proc(5)).  Whatever a request went through, it went through one thing after another: the machine can't have held it up
for longer than somebody waited during its life.  So that time, and no more, is added to what a rule allows.  What
threads of one interpreter wait for each other is no waiting for a processor: it stays the program's own fault.

What the host takes is counted for each processor apart, and the most of any one is what counts: the sum over all of
them would forgive ten times what any request can have waited (seen: 1.4 s of 2.4 s on ten processors that were idle for
nine tenths of the time, under which a judge let a reservation pass that had been held for 2.6 s).
"""

from __future__ import annotations

import os
import re
import threading
import time
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

EVERY = 0.05  # seconds from one look to the next
PROBE = 1.0  # seconds of work that tell whether it is run
RUN_SHARE = 0.95  # of them that it has to be given
PRESSURE = Path("/proc/pressure/cpu")
STAT = Path("/proc/stat")
STEAL = 8  # the field of a line of /proc/stat
PROCESSOR = re.compile("cpu[0-9]+ ")  # begins the line of one processor there
SECOND = 1_000_000_000


class Waits:
    """Time waited, as looks at a counter that only grows: (when, counter) in nanoseconds, in order."""

    def __init__(self, looks: Sequence[tuple[int, int]] = ()) -> None:
        self._when = [when for when, _ in looks]
        self._count = [count for _, count in looks]

    def held(self, since: int, until: int) -> int:
        """Nanoseconds waited between two times; never more than passed between them, 0 where nothing is known."""
        if not self._when or until <= since:
            return 0
        return min(until - since, max(0, self._at(until) - self._at(since)))

    def share(self) -> float:
        """The share of all time looked at in which somebody waited."""
        span = self._when[-1] - self._when[0] if self._when else 0
        return self.held(self._when[0], self._when[-1]) / span if span else 0.0

    def _at(self, when: int) -> int:
        """The counter at a time, drawn straight between two looks."""
        n = bisect_right(self._when, when)
        if n == 0:
            return self._count[0]
        if n == len(self._when):
            return self._count[-1]
        begin, end = self._when[n - 1], self._when[n]
        return self._count[n - 1] + (self._count[n] - self._count[n - 1]) * (when - begin) // max(end - begin, 1)


@dataclass(frozen=True, slots=True)
class MachineWaits:
    """What work waited for on a whole machine: for a processor at all, and for the host to give one back."""

    pressure: Waits
    stolen: tuple[Waits, ...]  # by processor

    def held(self, since: int, until: int) -> int:
        """Nanoseconds by which something may have been held up between two times; never more than passed."""
        stolen = max((each.held(since, until) for each in self.stolen), default=0)
        return min(max(0, until - since), self.pressure.held(since, until) + stolen)

    def share(self) -> float:
        """The share of all time looked at in which somebody waited."""
        return min(1.0, self.pressure.share() + max((each.share() for each in self.stolen), default=0.0))


@dataclass(frozen=True, slots=True)
class _Look:
    """The machine's counters at one time; all in nanoseconds."""

    when: int
    pressure: int
    stolen: tuple[int, ...]


class Pulse:
    """Looks at the machine's counters until it is ended; a context manager."""

    def __init__(self) -> None:
        self._looks: list[_Look] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="pulse", daemon=True)

    def start(self) -> None:
        """Begin to look."""
        self._thread.start()

    def stop(self) -> None:
        """Look once more and end."""
        self._stop.set()
        self._thread.join(5.0)

    def __enter__(self) -> Pulse:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def waits(self) -> MachineWaits:
        """What was seen so far."""
        looks = list(self._looks)
        processors = min((len(look.stolen) for look in looks), default=0)
        stolen = (Waits([(look.when, look.stolen[n]) for look in looks]) for n in range(processors))
        return MachineWaits(Waits([(look.when, look.pressure) for look in looks]), tuple(stolen))

    def _run(self) -> None:
        while not self._stop.is_set():
            self._looks.append(_look())
            self._stop.wait(EVERY)
        self._looks.append(_look())


def wait_for_processors(seconds: float) -> bool:
    """Wait, for so long at most, until work that stands ready is run; whether it is.

    Only work shows that: a machine at rest waits for nothing, however much its host has to do."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        began, used = time.monotonic(), time.thread_time()
        while time.monotonic() < began + PROBE:
            pass
        if time.thread_time() - used >= RUN_SHARE * PROBE:
            return True
        time.sleep(PROBE)
    return False


def _look() -> _Look:
    return _Look(time.monotonic_ns(), _pressure(), _stolen())


def _pressure() -> int:
    """Nanoseconds since the machine's start in which somebody waited for a processor; 0 where that is not counted."""
    try:
        some = PRESSURE.read_text("ascii").splitlines()[0]
        return int(some.rpartition("total=")[2]) * 1_000
    except (OSError, ValueError, IndexError):
        return 0  # an older kernel, or one built without it


def _stolen() -> tuple[int, ...]:
    """Nanoseconds since the machine's start that its host took of each processor; empty where that is not counted."""
    try:
        lines = [line.split() for line in STAT.read_text("ascii").splitlines() if PROCESSOR.match(line)]
        return tuple(int(line[STEAL]) * SECOND // os.sysconf("SC_CLK_TCK") for line in lines)
    except (OSError, ValueError, IndexError):
        return ()
