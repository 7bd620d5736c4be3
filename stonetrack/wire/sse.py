"""Event streams without I/O (WHATWG HTML, section 9.2 Server-sent events): a reader and a writer.

The reader takes pieces cut anywhere, within a line end or a UTF-8 sequence too; an event is given out when its
empty line has come, so half an event is never seen.  Memory is bounded by ``limit`` bytes for one event.
"""

from __future__ import annotations

from dataclasses import dataclass

from stonetrack.wire.errors import ProtocolError


@dataclass(slots=True)
class ServerSentEvent:
    """One event; ``name`` is empty where the stream names none."""

    data: bytes
    name: str = ""


class EventStreamReader:
    """Reads one stream's events."""

    __slots__ = ("_buffer", "_data", "_begun", "_limit", "_name", "_size")

    def __init__(self, limit: int = 1 << 20) -> None:
        self._buffer = bytearray()
        self._data: list[bytes] = []
        self._name = ""
        self._size = 0
        self._begun = False
        self._limit = limit

    @property
    def between_events(self) -> bool:
        """Whether the stream stands between two events."""
        return not self._buffer.strip(b"\r\n") and not self._data and not self._name

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """The events that these bytes complete.  Raises ProtocolError where one is over the limit."""
        self._buffer += data
        if not self._begun and len(self._buffer) >= 3:
            self._begun = True
            if self._buffer.startswith(b"\xef\xbb\xbf"):
                del self._buffer[:3]
        if self._size + len(self._buffer) > self._limit + 2 and b"\n" not in self._buffer:
            raise ProtocolError(f"an event is over {self._limit} bytes")
        events: list[ServerSentEvent] = []
        end = self._buffer.rfind(b"\n")
        held = end + 1
        if b"\r" in self._buffer:  # a lone CR ends a line too; the last byte may be half a CRLF
            last = self._buffer.rfind(b"\r", 0, len(self._buffer) - 1)
            held = max(held, last + 1) if self._buffer[last + 1 : last + 2] != b"\n" else held
            block = bytes(self._buffer[:held]).replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        else:
            block = bytes(self._buffer[:held])
        if not held:
            return events
        del self._buffer[:held]
        if not self._data and not self._name and block.endswith(b"\n\n"):
            # The usual case: whole events of one data line each.
            for event in block[:-2].split(b"\n\n"):
                if event.startswith(b"data: ") and b"\n" not in event and len(event) <= self._limit:
                    events.append(ServerSentEvent(event[6:]))
                else:
                    for line in event.split(b"\n"):
                        self._take(line, events)
                    self._take(b"", events)
            return events
        for line in block.split(b"\n")[:-1]:
            self._take(line, events)
        return events

    def _take(self, line: bytes, events: list[ServerSentEvent]) -> None:
        if not line:
            if self._data:
                events.append(ServerSentEvent(b"\n".join(self._data), self._name))
            self._data, self._name, self._size = [], "", 0
            return
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            self._size += len(value) + 1
            if self._size > self._limit:
                raise ProtocolError(f"an event is over {self._limit} bytes")
            self._data.append(value)
        elif name == b"event":
            self._name = value.decode("utf-8", "replace")


def encode(data: bytes, name: str = "") -> bytes:
    """One event; data with line ends becomes several data lines."""
    head = f"event: {name}\n".encode() if name else b""
    if b"\n" in data or b"\r" in data:
        lines = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
        return head + b"".join(b"data: " + line + b"\n" for line in lines) + b"\n"
    return head + b"data: " + data + b"\n\n"
