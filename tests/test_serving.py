"""A fleet's requests in simulated time: service, repeatability, and the check of its cold engines."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.cold import one, settings
from stonetrack import logic
from stonetrack.api import Role
from stonetrack.emulator.engine import Spec
from stonetrack.fleet.rules import Judge
from stonetrack.fleet.serving import SECOND, Ask, Play
from stonetrack.fleet.traffic import Traffic

SPECS = [Spec(name=f"{role[0]}{n}", role=Role(role), warm_ms=4_000) for role in ("reader", "writer") for n in range(3)]
REQUESTS = [Ask(n * 20_000_000, f"q{n}", n % 4, 400 + n, f"s{n % 9}", "b", 200) for n in range(200)]


def make_play(seed: int = 1, crash: bool = False) -> Play:
    made = Play(settings(4), SPECS, seed)
    if crash:
        made.crash("r0", 1.0, 0.5)
        made.crash("w1", 1.5, 0.5)
    return made


def test_a_fleet_without_faults_serves_all_and_the_same_seed_repeats_the_play() -> None:
    first, second = make_play(), make_play()
    made = first.run(REQUESTS, 12.0)
    assert Counter(each.ended for each in made) == {"served": len(REQUESTS)}
    assert all(0 < each.first - each.ask.at - SECOND < 2 * SECOND and each.attempts == 2 for each in made)
    second.run(REQUESTS, 12.0)
    assert first.log == second.log


def test_crashed_engines_cost_attempts_and_slow_start_holds() -> None:
    made = make_play(crash=True)
    answered = made.run(REQUESTS, 12.0)
    ended = Counter(each.ended for each in answered)
    assert ended["served"] >= 0.9 * len(REQUESTS) and ended["open"] == 0
    assert any(each.attempts > 2 for each in answered)
    cold_starts = [r for r in made.log if r["what"] == "up" and r["cold"]]
    assert [r["engine"] for r in cold_starts] == ["r0", "w1"]
    assert not list(Judge([], made.log, [], [Traffic(name="chat")]).cold())


def test_a_request_without_an_eligible_engine_ends_refused() -> None:
    made = Play(settings(1), [Spec(name="w0", role=Role.DECODE)], 1)
    (answered,) = made.run([Ask(0, "q", 0, 300)], 8.0)
    assert answered.ended == "refused" and answered.attempts == 0


@pytest.mark.parametrize("nodes", [1, 24])
def test_cold_engines_withstand_twice_the_prefill_capacity(nodes: int) -> None:
    for cold_engines in ("all", "one"):
        budget_share, served_share, failures = one((cold_engines, nodes, 2.0, 3))
        assert budget_share <= 1.0 and not failures and served_share > 0.3, (cold_engines, budget_share, served_share)


def test_without_slow_start_cold_engines_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    """Negative control: the judge of the same play reports failing engines."""
    monkeypatch.setattr(logic, "SLOW_START_TARGET_SHARE", 8.0)
    assert one(("all", 24, 3.0, 3))[2] > 0
