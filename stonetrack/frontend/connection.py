"""One client's connection: its bytes to whole requests, and answers back without blocking."""

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
_DISCARD = 16  # reads of what a client still sends behind its last answer
_READ = 65_536  # bytes


@dataclass(slots=True)
class HttpRequest:
    """One whole request; ``arrived`` is the monotonic time in nanoseconds at which its head was there."""

    head: http1.RequestHead
    body: bytes
    arrived: int


@dataclass(slots=True)
class HostState:
    """Where the host stands, for its connections."""

    leaving: bool = False  # accepts still, and says in each answer that the connection closes
    draining: bool = False


class Connection:
    """One client's connection."""

    __slots__ = (
        "_body",
        "_head",
        "_head_at",
        "answering",
        "begun_at",
        "closed",
        "corked",
        "counted",
        "held",
        "lingers_until",
        "parked_at",
        "pending",
        "reader",
        "served",
        "sock",
        "state",
    )

    def __init__(self, sock: socket.socket, limits: http1.Limits, state: HostState) -> None:
        self.sock = sock
        self.state = state
        self.served = 0  # requests taken
        self.answering = False  # a byte of an answer to the last request taken was written
        self.corked = False
        self.lingers_until = 0  # answered for the last time; what still comes is thrown away until then
        self.reader = http1.MessageReader(http1.Side.REQUESTS, limits)
        self.pending = bytearray()  # written by us, not yet taken by the socket
        self.parked_at = self.begun_at = 0  # monotonic ns: since idle; since the first byte of a request
        self.closed = False
        self.held = 0  # bytes of a body not yet whole
        self.counted = 0  # of these, those that the host has counted
        self._head: http1.RequestHead | None = None
        self._head_at = 0
        self._body: list[bytes] = []

    def fileno(self) -> int:
        """The socket's descriptor, -1 once closed."""
        return -1 if self.closed else self.sock.fileno()

    def feed(self, data: bytes) -> HttpRequest | None:
        """Feed what came; a whole request if it completes one.  Raises ProtocolError."""
        now = time.monotonic_ns()
        if data and not self.begun_at:
            self.begun_at = now
        for event in self.reader.feed(data, messages=1):
            if isinstance(event, http1.RequestHead):
                self._head, self._head_at, self._body, self.held = event, now, [], 0
                if event.headers.get("expect").lower() == "100-continue" and event.length != 0:
                    self.write(_CONTINUE)
            elif isinstance(event, http1.Data):
                self._body.append(event.data)
                self.held += len(event.data)
            elif isinstance(event, http1.End) and self._head is not None:
                request = HttpRequest(self._head, b"".join(self._body), self._head_at)
                self._head, self._body, self.begun_at, self.held = None, [], 0, 0
                self.served += 1
                self.answering = False
                return request
        if not self.reader.idle and not self.begun_at:
            self.begun_at = now  # bytes that came with the request before
        return None

    @property
    def closes_after_response(self) -> bool:
        """Whether the answer under way is to be the connection's last: the instance is about to stop, and nothing that
        was read waits behind the request."""
        return (self.state.leaving or self.state.draining) and self.reader.idle

    @property
    def in_body(self) -> bool:
        """Whether a head has come and its body not yet."""
        return self._head is not None

    # Writing.  Nothing blocks but :meth:`drain`.

    def write(self, data: bytes) -> None:
        """Send what the socket takes, keep the rest as pending.  Raises ClientDisconnected.

        While ``corked``, all is kept: several events that came together leave in one call.
        """
        if self.closed:
            raise ClientDisconnected("closed")
        self.answering = True
        if not self.pending and not self.corked:
            sent = self._send(data)
            if sent == len(data):
                return
            data = data[sent:]
        self.pending += data

    def _send(self, data: bytes | bytearray) -> int:
        """Bytes that the socket took; none where it has no room, or this machine none for the moment."""
        try:
            return sockets.send(self.sock, data)
        except (BlockingIOError, sockets.ResourceExhausted):
            return 0
        except OSError as error:
            raise ClientDisconnected(str(error)) from None

    def flush(self) -> int:
        """Send of the pending what the socket takes; bytes left.  Raises ClientDisconnected."""
        if self.closed:
            raise ClientDisconnected("closed")
        while self.pending:
            sent = self._send(self.pending)
            if not sent:
                break
            del self.pending[:sent]
        return len(self.pending)

    def drain(self, stall: float) -> None:
        """Wait until all pending is taken, for so many seconds without progress at most.  Raises ClientDisconnected."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLOUT)
        progress, left = time.monotonic(), len(self.pending)
        while self.flush():
            if len(self.pending) < left:
                progress, left = time.monotonic(), len(self.pending)
            until = progress + stall - time.monotonic()
            if until <= 0 or not sockets.poll(poller, until * 1000.0):
                raise ClientDisconnected("the client takes nothing")

    # Closing.

    def close(self) -> None:
        """Close between two requests, without reading: a request that crosses the close has not been read, so its
        client sends it again elsewhere."""
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
            sockets.close(self.sock)

    def close_answered(self) -> None:
        """Close behind an answer that said that it is the last.

        Bytes that were never read would turn the close into a reset and take the answer along.
        """
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
                for _ in range(_DISCARD):
                    if not sockets.receive(self.sock, _READ):
                        break
            sockets.close(self.sock)

    def reset(self) -> None:
        """Close and drop what is pending."""
        if not self.closed:
            self.closed = True
            sockets.reset(self.sock)
