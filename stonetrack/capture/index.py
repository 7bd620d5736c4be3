"""An index of a segment by time and by request, without I/O.

The problem: a large capture holds millions of requests; a key in the store for each request and block would take as
much space as the capture itself.  Lookups by request are rare, and reading one block too many costs a millisecond.

So a segment's index consists of five arrays with one entry per block (first number, records, offset, first and last
clock), and one sorted array of *fingerprints*: 32 bits of each request's hash, next to the number of the block that
names the request.  A request is looked up by binary search.  Two requests with the same fingerprint cost one more block
read, never a wrong result, since the reader compares names.

Invariants: blocks ascend by number, offset and clock; every block that names a request is found for it (no false
negatives). Cost: about 6 bytes for each request and block, 40 per block; lookup O(log n).  :mod:`benchmarks.store`
compares it with one key per request and block.
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
    """A 32-bit hash of a request's id."""
    return xxhash.xxh32_intdigest(request.encode("utf-8", "surrogatepass"))


def requests_of(record: Record) -> set[str]:
    """The ids of the requests that a record's event or actions name."""
    if not isinstance(record, Call):
        return set()
    found = {codec.request_of(record.event), *(getattr(action, "request", "") for action in record.actions)}
    found.discard("")
    return found


@dataclass(frozen=True)
class Index:
    """One segment's index; the module's docstring describes the arrays.  ``size`` (bytes) and ``mtime_ns`` identify the
    version of the file that it describes."""

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
    lost: int = 0  # calls that the segment's gaps count as missing

    def end_at(self, clock: int) -> int:
        """The number after the block that contains this time, or after the last block before it; 0 if there is none."""
        position = int(numpy.searchsorted(self.began, clock, side="right")) - 1
        return int(self.first[position] + self.records[position]) if position >= 0 else 0

    def blocks_of_request(self, request: str) -> list[int]:
        """The blocks, by the number of their first record, that may name a request."""
        wanted = numpy.uint32(fingerprint(request))
        low, high = (int(numpy.searchsorted(self.marks, wanted, side=side)) for side in ("left", "right"))
        return sorted({int(self.first[block]) for block in self.where[low:high]})

    def to_bytes(self) -> bytes:
        """The encoded index, as the store keeps it."""
        arrays = [getattr(self, name).tobytes() for name in _ARRAYS]
        return msgspec.msgpack.encode([FORMAT, self.size, self.mtime_ns, self.calls, self.lost, *arrays])


_ARRAYS: dict[str, Any] = {
    "first": numpy.int64, "records": numpy.int64, "offset": numpy.int64, "began": numpy.int64, "ended": numpy.int64,
    "marks": numpy.uint32, "where": numpy.uint16,
}  # fmt: skip


def from_bytes(data: bytes) -> Index:
    """Decode the result of :meth:`Index.to_bytes`.  Raises CaptureError."""
    try:
        format_, size, mtime_ns, calls, lost, *arrays = msgspec.msgpack.decode(data)
        if format_ != FORMAT or len(arrays) != len(_ARRAYS):
            raise CaptureError(f"an index of format {format_}; this version reads {FORMAT}")
        arrays_by_name = {
            name: numpy.frombuffer(raw, dtype) for (name, dtype), raw in zip(_ARRAYS.items(), arrays, strict=True)
        }
    except (msgspec.MsgspecError, ValueError, TypeError) as error:
        raise CaptureError(f"an index that can't be read: {error}") from None
    return Index(size, mtime_ns, calls=calls, lost=lost, **arrays_by_name)


class IndexBuilder:
    """Builds an index block by block, in order."""

    def __init__(self) -> None:
        self._block_rows: list[tuple[int, int, int, int, int]] = []
        self._fingerprint_pairs: list[tuple[int, int]] = []
        self._calls = self._lost_calls = 0

    def add(self, block: Block, records: Iterable[Record]) -> None:
        """Add a block and its records.  Raises CaptureError past 65,535 blocks."""
        block_number = len(self._block_rows)
        if block_number > 65_535:
            raise CaptureError("a segment of more than 65,535 blocks")
        names: set[str] = set()
        began = ended = self._block_rows[-1][4] if self._block_rows else 0
        first = True
        for record in records:
            names |= requests_of(record)
            self._calls += isinstance(record, Call)
            if isinstance(record, codec.Gap):
                self._lost_calls += record.count
            at = getattr(record, "at", 0)
            if at:
                began, first = (at if first else began), False
                ended = max(ended, at)
        self._block_rows.append((block.first, block.records, block.offset, began, ended))
        self._fingerprint_pairs += [(fingerprint(name), block_number) for name in names]

    def build(self, size: int, mtime_ns: int) -> Index:
        """The index for a file of this size and modification time."""
        rows = numpy.array(self._block_rows, numpy.int64).reshape(len(self._block_rows), 5)
        pairs = numpy.array(sorted(self._fingerprint_pairs), numpy.int64).reshape(len(self._fingerprint_pairs), 2)
        first, records, offset, began, ended = (numpy.ascontiguousarray(rows[:, n]) for n in range(5))
        marks, where = pairs[:, 0].astype(numpy.uint32), pairs[:, 1].astype(numpy.uint16)
        return Index(size, mtime_ns, first, records, offset, began, ended, marks, where, self._calls, self._lost_calls)
