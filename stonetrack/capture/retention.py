"""Chooses the segments to delete when a folder of captures exceeds its disk budget.  No I/O.

Rules: segments being written and segments marked as kept are never deleted, however large; the oldest of the others are
deleted first, across all routers, until the folder is within its budget.  A router's last segment is deleted like any
other; the gap in the record numbers then shows that its calls are missing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SegmentFile:
    """One segment on disk; ``started_at`` is the clock in its name."""

    name: str
    bytes: int
    started_at: int
    kept: bool = False
    open: bool = False


def segments_to_delete(segments: Iterable[SegmentFile], budget_bytes: int) -> list[str]:
    """Names to delete, oldest first; the total may stay above the budget when the remaining segments must be kept."""
    oldest_first = sorted(segments, key=lambda entry: (entry.started_at, entry.name))
    total = sum(entry.bytes for entry in oldest_first)
    deleted: list[str] = []
    for file in oldest_first:
        if total <= budget_bytes:
            break
        if not file.kept and not file.open:
            total -= file.bytes
            deleted.append(file.name)
    return deleted
