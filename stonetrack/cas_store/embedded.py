"""A register in LMDB, for stewards on one machine: any number of processes, one folder.

LMDB's one writer at a time and its sync at each commit give order and durability; a revision counts the writes of the
whole store, so that a key that was taken away and written again has a new one.  A machine that loses power in a write
has all of it or nothing.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path

import lmdb

from stonetrack.cas_store.ports import NO_ENTRY, Entry, StoreError, UnknownOutcome, checked_key

_COUNT = b"\x00count"
LOOK = 0.05  # seconds between two looks of who follows


class EmbeddedStore:
    """See the module.  Raises StoreError where the folder can't be used."""

    def __init__(self, folder: Path, most_bytes: int = 64 << 20) -> None:
        self._closing, self._closed = threading.Lock(), False
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._store = lmdb.open(str(folder), map_size=most_bytes, max_readers=512, subdir=True)
            self._store.reader_check()
        except (OSError, lmdb.Error) as error:
            raise StoreError(f"{folder}: {error}") from None

    def read(self, key: str) -> Entry:
        """See ``ports.CasStore``."""
        try:
            with self._store.begin() as view:
                return _entry(view.get(checked_key(key)))
        except lmdb.Error as error:
            raise StoreError(str(error)) from None

    def compare_and_set(self, key: str, revision: int, value: bytes) -> int | None:
        """See ``ports.CasStore``."""
        raw = checked_key(key, value)
        try:
            change = self._store.begin(write=True)
        except lmdb.Error as error:
            raise StoreError(str(error)) from None
        try:
            if _entry(change.get(raw)).revision != revision:
                change.abort()
                return None
            new = int.from_bytes(change.get(_COUNT) or b"", "big") + 1
            change.put(_COUNT, new.to_bytes(8, "big"))
            change.put(raw, new.to_bytes(8, "big") + value)
        except lmdb.Error as error:
            change.abort()
            raise StoreError(str(error)) from None
        try:
            change.commit()
        except lmdb.Error as error:  # what the disk holds of it is not known: it may have been written
            raise UnknownOutcome(str(error)) from None
        return new

    def keys(self, prefix: str) -> list[str]:
        """See ``ports.CasStore``."""
        raw = checked_key(prefix)
        found = []
        try:
            with self._store.begin() as view, view.cursor() as cursor:
                if cursor.set_range(raw):
                    for key in cursor.iternext(values=False):
                        if not bytes(key).startswith(raw):
                            break
                        found.append(bytes(key).decode())
        except lmdb.Error as error:
            raise StoreError(str(error)) from None
        return found

    def watch(self, key: str, revision: int, seconds: float, tell: Callable[[Entry], bool]) -> None:
        """See ``ports.CasStore``: looks now and then, since LMDB tells nobody; a look is a read of mapped memory."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            with self._closing:
                if self._closed:
                    return
                entry = self.read(key)
            if entry.revision > revision:
                revision = entry.revision
                if not tell(entry):
                    return
            time.sleep(min(LOOK, left))

    def close(self) -> None:
        """See ``ports.CasStore``."""
        with self._closing:
            self._closed = True
            self._store.close()


def _entry(raw: bytes | None) -> Entry:
    return NO_ENTRY if raw is None else Entry(bytes(raw[8:]), int.from_bytes(raw[:8], "big"))
