"""Reads a folder of captures as one history for each router, also from damaged or incomplete files.

Every block states the number of its first record, and numbers continue from segment to segment.  So every gap is known
exactly: a flipped bit, a missing segment or a torn tail shows as a jump in the numbers, and a :class:`Gap` takes its
place, so that the records after it are not replayed as if nothing were missing.  They stay readable; replay resumes at
the next snapshot.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from stonetrack.capture import codec, segment
from stonetrack.capture.codec import CaptureError, Gap, Record
from stonetrack.capture.journal import SEGMENT_SUFFIX
from stonetrack.capture.segment import Block


def router_name(path: Path) -> str:
    """The router in a segment's file name: ``NAME.START`` of ``NAME.START-CLOCK.cap``."""
    return path.stem.rpartition("-")[0]


def segments_by_router(path: Path) -> dict[str, list[Path]]:
    """The segments of a folder, or a single file, by router and in order."""
    files = sorted(path.glob(f"*{SEGMENT_SUFFIX}")) if path.is_dir() else [path]
    found: dict[str, list[Path]] = {}
    for file in files:
        found.setdefault(router_name(file), []).append(file)
    return found


@dataclass
class HistoryReader:
    """One router's records with their numbers; iteration appends defects of the files to ``damage``."""

    files: list[Path]
    damage: list[str] = field(default_factory=list)
    torn_tails: int = 0  # tails cut off by a kill: listed in ``damage``, but no corruption
    next_number: int | None = None  # number of the next record, if the segments have no gap
    replayed_from: int = 0  # the record at which a replay starts

    def __iter__(self) -> Iterator[tuple[int, Record]]:
        return self.records()

    def records(self, first: int = 0, end: int | None = None) -> Iterator[tuple[int, Record]]:
        """The records from number ``first`` up to ``end``; blocks entirely outside the range are not decoded."""
        self.next_number = None
        for path in self.files:
            try:
                data = path.read_bytes()
            except OSError as error:
                self.damage.append(f"{path.name}: {error.strerror}")
                continue
            blocks, defect = segment.scan_blocks(data)
            if defect is not None:
                self.torn_tails += defect.torn
                self.damage.append(f"{path.name}: offset {defect.offset}: {defect.text}")
            for block in blocks:
                if end is not None and block.first >= end:
                    return
                if block.first > first:  # a gap before the requested range does not matter
                    yield from self._gap_before(path, block)
                if block.first + block.records > first:
                    yield from self._block(path, data, block, first)
                self.next_number = block.first + block.records

    def _gap_before(self, path: Path, block: Block) -> Iterator[tuple[int, Record]]:
        if self.next_number is None or block.first == self.next_number:
            return
        lost = block.first - self.next_number
        if lost > 0:
            self.damage.append(
                f"{path.name}: offset {block.offset}: {lost} records are missing before number {block.first}"
            )
        else:
            self.damage.append(f"{path.name}: offset {block.offset}: number {block.first} comes twice")
        yield self.next_number, Gap(0, max(lost, 0))

    def _block(self, path: Path, data: bytes, block: Block, first: int) -> Iterator[tuple[int, Record]]:
        number = block.first
        try:
            for raw in segment.decode_block(data, block):
                if number >= first:
                    yield number, codec.decode(raw)
                number += 1
        except CaptureError as error:
            self.damage.append(f"{path.name}: offset {block.offset}, record {number}: {error}")
            yield number, Gap(0, block.first + block.records - number)


def iter_records(files: list[Path], damage: list[str]) -> Iterator[Record]:
    """The records of one router's segments in order, without numbers."""
    reading = HistoryReader(files, damage)
    for _, record in reading:
        yield record
