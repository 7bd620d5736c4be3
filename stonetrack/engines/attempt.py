"""One attempt on a socket: writes the request without blocking, reads the answer, ends with exactly one outcome."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable
from typing import Protocol

from stonetrack.api import Outcome
from stonetrack.node import sockets
from stonetrack.node.ports import AttemptEvent, AttemptResult
from stonetrack.node.sockets import ResourceExhausted

_READ_BYTES = 16_384  # of one read; what is read of a stream waits for its client in memory
_DISCARD_BYTES = 65_536  # of one read of an answer that nobody needs
_CANCEL_LIMIT = 5  # times the cancel timeout, for an engine that goes on sending
_END_WAIT_MS = 5  # wait for the end of the message after the outcome, so that the connection can be reused
_ALL_SENT = memoryview(b"")
_MAX_EXHAUSTED = 60  # consecutive calls without resources, each of them retried, after which an attempt is cancelled


class Exchange(Protocol):
    """Parses one answer of an engine; the implementation depends on the engine's protocol."""

    @property
    def received(self) -> bool:
        """Whether any byte of an answer has been received."""

    @property
    def reusable(self) -> bool:
        """Whether the connection may be used for another request."""

    @property
    def fully_read(self) -> bool:
        """Whether the answer has been received to its last byte, which may follow after the outcome."""

    @property
    def stream_position(self) -> str:
        """The part of the message that a stream is in, for logs; empty before its first event."""

    def feed(self, data: bytes) -> list[AttemptEvent]:
        """Parse received bytes; return the events that they complete."""

    def eof(self) -> list[AttemptEvent]:
        """The engine has closed the connection; return the final events."""

    def reset(self, reason: str) -> list[AttemptEvent]:
        """The connection was lost for this reason; return the final events."""


class SocketAttempt:
    """Implements ``ports.Attempt``; not thread-safe.

    ``cancel_timeout`` is in seconds.  ``unsent_outcome`` is the outcome if the connection is lost before the whole
    request was sent.  ``on_abandoned`` is called if an attempt whose request was sent whole ends without an answer or
    close from its engine; it takes over the connection (None if it is lost), whose sending side is shut down.
    ``reused`` tells that the connection has carried an earlier request.
    """

    __slots__ = ("_on_abandoned", "_cancel_timeout", "_exchange", "_return_connection", "_unsent_bytes", "_exhausted",
                 "_reused", "_sock", "_unsent_outcome", "__weakref__")  # fmt: skip

    def __init__(
        self,
        sock: socket.socket,
        request: bytes,
        exchange: Exchange,
        cancel_timeout: float,
        return_connection: Callable[[socket.socket], None],
        unsent_outcome: Outcome = Outcome.NOT_SENT,
        on_abandoned: Callable[[socket.socket | None], None] | None = None,
        reused: bool = False,
    ) -> None:
        self._reused = reused
        self._sock: socket.socket | None = sock
        self._unsent_bytes = memoryview(request)
        self._exchange = exchange
        self._cancel_timeout = cancel_timeout
        self._return_connection = return_connection
        self._unsent_outcome = unsent_outcome
        self._on_abandoned = on_abandoned
        self._exhausted = 0  # consecutive calls that failed because resources were exhausted

    def fileno(self) -> int:
        """The socket's file descriptor, -1 after the end of the attempt."""
        return self._sock.fileno() if self._sock is not None else -1

    @property
    def has_unsent_data(self) -> bool:
        """Whether part of the request has not been written yet."""
        return len(self._unsent_bytes) > 0

    @property
    def stream_position(self) -> str:
        """The part of the message that a stream is in, for logs; empty before its first event."""
        return self._exchange.stream_position

    def push(self) -> list[AttemptEvent]:
        """Write as much as the socket accepts without blocking."""
        sock = self._sock
        if sock is None:
            return []
        try:
            while self._unsent_bytes:
                self._unsent_bytes = self._unsent_bytes[sockets.send(sock, self._unsent_bytes) :]
                self._exhausted = 0
            self._unsent_bytes = _ALL_SENT  # an empty view still keeps the whole request in memory
        except BlockingIOError:
            pass
        except ResourceExhausted as error:
            return self._resources_exhausted(error)
        except OSError as error:
            if sockets.readable(sock):  # the engine may have answered before it closed
                return self._read(sock)
            return self._connection_lost(f"the connection broke while the request was sent: {error}")
        return []

    def process_io(self) -> list[AttemptEvent]:
        """Write and read as much as is possible without blocking."""
        events = self.push() if self._unsent_bytes else []
        if self._sock is not None and not any(isinstance(event, AttemptResult) for event in events):
            events += self._read(self._sock)
        return events

    def _read(self, sock: socket.socket) -> list[AttemptEvent]:
        try:
            data = sockets.receive(sock, _READ_BYTES)
        except BlockingIOError:
            return []
        except ResourceExhausted as error:
            return self._resources_exhausted(error)
        except OSError as error:
            return self._connection_lost(f"the connection broke: {error}")
        self._exhausted = 0
        if data and self._unsent_bytes and self._reused:
            # Engines begin once they have the whole request: what comes before answers an earlier request.
            return self._connection_lost("bytes arrived before the whole request was sent")
        if data:
            events = self._exchange.feed(data)
        elif self._unsent_bytes and not self._exchange.received:
            return self._connection_lost("the engine closed before it took the whole request")
        else:
            events = self._exchange.eof()
        if events and isinstance(events[-1], AttemptResult):
            self._finish(sock, bool(data))
            self._report_abandoned(events)
        return events

    def _report_abandoned(self, events: list[AttemptEvent]) -> None:
        """Call ``on_abandoned`` if the outcome is RESET: whether the engine ran the request is unknown."""
        over = events[-1] if events else None
        if self._on_abandoned is not None and isinstance(over, AttemptResult) and over.outcome is Outcome.RESET:
            self._on_abandoned(None)

    def _resources_exhausted(self, error: ResourceExhausted) -> list[AttemptEvent]:
        """Local resources are exhausted, which is not the engine's fault: retry up to ``_MAX_EXHAUSTED`` calls."""
        self._exhausted += 1
        if self._exhausted < _MAX_EXHAUSTED:
            return []
        unsent = bool(self._unsent_bytes) and not self._exchange.received
        self._close()
        if not unsent and self._on_abandoned is not None:
            self._on_abandoned(None)
        return [AttemptResult(Outcome.NOT_SENT if unsent else Outcome.CANCELLED, str(error))]

    def _connection_lost(self, reason: str) -> list[AttemptEvent]:
        """The connection is lost.  An engine can't run a request that it received in part (RFC 9112, section 8)."""
        unsent = bool(self._unsent_bytes) and not self._exchange.received
        self._close()
        if unsent:
            return [AttemptResult(self._unsent_outcome, reason)]
        events = self._exchange.reset(reason)
        self._report_abandoned(events)
        return events

    def _finish(self, sock: socket.socket, peer_open: bool) -> None:
        """After the outcome: return the connection to the pool if the answer was read to its end, else close it."""
        if peer_open and not self._unsent_bytes and self._exchange.reusable:
            if not self._exchange.fully_read:
                with contextlib.suppress(OSError):
                    if sockets.readable(sock, _END_WAIT_MS):
                        self._exchange.feed(sockets.receive(sock, 4_096))
            if self._exchange.fully_read and self._exchange.reusable:
                self._sock = None
                self._return_connection(sock)
                return
        self._close()

    def _close(self) -> None:
        if self._sock is not None:
            sockets.close(self._sock)
            self._sock = None

    def abort(self) -> None:
        """Cancel the attempt, and wait until the engine has noticed, so that attempts do not overlap.

        The sending side is shut down first.  A live engine then closes its side at once; waiting for that, up to
        ``cancel_timeout`` seconds for each read and ``_CANCEL_LIMIT`` times as long in all, keeps the order of two
        attempts at different engines whatever the network delays.  If the engine does not close, the connection is
        reset, or passed to ``on_abandoned``.

        Fulfils ``Obligation.ATTEMPT``.
        """
        if (sock := self._sock) is None:
            return
        self._sock = None
        closed = False
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
            closed = self._wait_for_close(sock)
        if closed or self._unsent_bytes or self._on_abandoned is None:
            sockets.reset(sock)
        else:
            self._on_abandoned(sock)

    def _wait_for_close(self, sock: socket.socket) -> bool:
        """Discard what the engine still sends; return whether it closed in time.  Raises OSError."""
        until = time.monotonic() + _CANCEL_LIMIT * self._cancel_timeout
        while (left := until - time.monotonic()) > 0 and sockets.readable(
            sock, min(left, self._cancel_timeout) * 1_000.0
        ):
            if not sockets.receive(sock, _DISCARD_BYTES):
                return True
        return False
