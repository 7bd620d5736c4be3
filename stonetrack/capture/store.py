"""Metadata of a folder of captures, in LMDB beside the segments: indexes, snapshots, marks, notes, cases.

Segments are authoritative; indexes and snapshots can be rebuilt from them, marks and notes cannot.  So every change is
one transaction, durable before the call returns (LMDB guarantees that the last complete transaction survives a kill),
and an index is used only if the size and modification time of its segment still match.

Several processes may have the store open: instances read the marks before they delete, one maintenance process writes.
Keys are text; a router's snapshots have the keys ``ROUTER/NUMBER`` with the number in 20 digits, so that they sort by
number.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import lmdb
import msgspec
import zstandard

from stonetrack.capture.codec import CaptureError

if TYPE_CHECKING:  # importing numpy takes 0.25 s, and an instance only reads marks
    from stonetrack.capture.index import Index

STORE_DIRECTORY = "store"
MAX_MAP_BYTES = 16 << 30  # address space; the file grows as needed
_TABLES = (b"segments", b"states", b"marks", b"notes", b"cases", b"jobs")


@dataclass(frozen=True, slots=True)
class SavedState:
    """A stored snapshot of a router, used for seeking: its state before record ``number``."""

    router: str
    number: int
    at: int
    version: str
    data: bytes


class _EnvironmentPool:
    """LMDB may be opened only once in a process: all stores of the same folder share one environment."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: dict[Path, tuple[Any, int]] = {}

    def acquire(self, path: Path, map_bytes: int) -> Any:
        with self._lock:
            env, users = self._open.get(path, (None, 0))
            if env is None:
                env = lmdb.open(str(path), max_dbs=len(_TABLES), map_size=map_bytes, max_readers=256, mode=0o600)
            self._open[path] = env, users + 1
            return env

    def release(self, path: Path) -> None:
        with self._lock:
            env, users = self._open.pop(path)
            if users > 1:
                self._open[path] = env, users - 1
            else:
                env.close()


_ENVIRONMENTS = _EnvironmentPool()


class Store:
    """A folder's store.  Raises CaptureError if it can't be opened or written."""

    def __init__(self, folder: Path, *, map_bytes: int = MAX_MAP_BYTES) -> None:
        self.path = folder.resolve() / STORE_DIRECTORY
        self._closed = True
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._env = _ENVIRONMENTS.acquire(self.path, map_bytes)
            self._closed = False
            self._table = {name: self._env.open_db(name) for name in _TABLES}
        except (lmdb.Error, OSError) as error:
            self.close()
            raise CaptureError(f"{self.path}: {error}") from None

    @classmethod
    def open_existing(cls, folder: Path) -> Store | None:
        """The store of a folder, or None if it has none.  Raises CaptureError if it can't be opened: a caller that is
        about to delete segments must not mistake that for a store without marks."""
        return cls(folder) if (folder / STORE_DIRECTORY / "data.mdb").exists() else None

    def close(self) -> None:
        """Close the store; its environment is closed with its last user."""
        if not self._closed:
            self._closed = True
            _ENVIRONMENTS.release(self.path)

    def __enter__(self) -> Store:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _put(self, changes: list[tuple[bytes, str, bytes | None]]) -> None:
        """Apply changes durably, all or none; the value None deletes a key."""
        try:
            with self._env.begin(write=True) as transaction:
                for table, key, value in changes:
                    if value is None:
                        transaction.delete(key.encode(), db=self._table[table])
                    else:
                        transaction.put(key.encode(), value, db=self._table[table])
        except lmdb.Error as error:
            raise CaptureError(f"{self.path}: {error}") from None

    def _get(self, table: bytes, key: str) -> bytes | None:
        with self._env.begin() as transaction:
            found = transaction.get(key.encode(), db=self._table[table])
            return None if found is None else bytes(found)

    def _all(self, table: bytes, prefix: str = "") -> Iterator[tuple[str, bytes]]:
        start = prefix.encode()
        with self._env.begin() as transaction, transaction.cursor(db=self._table[table]) as cursor:
            if not cursor.set_range(start):
                return
            for key, value in cursor:
                if not key.startswith(start):
                    return
                yield bytes(key).decode(), bytes(value)

    # Indexes.

    def index_of(self, path: Path) -> Index | None:
        """A segment's index, or None if the file has changed since."""
        from stonetrack.capture import index

        raw = self._get(b"segments", path.name)
        if raw is None:
            return None
        found = index.from_bytes(raw)
        status = path.stat()
        return found if (found.size, found.mtime_ns) == (status.st_size, status.st_mtime_ns) else None

    def put_index(self, name: str, index: Index) -> None:
        """Store a segment's index."""
        self._put([(b"segments", name, index.to_bytes())])

    def delete_segments(self, names: list[str], router: str = "", before: int = 0) -> None:
        """Remove the indexes of deleted segments, and the router's snapshots except the last one before the remaining
        records."""
        changes: list[tuple[bytes, str, bytes | None]] = [(b"segments", name, None) for name in names]
        old_numbers = [s.number for s in self.states(router) if s.number <= before] if router else []
        changes += [(b"states", f"{router}/{number:020d}", None) for number in old_numbers[:-1]]
        self._put(changes)

    # Snapshots.

    def put_state(self, state: SavedState) -> None:
        """Store a router's snapshot."""
        data = zstandard.ZstdCompressor(level=3).compress(state.data)
        value = msgspec.msgpack.encode([state.at, state.version, data])
        self._put([(b"states", f"{state.router}/{state.number:020d}", value)])

    def states(self, router: str) -> Iterator[SavedState]:
        """A router's snapshots in order."""
        for key, value in self._all(b"states", f"{router}/"):
            at, version, data = msgspec.msgpack.decode(value)
            yield SavedState(
                router, int(key.rpartition("/")[2]), at, version, zstandard.ZstdDecompressor().decompress(data)
            )

    def state_before(self, router: str, number: int) -> SavedState | None:
        """The last snapshot at or before a record."""
        start = f"{router}/{number:020d}".encode()
        with self._env.begin() as transaction, transaction.cursor(db=self._table[b"states"]) as cursor:
            key_found = cursor.set_range(start)
            if not (key_found and cursor.key() == start) and not (cursor.prev() if key_found else cursor.last()):
                return None
            name, _, found = bytes(cursor.key()).decode().rpartition("/")
            if name != router:
                return None
            at, version, data = msgspec.msgpack.decode(bytes(cursor.value()))
        return SavedState(router, int(found), at, version, zstandard.ZstdDecompressor().decompress(data))

    # Marks and notes.

    def mark_kept(self, name: str, why: str) -> None:
        """Mark a segment as kept: retention never deletes it."""
        self._put([(b"marks", name, why.encode())])

    def unmark_kept(self, name: str) -> bool:
        """Remove a mark.  Returns whether there was one."""
        was_marked = self._get(b"marks", name) is not None
        self._put([(b"marks", name, None)])
        return was_marked

    def kept_segments(self) -> dict[str, str]:
        """Marked segments and the reasons."""
        return {name: why.decode() for name, why in self._all(b"marks")}

    def add_note(self, at: int, about: str, text: str) -> None:
        """Add a note about a segment or a request."""
        self._put([(b"notes", f"{at:020d}/{about}"[:480], text.encode())])

    def notes(self) -> list[tuple[int, str, str]]:
        """All notes as (time, subject, text)."""
        found = []
        for key, text in self._all(b"notes"):
            at, _, about = key.partition("/")
            found.append((int(at), about, text.decode()))
        return found

    # Cases cut from this folder, and the progress of maintenance.

    def put_case(self, name: str, facts: dict[str, Any]) -> None:
        """Register a case that was cut from this folder."""
        self._put([(b"cases", name, msgspec.json.encode(facts))])

    def cases(self) -> dict[str, dict[str, Any]]:
        """Cases that were cut from this folder."""
        return {name: msgspec.json.decode(value) for name, value in self._all(b"cases")}

    def progress(self, router: str) -> dict[str, Any]:
        """The maintenance progress of a router."""
        raw = self._get(b"jobs", router)
        return msgspec.json.decode(raw) if raw else {}

    def put_progress(self, router: str, facts: dict[str, Any]) -> None:
        """Store the maintenance progress of a router."""
        self._put([(b"jobs", router, msgspec.json.encode(facts))])
