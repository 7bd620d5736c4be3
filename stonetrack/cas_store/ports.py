"""The interface of a compare-and-set store.  No I/O.

Reads and writes of single keys are linearizable; the revision of a key changes with every write and never repeats.
A write whose answer was lost has an *unknown* outcome: it may have been carried out, or may still be carried out later.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MAX_KEY_BYTES, MAX_VALUE_BYTES = 400, 1 << 20


class StoreError(Exception):
    """The store refused the call or could not be reached; nothing was written."""


class UnknownOutcome(StoreError):
    """The write may or may not have been carried out."""


@dataclass(frozen=True, slots=True)
class Entry:
    """The value of a key and its revision; revision 0 and an empty value where there is no such key."""

    value: bytes
    revision: int


NO_ENTRY = Entry(b"", 0)


class CasStore(Protocol):
    """A compare-and-set store."""

    def read(self, key: str) -> Entry:
        """Read the present entry of a key.  Raises StoreError."""

    def compare_and_set(self, key: str, revision: int, value: bytes) -> int | None:
        """Write if the key still has this revision (0: if there is no such key).

        Returns the new revision, or None where the key has another one.  Raises UnknownOutcome, StoreError."""

    def keys(self, prefix: str) -> list[str]:
        """The keys with this prefix, in order.  Raises StoreError."""

    def watch(self, key: str, revision: int, seconds: float, on_write: Callable[[Entry], bool]) -> None:
        """Call ``on_write`` for each write of a key after a revision, as it arrives, until it returns False.

        Ends after ``seconds`` at the latest, and may end early for any reason.  Entries may arrive late, and the key
        may have been written since.  Raises StoreError."""

    def close(self) -> None:
        """Release the resources of the store."""


def checked_key(key: str, value: bytes = b"") -> bytes:
    """The key as bytes.  Raises StoreError where the key or the value is too large."""
    raw = key.encode()
    if not 0 < len(raw) <= MAX_KEY_BYTES or len(value) > MAX_VALUE_BYTES:
        size = f"{len(raw)} bytes with {len(value)} bytes; at most {MAX_KEY_BYTES}, {MAX_VALUE_BYTES}"
        raise StoreError(f"key {key[:60]!r} of {size}")
    return raw
