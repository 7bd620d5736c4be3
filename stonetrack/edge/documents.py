"""Whole JSON objects out of a discovery watch's bytes, however they are laid out.  No I/O.

The protocol has one object on each line; an object may also come indented, over many lines.  Empty lines keep a watch
alive.  An object that is cut off before its end is handed on as it is at the next empty line, since none stands within
an object: whoever takes it refuses it, and what follows is read again.
"""

from __future__ import annotations

import re

MAX_DOCUMENT_BYTES = 4 << 20  # bytes of one object
_MARKS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # strings whole, so that braces within them do not count
_WEIGHTS = {b"{": 1, b"[": 1, b"}": -1, b"]": -1}


class DocumentError(ValueError):
    """An object that can't be used: longer than ``MAX_DOCUMENT_BYTES`` bytes, or not what the protocol has."""


class DocumentReader:
    """Feed it bytes; it returns the objects that they complete."""

    def __init__(self) -> None:
        self._line = bytearray()  # not yet ended
        self._lines = bytearray()  # of an object that is open
        self._depth = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Objects that end in these bytes, as they came.  Raises DocumentError."""
        self._line += data
        if len(self._line) + len(self._lines) > MAX_DOCUMENT_BYTES:
            raise DocumentError(f"a document over {MAX_DOCUMENT_BYTES} bytes")
        *lines, rest = self._line.split(b"\n")
        self._line = bytearray(rest)
        return [document for line in lines if (document := self._take(bytes(line)))]

    def _take(self, line: bytes) -> bytes:
        """One line; the object that it ends, else nothing."""
        if line.strip():
            self._lines += line
            self._depth += sum(_WEIGHTS.get(mark, 0) for mark in _MARKS.findall(line))
            if self._depth > 0:
                return b""
        document, self._depth = bytes(self._lines), 0
        self._lines.clear()
        return document
