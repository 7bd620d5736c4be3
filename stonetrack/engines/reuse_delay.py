"""How long a connection has to be idle before it is reused.  No I/O.

If an engine closes connections right after its answers, the close arrives a moment later than the answer.  A request
that is written in between is reset, and whether it ran is unknown.  Once the close has arrived, the connection is
readable and is discarded without being reused.  So a connection that has been idle for longer than such a close takes
to arrive is safe, and so is a new connection; only those in between are not.

The same holds for a second answer that an engine sends behind a good one.  An HTTP/1.1 response does not name its
request, so a second answer that arrives after the next request was written is read as the answer to that request.  A
connection that was idle for ``MIN_DELAY_S`` after an answer without receiving anything may carry the next request.

After ``MIN_FAILURES`` requests on reused connections were reset within ``WINDOW_S``, connections have to be idle a
quarter longer than the longest idle time among these failures, up to ``MAX_DELAY_S``.  Younger ones stay in the pool,
and new connections are opened in the meantime.
"""

from __future__ import annotations

from collections import deque

MIN_DELAY_S = 0.1  # a second answer follows some milliseconds behind the first, later where the engine is held up
WINDOW_S = 20.0  # for which a failure is remembered
MIN_FAILURES = 2
MAX_DELAY_S = 1.0
_MAX_REMEMBERED = 16


class ReuseDelay:
    """Failures of requests on reused connections, and the delay that follows from them."""

    def __init__(self) -> None:
        self._failed: deque[tuple[float, float]] = deque(maxlen=_MAX_REMEMBERED)  # when, after which idle time

    def record_unanswered(self, now: float, idle: float) -> None:
        """A request on a connection that was idle for ``idle`` seconds was reset before any byte of its answer."""
        if idle <= MAX_DELAY_S:
            self._failed.append((now, idle))

    def learned(self, now: float) -> float:
        """Seconds for which a connection has to be idle because of recent failures; 0 without any."""
        if not self._failed:
            return 0.0
        idle_times = [idle for at, idle in self._failed if now - at < WINDOW_S]
        return min(max(idle_times) * 1.25 + 0.02, MAX_DELAY_S) if len(idle_times) >= MIN_FAILURES else 0.0
