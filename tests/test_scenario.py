"""Scenarios: the judge on constructed logs, conversion of a bench scenario, and the demo scenario on two seeds."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from stonetrack.fleet import pulse
from stonetrack.fleet.faulted import faults
from stonetrack.fleet.load import Seen, schedule
from stonetrack.fleet.pulse import MachineWaits, Waits
from stonetrack.fleet.rules import Judge, Kill, Terms
from stonetrack.fleet.traffic import Traffic
from stonetrack.scenario.bench import BenchError, convert
from stonetrack.scenario.run import EXIT_NOT_JUDGED
from stonetrack.scenario.script import Scenario, load_scenario, plan
from stonetrack.settings import SettingsError

MS = 1_000_000
DAY = Path(__file__).parent.parent / "stonetrack" / "scenario" / "bad-day.jsonnet"
SAFE, UNSAFE = Traffic(name="safe"), Traffic(name="unsafe", effect="unsafe")
TERMS = Terms(grace=250 * MS, release_within=500 * MS, slack=100 * MS, order_slack=10 * MS)


def seen(request: str = "q", **more: Any) -> Seen:
    base: dict[str, Any] = {
        "number": 1, "cls": "safe", "how": "stream", "behaviour": "normal", "retry": 0, "worth": 1.0, "request": request,
        "sent": 0, "deadline": 3_000 * MS, "aim": 1_000 * MS, "head": 100 * MS, "first": 100 * MS, "end": 2_000 * MS,
        "ended": "served", "done_events": 1}  # fmt: skip
    return Seen(**{**base, **more})


def rec(t: int, what: str, **more: Any) -> dict[str, Any]:
    return {"t": t * MS, "what": what, **more}


def sent(t: int, engine: str, job: str, n: int = 0, conn: int = 0, request: str = "q", **more: Any) -> dict[str, Any]:
    return rec(t, "request", engine=engine, id=request, n=str(n), conn=conn, job=job, instance="i0", key="", **more)


def done(t: int, conn: int, engine: str = "r0", status: int = 200) -> dict[str, Any]:
    return rec(t, "done", engine=engine, id="q", conn=conn, status=status)


def rules(
    saw: list[Seen], log: list[dict[str, Any]], kills: list[Kill] | None = None, until: int = 10_000
) -> list[int]:
    verdict = Judge(saw, sorted(log, key=lambda r: r["t"]), kills or [], [SAFE, UNSAFE], TERMS, until * MS).verdict()
    return [breach.rule for breach in verdict.breaches]


GOOD = [
    sent(1, "r0", "read", 0, 1), rec(5, "state", engine="r0", id="q"), done(5, 1),
    sent(6, "w0", "write", 1, 2), rec(8, "taken", engine="w0", at="r0", id="q"), done(50, 2, "w0"),
]  # fmt: skip


def test_a_correct_request_breaks_no_rule() -> None:
    assert rules([seen()], GOOD) == []


@pytest.mark.parametrize(
    ("saw", "log", "broken"),
    [
        ([seen(after_end=3)], GOOD, [1]),
        ([seen(done_events=2)], GOOD, [1]),
        ([seen(done_events=1, error_events=1)], GOOD, [1]),
        ([seen(ended="garbled")], GOOD, [1]),
        ([seen(ended="cut")], GOOD, [1]),
        ([seen(ended="no answer")], GOOD, [1]),
        ([seen(head=3_200 * MS)], GOOD, [1]),
        ([seen(end=4 * MS, head=4 * MS)], [sent(1, "r0", "read", 0, 1), done(3, 1), sent(50, "r1", "read", 1, 2), done(60, 2)], [1]),
        ([seen()], [sent(1, "r0", "read", 0, 1), sent(3, "r1", "read", 1, 2), done(5, 1), done(9, 2, "r1")], [2]),
        ([seen()], [sent(1, "r0", "read", 0, 1), sent(3, "r1", "read", 1, 2), done(9, 2, "r1")], [2]),
        ([seen(cls="unsafe")], [sent(1, "w0", "whole", 0, 1), rec(3, "cut", engine="w0", conn=1, id="q"),
                                sent(4, "w1", "whole", 1, 2), done(9, 2, "w1")], [2]),
        ([seen(cls="unsafe", ended="refused")], [sent(1, "w0", "whole", 0, 1), rec(3, "cut", engine="w0", conn=1, id="q")], [2]),
        ([seen(cls="unsafe")], [sent(1, "w0", "whole", 0, 1), done(3, 1, "w0", 503), sent(4, "w1", "whole", 1, 2),
                                done(9, 2, "w1")], []),
        ([seen()], [rec(1, "told", instance="i0", leaving=["w0"], up=["w1"]), sent(200, "w0", "whole", 0, 1), done(210, 1)], []),
        ([seen()], [rec(1, "told", instance="i0", leaving=["w0"], up=["w1"]), sent(300, "w0", "whole", 0, 1), done(310, 1)], [3]),
        ([seen()], [rec(1, "told", instance="i0", leaving=[], up=["w0", "w1"]), rec(2, "told", instance="i0", leaving=[], up=["w1"]),
                    sent(300, "w0", "whole", 0, 1), done(310, 1)], [3]),
        ([seen()], [rec(1, "told", instance="i0", leaving=["w0"], up=[]), rec(9, "told", instance="i0", leaving=[], up=["w0"]),
                    sent(300, "w0", "whole", 0, 1), done(310, 1)], []),
        ([seen()], [rec(1, "told", instance="i1", leaving=["w0"], up=[]), sent(300, "w0", "whole", 0, 1), done(310, 1)], []),
        ([seen()], [rec(1, "fell", engine="r0")], [4]),
        ([seen()], [sent(1, "r0", "read", 0, 1), rec(5, "state", engine="r0", id="q"), done(5, 1)], [5]),
        ([seen()], [sent(1, "r0", "read", 0, 1), rec(5, "state", engine="r0", id="q"), done(5, 1),
                    sent(500, "r0", "release", 0, 3, place=False)], []),
        ([seen()], [sent(1, "r0", "read", 0, 1), rec(5, "state", engine="r0", id="q"), done(5, 1),
                    sent(900, "r0", "release", 0, 3, place=False)], [5]),
        ([seen()], [sent(1, "r0", "read", 0, 1), rec(5, "state", engine="r0", id="q"), done(5, 1),
                    sent(900, "r0", "release", 2, 3, place=False)], []),  # two refused connections in between
        ([seen()], [rec(1, "place", engine="w0", id="q", instance="i0")], [5]),
        ([seen()], [rec(1, "place", engine="w0", id="q", instance="i0"), rec(400, "down", engine="w0", why="crash")], []),
    ],
)  # fmt: skip
def test_each_breach_is_reported(saw: list[Seen], log: list[dict[str, Any]], broken: list[int]) -> None:
    assert rules(saw, log) == broken


def test_a_kill_excuses_only_requests_and_states_of_the_killed_instance() -> None:
    kill = Kill(1_000 * MS, 1_060 * MS, "i0")
    assert rules([seen(ended="cut", end=1_050 * MS)], GOOD, [kill]) == []
    assert rules([seen(ended="cut", sent=1_050 * MS, end=1_070 * MS)], GOOD, [kill]) == []
    assert rules([seen(ended="cut", end=900 * MS)], GOOD, [kill]) == [1]
    assert rules([seen(ended="cut", sent=1_500 * MS, end=1_600 * MS)], GOOD, [kill]) == [1]
    slow = seen(ended="cut", behaviour="slow", end=3_070 * MS)
    assert rules([slow], GOOD, [kill]) == [1]
    slow.slept = 2_000 * MS  # it still reads what arrived before the kill
    assert rules([slow], GOOD, [kill]) == []
    held = [sent(990, "r0", "read", 0, 1), rec(995, "state", engine="r0", id="q"), done(995, 1)]
    assert rules([], held, [kill]) == []
    assert rules([], held, [Kill(kill.at, kill.gone, "i1")]) == [5]


def cut(begin: int, end: int, *to: str, of: str = "n0") -> list[dict[str, Any]]:
    """Log records of a test harness that cuts links between two times in milliseconds."""
    return [rec(t, what, fault="cut", to=f"e:{name}", of=of)
            for t, what in ((begin, "fault"), (end, "over")) for name in to]  # fmt: skip


HELD = [sent(1, "r0", "read", 0, 1), rec(5, "state", engine="r0", id="q"), done(5, 1),
        sent(5_500, "r0", "release", 0, 3, place=False)]  # fmt: skip
PLACE = [sent(1, "r0", "read", 0, 1), rec(2, "place", engine="w0", id="q"), done(5, 1),
         sent(3_100, "w0", "release", 0, 3, place=True)]  # fmt: skip
WRITE = [
    sent(1, "r0", "read", 0, 1),
    rec(5, "state", engine="r0", id="q"),
    done(5, 1),
    sent(3_000, "w0", "write", 1, 2),
    rec(3_002, "taken", engine="w0", at="r0", id="q"),
    done(3_090, 2, "w0"),
]
LATE = [sent(1, "r1", "read", 1, 1), sent(3_000, "r0", "read", 0, 2), done(3_050, 2), done(3_100, 1, "r1")]
OUT = [sent(1, "r0", "read", 0, 1), sent(500, "r1", "read", 1, 2), done(600, 2, "r1"), done(3_000, 1)]


@pytest.mark.parametrize(
    ("log", "links", "broken"),
    [
        (HELD, [], [5]),
        (HELD, cut(100, 5_400, "r0"), []),
        (HELD, cut(100, 4_000, "r0"), [5]),  # restored 1.5 s before the release
        (HELD, cut(100, 5_400, "r0", of="n1"), [5]),  # another node's link
        (HELD, cut(100, 5_400, "r1"), [5]),
        (PLACE, [], [5]),
        (PLACE, cut(4, 3_000, "r0"), []),  # its node had not received the end of the prefill
        (PLACE, cut(4, 2_000, "r0"), [5]),
        (WRITE, [], [5]),
        (WRITE, cut(50, 2_995, "w0"), []),  # sent long before, delayed by its link
        (WRITE, cut(50, 2_500, "w0"), [5]),
        (LATE, [], [2]),
        (LATE, cut(0, 2_995, "r0"), []),  # sent first, delayed by its link while the next attempt ran
        (LATE, cut(0, 1_000, "r0"), [2]),
        (OUT, [], [2]),
        (OUT, cut(0, 2_995, "r0"), []),  # the cancellation reached the engine late
        (OUT, cut(0, 600, "r0"), [2]),
    ],
)  # fmt: skip
def test_a_cut_link_excuses_the_node_only_for_the_duration_of_the_cut(
    log: list[dict[str, Any]], links: list[dict[str, Any]], broken: list[int]
) -> None:
    mine = [{**r, "instance": "n0-0"} for r in log]
    verdict = Judge([seen()], mine, [], [SAFE], TERMS, 10_000 * MS, links=faults(links, 10_000 * MS)).verdict()
    assert [breach.rule for breach in verdict.breaches if breach.rule != 1] == broken


def test_overlapping_faults_count_once_and_an_open_fault_lasts_to_the_end() -> None:
    late = [rec(0, "fault", fault="delay", to="e:r0", of="*", late_ms=50.0),
            rec(100, "over", fault="delay", to="e:r0", of="*")]  # fmt: skip
    made = faults([*late, *cut(150, 300, "r0"), rec(900, "fault", fault="refuse", to="e:r0", of="*")], 1_000 * MS)
    assert made.held("r0", "n0-0", 0, 2_000 * MS) == 400 * MS  # 0 to 200 (delay in both directions), to 300, from 900
    assert made.held("r0", "n1-0", 0, 2_000 * MS) == 300 * MS and made.held("r1", "n0-0", 0, 2_000 * MS) == 0
    assert made.held("r0", "n0-0", 250 * MS, 260 * MS) == 10 * MS


@pytest.mark.parametrize("node, broken", [("n0", []), ("n1", [1])])
def test_the_time_of_a_stopped_node_extends_its_bounds(node: str, broken: list[int]) -> None:
    stopped = [rec(t, what, fault="stop", to=node, of="*") for t, what in ((50, "fault"), (5_000, "over"))]
    late = seen(head=5_200 * MS, end=5_300 * MS, instance="n0-0")
    verdict = Judge([late], [], [], [SAFE], TERMS, 10_000 * MS, links=faults(stopped, 10_000 * MS)).verdict()
    assert [breach.rule for breach in verdict.breaches] == broken


def test_a_slow_start_budget_is_computed_from_arrivals() -> None:
    up = rec(0, "up", engine="r0", role="reader", cold=True, started=0, capacity=1_000.0, cold_share=0.25, warm_ms=10_000.0,
             cold_multiple=3.0, cold_window_ms=1_000.0)  # fmt: skip
    few = [rec(t, "work", engine="r0", id="q", work=100.0) for t in range(1_000, 3_000, 200)]
    many = [rec(t, "work", engine="r0", id="q", work=100.0) for t in range(1_000, 3_000, 50)]
    assert rules([], [up, *few]) == [] and set(rules([], [up, *many])) == {4}
    assert rules([], [{**up, "cold": False}, *many]) == []


def test_a_retry_counts_with_its_first_attempt() -> None:
    made = [seen(ended="refused", done_events=0, first=0), seen("q2", retry=1), seen("q3", number=2, first=1_500 * MS)]
    verdict = Judge(made, [], [], [Traffic(name="safe", late_worth=0.25)], TERMS).verdict()
    assert verdict.service == pytest.approx((1.0 + 0.25) / 2)


# Scenarios.


def test_plan_and_schedule_are_deterministic() -> None:
    scenario = load_scenario(DAY)
    assert plan(scenario, 3) == plan(scenario, 3) != plan(scenario, 4)
    steps = plan(scenario, 3)
    assert schedule(scenario.clients, 5.0, 3, steps) == schedule(scenario.clients, 5.0, 3, steps)
    assert {s.what for s in steps} >= {
        "crash", "hang", "slow", "half", "flush", "full", "throttle", "lost", "leave", "pause", "list_late", "kill", "errors",
        "close_idle"}  # fmt: skip


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ('troubles+: [{ at_ms: 1, what: "flood" }]', "flood"),
        ('troubles+: [{ at_ms: 1, what: "crash", engines: ["x9"] }]', "x9"),
        ('troubles+: [{ at_ms: 1, what: "kill", instance: 7 }]', "0 to 2"),
        ("seconds: -1", "seconds"),
        ('engines+: [{ name: "r0", role: "reader" }]', "each name once"),
        ("sed: 1", "sed"),
    ],
)
def test_an_invalid_scenario_is_refused_with_the_invalid_value(tmp_path: Path, change: str, said: str) -> None:
    path = tmp_path / "day.jsonnet"
    path.write_text(f"(import '{DAY}') + {{ {change} }}")
    with pytest.raises(SettingsError) as refused:
        load_scenario(path)
    assert said in str(refused.value)


BENCH: dict[str, Any] = {
    "length": 40e6, "site": "made-up", "drain_grace": 500_000, "fam": {"roles": ["read", "write"]},
    "classes": [{"name": "a", "aim": 1e6, "deadline": 4e6, "worth": 2.0, "late_worth": 0.2, "effect": "safe", "more": 1}],
    "servers": [{"kind": n % 2, "cell": n % 3, "up": n < 20} for n in range(24)],
    "balancers": [{}, {}],
    "troubles": [
        {"kind": "crash", "at": 10e6, "len": 5e6, "on": [0, 2, 1]},
        {"kind": "preempt", "at": 12e6, "len": 4e6, "on": [], "steps": [{"at": 12e6, "stop": [1, 3], "start": [22]}]},
        {"kind": "burst", "at": 20e6, "len": 3e6, "size": 1.8},
        {"kind": "balancer_crash", "at": 25e6, "len": 3e6, "on": [0]},
        {"kind": "origin_slow", "at": 30e6, "len": 3e6},
        {"kind": "throttle", "at": 31e6, "len": 3e6, "on": [0, 2]},
    ],
}  # fmt: skip


def test_faults_of_a_bench_scenario_are_converted() -> None:
    made, left_out = convert(json.dumps(BENCH).encode(), engines=8, instances=2, seconds=20.0)
    scenario = msgspec.convert(made, Scenario)
    assert [t.what for t in scenario.troubles] == ["crash", "leave", "burst", "kill", "throttle"]
    assert scenario.troubles[0].at_ms == 5_000 and set(scenario.troubles[0].engines) == {"r0", "w0"}
    assert scenario.settings["routing"]["drain_grace_ms"] == 500 and len(scenario.engines) == 8
    assert left_out == ["origin_slow at 30.0 s"]
    assert plan(scenario, 1)


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"length": 1, "troubles": [], "classes": [], "servers": []}'])
def test_data_that_is_not_a_bench_scenario_is_refused(data: bytes) -> None:
    with pytest.raises(BenchError, match="not a bench scenario"):
        convert(data)


# The demo scenario, run by the command.


def start_scenario(path: Path, seed: int, folder: Path) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "stonetrack", "day", "run", str(path), "--seed", str(seed), "--quiet", "--report",
               str(folder)]  # fmt: skip
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def test_the_demo_scenario_keeps_every_rule_on_two_seeds(tmp_path: Path) -> None:
    """At about half the demo's rate, two at a time; a run that exhausted resources kept from judging is repeated alone."""
    path = tmp_path / "day.jsonnet"
    path.write_text(f"(import '{DAY}') + {{ clients+: {{ rate: 40 }} }}")
    runs = {seed: start_scenario(path, seed, tmp_path / str(seed)) for seed in (1, 2)}
    for seed, run in runs.items():
        out, _ = run.communicate(timeout=240)
        for _again in range(2):
            if run.returncode == EXIT_NOT_JUDGED:
                run = start_scenario(path, seed, tmp_path / str(seed))
                out, _ = run.communicate(timeout=240)
        assert run.returncode == 0, out
        assert int(out.split(" requests")[0].rsplit(" ", 1)[1]) >= 900 and "rules kept" in out, out
        page = (tmp_path / str(seed) / "report.html").read_text()
        assert "Every rule was kept." in page and "<svg" in page


# Lateness of the machine and of the node.


def test_waiting_time_is_interpolated_between_samples_and_at_most_the_elapsed_time() -> None:
    waits = Waits([(1_000, 0), (2_000, 0), (3_000, 500), (4_000, 9_000)])
    assert waits.held(1_000, 2_000) == 0 and waits.held(2_000, 2_500) == 250 and waits.held(1_500, 3_000) == 500
    assert waits.held(3_000, 3_500) == 500 and waits.held(0, 1_000) == 0 and waits.held(5_000, 6_000) == 0
    assert waits.held(3_000, 2_000) == 0 and Waits().held(0, 9) == 0 and Waits().share() == 0.0
    assert Waits([(0, 0), (1_000, 250)]).share() == 0.25


@pytest.mark.parametrize("waited, broken", [(0, True), (250, True), (600, False)])
def test_an_answer_delayed_by_the_machine_is_no_breach_of_the_node(waited: int, broken: bool) -> None:
    ms = 1_000_000
    late = Seen(number=1, cls="c", how="plain", behaviour="normal", retry=0, worth=1.0, sent=0, deadline=1_000 * ms,
                head=1_700 * ms, end=1_700 * ms, ended="served", request="q", status=200)  # fmt: skip
    waits = Waits([(0, 0), (1_700 * ms, waited * ms)])
    verdict = Judge([late], [], [], [Traffic(name="c")], until=2_000 * ms, waits=waits).verdict()
    assert [b.rule for b in verdict.breaches] == ([1] if broken else [])


def test_waiting_for_processors_ends_once_runnable_work_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pulse, "PROBE", 0.02)
    used = iter(n * 0.001 for n in range(1_000))
    monkeypatch.setattr(time, "thread_time", lambda: next(used))
    assert not pulse.wait_for_processors(0.2)
    given = iter(n * 0.02 for n in range(1_000))
    monkeypatch.setattr(time, "thread_time", lambda: next(given))
    assert pulse.wait_for_processors(0.2)


def test_stolen_time_of_several_processors_is_not_summed() -> None:
    """A thread runs on one processor at a time: the maximum of any processor counts."""
    pressure = Waits([(0, 0), (1_000, 100)])
    stolen = tuple(Waits([(0, 0), (1_000, taken)]) for taken in (50, 300, 200))
    both = MachineWaits(pressure, stolen)
    assert both.held(0, 1_000) == 400 and both.held(0, 500) == 200 and both.share() == 0.4
    assert both.held(1_000, 0) == 0 and MachineWaits(Waits(), ()).held(0, 9) == 0
    assert MachineWaits(pressure, (Waits([(0, 0), (1_000, 2_000)]),)).held(0, 1_000) == 1_000
