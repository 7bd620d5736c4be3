"""Clocks that are stepped: no span runs on the wall clock, and an engine that just started is never taken for warm."""

from __future__ import annotations

import ast
import os
import sysconfig
import time
from pathlib import Path
from typing import Any

import pytest

from stonetrack import clocks
from stonetrack.capture import tend
from stonetrack.capture.journal import SUFFIX
from stonetrack.engines.starts import MOST, Starts
from tests.platform import ask, node, platform
from tests.rig import Client, wait_for
from tests.test_edge import NOW, held, listing, target

ROOT = Path(__file__).parent.parent / "stonetrack"
MS, SECOND = 1_000_000, 1_000_000_000
HOUR = 3_600 * SECOND


def test_one_module_alone_reads_the_wall_clock() -> None:
    """Names that give Unix time; what formats a given time is no reading."""
    readers = {"time", "time_ns", "CLOCK_REALTIME", "clock_gettime", "now", "utcnow", "today"}
    found = set()
    for path in ROOT.rglob("*.py"):
        for each in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(each, ast.Attribute) and isinstance(each.value, ast.Name):
                if each.value.id in ("time", "datetime", "date") and each.attr in readers:
                    found.add(str(path.relative_to(ROOT)))
            elif isinstance(each, ast.ImportFrom) and each.module in ("time", "datetime"):
                found.add(str(path.relative_to(ROOT)))
    assert found == {"clocks.py"}


def test_waits_of_the_standard_library_run_on_the_monotonic_clock() -> None:
    """CPython's locks, so conditions, queues and events too, wait by sem_clockwait where the C library has it."""
    assert sysconfig.get_config_var("HAVE_SEM_CLOCKWAIT") == 1


@pytest.mark.parametrize("wrong", [0, HOUR, -HOUR, 5 * SECOND, -5 * SECOND], ids=lambda by: f"{by / SECOND:g}s")
def test_a_start_that_a_watch_reports_is_never_earlier_than_it_can_have_been(wrong: int) -> None:
    """The node's clock is ``wrong`` against the engines': the start counts from the moment of the news."""
    made = held()
    made.apply(listing(1, target("s1", boot_ms=(NOW - HOUR) // MS), whole=True), NOW + wrong, from_config=True)
    made.apply(listing(1, target("s1", boot_ms=(NOW - HOUR) // MS), whole=True), NOW + wrong, first_of_watch=True)
    told_at = NOW + wrong + 60 * SECOND
    started = (NOW + 59 * SECOND) // MS  # on the engines' clock
    event = made.apply(listing(2, target("s1", boot_ms=started), target("s2", boot_ms=started)), told_at)
    assert event is not None and [e.started for e in event.entries] == [told_at, told_at]
    again = made.apply(listing(3, target("s1", boot_ms=started, state="DRAINING")), told_at + SECOND)
    assert again is not None and again.entries[0].started == told_at  # the same start, told again


def test_a_start_in_the_first_list_is_by_the_wall_clock_and_never_in_the_future() -> None:
    made = held()
    boots = {"old": NOW - HOUR, "young": NOW - 3 * SECOND, "ahead": NOW + HOUR}
    event = made.apply(listing(1, *(target(n, boot_ms=at // MS) for n, at in boots.items()), whole=True), NOW)
    assert event is not None and [e.started for e in event.entries] == [NOW - HOUR, NOW - 3 * SECOND, NOW]
    assert event.entries[2].started > NOW - SECOND


def test_long_ago_stays_long_ago_and_the_memory_is_bounded() -> None:
    starts = Starts()
    assert starts.on_node_clock("s", 0, NOW, True) == 0 == starts.on_node_clock("s", -5, NOW, True)
    for n in range(MOST + 10):
        starts.on_node_clock(f"s{n}", 1, NOW, True)
    assert len(starts._known) == MOST
    assert starts.on_node_clock(f"s{MOST}", 1, NOW + SECOND, True) == NOW  # listed again after it was gone


def test_a_node_whose_wall_clock_is_an_hour_ahead_takes_a_restarted_engine_for_cold() -> None:
    with platform(2, 2) as world:
        real = clocks.wall_time_ns
        clocks.wall_time_ns = lambda: real() + HOUR
        try:
            with node(world) as made:
                client = Client(world.listen)
                assert ask(client, "q0")[0].status == 200
                boot = time.time_ns() // MS
                world.boots["r0"] = boot
                world.change("r0", "SERVING")
                router: Any = made.core.router
                assert wait_for(lambda: router.servers["r0"].started)
                assert 0 <= made.clock() - router.servers["r0"].started < 5 * SECOND  # an hour ago by its wall clock
                client.close()
        finally:
            clocks.wall_time_ns = real


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_stepped_wall_clock_ends_no_wait_and_no_deadline(monkeypatch: pytest.MonkeyPatch, step: int) -> None:
    """Every reading of Unix time jumps while a request is under way; it is served, and its time left is right."""
    with platform() as world, node(world) as made:
        world.pause = 0.02
        client = Client(world.listen)
        assert ask(client, "q0")[0].status == 200
        real, real_ns = time.time, time.time_ns
        monkeypatch.setattr(time, "time", lambda: real() + step / SECOND)
        monkeypatch.setattr(time, "time_ns", lambda: real_ns() + step)
        for n in range(1, 6):
            assert ask(client, f"q{n}")[0].status == 200
            assert 2_000 < int(world.left[f"q{n}"][:-1]) <= 3_000
        assert made.host.connections == 1  # not closed as idle
        client.close()


def test_a_segment_from_the_future_is_tended_all_the_same(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The wall clock was set back by an hour after the file's last write: it waited for that hour."""
    path = tmp_path / f"r.0{SUFFIX}"
    path.write_bytes(b"x")
    monkeypatch.setattr(tend, "is_open", lambda each: False)
    closed = tend.Tender._closed
    assert closed(None, [path]) == []  # type: ignore[arg-type]
    for at in (time.time() + 3_600, time.time() - 10 * 365 * 86_400):
        os.utime(path, (at, at))
        assert closed(None, [path]) == [path]  # type: ignore[arg-type]
