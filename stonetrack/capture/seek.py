"""Finds a position in a long history by time or by request, starting from the nearest stored snapshot.

With a store, the index names the block to read and the last snapshot before it the place to start.  Without one, or for
files that changed, all records are read from the start.  The result is the same, only slower (a test compares the two).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

from stonetrack.capture import codec, segment
from stonetrack.capture.codec import CaptureError, Record, State
from stonetrack.capture.history import HistoryReader, router_name
from stonetrack.capture.index import Index, IndexBuilder
from stonetrack.capture.store import Store

NumberedRecords = Iterator[tuple[int, Record]]


def index_file(path: Path) -> tuple[Index, segment.Damage | None]:
    """Build a segment's index from the file; also returns the first damage."""
    status = path.stat()
    data = path.read_bytes()
    blocks, damage = segment.scan_blocks(data)
    builder = IndexBuilder()
    for block in blocks:
        try:
            builder.add(block, [codec.decode(raw) for raw in segment.decode_block(data, block)])
        except CaptureError as error:
            damage = damage or segment.Damage(block.offset, str(error))
    return builder.build(status.st_size, status.st_mtime_ns), damage


def _indexes(store: Store, files: list[Path]) -> list[Index]:
    return [store.index_of(file) or index_file(file)[0] for file in files]


def _from_state(reading: HistoryReader, store: Store, number: int, clock: int | None = None) -> NumberedRecords:
    """The records from the last snapshot at or before a number (and a time) on, beginning with that snapshot."""
    state = store.state_before(_router(reading), number)
    while state is not None and clock is not None and state.at > clock:
        state = store.state_before(_router(reading), state.number - 1)
    if state is None:
        yield from reading.records()
        return
    reading.replayed_from = state.number
    yield state.number, State(state.at, state.version, state.data)
    yield from reading.records(state.number)


def _router(reading: HistoryReader) -> str:
    return router_name(reading.files[0])


def _with_store(
    folder: Path, read_indexed: Callable[[Store], NumberedRecords], read_all: Callable[[], NumberedRecords]
) -> NumberedRecords:
    store = Store.open_existing(folder) if folder.is_dir() else None
    if store is None:
        yield from read_all()
        return
    with store:
        yield from read_indexed(store)


def since(folder: Path, reading: HistoryReader, clock: int) -> NumberedRecords:
    """The records from the last snapshot before a time on."""

    def read_indexed(store: Store) -> NumberedRecords:
        end = 0
        for index in _indexes(store, reading.files):
            if len(index.began) and int(index.began[0]) <= clock:
                end = max(end, index.end_at(clock))
        return _from_state(reading, store, end, clock)

    return _with_store(folder, read_indexed, reading.records)


def about(folder: Path, reading: HistoryReader, request: str, whole: bool = False) -> NumberedRecords:
    """The records of the blocks that name a request.  ``whole``: all records from the snapshot before the first of
    these blocks to the end of the last, so that they can be replayed."""

    def read_indexed(store: Store) -> NumberedRecords:
        indexes = _indexes(store, reading.files)
        ends = {int(f): int(f) + int(n) for each in indexes for f, n in zip(each.first, each.records, strict=True)}
        blocks = sorted({number for each in indexes for number in each.blocks_of_request(request)})
        if not blocks:
            return
        if whole:
            for number, record in _from_state(reading, store, blocks[0]):
                if number >= ends[blocks[-1]]:
                    return
                yield number, record
            return
        for first in blocks:
            for number, record in reading.records(first, ends[first]):
                yield number, record

    return _with_store(folder, read_indexed, reading.records)
