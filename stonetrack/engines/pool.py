"""Pool of connections to engines that stay open between requests.

The engine may have closed a pooled connection in the meantime.  A connection with anything readable (an end of file, or
unexpected bytes) is discarded before anything is written to it, so that no request is lost on it.  The engine may still
close between that check and the write; the outcome is then RESET, not NOT_SENT, because it is unknown whether the
request ran.

Bytes that arrive on an idle connection answer no request: an engine may repeat its last answer.  If they arrive after
the next request was written, they are indistinguishable from the answer to that request, so a connection rests for a
while after each answer (:mod:`.reuse_delay`).
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum

from stonetrack.engines.idle_timeouts import IdleTimeouts
from stonetrack.engines.reuse_delay import MIN_DELAY_S, ReuseDelay
from stonetrack.node.sockets import ResourceExhausted, close, connect, readable, receive

INSPECT_INTERVAL_S = 0.5  # between two inspections of all idle connections


class Discarded(Enum):
    """Why an idle connection was discarded when a request needed one."""

    EXPIRED = "expired"
    CLOSED = "closed"  # by the engine
    UNSOLICITED = "unsolicited"  # the engine sent bytes that answer no request


class Carried(Enum):
    """What the last exchange on a connection was."""

    NOTHING = "nothing"  # it was opened ahead
    PROBE = "probe"  # a load report sent again is no answer to a request: it fails an attempt, and serves nobody
    REQUEST = "request"


@dataclass(frozen=True, slots=True)
class _Idle:
    """An idle connection; ``since`` is in seconds of the monotonic clock."""

    sock: socket.socket
    since: float
    carried: Carried

    def rested(self, now: float, delay: float) -> bool:
        """Whether no second answer that can be mistaken may follow, if that takes ``delay`` seconds at most."""
        return self.carried is not Carried.REQUEST or now - self.since >= delay


class ConnectionPool:
    """Idle connections by address; limited in number for each address and in total, and in idle time.

    The newest connection that has rested is used first, so that surplus connections become stale.  Where requests on
    reused connections fail (:mod:`.reuse_delay`), the oldest is used, if it has been idle for long enough.  Connections
    are reused for up to ``idle_timeout`` seconds, and for up to ``max_idle_timeout`` with engines that are observed to
    leave connections open (:mod:`.idle_timeouts`).  Thread-safe.
    """

    def __init__(
        self, per_engine: int, idle_timeout: float, max_total: int = 1 << 30, max_idle_timeout: float = 0.0
    ) -> None:
        self._per_engine, self._max_total = per_engine, max_total
        self.idle_timeouts = IdleTimeouts(idle_timeout, max_idle_timeout)
        self._inspected_at = time.monotonic()
        self._count = 0
        self.reuse_delay = ReuseDelay()
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], deque[_Idle]] = {}
        self._last_response: dict[tuple[str, int], float] = {}  # when an answer was last read to its end
        self.opened = 0
        self.reused = 0
        self.discarded: Counter[Discarded] = Counter()

    def set_limits(self, per_engine: int, idle_timeout: float, max_idle_timeout: float) -> None:
        """Change the limits; what was learned about engines is kept."""
        with self._lock:
            self._per_engine = per_engine
            self.idle_timeouts.default, self.idle_timeouts.maximum = idle_timeout, max(idle_timeout, max_idle_timeout)

    def acquire(self, host: str, port: int, timeout: float) -> tuple[socket.socket, float | None]:
        """A connection, and the seconds that it was idle, None for a new one; ``timeout`` in seconds limits connecting.

        Raises OSError if there is none: ResourceExhausted if that is not the engine's fault.
        """
        while True:
            now = time.monotonic()
            with self._lock:
                reuse_limit = self.idle_timeouts.reuse_limit((host, port), now)
                idle = self._take((host, port), now, reuse_limit)
            if idle is None:
                break
            age = now - idle.since
            still_open = not readable(idle.sock)
            self._observe((host, port), age, still_open, now)
            if age <= reuse_limit and still_open:
                self.reused += 1
                return idle.sock, age
            self._discard(idle.sock, still_open)
        return self._open(host, port, timeout), None

    def _take(self, address: tuple[str, int], now: float, reuse_limit: float) -> _Idle | None:
        """Remove the idle connection to be tried next; None if no connection has rested.  Requires the lock."""
        idle = self._idle.get(address)
        if not idle:
            return None
        if learned := self.reuse_delay.learned(now):
            index = 0
            usable = now - idle[0].since >= learned and idle[0].rested(now, MIN_DELAY_S)
        else:
            index = next((n for n in reversed(range(len(idle))) if idle[n].rested(now, MIN_DELAY_S)), -1)
            usable = index >= 0 and (now - idle[index].since <= reuse_limit or not self.idle_timeouts.adaptive)
        if not usable:
            return None
        taken = idle[index]
        del idle[index]
        self._count -= 1
        return taken

    def _discard(self, sock: socket.socket, still_open: bool) -> None:
        """Close a connection that can't be reused, and count why."""
        reason = Discarded.EXPIRED if still_open else Discarded.CLOSED
        with contextlib.suppress(OSError):
            if not still_open and receive(sock, 1):
                reason = Discarded.UNSOLICITED
        close(sock)
        with self._lock:
            self.discarded[reason] += 1

    def _open(self, host: str, port: int, timeout: float) -> socket.socket:
        """A new connection, within ``timeout`` seconds.  While resources are exhausted, idle connections are closed."""
        end = time.monotonic() + timeout
        while True:
            try:
                sock = connect(host, port, end - time.monotonic())
            except ResourceExhausted:
                if time.monotonic() >= end or not self._close_longest_idle():
                    raise
                continue
            self.opened += 1
            return sock

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        with self._lock:
            queues = [idle for idle in self._idle.values() if idle]
            sock = self._pop_oldest(min(queues, key=lambda idle: idle[0].since)) if queues else None
        if sock is not None:
            close(sock)
        return sock is not None

    def put_back(self, host: str, port: int, sock: socket.socket, carried: Carried = Carried.REQUEST) -> None:
        """Return a connection whose last answer was read to its end."""
        now = time.monotonic()
        with self._lock:
            if carried is not Carried.NOTHING:
                self._last_response[host, port] = now
            idle = self._idle.setdefault((host, port), deque())
            idle.append(_Idle(sock, now, carried))
            self._count += 1
            stale = self._pop_stale(idle, now)
            if self._count > self._max_total:  # close the connection that has been idle for longest
                oldest = min((each for each in self._idle.values() if each), key=lambda each: each[0].since)
                stale.append(self._pop_oldest(oldest))
            inspect = self.idle_timeouts.adaptive and now - self._inspected_at >= INSPECT_INTERVAL_S
            if inspect:
                self._inspected_at = now
        for each in stale:
            close(each)
        if inspect:
            self.prune()

    def _observe(self, address: tuple[str, int], age: float, still_open: bool, now: float) -> None:
        if self.idle_timeouts.adaptive:
            with self._lock:
                if still_open:
                    self.idle_timeouts.observe_open(address, age)
                else:
                    self.idle_timeouts.observe_closed(address, age, now)

    def _pop_oldest(self, idle: deque[_Idle]) -> socket.socket:
        self._count -= 1
        return idle.popleft().sock

    def _pop_stale(self, idle: deque[_Idle], now: float) -> list[socket.socket]:
        """Remove surplus and expired connections of one address.  Requires the lock."""
        stale = []
        while idle and (len(idle) > self._per_engine or now - idle[0].since > self.idle_timeouts.maximum):
            stale.append(self._pop_oldest(idle))
        return stale

    def record_unanswered(self, age: float | None) -> None:
        """A request was reset before the first byte of its answer; ``age`` as returned by :meth:`acquire`."""
        if age is not None:
            with self._lock:
                self.reuse_delay.record_unanswered(time.monotonic(), age)

    def idle_count(self, host: str, port: int) -> int:
        """Number of idle connections to an address."""
        return len(self._idle.get((host, port), ()))

    def last_response_at(self, host: str, port: int) -> float:
        """Monotonic time in seconds when an answer from this address was last read to its end; 0 for never."""
        return self._last_response.get((host, port), 0.0)

    def prune(self) -> None:
        """Close connections that have expired or were closed by the engine; to be called periodically."""
        now = time.monotonic()
        with self._lock:
            stale = [sock for idle in self._idle.values() for sock in self._pop_stale(idle, now)]
            if self.idle_timeouts.adaptive:
                stale += [sock for address, idle in self._idle.items() for sock in self._inspect(address, idle, now)]
        for each in stale:
            close(each)

    def _inspect(self, address: tuple[str, int], idle: deque[_Idle], now: float) -> list[socket.socket]:
        """Learn from connections beyond the reuse limit; remove closed and surplus ones.  Requires the lock."""
        removed = []
        while idle and readable(idle[0].sock):
            self.idle_timeouts.observe_closed(address, now - idle[0].since, now)
            removed.append(self._pop_oldest(idle))
        reuse_limit = self.idle_timeouts.reuse_limit(address, now)
        while len(idle) > 1 and now - idle[1].since > reuse_limit:  # one such connection suffices to observe the engine
            removed.append(idle[1].sock)
            del idle[1]
            self._count -= 1
        if idle:
            self.idle_timeouts.observe_open(address, now - idle[0].since)
        return removed

    def retain(self, addresses: set[tuple[str, int]]) -> None:
        """Close the connections to all other addresses."""
        with self._lock:
            self.idle_timeouts.retain(addresses)
            self._last_response = {address: at for address, at in self._last_response.items() if address in addresses}
            removed = [address for address in self._idle if address not in addresses]
            stale = [sock for address in removed for sock in (each.sock for each in self._idle.pop(address))]
            self._count -= len(stale)
        for each in stale:
            close(each)

    def close(self) -> None:
        """Close all connections."""
        self.retain(set())
