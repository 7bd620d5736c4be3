"""Writes captures off the hot path.

``note`` only appends to a bounded queue; a thread turns what is there into blocks, one each ``flush`` seconds or
``block`` records.  When the queue is full, or the disk is, calls are counted instead and a ``Gap`` says how many are
missing: the node never waits.  Then the router's state is taken whole, between two calls (``still``), and a new
segment begins with it, so that what follows can be replayed.

Segments rotate by size and age; past the budget the oldest is deleted, never one marked as kept (a file ``NAME.keep``
beside it).
"""

from __future__ import annotations

import contextlib
import os
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from pathlib import Path

from stonetrack import api
from stonetrack.capture import codec, segment
from stonetrack.capture.codec import CaptureError, Gap, Header, State

SUFFIX = ".cap"


class Recorder:
    """Records one router's calls into a folder."""

    def __init__(self, folder: Path, header: Header, clock: Callable[[], int], *, log: Callable[[str], None],
                 flush: float = 0.25, block: int = 2_000, waiting: int = 50_000, segment_bytes: int = 16 << 20,
                 segment_seconds: float = 600.0, budget_bytes: int = 256 << 20, sync: bool = True) -> None:  # fmt: skip
        self.folder, self._header, self._clock, self._log = folder, header, clock, log
        self._flush, self._block, self._most = flush, block, waiting
        self._segment_bytes, self._segment_seconds, self._budget = segment_bytes, segment_seconds, budget_bytes
        self._sync = sync
        self._still: Callable[[Callable[[], None]], None] | None = None
        self._snapshot: Callable[[], bytes] | None = None
        self._queue: deque[tuple[int, api.Event, Sequence[api.Action]]] = deque()
        self._wake = threading.Event()
        self._stopping = False
        self._in_hand = 0  # calls taken from the queue and not written yet
        self._lost = 0  # calls not taken, since the last gap was written
        self.lost = 0  # in all
        self.written = 0  # records
        self.durable = 0  # records that a kill can't take any more
        self.bytes = 0
        self._number = 0
        self._file: int | None = None
        self._path: Path | None = None
        self._size = 0
        self._opened = 0.0
        self._said = ""
        self._thread = threading.Thread(target=self._run, name="capture", daemon=True)

    def after_gaps(self, still: Callable[[Callable[[], None]], None], snapshot: Callable[[], bytes]) -> None:
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

    def note(self, at: int, event: api.Event, actions: Sequence[api.Action]) -> None:
        """Take one call; never waits."""
        if self._lost or len(self._queue) >= self._most:
            self._lost += 1
            self.lost += 1
            return
        self._queue.append((at, event, actions))
        if len(self._queue) == self._block:
            self._wake.set()

    # The thread.

    def _run(self) -> None:
        while True:
            self._wake.wait(self._flush)
            self._wake.clear()
            stopping = self._stopping
            try:
                while self._queue or self._lost:
                    self._write()
            except OSError as error:
                self._trouble(error)
            if stopping:
                self._close()
                return

    def _trouble(self, error: OSError) -> None:
        """The disk is full or gone: what waits is lost, and said; the segment is given up."""
        if str(error) != self._said:
            self._said = str(error)
            self._log(f"capture: {error}; calls are not recorded")

        def drop() -> None:
            dropped = len(self._queue) + self._in_hand
            self._queue.clear()
            self._in_hand = 0
            self._lost += dropped
            self.lost += dropped

        self._between(drop)
        self._close()
        time.sleep(min(1.0, self._flush * 4))

    def _write(self) -> None:
        if self._file is None:
            self._open()
        records: list[bytes] = []
        while self._queue and len(records) < self._block:
            records.append(codec.encode_call(*self._queue.popleft()))
            self._in_hand = len(records)
        whole = not (self._lost and not self._queue)
        if not whole:
            gap, state = self._resume()
            records.append(codec.encode(Gap(self._clock(), gap)))
        self._append(records)
        self._in_hand = 0
        if not whole:
            self._close()  # what follows a gap begins a segment of its own
            if state is not None:
                self._open()
                self._append([codec.encode(state)])
        elif self._size >= self._segment_bytes or time.monotonic() - self._opened >= self._segment_seconds:
            self._close()

    def _resume(self) -> tuple[int, State | None]:
        """How many calls are missing, and the router's state after them; calls are taken again from here on."""
        taken: list[State] = []
        gap = [0]

        def now() -> None:
            if self._snapshot is not None:
                taken.append(State(self._clock(), self._header.version, self._snapshot()))
            gap[0], self._lost = self._lost, 0

        try:
            self._between(now)
        except (CaptureError, AttributeError) as error:  # a router that snapshots do not know
            self._log(f"capture: no snapshot: {error}; calls after the gap can't be replayed")
            self._snapshot = None
            gap[0], self._lost = self._lost, 0
        return gap[0], taken[0] if taken else None

    def _between(self, do: Callable[[], None]) -> None:
        """Between two calls of ``note``, which other threads make."""
        if self._still is not None:
            self._still(do)
        else:
            do()

    def _append(self, records: list[bytes]) -> None:
        if not records or self._file is None:
            return
        data = segment.pack(records, self._number)
        done = 0
        while done < len(data):
            done += os.write(self._file, data[done:])
        if self._sync:
            os.fdatasync(self._file)
        self._number += len(records)
        self.written += len(records)
        self.durable = self._number
        self._size += len(data)
        self.bytes += len(data)
        self._said = ""

    def _open(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        name = f"{self._header.instance}-{self._clock():020d}{SUFFIX}"
        self._path = self.folder / name
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o600)
        os.write(self._file, segment.MAGIC)
        self._size, self._opened = len(segment.MAGIC), time.monotonic()
        if self._number == 0:
            self._append([codec.encode(self._header)])
        self._retain()

    def _close(self) -> None:
        if self._file is not None:
            with contextlib.suppress(OSError):
                os.close(self._file)
            self._file = None

    def _retain(self) -> None:
        """Delete the oldest of this instance's segments past the budget, none that is kept or being written."""
        mine = sorted(self.folder.glob(f"{self._header.instance}-*{SUFFIX}"))
        total = sum(path.stat().st_size for path in mine)
        for path in mine:
            if total <= self._budget:
                return
            if path != self._path and not path.with_suffix(".keep").exists():
                total -= path.stat().st_size
                path.unlink(missing_ok=True)
