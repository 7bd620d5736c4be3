"""Splits a long replay at its stored snapshots and runs the pieces in several processes.

Each piece starts from a stored snapshot and must end in the next one, byte for byte.  If every piece makes the captured
decisions and ends where the next begins, so does the whole history; the chain of snapshots proves it, and pieces may
run in any order.  A piece that ends in another state than the stored one is reported as a difference there.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

from stonetrack.capture import history, snapshot
from stonetrack.capture.codec import CaptureError, Record, State
from stonetrack.capture.history import HistoryReader
from stonetrack.capture.replay import replay_numbered
from stonetrack.capture.store import Store


@dataclass(frozen=True, slots=True)
class Piece:
    """Records ``first`` up to ``end`` of a router (None: to its last), from a stored snapshot unless ``first`` is 0."""

    folder: Path
    router: str
    first: int
    end: int | None


@dataclass(frozen=True, slots=True)
class PieceResult:
    """The result of a piece; ``difference`` is the number of the first call with other actions, or of a snapshot that
    was not reached."""

    piece: Piece
    calls: int = 0
    skipped: int = 0
    missing: int = 0
    difference: int | None = None
    damage: tuple[str, ...] = ()


def split_into_pieces(folder: Path, jobs: int) -> list[Piece]:
    """The pieces of all routers, each about ``1 / jobs`` of its router's history.  Raises CaptureError if the folder
    has no store."""
    store = Store.open_existing(folder)
    if store is None:
        raise CaptureError(f"{folder}: no states to split at; `stonetrack capture tend {folder}` stores them")
    found: list[Piece] = []
    with store:
        for name in history.segments_by_router(folder):
            numbers = [state.number for state in store.states(name)]
            step = max(1, len(numbers) // (2 * jobs))
            cuts = [0, *numbers[step - 1 :: step]]
            for first, end in zip(cuts, [*cuts[1:], None], strict=True):
                found.append(Piece(folder, name, first, end))
    return found


def replay_piece(piece: Piece) -> PieceResult:
    """Replay one piece in this process."""
    with Store(piece.folder) as store:
        start_state = store.state_before(piece.router, piece.first) if piece.first else None
        end_state = store.state_before(piece.router, piece.end) if piece.end is not None else None
    reading = HistoryReader(history.segments_by_router(piece.folder)[piece.router])

    def records() -> Iterator[tuple[int, Record]]:
        if start_state is not None:
            yield start_state.number, State(start_state.at, start_state.version, start_state.data)
        yield from ((n, r) for n, r in reading.records(piece.first, piece.end) if piece.end is None or n < piece.end)

    result = replay_numbered(records())
    difference = result.difference.number if result.difference is not None else None
    if difference is None and end_state is not None and result.router is not None:
        same = end_state.number == piece.end and snapshot.take(result.router) == end_state.data
        difference = None if same else piece.end
    return PieceResult(piece, result.calls, result.skipped, result.missing, difference, tuple(reading.damage))


def replay_folder(
    folder: Path, jobs: int, on_progress: Callable[[int, int], None] = lambda done, of: None
) -> list[PieceResult]:
    """Replay all pieces with ``jobs`` processes; results in order.  ``on_progress``: pieces done, of all."""
    pieces = split_into_pieces(folder, jobs)
    results: list[PieceResult] = []
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        for future in as_completed([pool.submit(replay_piece, piece) for piece in pieces]):
            results.append(future.result())
            on_progress(len(results), len(pieces))
    return sorted(results, key=lambda outcome: (outcome.piece.router, outcome.piece.first))
