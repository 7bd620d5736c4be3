"""What a register does, whatever store is behind it.  No I/O.

Linearizable reads and writes of single keys; a revision that changes with every write of a key and never comes back.
A write that was not answered is *unknown*: it may have been done, or may still be done later.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MOST_KEY, MOST_VALUE = 400, 1 << 20  # bytes


class RegisterError(Exception):
    """The register does not do what was asked; nothing was written."""


class Unknown(RegisterError):
    """Nobody knows whether the write was done."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value and its revision; revision 0 and no value where there is none."""

    value: bytes
    revision: int


NONE = Entry(b"", 0)


class Register(Protocol):
    """One store."""

    def read(self, key: str) -> Entry:
        """What is there now.  Raises RegisterError."""

    def swap(self, key: str, revision: int, value: bytes) -> int | None:
        """Write if the key still has this revision (0: if it is not there); the new one, or None where it has another.

        Raises Unknown, RegisterError."""

    def keys(self, prefix: str) -> list[str]:
        """Keys that begin so, in order.  Raises RegisterError."""

    def follow(self, key: str, revision: int, seconds: float, tell: Callable[[Entry], bool]) -> None:
        """Tell of each write of a key after a revision, as it comes, until ``tell`` says that it is enough or for so
        many seconds; early for any reason, and late for any: what is told may have been written over since.  Raises
        RegisterError."""

    def close(self) -> None:
        """Let go of it."""


def checked(key: str, value: bytes = b"") -> bytes:
    """A key as bytes.  Raises RegisterError where key or value are out of bounds."""
    raw = key.encode()
    if not 0 < len(raw) <= MOST_KEY or len(value) > MOST_VALUE:
        sizes = f"{len(raw)} bytes with {len(value)} bytes; at most {MOST_KEY}, {MOST_VALUE}"
        raise RegisterError(f"key {key[:60]!r} of {sizes}")
    return raw
