"""Long polls: workers that wait on their client's connection and for news, and what wakes them."""

from __future__ import annotations

import select
import threading
import time
from collections.abc import Callable

from stonetrack.frontend.connection import Connection
from stonetrack.node.request_runner import Waker

_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class LongPoll:
    """Those that wait for news of one thing; ``stopping`` ends every wait."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._wakers: set[Waker] = set()
        self.stopping = False
        self.clients_gone = 0  # clients that went while they waited

    def __len__(self) -> int:
        return len(self._wakers)

    def notify(self) -> None:
        """There is news."""
        with self._lock:
            wakers = list(self._wakers)
        for waker in wakers:
            waker.wake()

    def stop(self) -> None:
        """Nobody waits any more."""
        self.stopping = True
        self.notify()

    def wait(self, connection: Connection, waker: Waker, wait_ms: float, enough: Callable[[], bool]) -> bool:
        """Wait until there is enough, the time is over or all stops; whether the client is still there."""
        poller = select.poll()
        poller.register(connection.fileno(), select.POLLRDHUP)
        poller.register(waker.fd, select.POLLIN)
        with self._lock:
            self._wakers.add(waker)
        end = time.monotonic() + wait_ms / 1_000.0
        try:
            while not enough() and not self.stopping and (left := end - time.monotonic()) > 0:
                for fd, mask in poller.poll(left * 1_000.0):
                    if fd == waker.fd:
                        waker.clear()
                    elif mask & _GONE:
                        self.clients_gone += 1
                        return False
            return True
        finally:
            with self._lock:
                self._wakers.discard(waker)
            waker.clear()
