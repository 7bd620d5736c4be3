"""Event streams without I/O (WHATWG HTML, section 9.2 Server-sent events): parsing and encoding.

The parser accepts pieces split anywhere, also within a line end or a UTF-8 sequence.  An event is returned once its
empty line has been received, so a partial event is never visible.  Memory is limited to ``limit`` bytes for one event.
"""

from __future__ import annotations

from dataclasses import dataclass

from stonetrack.wire.errors import ProtocolError


@dataclass(slots=True)
class ServerSentEvent:
    """One event; ``name`` is empty if the stream gives no ``event`` field."""

    data: bytes
    name: str = ""


class EventStreamReader:
    """Incremental parser for the events of one stream."""

    __slots__ = ("_buffer", "_data", "_bom_checked", "_limit", "_event_name", "_event_size")

    def __init__(self, limit: int = 1 << 20) -> None:
        self._buffer = bytearray()
        self._data: list[bytes] = []
        self._event_name = ""
        self._event_size = 0
        self._bom_checked = False
        self._limit = limit

    @property
    def between_events(self) -> bool:
        """Whether no part of an event is buffered."""
        return not self._buffer.strip(b"\r\n") and not self._data and not self._event_name

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Return the events that these bytes complete.  Raises ProtocolError if one exceeds the limit."""
        self._buffer += data
        if not self._bom_checked and len(self._buffer) >= 3:
            self._bom_checked = True
            if self._buffer.startswith(b"\xef\xbb\xbf"):
                del self._buffer[:3]
        if self._event_size + len(self._buffer) > self._limit + 2 and b"\n" not in self._buffer:
            raise ProtocolError(f"an event is over {self._limit} bytes")
        events: list[ServerSentEvent] = []
        end = self._buffer.rfind(b"\n")
        complete = end + 1
        if b"\r" in self._buffer:  # a lone CR also ends a line; the last byte may be the first half of a CRLF
            last = self._buffer.rfind(b"\r", 0, len(self._buffer) - 1)
            complete = max(complete, last + 1) if self._buffer[last + 1 : last + 2] != b"\n" else complete
            block = bytes(self._buffer[:complete]).replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        else:
            block = bytes(self._buffer[:complete])
        if not complete:
            return events
        del self._buffer[:complete]
        if not self._data and not self._event_name and block.endswith(b"\n\n"):
            # Common case: complete events with one data line each.
            for event in block[:-2].split(b"\n\n"):
                if event.startswith(b"data: ") and b"\n" not in event and len(event) <= self._limit:
                    events.append(ServerSentEvent(event[6:]))
                else:
                    for line in event.split(b"\n"):
                        self._parse_line(line, events)
                    self._parse_line(b"", events)
            return events
        for line in block.split(b"\n")[:-1]:
            self._parse_line(line, events)
        return events

    def _parse_line(self, line: bytes, events: list[ServerSentEvent]) -> None:
        if not line:
            if self._data:
                events.append(ServerSentEvent(b"\n".join(self._data), self._event_name))
            self._data, self._event_name, self._event_size = [], "", 0
            return
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            self._event_size += len(value) + 1
            if self._event_size > self._limit:
                raise ProtocolError(f"an event is over {self._limit} bytes")
            self._data.append(value)
        elif name == b"event":
            self._event_name = value.decode("utf-8", "replace")


_LINE_START_BYTES = 8  # kept of a line that is not complete: enough to tell a data line and an empty one


class EventEnds:
    """Tells which pieces of a stream complete an event, without decoding it.

    Empty lines, comments and fields other than ``data`` complete none.  Pieces may be split anywhere.
    """

    __slots__ = ("_has_data", "_line")

    def __init__(self) -> None:
        self._line = b""  # the start of a line that is not complete
        self._has_data = False  # whether a data line of the current event is complete

    def feed(self, data: bytes) -> bool:
        """Return whether an event is complete with this piece."""
        if not self._line and not self._has_data and data.startswith(b"data:") and data.endswith(b"\n\n"):
            return True  # the usual piece: whole events
        completes = False
        *lines, last = (self._line + data).split(b"\n")
        for line in lines:
            if line in (b"", b"\r"):
                completes = completes or self._has_data
                self._has_data = False
            elif line.startswith(b"data:"):
                self._has_data = True
        self._line = last[:_LINE_START_BYTES]
        return completes


def encode(data: bytes, name: str = "") -> bytes:
    """Encode one event; data with line ends becomes several data lines."""
    head = f"event: {name}\n".encode() if name else b""
    if b"\n" in data or b"\r" in data:
        lines = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
        return head + b"".join(b"data: " + line + b"\n" for line in lines) + b"\n"
    return head + b"data: " + data + b"\n\n"
