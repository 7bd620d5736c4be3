"""Answers to the platform's clients (``ports.Sink``): events passed on as they come, refusals, failures.

A stream that breaks ends the connection without the last chunk.  Nothing follows a final answer.
"""

from __future__ import annotations

from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.connection_sink import ConnectionSink
from stonetrack.frontend.host import plain_response
from stonetrack.node import ports
from stonetrack.wire import writer

SECOND = 1e9


def retry_after(nanoseconds: int) -> tuple[tuple[str, str], ...]:
    """The advice in seconds, decimal where it is under way of one; none for none."""
    return (("Retry-After", f"{nanoseconds / SECOND:g}"),) if nanoseconds > 0 else ()


def whole(status: int, text: str, headers: tuple[tuple[str, str], ...] = (), keep: bool = False) -> bytes:
    """One whole answer in plain text; the connection closes after it unless kept."""
    return plain_response(status, f"{text}\n".encode(), headers, "text/plain; charset=utf-8", keep)


class EdgeSink(ConnectionSink):
    """One request's answer on its client's connection."""

    __slots__ = ("_head", "ended", "keep", "request")

    def __init__(self, connection: Connection, request: HttpRequest) -> None:
        super().__init__(connection)
        self.request = request
        self.keep = request.head.keep_alive
        self.ended = ""
        self._head = b""

    def begin(self) -> None:
        """The answer begins; its head leaves with the first event."""
        self.keep = self.keep and not self.connection.closes_after_response and self.request.head.accepts_chunked
        fields = [("Content-Type", "text/event-stream"), *(() if self.keep else (("Connection", "close"),))]
        head = writer.chunked_head if self.request.head.accepts_chunked else writer.close_delimited_head
        self._head = head(200, fields)

    def send_part(self, piece: ports.AnswerPart) -> None:
        """Pass events on."""
        assert isinstance(piece, ports.RawEvents)
        data = writer.chunk(piece.data) if self.request.head.accepts_chunked else piece.data
        if self._head:
            data, self._head = self._head + data, b""
        self.connection.write(data)

    def finish(self, final: ports.Final) -> None:
        """The one final answer."""
        if self.ended:
            raise RuntimeError(f"a second final answer ({type(final).__name__} after {self.ended})")
        self.ended = type(final).__name__.lower()
        match final:
            case ports.Served():
                if self.request.head.accepts_chunked:
                    self.connection.write(writer.LAST_CHUNK)
            case ports.Broken():
                self.keep = False  # the connection ends without the last chunk
            case ports.Refused(after):
                self.respond(503, "refused: try again", retry_after(after))
            case ports.Failed(why):
                self.respond(502, f"failed: {why}")
            case ports.Rejected(status):
                self.respond(status, "refused by an engine")

    def respond(self, status: int, text: str, headers: tuple[tuple[str, str], ...] = ()) -> bool:
        """One whole answer; whether the connection may be kept."""
        self.keep = self.keep and not self.connection.closes_after_response
        self.connection.write(whole(status, text, headers, self.keep))
        return self.keep
