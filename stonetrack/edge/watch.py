"""Follows discovery on a thread of its own: one answer in chunks, JSON objects in it (:mod:`.documents`).

A watch that shows nothing for ``SILENCE_TIMEOUT_S`` seconds, not even an empty line, is broken, however open it looks;
it is begun
anew after the version held, after a pause that doubles and is drawn around that.  A change counts as told 6 s after the
agent had it, whatever call failed meanwhile, so what is left of those 6 s has to hold a failed call or two: two empty
lines may be missing, not more, and a new watch that is not answered at once, as the agent answers, is given up.  Calls
to the agent cost nothing (it is on the node's own machine), so it is asked again soon.  While discovery is down what is
known stays in force.  :meth:`DiscoveryWatch.change_address` follows another address: at once, asking for
what was missed.
"""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from collections.abc import Callable

from stonetrack.edge.documents import DocumentError, DocumentReader
from stonetrack.node.sockets import close, connect
from stonetrack.node.threads import lasting
from stonetrack.wire import http1, writer
from stonetrack.wire.errors import ProtocolError

PATH = "/discovery/hosts"
SILENCE_TIMEOUT_S = 4.2  # seconds; an empty line comes every 2
FIRST_BYTE_TIMEOUT_S = 0.5  # seconds for the first byte of a new watch; the agent answers at once
CONNECT_TIMEOUT_S = 0.5  # seconds
FIRST_PAUSE_S, MAX_PAUSE_S = 0.05, 0.25
_LIMITS = http1.Limits(head=16_384, headers=64, body=1 << 40)  # a watch lasts for as long as its connection


class DiscoveryWatch:
    """``on_document`` gets each document and whether it is the first of a connection; ``rev`` tells the version held.

    Owed: ``Obligation.TOLD_CHANGE``."""

    def __init__(
        self,
        address: tuple[str, int],
        rev: Callable[[], int],
        on_document: Callable[[bytes, bool], None],
        log: Callable[[str], None],
    ) -> None:
        self._address, self._rev, self._on_document, self._log = address, rev, on_document, log
        self._sock: socket.socket | None = None
        self._lock = threading.Lock()
        self._nudge = threading.Event()
        self._stopping = False
        self._said = ""
        self._draw = random.Random()
        self._thread = lasting("watch", self._run, log)

    def start(self) -> None:
        """Start following."""
        self._thread.start()

    def change_address(self, address: tuple[str, int]) -> None:
        """Follow another address from now on."""
        with self._lock:
            if address == self._address:
                return
            self._address = address
            self._cut()

    def stop(self) -> None:
        """Stop following."""
        with self._lock:
            self._stopping = True
            self._cut()

    def _cut(self) -> None:
        self._nudge.set()
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        pause = FIRST_PAUSE_S
        while not self._stopping:
            self._nudge.clear()
            try:
                self._follow()
                pause = FIRST_PAUSE_S
            except (OSError, ProtocolError, DocumentError) as error:
                if str(error) != self._said:
                    self._said = str(error)
                    self._log(f"discovery at {self._address[0]}:{self._address[1]}: {error}")
            except Exception as error:  # a list must never end the thread that follows it
                self._log(f"discovery: {type(error).__name__}: {error}")
            # All nodes lose their watch at one moment; they come back at moments of their own.
            if self._nudge.wait(pause * self._draw.uniform(0.5, 1.5)):
                pause = FIRST_PAUSE_S
            pause = min(pause * 2, MAX_PAUSE_S)

    def _follow(self) -> None:
        """One watch, to its end."""
        with self._lock:
            host, port = self._address
        sock = connect(host, port, CONNECT_TIMEOUT_S)
        with self._lock:
            if (host, port) != self._address or self._stopping:
                close(sock)
                return
            self._sock = sock
        try:
            sock.settimeout(FIRST_BYTE_TIMEOUT_S)
            after = f"&after={self._rev()}" if self._rev() >= 0 else ""
            sock.sendall(writer.request("GET", f"{PATH}?watch=1{after}", [("Host", f"{host}:{port}")]))
            self._read(sock)
        except TimeoutError:
            raise ConnectionError(f"nothing for {sock.gettimeout():g} s") from None
        finally:
            with self._lock:
                self._sock = None
            close(sock)

    def _read(self, sock: socket.socket) -> None:
        reader = http1.MessageReader(http1.Side.RESPONSES, _LIMITS)
        documents, first = DocumentReader(), True
        while data := sock.recv(65_536):
            sock.settimeout(SILENCE_TIMEOUT_S)
            for event in reader.feed(data):
                if isinstance(event, http1.ResponseHead) and event.status != 200:
                    raise ConnectionError(f"it answered {event.status}")
                if isinstance(event, http1.End):
                    return
                if not isinstance(event, http1.Data):
                    continue
                for each in documents.feed(event.data):
                    self._on_document(each, first)
                    first, self._said = False, ""
        raise ConnectionError("the watch was closed")
