"""Bounds the memory that the heads and bodies of requests take, by their bytes.  No I/O.

The number of connections does not bound it: a body may hold a quarter of a megabyte, and clients that stop within one
keep it.  So each connection may hold a head and a small part of a body, and reads more only with a reservation for the
whole body.  A body with a reservation can be read to its end, so connections never wait for each other in a circle.
Connections without one wait in the order in which they came, and what their clients still send waits in the kernel.
If all of them hold too much, those that hold most are given up: clients with usual requests hold little, and briefly.

A request that is being served is counted as well, until it ends.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass

from stonetrack.frontend.connection import Connection, HttpRequest

_SERVED_COPIES = 2  # of a request that is served: its own, and that in the message to an engine


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Bounds in bytes.

    ``unreserved`` is for each connection without a reservation, more than the longest head takes, and ``partial`` for
    all of them; ``reading`` for all reservations, ``serving`` for all requests served."""

    unreserved: int = 65_536
    partial: int = 1 << 40
    reading: int = 256 << 20
    serving: int = 1 << 40


class _Share:
    """A bounded number of bytes, divided among connections.  Requires the lock of its owner."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.sizes: dict[Connection, int] = {}  # in the order in which they were taken

    def take(self, connection: Connection, size: int) -> bool:
        """Take ``size`` bytes for a connection; returns False, and takes nothing, if that would exceed the limit."""
        if self.used + size > self.limit:
            return False
        self.sizes[connection] = size
        self.used += size
        return True

    def set(self, connection: Connection, size: int) -> None:
        """Count ``size`` bytes for a connection in place of what it has taken, also beyond the limit."""
        self.give_back(connection)
        if size:
            self.sizes[connection] = size
            self.used += size

    def give_back(self, connection: Connection) -> None:
        """Give back what a connection has taken, if anything."""
        self.used -= self.sizes.pop(connection, 0)


class BodyMemory:
    """Reservations for bodies that are read, and the bytes of requests that are served.  Thread-safe.

    ``max_body`` is the longest body allowed, in bytes; it is reserved for a body whose length is not announced.
    """

    def __init__(self, limits: BodyLimits, max_body: int) -> None:
        self.limits, self._max_body = limits, max_body
        self._lock = threading.Lock()
        self._reserved, self._served = _Share(limits.reading), _Share(limits.serving)
        self._partial = _Share(limits.partial)
        self._waiting: dict[Connection, None] = {}  # in the order of arrival

    @property
    def reserved_bytes(self) -> int:
        """All reservations."""
        return self._reserved.used

    @property
    def served_bytes(self) -> int:
        """The bytes counted for all requests that are served."""
        return self._served.used

    @property
    def partial_bytes(self) -> int:
        """What all connections hold of incomplete requests without a reservation."""
        return self._partial.used

    @property
    def waiting(self) -> int:
        """Number of connections that wait for a reservation."""
        return len(self._waiting)

    def readable_bytes(self, connection: Connection) -> int:
        """The number of bytes that may be read from a connection now; 0 if it has to wait for a reservation."""
        with self._lock:
            if connection in self._reserved.sizes:
                return self.limits.unreserved
            if not connection.awaits_body:
                return max(self.limits.unreserved - connection.held_bytes, 1)  # a head always fits
            if (left := self.limits.unreserved - connection.held_bytes) > 0:
                return left
            if not self._waiting and self._reserve(connection):
                return self.limits.unreserved
            self._waiting[connection] = None
            return 0

    def hold(self, connection: Connection) -> list[Connection]:
        """Count what a connection holds now; returns those to reject to keep the bound, which hold most.

        What is read of a body with a reservation is counted there."""
        with self._lock:
            has_reservation = connection in self._reserved.sizes
            size = connection.held_bytes - (connection.partial_body_bytes if has_reservation else 0)
            self._partial.set(connection, size)
            excess = self._partial.used - self._partial.limit
            rejected = []
            while excess > 0 and self._partial.sizes:
                largest = max(self._partial.sizes, key=self._partial.sizes.__getitem__)
                excess -= self._partial.sizes[largest]
                self._partial.give_back(largest)
                rejected.append(largest)
            return rejected

    def grant(self) -> list[Connection]:
        """Reserve for waiting connections, first come first served; returns those that may be read from again."""
        granted = []
        with self._lock:
            for connection in list(self._waiting):
                if not self._reserve(connection):
                    break
                del self._waiting[connection]
                granted.append(connection)
        return granted

    def stalled(self, before: int) -> list[Connection]:
        """Connections to free for those that wait: with a reservation, and no byte since ``before`` (monotonic ns)."""
        with self._lock:
            if not self._waiting:
                return []
            return [connection for connection in self._reserved.sizes if connection.read_at < before]

    def stop_reading(self, connection: Connection) -> bool:
        """A body is complete or will not be read any further: give back its reservation; returns whether it waited."""
        with self._lock:
            self._reserved.give_back(connection)
            self._partial.give_back(connection)
            waited = connection in self._waiting
            self._waiting.pop(connection, None)
            return waited

    def start_serving(self, connection: Connection, request: HttpRequest) -> bool:
        """Count a request that is about to be served; returns False if that would exceed the bound."""
        message_bytes = request.head.headers.memory_bytes + len(request.body)
        size = _SERVED_COPIES * message_bytes + connection.reader.held_bytes
        with self._lock:
            return self._served.take(connection, size)

    def message_done(self, connection: Connection) -> None:
        """Head and body of the request that is served were freed before its end."""
        with self._lock:
            if connection in self._served.sizes:
                self._served.set(connection, connection.reader.held_bytes)

    def stop_serving(self, connection: Connection) -> None:
        """The request has ended."""
        with self._lock:
            self._served.give_back(connection)

    def exceeds_reservation(self, connection: Connection) -> bool:
        """Whether more of a body was read than can be reserved."""
        return connection.partial_body_bytes > self._reserved.limit

    def _reserve(self, connection: Connection) -> bool:
        """Requires the lock."""
        length = self._max_body if connection.body_length is None else connection.body_length
        # A body above the bound is read alone, and rejected there.
        return self._reserved.take(connection, min(length, self._reserved.limit))
