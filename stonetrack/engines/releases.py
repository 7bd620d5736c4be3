"""When to try a release again, without I/O.

A state that nobody will fetch holds a reader's memory, so it is let go within ``within`` nanoseconds of the decision,
also where the reader can't be reached for a moment: tries follow each other at doubling pauses, and go on a while past
the bound (late is better than never), up to ``give_up``.  Bounded: past ``most`` open releases the oldest is dropped
and counted.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

MS = 1_000_000
FIRST_PAUSE, LONGEST_PAUSE = 20 * MS, 1_000 * MS


@dataclass(slots=True)
class Item:
    """One thing to be let go of at one engine."""

    request: str
    server: str
    number: int  # last attempt it is for
    state: dict[str, Any] | None  # None for a place
    decided: int
    tries: int = 0


class ReleaseBook:
    """Releases that are still open."""

    def __init__(self, give_up: int, most: int = 10_000) -> None:
        self.give_up = give_up
        self.most = most
        self.dropped = 0  # given up or pushed out
        self._items: OrderedDict[int, Item] = OrderedDict()
        self._heap: list[tuple[int, int]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: Item) -> int:
        """Note a release, due at once; its number."""
        self._count += 1
        self._items[self._count] = item
        heapq.heappush(self._heap, (item.decided, self._count))
        if len(self._items) > self.most:
            self._items.popitem(last=False)
            self.dropped += 1
        return self._count

    def due(self, now: int) -> tuple[int, Item] | None:
        """The next release to try, taken out until :meth:`done` or :meth:`again`."""
        while self._heap and self._heap[0][0] <= now:
            _, number = heapq.heappop(self._heap)
            if (item := self._items.get(number)) is not None:
                item.tries += 1
                return number, item
        return None

    def next_at(self) -> int | None:
        """When something is due next."""
        return self._heap[0][0] if self._heap else None

    def done(self, number: int) -> None:
        """It was let go of, or the engine knows nothing of it."""
        self._items.pop(number, None)

    def again(self, number: int, now: int) -> bool:
        """It failed; whether it will be tried again."""
        item = self._items.get(number)
        if item is None:
            return False
        pause = min(FIRST_PAUSE << min(item.tries - 1, 10), LONGEST_PAUSE)
        if now + pause > item.decided + self.give_up:
            self.done(number)
            self.dropped += 1
            return False
        heapq.heappush(self._heap, (now + pause, number))
        return True
