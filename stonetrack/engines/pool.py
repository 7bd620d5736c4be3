"""Connections to engines, kept open between requests.

A pooled connection may have been closed by the engine meanwhile.  One that shows anything readable (an end, or bytes
nobody asked for) is thrown away before a byte is written to it, so a request is not lost on it for certain; what stays
is the moment between that look and the write, and there the outcome is RESET, not NOT_SENT, since nobody can know.
"""

from __future__ import annotations

import socket
import threading
import time
from collections import deque

from stonetrack.engines.idle_timeouts import IdleTimeouts
from stonetrack.engines.reuse_delay import ReuseDelay
from stonetrack.node.sockets import ResourceExhausted, close, connect, readable

INSPECT_INTERVAL_S = 0.5  # seconds from one look at all idle connections to the next


class ConnectionPool:
    """Idle connections by address; bounded for each address, in all (``max_total``) and in age.

    The newest is used first, so that what is not needed grows old; where kept connections fail (:mod:`.reuse_delay`),
    the oldest, if it has rested for long enough.  ``idle`` seconds of rest are good for all engines, up to ``longest``
    where an engine is seen to leave connections open (:mod:`.idle_timeouts`).
    """

    def __init__(
        self, per_engine: int, idle_timeout: float, max_total: int = 1 << 30, max_idle_timeout: float = 0.0
    ) -> None:
        self._per_engine, self._most = per_engine, max_total
        self.idle_timeouts = IdleTimeouts(idle_timeout, max_idle_timeout)
        self._looked = time.monotonic()
        self._count = 0
        self.reuse_delay = ReuseDelay()
        self._lock = threading.Lock()
        self._kept: dict[tuple[str, int], deque[tuple[socket.socket, float]]] = {}
        self._heard: dict[tuple[str, int], float] = {}  # when an answer was last read to its end, by address
        self.opened = 0
        self.reused = 0

    def set_limits(self, per_engine: int, idle_timeout: float, max_idle_timeout: float) -> None:
        """Other bounds from here on; what was learned of engines stays."""
        with self._lock:
            self._per_engine = per_engine
            self.idle_timeouts.default, self.idle_timeouts.maximum = idle_timeout, max(idle_timeout, max_idle_timeout)

    def acquire(self, host: str, port: int, timeout: float) -> tuple[socket.socket, float | None]:
        """A connection and for how many seconds it was kept, None for a new one.

        Raises OSError where none is had: ResourceExhausted where that is not the engine's fault.
        """
        while True:
            with self._lock:
                now, kept = time.monotonic(), self._kept.get((host, port))
                usable = self.idle_timeouts.reuse_limit((host, port), now)
                sock, since = None, 0.0
                if kept and not (needed := self.reuse_delay.required(now)):
                    if now - kept[-1][1] <= usable or not self.idle_timeouts.adaptive:
                        sock, since = kept.pop()
                elif kept and now - kept[0][1] >= needed:
                    sock, since = kept.popleft()
                self._count -= sock is not None
            if sock is None:
                break
            age = now - since
            open_still = not readable(sock)
            self._learn((host, port), age, open_still, now)
            if age <= usable and open_still:
                self.reused += 1
                return sock, age
            close(sock)
        return self._open(host, port, timeout), None

    def _open(self, host: str, port: int, timeout: float) -> socket.socket:
        """A new connection, within so many seconds.  Where this machine is short, idle ones are given up for it."""
        end = time.monotonic() + timeout
        while True:
            try:
                sock = connect(host, port, end - time.monotonic())
            except ResourceExhausted:
                if time.monotonic() >= end or not self._give_up_one():
                    raise
                continue
            self.opened += 1
            return sock

    def _give_up_one(self) -> bool:
        """Close the connection that has been idle for longest; whether there was one."""
        with self._lock:
            idle = [kept for kept in self._kept.values() if kept]
            sock = self._oldest(min(idle, key=lambda kept: kept[0][1])) if idle else None
        if sock is not None:
            close(sock)
        return sock is not None

    def put_back(self, host: str, port: int, sock: socket.socket) -> None:
        """Keep a connection whose last answer was read to its end."""
        now = time.monotonic()
        with self._lock:
            self._heard[host, port] = now
            kept = self._kept.setdefault((host, port), deque())
            kept.append((sock, now))
            self._count += 1
            stale = self._stale(kept, now)
            if self._count > self._most:  # the longest idle of all goes first
                oldest = min((each for each in self._kept.values() if each), key=lambda each: each[0][1])
                stale.append(self._oldest(oldest))
            look = self.idle_timeouts.adaptive and now - self._looked >= INSPECT_INTERVAL_S
            if look:
                self._looked = now
        for each in stale:
            close(each)
        if look:
            self.prune()

    def _learn(self, address: tuple[str, int], age: float, open_still: bool, now: float) -> None:
        if self.idle_timeouts.adaptive:
            with self._lock:
                if open_still:
                    self.idle_timeouts.observe_open(address, age)
                else:
                    self.idle_timeouts.observe_closed(address, age, now)

    def _oldest(self, kept: deque[tuple[socket.socket, float]]) -> socket.socket:
        self._count -= 1
        return kept.popleft()[0]

    def _stale(self, kept: deque[tuple[socket.socket, float]], now: float) -> list[socket.socket]:
        """What is too many or too old among an address's, taken out.  Under the lock."""
        stale = []
        while kept and (len(kept) > self._per_engine or now - kept[0][1] > self.idle_timeouts.maximum):
            stale.append(self._oldest(kept))
        return stale

    def record_unanswered(self, age: float | None) -> None:
        """A request was reset before a byte of an answer; ``age`` as :meth:`take` gave it."""
        if age is not None:
            with self._lock:
                self.reuse_delay.record_unanswered(time.monotonic(), age)

    def idle_count(self, host: str, port: int) -> int:
        """Idle connections to an address."""
        return len(self._kept.get((host, port), ()))

    def last_response_at(self, host: str, port: int) -> float:
        """Monotonic time in seconds at which an answer of this address was last read to its end; 0 for never."""
        return self._heard.get((host, port), 0.0)

    def prune(self) -> None:
        """Close what has been idle for too long, or by the engine; to be called now and then."""
        now = time.monotonic()
        with self._lock:
            stale = [sock for kept in self._kept.values() for sock in self._stale(kept, now)]
            if self.idle_timeouts.adaptive:
                stale += [sock for address, kept in self._kept.items() for sock in self._look(address, kept, now)]
        for each in stale:
            close(each)

    def _look(
        self, address: tuple[str, int], kept: deque[tuple[socket.socket, float]], now: float
    ) -> list[socket.socket]:
        """Learn from what is past the time for use; what is closed or not needed for that is taken out, locked."""
        gone = []
        while kept and readable(kept[0][0]):
            self.idle_timeouts.observe_closed(address, now - kept[0][1], now)
            gone.append(self._oldest(kept))
        usable = self.idle_timeouts.reuse_limit(address, now)
        while len(kept) > 1 and now - kept[1][1] > usable:  # one is enough to see what the engine does
            gone.append(kept[1][0])
            del kept[1]
            self._count -= 1
        if kept:
            self.idle_timeouts.observe_open(address, now - kept[0][1])
        return gone

    def retain(self, keep: set[tuple[str, int]]) -> None:
        """Close what goes to other addresses."""
        with self._lock:
            self.idle_timeouts.retain(keep)
            self._heard = {address: at for address, at in self._heard.items() if address in keep}
            gone = [address for address in self._kept if address not in keep]
            stale = [sock for address in gone for sock, _ in self._kept.pop(address)]
            self._count -= len(stale)
        for each in stale:
            close(each)

    def close(self) -> None:
        """Close all."""
        self.retain(set())
