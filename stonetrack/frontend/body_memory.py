"""Bounds the memory that the bodies of requests take, by their bytes.  No I/O.

The number of connections does not bound it: a body may hold a quarter of a megabyte, and clients that stop within one
keep it.  So each connection may hold a small part of a body, and reads more only with a reservation for the whole body.
A body with a reservation can be read to its end, so connections never wait for each other in a circle.  Connections
without one wait in the order in which they came, and what their clients still send waits in the kernel.

A request that is being served is counted as well, until it ends.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass

from stonetrack.frontend.connection import Connection, HttpRequest

_SERVED_COPIES = 2  # of the body of a request that is served: its own, and that in the message to an engine


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Bounds in bytes.

    ``unreserved`` is for each connection, ``reading`` for all reservations, ``serving`` for all requests served."""

    unreserved: int = 65_536
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
    def waiting(self) -> int:
        """Number of connections that wait for a reservation."""
        return len(self._waiting)

    def readable_bytes(self, connection: Connection) -> int:
        """The number of bytes that may be read from a connection now; 0 if it has to wait for a reservation."""
        with self._lock:
            if not connection.awaits_body or connection in self._reserved.sizes:
                return self.limits.unreserved
            if (left := self.limits.unreserved - connection.partial_body_bytes) > 0:
                return left
            if not self._waiting and self._reserve(connection):
                return self.limits.unreserved
            self._waiting[connection] = None
            return 0

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
            waited = connection in self._waiting
            self._waiting.pop(connection, None)
            return waited

    def start_serving(self, connection: Connection, request: HttpRequest) -> bool:
        """Count a request that is about to be served; returns False if that would exceed the bound."""
        size = _SERVED_COPIES * len(request.body) + connection.reader.buffered_bytes
        with self._lock:
            return self._served.take(connection, size)

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
