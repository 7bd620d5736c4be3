"""Splits the bytes of a discovery watch into JSON objects.  No I/O.

The protocol sends one object per line; an object may also be indented, over many lines.  Empty lines keep a watch alive
and do not occur within an object, so an object that is cut off ends at the next empty line: it is returned incomplete,
its receiver refuses it, and the objects after it are split correctly.
"""

from __future__ import annotations

import re

MAX_DOCUMENT_BYTES = 4 << 20  # of one object
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # strings match as a whole, so that braces inside are not counted
_DEPTH_CHANGE = {b"{": 1, b"[": 1, b"}": -1, b"]": -1}


class DocumentError(ValueError):
    """An object that can't be used: longer than ``MAX_DOCUMENT_BYTES``, or not of the protocol's form."""


class DocumentReader:
    """Collects received bytes and returns the objects that they complete."""

    def __init__(self) -> None:
        self._line = bytearray()  # not ended yet
        self._object = bytearray()  # lines of an object that is not complete
        self._depth = 0
        self.completed = 0  # objects, and empty lines between them

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; returns the objects that end in them, unchanged.  Raises DocumentError."""
        self._line += data
        if len(self._line) + len(self._object) > MAX_DOCUMENT_BYTES:
            raise DocumentError(f"a document over {MAX_DOCUMENT_BYTES} bytes")
        *lines, rest = self._line.split(b"\n")
        self._line = bytearray(rest)
        return [document for line in lines if (document := self._add_line(bytes(line)))]

    def _add_line(self, line: bytes) -> bytes:
        """Add one line; returns the object that it completes, else empty bytes."""
        if line.strip():
            self._object += line
            self._depth += sum(_DEPTH_CHANGE.get(token, 0) for token in _TOKENS.findall(line))
            if self._depth > 0:
                return b""
        self.completed += 1
        document, self._depth = bytes(self._object), 0
        self._object.clear()
        return document
