"""Short calls to engines over the shared pool: one request and its whole answer, within one timeout."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from stonetrack.edge.engine_table import Engine
from stonetrack.engines.pool import Carried, ConnectionPool
from stonetrack.node.sockets import ResourceExhausted, close, receive_until, reset
from stonetrack.wire import http1
from stonetrack.wire.errors import ProtocolError

SUSPECT_NS = 3_000_000_000  # an engine that did not answer is the last choice for so long
_LIMITS = http1.Limits(head=16_384, headers=64, body=65_536)
_MAX_BODY_BYTES = 4_096  # kept of an answer


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer; ``reusable`` tells whether the connection may carry another request."""

    head: http1.ResponseHead
    body: bytes
    reusable: bool


def send_and_receive(sock: socket.socket, request: bytes, timeout: float) -> Answer:
    """Send a request and read its answer, within ``timeout`` seconds in all.  Raises OSError."""
    reader = http1.MessageReader(http1.Side.RESPONSES, _LIMITS)
    end = time.monotonic() + timeout
    sock.settimeout(timeout)
    sock.sendall(request)
    head: http1.ResponseHead | None = None
    body = b""
    while True:
        data = receive_until(sock, 16_384, end)
        if not data:
            raise ConnectionError("connection closed without an answer")
        try:
            while events := reader.feed(data, messages=1):
                data = b""
                for event in events:
                    if isinstance(event, http1.ResponseHead):
                        head, body = event, b""
                    elif isinstance(event, http1.Data):
                        body = (body + event.data)[:_MAX_BODY_BYTES]
                    elif isinstance(event, http1.End) and head is not None and head.status >= 200:
                        sock.settimeout(None)
                        return Answer(head, body, head.keep_alive and reader.idle)
        except ProtocolError as error:
            raise ConnectionError(str(error)) from None


class EngineCalls:
    """Calls engines, and remembers for ``SUSPECT_NS`` which of them did not answer."""

    def __init__(self, pool: ConnectionPool, clock: Callable[[], int], connect_timeout: float) -> None:
        self._pool, self._clock, self._connect_timeout = pool, clock, connect_timeout
        self.suspect_until: dict[str, int] = {}  # node's clock in ns, by engine

    def retain(self, names: set[str]) -> None:
        """Drop what is remembered of engines that are not among these."""
        self.suspect_until = {name: until for name, until in self.suspect_until.items() if name in names}

    def last_response_at(self, engine: Engine) -> float:
        """Monotonic time in seconds at which an engine last answered on the shared pool; 0 if it never did."""
        return self._pool.last_response_at(engine.host, engine.port)

    def call(self, engine: Engine, message: bytes, timeout: float, carried: Carried = Carried.REQUEST) -> Answer:
        """Call an engine; returns its answer.  Raises OSError; the engine then counts as suspect for ``SUSPECT_NS``."""
        try:
            sock, age = self._pool.acquire(engine.host, engine.port, min(self._connect_timeout, timeout))
            try:
                answer = send_and_receive(sock, message, timeout)
            except TimeoutError:
                reset(sock)
                raise
            except OSError:
                reset(sock)
                self._pool.record_unanswered(age)
                raise
        except ResourceExhausted:
            raise  # a local shortage, not a failure of the engine
        except OSError:
            self.suspect_until[engine.name] = self._clock() + SUSPECT_NS
            raise
        if answer.reusable:
            self._pool.put_back(engine.host, engine.port, sock, carried)
        else:
            close(sock)
        return answer
