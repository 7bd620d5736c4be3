"""Threads that process a release queue (:mod:`.release_queue` decides when); the caller supplies the release call."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from stonetrack.engines.release_queue import PendingRelease, ReleaseQueue, ReleaseResult
from stonetrack.node.threads import restarting_thread

SECOND = 1e9


class ReleaseWorkers:
    """Calls ``release`` for due releases and retries failed ones; one thread is reserved for reachable engines.

    ``on_ended`` is called for each release that will not be tried again.  It runs under the lock and must not block.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        within: int,
        threads: int,
        release: Callable[[PendingRelease], ReleaseResult],
        on_ended: Callable[[int, PendingRelease], None] = lambda release_id, item: None,
        seed: int = 0,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self._clock, self._release, self._on_ended, self._log = clock, release, on_ended, log
        self.queue = ReleaseQueue(within, max_unreachable_tries=max(1, threads - 1), seed=seed)
        self.changed = threading.Condition(threading.Lock())  # guards the queue; notified of every change
        self._stopping = False
        self._threads = [restarting_thread(f"releases-{n}", self._run, log) for n in range(threads)]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def __len__(self) -> int:
        return len(self.queue)

    def add(self, items: list[PendingRelease]) -> None:
        """Add releases; they are due at once."""
        with self.changed:
            for item in items:
                self.queue.add(item)
            self.changed.notify_all()

    def wait_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Wait until ``condition`` is true, up to ``seconds``; return its last value.  The caller holds the lock."""
        end = time.monotonic() + seconds
        while not (met := condition()) and (left := end - time.monotonic()) > 0:
            self.changed.wait(left)
        return met

    def stop(self, wait: float) -> None:
        """Wait up to ``wait`` seconds for open releases, then stop."""
        with self.changed:
            self.wait_until(lambda: not self.queue, wait)
            self._stopping = True
            self.changed.notify_all()

    def _run(self) -> None:
        while True:
            with self.changed:
                while (due := self.queue.take_due(self._clock())) is None:
                    if self._stopping:
                        return
                    at = self.queue.next_due()
                    self.changed.wait(None if at is None else max(0.001, (at - self._clock()) / SECOND))
            release_id, item = due
            try:
                result = self._release(item)
            except Exception as error:  # the release still has to be done
                self._log(f"release of {item.request_id}: {type(error).__name__}: {error}")
                result = ReleaseResult.RETRY
            with self.changed:
                if not self.queue.record_result(release_id, result, self._clock()):
                    self._on_ended(release_id, item)
                self.changed.notify_all()
