"""What the collector holds, in LMDB: lines of every node in order, and where each stands.

A batch of lines and the node's new standing are one transaction, so that a kill at any moment leaves both or neither;
asked again, a node tells what is missing.  Lines that do not go on where the last one ended are kept as they came, with
the finding; nothing is taken out but by age.
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


class Standing(msgspec.Struct):
    """Where a node's account stands at the collector; ``until`` is the end of its last span, the node's clock."""

    next: int = 0  # number of the line to ask for
    last: str = START
    count: int = 0  # lines held
    until: int = 0
    heard: float = 0.0  # when it last answered, Unix time of the collector
    findings: list[tuple[int, str]] = []
    trouble: str = ""


class Store:
    """See the module.  Raises lmdb.Error where it can't be opened."""

    def __init__(self, folder: Path, most_bytes: int = 8 << 30, readonly: bool = False) -> None:
        path = folder / NAME
        if not readonly:
            path.mkdir(parents=True, exist_ok=True)
        self._env = lmdb.open(str(path), map_size=most_bytes, readonly=readonly, max_readers=256)

    @staticmethod
    def there(folder: Path) -> bool:
        """Whether a folder holds one."""
        return (folder / NAME / "data.mdb").exists()

    def close(self) -> None:
        """Let go of it."""
        self._env.close()

    def standing(self, node: str) -> Standing:
        """Where a node stands; at the beginning where nothing is known."""
        with self._env.begin() as view:
            return self._standing(view, node)

    @staticmethod
    def _standing(view: lmdb.Transaction, node: str) -> Standing:
        raw = view.get(_NODE + node.encode())
        return Standing() if raw is None else msgspec.json.decode(raw, type=Standing)

    def nodes(self) -> dict[str, Standing]:
        """All nodes that are known of."""
        with self._env.begin() as view, view.cursor() as cursor:
            return {key[len(_NODE) :].decode(): msgspec.json.decode(value, type=Standing)
                    for key, value in _under(cursor, _NODE)}  # fmt: skip

    def add(self, node: str, lines: list[bytes], at: float) -> Standing:
        """Take lines that a node told, in one transaction; where it stands then."""
        with self._env.begin(write=True) as change:
            stands = self._standing(change, node)
            made = read_chain(lines, stands.next, stands.last)
            prefix = _LINE + node.encode() + b"\x00"
            for n, line in enumerate(lines):
                change.put(prefix + (stands.count + n).to_bytes(8, "big"), line)
            fresh = [(stands.count + f.line, f.wrong.name) for f in made.findings]
            stands.findings = [*stands.findings, *fresh][-1_000:]
            stands.count += len(lines)
            stands.next, stands.last = made.number, made.last
            stands.until = made.spans[-1].ended if made.spans else stands.until
            stands.heard, stands.trouble = at, ""
            change.put(_NODE + node.encode(), msgspec.json.encode(stands))
        return stands

    def failed(self, node: str, why: str) -> None:
        """Note that a node did not answer."""
        with self._env.begin(write=True) as change:
            stands = self._standing(change, node)
            stands.trouble = why
            change.put(_NODE + node.encode(), msgspec.json.encode(stands))

    def account(self, node: str) -> ChainReading:
        """A node's account as far as it was collected."""
        with self._env.begin() as view, view.cursor() as cursor:
            stands = self._standing(view, node)
            made = read_chain(value for _, value in _under(cursor, _LINE + node.encode() + b"\x00"))
        findings = tuple(Finding(line, ChainDefect[name]) for line, name in stands.findings)
        return ChainReading(made.spans, findings, made.number, made.last, made.begins)


def _under(cursor: lmdb.Cursor, prefix: bytes) -> Iterator[tuple[bytes, bytes]]:
    if not cursor.set_range(prefix):
        return
    for key, value in cursor.iternext():
        if not bytes(key).startswith(prefix):
            return
        yield bytes(key), bytes(value)
