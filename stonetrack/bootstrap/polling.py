"""When a node polls the discovery service, and for what: a state machine without I/O, one per process.

All nodes of a fleet run the same code and see the same events, so no delay is a fixed time after an event that all of
them see at once.

- A fleet of N nodes at a service that can send R whole lists per second needs N / R seconds.  That time, multiplied by
  ``SPREAD_MARGIN``, is the *spread*.  The first poll starts at a random time within it, and so does the first poll
  after a failure that all nodes may have seen at once.
- Each further failure is followed by a poll one *period* later.  The random offsets between nodes persist through an
  outage of any length, and the fleet returns evenly within one period of the service's recovery.  Exponential backoff
  would bring most nodes back late.  Delays drawn anew each time (full jitter) would bring most of them back early,
  because the remaining time of a random delay is not uniformly distributed.  For the same reason no new delay is drawn
  when the kind of failure changes.
- A period is at least ``FAILURE_PERIOD_NS`` if the poll costs the service something (a timeout, a reset, a document
  that can't be used), and at least ``UNREACHABLE_PERIOD_NS`` if nothing listens at its address, which costs it nothing.
- ``Retry-After`` is followed within bounds: the service can neither keep a node away for ever nor call all nodes back
  in the same second.  A good service gives each node a second of its own, so only a small random delay is added.  A bad
  one gives all nodes the same value, so the added delay doubles with each consecutive rejection, up to one period.
- An answer that arrives too early for a long poll (a service that reports "unchanged" at once, or versions that change
  without pause) consumes a small allowance; once that is used up, polls are one period apart.

Transitions::

    IDLE ──due──> POLLING ──accepted, unchanged──────────> IDLE (due at once, limited by the allowance)
                    │ ──rejected─────────────────────────> IDLE (Retry-After and a part of the spread)
                    │ ──unreachable──────────────────────> IDLE (random within the spread, then one period each)
                    └──failed, unusable document─────────> IDLE (the same; a period is at least FAILURE_PERIOD_NS)
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000
SPREAD_MARGIN = 1.1  # ratio of the spread to the time that the service needs for the whole fleet
FAILURE_PERIOD_NS = 20 * SECOND // 3  # minimum between polls that cost the service something: 0.15 per second
UNREACHABLE_PERIOD_NS = SECOND  # minimum between connection attempts while nothing listens
MAX_RETRY_AFTER_NS = 120 * SECOND
EARLY_SHARE = 0.5  # a long poll that is answered before this share of its wait counts as early
EARLY_ALLOWANCE = 3.0  # number of early answers that may be followed by a poll at once
MIN_WAIT_SHARE = 0.75  # the wait of a long poll is random between this share of the maximum and the maximum


@dataclass(frozen=True, slots=True)
class PollSettings:
    """Times in nanoseconds.

    ``nodes`` is the number of processes that poll, ``lists_per_second`` the whole lists that the service can send,
    ``max_wait`` the longest wait of a long poll (0 if the service has none; then ``interval`` separates the polls).
    """

    nodes: int
    lists_per_second: float
    max_wait: int
    interval: int = 0

    @property
    def spread(self) -> int:
        """Time in which the service can answer the whole fleet, with a margin."""
        return int(SPREAD_MARGIN * self.nodes / self.lists_per_second * SECOND)


@dataclass(frozen=True, slots=True)
class Poll:
    """Parameters of a poll: the version and its history (version -1 for a whole list), and the wait in nanoseconds."""

    after: int
    origin: str
    wait: int


class PollResult(Enum):
    """How a poll ended."""

    ACCEPTED = "taken"  # a document that is now in force, or equals the one in force
    UNCHANGED = "unchanged"
    REJECTED = "turned away"  # 429 or 503
    UNREACHABLE = "nobody listens"
    FAILED = "failed"  # a timeout, a reset, any other status
    UNUSABLE = "unfit"  # an invalid document, or an older one than the one in force


class PollScheduler:
    """Schedules the polls of one process; times in nanoseconds.

    Each node of a fleet needs an ``rng`` with a seed of its own.
    """

    def __init__(self, settings: PollSettings, rng: random.Random, now: int) -> None:
        self.settings, self._rng = settings, rng
        self._started_at = -1  # start of the poll in flight
        self._wait = 0
        self._allowance, self._allowance_at = EARLY_ALLOWANCE, now
        self._staggered = True  # ``due`` derives from a random time, so it differs from other nodes'
        self._answered = False  # the service has answered this process at least once
        self._rejections = 0  # consecutive
        self.due = now + self._random_delay(settings.spread)

    @property
    def poll_in_flight(self) -> bool:
        """Whether a poll has started and not finished."""
        return self._started_at >= 0

    def start_poll(self, now: int, after: int, origin: str) -> Poll | None:
        """Return the poll to send now; None if it is not due or another one is in flight."""
        if self.poll_in_flight or now < self.due:
            return None
        self._started_at = now
        # A new version makes all nodes start their long polls together; the random wait makes them end apart.  The
        # first poll does not wait, so that a saved list is confirmed at once.
        long_poll = after >= 0 and self._answered
        self._wait = int(self.settings.max_wait * self._rng.uniform(MIN_WAIT_SHARE, 1.0)) if long_poll else 0
        return Poll(after, origin, self._wait)

    def finish_poll(self, now: int, result: PollResult, retry_after: float | None = None) -> None:
        """Record the end of the poll in flight; ``retry_after`` is the service's value in seconds.

        Raises RuntimeError if no poll is in flight.
        """
        if not self.poll_in_flight:
            raise RuntimeError("no poll is in flight")
        started, self._started_at = self._started_at, -1
        if result in (PollResult.ACCEPTED, PollResult.UNCHANGED):
            self._rejections, self._staggered, self._answered = 0, False, True
            self.due = self._due_after_answer(now, started, result)
            return
        if result is PollResult.REJECTED:
            self.due = now + self._rejection_delay(retry_after)
        else:
            period = max(
                self.settings.spread, UNREACHABLE_PERIOD_NS if result is PollResult.UNREACHABLE else FAILURE_PERIOD_NS
            )
            self.due = now + (period if self._staggered else self._random_delay(period))
        self._staggered = True

    def _random_delay(self, limit: int) -> int:
        return int(self._rng.random() * limit)

    def _rejection_delay(self, retry_after: float | None) -> int:
        # The value may be NaN or infinite; 0 would call all nodes back at once.
        seconds = retry_after if retry_after is not None and 0.0 <= retry_after < 1e9 else FAILURE_PERIOD_NS / SECOND
        delay = min(max(int(seconds * SECOND), SECOND), MAX_RETRY_AFTER_NS)
        self._rejections += 1
        period = max(self.settings.spread, FAILURE_PERIOD_NS)
        return delay + self._random_delay(min(period, delay // 2 << min(self._rejections - 1, 20)))

    def _due_after_answer(self, now: int, started: int, result: PollResult) -> int:
        if not self.settings.max_wait:
            return now + int(self.settings.interval * self._rng.uniform(MIN_WAIT_SHARE, 1.0))
        full_wait = now - started >= EARLY_SHARE * self._wait
        if result is PollResult.UNCHANGED and full_wait and self._wait:
            return now
        # An accepted list or an early answer is followed by a poll at once while the allowance lasts.
        period = max(self.settings.spread, FAILURE_PERIOD_NS)
        refill = max(0, now - self._allowance_at) / period
        self._allowance, self._allowance_at = min(EARLY_ALLOWANCE, self._allowance + refill), now
        if self._allowance >= 1.0:
            self._allowance -= 1.0
            return now
        self._allowance_at = now + period  # the allowance is not refilled for the period that is waited now
        return self._allowance_at
