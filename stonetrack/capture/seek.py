"""Finding the middle of a long history: by time or by request, from the nearest state.

With a store, the index says in which block to look and the last snapshot before it where to begin; without one, or
where it is of other files, everything is read from the start.  The answer is the same either way, only slower (a
test holds both to each other).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

from stonetrack.capture import codec, segment
from stonetrack.capture.codec import CaptureError, Record, State
from stonetrack.capture.history import HistoryReader, router_name
from stonetrack.capture.index import Index, IndexBuilder
from stonetrack.capture.store import Store

Numbered = Iterator[tuple[int, Record]]


def index_file(path: Path) -> tuple[Index, segment.Damage | None]:
    """Make a segment's index from the file itself; what is wrong with it beside."""
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


def _from_state(reading: HistoryReader, store: Store, number: int, clock: int | None = None) -> Numbered:
    """The records from the last state at or before a number (and a time) on, that state first."""
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


def _with_store(folder: Path, do: Callable[[Store], Numbered], without: Callable[[], Numbered]) -> Numbered:
    store = Store.open_existing(folder) if folder.is_dir() else None
    if store is None:
        yield from without()
        return
    with store:
        yield from do(store)


def since(folder: Path, reading: HistoryReader, clock: int) -> Numbered:
    """The records from the last state before a time on."""

    def do(store: Store) -> Numbered:
        end = 0
        for made in _indexes(store, reading.files):
            if len(made.began) and int(made.began[0]) <= clock:
                end = max(end, made.end_at(clock))
        return _from_state(reading, store, end, clock)

    return _with_store(folder, do, reading.records)


def about(folder: Path, reading: HistoryReader, request: str, whole: bool = False) -> Numbered:
    """The records of the blocks that name a request; ``whole``: all from the state before the first to the last of
    them, so that they can be replayed."""

    def do(store: Store) -> Numbered:
        made = _indexes(store, reading.files)
        ends = {int(f): int(f) + int(n) for each in made for f, n in zip(each.first, each.records, strict=True)}
        blocks = sorted({number for each in made for number in each.blocks_of_request(request)})
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

    return _with_store(folder, do, reading.records)
