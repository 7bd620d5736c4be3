"""A hierarchical timer wheel (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987), without a clock.

The problem: timers that are nearly always cancelled or moved before they are due (a deadline for each of many jobs).  A
heap costs O(log n) for each timer and does not support removal; a wheel adds and cancels in constant time.

Time is divided into ticks.  Level 0 has a slot for each of the next 256 ticks, level 1 one for each 256 of those, and
so on: four levels cover 2**32 ticks (49 days at 1 ms); a timer that is due later waits in the last slot and is inserted
again when that slot is reached.  When level 0 completes a round, one slot of level 1 is redistributed to it (cascaded).
A bit set for each level skips empty slots, so that a long advance costs no more than a short one.

Invariants: a timer expires once, never before its due time; :meth:`TimerWheel.advance` returns timers in the order of
due time and, for equal times, of adding; a slot's bit is set exactly if the slot holds a timer (cancelled ones
included). Cost: add and cancel O(1); advance O(expired timers + levels for each); each timer is moved at most three
times.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
SLOT_BITS = 8
SLOTS = 1 << SLOT_BITS
SLOT_MASK = SLOTS - 1
LEVELS = 4
RANGE_TICKS = 1 << (SLOT_BITS * LEVELS)


@dataclass(slots=True, eq=False)
class Timer(Generic[T]):
    """An added timer; ``due`` in nanoseconds.  ``item`` is None once the timer has expired or was cancelled."""

    due: int
    sequence: int
    item: T | None


class TimerWheel(Generic[T]):
    """Timers by due time.  ``tick`` is the resolution in nanoseconds: a timer may expire up to one tick late."""

    def __init__(self, now: int, tick: int = 1_000_000) -> None:
        if tick < 1:
            raise ValueError(f"tick: {tick}; allowed: at least 1 ns")
        self.tick = tick
        self._next_tick = now // tick  # all earlier ticks have been processed
        self._slots: list[list[list[Timer[T]]]] = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self._occupied = [0] * LEVELS
        self._sequence = 0
        self._pending = 0

    def __len__(self) -> int:
        """Number of timers that have neither expired nor been cancelled."""
        return self._pending

    def add(self, due: int, item: T) -> Timer[T]:
        """Add a timer; one that is already due expires at the next :meth:`advance`."""
        self._sequence += 1
        timer = Timer(due, self._sequence, item)
        self._pending += 1
        self._insert(timer)
        return timer

    def cancel(self, timer: Timer[T]) -> bool:
        """Cancel a timer.  Returns whether it was pending."""
        if timer.item is None:
            return False
        timer.item = None
        self._pending -= 1
        return True

    def _insert(self, timer: Timer[T]) -> None:
        due_tick = max(-(-timer.due // self.tick), self._next_tick)
        distance = due_tick - self._next_tick
        if distance < SLOTS:
            level = 0
        elif distance < 1 << (2 * SLOT_BITS):
            level = 1
        elif distance < 1 << (3 * SLOT_BITS):
            level = 2
        else:
            level = 3
            due_tick = min(due_tick, self._next_tick + RANGE_TICKS - 1)
        index = due_tick >> (SLOT_BITS * level) & SLOT_MASK
        self._slots[level][index].append(timer)
        self._occupied[level] |= 1 << index

    def _remove_slot(self, level: int, index: int) -> list[Timer[T]]:
        found = self._slots[level][index]
        if found:
            self._slots[level][index] = []
            self._occupied[level] &= ~(1 << index)
        return found

    def advance(self, now: int) -> list[T]:
        """Advance to ``now`` and return the items of the expired timers in order."""
        end = now // self.tick
        due: list[Timer[T]] = []
        while self._next_tick <= end:
            index = self._next_tick & SLOT_MASK
            if index == 0:
                self._cascade()
            occupied = self._occupied[0] >> index
            if not occupied:  # level 0 is empty up to its next round
                self._next_tick = min(self._next_occupied_tick(), end + 1)
                continue
            self._next_tick += (occupied & -occupied).bit_length() - 1
            if self._next_tick > end:
                self._next_tick = end + 1
                break
            due += self._remove_slot(0, self._next_tick & SLOT_MASK)
            self._next_tick += 1
        if self._next_tick & SLOT_MASK == 0:
            self._cascade()
        expired = [timer for timer in due if timer.item is not None]
        expired.sort(key=lambda timer: (timer.due, timer.sequence))
        items: list[T] = []
        for timer in expired:
            if timer.item is not None:
                items.append(timer.item)
            timer.item = None
        self._pending -= len(expired)
        return items

    def _next_occupied_tick(self) -> int:
        """The next tick at which an occupied slot is to be examined; level 0 counts from its next round on."""
        found = self._next_tick + RANGE_TICKS
        if self._occupied[0]:
            found = (self._next_tick | SLOT_MASK) + 1
        for level in range(1, LEVELS):
            if bits := self._occupied[level]:
                position = self._next_tick >> (SLOT_BITS * level)
                occupied = bits >> ((position & SLOT_MASK) + 1)
                first = occupied or bits
                distance = (first & -first).bit_length() - (0 if occupied else (position & SLOT_MASK) - SLOTS + 1)
                found = min(found, (position + distance) << (SLOT_BITS * level))
        return found

    def _cascade(self) -> None:
        """Level 0 has completed a round: redistribute the next slots of the levels above."""
        for level in range(1, LEVELS):
            index = self._next_tick >> (SLOT_BITS * level) & SLOT_MASK
            for timer in self._remove_slot(level, index):
                if timer.item is not None:
                    self._insert(timer)
            if index:
                return

    def next_due(self) -> int | None:
        """A time in nanoseconds before which no timer is due; None if none is pending.  It may be early, never late."""
        if not self._pending:
            return None
        index = self._next_tick & SLOT_MASK
        if occupied := self._occupied[0] >> index:
            return (self._next_tick + (occupied & -occupied).bit_length() - 1) * self.tick
        return self._next_occupied_tick() * self.tick
