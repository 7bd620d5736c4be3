"""Snapshots of the router are complete, and a router restored from one makes the same decisions."""

from __future__ import annotations

import dataclasses

import pytest

from stonetrack import logic
from stonetrack.capture import snapshot
from stonetrack.capture.snapshot import SnapshotError, restore, take
from stonetrack.logic import Router
from tests.router_fixture import SETTINGS
from tests.test_capture import calls


def test_a_router_restored_at_any_call_makes_the_same_decisions() -> None:
    recorded = calls(1_200)
    original = Router(SETTINGS, 1)
    restored: list[Router] = []
    for n, call in enumerate(recorded):
        if n % 150 == 0:
            data = take(original)
            assert take(restore(data)) == data
            restored.append(restore(data))
        actions = tuple(original.handle(call.at, call.event))
        assert actions == call.actions
        for other in restored:
            assert tuple(other.handle(call.at, call.event)) == actions
    assert len(restored) == 8 and len({take(router) for router in (original, *restored)}) == 1


def test_taking_a_snapshot_does_not_change_decisions() -> None:
    recorded = calls(300)
    unobserved, snapshotted = Router(SETTINGS, 1), Router(SETTINGS, 1)
    for call in recorded:
        take(snapshotted)
        assert unobserved.handle(call.at, call.event) == snapshotted.handle(call.at, call.event)


def test_a_new_field_in_logic_is_detected() -> None:
    assert set(snapshot.by_stored_name("Router", vars(Router(SETTINGS, 1)))) == set(snapshot.ROUTER)
    router = Router(SETTINGS, 1)
    router.something_new = 1  # type: ignore[attr-defined]
    with pytest.raises(SnapshotError, match="something_new"):
        take(router)
    table = logic.PrefixTable(5)
    table.more = 1  # type: ignore[attr-defined]
    with pytest.raises(SnapshotError, match="more"):
        snapshot._plain(table)
    with pytest.raises(SnapshotError, match="complex"):
        snapshot._plain(1j)
    # Classes of logic.py: every field is stored, by position.
    for name, cls in (
        ("Server", logic.Server), ("Request", logic.Request), ("Stat", logic.RunningStats), ("Pause", logic.Ejection)
    ):  # fmt: skip
        assert snapshot.CLASSES[name] is cls and snapshot.STORED_NAMES[cls] == name and dataclasses.fields(cls)


@pytest.mark.parametrize("data", [b"", b"\x90", b"\x94\x02\x80\x80\x80", b"\x94\x01\x80\x80\x80", b"nonsense"])
def test_invalid_snapshots_are_rejected(data: bytes) -> None:
    with pytest.raises(SnapshotError):
        restore(data)
