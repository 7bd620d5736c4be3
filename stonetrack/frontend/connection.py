"""One client connection: parses its bytes into whole requests and writes responses without blocking."""

from __future__ import annotations

import contextlib
import select
import socket
import time
from dataclasses import dataclass

from stonetrack.node import sockets
from stonetrack.node.ports import ClientDisconnected
from stonetrack.wire import http1

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_MAX_DISCARD_READS = 16  # reads of input that a client sends after its last response
_READ_BYTES = 65_536
READ_AHEAD_BYTES = 4_096  # kept of what a client sends behind its open request


@dataclass(slots=True)
class HttpRequest:
    """One whole request; times are monotonic, in nanoseconds.

    ``arrived`` and ``completed`` are when the last byte of its head and of the request was read.  ``timed_from`` is
    when its client's time begins: at ``completed``, or earlier if the host stopped reading before the last byte.
    """

    head: http1.RequestHead
    body: bytes
    arrived: int
    completed: int
    timed_from: int


@dataclass(slots=True)
class HostState:
    """The host's state, shared with its connections."""

    closing_after_responses: bool = False  # still accepts, and each response carries ``Connection: close``
    draining: bool = False


class Connection:
    """One client connection.  ``read_ahead_bytes`` bounds what :meth:`read_ahead` keeps."""

    __slots__ = (
        "_body",
        "_head",
        "_head_bytes",
        "_head_read_at",
        "response_started",
        "request_started_at",
        "closed",
        "corked",
        "linger_until",
        "parked_at",
        "pending",
        "read_ahead_bytes",
        "read_at",
        "read_bytes",
        "read_cost_ns",
        "reader",
        "requests_read",
        "sock",
        "state",
        "unread_since",
    )

    def __init__(
        self, sock: socket.socket, limits: http1.Limits, state: HostState, read_ahead_bytes: int = READ_AHEAD_BYTES
    ) -> None:
        self.sock = sock
        self.state = state
        self.read_ahead_bytes = read_ahead_bytes
        self.requests_read = 0
        self.response_started = False  # a byte of the response to the last request was written
        self.corked = False
        self.linger_until = 0  # monotonic ns: after the last response, input is discarded until then
        self.reader = http1.MessageReader(http1.Side.REQUESTS, limits)
        self.pending = bytearray()  # written, not yet accepted by the socket
        self.parked_at = self.request_started_at = 0  # monotonic ns: idle since; first byte of a request
        self.closed = False
        self.read_at = 0  # monotonic ns: when bytes were read last
        self.read_bytes = self.read_cost_ns = 0  # input since the connection was parked, and the time that it took
        self.unread_since = (
            0  # monotonic ns: when the host stopped reading for the first time in this request; 0 if never
        )
        self._head: http1.RequestHead | None = None
        self._head_bytes = 0  # memory that the head takes
        self._head_read_at = 0
        self._body = bytearray()

    def fileno(self) -> int:
        """Return the socket's descriptor, -1 once closed."""
        return -1 if self.closed else self.sock.fileno()

    def feed(self, data: bytes) -> HttpRequest | None:
        """Feed received bytes; return a completed request, if any.  Raises ProtocolError or ClientDisconnected."""
        now = time.monotonic_ns()
        if data:
            self.read_at = now
            self.read_bytes += len(data)
            self.request_started_at = self.request_started_at or now
        for event in self.reader.feed(data, messages=1):
            if isinstance(event, http1.RequestHead):
                self._head, self._head_read_at, self._body = event, now, bytearray()
                self._head_bytes = event.headers.memory_bytes
                if event.headers.get("expect").lower() == "100-continue" and event.length != 0:
                    self.write(_CONTINUE)
            elif isinstance(event, http1.Data):
                self._body += event.data  # a list of many small chunks would take many times their size
            elif isinstance(event, http1.End) and self._head is not None:
                timed_from = self.unread_since or now
                request = HttpRequest(self._head, bytes(self._body), self._head_read_at, now, timed_from)
                self.discard_body()
                self.request_started_at = self.unread_since = 0
                self.requests_read += 1
                self.response_started = False
                return request
        if not self.reader.idle and not self.request_started_at:
            self.request_started_at = now  # bytes received together with the previous request
        return None

    def read_ahead(self) -> bool:
        """Receive what the client has sent behind its open request, within ``read_ahead_bytes``, without parsing it.

        Returns whether nothing is left unread.  Only then does poll(2) tell whether the client has closed: the end of a
        connection lies behind all that was sent on it, and does not arrive while the receive buffer is full.
        """
        try:
            while (room := self.read_ahead_bytes - self.reader.buffered_bytes) > 0:
                data = sockets.receive(self.sock, min(room, _READ_BYTES))
                if not data:
                    return True
                self.reader.append(data)
            return not sockets.receive(self.sock, 1, sockets.PEEK)
        except sockets.ResourceExhausted:
            return False
        except OSError:  # nothing to read now, or the connection broke: poll(2) reports that
            return True

    def discard_body(self) -> None:
        """Free the head and the body read so far."""
        self._head, self._head_bytes, self._body = None, 0, bytearray()

    @property
    def partial_body_bytes(self) -> int:
        """Number of bytes read of an incomplete body."""
        return len(self._body)

    @property
    def held_bytes(self) -> int:
        """Memory for what was read of an incomplete request: its head, the body so far, and bytes not parsed yet."""
        return self.reader.held_bytes + self._head_bytes + len(self._body)

    @property
    def body_length(self) -> int | None:
        """Announced length in bytes of the body that is awaited; None if it is not known."""
        return self._head.length if self._head is not None else None

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the current response: the instance is about to stop, and no further input
        was read behind the request."""
        return (self.state.closing_after_responses or self.state.draining) and self.reader.idle

    @property
    def awaits_body(self) -> bool:
        """Whether a head was read and its body is incomplete."""
        return self._head is not None

    # Writing; only :meth:`drain` blocks.

    def write(self, data: bytes) -> None:
        """Send what the socket accepts and keep the rest as pending.  Raises ClientDisconnected.

        While ``corked``, all data stays pending, so that several events received together are sent in one call.
        """
        if self.closed:
            raise ClientDisconnected("closed")
        self.response_started = True
        if not self.pending and not self.corked:
            sent = self._send(data)
            if sent == len(data):
                return
            data = data[sent:]
        self.pending += data

    def _send(self, data: bytes | bytearray) -> int:
        """Return the bytes sent; 0 if the socket's buffer is full or local resources are exhausted for the moment."""
        try:
            return sockets.send(self.sock, data)
        except (BlockingIOError, sockets.ResourceExhausted):
            return 0
        except OSError as error:
            raise ClientDisconnected(str(error)) from None

    def flush(self) -> int:
        """Send pending data as far as the socket accepts it; return the bytes left.  Raises ClientDisconnected."""
        if self.closed:
            raise ClientDisconnected("closed")
        while self.pending:
            sent = self._send(self.pending)
            if not sent:
                break
            del self.pending[:sent]
        return len(self.pending)

    def drain(self, stall: float) -> None:
        """Wait until all pending data is sent.  Raises ClientDisconnected after ``stall`` seconds without progress."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLOUT)
        progress, left = time.monotonic(), len(self.pending)
        while self.flush():
            if len(self.pending) < left:
                progress, left = time.monotonic(), len(self.pending)
            until = progress + stall - time.monotonic()
            if until <= 0:
                raise ClientDisconnected("the client takes nothing")
            sockets.poll(poller, until * 1000.0)  # may report no room although some is free: :meth:`flush` finds it

    # Closing.

    def close(self) -> None:
        """Close between two requests, without reading: a request that crosses the close stays unread, so its client
        retries it elsewhere."""
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
            sockets.close(self.sock)

    def close_answered(self) -> None:
        """Close after a response with ``Connection: close``.

        Input left unread would turn the close into a reset and lose the response, so it is read first.
        """
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
                for _ in range(_MAX_DISCARD_READS):
                    if not sockets.receive(self.sock, _READ_BYTES):
                        break
            sockets.close(self.sock)

    def reset(self) -> None:
        """Reset the connection and drop pending data."""
        if not self.closed:
            self.closed = True
            sockets.reset(self.sock)
