"""How long a kept connection must have rested before a request is put on it.  No I/O.

An engine that closes a connection right after its answer does so a moment later than the answer: a request written in
between crosses the close and is reset, and nobody can tell whether it ran.  Once the close has arrived the connection
shows its end and is thrown away unused.  So a connection that has rested for longer than such closes take to arrive is
safe, a fresh one is as well, and only those in between are not.

Nothing is paid until it happens: while no request on a kept connection went unanswered, none needs rest.  After
``LEAST`` of them within ``SPAN``, connections rest a quarter longer than the longest of those had, ``MOST`` at most;
what has rested less stays kept, and a new connection is opened meanwhile.
"""

from __future__ import annotations

from collections import deque

SPAN = 20.0  # seconds for which an unanswered request is remembered
LEAST = 2
MOST = 1.0  # seconds
_KEPT = 16


class ReuseDelay:
    """What requests on kept connections came to."""

    def __init__(self) -> None:
        self._failed: deque[tuple[float, float]] = deque(maxlen=_KEPT)  # when, after how long a rest

    def record_unanswered(self, now: float, age: float) -> None:
        """A request on a connection that had rested for ``age`` seconds was reset before a byte of an answer."""
        if age <= MOST:
            self._failed.append((now, age))

    def required(self, now: float) -> float:
        """Seconds that a connection must have rested; 0 while there is no cause."""
        if not self._failed:
            return 0.0
        ages = [age for at, age in self._failed if now - at < SPAN]
        return min(max(ages) * 1.25 + 0.02, MOST) if len(ages) >= LEAST else 0.0
