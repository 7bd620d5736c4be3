"""How a capture is written, without I/O: what is written when, what is lost and said, what a kill can't take any more.

The problem: calls come faster than a disk may take them, the disk may fill or fail at any step, and the process may
be killed between any two; yet a reader must know exactly what it has and what it lacks.

States, and why each edge exists::

    CLOSED --open--> OPEN        the first records, or those after a rotation: a new segment begins
    OPEN --rotate--> CLOSED      it is large or old enough; the next records begin another
    OPEN, CLOSED --failed--> GAP_PENDING    an operation failed: the segment is given up, its calls count as lost
    CLOSED, OPEN --full--> GAP_PENDING     calls came that could not be held
    GAP_PENDING --gap told--> CLOSED   the count is written; a segment with the router's state begins after it

A sync that failed says nothing of what reached the disk: ``durable`` stands still from then on.

Records are numbered as they become part of a segment.  A block that failed to be written whole keeps its numbers for
the next one: its torn rest fails the checksum, so no number comes twice.  A gap's count is part of what is in hand:
a gap that could not be written is counted again, with all that was lost since.

Invariants, explored exhaustively in tests over every interleaving of calls, operations, failures and kills within
small bounds: what a reader finds is a beginning of what was told, with each hole counted exactly; every record below
``durable`` is there after a kill, and after a loss of power; with no failure to come, calls found and calls counted
as lost are all.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from stonetrack.capture import codec, segment
from stonetrack.capture.codec import Gap, Header, State

SEGMENT_SUFFIX = ".cap"


class Phase(Enum):
    """See the module."""

    CLOSED = "closed"
    OPEN = "open"
    GAP_PENDING = "holed"


@dataclass(frozen=True, slots=True)
class Open:
    """Begin a file of this name; it must not exist."""

    name: str


@dataclass(frozen=True, slots=True)
class Append:
    """Write these bytes at the end of the open file, all of them."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Sync:
    """Make the open file durable; ``directory``: its name too."""

    directory: bool = False


@dataclass(frozen=True, slots=True)
class Close:
    """Let go of the open file."""


Op = Open | Append | Sync | Close


@dataclass(frozen=True, slots=True)
class SegmentLimits:
    """When a segment ends: bytes, and nanoseconds since it began; whether blocks are made durable at once."""

    segment_bytes: int = 16 << 20
    segment_ns: int = 600_000_000_000
    sync: bool = True


class Journal:
    """One router's capture.  :meth:`write` and :meth:`write_gap` give operations one by one; asking for the next one
    says that the last was done.  Where one failed, ask no further and call :meth:`operation_failed`."""

    def __init__(self, header: Header, bounds: SegmentLimits) -> None:
        self._header, self._bounds = header, bounds
        self.phase = Phase.CLOSED
        self.next_number = 0  # of the next record
        self.durable = 0  # records that a kill can't take any more
        self.written = 0
        self.bytes = 0
        self.unwritten_calls = 0  # calls that are lost if the operations under way fail
        self.unwritten_gap = 0  # calls whose loss is then still to be told
        self.name = ""
        self._size = 0
        self._opened = 0
        self._clock = 0
        self._unsure = False  # records before here may not outlive a loss of power, whatever is synced after them

    def write(self, now: int, records: Sequence[bytes]) -> Iterator[Op]:
        """Write calls, beginning a segment where none is open.  ``now`` in nanoseconds."""
        self.unwritten_calls = len(records)
        if self.phase is not Phase.OPEN:
            yield from self._open(now)
        yield from self._append(records)
        if self._size >= self._bounds.segment_bytes or now - self._opened >= self._bounds.segment_ns:
            yield from self.close()

    def write_gap(self, now: int, count: int, state: State | None) -> Iterator[Op]:
        """Say that so many calls are missing; the state after them, where there is one, begins the next segment."""
        self.unwritten_gap = count
        if self.phase is not Phase.OPEN:
            yield from self._open(now)
        yield from self._append([codec.encode(Gap(now, count))])
        yield from self.close()
        if state is not None:
            yield from self._open(now)
            yield from self._append([codec.encode(state)])

    def close(self) -> Iterator[Op]:
        """End the segment."""
        if self.phase is Phase.OPEN:
            self.phase = Phase.CLOSED
            yield Close()

    def operation_failed(self) -> tuple[int, int]:
        """An operation failed: the segment is given up (close its file).  How many calls are lost by it, and how
        many lost before are still to be told."""
        self.phase = Phase.GAP_PENDING
        self._unsure = self._unsure or self.next_number > self.durable  # appended, and the sync failed
        lost, unwritten_gap = self.unwritten_calls, self.unwritten_gap
        self.unwritten_calls = self.unwritten_gap = 0
        return lost, unwritten_gap

    def _open(self, now: int) -> Iterator[Op]:
        self._clock = max(now, self._clock + 1)  # two segments never share a name, whatever the clock does
        self.name = f"{self._header.instance}-{self._clock:020d}{SEGMENT_SUFFIX}"
        yield Open(self.name)
        yield Append(segment.MAGIC)
        if self._bounds.sync:
            yield Sync(directory=True)
        self.phase, self._size, self._opened = Phase.OPEN, len(segment.MAGIC), now
        if self.next_number == 0:
            yield from self._append([codec.encode(self._header)], is_header=True)

    def _append(self, records: Sequence[bytes], is_header: bool = False) -> Iterator[Op]:
        """A block; ``is_header``: it is not what was in hand.  Once appended it can be read, durable or not."""
        data = segment.encode_block(records, self.next_number)
        yield Append(data)
        if not is_header:
            self.unwritten_calls = self.unwritten_gap = 0
        self.next_number += len(records)
        self.written += len(records)
        self._size += len(data)
        self.bytes += len(data)
        if self._bounds.sync:
            yield Sync()
        if not self._unsure:
            self.durable = self.next_number
