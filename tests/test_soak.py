"""Fleets of real node processes under faults, judged from what passed on the sockets."""

from __future__ import annotations

from pathlib import Path

import pytest

from stonetrack.soak import report
from stonetrack.soak.faults import Fault, Kind
from stonetrack.soak.play import Play, Result, Size

SMALL = Size(nodes=2, prefill=4, decode=4, rate=40.0, seconds=7.0)


def explained(result: Result, folder: Path) -> str:
    """The timeline of what went wrong, for the assertion's text."""
    report.write(result, SMALL, folder)
    return (folder / report.TIMELINE).read_text("utf-8")[:8_000]


@pytest.mark.parametrize("kind", [Kind.ROLE_SILENT, Kind.KEPT_SILENT])
def test_nothing_stays_held_while_most_decode_engines_are_silent(kind: Kind, tmp_path: Path) -> None:
    """The incident: bytes are taken by the kernel and reach nobody."""
    faults = [Fault(1.5, 4.0, kind, ("w0", "w1", "w2"))]
    result = Play(1, SMALL, tmp_path, faults).run()
    assert result.passed, explained(result, tmp_path)
    assert result.service > 0.5
