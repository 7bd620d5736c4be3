"""When a node asks the list service, and for what: a state machine without I/O, one for each process.

The rule behind all of it: what one node does, all nodes of the fleet do, and they do it from the same causes.  So no
pause is a fixed time after something that all of them see at once.

- A fleet of N nodes at a service that bears R whole lists a second needs N / R seconds.  That, and a little
  (``SPREAD_MARGIN``), is the *spread*: the first question goes out at a moment drawn from it, and so does the first
  one after a failure that all may have seen at once.
- From then on a failure is followed by a question a whole *period* later.  The moments drawn stay apart through an
  outage of any length, and whenever the service is back the fleet comes by evenly within one period.  Pauses that
  double would bring most nodes back late, pauses drawn anew (full jitter) most of them early: the time left of a drawn
  pause is not evenly spread.  Nor is it where a node draws again because the trouble changed its kind.
- A period is at least ``FAILURE_PERIOD_NS`` where the service is troubled by the question (a time-out, a reset, a
  document that
  can't be used); where nobody listens at its address, which costs it nothing, at least ``UNREACHABLE_PERIOD_NS``.
- ``Retry-After`` is obeyed, within bounds: the service may not send a node away for ever, nor call all of them back at
  the same second.  A good one gives each a second of its own, so little is added; a bad one tells all the same, so what
  is added doubles while a node is turned away again, up to a period.
- An answer that comes too early to be a long poll (a service that says "nothing new" at once, or versions that spin)
  is paid for out of a small allowance; when that is used up, questions go out a period apart.

Edges::

    RESTING ──due──> ASKED ──list taken, nothing new──> RESTING (at once, paced by the allowance)
                       │ ──turned away──────────────> RESTING (Retry-After, and a part of the spread)
                       │ ──nobody there─────────────> RESTING (drawn from the spread, then a period each)
                       └──failed, unfit document────> RESTING (the same, a period of at least FAILURE_PERIOD_NS)
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000
SPREAD_MARGIN = 1.1  # the spread, over what the service needs at least
FAILURE_PERIOD_NS = 20 * SECOND // 3  # between two questions that trouble the service: 0.15 a second
UNREACHABLE_PERIOD_NS = SECOND  # between two tries where nobody listens
MAX_RETRY_AFTER_NS = 120 * SECOND  # the longest Retry-After that is believed
EARLY_SHARE = 0.5  # a long poll that ends sooner than this share of its time is an early answer
EARLY_ALLOWANCE = 3.0  # early answers that may be followed at once
MIN_WAIT_SHARE = 0.75  # a long poll lasts from this share of what the settings allow to all of it


@dataclass(frozen=True, slots=True)
class PollSettings:
    """What the settings tell; times in nanoseconds.

    ``nodes`` is the number of processes that ask, ``lists_per_second`` the whole lists that the service bears,
    ``wait`` the longest poll (0 for a service that has none, then ``poll`` is the pause between questions).
    """

    nodes: int
    lists_per_second: float
    max_wait: int
    interval: int = 0

    @property
    def spread(self) -> int:
        """Time in which the whole fleet can be served, with a little to spare."""
        return int(SPREAD_MARGIN * self.nodes / self.lists_per_second * SECOND)


@dataclass(frozen=True, slots=True)
class Poll:
    """What to ask: for what came after a version of a history (-1: for a whole list), waiting so long."""

    after: int
    origin: str
    wait: int


class PollResult(Enum):
    """How a question ended."""

    ACCEPTED = "taken"  # a document that is in force now, or says the same as what is
    UNCHANGED = "unchanged"
    REJECTED = "turned away"  # 429 or 503
    UNREACHABLE = "nobody listens"
    FAILED = "failed"  # a time-out, a reset, any other answer
    UNUSABLE = "unfit"  # a document that can't be used, or is older than the one in force


class PollScheduler:
    """See the module.  ``draw`` is the node's own chance; two nodes of a fleet must not share its seed."""

    def __init__(self, settings: PollSettings, draw: random.Random, now: int) -> None:
        self.settings, self._draw = settings, draw
        self._asked_at = -1  # of the question under way
        self._wait = 0
        self._allowance, self._allowed_at = EARLY_ALLOWANCE, now
        self._apart = True  # the question's moment was drawn, so that others' lie elsewhere
        self._heard = False  # the service has answered this process
        self._turned = 0  # times turned away in a row
        self.due = now + self._within(settings.spread)

    @property
    def poll_in_flight(self) -> bool:
        """Whether a question is out."""
        return self._asked_at >= 0

    def start_poll(self, now: int, after: int, origin: str) -> Poll | None:
        """The question to put now; None before it is due or while one is out."""
        if self.poll_in_flight or now < self.due:
            return None
        self._asked_at = now
        # Polls of all nodes begin together when a version goes out; they end apart.  The first answer is wanted at
        # once: a list from before the start may wait to be confirmed.
        polls = after >= 0 and self._heard
        self._wait = int(self.settings.max_wait * self._draw.uniform(MIN_WAIT_SHARE, 1.0)) if polls else 0
        return Poll(after, origin, self._wait)

    def finish_poll(self, now: int, how: PollResult, retry_after: float | None = None) -> None:
        """Take the end of the question that is out; ``retry_after`` in seconds, as the service gave it."""
        if not self.poll_in_flight:
            raise RuntimeError("no question is out")
        began, self._asked_at = self._asked_at, -1
        if how in (PollResult.ACCEPTED, PollResult.UNCHANGED):
            self._turned, self._apart, self._heard = 0, False, True
            self.due = self._after_answer(now, began, how)
            return
        if how is PollResult.REJECTED:
            self.due = now + self._told(retry_after)
        else:
            period = max(
                self.settings.spread,
                UNREACHABLE_PERIOD_NS if how is PollResult.UNREACHABLE else FAILURE_PERIOD_NS,
            )
            self.due = now + (period if self._apart else self._within(period))
        self._apart = True

    def _within(self, span: int) -> int:
        return int(self._draw.random() * span)

    def _told(self, retry_after: float | None) -> int:
        # NaN and infinity are lies like any other number, and 0 would call all back at once.
        given = retry_after if retry_after is not None and 0.0 <= retry_after < 1e9 else FAILURE_PERIOD_NS / SECOND
        told = min(max(int(given * SECOND), SECOND), MAX_RETRY_AFTER_NS)
        self._turned += 1
        period = max(self.settings.spread, FAILURE_PERIOD_NS)
        return told + self._within(min(period, told // 2 << min(self._turned - 1, 20)))

    def _after_answer(self, now: int, began: int, how: PollResult) -> int:
        if not self.settings.max_wait:
            return now + int(self.settings.interval * self._draw.uniform(MIN_WAIT_SHARE, 1.0))
        full = now - began >= EARLY_SHARE * self._wait
        if how is PollResult.UNCHANGED and full and self._wait:
            return now
        # A list just taken is followed at once by a long poll, an early answer too, while the allowance lasts.
        period = max(self.settings.spread, FAILURE_PERIOD_NS)
        refill = max(0, now - self._allowed_at) / period
        self._allowance, self._allowed_at = min(EARLY_ALLOWANCE, self._allowance + refill), now
        if self._allowance >= 1.0:
            self._allowance -= 1.0
            return now
        self._allowed_at = now + period  # what is waited out now is not saved up
        return self._allowed_at
