"""The order of writes of a capture, without I/O: segments, blocks, gaps, and which records are durable.

The problem: calls may arrive faster than a disk accepts them, the disk may fill up or fail at any step, and the process
may be killed between any two; yet a reader must know exactly which records it has and which are missing.

States and the cause of each transition::

    CLOSED --open--> OPEN               the first records, or those after a rotation: a new segment begins
    OPEN --rotate--> CLOSED             it is large or old enough; the next records begin another segment
    OPEN, CLOSED --fail--> GAP_PENDING  an operation failed: the segment is abandoned, its unwritten calls count as lost
    CLOSED, OPEN --full--> GAP_PENDING  calls arrived that the queue could not hold
    GAP_PENDING --gap--> CLOSED         the count is written; a segment with the router's state begins after it

A failed sync does not say what reached the disk: ``durable`` does not advance after it.

Records are numbered as they become part of a segment.  A block that was not written completely keeps its numbers for
the next one: its torn remainder fails the checksum, so no number occurs twice.  A gap's count belongs to the unwritten
calls: a gap that could not be written is counted again, with all calls lost since.

Invariants, which tests explore exhaustively over every interleaving of calls, operations, failures and kills within
small bounds: a reader finds a prefix of the recorded calls, with each gap counted exactly; every record below
``durable`` is present after a kill and after a power loss; without further failures, the calls found and the calls
counted as lost are all calls.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from stonetrack.capture import codec, segment
from stonetrack.capture.codec import Gap, Header, State

SEGMENT_SUFFIX = ".cap"


class Phase(Enum):
    """Whether a segment is open; the module's docstring lists the transitions."""

    CLOSED = "closed"
    OPEN = "open"
    GAP_PENDING = "holed"


@dataclass(frozen=True, slots=True)
class Open:
    """Create a file of this name; it must not exist."""

    name: str


@dataclass(frozen=True, slots=True)
class Append:
    """Write all of these bytes at the end of the open file."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Sync:
    """Make the open file durable; ``directory``: also its directory entry."""

    directory: bool = False


@dataclass(frozen=True, slots=True)
class Close:
    """Close the open file."""


Op = Open | Append | Sync | Close


@dataclass(frozen=True, slots=True)
class SegmentLimits:
    """When a segment ends, in bytes and in nanoseconds since it began; ``sync``: whether each block is made durable at
    once."""

    segment_bytes: int = 16 << 20
    segment_ns: int = 600_000_000_000
    sync: bool = True


class Journal:
    """One router's capture.  :meth:`write` and :meth:`write_gap` yield operations; requesting the next one confirms
    that the previous one succeeded.  After a failed operation, drop the iterator and call :meth:`operation_failed`."""

    def __init__(self, header: Header, limits: SegmentLimits) -> None:
        self._header, self._limits = header, limits
        self.phase = Phase.CLOSED
        self.next_number = 0  # number of the next record
        self.durable = 0  # records below this number survive a kill
        self.written_records = 0
        self.written_bytes = 0
        self.unwritten_calls = 0  # calls that are lost if a pending operation fails
        self.unwritten_gap = 0  # earlier lost calls whose gap is then still to be written
        self.name = ""
        self._size = 0
        self._opened_at = 0
        self._clock = 0
        self._after_failed_sync = False  # earlier records may not survive a power loss, whatever is synced after them

    def write(self, now: int, records: Sequence[bytes]) -> Iterator[Op]:
        """Write calls, opening a segment if none is open.  ``now`` in nanoseconds."""
        self.unwritten_calls = len(records)
        if self.phase is not Phase.OPEN:
            yield from self._open(now)
        yield from self._append(records)
        if self._size >= self._limits.segment_bytes or now - self._opened_at >= self._limits.segment_ns:
            yield from self.close()

    def write_gap(self, now: int, count: int, state: State | None) -> Iterator[Op]:
        """Record that ``count`` calls are missing.  The next segment begins with ``state``, the state after them, if
        given."""
        self.unwritten_gap = count
        if self.phase is not Phase.OPEN:
            yield from self._open(now)
        yield from self._append([codec.encode(Gap(now, count))])
        yield from self.close()
        if state is not None:
            yield from self._open(now)
            yield from self._append([codec.encode(state)])

    def close(self) -> Iterator[Op]:
        """Close the segment."""
        if self.phase is Phase.OPEN:
            self.phase = Phase.CLOSED
            yield Close()

    def operation_failed(self) -> tuple[int, int]:
        """Abandon the segment after a failed operation (the caller closes its file).  Returns the number of calls lost
        by it and the number of earlier lost calls that are still to be recorded."""
        self.phase = Phase.GAP_PENDING
        self._after_failed_sync = (
            self._after_failed_sync or self.next_number > self.durable
        )  # appended, but the sync failed
        lost, unwritten_gap = self.unwritten_calls, self.unwritten_gap
        self.unwritten_calls = self.unwritten_gap = 0
        return lost, unwritten_gap

    def _open(self, now: int) -> Iterator[Op]:
        self._clock = max(now, self._clock + 1)  # two segments never share a name, even if the clock is set back
        self.name = f"{self._header.instance}-{self._clock:020d}{SEGMENT_SUFFIX}"
        yield Open(self.name)
        yield Append(segment.MAGIC)
        if self._limits.sync:
            yield Sync(directory=True)
        self.phase, self._size, self._opened_at = Phase.OPEN, len(segment.MAGIC), now
        if self.next_number == 0:
            yield from self._append([codec.encode(self._header)], is_header=True)

    def _append(self, records: Sequence[bytes], is_header: bool = False) -> Iterator[Op]:
        """Append a block.  ``is_header``: it does not contain the unwritten calls.  Once appended it can be read,
        durable or not."""
        data = segment.encode_block(records, self.next_number)
        yield Append(data)
        if not is_header:
            self.unwritten_calls = self.unwritten_gap = 0
        self.next_number += len(records)
        self.written_records += len(records)
        self._size += len(data)
        self.written_bytes += len(data)
        if self._limits.sync:
            yield Sync()
        if not self._after_failed_sync:
            self.durable = self.next_number
