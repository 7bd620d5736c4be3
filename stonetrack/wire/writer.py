"""Heads and chunks as bytes (RFC 9112).  What is written is checked: no value can start a header of its own."""

from __future__ import annotations

import re
from collections.abc import Iterable

from stonetrack.wire.http1 import REASONS

_SAFE = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
LAST_CHUNK = b"0\r\n\r\n"

Fields = Iterable[tuple[str, str]]


def _head(start: str, headers: Fields) -> bytes:
    lines = [start]
    for name, value in headers:
        if not value.isprintable() and not _SAFE.fullmatch(value):
            raise ValueError(f"header {name}: control bytes in its value")
        lines.append(f"{name}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


def request(method: str, target: str, headers: Fields, body: bytes | None = None) -> bytes:
    """A whole request; a body brings its Content-Length."""
    fields = list(headers)
    if body is not None:
        fields.append(("Content-Length", str(len(body))))
    return _head(f"{method} {target} HTTP/1.1", fields) + (body or b"")


def response(status: int, headers: Fields, body: bytes = b"", head_only: bool = False) -> bytes:
    """A whole response with its Content-Length; to HEAD, without the body."""
    fields = [*headers] if status == 204 else [*headers, ("Content-Length", str(len(body)))]
    head = _head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", fields)
    return head if head_only else head + body


def chunked_head(status: int, headers: Fields) -> bytes:
    """The head of a response in chunks."""
    return _head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", [*headers, ("Transfer-Encoding", "chunked")])


def close_delimited_head(status: int, headers: Fields) -> bytes:
    """The head of a response that lasts until the connection closes (for HTTP/1.0)."""
    return _head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers)


def chunk(data: bytes) -> bytes:
    """One chunk; nothing for no data, since an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
