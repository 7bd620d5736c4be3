"""The audit log on disk: a thread closes spans and writes their lines, synced, to files of bounded size and number.

Files are named ``NAME-NUMBER.account`` with increasing NUMBER; the chain continues from file to file and over restarts.
The oldest files are removed, which a reader sees as a chain that begins at a later number.
"""

from __future__ import annotations

import contextlib
import os
import threading
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from stonetrack.audit.audit_log import ActingVersion, AuditLog, Span
from stonetrack.audit.hash_chain import ChainReading, encode_line, read_chain
from stonetrack.durable import sync_directory
from stonetrack.node.threads import restarting_thread

SUFFIX = ".account"
WRITE_INTERVAL_S = 0.5


def log_files(folder: Path, name: str) -> list[Path]:
    """Return a node's files, oldest first."""
    found = [p for p in folder.glob(f"{name}-*{SUFFIX}") if p.stem.rpartition("-")[2].isdigit()]
    return sorted((p for p in found if p.stem.rpartition("-")[0] == name), key=_number)


def node_names(folder: Path) -> list[str]:
    """Return the nodes that have files in a folder."""
    return sorted({p.stem.rpartition("-")[0] for p in folder.glob(f"*-*{SUFFIX}")})


def _number(path: Path) -> int:
    return int(path.stem.rpartition("-")[2])


def log_lines(folder: Path, name: str) -> Iterable[bytes]:
    """Yield all lines of a node's audit log, in order.  Raises OSError."""
    for path in log_files(folder, name):
        with open(path, "rb") as file:
            yield from file


class LogWriter:
    """Writer of one node's audit log; :meth:`record` and :meth:`switch_version` may be called from any thread and never
    wait for the disk.

    ``clock`` is the node's, ``max_duration`` of a span is in nanoseconds.  Spans that cannot be written stay in memory
    and are tried again; ``last_error`` is then set.
    """

    def __init__(self, folder: Path, name: str, boot: str, clock: Callable[[], int], *, max_duration: int,
                 max_file_bytes: int, max_files: int, log: Callable[[str], None]) -> None:  # fmt: skip
        folder.mkdir(parents=True, exist_ok=True)
        self._folder, self._name, self._clock, self._log = folder, name, clock, log
        self._max_file_bytes, self._max_files = max_file_bytes, max_files
        self._audit_log = AuditLog(boot, max_duration)
        self._lock = threading.Lock()
        self._waiting: list[Span] = []
        # Events in order, not yet in the audit log; without actions: a switch of the version.
        self._events: deque[tuple[int, ActingVersion, str, Sequence[str] | None]] = deque()
        self.last_error = ""
        found = read_chain(log_lines(folder, name))
        self._next, self._last = found.number, found.last
        for finding in found.findings:
            log(f"audit log, line {finding.line}: {finding.defect.value}")
        existing = log_files(folder, name)
        self._file = _number(existing[-1]) + 1 if existing else 0  # a torn end stays as it is
        self._truncate_to: tuple[Path, int] | None = None  # a file whose last write failed, and its length before
        self._done = threading.Event()
        self._thread = restarting_thread("account", self._run, log)

    def start(self) -> None:
        """Start to write."""
        self._thread.start()

    def stop(self) -> None:
        """Close and write all open spans."""
        self._done.set()
        if self._thread.ident is not None:
            self._thread.join(5.0)
        self._write(close_all=True)

    def switch_version(self, now: int, acting: ActingVersion) -> None:
        """See ``AuditLog.switch_version``; the writer's own thread applies it."""
        self._events.append((now, acting, "", None))

    def record(self, now: int, acting: ActingVersion, request: str, actions: Sequence[str]) -> None:
        """See ``AuditLog.record``; the caller holds the core's lock, so this only appends to a queue."""
        self._events.append((now, acting, request, actions))

    def _apply_events(self) -> None:
        """Apply the queued events to the audit log, in order, under the lock."""
        for _ in range(len(self._events)):
            now, acting, request, actions = self._events.popleft()
            if actions is None:
                self._audit_log.switch_version(now, acting)
            else:
                self._audit_log.record(now, acting, request, actions)

    def _run(self) -> None:
        while not self._done.wait(WRITE_INTERVAL_S):
            self._write()

    def _write(self, close_all: bool = False) -> None:
        with self._lock:
            self._apply_events()
            self._waiting += self._audit_log.close_due(self._clock(), close_all)
        if not self._waiting:
            return
        data, number, last = b"", self._next, self._last
        for span in self._waiting:
            raw, last = encode_line(number, last, span)
            data += raw
            number += 1
        try:
            self._append(data)
        except OSError as error:
            if not self.last_error:
                self._log(f"audit log: {error}; the spans are kept in memory and the write is tried again")
            self.last_error = str(error)
            del self._waiting[: -self._max_files * 100]  # bounds memory; the numbers of the chain show the loss
            return
        self._waiting, self._next, self._last, self.last_error = [], number, last, ""

    def _append(self, data: bytes) -> None:
        self._truncate_failed_write()
        path = self._folder / f"{self._name}-{self._file}{SUFFIX}"
        if path.exists() and path.stat().st_size + len(data) > self._max_file_bytes:
            self._file += 1
            path = self._folder / f"{self._name}-{self._file}{SUFFIX}"
        new = not path.exists()
        before = 0 if new else path.stat().st_size
        try:
            with open(path, "ab") as out:
                out.write(data)
                out.flush()
                os.fsync(out.fileno())
            if new:
                sync_directory(self._folder)
        except OSError:
            self._truncate_to = (path, before)
            self._file += 1  # pages whose sync failed are not trusted, so the next write begins a new file
            self._truncate_failed_write()
            raise
        self._remove_oldest()

    def _truncate_failed_write(self) -> None:
        """Remove what a failed write may have left: its lines are written again to the next file.  Raises OSError."""
        if self._truncate_to is None:
            return
        path, length = self._truncate_to
        if path.exists():
            os.truncate(path, length)
        self._truncate_to = None

    def _remove_oldest(self) -> None:
        """Remove files beyond ``max_files``; one that cannot be removed is tried again with the next write."""
        for old in log_files(self._folder, self._name)[: -self._max_files]:
            with contextlib.suppress(OSError):
                old.unlink(missing_ok=True)


def lines_after(folder: Path, name: str, after: int, max_bytes: int = 1 << 20) -> tuple[bytes, bool]:
    """Return the raw lines after a number, up to ``max_bytes``, and whether there are more.  Raises OSError."""
    out, number = bytearray(), 0
    for raw in log_lines(folder, name):
        entry = read_chain([raw])
        number = entry.number if entry.spans else number + 1
        if not raw.endswith(b"\n") or number - 1 <= after:
            continue
        if out and len(out) + len(raw) > max_bytes:
            return bytes(out), True
        out += raw
    return bytes(out), False


def read_log(folder: Path, name: str) -> ChainReading:
    """Read a node's audit log from disk.  Raises OSError."""
    return read_chain(log_lines(folder, name))
