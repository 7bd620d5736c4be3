"""The account on disk: a thread that closes spans and writes their lines, synced, in files of bounded size and number.

``NAME-NUMBER.account``, NUMBER growing; the chain goes on from file to file and over restarts.  The oldest files go,
which a reader sees as a chain that begins at a later number.
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
LOOK = 0.5  # seconds from one look at what is due to the next


def log_files(folder: Path, name: str) -> list[Path]:
    """A node's files, oldest first."""
    found = [p for p in folder.glob(f"{name}-*{SUFFIX}") if p.stem.rpartition("-")[2].isdigit()]
    return sorted((p for p in found if p.stem.rpartition("-")[0] == name), key=_number)


def node_names(folder: Path) -> list[str]:
    """The nodes that have files in a folder."""
    return sorted({p.stem.rpartition("-")[0] for p in folder.glob(f"*-*{SUFFIX}")})


def _number(path: Path) -> int:
    return int(path.stem.rpartition("-")[2])


def log_lines(folder: Path, name: str) -> Iterable[bytes]:
    """All lines of a node's account, in order.  Raises OSError."""
    for path in log_files(folder, name):
        with open(path, "rb") as file:
            yield from file


class LogWriter:
    """Keeps one node's account; :meth:`record` and :meth:`switch_version` may be called from any thread and never wait
    for a disk.

    ``clock`` is the node's.  What can't be written stays in memory and is tried again; ``last_error`` says so.
    """

    def __init__(self, folder: Path, name: str, boot: str, clock: Callable[[], int], *, every: int, file_bytes: int,
                 most_files: int, log: Callable[[str], None]) -> None:  # fmt: skip
        folder.mkdir(parents=True, exist_ok=True)
        self._folder, self._name, self._clock, self._log = folder, name, clock, log
        self._file_bytes, self._most_files = file_bytes, most_files
        self._account = AuditLog(boot, every)
        self._lock = threading.Lock()
        self._waiting: list[Span] = []
        # In order; not yet in the account.
        self._told: deque[tuple[int, ActingVersion, str, Sequence[str] | None]] = deque()
        self.last_error = ""
        found = read_chain(log_lines(folder, name))
        self._next, self._last = found.number, found.last
        for finding in found.findings:
            log(f"account, line {finding.line}: {finding.wrong.value}")
        there = log_files(folder, name)
        self._file = _number(there[-1]) + 1 if there else 0  # a torn end stays as it was found
        self._cut_to: tuple[Path, int] | None = None  # a file whose last write failed, and its length before that
        self._done = threading.Event()
        self._thread = restarting_thread("account", self._run, log)

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def stop(self) -> None:
        """Close and write all that is open."""
        self._done.set()
        if self._thread.ident is not None:
            self._thread.join(5.0)
        self._write(all_of=True)

    def switch_version(self, now: int, acting: ActingVersion) -> None:
        """See ``AuditLog.switch_version``; put into the account by the keeper's own thread."""
        self._told.append((now, acting, "", None))

    def record(self, now: int, acting: ActingVersion, request: str, what: Sequence[str]) -> None:
        """See ``AuditLog.record``; the caller holds the core's lock, so this is an append and no more."""
        self._told.append((now, acting, request, what))

    def _take(self) -> None:
        """What was told goes into the account, in its order.  Under the lock."""
        for _ in range(len(self._told)):
            now, acting, request, what = self._told.popleft()
            if what is None:
                self._account.switch_version(now, acting)
            else:
                self._account.record(now, acting, request, what)

    def _run(self) -> None:
        while not self._done.wait(LOOK):
            self._write()

    def _write(self, all_of: bool = False) -> None:
        with self._lock:
            self._take()
            self._waiting += self._account.due(self._clock(), all_of)
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
                self._log(f"account: {error}; it is kept in memory and tried again")
            self.last_error = str(error)
            del self._waiting[: -self._most_files * 100]  # bounded: the chain's numbers then show what is lost
            return
        self._waiting, self._next, self._last, self.last_error = [], number, last, ""

    def _append(self, data: bytes) -> None:
        self._cut_back()
        path = self._folder / f"{self._name}-{self._file}{SUFFIX}"
        if path.exists() and path.stat().st_size + len(data) > self._file_bytes:
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
            self._cut_to = (path, before)
            self._file += 1  # pages whose sync failed are not trusted: what follows begins a file of its own
            self._cut_back()
            raise
        self._remove_oldest()

    def _cut_back(self) -> None:
        """Take out what the last write may have left: its lines come again in the next file.  Raises OSError."""
        if self._cut_to is None:
            return
        path, length = self._cut_to
        if path.exists():
            os.truncate(path, length)
        self._cut_to = None

    def _remove_oldest(self) -> None:
        """Keep as many files as the settings allow; one that can't be removed now is tried with the next write."""
        for old in log_files(self._folder, self._name)[: -self._most_files]:
            with contextlib.suppress(OSError):
                old.unlink(missing_ok=True)


def lines_after(folder: Path, name: str, after: int, most: int = 1 << 20) -> tuple[bytes, bool]:
    """The lines after a number as they stand, up to so many bytes, and whether there is more.  Raises OSError."""
    out, number = bytearray(), 0
    for raw in log_lines(folder, name):
        entry = read_chain([raw])
        number = entry.number if entry.spans else number + 1
        if not raw.endswith(b"\n") or number - 1 <= after:
            continue
        if out and len(out) + len(raw) > most:
            return bytes(out), True
        out += raw
    return bytes(out), False


def read_log(folder: Path, name: str) -> ChainReading:
    """A node's account as it stands on disk.  Raises OSError."""
    return read_chain(log_lines(folder, name))
