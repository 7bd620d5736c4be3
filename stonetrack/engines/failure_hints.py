"""Hints from the fleet's controller about engines that it can't reach.  No I/O.

One prober replaces hundreds: the hint is part of the server list, so it costs nothing between changes.  A hint applies
only while it is recent, once for each time that an engine began to fail, and never if this node itself had a success at
the engine after that.  The router gets a hint that applies as a failed probe; the router decides what follows from it,
and for how many engines at most.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from stonetrack.engines.server_list import EngineEntry

SECOND = 1_000_000_000
MAX_AGE_NS = 30 * SECOND  # since the engine began to fail


class FailureHints:
    """Decides which hints apply.

    ``last_success`` returns when this node last had a success at an engine, in nanoseconds on the clock of ``now``.
    """

    def __init__(self, last_success: Callable[[str], int]) -> None:
        self._last_success = last_success
        self._failing_since: dict[str, float] = {}

    def select(self, entries: Mapping[str, EngineEntry], now: int) -> list[str]:
        """The engines of a list that a hint applies to now; ``now`` in nanoseconds of Unix time."""
        selected = []
        for name, entry in entries.items():
            if (
                entry.failing
                and entry.failing != self._failing_since.get(name)
                and self._applies(name, entry.failing, now)
            ):
                selected.append(name)
        self._failing_since = {name: entry.failing for name, entry in entries.items() if entry.failing}
        return selected

    def _applies(self, name: str, failing: float, now: int) -> bool:
        failing_since = int(failing * SECOND)
        return now - failing_since <= MAX_AGE_NS and self._last_success(name) <= failing_since


def last_success_lookup(servers: Callable[[], Mapping[str, object]]) -> Callable[[str], int]:
    """Returns a lookup of a router's last success at a server, in its table; 0 for an unknown server."""
    return lambda name: int(getattr(servers().get(name), "success_at", 0))
