"""Whether a history of reads and compare-and-sets on a register is linearizable (Wing and Gong, with memory).  No I/O.

A history is linearizable if its operations can be put into one order that a plain register would answer so, and in
which an operation that ended before another began comes first.  Keys are independent, so each is checked alone.  An
operation without an answer may stand anywhere after its beginning, or nowhere.

Search: take any operation that began before the first end of those that are left; follow the register; go back where it
would answer otherwise.  What was tried (operations taken, value then) is remembered.  The cost grows with how many
operations overlap, not with the history's length.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Op:
    """One operation; times of one clock.  Values are told apart by their text; None is no value.

    ``kind`` is ``read`` (``value`` is what it returned) or ``swap`` (from ``expected`` to ``value``).  ``good`` tells
    whether a swap was done, None where nobody knows; then ``end`` is NEVER.
    """

    key: str
    kind: str
    begin: int
    end: int
    value: str | None
    expected: str | None = None
    good: bool | None = True


def linearizable(history: Iterable[Op]) -> list[str]:
    """The keys whose histories are not."""
    by_key: dict[str, list[Op]] = defaultdict(list)
    for op in history:
        by_key[op.key].append(op)
    return [key for key, ops in sorted(by_key.items()) if not _one(sorted(ops, key=lambda op: op.begin))]


def _answers(op: Op, value: str | None) -> list[str | None] | None:
    """The register's value after it, one or more; None where it would have answered otherwise."""
    if op.kind == "read":
        return [value] if op.value == value else None
    if op.good is None:
        return [op.value] if op.expected == value else None
    if op.good:
        return [op.value] if op.expected == value else None
    return [value] if op.expected != value else None


def _one(ops: Sequence[Op]) -> bool:
    whole = sum(1 << n for n, op in enumerate(ops) if op.good is not None)
    tried: set[tuple[int, str | None]] = set()
    stack: list[tuple[int, str | None]] = [(0, None)]
    while stack:
        taken, value = stack.pop()
        if taken & whole == whole:
            return True
        if (taken, value) in tried:
            continue
        tried.add((taken, value))
        first_end = min((op.end for n, op in enumerate(ops) if not taken >> n & 1), default=NEVER)
        for n, op in enumerate(ops):
            if op.begin > first_end:
                break
            if taken >> n & 1:
                continue
            for then in _answers(op, value) or ():
                stack.append((taken | 1 << n, then))
    return False
