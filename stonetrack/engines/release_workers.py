"""The threads that carry out a book of releases (:mod:`.release_queue` says when), apart from what a release is."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from stonetrack.engines.release_queue import PendingRelease, ReleaseQueue, ReleaseResult
from stonetrack.node.threads import restarting_thread

SECOND = 1e9


class ReleaseWorkers:
    """Calls ``release`` for what is due, again where it was not done; one thread stays free of engines that are away.

    ``over`` is told of what will not be tried again: under the lock, and so it must not wait.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        within: int,
        threads: int,
        release: Callable[[PendingRelease], ReleaseResult],
        over: Callable[[int, PendingRelease], None] = lambda number, item: None,
        seed: int = 0,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self._clock, self._release, self._over, self._log = clock, release, over, log
        self.queue = ReleaseQueue(within, max_unreachable_tries=max(1, threads - 1), seed=seed)
        self.changed = threading.Condition(threading.Lock())  # guards the book; told of every change
        self._stopping = False
        self._threads = [restarting_thread(f"releases-{n}", self._run, log) for n in range(threads)]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def __len__(self) -> int:
        return len(self.queue)

    def add(self, items: list[PendingRelease]) -> None:
        """Note releases; they are due at once."""
        with self.changed:
            for item in items:
                self.queue.add(item)
            self.changed.notify_all()

    def wait_until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Wait under the lock, which the caller holds, until ``done`` or for so many seconds; whether it is done."""
        end = time.monotonic() + seconds
        while not (so := done()) and (left := end - time.monotonic()) > 0:
            self.changed.wait(left)
        return so

    def stop(self, wait: float) -> None:
        """Let open releases end for so many seconds, then stop."""
        with self.changed:
            self.wait_until(lambda: not self.queue, wait)
            self._stopping = True
            self.changed.notify_all()

    def _run(self) -> None:
        while True:
            with self.changed:
                while (found := self.queue.take_due(self._clock())) is None:
                    if self._stopping:
                        return
                    at = self.queue.next_due()
                    self.changed.wait(None if at is None else max(0.001, (at - self._clock()) / SECOND))
            number, item = found
            try:
                heard = self._release(item)
            except Exception as error:  # the release is owed all the same
                self._log(f"release of {item.request}: {type(error).__name__}: {error}")
                heard = ReleaseResult.RETRY
            with self.changed:
                if not self.queue.record_result(number, heard, self._clock()):
                    self._over(number, item)
                self.changed.notify_all()
