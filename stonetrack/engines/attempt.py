"""One attempt on a socket: writes the request as room comes, reads the answer, ends with one outcome."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Protocol

from stonetrack.api import Outcome
from stonetrack.node import sockets
from stonetrack.node.ports import AttemptEvent, AttemptResult
from stonetrack.node.sockets import ResourceExhausted

_SETTLE_MS = 5  # waited for the last byte after the answer's end, so that the connection can be kept
_SHORT_MOST = 60  # calls in a row for which the machine was short, each tried some times, before an attempt is given up


class Exchange(Protocol):
    """What reads one answer of an engine, by the protocol that is spoken with it."""

    @property
    def received(self) -> bool:
        """Whether any byte of an answer came."""

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""

    @property
    def fully_read(self) -> bool:
        """Whether the answer's last byte has come, after its outcome was given."""

    def feed(self, data: bytes) -> list[AttemptEvent]:
        """What these bytes tell."""

    def eof(self) -> list[AttemptEvent]:
        """The engine has closed."""

    def reset(self, why: str) -> list[AttemptEvent]:
        """The connection broke."""


class SocketAttempt:
    """See ``ports.Attempt``; used by one thread.  ``unsent`` is the outcome where the request did not go out whole.

    ``abandoned`` is told where an attempt that went out whole ends without its engine's word, and takes over its
    connection, if that still stands: this side's sending has ended on it."""

    __slots__ = ("_abandoned", "_confirm", "_exchange", "_give_back", "_out", "_short", "_sock", "_unsent",
                 "__weakref__")  # fmt: skip

    def __init__(
        self,
        sock: socket.socket,
        request: bytes,
        exchange: Exchange,
        confirm: float,
        give_back: Callable[[socket.socket], None],
        unsent: Outcome = Outcome.NOT_SENT,
        abandoned: Callable[[socket.socket | None], None] | None = None,
    ) -> None:
        self._sock: socket.socket | None = sock
        self._out = memoryview(request)
        self._exchange = exchange
        self._confirm = confirm
        self._give_back = give_back
        self._unsent = unsent
        self._abandoned = abandoned
        self._short = 0  # calls in a row for which the machine was short

    def fileno(self) -> int:
        """The socket's descriptor, -1 where the attempt is over."""
        return self._sock.fileno() if self._sock is not None else -1

    @property
    def has_unsent_data(self) -> bool:
        """Whether part of the request is still to be written."""
        return len(self._out) > 0

    def push(self) -> list[AttemptEvent]:
        """Write what the socket takes."""
        sock = self._sock
        if sock is None:
            return []
        try:
            while self._out:
                self._out = self._out[sockets.send(sock, self._out) :]
                self._short = 0
        except BlockingIOError:
            pass
        except ResourceExhausted as error:
            return self._out_of_means(error)
        except OSError as error:
            if sockets.readable(sock):  # it may have answered before it closed
                return self._read(sock)
            return self._broke(f"the connection broke while the request was sent: {error}")
        return []

    def process_io(self) -> list[AttemptEvent]:
        """Write and read what goes without blocking."""
        events = self.push() if self._out else []
        if self._sock is not None and not any(isinstance(event, AttemptResult) for event in events):
            events += self._read(self._sock)
        return events

    def _read(self, sock: socket.socket) -> list[AttemptEvent]:
        try:
            data = sockets.receive(sock, 65_536)
        except BlockingIOError:
            return []
        except ResourceExhausted as error:
            return self._out_of_means(error)
        except OSError as error:
            return self._broke(f"the connection broke: {error}")
        self._short = 0
        if data:
            events = self._exchange.feed(data)
        elif self._out and not self._exchange.received:
            return self._broke("the engine closed before it took the whole request")
        else:
            events = self._exchange.eof()
        if events and isinstance(events[-1], AttemptResult):
            self._settle(sock, bool(data))
            self._note_abandoned(events)
        return events

    def _note_abandoned(self, events: list[AttemptEvent]) -> None:
        """The connection is gone: where it broke, what the engine did is not known."""
        over = events[-1] if events else None
        if self._abandoned is not None and isinstance(over, AttemptResult) and over.outcome is Outcome.RESET:
            self._abandoned(None)

    def _out_of_means(self, error: ResourceExhausted) -> list[AttemptEvent]:
        """This machine can't send or read just now: no fault of the engine's, so it is tried again for a while."""
        self._short += 1
        if self._short < _SHORT_MOST:
            return []
        unsent = bool(self._out) and not self._exchange.received
        self._drop()
        if not unsent and self._abandoned is not None:
            self._abandoned(None)
        return [AttemptResult(Outcome.NOT_SENT if unsent else Outcome.CANCELLED, str(error))]

    def _broke(self, why: str) -> list[AttemptEvent]:
        """The connection is gone.  What the engine can't have taken whole, it can't have run (RFC 9112, 8)."""
        unsent = bool(self._out) and not self._exchange.received
        self._drop()
        if unsent:
            return [AttemptResult(self._unsent, why)]
        events = self._exchange.reset(why)
        self._note_abandoned(events)
        return events

    def _settle(self, sock: socket.socket, alive: bool) -> None:
        """After the outcome: keep the connection where its answer is whole, else close it."""
        if alive and not self._out and self._exchange.reusable:
            if not self._exchange.fully_read:
                with contextlib.suppress(OSError):
                    if sockets.readable(sock, _SETTLE_MS):
                        self._exchange.feed(sockets.receive(sock, 4_096))
            if self._exchange.fully_read and self._exchange.reusable:
                self._sock = None
                self._give_back(sock)
                return
        self._drop()

    def _drop(self) -> None:
        if self._sock is not None:
            sockets.close(self._sock)
            self._sock = None

    def abort(self) -> None:
        """Take the attempt back so that the engine has seen it before the next one starts.

        Our side is closed first; an engine that lives closes its own at once, and that is waited for, so the order
        of the two attempts holds at both engines whatever the ways between.  One that does not is reset, or watched by
        whoever takes abandoned attempts over.

        Owed: ``Obligation.ATTEMPT``.
        """
        if (sock := self._sock) is None:
            return
        self._sock = None
        seen = False
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
            waited = 0
            while waited < 64 and sockets.readable(sock, self._confirm * 1000.0):
                waited += 1
                if not sockets.receive(sock, 65_536):
                    seen = True
                    break
        if seen or self._out or self._abandoned is None:
            sockets.reset(sock)
        else:
            self._abandoned(sock)
