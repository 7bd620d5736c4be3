"""A hierarchical timer wheel (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987), without a clock.

The problem: timers that are nearly always cancelled or moved before they are due (a deadline for each of many jobs).  A
heap pays for each a logarithm and can't take one out; a wheel pays a constant for adding and cancelling.

Time is cut into ticks.  Level 0 has a slot for each of the next 256 ticks, level 1 one for each 256 of those, and so
on: four levels reach 2**32 ticks (at 1 ms, 49 days); what is due later waits in the last slot and is looked at again
then.  When level 0 comes round, one slot of level 1 is dealt out over it.  Empty slots are skipped by a bit set for
each level, so that a long sleep costs no more than a short one.

Invariants: a timer is given out once, never before its due time, by :meth:`TimerWheel.advance` in the order of due time
and, where that is equal, of adding; the slots' bits are set exactly where a slot holds a timer (cancelled ones
included).
Cost: add and cancel O(1); advance O(timers given out + levels for each); each timer is moved at most thrice.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
BITS = 8
SLOTS = 1 << BITS
MASK = SLOTS - 1
LEVELS = 4
REACH = 1 << (BITS * LEVELS)  # ticks


@dataclass(slots=True, eq=False)
class Timer(Generic[T]):
    """A timer that was added; nanoseconds.  ``item`` is None once it was given out or cancelled."""

    due: int
    order: int
    item: T | None


class TimerWheel(Generic[T]):
    """Timers by due time.  ``tick`` is the grain in nanoseconds: a timer is given out up to one later."""

    def __init__(self, now: int, tick: int = 1_000_000) -> None:
        if tick < 1:
            raise ValueError(f"tick: {tick}; allowed: at least 1 ns")
        self.tick = tick
        self._at = now // tick  # ticks before this one are given out
        self._slots: list[list[list[Timer[T]]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self._bits = [0] * LEVELS
        self._order = 0
        self._live = 0

    def __len__(self) -> int:
        """Timers neither given out nor cancelled."""
        return self._live

    def add(self, due: int, item: T) -> Timer[T]:
        """Add a timer; one that is due already is given out at the next :meth:`advance`."""
        self._order += 1
        timer = Timer(due, self._order, item)
        self._live += 1
        self._place(timer)
        return timer

    def cancel(self, timer: Timer[T]) -> bool:
        """Take a timer back; whether it was still to come."""
        if timer.item is None:
            return False
        timer.item = None
        self._live -= 1
        return True

    def _place(self, timer: Timer[T]) -> None:
        ticks = max(-(-timer.due // self.tick), self._at)
        away = ticks - self._at
        if away < SLOTS:
            level = 0
        elif away < 1 << (2 * BITS):
            level = 1
        elif away < 1 << (3 * BITS):
            level = 2
        else:
            level = 3
            ticks = min(ticks, self._at + REACH - 1)
        index = ticks >> (BITS * level) & MASK
        self._slots[level][index].append(timer)
        self._bits[level] |= 1 << index

    def _take(self, level: int, index: int) -> list[Timer[T]]:
        found = self._slots[level][index]
        if found:
            self._slots[level][index] = []
            self._bits[level] &= ~(1 << index)
        return found

    def advance(self, now: int) -> list[T]:
        """Move to ``now`` and give out what is due, in order."""
        end = now // self.tick
        due: list[Timer[T]] = []
        while self._at <= end:
            index = self._at & MASK
            if index == 0:
                self._deal()
            ahead = self._bits[0] >> index
            if not ahead:  # nothing more before a slot of some level comes round
                self._at = min(self._round(), end + 1)
                continue
            self._at += (ahead & -ahead).bit_length() - 1
            if self._at > end:
                self._at = end + 1
                break
            due += self._take(0, self._at & MASK)
            self._at += 1
        if self._at & MASK == 0:
            self._deal()
        given = [timer for timer in due if timer.item is not None]
        given.sort(key=lambda timer: (timer.due, timer.order))
        items: list[T] = []
        for timer in given:
            if timer.item is not None:
                items.append(timer.item)
            timer.item = None
        self._live -= len(given)
        return items

    def _round(self) -> int:
        """The next tick at which a slot that holds timers is to be looked at, level 0's from its next round on."""
        found = self._at + REACH
        if self._bits[0]:
            found = (self._at | MASK) + 1
        for level in range(1, LEVELS):
            if bits := self._bits[level]:
                here = self._at >> (BITS * level)
                ahead = bits >> ((here & MASK) + 1)
                first = ahead or bits
                away = (first & -first).bit_length() - (0 if ahead else (here & MASK) - SLOTS + 1)
                found = min(found, (here + away) << (BITS * level))
        return found

    def _deal(self) -> None:
        """Level 0 has come round: the next slots of the levels above are dealt out."""
        for level in range(1, LEVELS):
            index = self._at >> (BITS * level) & MASK
            for timer in self._take(level, index):
                if timer.item is not None:
                    self._place(timer)
            if index:
                return

    def next_due(self) -> int | None:
        """A time in nanoseconds before which nothing is due; None where nothing waits.  It may be early, never late."""
        if not self._live:
            return None
        index = self._at & MASK
        if ahead := self._bits[0] >> index:
            return (self._at + (ahead & -ahead).bit_length() - 1) * self.tick
        return self._round() * self.tick
