"""The thread that writes captures: it executes the operations of :mod:`.journal` off the hot path.

``record`` only appends to a bounded queue; the thread writes the queued calls as blocks, one every ``flush_interval``
seconds or ``block_records`` records.  When the queue or the disk is full, calls are counted as lost instead: the node
never waits.  Once the thread has caught up, it writes the count as a gap and takes a snapshot of the router between two
calls (``run_between_calls``), so that the calls after the gap can be replayed.  It does the same when the router
continues under other settings (:meth:`Recorder.settings_changed`).  The open segment is locked (``flock``), so that the
maintenance process knows that it is being written.
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
    """Delete the oldest segments that exceed the budget, except those marked as kept or being written.  Returns the
    deleted names."""
    kept: dict[str, str] = {}
    if (store := Store.open_existing(folder)) is not None:
        with store:
            kept = store.kept_segments()
    found: list[SegmentFile] = []
    for path in folder.glob(f"*{SEGMENT_SUFFIX}"):
        with contextlib.suppress(OSError, ValueError):
            started_at = int(path.stem.rpartition("-")[2])
            found.append(SegmentFile(path.name, path.stat().st_size, started_at, path.name in kept))
    if sum(entry.bytes for entry in found) <= budget:
        return []
    found = [
        SegmentFile(file.name, file.bytes, file.started_at, file.kept, is_open(folder / file.name)) for file in found
    ]
    deleted = segments_to_delete(found, budget)
    for name in deleted:
        (folder / name).unlink(missing_ok=True)
    return deleted


class Recorder:
    """Records one router's calls into a folder.  ``flush_interval`` and ``segment_seconds`` in seconds."""

    def __init__(self, folder: Path, header: Header, clock: Callable[[], int], *, log: Callable[[str], None],
                 flush_interval: float = 0.25, block_records: int = 2_000, max_queued: int = 50_000,
                 segment_bytes: int = 16 << 20, segment_seconds: float = 600.0, budget_bytes: int = 256 << 20,
                 sync: bool = True) -> None:  # fmt: skip
        self.folder, self._header, self._clock, self._log = folder, header, clock, log
        self._flush_interval, self._block_records, self._max_queued, self._budget_bytes = (
            flush_interval,
            block_records,
            max_queued,
            budget_bytes,
        )
        self._journal = Journal(header, SegmentLimits(segment_bytes, int(segment_seconds * 1e9), sync))
        self._run_between_calls: Callable[[Callable[[], None]], None] | None = None
        self._snapshot: Callable[[], bytes] | None = None
        self._queue: deque[tuple[int, api.Event, Sequence[api.Action]] | State] = deque()
        self._wake = threading.Event()
        self._stopping = False
        self._lost_since_gap = 0  # calls not recorded since the last gap was written
        self.lost_calls = 0  # in total
        self._file: int | None = None
        self._last_error = ""
        self._thread = threading.Thread(target=self._run, name="capture", daemon=True)

    @property
    def written(self) -> int:
        """Number of records written."""
        return self._journal.written_records

    @property
    def durable(self) -> int:
        """Number of records that survive a kill."""
        return self._journal.durable

    def enable_gap_recovery(
        self, run_between_calls: Callable[[Callable[[], None]], None], snapshot: Callable[[], bytes]
    ) -> None:
        """Resume recording with a snapshot after a gap.  ``run_between_calls`` runs a function between two calls of the
        router; ``snapshot`` encodes the router's state."""
        self._run_between_calls, self._snapshot = run_between_calls, snapshot

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write the queued records, then end the thread."""
        self._stopping = True
        self._wake.set()
        if self._thread.ident is not None:
            self._thread.join(10.0)

    def record(self, at: int, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Queue one call; never blocks."""
        if self._lost_since_gap or len(self._queue) >= self._max_queued:
            self._lost_since_gap += 1
            self.lost_calls += 1
            return
        self._queue.append((at, event, actions))
        if len(self._queue) == self._block_records:
            self._wake.set()

    def settings_changed(self, take_snapshot: Callable[[], bytes]) -> None:
        """The router continues under other settings: record its state, from which the calls that follow are replayed.

        Must be called between two calls.  Without a snapshot the calls that follow count as after a gap.
        """
        if self._lost_since_gap:
            return  # the state after the gap is taken under these settings
        try:
            self._queue.append(State(self._clock(), self._header.version, take_snapshot()))
        except CaptureError as error:
            self._log(f"capture: no snapshot after a change of settings: {error}")
            self._lost_since_gap += 1
            self.lost_calls += 1

    # The thread.

    def _run(self) -> None:
        while True:
            self._wake.wait(self._flush_interval)
            self._wake.clear()
            stopping = self._stopping
            try:
                while self._queue or self._lost_since_gap:
                    self._write()
                    self._last_error = ""
            except OSError as error:
                self._handle_write_error(error)
            if stopping:
                self._close_file()
                return

    def _write(self) -> None:
        """Write one batch, or the gap once the queue is empty."""
        if self._queue:
            records: list[bytes] = []
            while self._queue and len(records) < self._block_records:
                entry = self._queue.popleft()
                records.append(codec.encode(entry) if isinstance(entry, State) else codec.encode_call(*entry))
            self._execute(self._journal.write(self._clock(), records))
            return
        count, state = self._consume_gap()
        self._execute(self._journal.write_gap(self._clock(), count, state))

    def _execute(self, ops: Iterator[Op]) -> None:
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
                    self._close_file()

    def _descriptor(self) -> int:
        if self._file is None:
            raise OSError("no segment is open")
        return self._file

    def _open(self, name: str) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self._file = os.open(self.folder / name, flags, 0o600)
        fcntl.flock(self._file, fcntl.LOCK_EX)  # waits at most for a check by the maintenance process
        with contextlib.suppress(CaptureError):  # an unreadable store must not stop the capture
            delete_over_budget(self.folder, self._budget_bytes)

    def _close_file(self) -> None:
        if self._file is not None:
            with contextlib.suppress(OSError):
                os.close(self._file)
            self._file = None

    def _handle_write_error(self, error: OSError) -> None:
        """The disk is full or missing: drop the queue, count its calls as lost, log the error once, and abandon the
        segment."""
        if str(error) != self._last_error:
            self._last_error = str(error)
            self._log(f"capture: {error}; calls are not recorded")
        unwritten_calls, unwritten_gap = self._journal.operation_failed()

        def drop_queue() -> None:
            dropped = sum(not isinstance(entry, State) for entry in self._queue)
            self._queue.clear()
            self._lost_since_gap += dropped + unwritten_calls + unwritten_gap
            self.lost_calls += dropped + unwritten_calls

        self._run_exclusively(drop_queue)
        self._close_file()
        if not self._stopping:
            time.sleep(min(1.0, self._flush_interval * 4))

    def _consume_gap(self) -> tuple[int, State | None]:
        """The number of missing calls, and the router's state after them; from here on calls are queued again."""
        states: list[State] = []
        gap = [0]

        def count_and_snapshot() -> None:
            if self._snapshot is not None:
                states.append(State(self._clock(), self._header.version, self._snapshot()))
            gap[0], self._lost_since_gap = self._lost_since_gap, 0

        try:
            self._run_exclusively(count_and_snapshot)
        except (CaptureError, AttributeError) as error:  # a router of a class that snapshots do not support
            self._log(f"capture: no snapshot: {error}; calls after the gap can't be replayed")
            self._snapshot = None
            self._run_exclusively(count_and_snapshot)
        return gap[0], states[0] if states else None

    def _run_exclusively(self, action: Callable[[], None]) -> None:
        """Run ``action`` between two calls of ``record``, which other threads make."""
        if self._run_between_calls is not None:
            self._run_between_calls(action)
        else:
            action()
