"""Ids of running and recent requests, so that no id is served twice.  No I/O, no clock.

Every request carries a new id, and so does a client's retry, so a repeated id is a client's mistake.  Engines key held
states and reservations by id: if the repeated request were served, they would confuse it with the first.

The id of a running request is never forgotten.  After its end an id is kept for ``RETENTION_NS``, within a bound on the
number of ids that depends on what the request may have left at engines, so that requests which were refused before any
attempt can't displace the ids of those that ran.
"""

from __future__ import annotations

import os
from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b

SECOND = 1_000_000_000
RETENTION_NS = 60 * SECOND  # longer than an attempt, held state or reservation outlasts its request
GENERATIONS = 4
MAX_ATTEMPTED_IDS = 16_384  # of ended requests with an attempt
MAX_REFUSED_IDS = 4_096  # of ended requests without one
_DIGEST_BYTES, _KEY_BYTES = 8, 16


@dataclass(slots=True)
class _Generation:
    """The digests that were added from ``started`` on (nanoseconds), until the next generation started."""

    started: int
    digests: set[int] = field(default_factory=set)


class _RecentDigests:
    """The digests added within ``RETENTION_NS``, at most ``capacity``; beyond that the oldest generation is dropped."""

    def __init__(self, capacity: int) -> None:
        self._generation_size = capacity // GENERATIONS
        self._generations: deque[_Generation] = deque()  # oldest first

    def __len__(self) -> int:
        return sum(len(generation.digests) for generation in self._generations)

    def __contains__(self, digest: int) -> bool:
        return any(digest in generation.digests for generation in self._generations)

    def add(self, digest: int, now: int) -> None:
        newest = self._generations[-1] if self._generations else None
        if (
            newest is None
            or len(newest.digests) >= self._generation_size
            or now - newest.started >= RETENTION_NS // GENERATIONS
        ):
            newest = _Generation(now)
            self._generations.append(newest)
        if len(self._generations) > GENERATIONS + 1:
            self._generations.popleft()
        newest.digests.add(digest)

    def expire(self, now: int) -> None:
        """Drop the generations whose last digest was added longer ago than ``RETENTION_NS``."""
        longest = RETENTION_NS + RETENTION_NS // GENERATIONS
        while self._generations and now - self._generations[0].started > longest:
            self._generations.popleft()


class RecentRequestIds:
    """The ids of requests that run, or ended within ``RETENTION_NS``; times in nanoseconds of one clock.

    The number of running requests is bounded by their threads.  Ids are kept as keyed digests: their length is the
    client's choice.  Not thread-safe.
    """

    def __init__(self) -> None:
        self._key = os.urandom(_KEY_BYTES)
        self._running: set[int] = set()
        self._attempted = _RecentDigests(MAX_ATTEMPTED_IDS)
        self._refused = _RecentDigests(MAX_REFUSED_IDS)

    def __len__(self) -> int:
        return len(self._running) + len(self._attempted) + len(self._refused)

    def begin(self, request: str, now: int) -> bool:
        """Add the id of a request that arrives; returns False if it is running or was served recently."""
        self._attempted.expire(now)
        self._refused.expire(now)
        digest = self._digest(request)
        if digest in self._running or digest in self._attempted or digest in self._refused:
            return False
        self._running.add(digest)
        return True

    def end(self, request: str, attempted: bool, now: int) -> None:
        """The request has ended; ``attempted`` says whether an attempt may have reached an engine."""
        digest = self._digest(request)
        self._running.discard(digest)
        (self._attempted if attempted else self._refused).add(digest, now)

    def _digest(self, request: str) -> int:
        return int.from_bytes(blake2b(request.encode(), digest_size=_DIGEST_BYTES, key=self._key).digest())
