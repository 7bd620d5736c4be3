"""A compare-and-set store in LMDB, for controllers on one machine: any number of processes, one folder.

LMDB's single writer and its sync at each commit provide order and durability.  The revision counts the writes of the
whole store, so that a key that was deleted and written again has a new one.  After a loss of power a write is there
completely or not at all.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path

import lmdb

from stonetrack.cas_store.ports import NO_ENTRY, Entry, StoreError, UnknownOutcome, checked_key

_WRITES_KEY = b"\x00count"
WATCH_POLL_S = 0.05


class EmbeddedStore:
    """A store in one LMDB environment.  Raises StoreError where the folder can't be used."""

    def __init__(self, folder: Path, map_bytes: int = 64 << 20) -> None:
        self._closing, self._closed = threading.Lock(), False
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._environment = lmdb.open(str(folder), map_size=map_bytes, max_readers=512, subdir=True)
            self._environment.reader_check()
        except (OSError, lmdb.Error) as error:
            raise StoreError(f"{folder}: {error}") from None

    def read(self, key: str) -> Entry:
        """See ``ports.CasStore``."""
        try:
            with self._environment.begin() as transaction:
                return _entry(transaction.get(checked_key(key)))
        except lmdb.Error as error:
            raise StoreError(str(error)) from None

    def compare_and_set(self, key: str, revision: int, value: bytes) -> int | None:
        """See ``ports.CasStore``."""
        key_bytes = checked_key(key, value)
        try:
            transaction = self._environment.begin(write=True)
        except lmdb.Error as error:
            raise StoreError(str(error)) from None
        try:
            if _entry(transaction.get(key_bytes)).revision != revision:
                transaction.abort()
                return None
            new_revision = int.from_bytes(transaction.get(_WRITES_KEY) or b"", "big") + 1
            transaction.put(_WRITES_KEY, new_revision.to_bytes(8, "big"))
            transaction.put(key_bytes, new_revision.to_bytes(8, "big") + value)
        except lmdb.Error as error:
            transaction.abort()
            raise StoreError(str(error)) from None
        try:
            transaction.commit()
        except lmdb.Error as error:  # the commit may have reached the disk
            raise UnknownOutcome(str(error)) from None
        return new_revision

    def keys(self, prefix: str) -> list[str]:
        """See ``ports.CasStore``."""
        key_bytes = checked_key(prefix)
        names = []
        try:
            with self._environment.begin() as transaction, transaction.cursor() as cursor:
                if cursor.set_range(key_bytes):
                    for key in cursor.iternext(values=False):
                        if not bytes(key).startswith(key_bytes):
                            break
                        names.append(bytes(key).decode())
        except lmdb.Error as error:
            raise StoreError(str(error)) from None
        return names

    def watch(self, key: str, revision: int, seconds: float, on_write: Callable[[Entry], bool]) -> None:
        """See ``ports.CasStore``: polls, since LMDB has no notifications; each poll reads mapped memory."""
        end = time.monotonic() + seconds
        while (remaining := end - time.monotonic()) > 0:
            with self._closing:
                if self._closed:
                    return
                entry = self.read(key)
            if entry.revision > revision:
                revision = entry.revision
                if not on_write(entry):
                    return
            time.sleep(min(WATCH_POLL_S, remaining))

    def close(self) -> None:
        """See ``ports.CasStore``."""
        with self._closing:
            self._closed = True
            self._environment.close()


def _entry(data: bytes | None) -> Entry:
    return NO_ENTRY if data is None else Entry(bytes(data[8:]), int.from_bytes(data[:8], "big"))
