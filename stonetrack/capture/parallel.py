"""A long replay cut at its stored states and run by several processes.

Each piece begins at a stored state and must end in the next one, byte for byte.  So if every piece decides as
captured and ends where the next begins, the whole does: the chain of states is the proof, and pieces may run in any
order.  A piece whose end is another state than the stored one is reported as a difference there.
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
    """Records ``first`` up to ``end`` of a router (None: to its last), from a stored state unless ``first`` is 0."""

    folder: Path
    router: str
    first: int
    end: int | None


@dataclass(frozen=True, slots=True)
class PieceResult:
    """What came of a piece; ``difference`` is the number of the first call decided otherwise, or of a state not
    reached."""

    piece: Piece
    calls: int = 0
    skipped: int = 0
    missing: int = 0
    difference: int | None = None
    damage: tuple[str, ...] = ()


def split_into_pieces(folder: Path, jobs: int) -> list[Piece]:
    """All routers' pieces, each about a ``jobs``-th of its router's history.  Raises CaptureError without a store."""
    store = Store.open_existing(folder)
    if store is None:
        raise CaptureError(f"{folder}: no states to cut at; `stonetrack capture tend {folder}` makes them")
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
        begun = store.state_before(piece.router, piece.first) if piece.first else None
        ends = store.state_before(piece.router, piece.end) if piece.end is not None else None
    reading = HistoryReader(history.segments_by_router(piece.folder)[piece.router])

    def records() -> Iterator[tuple[int, Record]]:
        if begun is not None:
            yield begun.number, State(begun.at, begun.version, begun.data)
        yield from ((n, r) for n, r in reading.records(piece.first, piece.end) if piece.end is None or n < piece.end)

    result = replay_numbered(records())
    difference = result.difference.number if result.difference is not None else None
    if difference is None and ends is not None and result.router is not None:
        same = ends.number == piece.end and snapshot.take(result.router) == ends.data
        difference = None if same else piece.end
    return PieceResult(piece, result.calls, result.skipped, result.missing, difference, tuple(reading.damage))


def replay_folder(
    folder: Path, jobs: int, on_progress: Callable[[int, int], None] = lambda done, of: None
) -> list[PieceResult]:
    """Replay all pieces by so many processes; outcomes in order.  ``on_progress``: pieces done, of all."""
    wanted = split_into_pieces(folder, jobs)
    done: list[PieceResult] = []
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        for future in as_completed([pool.submit(replay_piece, piece) for piece in wanted]):
            done.append(future.result())
            on_progress(len(done), len(wanted))
    return sorted(done, key=lambda outcome: (outcome.piece.router, outcome.piece.first))
