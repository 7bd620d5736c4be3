"""Which segments go when a folder of captures is over its budget on disk.  Pure.

Rules, in this order: what is being written stays; what is kept by hand stays, however large; the oldest of the rest
go first, across all routers, until the folder is within its budget.  A router's last segment goes like any other:
what it was told is then lost, and said by the gap in its numbers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SegmentFile:
    """One segment on disk; ``began`` is the clock of its name."""

    name: str
    bytes: int
    began: int
    kept: bool = False
    open: bool = False


def segments_to_delete(segments: Iterable[SegmentFile], budget: int) -> list[str]:
    """Names to delete, oldest first; fewer than would reach the budget where the rest may not go."""
    found = sorted(segments, key=lambda s: (s.began, s.name))
    total = sum(s.bytes for s in found)
    gone: list[str] = []
    for each in found:
        if total <= budget:
            break
        if not each.kept and not each.open:
            total -= each.bytes
            gone.append(each.name)
    return gone
