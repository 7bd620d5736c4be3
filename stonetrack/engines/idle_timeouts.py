"""For how long a kept connection to an engine may be used, learned for each engine.  No I/O.

Engines close connections that rest, each after a time of its own (5 s with some servers, minutes with others), and a
request written in that very moment is reset without anybody knowing whether it ran.  So a node must stop using a
connection before its engine closes it, and without being told it may not use it for long.  Alone that costs little.  In
a fleet of N nodes each asks an engine N times less often than the fleet does: the time between two requests of one node
to one engine grows past any fixed time with N, and nearly every request then opens a connection.

What is learned: an engine that has left a connection open that rested for so long will leave others open as long, so
connections are used up to ``SHARE`` of the longest rest seen; once one was found closed, up to ``SHARE`` of that rest,
never less than the usual time.  Connections past the time for use are kept, unused, to see what the engine does.  An
engine that shortens its time later is found by the next close; an engine that is started anew is learned anew (its
connections close in whatever rest they are, so a close below the usual time teaches nothing).
"""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]
SHARE = 0.8
FORGET = 600.0  # seconds for which a close is remembered: it may have been a crash


@dataclass(slots=True)
class _Seen:
    """One engine's connections."""

    open: float = 0.0  # longest rest that one was seen open after
    closed: float = 0.0  # shortest rest that one was found closed after; 0: none
    at: float = 0.0  # when that was


class IdleTimeouts:
    """Seconds of rest, by engine; ``usual`` is good for every engine, ``most`` bounds what is learned."""

    def __init__(self, usual: float, most: float) -> None:
        self.default, self.maximum = usual, max(usual, most)
        self._seen: dict[Address, _Seen] = {}

    @property
    def adaptive(self) -> bool:
        """Whether there is anything to learn."""
        return self.maximum > self.default

    def observe_open(self, address: Address, rest: float) -> None:
        """A connection that has rested for so long is open."""
        seen = self._seen.setdefault(address, _Seen())
        seen.open = max(seen.open, rest)

    def observe_closed(self, address: Address, rest: float, now: float) -> None:
        """A connection was found closed by its engine after so long a rest."""
        seen = self._seen.setdefault(address, _Seen())
        if rest <= self.default:
            return
        if not self._closed(seen, now) or rest < seen.closed:
            seen.closed, seen.at = rest, now
        seen.open = min(seen.open, rest)

    def reuse_limit(self, address: Address, now: float) -> float:
        """For how long a rest a connection may be used again."""
        seen = self._seen.get(address)
        if seen is None:
            return self.default
        learned = SHARE * seen.open
        if closed := self._closed(seen, now):
            learned = min(learned, SHARE * closed)
        return min(self.maximum, max(self.default, learned))

    @staticmethod
    def _closed(seen: _Seen, now: float) -> float:
        return seen.closed if seen.closed and now - seen.at < FORGET else 0.0

    def retain(self, keep: set[Address]) -> None:
        """Other addresses are gone."""
        self._seen = {address: seen for address, seen in self._seen.items() if address in keep}
