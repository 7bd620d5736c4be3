"""NETCONF over a byte stream: where a message ends (RFC 6242, section 4).  Bytes in, messages out.

Until both sides have said ``base:1.1`` in their hellos a message ends with ``]]>]]>`` (4.3).  From then on it is cut
into chunks, each a line ``#SIZE`` and its bytes, and ends with a line ``##`` (4.2).  The first form can't carry its own
mark, so that a peer could smuggle a second message into the first; the second can, and anything in it that is not as
written ends the session.

The buffer's goal: no byte is looked at twice but the mark's own length; a message is bounded, and a chunk's size is
refused before its bytes come.  Worst case: linear in the bytes, memory of one message.
"""

from __future__ import annotations

from enum import Enum

END_OF_MESSAGE = b"]]>]]>"
MAX_SIZE_DIGITS = 10  # of a chunk's size: 1 to 4294967295
MAX_CHUNK_BYTES = 4_294_967_295


class FramingError(ValueError):
    """What came is no framing; the session must end.  The text says what was found and what is allowed."""


class _State(Enum):
    """Of chunks.  HEAD -> DATA: a size was read; DATA -> HEAD: its bytes came; HEAD -> HEAD: a message ended."""

    HEAD = "head"
    DATA = "data"


class FrameDecoder:
    """One direction of a session.  ``max_message_bytes`` bounds a message."""

    def __init__(self, max_message_bytes: int = 16 << 20) -> None:
        self._most = max_message_bytes
        self._chunked = False
        self._buffer = bytearray()
        self._seen = 0  # bytes of the buffer that hold no mark, as far as is known
        self._parts: list[bytes] = []
        self._held = 0  # bytes in the parts
        self._left = 0  # bytes to come of the chunk under way
        self._state = _State.HEAD

    @property
    def empty(self) -> bool:
        """Whether nothing of a message has come: an end of the stream is clean here only."""
        return not self._buffer and not self._parts and self._state is _State.HEAD

    def enable_chunking(self) -> None:
        """Both sides can 1.1: what comes next is in chunks.  Call between two messages."""
        self._chunked = True
        self._seen = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that are whole with these bytes.  Raises FramingError.

        The first message of a session may change the form of what follows: use :meth:`next` where that can be.
        """
        self.push(data)
        found = []
        while (message := self.next()) is not None:
            found.append(message)
        return found

    def push(self, data: bytes) -> None:
        """Take bytes."""
        self._buffer += data

    def next(self) -> bytes | None:
        """The next whole message; None where more bytes are needed.  Raises FramingError."""
        return self._next_chunked() if self._chunked else self._next_marked()

    def _next_marked(self) -> bytes | None:
        at = self._buffer.find(END_OF_MESSAGE, max(0, self._seen - len(END_OF_MESSAGE) + 1))
        length = at if at >= 0 else len(self._buffer) - len(END_OF_MESSAGE) + 1
        if length > self._most:
            raise FramingError(f"a message of over {self._most} bytes")
        if at < 0:
            self._seen = len(self._buffer)
            return None
        message = bytes(self._buffer[:at])
        del self._buffer[: at + len(END_OF_MESSAGE)]
        self._seen = 0
        return message

    def _next_chunked(self) -> bytes | None:
        while True:
            if self._state is _State.DATA:
                if not self._buffer:
                    return None
                part = bytes(self._buffer[: self._left])
                del self._buffer[: len(part)]
                self._parts.append(part)
                self._left -= len(part)
                if self._left:
                    return None
                self._state = _State.HEAD
            size = self._head()
            if size is None:
                return None
            if size == 0:
                if not self._parts:
                    raise FramingError("an end of chunks without a chunk before it")
                message = b"".join(self._parts)
                self._parts, self._held = [], 0
                return message
            self._held += size
            if self._held > self._most:
                raise FramingError(f"a message of over {self._most} bytes")
            self._left, self._state = size, _State.DATA

    def _head(self) -> int | None:
        """The size of the next chunk, 0 for the end of chunks, None where more bytes are needed."""
        head = bytes(self._buffer[: MAX_SIZE_DIGITS + 3])
        end = head.find(b"\n", 1)
        if not b"\n#".startswith(head[:2]):
            raise FramingError(f"found {head[:2]!r}; allowed: a chunk's beginning, '\\n#'")
        if end < 0:
            digits = head[2:]
            if len(head) == MAX_SIZE_DIGITS + 3 or (digits and not self._plausible(digits)):
                raise FramingError(f"found {digits!r}; allowed: a size of 1 to {MAX_CHUNK_BYTES}, or '#'")
            return None
        digits = head[2:end]
        if digits == b"#":
            size = 0
        elif self._plausible(digits) and digits != b"#" and 0 < int(digits) <= MAX_CHUNK_BYTES:
            size = int(digits)
        else:
            raise FramingError(f"found {digits!r}; allowed: a size of 1 to {MAX_CHUNK_BYTES}, or '#'")
        del self._buffer[: end + 1]
        return size

    @staticmethod
    def _plausible(digits: bytes) -> bool:
        return digits == b"#" or (digits.isdigit() and digits[:1] != b"0")


def frame_delimited(message: bytes) -> bytes:
    """A message in the form of 1.0.  Raises FramingError where it holds the mark."""
    if END_OF_MESSAGE in message:
        raise FramingError(f"the message holds {END_OF_MESSAGE.decode()}, which only chunks can carry")
    return message + END_OF_MESSAGE


def frame_chunked(message: bytes, max_chunk_bytes: int = 65_536) -> bytes:
    """A message in the form of 1.1.  Raises FramingError for an empty one, which the form does not know."""
    if not message:
        raise FramingError("an empty message; allowed: at least one byte")
    parts = []
    for at in range(0, len(message), max_chunk_bytes):
        part = message[at : at + max_chunk_bytes]
        parts += [b"\n#%d\n" % len(part), part]
    return b"".join([*parts, b"\n##\n"])
