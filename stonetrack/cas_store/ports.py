"""What a register does, whatever store is behind it.  No I/O.

Linearizable reads and writes of single keys; a revision that changes with every write of a key and never comes back.
A write that was not answered is *unknown*: it may have been done, or may still be done later.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MAX_KEY_BYTES, MAX_VALUE_BYTES = 400, 1 << 20  # bytes


class StoreError(Exception):
    """The register does not do what was asked; nothing was written."""


class UnknownOutcome(StoreError):
    """Nobody knows whether the write was done."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value and its revision; revision 0 and no value where there is none."""

    value: bytes
    revision: int


NO_ENTRY = Entry(b"", 0)


class CasStore(Protocol):
    """One store."""

    def read(self, key: str) -> Entry:
        """What is there now.  Raises StoreError."""

    def compare_and_set(self, key: str, revision: int, value: bytes) -> int | None:
        """Write if the key still has this revision (0: if it is not there); the new one, or None where it has another.

        Raises UnknownOutcome, StoreError."""

    def keys(self, prefix: str) -> list[str]:
        """Keys that begin so, in order.  Raises StoreError."""

    def watch(self, key: str, revision: int, seconds: float, tell: Callable[[Entry], bool]) -> None:
        """Tell of each write of a key after a revision, as it comes, until ``tell`` says that it is enough or for so
        many seconds; early for any reason, and late for any: what is told may have been written over since.  Raises
        StoreError."""

    def close(self) -> None:
        """Let go of it."""


def checked_key(key: str, value: bytes = b"") -> bytes:
    """A key as bytes.  Raises StoreError where key or value are out of bounds."""
    raw = key.encode()
    if not 0 < len(raw) <= MAX_KEY_BYTES or len(value) > MAX_VALUE_BYTES:
        sizes = f"{len(raw)} bytes with {len(value)} bytes; at most {MAX_KEY_BYTES}, {MAX_VALUE_BYTES}"
        raise StoreError(f"key {key[:60]!r} of {sizes}")
    return raw
