"""When to retry a release, without I/O.

A KV state that no decode engine will fetch occupies memory of its prefill engine, so it is released within ``within``
nanoseconds of the decision, also if the engine is unreachable for a moment.  The engine keeps the state for as long as
it runs, so a release has to be retried for that long: a state whose release is dropped is leaked.

- After an answer that does not confirm the release, that release alone is retried with exponential back-off, for
  ``GIVE_UP_FACTOR`` times ``within``.
- For an unreachable engine only the oldest release is tried, one try at a time, with a back-off that doubles up to
  ``within``, so that this limit holds from the moment at which the engine becomes reachable again.  The other releases
  wait, without a time limit while the engine is in the server list, and are all due once it answers.  So the cost of an
  unreachable engine does not grow with the number of its releases.  At most ``max_unreachable_tries`` tries at
  unreachable engines run at the same time, which leaves threads for the other engines.  Back-offs have random jitter,
  because hundreds of nodes lose an engine at the same moment.

Beyond ``max_open`` open releases the oldest is dropped and counted.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

MS = 1_000_000
FIRST_BACKOFF, MAX_BACKOFF = 20 * MS, 1_000 * MS
GIVE_UP_FACTOR = 20  # times ``within``: limit for a release that is not confirmed, or whose engine is not in the list


class ReleaseResult(Enum):
    """Result of one try of a release."""

    DONE = "let go of, or nothing is held there"
    RETRY = "the engine answered something else"
    UNREACHABLE = "the engine could not be reached"
    DELISTED = "nor is it on the list any more: there is nobody to be waited for without end"


@dataclass(slots=True)
class PendingRelease:
    """A KV state or a reservation to be released at one engine; times in nanoseconds."""

    request_id: str
    server: str  # empty: any engine
    attempt_number: int  # of the last attempt that it is for
    state: dict[str, Any] | None  # None for a reservation
    decided_at: int
    tries: int = 0
    tried_engines: set[str] = field(default_factory=set)  # in this round, if any engine may be asked


@dataclass(slots=True)
class _UnreachableEngine:
    """An unreachable engine, and the releases that wait for it, oldest first."""

    next_try_at: int = 0  # when the next try is due; heap entries with another time are obsolete
    tries: int = 0
    waiting: OrderedDict[int, None] = field(default_factory=OrderedDict)


class ReleaseQueue:
    """Open releases and the times of their next tries."""

    def __init__(
        self, within: int, max_open: int = 10_000, max_unreachable_tries: int = 1 << 30, seed: int = 0
    ) -> None:
        self.within, self.give_up_after = within, GIVE_UP_FACTOR * within
        self.max_open, self.max_unreachable_tries = max_open, max_unreachable_tries
        self.dropped = 0  # given up, or displaced by newer releases
        self._items: OrderedDict[int, PendingRelease] = OrderedDict()
        self._heap: list[tuple[int, int, str]] = []  # time; release, or 0 and an unreachable engine
        self._unreachable: dict[str, _UnreachableEngine] = {}
        self._unreachable_tries: dict[int, str] = {}  # running tries at unreachable engines, by release
        self._last_id = 0
        self._rng = random.Random(seed)

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, release_id: int) -> bool:
        return release_id in self._items

    @property
    def unreachable_engines(self) -> int:
        """Number of engines that were unreachable at the last try and have open releases."""
        return len(self._unreachable)

    def add(self, item: PendingRelease) -> int:
        """Add a release, due at once; return its ID."""
        self._last_id += 1
        self._items[self._last_id] = item
        heapq.heappush(self._heap, (item.decided_at, self._last_id, ""))
        if len(self._items) > self.max_open:
            self._drop(next(iter(self._items)))
        return self._last_id

    def take_due(self, now: int) -> tuple[int, PendingRelease] | None:
        """Take the next release to try; it is not due again before :meth:`record_result`."""
        found: tuple[int, PendingRelease] | None = None
        deferred: list[tuple[int, int, str]] = []
        while found is None and self._heap and self._heap[0][0] <= now:
            at, release_id, server = entry = heapq.heappop(self._heap)
            if release_id:
                found = self._take_release(release_id)
            elif len(self._unreachable_tries) >= self.max_unreachable_tries:
                deferred.append(entry)
            else:
                found = self._take_for_unreachable(server, at)
        for entry in deferred:
            heapq.heappush(self._heap, entry)
        return found

    def _take_release(self, release_id: int) -> tuple[int, PendingRelease] | None:
        item = self._items.get(release_id)
        if item is None:
            return None
        if (unreachable := self._unreachable.get(item.server)) is not None:
            unreachable.waiting[release_id] = None
            return None
        item.tries += 1
        return release_id, item

    def _take_for_unreachable(self, server: str, at: int) -> tuple[int, PendingRelease] | None:
        unreachable = self._unreachable.get(server)
        if unreachable is None or unreachable.next_try_at != at:
            return None
        while unreachable.waiting:
            release_id, _ = unreachable.waiting.popitem(last=False)
            if (item := self._items.get(release_id)) is not None:
                self._unreachable_tries[release_id] = server
                item.tries += 1
                return release_id, item
        del self._unreachable[server]  # no release is open for it
        return None

    def next_due(self) -> int | None:
        """When the next try is due; None if none is, or if that depends on the result of a running try."""
        if len(self._unreachable_tries) >= self.max_unreachable_tries:
            return min((at for at, release_id, _ in self._heap if release_id), default=None)
        return self._heap[0][0] if self._heap else None

    def record_result(self, release_id: int, result: ReleaseResult, now: int) -> bool:
        """Record the result of a try; return whether there will be another."""
        probed_server = self._unreachable_tries.pop(release_id, None)
        item = self._items.get(release_id)
        server = probed_server if probed_server is not None else item.server if item is not None else ""
        if result in (ReleaseResult.UNREACHABLE, ReleaseResult.DELISTED):
            self._defer_unreachable(
                release_id, server, now, result is ReleaseResult.DELISTED, probed_server is not None
            )
            return release_id in self._items
        self.engine_reachable(server, now)
        if result is ReleaseResult.DONE:
            self.remove(release_id)
        return result is ReleaseResult.RETRY and self._schedule_retry(release_id, now)

    def engine_reachable(self, server: str, now: int) -> None:
        """An engine is reachable again: all releases that wait for it are due."""
        if (unreachable := self._unreachable.pop(server, None)) is not None:
            for waiting_id in unreachable.waiting:
                heapq.heappush(self._heap, (now, waiting_id, ""))

    def remove(self, release_id: int) -> None:
        """Remove a release that is done or not needed any more."""
        self._items.pop(release_id, None)

    def _schedule_retry(self, release_id: int, now: int) -> bool:
        item = self._items.get(release_id)
        if item is None:
            return False
        backoff = min(FIRST_BACKOFF << min(item.tries - 1, 10), MAX_BACKOFF)
        if now + backoff > item.decided_at + self.give_up_after:
            self._drop(release_id)
            return False
        heapq.heappush(self._heap, (now + backoff, release_id, ""))
        return True

    def _defer_unreachable(self, release_id: int, server: str, now: int, delisted: bool, was_probe: bool) -> None:
        item = self._items.get(release_id)
        already_unreachable = server in self._unreachable
        unreachable = self._unreachable.setdefault(server, _UnreachableEngine())
        if item is not None and delisted and now > item.decided_at + self.give_up_after:
            self._drop(release_id)
        elif item is not None:
            unreachable.waiting[release_id] = None
            unreachable.waiting.move_to_end(release_id, last=False)
        if was_probe or not already_unreachable:  # otherwise the next try is already scheduled or running
            backoff = min(FIRST_BACKOFF << min(unreachable.tries, 10), self.within)
            unreachable.tries += 1
            unreachable.next_try_at = now + int(backoff * self._rng.uniform(0.5, 1.0))
            heapq.heappush(self._heap, (unreachable.next_try_at, 0, server))

    def _drop(self, release_id: int) -> None:
        self.remove(release_id)
        self.dropped += 1
