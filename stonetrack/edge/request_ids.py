"""Requests' ids under way and of late, so that none is served twice.  No I/O, no clock.

Every request carries a new id, and so does a client's retry: an id that comes again is not its client's.  Served as a
request of its own it would be taken for the first one by engines: they keep states and places by id.
"""

from __future__ import annotations

from collections import OrderedDict

SECOND = 1_000_000_000
RETENTION_NS = 60 * SECOND  # longer than any attempt, state or place of a request lasts
MAX_IDS = 4_096  # ids remembered; past that the oldest are forgotten first


class RecentRequestIds:
    """The ids taken so far; times in nanoseconds of one clock.  Not safe for several threads."""

    def __init__(self) -> None:
        self._taken: OrderedDict[str, int] = OrderedDict()  # when each came, oldest first

    def __len__(self) -> int:
        return len(self._taken)

    def add(self, request: str, now: int) -> bool:
        """Take an id; False where it was taken of late."""
        while self._taken and (now - next(iter(self._taken.values())) > RETENTION_NS or len(self._taken) >= MAX_IDS):
            self._taken.popitem(last=False)
        if request in self._taken:
            return False
        self._taken[request] = now
        return True
