"""The thread that writes captures: it carries out what :mod:`.journal` says, off the hot path.

``record`` only appends to a bounded queue; the thread turns what is there into blocks, one each ``flush`` seconds or
``block`` records.  When the queue is full, or the disk is, calls are counted instead: the node never waits.  Once
the thread has caught up, the count is written and the router's state is taken whole, between two calls (``still``),
so that what follows can be replayed; so it is where the router goes on under other settings
(:meth:`Recorder.settings_changed`).  The open segment is locked (``flock``), so that who tends the folder knows
that it is being written.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from stonetrack import api
from stonetrack.capture import codec
from stonetrack.capture.codec import CaptureError, Header, State
from stonetrack.capture.journal import SEGMENT_SUFFIX, Append, Close, Journal, Op, Open, SegmentLimits, Sync
from stonetrack.capture.retention import SegmentFile, segments_to_delete
from stonetrack.capture.store import Store
from stonetrack.durable import sync_directory


def is_open(path: Path) -> bool:
    """Whether a process is writing this segment."""
    try:
        with path.open("rb") as file:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def delete_over_budget(folder: Path, budget: int) -> list[str]:
    """Delete the oldest segments past the budget; what is kept or being written stays.  The names that went."""
    kept: dict[str, str] = {}
    if (store := Store.open_existing(folder)) is not None:
        with store:
            kept = store.kept_segments()
    held: list[SegmentFile] = []
    for path in folder.glob(f"*{SEGMENT_SUFFIX}"):
        with contextlib.suppress(OSError, ValueError):
            began = int(path.stem.rpartition("-")[2])
            held.append(SegmentFile(path.name, path.stat().st_size, began, path.name in kept))
    if sum(each.bytes for each in held) <= budget:
        return []
    held = [SegmentFile(h.name, h.bytes, h.began, h.kept, is_open(folder / h.name)) for h in held]
    gone = segments_to_delete(held, budget)
    for name in gone:
        (folder / name).unlink(missing_ok=True)
    return gone


class Recorder:
    """Records one router's calls into a folder.  ``flush`` and ``segment_seconds`` in seconds."""

    def __init__(self, folder: Path, header: Header, clock: Callable[[], int], *, log: Callable[[str], None],
                 flush_interval: float = 0.25, block_records: int = 2_000, max_queued: int = 50_000,
                 segment_bytes: int = 16 << 20, segment_seconds: float = 600.0, budget_bytes: int = 256 << 20,
                 sync: bool = True) -> None:  # fmt: skip
        self.folder, self._header, self._clock, self._log = folder, header, clock, log
        self._flush, self._block, self._most, self._budget = flush_interval, block_records, max_queued, budget_bytes
        self._journal = Journal(header, SegmentLimits(segment_bytes, int(segment_seconds * 1e9), sync))
        self._still: Callable[[Callable[[], None]], None] | None = None
        self._snapshot: Callable[[], bytes] | None = None
        self._queue: deque[tuple[int, api.Event, Sequence[api.Action]] | State] = deque()
        self._wake = threading.Event()
        self._stopping = False
        self._lost_since_gap = 0  # calls not taken, since the last gap was written
        self.lost_calls = 0  # in all
        self._file: int | None = None
        self._said = ""
        self._thread = threading.Thread(target=self._run, name="capture", daemon=True)

    @property
    def written(self) -> int:
        """Records written."""
        return self._journal.written

    @property
    def durable(self) -> int:
        """Records that a kill can't take any more."""
        return self._journal.durable

    def enable_gap_recovery(self, still: Callable[[Callable[[], None]], None], snapshot: Callable[[], bytes]) -> None:
        """Go on after a gap: ``still`` runs something between two calls, ``snapshot`` is what the router holds then."""
        self._still, self._snapshot = still, snapshot

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write what waits, then end."""
        self._stopping = True
        self._wake.set()
        if self._thread.ident is not None:
            self._thread.join(10.0)

    def record(self, at: int, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Take one call; never waits."""
        if self._lost_since_gap or len(self._queue) >= self._most:
            self._lost_since_gap += 1
            self.lost_calls += 1
            return
        self._queue.append((at, event, actions))
        if len(self._queue) == self._block:
            self._wake.set()

    def settings_changed(self, take: Callable[[], bytes]) -> None:
        """The router goes on under other settings, between two calls: what follows is replayed from its state now.

        Without one the calls that follow count as after a gap."""
        if self._lost_since_gap:
            return  # the state after the gap will be taken under these settings
        try:
            self._queue.append(State(self._clock(), self._header.version, take()))
        except CaptureError as error:
            self._log(f"capture: no snapshot under other settings: {error}")
            self._lost_since_gap += 1
            self.lost_calls += 1

    # The thread.

    def _run(self) -> None:
        while True:
            self._wake.wait(self._flush)
            self._wake.clear()
            stopping = self._stopping
            try:
                while self._queue or self._lost_since_gap:
                    self._write()
                    self._said = ""
            except OSError as error:
                self._trouble(error)
            if stopping:
                self._release()
                return

    def _write(self) -> None:
        """One batch, or once nothing waits, the gap."""
        if self._queue:
            records: list[bytes] = []
            while self._queue and len(records) < self._block:
                each = self._queue.popleft()
                records.append(codec.encode(each) if isinstance(each, State) else codec.encode_call(*each))
            self._carry_out(self._journal.write(self._clock(), records))
            return
        count, state = self._resume()
        self._carry_out(self._journal.write_gap(self._clock(), count, state))

    def _carry_out(self, ops: Iterator[Op]) -> None:
        for op in ops:
            match op:
                case Open(name):
                    self._open(name)
                case Append(data):
                    done = 0
                    while done < len(data):
                        done += os.write(self._descriptor(), data[done:])
                case Sync(directory):
                    os.fdatasync(self._descriptor())
                    if directory:
                        sync_directory(self.folder)
                case Close():
                    self._release()

    def _descriptor(self) -> int:
        if self._file is None:
            raise OSError("no segment is open")
        return self._file

    def _open(self, name: str) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self._file = os.open(self.folder / name, flags, 0o600)
        fcntl.flock(self._file, fcntl.LOCK_EX)  # waits for a look of who tends at most
        with contextlib.suppress(CaptureError):  # a store that can't be read must not stop the capture
            delete_over_budget(self.folder, self._budget)

    def _release(self) -> None:
        if self._file is not None:
            with contextlib.suppress(OSError):
                os.close(self._file)
            self._file = None

    def _trouble(self, error: OSError) -> None:
        """The disk is full or gone: what waits is lost, and said; the segment is given up."""
        if str(error) != self._said:
            self._said = str(error)
            self._log(f"capture: {error}; calls are not recorded")
        unwritten_calls, unwritten_gap = self._journal.operation_failed()

        def drop() -> None:
            dropped = sum(not isinstance(each, State) for each in self._queue)
            self._queue.clear()
            self._lost_since_gap += dropped + unwritten_calls + unwritten_gap
            self.lost_calls += dropped + unwritten_calls

        self._between(drop)
        self._release()
        if not self._stopping:
            time.sleep(min(1.0, self._flush * 4))

    def _resume(self) -> tuple[int, State | None]:
        """How many calls are missing, and the router's state after them; calls are taken again from here on."""
        taken: list[State] = []
        gap = [0]

        def now() -> None:
            if self._snapshot is not None:
                taken.append(State(self._clock(), self._header.version, self._snapshot()))
            gap[0], self._lost_since_gap = self._lost_since_gap, 0

        try:
            self._between(now)
        except (CaptureError, AttributeError) as error:  # a router that snapshots do not know
            self._log(f"capture: no snapshot: {error}; calls after the gap can't be replayed")
            self._snapshot = None
            self._between(now)
        return gap[0], taken[0] if taken else None

    def _between(self, do: Callable[[], None]) -> None:
        """Between two calls of ``record``, which other threads make."""
        if self._still is not None:
            self._still(do)
        else:
            do()
