"""NETCONF message framing over a byte stream (RFC 6242, section 4).  Bytes in, messages out.

Until both peers have announced ``base:1.1`` in their hellos a message ends with ``]]>]]>`` (4.3).  After that it is
split into chunks, each a line ``#SIZE`` and its bytes, and ends with a line ``##`` (4.2).  End-of-message framing can't
carry its own delimiter, so a peer could smuggle a second message into the first; chunked framing can, and any
violation of it ends the session.

No byte is scanned twice except for the length of the delimiter; messages are bounded, and a chunk that is too large is
rejected before its bytes arrive.  Worst case: time linear in the bytes, memory of one message.
"""

from __future__ import annotations

from enum import Enum

END_OF_MESSAGE = b"]]>]]>"
MAX_SIZE_DIGITS = 10  # digits of a chunk size, 1 to 4294967295
MAX_CHUNK_BYTES = 4_294_967_295


class FramingError(ValueError):
    """The bytes violate the framing; the session must end.  The text has what was found and what is allowed."""


class _State(Enum):
    """Chunk decoder state.  HEAD -> DATA: size read; DATA -> HEAD: chunk complete; HEAD -> HEAD: end of message."""

    HEAD = "head"
    DATA = "data"


class FrameDecoder:
    """Decoder for one direction of a session; ``max_message_bytes`` bounds a message."""

    def __init__(self, max_message_bytes: int = 16 << 20) -> None:
        self._max_message_bytes = max_message_bytes
        self._chunked = False
        self._buffer = bytearray()
        self._scanned = 0  # leading bytes of the buffer already searched for the delimiter
        self._parts: list[bytes] = []
        self._parts_bytes = 0  # total bytes of the parts
        self._chunk_remaining = 0  # bytes of the current chunk not yet received
        self._state = _State.HEAD

    @property
    def empty(self) -> bool:
        """Whether no part of a message is buffered: only then is an end of the stream clean."""
        return not self._buffer and not self._parts and self._state is _State.HEAD

    def enable_chunking(self) -> None:
        """Switch to chunked framing, when both peers support 1.1.  Call between two messages."""
        self._chunked = True
        self._scanned = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The messages completed by these bytes.  Raises FramingError.

        The first message of a session may change the framing of the rest: use :meth:`push` and :meth:`next` there.
        """
        self.push(data)
        messages = []
        while (message := self.next()) is not None:
            messages.append(message)
        return messages

    def push(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def next(self) -> bytes | None:
        """The next complete message; None if more bytes are needed.  Raises FramingError."""
        return self._next_chunked() if self._chunked else self._next_delimited()

    def _next_delimited(self) -> bytes | None:
        index = self._buffer.find(END_OF_MESSAGE, max(0, self._scanned - len(END_OF_MESSAGE) + 1))
        length = index if index >= 0 else len(self._buffer) - len(END_OF_MESSAGE) + 1
        if length > self._max_message_bytes:
            raise FramingError(f"a message of over {self._max_message_bytes} bytes")
        if index < 0:
            self._scanned = len(self._buffer)
            return None
        message = bytes(self._buffer[:index])
        del self._buffer[: index + len(END_OF_MESSAGE)]
        self._scanned = 0
        return message

    def _next_chunked(self) -> bytes | None:
        while True:
            if self._state is _State.DATA:
                if not self._buffer:
                    return None
                part = bytes(self._buffer[: self._chunk_remaining])
                del self._buffer[: len(part)]
                self._parts.append(part)
                self._chunk_remaining -= len(part)
                if self._chunk_remaining:
                    return None
                self._state = _State.HEAD
            size = self._read_chunk_header()
            if size is None:
                return None
            if size == 0:
                if not self._parts:
                    raise FramingError("an end of chunks without a chunk before it")
                message = b"".join(self._parts)
                self._parts, self._parts_bytes = [], 0
                return message
            self._parts_bytes += size
            if self._parts_bytes > self._max_message_bytes:
                raise FramingError(f"a message of over {self._max_message_bytes} bytes")
            self._chunk_remaining, self._state = size, _State.DATA

    def _read_chunk_header(self) -> int | None:
        """The size of the next chunk, 0 for the end of chunks, None if more bytes are needed."""
        header = bytes(self._buffer[: MAX_SIZE_DIGITS + 3])
        end = header.find(b"\n", 1)
        if not b"\n#".startswith(header[:2]):
            raise FramingError(f"found {header[:2]!r}; allowed: a chunk's beginning, '\\n#'")
        if end < 0:
            digits = header[2:]
            if len(header) == MAX_SIZE_DIGITS + 3 or (digits and not self._is_size_field(digits)):
                raise FramingError(f"found {digits!r}; allowed: a size of 1 to {MAX_CHUNK_BYTES}, or '#'")
            return None
        digits = header[2:end]
        if digits == b"#":
            size = 0
        elif self._is_size_field(digits) and digits != b"#" and 0 < int(digits) <= MAX_CHUNK_BYTES:
            size = int(digits)
        else:
            raise FramingError(f"found {digits!r}; allowed: a size of 1 to {MAX_CHUNK_BYTES}, or '#'")
        del self._buffer[: end + 1]
        return size

    @staticmethod
    def _is_size_field(digits: bytes) -> bool:
        return digits == b"#" or (digits.isdigit() and digits[:1] != b"0")


def frame_delimited(message: bytes) -> bytes:
    """A message in the framing of 1.0.  Raises FramingError if it contains the delimiter."""
    if END_OF_MESSAGE in message:
        raise FramingError(f"the message holds {END_OF_MESSAGE.decode()}, which only chunks can carry")
    return message + END_OF_MESSAGE


def frame_chunked(message: bytes, max_chunk_bytes: int = 65_536) -> bytes:
    """A message in the framing of 1.1.  Raises FramingError for an empty message, which that framing can't express."""
    if not message:
        raise FramingError("an empty message; allowed: at least one byte")
    parts = []
    for offset in range(0, len(message), max_chunk_bytes):
        part = message[offset : offset + max_chunk_bytes]
        parts += [b"\n#%d\n" % len(part), part]
    return b"".join([*parts, b"\n##\n"])
