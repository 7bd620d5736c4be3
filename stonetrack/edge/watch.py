"""Watches the discovery service on a thread of its own: one chunked answer that carries JSON objects
(:mod:`.documents`).

A watch that completes nothing for ``SILENCE_TIMEOUT_S`` seconds, neither a document nor an empty line, counts as broken
although its connection is open and bytes may come.  It is restarted from the revision held, after a pause that doubles
up to a bound, with jitter.  The protocol expects a change to be propagated 6 s after the local agent received it,
whatever calls failed meanwhile, so within those 6 s there has to be time for one or two failed calls: at most two empty
lines may be missing, and a new watch that is not answered at once is abandoned, since a working agent answers at once.
Calls to the agent are cheap (it runs on the node's own machine), so the pauses are short.  While discovery is down the
held list stays in force.
:meth:`DiscoveryWatch.change_address` switches to another address at once and asks it for the changes since the revision
held.
"""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from collections.abc import Callable

from stonetrack.edge.documents import DocumentError, DocumentReader
from stonetrack.node.sockets import close, connect, receive_until
from stonetrack.node.threads import restarting_thread
from stonetrack.wire import http1, writer
from stonetrack.wire.errors import ProtocolError

PATH = "/discovery/hosts"
SILENCE_TIMEOUT_S = 4.2  # an empty line comes every 2 s
FIRST_BYTE_TIMEOUT_S = 0.5  # of a new watch; a working agent answers at once
CONNECT_TIMEOUT_S = 0.5
MAX_DOCUMENT_TIMEOUT_FACTOR = 8  # times the silence timeout: for a document that comes slowly
FIRST_PAUSE_S, MAX_PAUSE_S = 0.05, 0.25
_LIMITS = http1.Limits(head=16_384, headers=64, body=1 << 40)  # a watch's body is as long as its connection lasts


class DiscoveryWatch:
    """Follows the discovery service and restarts broken watches.

    ``on_document`` gets each document and whether it is the first of a watch; ``rev`` returns the revision held.
    Fulfils ``Obligation.TOLD_CHANGE``."""

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
        self._interrupt = threading.Event()
        self._stopping = False
        self._last_error = ""
        self._document_timeout_factor = 1  # times SILENCE_TIMEOUT_S
        self._random = random.Random()
        self._thread = restarting_thread("watch", self._run, log)

    def start(self) -> None:
        """Start following."""
        self._thread.start()

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to another address at once."""
        with self._lock:
            if address == self._address:
                return
            self._address = address
            self._break_off()

    def stop(self) -> None:
        """Stop following."""
        with self._lock:
            self._stopping = True
            self._break_off()

    def _break_off(self) -> None:
        self._interrupt.set()
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        pause = FIRST_PAUSE_S
        while not self._stopping:
            self._interrupt.clear()
            try:
                self._follow()
                pause = FIRST_PAUSE_S
            except (OSError, ProtocolError, DocumentError) as error:
                if str(error) != self._last_error:
                    self._last_error = str(error)
                    self._log(f"discovery at {self._address[0]}:{self._address[1]}: {error}")
            except Exception as error:  # no list may end the thread that watches discovery
                self._log(f"discovery: {type(error).__name__}: {error}")
            # All nodes lose their watch at the same moment; jitter spreads their reconnections.
            if self._interrupt.wait(pause * self._random.uniform(0.5, 1.5)):
                pause = FIRST_PAUSE_S
            pause = min(pause * 2, MAX_PAUSE_S)

    def _follow(self) -> None:
        """Run one watch to its end.  Raises OSError, ProtocolError, DocumentError."""
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
            raise ConnectionError(f"nothing received for {sock.gettimeout():g} s") from None
        finally:
            with self._lock:
                self._sock = None
            close(sock)

    def _read(self, sock: socket.socket) -> None:
        """Read documents until the watch ends.  Raises OSError, ProtocolError, DocumentError."""
        reader = http1.MessageReader(http1.Side.RESPONSES, _LIMITS)
        documents, first, completed = DocumentReader(), True, 0
        received_at = completed_at = time.monotonic()
        deadline = received_at + FIRST_BYTE_TIMEOUT_S
        while data := self._receive(sock, deadline, received_at > completed_at):
            for event in reader.feed(data):
                if isinstance(event, http1.ResponseHead) and event.status != 200:
                    raise ConnectionError(f"the agent answered {event.status}")
                if isinstance(event, http1.End):
                    return
                if not isinstance(event, http1.Data):
                    continue
                for document in documents.feed(event.data):
                    self._on_document(document, first)
                    first, self._last_error = False, ""
            received_at = time.monotonic()
            if documents.completed != completed:
                completed_at, completed = received_at, documents.completed
                self._document_timeout_factor = 1
            document_deadline = completed_at + SILENCE_TIMEOUT_S * self._document_timeout_factor
            deadline = min(received_at + SILENCE_TIMEOUT_S, document_deadline)
        raise ConnectionError("the agent closed the watch")

    def _receive(self, sock: socket.socket, deadline: float, incomplete: bool) -> bytes:
        """Receive up to a time of the monotonic clock.  Raises ConnectionError at that time, else OSError.

        A watch that ends within a document doubles the time that the next ones give it, up to a bound: a long list that
        comes slowly is received in the end.
        """
        try:
            return receive_until(sock, 65_536, deadline)
        except TimeoutError:
            if not incomplete:
                raise ConnectionError("nothing was received in time") from None
            self._document_timeout_factor = min(2 * self._document_timeout_factor, MAX_DOCUMENT_TIMEOUT_FACTOR)
            raise ConnectionError("bytes were received and no document was complete in time") from None
