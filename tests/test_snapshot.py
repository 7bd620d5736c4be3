"""Snapshots of the router: they are complete, and a router restored from one decides as the first."""

from __future__ import annotations

import dataclasses

import pytest

from stonetrack import logic
from stonetrack.capture import snapshot
from stonetrack.capture.snapshot import SnapshotError, restore, take
from stonetrack.logic import Router
from tests.router_fixture import SETTINGS
from tests.test_capture import calls


def test_a_replay_may_start_anywhere() -> None:
    made = calls(1_200)
    whole = Router(SETTINGS, 1)
    started: list[Router] = []
    for n, call in enumerate(made):
        if n % 150 == 0:
            data = take(whole)
            assert take(restore(data)) == data
            started.append(restore(data))
        now = tuple(whole.handle(call.at, call.event))
        assert now == call.actions
        for other in started:
            assert tuple(other.handle(call.at, call.event)) == now
    assert len(started) == 8 and len({take(router) for router in (whole, *started)}) == 1


def test_taking_one_changes_nothing() -> None:
    made = calls(300)
    plain, watched = Router(SETTINGS, 1), Router(SETTINGS, 1)
    for call in made:
        take(watched)
        assert plain.handle(call.at, call.event) == watched.handle(call.at, call.event)


def test_a_field_that_logic_gains_is_noticed() -> None:
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
    # Classes of logic.py: each field is written, by its position.
    for name, cls in (
        ("Server", logic.Server), ("Request", logic.Request), ("Stat", logic.RunningStats), ("Pause", logic.Ejection)
    ):  # fmt: skip
        assert snapshot.CLASSES[name] is cls and snapshot.STORED_NAMES[cls] == name and dataclasses.fields(cls)


@pytest.mark.parametrize("data", [b"", b"\x90", b"\x94\x02\x80\x80\x80", b"\x94\x01\x80\x80\x80", b"nonsense"])
def test_invalid_snapshots_are_refused(data: bytes) -> None:
    with pytest.raises(SnapshotError):
        restore(data)
