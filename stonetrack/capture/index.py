"""Where in a segment a time or a request stands, without I/O.

The problem: a large capture holds millions of requests; a key in the store for each (and each block it is in) would
cost as much as the capture itself.  A request's name is asked for rarely, and reading one block too many costs a
millisecond.

So a segment's index is five arrays, one entry a block (first number, records, offset, first and last clock), and one
sorted array of *fingerprints*: 32 bits of each request's hash, beside the number of the block that names it.
Looking a request up is a binary search; two requests with one fingerprint cost one more block read, never a wrong
answer, since the reader compares names.

Invariants: blocks ascend by number, offset and clock; every block that names a request is found for it (no false "no").
Cost: about 6 bytes for each request and block, 40 a block; lookup O(log n).  :mod:`benchmarks.store` measures it
against a key for each.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy
import xxhash
from numpy.typing import NDArray

from stonetrack.capture import codec
from stonetrack.capture.codec import Call, CaptureError, Record
from stonetrack.capture.segment import Block

FORMAT = 1


def fingerprint(request: str) -> int:
    """32 bits that stand for a request's name."""
    return xxhash.xxh32_intdigest(request.encode("utf-8", "surrogatepass"))


def requests_of(record: Record) -> set[str]:
    """The requests that a record is about, by its event or its actions."""
    if not isinstance(record, Call):
        return set()
    found = {codec.request_of(record.event), *(getattr(action, "request", "") for action in record.actions)}
    found.discard("")
    return found


@dataclass(frozen=True)
class Index:
    """One segment's index; see the module.  ``size`` and ``mtime_ns`` (its time of change) say for which file."""

    size: int
    mtime_ns: int
    first: NDArray[numpy.int64]
    records: NDArray[numpy.int64]
    offset: NDArray[numpy.int64]
    began: NDArray[numpy.int64]
    ended: NDArray[numpy.int64]
    marks: NDArray[numpy.uint32]
    where: NDArray[numpy.uint16]
    calls: int = 0
    lost: int = 0  # calls that it says are missing

    def end_at(self, clock: int) -> int:
        """The number after the block that holds this time, or the last one before it; 0 where there is none."""
        which = int(numpy.searchsorted(self.began, clock, side="right")) - 1
        return int(self.first[which] + self.records[which]) if which >= 0 else 0

    def blocks_of_request(self, request: str) -> list[int]:
        """The blocks (by their first record's number) that may name a request."""
        mark = numpy.uint32(fingerprint(request))
        low, high = (int(numpy.searchsorted(self.marks, mark, side=side)) for side in ("left", "right"))
        return sorted({int(self.first[block]) for block in self.where[low:high]})

    def to_bytes(self) -> bytes:
        """What the store keeps."""
        arrays = [getattr(self, name).tobytes() for name in _ARRAYS]
        return msgspec.msgpack.encode([FORMAT, self.size, self.mtime_ns, self.calls, self.lost, *arrays])


_ARRAYS: dict[str, Any] = {
    "first": numpy.int64, "records": numpy.int64, "offset": numpy.int64, "began": numpy.int64, "ended": numpy.int64,
    "marks": numpy.uint32, "where": numpy.uint16,
}  # fmt: skip


def from_bytes(data: bytes) -> Index:
    """The index of :meth:`Index.to_bytes`.  Raises CaptureError."""
    try:
        form, size, mtime_ns, calls, lost, *arrays = msgspec.msgpack.decode(data)
        if form != FORMAT or len(arrays) != len(_ARRAYS):
            raise CaptureError(f"an index of format {form}; this version reads {FORMAT}")
        made = {name: numpy.frombuffer(raw, kind) for (name, kind), raw in zip(_ARRAYS.items(), arrays, strict=True)}
    except (msgspec.MsgspecError, ValueError, TypeError) as error:
        raise CaptureError(f"an index that can't be read: {error}") from None
    return Index(size, mtime_ns, calls=calls, lost=lost, **made)


class IndexBuilder:
    """Makes an index block by block, in order."""

    def __init__(self) -> None:
        self._rows: list[tuple[int, int, int, int, int]] = []
        self._pairs: list[tuple[int, int]] = []
        self._calls = self._lost = 0

    def add(self, block: Block, records: Iterable[Record]) -> None:
        """Take one block and what it holds.  Raises CaptureError past 65,535 blocks."""
        number = len(self._rows)
        if number > 65_535:
            raise CaptureError("a segment of more than 65,535 blocks")
        names: set[str] = set()
        began = ended = self._rows[-1][4] if self._rows else 0
        first = True
        for record in records:
            names |= requests_of(record)
            self._calls += isinstance(record, Call)
            if isinstance(record, codec.Gap):
                self._lost += record.count
            at = getattr(record, "at", 0)
            if at:
                began, first = (at if first else began), False
                ended = max(ended, at)
        self._rows.append((block.first, block.records, block.offset, began, ended))
        self._pairs += [(fingerprint(name), number) for name in names]

    def build(self, size: int, mtime_ns: int) -> Index:
        """The index of a file of this size and time of change."""
        rows = numpy.array(self._rows, numpy.int64).reshape(len(self._rows), 5)
        pairs = numpy.array(sorted(self._pairs), numpy.int64).reshape(len(self._pairs), 2)
        first, records, offset, began, ended = (numpy.ascontiguousarray(rows[:, n]) for n in range(5))
        marks, where = pairs[:, 0].astype(numpy.uint32), pairs[:, 1].astype(numpy.uint16)
        return Index(size, mtime_ns, first, records, offset, began, ended, marks, where, self._calls, self._lost)
