"""What the fleet's steward says of engines that it can't reach, as a hint.  No I/O.

One prober in place of hundreds: the word comes with the list, so it costs nothing between changes.  It is a hint: it
counts only while it is young, once for each time that an engine began to fail, and never against what this node saw
itself after that.  A hint that counts is handed to the router as a probe that failed; what follows from it, and for how
many engines at most, is the module's.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from stonetrack.engines.server_list import EngineEntry

SECOND = 1_000_000_000
MAX_AGE = 30 * SECOND  # since the engine began to fail


class FailureHints:
    """Which hints count.  ``good_at`` tells when this node last had a good outcome at an engine, on ``now``'s clock."""

    def __init__(self, good_at: Callable[[str], int]) -> None:
        self._good_at = good_at
        self._heard: dict[str, float] = {}

    def select(self, lines: Mapping[str, EngineEntry], now: int) -> list[str]:
        """The engines of a list that a hint counts against now."""
        count = []
        for name, line in lines.items():
            if line.failing and line.failing != self._heard.get(name) and self._counts(name, line.failing, now):
                count.append(name)
        self._heard = {name: line.failing for name, line in lines.items() if line.failing}
        return count

    def _counts(self, name: str, failing: float, now: int) -> bool:
        since = int(failing * SECOND)
        return now - since <= MAX_AGE and self._good_at(name) <= since


def last_success_lookup(servers: Callable[[], Mapping[str, object]]) -> Callable[[str], int]:
    """When a router last had a good outcome at a server, from its table; 0 for one that it does not know."""
    return lambda name: int(getattr(servers().get(name), "success_at", 0))
