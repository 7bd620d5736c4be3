"""HTTP/1.1 messages without I/O (RFC 9110, RFC 9112): one reader for requests and responses, and writers.

Theory of operation.  A :class:`MessageReader` is fed whatever a socket gave, in pieces of any size, and returns
events: one head, any number of ``Data``, one ``End``; then the next message.  Its states and edges::

    HEAD ──head without body──────────────> END ──next feed──> HEAD
    HEAD ──Content-Length n──> LENGTH ──n bytes──> END
    HEAD ──chunked──> SIZE ──size > 0──> CHUNK ──bytes──> GAP ──CRLF──> SIZE
                      SIZE ──size 0──> TRAILER ──empty line──> END
    HEAD (response, neither)──> UNTIL_CLOSE ──eof()──> END

Framing is where two parsers that disagree can be played against each other (request smuggling), so all that
is doubtful is an error here, never repaired: both length headers or a repeated one, any transfer coding but
``chunked``, a chunk size with a sign, blank or over 16 digits, a folded header, NUL or another control byte, a
line that ends in a bare LF, white space before a colon.

Cost: linear in the bytes, whatever their pieces: a search for a line's end goes on where the last one stopped,
and what was consumed is cut off once a feed.  Memory: at most ``Limits.head`` bytes and one piece are kept.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from stonetrack.wire.errors import ProtocolError, TooLarge

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(rb"[!-~]+")  # visible ASCII: no space, no control
_VALUE_BAD = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(;[^\x00-\x08\x0a-\x1f\x7f]*)?")
_PLAIN_SIZE = re.compile(rb"[1-9A-Fa-f][0-9A-Fa-f]{0,6}")
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?")
_NO_BODY = frozenset({204, 304})

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
    """Bounds of one message, in bytes and lines."""

    head: int = 65_536
    start_line: int = 8_192
    headers: int = 100
    body: int = 16 << 20
    chunk_line: int = 1_024


class Headers:
    """Header fields in order; names in lower case, values as latin-1 text without outer blanks."""

    __slots__ = ("items",)

    def __init__(self, items: Iterable[tuple[str, str]] = ()) -> None:
        self.items = tuple(items)

    def get(self, name: str, default: str = "") -> str:
        """The first value of a field, by its lower-case name."""
        for key, value in self.items:
            if key == name:
                return value
        return default

    def all(self, name: str) -> list[str]:
        """Every value of a field, in order."""
        return [value for key, value in self.items if key == name]

    def tokens(self, name: str) -> list[str]:
        """The members of a comma-separated field, in lower case."""
        return [part.strip().lower() for value in self.all(name) for part in value.split(",") if part.strip()]

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
    """A request's start line and fields; ``keep_alive`` says whether another may follow."""

    method: str
    target: str
    headers: Headers
    keep_alive: bool
    length: int | None  # None where it comes in chunks
    accepts_chunked: bool = True  # whether the client understands an answer in chunks (HTTP/1.1)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """What follows the first question mark."""
        return self.target.partition("?")[2]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """A response's status line and fields."""

    status: int
    reason: str
    headers: Headers
    keep_alive: bool
    length: int | None  # None where it comes in chunks or lasts until the connection closes


@dataclass(slots=True)  # not frozen: made for every piece, and a frozen one costs three times as much to make
class Data:
    """Some bytes of the body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The message is complete."""

    trailers: Headers = Headers()


Event = RequestHead | ResponseHead | Data | End


class Side(Enum):
    """Whose messages are read."""

    REQUESTS = "requests"
    RESPONSES = "responses"


class _State(Enum):
    HEAD = "head"
    LENGTH = "length"
    SIZE = "chunk size"
    CHUNK = "chunk"
    GAP = "chunk end"
    TRAILER = "trailer"
    UNTIL_CLOSE = "until close"
    FAILED = "failed"


class MessageReader:
    """Reads the messages of one direction of one connection."""

    __slots__ = ("_buffer", "_lines", "_left", "_pos", "_scan", "_seen", "_side", "_state", "limits")

    def __init__(self, side: Side, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self._side = side
        self._buffer = bytearray()
        self._pos = 0  # consumed
        self._scan = 0  # searched for a line's end
        self._state = _State.HEAD
        self._lines: list[bytes] = []  # of the head or trailer so far
        self._left = 0  # bytes of the body or chunk to come
        self._seen = 0  # bytes of the head, or of a body in chunks, so far

    @property
    def idle(self) -> bool:
        """Whether nothing of a message has been read since the last one ended."""
        return self._state is _State.HEAD and not self._lines and not self._buffer

    @property
    def state(self) -> str:
        """What is being read, for errors and logs."""
        return self._state.value

    def feed(self, data: bytes, messages: int = 1 << 30) -> list[Event]:
        """Take what the socket gave; the events it completes, up to the end of so many messages.

        What follows stays buffered for the next feed.  Raises ProtocolError; the reader then takes no more.
        """
        if self._state is _State.FAILED:
            raise ProtocolError("the message before could not be read; nothing more is taken")
        self._buffer += data
        events: list[Event] = []
        try:
            while messages > 0:
                had = len(events)
                if not self._step(events):
                    break
                messages -= len(events) > had and isinstance(events[-1], End)
        except ProtocolError:
            self._state = _State.FAILED
            self._buffer.clear()
            raise
        if self._pos:
            del self._buffer[: self._pos]
            self._scan = max(0, self._scan - self._pos)
            self._pos = 0
        return events

    def eof(self) -> list[Event]:
        """The peer has closed: the end of a body that lasts until then, or nothing between messages.

        Raises ProtocolError within a message.
        """
        if self._state is _State.UNTIL_CLOSE:
            self._state = _State.HEAD
            return [End()]
        if self.idle:
            return []
        raise ProtocolError(f"the connection was closed within a message ({self._state.value})")

    # One step of the machine: True if it got further.

    def _step(self, events: list[Event]) -> bool:
        match self._state:
            case _State.HEAD | _State.TRAILER:
                return self._block(events)
            case _State.LENGTH | _State.CHUNK:
                return self._counted(events)
            case _State.SIZE:
                if self._whole_chunks(events):
                    return True
                line = self._line(self.limits.chunk_line, "chunk size line", 400)
                return line is not None and self._chunk_size(line)
            case _State.GAP:
                if len(self._buffer) - self._pos < 2:
                    return False
                if self._buffer[self._pos : self._pos + 2] != b"\r\n":
                    raise ProtocolError("a chunk is longer than its size says")
                self._pos += 2
                self._scan = self._pos
                self._state = _State.SIZE
                return True
            case _State.UNTIL_CLOSE:
                if len(self._buffer) == self._pos:
                    return False
                events.append(Data(bytes(self._buffer[self._pos :])))
                self._pos = len(self._buffer)
                return True
        return False

    def _line(self, most: int, what: str, status: int) -> bytes | None:
        """The next line without its CRLF, or None where it is not complete yet."""
        end = self._buffer.find(b"\n", max(self._scan, self._pos))
        length = (len(self._buffer) if end < 0 else end - 1) - self._pos
        if length > most:
            raise TooLarge(f"{what}: over {most} bytes", status)
        if end < 0:
            self._scan = len(self._buffer)
            return None
        if end == self._pos or self._buffer[end - 1] != 0x0D:
            raise ProtocolError(f"{what}: a line ends in a bare LF; CRLF is needed")
        line = bytes(self._buffer[self._pos : end - 1])
        self._pos = self._scan = end + 1
        return line

    def _block(self, events: list[Event]) -> bool:
        """One line of a head or a trailer."""
        first = self._state is _State.HEAD and not self._lines
        if first and self._side is Side.REQUESTS:
            line = self._line(self.limits.start_line, "request line", 414)
        else:
            line = self._line(self.limits.head, "header line", 431)
        if line is None:
            if self._seen + len(self._buffer) - self._pos > self.limits.head:
                raise TooLarge(f"headers: over {self.limits.head} bytes in all", 431)
            return False
        self._seen += len(line) + 2
        if self._seen > self.limits.head:
            raise TooLarge(f"headers: over {self.limits.head} bytes in all", 431)
        if line:
            if len(self._lines) > self.limits.headers:
                raise TooLarge(f"headers: over {self.limits.headers} lines", 431)
            self._lines.append(line)
            return True
        if first:  # RFC 9112 2.2: an empty line before a request is passed over; one, here
            if self._seen > 2 or self._side is Side.RESPONSES:
                raise ProtocolError("empty lines stand where a start line is needed")
            return True
        lines, self._lines, self._seen = self._lines, [], 0
        if self._state is _State.TRAILER:
            self._state = _State.HEAD
            events.append(End(_fields(lines)))
            return True
        head = self._request(lines) if self._side is Side.REQUESTS else self._response(lines)
        events.append(head)
        if self._state is _State.HEAD:  # no body: the message ends with its head
            events.append(End())
        return True

    def _counted(self, events: list[Event]) -> bool:
        take = min(self._left, len(self._buffer) - self._pos)
        if not take:
            return False
        events.append(Data(bytes(self._buffer[self._pos : self._pos + take])))
        self._pos += take
        self._scan = self._pos
        self._left -= take
        if self._left == 0:
            if self._state is _State.CHUNK:
                self._state = _State.GAP
            else:
                self._state = _State.HEAD
                events.append(End())
        return True

    def _whole_chunks(self, events: list[Event]) -> bool:
        """All chunks that are there whole, as one ``Data``: the usual case of a stream, at a third of the cost of
        going through the states one by one.  Whatever is not plain is left to those."""
        buffer, at, seen, most = self._buffer, self._pos, self._seen, self.limits.body
        data = []
        while True:
            end = buffer.find(b"\r\n", at, at + 10)
            if end < 0 or not _PLAIN_SIZE.fullmatch(buffer, at, end):
                break
            size = int(buffer[at:end], 16)
            stop = end + 2 + size
            if seen + size > most or buffer[stop : stop + 2] != b"\r\n":
                break
            seen += size
            data.append(buffer[end + 2 : stop])
            at = stop + 2
        if not data:
            return False
        events.append(Data(b"".join(data)))
        self._pos = self._scan = at
        self._seen = seen
        return True

    def _chunk_size(self, line: bytes) -> bool:
        found = _CHUNK_SIZE.fullmatch(line)
        if found is None:
            raise ProtocolError(f"chunk size {line[:40]!r}: 1 to 16 hexadecimal digits are needed")
        size = int(found.group(1), 16)
        self._seen += size
        if self._seen > self.limits.body:
            raise TooLarge(f"body: over {self.limits.body} bytes", 413)
        if size:
            self._left, self._state = size, _State.CHUNK
        else:
            self._state, self._seen = _State.TRAILER, 0
        return True

    # Heads.

    def _request(self, lines: list[bytes]) -> RequestHead:
        parts = lines[0].split(b" ")
        if len(parts) != 3 or not _TOKEN.fullmatch(parts[0]) or not _TARGET.fullmatch(parts[1]):
            raise ProtocolError(f"request line {lines[0][:80]!r}: METHOD TARGET HTTP/1.1 is needed")
        if not re.fullmatch(rb"HTTP/[0-9]\.[0-9]", parts[2]):
            raise ProtocolError(f"request line: unknown version {parts[2][:20]!r}")
        if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise ProtocolError(f"version {parts[2].decode()}: HTTP/1.1 and HTTP/1.0 are served", 505)
        new = parts[2] == b"HTTP/1.1"
        headers = _fields(lines[1:])
        if new and len(headers.all("host")) != 1:
            raise ProtocolError("exactly one Host header is needed")
        length = self._framing(headers, new)
        if length == -1:
            length = 0
        self._begin_body(length)
        return RequestHead(parts[0].decode(), parts[1].decode(), headers, _keeps(headers, new), length, new)

    def _response(self, lines: list[bytes]) -> ResponseHead:
        found = _STATUS_LINE.fullmatch(lines[0])
        if found is None:
            raise ProtocolError(f"status line {lines[0][:80]!r}: HTTP/1.1 STATUS REASON is needed")
        new, status = found.group(1) == b"1", int(found.group(2))
        headers = _fields(lines[1:])
        length = self._framing(headers, new)
        if status < 200 or status in _NO_BODY:
            length = 0
        keep = _keeps(headers, new)
        if length == -1:
            self._state, keep, length = _State.UNTIL_CLOSE, False, None
        else:
            self._begin_body(length)
        return ResponseHead(status, (found.group(3) or b"").decode("latin-1"), headers, keep, length)

    def _framing(self, headers: Headers, new: bool) -> int | None:
        """Body length: a number, None for chunks, -1 where neither field stands."""
        codings, lengths = headers.all("transfer-encoding"), headers.all("content-length")
        if codings and lengths:
            raise ProtocolError("both Transfer-Encoding and Content-Length stand; one is allowed")
        if codings:
            if not new or len(codings) != 1 or codings[0].lower() != "chunked":
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
            self._state, self._seen = _State.SIZE, 0
        elif length:
            self._state, self._left = _State.LENGTH, length


def _fields(lines: list[bytes]) -> Headers:
    items = []
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.fullmatch(name):
            raise ProtocolError(f"header line {line[:60]!r}: NAME: VALUE is needed (no folding, no blank before :)")
        value = value.strip(b" \t")
        if _VALUE_BAD.search(value):
            raise ProtocolError(f"header {name.decode()}: control bytes in its value")
        items.append((name.decode().lower(), value.decode("latin-1")))
    return Headers(items)


def _keeps(headers: Headers, new: bool) -> bool:
    options = headers.tokens("connection")
    return "close" not in options if new else "keep-alive" in options
