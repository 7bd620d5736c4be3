"""Reads a folder of captures as histories, one for each router, whatever happened to the files.

Every block says the number of its first record, and numbers run on from segment to segment.  So a hole is known
exactly: a flipped bit, a missing segment or a torn tail shows as a jump, and a :class:`Gap` stands in its place, so
that nothing after it is replayed as if nothing were missing.  What follows stays readable; replay goes on at the
next snapshot.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from stonetrack.capture import codec, segment
from stonetrack.capture.codec import CaptureError, Gap, Record
from stonetrack.capture.journal import SUFFIX
from stonetrack.capture.segment import Block


def router_of(path: Path) -> str:
    """The router of a segment's name: ``NAME.START`` of ``NAME.START-CLOCK.cap``."""
    return path.stem.rpartition("-")[0]


def routers(path: Path) -> dict[str, list[Path]]:
    """Segments by router, in order: of a folder, or one file's."""
    files = sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]
    found: dict[str, list[Path]] = {}
    for file in files:
        found.setdefault(router_of(file), []).append(file)
    return found


@dataclass
class Reading:
    """One router's records, numbered as they were written; what is wrong is added to ``damage`` on the way."""

    files: list[Path]
    damage: list[str] = field(default_factory=list)
    torn: int = 0  # tails cut by a kill: told in ``damage``, but no fault of the file
    expected: int | None = None  # number of the next record
    started: int = 0  # the record at which a replay began

    def __iter__(self) -> Iterator[tuple[int, Record]]:
        return self.records()

    def records(self, first: int = 0, end: int | None = None) -> Iterator[tuple[int, Record]]:
        """The records from one number up to another; blocks wholly outside are passed over unread."""
        self.expected = None
        for path in self.files:
            try:
                data = path.read_bytes()
            except OSError as error:
                self.damage.append(f"{path.name}: {error.strerror}")
                continue
            blocks, wrong = segment.scan(data)
            if wrong is not None:
                self.torn += wrong.torn
                self.damage.append(f"{path.name}: offset {wrong.offset}: {wrong.text}")
            for block in blocks:
                if end is not None and block.first >= end:
                    return
                if block.first > first:  # a hole before what is asked for is none of its
                    yield from self._hole(path, block)
                if block.first + block.records > first:
                    yield from self._block(path, data, block, first)
                self.expected = block.first + block.records

    def _hole(self, path: Path, block: Block) -> Iterator[tuple[int, Record]]:
        if self.expected is None or block.first == self.expected:
            return
        lost = block.first - self.expected
        if lost > 0:
            self.damage.append(
                f"{path.name}: offset {block.offset}: {lost} records are missing before number {block.first}"
            )
        else:
            self.damage.append(f"{path.name}: offset {block.offset}: number {block.first} comes twice")
        yield self.expected, Gap(0, max(lost, 0))

    def _block(self, path: Path, data: bytes, block: Block, first: int) -> Iterator[tuple[int, Record]]:
        number = block.first
        try:
            for raw in segment.records(data, block):
                if number >= first:
                    yield number, codec.decode(raw)
                number += 1
        except CaptureError as error:
            self.damage.append(f"{path.name}: offset {block.offset}, record {number}: {error}")
            yield number, Gap(0, block.first + block.records - number)


def read(files: list[Path], damage: list[str]) -> Iterator[Record]:
    """The records of one router's segments in order, without numbers."""
    reading = Reading(files, damage)
    for _, record in reading:
        yield record
