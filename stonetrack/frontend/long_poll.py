"""Long polls: worker threads wait for a notification or for the end of their client's connection."""

from __future__ import annotations

import select
import threading
import time
from collections.abc import Callable

from stonetrack.frontend.connection import Connection
from stonetrack.node.request_runner import Waker

_DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class LongPoll:
    """The clients that wait for changes of one resource; ``stopping`` ends every wait."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._wakers: set[Waker] = set()
        self.stopping = False
        self.clients_gone = 0  # clients that disconnected while waiting

    def __len__(self) -> int:
        return len(self._wakers)

    def notify(self) -> None:
        """Wake all waiting clients after a change."""
        with self._lock:
            wakers = list(self._wakers)
        for waker in wakers:
            waker.wake()

    def stop(self) -> None:
        """End all waits, current and future ones."""
        self.stopping = True
        self.notify()

    def wait(self, connection: Connection, waker: Waker, wait_ms: float, is_done: Callable[[], bool]) -> bool:
        """Wait for ``is_done``, :meth:`stop` or the end of the time; return False if the client disconnected.

        A client that sends more behind its request than its connection may hold is not waited for: its disconnection
        could not be seen.
        """
        poller = select.poll()
        poller.register(connection.fileno(), select.POLLRDHUP | select.POLLIN)
        poller.register(waker.fd, select.POLLIN)
        with self._lock:
            self._wakers.add(waker)
        deadline = time.monotonic() + wait_ms / 1_000.0
        try:
            while not is_done() and not self.stopping and (time_left := deadline - time.monotonic()) > 0:
                for fd, mask in poller.poll(time_left * 1_000.0):
                    if fd == waker.fd:
                        waker.clear()
                    elif mask & _DISCONNECTED:
                        self.clients_gone += 1
                        return False
                    elif not connection.read_ahead():
                        return True
            return True
        finally:
            with self._lock:
                self._wakers.discard(waker)
            waker.clear()
