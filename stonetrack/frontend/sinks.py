"""Answers on a client's connection: what every front's sinks share (``ports.Sink``).

A head is kept back until the first bytes that follow it, so that both leave in one packet.  After the final answer
nothing more is written: a second one raises, which is a defect and closes the connection.
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
    """Shared by all: connection, timing, the one final answer."""

    def __init__(
        self,
        connection: Connection,
        request: HttpRequest,
        headers: tuple[tuple[str, str], ...],
        limited: bool,
        repeatable: bool,
    ) -> None:
        super().__init__(connection)
        self.request = request
        self.headers = headers
        self.keep = request.head.keep_alive
        self.limited, self.repeatable = limited, repeatable
        self.first = -1  # monotonic ns of the beginning
        self.status = 0
        self.ended = "gone"
        self.usage: dict[str, Any] | None = None

    def begin(self) -> None:
        """The answer begins."""
        self.first = time.monotonic_ns()

    def finish(self, final: ports.Final) -> None:
        """Give the one final answer."""
        if self.ended != "gone":
            raise RuntimeError(f"a second final answer ({type(final).__name__} after {self.ended})")
        self.ended = type(final).__name__.lower()
        error = errors.of_final(final, self.limited, self.repeatable)
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
        """Write one whole response."""
        self.status = status
        self.keep = self.keep and not self.connection.closes_after_response
        self.connection.write(plain_response(status, body, (*self.headers, *headers), keep=self.keep))


class EventSink(HttpSink):
    """Streams events; one that breaks ends with an error event and nothing that looks like an end."""

    _head = b""

    def begin(self) -> None:
        """See ``HttpSink``."""
        super().begin()
        self.status = 200
        self.keep = self.keep and not self.connection.closes_after_response
        fields = [("Content-Type", "text/event-stream; charset=utf-8"), ("Cache-Control", "no-cache"), *self.headers]
        if self.request.head.accepts_chunked and self.keep:
            self._head = writer.chunked_head(200, fields)
        elif self.request.head.accepts_chunked:
            self._head = writer.chunked_head(200, [*fields, ("Connection", "close")])
        else:
            self.keep = False
            self._head = writer.close_delimited_head(200, [*fields, ("Connection", "close")])

    def event(self, *data: bytes, last: bool = False) -> None:
        """Write events, empty ones left out, and the end of the body after the last."""
        parts = b"".join(sse.encode(each) for each in data if each)
        if self.request.head.accepts_chunked:
            parts = writer.chunk(parts) + (writer.LAST_CHUNK if last else b"")
        if self._head:
            parts, self._head = self._head + parts, b""
        if parts:
            self.connection.write(parts)

    def error_body(self, error: errors.ApiError) -> bytes:
        """An error as this front's API gives it."""
        return _encode(error.body())

    def fail(self, error: errors.ApiError) -> None:
        """See ``HttpSink``."""
        if self.first >= 0:
            self.keep = False
            self.event(self.error_body(error), last=True)
        else:
            self.respond(error.status, self.error_body(error), error.headers)


class WholeSink(HttpSink):
    """Collects an answer and sends it whole; past the bound on its size it fails."""

    most = 64 << 20

    def error_body(self, error: errors.ApiError) -> bytes:
        """An error as this front's API gives it."""
        return _encode(error.body())

    def fail(self, error: errors.ApiError) -> None:
        """See ``HttpSink``."""
        self.respond(error.status, self.error_body(error), error.headers)
