"""When the collector polls which node, so that polls of hundreds of nodes are spread evenly.  No I/O.

Each node is polled at its own offset within the period, drawn once from the seed.  A node that has more lines is polled
again at once, one whose poll failed at its offset in the next period.  Over all nodes, polls are at least
``1 / per_second`` apart.  What is collected of a node is at most a period old, and its age is known (``until`` of the
last span collected).
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Poll:
    """A poll of a node, not before a time in nanoseconds."""

    node: str
    at: int


class CollectionSchedule:
    """The polls of all nodes; ``period`` in nanoseconds."""

    def __init__(self, nodes: Iterable[str], period: int, per_second: float, now: int, seed: int = 0) -> None:
        rng = random.Random(seed)
        self._period, self._gap = period, int(SECOND / per_second)
        self._due: list[tuple[int, int, str]] = []
        self._order = 0
        self._next_free = now
        self._scheduled: dict[str, int] = {}  # of polls under way
        for node in nodes:
            self._push(now + int(rng.random() * period), node)

    def _push(self, at: int, node: str) -> None:
        self._order += 1
        heapq.heappush(self._due, (at, self._order, node))

    def next(self) -> Poll | None:
        """Return the next poll, which then counts as under way; None while every node's is under way."""
        if not self._due:
            return None
        at, _, node = heapq.heappop(self._due)
        self._scheduled[node] = at
        self._next_free = max(self._next_free, at) + self._gap
        return Poll(node, self._next_free - self._gap)

    def ended(self, node: str, now: int, more: bool) -> None:
        """Handle the end of a poll; ``more`` is whether the node has more lines than the answer held."""
        scheduled = self._scheduled.pop(node)
        if more:
            self._push(now, node)
            return
        missed = max(0, now - scheduled) // self._period  # a suspended collector does not repeat the polls it missed
        self._push(scheduled + (missed + 1) * self._period, node)
