"""Ids of running and recent requests, so that no id is served twice.  No I/O, no clock.

Every request carries a new id, and so does a client's retry, so a repeated id is a client's mistake.  Engines key held
states and reservations by id: if the repeated request were served, they would confuse it with the first.
"""

from __future__ import annotations

from collections import OrderedDict

SECOND = 1_000_000_000
RETENTION_NS = 60 * SECOND  # longer than any attempt, held state or reservation of a request lasts
MAX_IDS = 4_096  # above that the oldest are dropped


class RecentRequestIds:
    """The ids added within ``RETENTION_NS``; times in nanoseconds of one clock.  Not thread-safe."""

    def __init__(self) -> None:
        self._added: OrderedDict[str, int] = OrderedDict()  # time of each id, oldest first

    def __len__(self) -> int:
        return len(self._added)

    def add(self, request: str, now: int) -> bool:
        """Add an id; returns False if it was added recently."""
        while self._added and (now - next(iter(self._added.values())) > RETENTION_NS or len(self._added) >= MAX_IDS):
            self._added.popitem(last=False)
        if request in self._added:
            return False
        self._added[request] = now
        return True
