"""Admission control of a discovery service that a whole fleet queries at once: which node is answered when.  No I/O.

Documents are sent one after another at the configured rate (``per_second`` full lists; a document of changes costs its
share of a full list's size).  A request that arrives while others wait gets the next free time, unless it would wait
longer than ``most`` full lists take: then it is rejected with a time to retry.  That time is after all queued requests
and after all retry times given before, so that rejected nodes return one after another and are served then; the same
second for all of them would cause the next overload.

The queue is fair between nodes: a node's second request waits behind all other nodes', and a third one is rejected, so
that a node that asks in a loop takes no capacity from others.  A long poll can also wait for its turn (``patience``):
only the others are rejected when the queue is long.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

SECOND = 1_000_000_000
MIN_COST = 0.02  # of a full list: the cost of the shortest answer
MAX_PER_NODE = 2  # queued requests


@dataclass(frozen=True, slots=True)
class Admitted:
    """Answer the request at this time, in nanoseconds."""

    send_at: int


@dataclass(frozen=True, slots=True)
class RetryLater:
    """The request is rejected; it may be repeated after this many seconds, at least 1."""

    retry_after_s: int


class AdmissionQueue:
    """Schedules answers of a discovery service at a limited rate."""

    def __init__(self, per_second: float, most: float) -> None:
        self._list_duration = SECOND / per_second  # nanoseconds for a full list
        self._max_wait = int(most * self._list_duration)
        self._retry_spacing = int(SECOND / most)  # no more requests get the same retry second than may wait
        self._free_at = 0  # when the last admitted request will have been served
        self._last_retry = 0  # the latest retry time given
        self._queued: Counter[str] = Counter()
        self.rejected = 0

    def admit(self, now: int, node: str, cost: float, patience: int = 0) -> Admitted | RetryLater:
        """Schedule an answer that costs this share of a full list; ``patience`` is how much longer than ``most`` it may
        wait, in nanoseconds.

        :meth:`done` must be called for every admitted request.
        """
        duration = int(max(cost, MIN_COST) * self._list_duration)
        at = max(now, self._free_at)
        queued = self._queued[node] if node else 0
        if queued >= MAX_PER_NODE or at - now > self._max_wait + patience - queued * self._max_wait // MAX_PER_NODE:
            return self._reject(now, duration)
        self._free_at = at + duration
        if node:
            self._queued[node] += 1
        return Admitted(at)

    def done(self, node: str) -> None:
        """The answer was sent, or its client has disconnected."""
        if node:
            self._queued[node] -= 1
            if self._queued[node] <= 0:
                del self._queued[node]

    def _reject(self, now: int, duration: int) -> RetryLater:
        self.rejected += 1
        self._last_retry = max(self._last_retry, self._free_at, now) + max(duration, self._retry_spacing)
        return RetryLater(max(1, -(-(self._last_retry - now) // SECOND)))
