"""Answers to the platform's clients (implements ``ports.Sink``): forwarded events, refusals, failures.

A stream that breaks off ends the connection without the last chunk.  Nothing follows a final answer.
"""

from __future__ import annotations

from collections.abc import Callable

from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.connection_sink import ConnectionSink
from stonetrack.frontend.host import plain_response
from stonetrack.node import ports
from stonetrack.wire import writer

SECOND = 1e9


def retry_after_headers(nanoseconds: int) -> tuple[tuple[str, str], ...]:
    """The Retry-After header in seconds, with decimals as needed; no header for 0."""
    return (("Retry-After", f"{nanoseconds / SECOND:g}"),) if nanoseconds > 0 else ()


def text_response(status: int, text: str, headers: tuple[tuple[str, str], ...] = (), keep: bool = False) -> bytes:
    """A complete answer in plain text; announces that the connection closes unless ``keep``."""
    return plain_response(status, f"{text}\n".encode(), headers, "text/plain; charset=utf-8", keep)


class EdgeSink(ConnectionSink):
    """The answer to one request on its client's connection."""

    __slots__ = ("_head", "final_kind", "keep", "on_begin", "request")

    def __init__(self, connection: Connection, request: HttpRequest) -> None:
        super().__init__(connection)
        self.request = request
        self.on_begin: Callable[[], None] = lambda: None
        self.keep = request.head.keep_alive
        self.final_kind = ""
        self._head = b""

    def begin(self) -> None:
        """Begin a streamed answer; its head is sent with the first event."""
        self.on_begin()
        self.keep = self.keep and not self.connection.closes_after_response and self.request.head.accepts_chunked
        fields = [("Content-Type", "text/event-stream"), *(() if self.keep else (("Connection", "close"),))]
        head = writer.chunked_head if self.request.head.accepts_chunked else writer.close_delimited_head
        self._head = head(200, fields)

    def send_part(self, part: ports.AnswerPart) -> None:
        """Forward events unchanged."""
        assert isinstance(part, ports.RawEvents)
        data = writer.chunk(part.data) if self.request.head.accepts_chunked else part.data
        if self._head:
            data, self._head = self._head + data, b""
        self.connection.write(data)

    def finish(self, final: ports.Final) -> None:
        """Send the final answer.  Raises RuntimeError for a second one."""
        if self.final_kind:
            raise RuntimeError(f"a second final answer ({type(final).__name__} after {self.final_kind})")
        self.final_kind = type(final).__name__.lower()
        match final:
            case ports.Served():
                if self.request.head.accepts_chunked:
                    self.connection.write(writer.LAST_CHUNK)
            case ports.Broken():
                self.keep = False  # the connection ends without the last chunk
            case ports.Refused(after):
                self.respond(503, "refused: try again", retry_after_headers(after))
            case ports.Failed(why):
                self.respond(502, f"failed: {why}")
            case ports.Rejected(status):
                self.respond(status, "refused by an engine")

    def respond(self, status: int, text: str, headers: tuple[tuple[str, str], ...] = ()) -> bool:
        """Send a complete answer; returns whether the connection may be kept open."""
        self.keep = self.keep and not self.connection.closes_after_response
        self.connection.write(text_response(status, text, headers, self.keep))
        return self.keep
