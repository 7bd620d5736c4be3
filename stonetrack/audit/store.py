"""The collector's store, in LMDB: the lines of every node in order, and the node's position.

A batch of lines and the node's new position are one transaction, so that a kill at any moment leaves both or neither;
the next poll fetches what is missing.  Lines that do not continue the chain are stored as they arrive, with the
finding; nothing is removed but by age.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import lmdb
import msgspec

from stonetrack.audit.hash_chain import START, ChainDefect, ChainReading, Finding, read_chain

NAME = "audit"
_LINE = b"line/"
_NODE = b"node/"


class Progress(msgspec.Struct):
    """How far a node's audit log is collected; ``until`` is the end of its last span by the node's clock."""

    next: int = 0  # number of the next line to fetch
    last: str = START
    count: int = 0  # stored lines
    until: int = 0
    heard: float = 0.0  # when it last answered, in Unix seconds of the collector's clock
    findings: list[tuple[int, str]] = []
    trouble: str = ""


class Store:
    """The store in a folder.  Raises lmdb.Error where it cannot be opened."""

    def __init__(self, folder: Path, max_bytes: int = 8 << 30, readonly: bool = False) -> None:
        path = folder / NAME
        if not readonly:
            path.mkdir(parents=True, exist_ok=True)
        self._env = lmdb.open(str(path), map_size=max_bytes, readonly=readonly, max_readers=256)

    @staticmethod
    def exists(folder: Path) -> bool:
        """Return whether a folder holds a store."""
        return (folder / NAME / "data.mdb").exists()

    def close(self) -> None:
        """Close the database."""
        self._env.close()

    def progress(self, node: str) -> Progress:
        """Return a node's progress; that of an unknown node is at the beginning."""
        with self._env.begin() as transaction:
            return self._progress(transaction, node)

    @staticmethod
    def _progress(transaction: lmdb.Transaction, node: str) -> Progress:
        raw = transaction.get(_NODE + node.encode())
        return Progress() if raw is None else msgspec.json.decode(raw, type=Progress)

    def nodes(self) -> dict[str, Progress]:
        """Return the progress of every node in the store."""
        with self._env.begin() as transaction, transaction.cursor() as cursor:
            return {key[len(_NODE) :].decode(): msgspec.json.decode(value, type=Progress)
                    for key, value in _items_with_prefix(cursor, _NODE)}  # fmt: skip

    def add(self, node: str, lines: list[bytes], at: float) -> Progress:
        """Store lines of a node in one transaction; return its new progress."""
        with self._env.begin(write=True) as transaction:
            progress = self._progress(transaction, node)
            reading = read_chain(lines, progress.next, progress.last)
            prefix = _LINE + node.encode() + b"\x00"
            for n, line in enumerate(lines):
                transaction.put(prefix + (progress.count + n).to_bytes(8, "big"), line)
            new_findings = [(progress.count + f.line, f.defect.name) for f in reading.findings]
            progress.findings = [*progress.findings, *new_findings][-1_000:]
            progress.count += len(lines)
            progress.next, progress.last = reading.number, reading.last
            progress.until = reading.spans[-1].ended if reading.spans else progress.until
            progress.heard, progress.trouble = at, ""
            transaction.put(_NODE + node.encode(), msgspec.json.encode(progress))
        return progress

    def failed(self, node: str, why: str) -> None:
        """Record why a poll of a node failed."""
        with self._env.begin(write=True) as transaction:
            progress = self._progress(transaction, node)
            progress.trouble = why
            transaction.put(_NODE + node.encode(), msgspec.json.encode(progress))

    def read_log(self, node: str) -> ChainReading:
        """Read a node's audit log as far as it is collected."""
        with self._env.begin() as transaction, transaction.cursor() as cursor:
            progress = self._progress(transaction, node)
            reading = read_chain(value for _, value in _items_with_prefix(cursor, _LINE + node.encode() + b"\x00"))
        findings = tuple(Finding(line, ChainDefect[name]) for line, name in progress.findings)
        return ChainReading(reading.spans, findings, reading.number, reading.last, reading.begins)


def _items_with_prefix(cursor: lmdb.Cursor, prefix: bytes) -> Iterator[tuple[bytes, bytes]]:
    if not cursor.set_range(prefix):
        return
    for key, value in cursor.iternext():
        if not bytes(key).startswith(prefix):
            return
        yield bytes(key), bytes(value)
