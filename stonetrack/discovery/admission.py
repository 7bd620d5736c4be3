"""Who is answered when, and who is sent away: a list service that is asked by a whole fleet at once.  No I/O.

Documents leave at the pace that the service bears, one after another (``per_second`` whole lists; changes cost what
their size is of a whole one).  Who comes while others wait gets the next free moment, unless the wait would be longer
than ``most`` whole lists take: then it is told when to come again.  That moment is past all that wait, and past all
that were told a moment before it, so that those sent away come back one after another and are served then: a service
that tells all of them the same second calls the next crowd.

A node has one place at a time.  Its second question while the first waits goes behind everybody else's, and a third is
turned away, so that a node that asks in a loop takes no other's place.  Who would have waited for news (a long poll)
can wait for its turn as well: only the others are sent away when the queue is long.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

SECOND = 1_000_000_000
LEAST_COST = 0.02  # of a whole list: no answer is cheaper, however short
PLACES = 2  # of one node


@dataclass(frozen=True, slots=True)
class Admitted:
    """Answer at this time (nanoseconds)."""

    send_at: int


@dataclass(frozen=True, slots=True)
class RetryLater:
    """Turned away; seconds until there is room, at least 1."""

    retry_after_s: int


class AdmissionQueue:
    """See the module."""

    def __init__(self, per_second: float, most: float) -> None:
        self._each = SECOND / per_second  # nanoseconds of a whole list
        self._most = int(most * self._each)
        self._apart = int(SECOND / most)  # no more are told the same second than may wait
        self._free = 0  # when the last one given a turn has been served
        self._told = 0  # the last moment that somebody was told to come at
        self._places: Counter[str] = Counter()
        self.rejected = 0

    def admit(self, now: int, node: str, cost: float, patience: int = 0) -> Admitted | RetryLater:
        """A turn for an answer that costs so much of a whole list; ``patience`` is how much longer than ``most`` it may
        wait, in nanoseconds.

        :meth:`done` must be called for every turn given.
        """
        took = int(max(cost, LEAST_COST) * self._each)
        at = max(now, self._free)
        places = self._places[node] if node else 0
        if places >= PLACES or at - now > self._most + patience - places * self._most // PLACES:
            return self._come_again(now, took)
        self._free = at + took
        if node:
            self._places[node] += 1
        return Admitted(at)

    def done(self, node: str) -> None:
        """The answer is out, or its node has gone."""
        if node:
            self._places[node] -= 1
            if self._places[node] <= 0:
                del self._places[node]

    def _come_again(self, now: int, took: int) -> RetryLater:
        self.rejected += 1
        self._told = max(self._told, self._free, now) + max(took, self._apart)
        return RetryLater(max(1, -(-(self._told - now) // SECOND)))
