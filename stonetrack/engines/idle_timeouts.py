"""How long an idle connection to an engine may be reused, learned for each engine.  No I/O.

Engines close idle connections, each after its own timeout (5 s with some servers, minutes with others).  A request that
is written at that moment is reset, and whether it ran is unknown.  So a node has to stop reusing a connection before
its engine closes it; without knowing the engine's timeout it may reuse connections for a short time only.  For a single
node that costs little.  In a fleet of N nodes each node sends an engine 1/N of the fleet's requests: the time between
two requests of one node to one engine grows with N beyond any fixed timeout, and nearly every request then opens a new
connection.

Learning: an engine that left a connection open after some idle time leaves others open as long.  So connections are
reused up to ``SHARE`` of the longest idle time after which one was still open; after a close was observed, up to
``SHARE`` of the idle time at that close; and always up to the default.  Connections beyond the limit are kept without
being reused, to observe the engine.  If an engine shortens its timeout, the next close shows it.  A restarted engine
closes its connections after any idle time, so a close below the default is ignored.
"""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]
SHARE = 0.8
CLOSE_MEMORY_S = 600.0  # a close is forgotten after this time, because it may have been a crash


@dataclass(slots=True)
class _Observed:
    """What was observed of one engine's connections; times in seconds."""

    longest_open: float = 0.0  # longest idle time after which one was still open
    shortest_closed: float = 0.0  # shortest idle time after which one was closed; 0: none
    closed_at: float = 0.0  # when that close was observed


class IdleTimeouts:
    """Idle timeouts in seconds by engine, between ``default`` and ``maximum``."""

    def __init__(self, default: float, maximum: float) -> None:
        self.default, self.maximum = default, max(default, maximum)
        self._observed: dict[Address, _Observed] = {}

    @property
    def adaptive(self) -> bool:
        """Whether timeouts are learned at all."""
        return self.maximum > self.default

    def observe_open(self, address: Address, idle: float) -> None:
        """A connection is still open after ``idle`` seconds."""
        observed = self._observed.setdefault(address, _Observed())
        observed.longest_open = max(observed.longest_open, idle)

    def observe_closed(self, address: Address, idle: float, now: float) -> None:
        """The engine closed a connection within ``idle`` seconds."""
        observed = self._observed.setdefault(address, _Observed())
        if idle <= self.default:
            return
        if not self._recent_close(observed, now) or idle < observed.shortest_closed:
            observed.shortest_closed, observed.closed_at = idle, now
        observed.longest_open = min(observed.longest_open, idle)

    def reuse_limit(self, address: Address, now: float) -> float:
        """The idle time in seconds up to which a connection may be reused."""
        observed = self._observed.get(address)
        if observed is None:
            return self.default
        learned = SHARE * observed.longest_open
        if shortest_closed := self._recent_close(observed, now):
            learned = min(learned, SHARE * shortest_closed)
        return min(self.maximum, max(self.default, learned))

    @staticmethod
    def _recent_close(observed: _Observed, now: float) -> float:
        return (
            observed.shortest_closed if observed.shortest_closed and now - observed.closed_at < CLOSE_MEMORY_S else 0.0
        )

    def retain(self, addresses: set[Address]) -> None:
        """Forget all other addresses."""
        self._observed = {address: observed for address, observed in self._observed.items() if address in addresses}
