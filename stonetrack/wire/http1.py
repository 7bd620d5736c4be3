"""HTTP/1.1 messages without I/O (RFC 9110, RFC 9112): one incremental parser for requests and responses.

A :class:`MessageReader` is fed the bytes received from a socket, split anywhere, and returns events: one head, any
number of ``Data``, one ``End``; then the next message.  Its states and transitions::

    HEAD ──head without body──────────────────────> END ──next feed──> HEAD
    HEAD ──Content-Length n──> COUNTED_BODY ──n bytes──> END
    HEAD ──chunked──> CHUNK_SIZE ──size > 0──> CHUNK_DATA ──bytes──> CHUNK_END ──CRLF──> CHUNK_SIZE
                      CHUNK_SIZE ──size 0──> TRAILER ──empty line──> END
    HEAD (response with neither) ──> UNTIL_CLOSE ──eof()──> END

Two parsers that disagree about framing allow request smuggling (RFC 9112, section 11.2).  Ambiguous input is therefore
an error and never repaired: both length headers or a repeated one, any transfer coding other than ``chunked``, a chunk
size with a sign, a blank or over 16 digits, a folded header, NUL or another control byte, a line that ends in a bare
LF, white space before a colon.

Time is linear in the number of bytes, however they are split: the search for the end of a line continues where the last
one stopped, and consumed bytes are removed once for each feed.  Memory: at most ``Limits.head`` bytes and one piece are
buffered.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from stonetrack.wire.errors import ProtocolError, TooLarge

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(rb"[!-~]+")  # visible ASCII: no spaces or control bytes
_INVALID_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(;[^\x00-\x08\x0a-\x1f\x7f]*)?")
_SHORT_EXTENSION = 64  # bytes of a chunk extension that is skipped without the state machine
_SIMPLE_CHUNK_LINE = re.compile(
    rb"([1-9A-Fa-f][0-9A-Fa-f]{0,6})(?:;[^\x00-\x08\x0a-\x1f\x7f]{0,%d})?\r\n" % _SHORT_EXTENSION
)
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?")
_BODYLESS_STATUSES = frozenset({204, 304})

REASONS = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    414: "URI Too Long",
    415: "Unsupported Media Type",
    417: "Expectation Failed",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits for one message: ``headers`` counts lines, all others count bytes."""

    head: int = 65_536
    start_line: int = 8_192
    headers: int = 100
    body: int = 16 << 20
    chunk_line: int = 1_024


FIELD_BYTES = 192  # of memory for a header field beside its characters: a tuple and two strings
_LINE_BYTES = 64  # of memory for a line of a head that is not complete, beside its characters


class Headers:
    """Header fields in order; names in lower case, values as latin-1 text without surrounding white space."""

    __slots__ = ("items",)

    def __init__(self, items: Iterable[tuple[str, str]] = ()) -> None:
        self.items = tuple(items)

    def get(self, name: str, default: str = "") -> str:
        """The first value of a field, looked up by its lower-case name."""
        for key, value in self.items:
            if key == name:
                return value
        return default

    def all(self, name: str) -> list[str]:
        """All values of a field, in order."""
        return [value for key, value in self.items if key == name]

    def tokens(self, name: str) -> list[str]:
        """The members of a comma-separated field, in lower case."""
        return [part.strip().lower() for value in self.all(name) for part in value.split(",") if part.strip()]

    @property
    def memory_bytes(self) -> int:
        """Memory that the fields take."""
        return sum(FIELD_BYTES + len(name) + len(value) for name, value in self.items)

    def __contains__(self, name: str) -> bool:
        return any(key == name for key, _ in self.items)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self.items)

    def __repr__(self) -> str:
        return f"Headers({list(self.items)!r})"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Headers) and self.items == other.items

    def __hash__(self) -> int:
        return hash(self.items)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A request line and header fields; ``keep_alive``: whether another request may follow on the connection."""

    method: str
    target: str
    headers: Headers
    keep_alive: bool
    length: int | None  # of the body in bytes; None for a chunked body
    accepts_chunked: bool = True  # whether the client accepts a chunked response (HTTP/1.1)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The part after the first question mark."""
        return self.target.partition("?")[2]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """A status line and header fields."""

    status: int
    reason: str
    headers: Headers
    keep_alive: bool
    length: int | None  # of the body in bytes; None for a chunked or close-delimited body


@dataclass(slots=True)  # not frozen: created for each piece, and a frozen instance takes three times as long to create
class Data:
    """Some bytes of the body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The message is complete."""

    trailers: Headers = Headers()


Event = RequestHead | ResponseHead | Data | End


class Side(Enum):
    """Which kind of messages is parsed."""

    REQUESTS = "requests"
    RESPONSES = "responses"


class _State(Enum):
    HEAD = "head"
    COUNTED_BODY = "length"
    CHUNK_SIZE = "chunk size"
    CHUNK_DATA = "chunk"
    CHUNK_END = "chunk end"
    TRAILER = "trailer"
    UNTIL_CLOSE = "until close"
    FAILED = "failed"


class MessageReader:
    """Incremental parser for the messages in one direction of a connection."""

    __slots__ = ("_buffer", "_lines", "_remaining", "_consumed", "_searched", "_size", "_side", "_state", "limits")

    def __init__(self, side: Side, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self._side = side
        self._buffer = bytearray()
        self._consumed = 0  # start of the bytes not consumed yet
        self._searched = 0  # the buffer holds no line end before this index
        self._state = _State.HEAD
        self._lines: list[bytes] = []  # of the current head or trailer
        self._remaining = 0  # bytes of the body or chunk still to come
        self._size = 0  # bytes of the head, or of a chunked body, so far

    @property
    def idle(self) -> bool:
        """Whether no byte of a message is buffered or parsed since the last message ended."""
        return self._state is _State.HEAD and not self._lines and not self._buffer

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that were received and not parsed yet."""
        return len(self._buffer)

    @property
    def held_bytes(self) -> int:
        """Memory for what was received and not passed on: ``buffered_bytes``, and the lines of an incomplete head."""
        lines = self._size + _LINE_BYTES * len(self._lines) if self._lines else 0
        return len(self._buffer) + lines

    @property
    def announced_bytes(self) -> int:
        """Size in bytes of all chunks of the current body whose size was read; 0 for a body that is not chunked."""
        return 0 if self._state is _State.HEAD else self._size

    @property
    def remaining_bytes(self) -> int:
        """Number of bytes still to come of the current chunk, or of a body of announced length; 0 outside of both."""
        return self._remaining if self._state in (_State.CHUNK_DATA, _State.COUNTED_BODY) else 0

    @property
    def state(self) -> str:
        """The part of the message that is expected next, for errors and logs."""
        return self._state.value

    def feed(self, data: bytes, messages: int = 1 << 30) -> list[Event]:
        """Parse received bytes; return the events that they complete, up to the end of ``messages`` messages.

        Bytes after that stay buffered for the next call.  Raises ProtocolError; the parser then accepts no more bytes.
        """
        if self._state is _State.FAILED:
            raise ProtocolError("the message before could not be read; nothing more is taken")
        self._buffer += data
        events: list[Event] = []
        try:
            while messages > 0:
                before = len(events)
                if not self._step(events):
                    break
                messages -= len(events) > before and isinstance(events[-1], End)
        except ProtocolError:
            self._state = _State.FAILED
            self._buffer.clear()
            raise
        if self._consumed:
            del self._buffer[: self._consumed]
            self._searched = max(0, self._searched - self._consumed)
            self._consumed = 0
        return events

    def append(self, data: bytes) -> None:
        """Keep received bytes for the next :meth:`feed`, unparsed."""
        self._buffer += data

    def discard(self) -> None:
        """Free what was received and not parsed; the parser accepts no more bytes."""
        self._state = _State.FAILED
        self._buffer, self._lines, self._consumed, self._searched = bytearray(), [], 0, 0

    def eof(self) -> list[Event]:
        """The peer has closed its side: ends a close-delimited body; returns no event between messages.

        Raises ProtocolError within a message.
        """
        if self._state is _State.UNTIL_CLOSE:
            self._state = _State.HEAD
            return [End()]
        if self.idle:
            return []
        raise ProtocolError(f"the connection was closed within a message ({self._state.value})")

    # One step of the state machine; returns whether it made progress.

    def _step(self, events: list[Event]) -> bool:
        match self._state:
            case _State.HEAD | _State.TRAILER:
                return self._read_field_line(events)
            case _State.COUNTED_BODY | _State.CHUNK_DATA:
                return self._read_counted(events)
            case _State.CHUNK_SIZE:
                if self._read_whole_chunks(events):
                    return True
                line = self._read_line(self.limits.chunk_line, "chunk size line", 400)
                return line is not None and self._begin_chunk(line)
            case _State.CHUNK_END:
                if len(self._buffer) - self._consumed < 2:
                    return False
                if self._buffer[self._consumed : self._consumed + 2] != b"\r\n":
                    raise ProtocolError("a chunk is longer than its size says")
                self._consumed += 2
                self._searched = self._consumed
                self._state = _State.CHUNK_SIZE
                return True
            case _State.UNTIL_CLOSE:
                if len(self._buffer) == self._consumed:
                    return False
                events.append(Data(bytes(self._buffer[self._consumed :])))
                self._consumed = len(self._buffer)
                return True
        return False

    def _read_line(self, limit: int, what: str, status: int) -> bytes | None:
        """The next line without its CRLF, or None if it is not complete yet."""
        end = self._buffer.find(b"\n", max(self._searched, self._consumed))
        length = (len(self._buffer) if end < 0 else end - 1) - self._consumed
        if length > limit:
            raise TooLarge(f"{what}: over {limit} bytes", status)
        if end < 0:
            self._searched = len(self._buffer)
            return None
        if end == self._consumed or self._buffer[end - 1] != 0x0D:
            raise ProtocolError(f"{what}: a line ends in a bare LF; CRLF is needed")
        line = bytes(self._buffer[self._consumed : end - 1])
        self._consumed = self._searched = end + 1
        return line

    def _read_field_line(self, events: list[Event]) -> bool:
        """Parse one line of a head or trailer."""
        first = self._state is _State.HEAD and not self._lines
        if first and self._side is Side.REQUESTS:
            line = self._read_line(self.limits.start_line, "request line", 414)
        else:
            line = self._read_line(self.limits.head, "header line", 431)
        if line is None:
            if self._size + len(self._buffer) - self._consumed > self.limits.head:
                raise TooLarge(f"headers: over {self.limits.head} bytes in all", 431)
            return False
        self._size += len(line) + 2
        if self._size > self.limits.head:
            raise TooLarge(f"headers: over {self.limits.head} bytes in all", 431)
        if line:
            if len(self._lines) > self.limits.headers:
                raise TooLarge(f"headers: over {self.limits.headers} lines", 431)
            self._lines.append(line)
            return True
        if first:  # RFC 9112, section 2.2: ignore an empty line before a request; only one is allowed here
            if self._size > 2 or self._side is Side.RESPONSES:
                raise ProtocolError("empty lines stand where a start line is needed")
            return True
        lines, self._lines, self._size = self._lines, [], 0
        if self._state is _State.TRAILER:
            self._state = _State.HEAD
            events.append(End(_parse_fields(lines)))
            return True
        head = self._parse_request(lines) if self._side is Side.REQUESTS else self._parse_response(lines)
        events.append(head)
        if self._state is _State.HEAD:  # no body: the message ends after its head
            events.append(End())
        return True

    def _read_counted(self, events: list[Event]) -> bool:
        take = min(self._remaining, len(self._buffer) - self._consumed)
        if not take:
            return False
        events.append(Data(bytes(self._buffer[self._consumed : self._consumed + take])))
        self._consumed += take
        self._searched = self._consumed
        self._remaining -= take
        if self._remaining == 0:
            if self._state is _State.CHUNK_DATA:
                self._state = _State.CHUNK_END
            else:
                self._state = _State.HEAD
                events.append(End())
        return True

    def _read_whole_chunks(self, events: list[Event]) -> bool:
        """Parse all complete chunks in the buffer into one ``Data``.

        This is the common case for a stream, and takes a third of the time of stepping through the states.  Chunks with
        long extensions, leading zeros or errors are left to the state machine.
        """
        buffer, at, total, limit = self._buffer, self._consumed, self._size, self.limits.body
        match_line = _SIMPLE_CHUNK_LINE.match
        data = []
        while True:
            line = match_line(buffer, at)
            if line is None:
                break
            size = int(line[1], 16)
            start = line.end()
            stop = start + size
            if total + size > limit or not buffer.startswith(b"\r\n", stop):
                break
            total += size
            data.append(buffer[start:stop])
            at = stop + 2
        if not data:
            return False
        events.append(Data(b"".join(data)))
        self._consumed = self._searched = at
        self._size = total
        return True

    def _begin_chunk(self, line: bytes) -> bool:
        found = _CHUNK_SIZE.fullmatch(line)
        if found is None:
            raise ProtocolError(f"chunk size {line[:40]!r}: 1 to 16 hexadecimal digits are needed")
        size = int(found.group(1), 16)
        self._size += size
        if self._size > self.limits.body:
            raise TooLarge(f"body: over {self.limits.body} bytes", 413)
        if size:
            self._remaining, self._state = size, _State.CHUNK_DATA
        else:
            self._state, self._size = _State.TRAILER, 0
        return True

    # Heads.

    def _parse_request(self, lines: list[bytes]) -> RequestHead:
        parts = lines[0].split(b" ")
        if len(parts) != 3 or not _TOKEN.fullmatch(parts[0]) or not _TARGET.fullmatch(parts[1]):
            raise ProtocolError(f"request line {lines[0][:80]!r}: METHOD TARGET HTTP/1.1 is needed")
        if not re.fullmatch(rb"HTTP/[0-9]\.[0-9]", parts[2]):
            raise ProtocolError(f"request line: unknown version {parts[2][:20]!r}")
        if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise ProtocolError(f"version {parts[2].decode()}: HTTP/1.1 and HTTP/1.0 are served", 505)
        http_1_1 = parts[2] == b"HTTP/1.1"
        headers = _parse_fields(lines[1:])
        if http_1_1 and len(headers.all("host")) != 1:
            raise ProtocolError("exactly one Host header is needed")
        length = self._body_length(headers, http_1_1)
        if length == -1:
            length = 0
        self._begin_body(length)
        return RequestHead(
            parts[0].decode(), parts[1].decode(), headers, _keeps_alive(headers, http_1_1), length, http_1_1
        )

    def _parse_response(self, lines: list[bytes]) -> ResponseHead:
        found = _STATUS_LINE.fullmatch(lines[0])
        if found is None:
            raise ProtocolError(f"status line {lines[0][:80]!r}: HTTP/1.1 STATUS REASON is needed")
        http_1_1, status = found.group(1) == b"1", int(found.group(2))
        headers = _parse_fields(lines[1:])
        length = self._body_length(headers, http_1_1)
        if status < 200 or status in _BODYLESS_STATUSES:
            length = 0
        keep = _keeps_alive(headers, http_1_1)
        if length == -1:
            self._state, keep, length = _State.UNTIL_CLOSE, False, None
        else:
            self._begin_body(length)
        return ResponseHead(status, (found.group(3) or b"").decode("latin-1"), headers, keep, length)

    def _body_length(self, headers: Headers, http_1_1: bool) -> int | None:
        """Body length in bytes, None for a chunked body, -1 if neither header is present (RFC 9112, section 6.3)."""
        codings, lengths = headers.all("transfer-encoding"), headers.all("content-length")
        if codings and lengths:
            raise ProtocolError("both Transfer-Encoding and Content-Length stand; one is allowed")
        if codings:
            if not http_1_1 or len(codings) != 1 or codings[0].lower() != "chunked":
                raise ProtocolError(f"Transfer-Encoding {codings!r}: only chunked is served", 501)
            return None
        if not lengths:
            return -1
        if len(lengths) > 1:
            raise ProtocolError("Content-Length stands more than once")
        if not re.fullmatch(r"[0-9]{1,18}", lengths[0]):
            raise ProtocolError(f"Content-Length {lengths[0][:40]!r}: a whole number is needed")
        length = int(lengths[0])
        if length > self.limits.body:
            raise TooLarge(f"body: {length} bytes, at most {self.limits.body}", 413)
        return length

    def _begin_body(self, length: int | None) -> None:
        if length is None:
            self._state, self._size = _State.CHUNK_SIZE, 0
        elif length:
            self._state, self._remaining = _State.COUNTED_BODY, length


def _parse_fields(lines: list[bytes]) -> Headers:
    items = []
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.fullmatch(name):
            raise ProtocolError(f"header line {line[:60]!r}: NAME: VALUE is needed (no folding, no blank before :)")
        value = value.strip(b" \t")
        if _INVALID_VALUE.search(value):
            raise ProtocolError(f"header {name.decode()}: control bytes in its value")
        items.append((name.decode().lower(), value.decode("latin-1")))
    return Headers(items)


def _keeps_alive(headers: Headers, http_1_1: bool) -> bool:
    options = headers.tokens("connection")
    return "close" not in options if http_1_1 else "keep-alive" in options
