"""Which requests a span holds, in few bytes: the sorted 32-bit fingerprints of their names (xxhash).

It never misses a request that is there.  Another one is taken for there with chance n / 2**32 in a span of n requests
(10,000: 2e-6).  A Bloom filter of the same size is a little better in large spans and much worse in small ones, where
its few bits allow few patterns: with 10 bits a request, 41 of 1,000 answers over 30 spans a node named a version that
the request was not decided with, since the span that held it had gone with a disk; with 30 bits, 7.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable

import xxhash

_FORM = 1  # the first byte; what a program before made, of Bloom filters, began with 7
_BYTES = 4


def _print_of(request: str) -> bytes:
    return xxhash.xxh3_64_digest(request.encode())[:_BYTES]


def made(requests: Iterable[str]) -> bytes:
    """The fingerprints of some requests; empty for none."""
    prints = sorted({_print_of(name) for name in requests})
    return bytes([_FORM]) + b"".join(prints) if prints else b""


def may_contain(data: bytes, request: str) -> bool:
    """Whether the request may be there; no is certain."""
    if not data:
        return False
    if data[0] != _FORM:
        return True  # a form that is not known rules nothing out
    wanted = _print_of(request)
    count = (len(data) - 1) // _BYTES
    at = bisect_left(range(count), wanted, key=lambda n: data[1 + n * _BYTES : 1 + (n + 1) * _BYTES])
    return data[1 + at * _BYTES : 1 + (at + 1) * _BYTES] == wanted
