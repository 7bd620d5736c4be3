"""When the collector asks which node, so that hundreds are asked evenly and none in step.  No I/O.

Each node has a moment of its own within the period, drawn once from the seed; a node that has more to tell is asked
again at once, one that fails at its moment in the next period.  Over all nodes no two questions are closer than
``1 / per_second``.  A node is behind by at most a period, and by how much is known (``until`` of what it told last).
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Question:
    """Ask this node, not before a time in nanoseconds."""

    node: str
    at: int


class CollectionSchedule:
    """See the module; ``every`` in nanoseconds."""

    def __init__(self, nodes: Iterable[str], every: int, per_second: float, now: int, seed: int = 0) -> None:
        draw = random.Random(seed)
        self._every, self._gap = every, int(SECOND / per_second)
        self._due: list[tuple[int, int, str]] = []
        self._order = 0
        self._free = now
        self._asked: dict[str, int] = {}
        for node in nodes:
            self._put(now + int(draw.random() * every), node)

    def _put(self, at: int, node: str) -> None:
        self._order += 1
        heapq.heappush(self._due, (at, self._order, node))

    def next(self) -> Question | None:
        """The next question; None while every node's is under way.  It counts as put from now on."""
        if not self._due:
            return None
        at, _, node = heapq.heappop(self._due)
        self._asked[node] = at
        self._free = max(self._free, at) + self._gap
        return Question(node, self._free - self._gap)

    def ended(self, node: str, now: int, more: bool) -> None:
        """A question's end; ``more`` where the node has more to tell than fitted."""
        was = self._asked.pop(node)
        if more:
            self._put(now, node)
            return
        behind = max(0, now - was) // self._every  # a collector that was stopped does not catch up on its questions
        self._put(was + (behind + 1) * self._every, node)
