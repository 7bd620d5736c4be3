"""Sinks that write an answer to a client's HTTP connection (``ports.Sink``), shared by all frontends.

A response head is held back until the first bytes of the body, so that both are sent in one packet.  A second final
answer is a defect: it raises RuntimeError, and the connection is closed.
"""

from __future__ import annotations

import time
from typing import Any

import msgspec

from stonetrack.frontend import errors
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.connection_sink import ConnectionSink
from stonetrack.frontend.host import plain_response
from stonetrack.node import ports
from stonetrack.wire import sse, writer

_encode = msgspec.json.Encoder().encode


class HttpSink(ConnectionSink):
    """Common part of the sinks: connection, timing, the single final answer."""

    def __init__(
        self,
        connection: Connection,
        request: HttpRequest,
        headers: tuple[tuple[str, str], ...],
        has_quota: bool,
        idempotent: bool,
    ) -> None:
        super().__init__(connection)
        self.request = request
        self.headers = headers
        self.keep_alive = request.head.keep_alive
        self.has_quota, self.idempotent = has_quota, idempotent
        self.started_at = -1  # monotonic ns at which the answer began, -1 before
        self.status = 0
        self.outcome = "gone"
        self.usage: dict[str, Any] | None = None

    def begin(self) -> None:
        """Note that the answer begins."""
        self.started_at = time.monotonic_ns()

    def finish(self, final: ports.Final) -> None:
        """Write the final answer.  Raises RuntimeError on a second call."""
        if self.outcome != "gone":
            raise RuntimeError(f"a second final answer ({type(final).__name__} after {self.outcome})")
        self.outcome = type(final).__name__.lower()
        error = errors.error_of_final(final, self.has_quota, self.idempotent)
        if error is None:
            self.complete()
        else:
            self.fail(error)

    def complete(self) -> None:
        """Write the end of a served answer."""
        raise NotImplementedError

    def fail(self, error: errors.ApiError) -> None:
        """Write an error."""
        raise NotImplementedError

    def respond(self, status: int, body: bytes, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Write a complete response."""
        self.status = status
        self.keep_alive = self.keep_alive and not self.connection.closes_after_response
        self.connection.write(plain_response(status, body, (*self.headers, *headers), keep=self.keep_alive))


class EventSink(HttpSink):
    """Streams events; a broken stream ends with an error event and without the marker of a complete answer."""

    _head = b""

    def begin(self) -> None:
        """Implement ``HttpSink``."""
        super().begin()
        self.status = 200
        self.keep_alive = self.keep_alive and not self.connection.closes_after_response
        fields = [("Content-Type", "text/event-stream; charset=utf-8"), ("Cache-Control", "no-cache"), *self.headers]
        if self.request.head.accepts_chunked and self.keep_alive:
            self._head = writer.chunked_head(200, fields)
        elif self.request.head.accepts_chunked:
            self._head = writer.chunked_head(200, [*fields, ("Connection", "close")])
        else:
            self.keep_alive = False
            self._head = writer.close_delimited_head(200, [*fields, ("Connection", "close")])

    def send_events(self, *data: bytes, last: bool = False) -> None:
        """Write the non-empty events, and the end of the body if ``last``."""
        encoded = b"".join(sse.encode(event) for event in data if event)
        if self.request.head.accepts_chunked:
            encoded = writer.chunk(encoded) + (writer.LAST_CHUNK if last else b"")
        if self._head:
            encoded, self._head = self._head + encoded, b""
        if encoded:
            self.connection.write(encoded)

    def error_body(self, error: errors.ApiError) -> bytes:
        """Return an error's body in the form of this frontend's API."""
        return _encode(error.body())

    def fail(self, error: errors.ApiError) -> None:
        """Implement ``HttpSink``."""
        if self.started_at >= 0:
            self.keep_alive = False
            self.send_events(self.error_body(error), last=True)
        else:
            self.respond(error.status, self.error_body(error), error.headers)


class BufferedSink(HttpSink):
    """Collects an answer and sends it as one response; ``max_bytes`` bounds its size."""

    max_bytes = 64 << 20

    def error_body(self, error: errors.ApiError) -> bytes:
        """Return an error's body in the form of this frontend's API."""
        return _encode(error.body())

    def fail(self, error: errors.ApiError) -> None:
        """Implement ``HttpSink``."""
        self.respond(error.status, self.error_body(error), error.headers)
