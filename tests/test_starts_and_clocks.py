"""Wall-clock steps: no duration is measured on the wall clock, and a restarted engine is always in slow start."""

from __future__ import annotations

import ast
import os
import sysconfig
import time
from pathlib import Path
from typing import Any

import pytest

from stonetrack import clocks
from stonetrack.capture import maintenance
from stonetrack.capture.journal import SEGMENT_SUFFIX
from stonetrack.engines.start_times import MAX_ENGINES, StartTimes
from tests.harness import Client, wait_for
from tests.platform import node, platform, round_trip
from tests.test_edge import NOW, empty_table, listing, target

ROOT = Path(__file__).parent.parent / "stonetrack"
MS, SECOND = 1_000_000, 1_000_000_000
HOUR = 3_600 * SECOND


def test_only_one_module_reads_the_wall_clock() -> None:
    """Searches for names that return Unix time; formatting a given time is allowed."""
    wall_clock_names = {"time", "time_ns", "CLOCK_REALTIME", "clock_gettime", "now", "utcnow", "today"}
    found = set()
    for path in ROOT.rglob("*.py"):
        for each in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(each, ast.Attribute) and isinstance(each.value, ast.Name):
                if each.value.id in ("time", "datetime", "date") and each.attr in wall_clock_names:
                    found.add(str(path.relative_to(ROOT)))
            elif isinstance(each, ast.ImportFrom) and each.module in ("time", "datetime"):
                found.add(str(path.relative_to(ROOT)))
    assert found == {"clocks.py"}


def test_standard_library_waits_use_the_monotonic_clock() -> None:
    """CPython's locks, and so conditions, queues and events, wait with sem_clockwait if the C library has it."""
    assert sysconfig.get_config_var("HAVE_SEM_CLOCKWAIT") == 1


@pytest.mark.parametrize("offset", [0, HOUR, -HOUR, 5 * SECOND, -5 * SECOND], ids=lambda by: f"{by / SECOND:g}s")
def test_a_start_reported_by_a_watch_is_never_dated_before_its_report(offset: int) -> None:
    """The node's clock is ``offset`` ahead of the engines': the start is dated to the moment of its report."""
    table = empty_table()
    table.apply(listing(1, target("s1", boot_ms=(NOW - HOUR) // MS), whole=True), NOW + offset, from_config=True)
    table.apply(listing(1, target("s1", boot_ms=(NOW - HOUR) // MS), whole=True), NOW + offset, first_of_watch=True)
    reported_at = NOW + offset + 60 * SECOND
    started = (NOW + 59 * SECOND) // MS  # on the engines' clock
    event = table.apply(listing(2, target("s1", boot_ms=started), target("s2", boot_ms=started)), reported_at)
    assert event is not None and [e.started for e in event.entries] == [reported_at, reported_at]
    again = table.apply(listing(3, target("s1", boot_ms=started, state="DRAINING")), reported_at + SECOND)
    assert again is not None and again.entries[0].started == reported_at  # the same start, reported again


def test_a_start_in_the_first_list_is_dated_by_the_wall_clock_but_never_in_the_future() -> None:
    table = empty_table()
    boots = {"old": NOW - HOUR, "young": NOW - 3 * SECOND, "ahead": NOW + HOUR}
    event = table.apply(listing(1, *(target(n, boot_ms=at // MS) for n, at in boots.items()), whole=True), NOW)
    assert event is not None and [e.started for e in event.entries] == [NOW - HOUR, NOW - 3 * SECOND, NOW]
    assert event.entries[2].started > NOW - SECOND


def test_an_unknown_start_stays_long_ago_and_the_table_is_bounded() -> None:
    starts = StartTimes()
    assert starts.on_node_clock("s", 0, NOW, True) == 0 == starts.on_node_clock("s", -5, NOW, True)
    for n in range(MAX_ENGINES + 10):
        starts.on_node_clock(f"s{n}", 1, NOW, True)
    assert len(starts._known) == MAX_ENGINES
    assert starts.on_node_clock(f"s{MAX_ENGINES}", 1, NOW + SECOND, True) == NOW  # listed again after it was dropped


def test_a_node_with_its_wall_clock_an_hour_ahead_puts_a_restarted_engine_into_slow_start() -> None:
    with platform(2, 2) as world:
        real = clocks.wall_time_ns
        clocks.wall_time_ns = lambda: real() + HOUR
        try:
            with node(world) as edge_node:
                client = Client(world.listen)
                assert round_trip(client, "q0")[0].status == 200
                boot = time.time_ns() // MS
                world.boot_times_ms["r0"] = boot
                world.change_state("r0", "SERVING")
                router: Any = edge_node.core.router
                assert wait_for(lambda: router.servers["r0"].started)
                assert 0 <= edge_node.clock() - router.servers["r0"].started < 5 * SECOND  # an hour by its wall clock
                client.close()
        finally:
            clocks.wall_time_ns = real


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_wall_clock_step_ends_no_wait_and_no_deadline(monkeypatch: pytest.MonkeyPatch, step: int) -> None:
    """All readings of Unix time jump while the node runs; requests are served, and their time left is right."""
    with platform() as world, node(world) as edge_node:
        world.event_interval = 0.02
        client = Client(world.listen)
        assert round_trip(client, "q0")[0].status == 200
        real, real_ns = time.time, time.time_ns
        monkeypatch.setattr(time, "time", lambda: real() + step / SECOND)
        monkeypatch.setattr(time, "time_ns", lambda: real_ns() + step)
        for n in range(1, 6):
            assert round_trip(client, f"q{n}")[0].status == 200
            assert 2_000 < int(world.times_left[f"q{n}"][:-1]) <= 3_000
        assert edge_node.host.connections == 1  # it was not closed as idle
        client.close()


def test_a_segment_dated_in_the_future_is_maintained_too(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against waiting for the time to pass: the wall clock was set back by an hour after the last write."""
    path = tmp_path / f"r.0{SEGMENT_SUFFIX}"
    path.write_bytes(b"x")
    monkeypatch.setattr(maintenance, "is_open", lambda each: False)
    closed = maintenance.MaintenanceRunner._closed
    assert closed(None, [path]) == []  # type: ignore[arg-type]
    for at in (time.time() + 3_600, time.time() - 10 * 365 * 86_400):
        os.utime(path, (at, at))
        assert closed(None, [path]) == [path]  # type: ignore[arg-type]
