"""Calls whose answer did not come in time, and may come yet.

The bytes of a call that was not answered may lie in a queue of the engine's machine, or on a path that comes back: the
call may still be carried out, long after this node stopped waiting.  Such a connection is kept and watched, so that the
answer, or the connection's end, tells when.  Bounded in number and time; what is given up is told as settled too.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from stonetrack.node import sockets
from stonetrack.node.threads import lasting

KEPT_FOR = 60.0  # seconds
LOOK = 0.1  # seconds until a call that came meanwhile is watched too


@dataclass(frozen=True, slots=True)
class _Call:
    request: str
    sock: socket.socket
    until: float


class LateAnswers:
    """``settled`` is told a request's id once its call has been answered, has ended or is given up."""

    def __init__(self, most: int, settled: Callable[[str], None], log: Callable[[str], None]) -> None:
        self._most, self._settled = most, settled
        self._calls: OrderedDict[int, _Call] = OrderedDict()  # by descriptor, oldest first
        self._changed = threading.Condition(threading.Lock())
        self._stopping = False
        self._thread = lasting("late-answers", self._run, log)

    def __len__(self) -> int:
        return len(self._calls)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop, and close what is watched."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        if self._thread.ident is not None:
            self._thread.join(2.0)
        for call in self._calls.values():
            sockets.reset(call.sock)
        self._calls.clear()

    def watch(self, request: str, sock: socket.socket) -> None:
        """Watch a connection on which a call was written whole and not answered; it is this object's from now on."""
        with self._changed:
            self._calls[sock.fileno()] = _Call(request, sock, time.monotonic() + KEPT_FOR)
            oldest = next(iter(self._calls.values())) if len(self._calls) > self._most else None
            if oldest is not None:
                del self._calls[oldest.sock.fileno()]
            self._changed.notify_all()
        if oldest is not None:
            self._settle(oldest)

    def _settle(self, call: _Call) -> None:
        sockets.reset(call.sock)
        self._settled(call.request)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._calls and not self._stopping:
                    self._changed.wait()
                if self._stopping:
                    return
                watched = dict(self._calls)
            for fd in self._ready(watched):
                with self._changed:
                    if self._calls.get(fd) is not watched[fd]:
                        continue  # given up meanwhile
                    del self._calls[fd]
                self._settle(watched[fd])

    def _ready(self, watched: dict[int, _Call]) -> list[int]:
        """Descriptors on which anything came, or whose time is over."""
        poller = select.poll()
        for fd in watched:
            poller.register(fd, select.POLLIN | select.POLLRDHUP)
        told: list[tuple[int, int]] = []
        with contextlib.suppress(OSError):
            told = sockets.poll(poller, LOOK * 1_000.0)
        now = time.monotonic()
        return [*{fd for fd, _ in told} | {fd for fd, call in watched.items() if call.until <= now}]
