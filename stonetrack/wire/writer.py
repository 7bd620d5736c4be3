"""HTTP/1.1 heads and chunks as bytes (RFC 9112).  Header values are checked, which prevents header injection."""

from __future__ import annotations

import re
from collections.abc import Iterable

from stonetrack.wire.http1 import REASONS

_SAFE_VALUE = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
LAST_CHUNK = b"0\r\n\r\n"

Fields = Iterable[tuple[str, str]]


def _head(start: str, headers: Fields) -> bytes:
    lines = [start]
    for name, value in headers:
        if not value.isprintable() and not _SAFE_VALUE.fullmatch(value):
            raise ValueError(f"header {name}: control bytes in its value")
        lines.append(f"{name}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


def request(method: str, target: str, headers: Fields, body: bytes | None = None) -> bytes:
    """A complete request; a body adds a Content-Length header.  Raises ValueError for control bytes in a value."""
    fields = list(headers)
    if body is not None:
        fields.append(("Content-Length", str(len(body))))
    return _head(f"{method} {target} HTTP/1.1", fields) + (body or b"")


def response(status: int, headers: Fields, body: bytes = b"", head_only: bool = False) -> bytes:
    """A complete response with Content-Length (none for 204); with ``head_only`` (a HEAD request) without the body."""
    fields = [*headers] if status == 204 else [*headers, ("Content-Length", str(len(body)))]
    head = _head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", fields)
    return head if head_only else head + body


def chunked_head(status: int, headers: Fields) -> bytes:
    """The head of a chunked response."""
    return _head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", [*headers, ("Transfer-Encoding", "chunked")])


def close_delimited_head(status: int, headers: Fields) -> bytes:
    """The head of a response whose body ends when the connection closes (for HTTP/1.0 clients)."""
    return _head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers)


def chunk(data: bytes) -> bytes:
    """One chunk; empty for empty data, because a chunk of size 0 would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
